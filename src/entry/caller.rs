//! The HTTP side of a caller's request: reading it, and writing its answer.

use super::prompt::PromptSummary;
use crate::admin::response_with_type;
use crate::shared::ActiveConfig;
use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage as _, Request, Response, StatusCode};
use buckthornwharf_core::config::{OrganisationConfig, RouteConfig, TargetKind};
use buckthornwharf_core::prelude::*;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::Serialize;
use tokio::sync::mpsc;

/// Most bytes of a request's body.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time that a caller has to send a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Most bytes of an idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Longest deadline that a caller may name.
const MAX_DEADLINE_MS: u64 = 600_000;
const EVENT_STREAM: &str = "text/event-stream";

/// A caller's request, read and checked against the configuration.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The organisation that asks.
    pub organisation: OrganisationName,
    /// Its configuration.
    pub organisation_config: OrganisationConfig,
    /// The service that is to answer.
    pub service: ServiceName,
    /// What stands behind the service.
    pub kind: TargetKind,
    /// Whether the work may be run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// Time that the caller gives.
    pub deadline: Duration,
    /// HTTP method.
    pub method: Arc<str>,
    /// HTTP path with its query.
    pub path: Arc<str>,
    /// HTTP content type; empty if absent.
    pub content_type: Arc<str>,
    /// HTTP body.
    pub body: Bytes,
    /// What routing needs to know of the body.
    pub prompt: PromptSummary,
}

/// What an answer brings to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerEvent {
    /// The answer starts.
    Head {
        /// HTTP status.
        status: u16,
        /// HTTP content type; empty if absent.
        content_type: Arc<str>,
        /// The digest that produced the answer; none for plain services.
        digest: Option<VersionDigest>,
    },
    /// Bytes of the body.
    Body(Bytes),
    /// The answer ended, whole if the code is [`ResultCode::Ok`].
    End(ResultCode),
}

/// An answer to a caller that is cut short because the work failed after a part was passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum CutError {
    /// the answer was cut short: {0}
    Failed(ResultCode),
}

impl std::error::Error for CutError {}

#[derive(Serialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Serialize)]
struct ErrorDetail {
    code: u16,
    name: &'static str,
    class: &'static str,
    message: String,
    request_id: String,
}

/// Reads a caller's request and checks it against the configuration in force.
///
/// # Errors
///
/// The code that the caller is to be refused with.
pub async fn read_request(
    request: &mut Request,
    config: &ActiveConfig,
    default_deadline: Duration,
) -> Result<CallerRequest, ResultCode> {
    let headers = request.headers();
    let (organisation, organisation_config) = organisation_of(headers, config)?;
    let route = config.document.route_for(request.path()).ok_or(ResultCode::NoRoute)?;
    let service = config.document.services.get(&route.service).ok_or(ResultCode::NoRoute)?;
    let idempotency_key = idempotency_key(headers)?;
    let deadline = deadline_of(headers, default_deadline)?;
    let content_type = text_header(headers, "content-type")?.unwrap_or_default().into();
    let method: Arc<str> = request.method().as_str().into();
    let path: Arc<str> = request.uri().path_and_query().map_or("/", |path| path.as_str()).into();
    let body = actix_rt::time::timeout(BODY_TIMEOUT, read_body(request)).await;
    let body = body.map_err(|_| ResultCode::BadRequest)??;
    let prompt = PromptSummary::read(&organisation, &path, idempotency_key.as_deref(), &body);
    Ok(CallerRequest {
        organisation,
        organisation_config,
        service: route.service.clone(),
        kind: service.kind,
        idempotent: is_idempotent(route, &method),
        idempotency_key,
        deadline,
        method,
        path,
        content_type,
        body,
        prompt,
    })
}

fn organisation_of(
    headers: &HeaderMap,
    config: &ActiveConfig,
) -> Result<(OrganisationName, OrganisationConfig), ResultCode> {
    let header = text_header(headers, "authorization")?.ok_or(ResultCode::UnknownKey)?;
    let key = header.strip_prefix("Bearer ").ok_or(ResultCode::UnknownKey)?;
    let key_hash = blake3::hash(key.as_bytes());
    let found = config.document.organisation_by_key_hash(key_hash.as_bytes());
    let (name, organisation) = found.ok_or(ResultCode::UnknownKey)?;
    Ok((name.clone(), organisation.clone()))
}

fn is_idempotent(route: &RouteConfig, method: &str) -> bool {
    !route.non_idempotent.iter().any(|listed| listed == method)
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, ResultCode> {
    match text_header(headers, "idempotency-key")? {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(ResultCode::BadRequest),
        key => Ok(key.map(Arc::from)),
    }
}

fn deadline_of(headers: &HeaderMap, default: Duration) -> Result<Duration, ResultCode> {
    let Some(text) = text_header(headers, "x-deadline-ms")? else {
        return Ok(default);
    };
    let millis: u64 = text.parse().map_err(|_| ResultCode::BadRequest)?;
    Ok(Duration::from_millis(millis.min(MAX_DEADLINE_MS)))
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ResultCode> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| ResultCode::BadRequest)
}

async fn read_body(request: &mut Request) -> Result<Bytes, ResultCode> {
    let mut body = BytesMut::new();
    let payload = request.payload();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|_| ResultCode::BadRequest)?;
        if body.len() + part.len() > MAX_BODY_BYTES {
            return Err(ResultCode::BadRequest);
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// Tells the owner of a request that the caller went away, when it is dropped.
pub struct CallerGuard {
    id: RequestId,
    on_gone: Option<Box<dyn FnOnce(RequestId)>>,
}

impl CallerGuard {
    /// A guard that calls `on_gone` with `id` when it is dropped before [`CallerGuard::disarm`].
    pub fn new(id: RequestId, on_gone: Box<dyn FnOnce(RequestId)>) -> Self {
        Self { id, on_gone: Some(on_gone) }
    }

    /// The answer ended: nothing is told any more.
    pub fn disarm(&mut self) {
        self.on_gone = None;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if let Some(on_gone) = self.on_gone.take() {
            on_gone(self.id);
        }
    }
}

/// Writes the answer that `events` bring. An answer that is not a stream is held until it is whole,
/// so that its result code is true; a stream that fails is cut without its end.
pub async fn write_answer(
    mut events: mpsc::UnboundedReceiver<CallerEvent>,
    mut guard: CallerGuard,
) -> Response<BoxBody> {
    let id = guard.id;
    let (status, content_type, digest) = match events.recv().await {
        Some(CallerEvent::Head { status, content_type, digest }) => (status, content_type, digest),
        Some(CallerEvent::End(code)) => {
            guard.disarm();
            return refusal(id, code);
        }
        Some(CallerEvent::Body(_)) | None => {
            guard.disarm();
            return refusal(id, ResultCode::LinkLost);
        }
    };
    if content_type.starts_with(EVENT_STREAM) {
        let body = BodyStream::new(Box::pin(body_stream(events, guard)));
        return answer_head(id, status, &content_type, digest).body(body).map_into_boxed_body();
    }
    let held = hold_body(&mut events).await;
    guard.disarm();
    match held {
        Ok(body) => answer_head(id, status, &content_type, digest).body(body).map_into_boxed_body(),
        Err(code) => refusal(id, code),
    }
}

fn body_stream(
    events: mpsc::UnboundedReceiver<CallerEvent>,
    guard: CallerGuard,
) -> impl futures_util::Stream<Item = Result<Bytes, CutError>> {
    futures_util::stream::unfold(Some((events, guard)), |state| async {
        let (mut events, mut guard) = state?;
        let event = events.recv().await;
        if !matches!(event, Some(CallerEvent::Head { .. } | CallerEvent::Body(_))) {
            guard.disarm();
        }
        match event {
            Some(CallerEvent::Body(bytes)) => Some((Ok(bytes), Some((events, guard)))),
            Some(CallerEvent::Head { .. }) => Some((Ok(Bytes::new()), Some((events, guard)))),
            Some(CallerEvent::End(ResultCode::Ok)) => None,
            Some(CallerEvent::End(code)) => Some((Err(CutError::Failed(code)), None)),
            None => Some((Err(CutError::Failed(ResultCode::LinkLost)), None)),
        }
    })
}

async fn hold_body(events: &mut mpsc::UnboundedReceiver<CallerEvent>) -> Result<Bytes, ResultCode> {
    let mut body = BytesMut::new();
    while let Some(event) = events.recv().await {
        match event {
            CallerEvent::Body(bytes) => body.extend_from_slice(&bytes),
            CallerEvent::End(ResultCode::Ok) => return Ok(body.freeze()),
            CallerEvent::End(code) => return Err(code),
            CallerEvent::Head { .. } => {}
        }
    }
    Err(ResultCode::LinkLost)
}

fn answer_head(
    id: RequestId,
    status: u16,
    content_type: &str,
    digest: Option<VersionDigest>,
) -> actix_http::ResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    builder.insert_header(("x-request-id", id.to_string()));
    builder.insert_header(("x-result-code", code_header(ResultCode::Ok)));
    if !content_type.is_empty() {
        builder.insert_header(("content-type", content_type));
    }
    if let Some(digest) = digest {
        builder.insert_header(("x-model-digest", digest.to_string()));
    }
    builder
}

/// The answer to a request that ended with a code other than [`ResultCode::Ok`].
pub fn refusal(id: RequestId, code: ResultCode) -> Response<BoxBody> {
    let detail = ErrorDetail {
        code: code.number(),
        name: code.into(),
        class: code.class().into(),
        message: code.to_string(),
        request_id: id.to_string(),
    };
    let body = serde_json::to_vec(&ErrorBody { error: detail }).unwrap_or_default();
    let status = StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = response_with_type(status, "application/json", body);
    let headers = response.headers_mut();
    insert_text(headers, "x-request-id", &id.to_string());
    insert_text(headers, "x-result-code", &code_header(code));
    if let Some(seconds) = code.retry_after_seconds() {
        insert_text(headers, "retry-after", &seconds.to_string());
    }
    response
}

fn insert_text(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(actix_http::header::HeaderName::from_static(name), value);
    }
}

fn code_header(code: ResultCode) -> String {
    let name: &'static str = code.into();
    format!("{} {name}", code.number())
}
