//! HTTP side of a caller's request: parses the request and writes the answer.

use super::answer_channel::AnswerReceiver;
use super::prompt::PromptSummary;
use crate::admin::response_with_type;
use crate::link::MAX_WHOLE_ANSWER_BYTES;
use crate::shared::ActiveConfig;
use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage as _, Request, Response, StatusCode};
use buckthornwharf_core::config::{OrganisationConfig, RouteConfig, TargetKind};
use buckthornwharf_core::prelude::*;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::Serialize;

/// Maximum size of a request's body.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time within which a caller must send the body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
/// Maximum deadline; a caller that sets a longer one gets this.
const MAX_DEADLINE_MS: u64 = 600_000;
const EVENT_STREAM: &str = "text/event-stream";

/// A caller's request, parsed and checked against the configuration.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The organisation that sent it.
    pub organisation: OrganisationName,
    /// Its configuration.
    pub organisation_config: OrganisationConfig,
    /// The service that the route leads to.
    pub service: ServiceName,
    /// Kind of the targets of the service.
    pub kind: TargetKind,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// Time until the deadline, measured from submission.
    pub deadline: Duration,
    /// HTTP method.
    pub method: Arc<str>,
    /// HTTP path with its query.
    pub path: Arc<str>,
    /// HTTP content type; empty if absent.
    pub content_type: Arc<str>,
    /// HTTP body.
    pub body: Bytes,
    /// Properties of the body for routing.
    pub prompt: PromptSummary,
}

/// A part of the answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerEvent {
    /// The answer starts.
    Head {
        /// HTTP status.
        status: u16,
        /// HTTP content type; empty if absent.
        content_type: Arc<str>,
        /// The digest of the version that produced the answer; none for plain services.
        digest: Option<VersionDigest>,
    },
    /// Bytes of the body.
    Body(Bytes),
    /// The answer ended; it is complete only if the code is [`ResultCode::Ok`].
    End(ResultCode),
}

/// A request failed after a part of its answer was sent to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum TruncatedAnswerError {
    /// answer truncated: {0}
    Failed(ResultCode),
}

impl std::error::Error for TruncatedAnswerError {}

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

/// Reads a caller's request and checks it against the active configuration.
///
/// # Errors
///
/// The result code to refuse the request with.
pub async fn read_request(
    request: &mut Request,
    config: &ActiveConfig,
    default_deadline: Duration,
) -> Result<CallerRequest, ResultCode> {
    let headers = request.headers();
    let (organisation, organisation_config) = authenticate(headers, config)?;
    let route = config.document.route_for(request.path()).ok_or(ResultCode::NoRoute)?;
    let service = config.document.services.get(&route.service).ok_or(ResultCode::NoRoute)?;
    let idempotency_key = parse_idempotency_key(headers)?;
    let deadline = parse_deadline(headers, default_deadline)?;
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

fn authenticate(
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

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, ResultCode> {
    match text_header(headers, "idempotency-key")? {
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => {
            Err(ResultCode::BadRequest)
        }
        key => Ok(key.map(Arc::from)),
    }
}

fn parse_deadline(headers: &HeaderMap, default: Duration) -> Result<Duration, ResultCode> {
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

/// Reports that the caller disconnected if it is dropped before the answer ended.
pub struct CallerGuard {
    id: RequestId,
    on_caller_gone: Option<Box<dyn FnOnce(RequestId)>>,
}

impl CallerGuard {
    /// A guard that calls `on_caller_gone` with `id` when it is dropped before [`CallerGuard::disarm`].
    pub fn new(id: RequestId, on_caller_gone: Box<dyn FnOnce(RequestId)>) -> Self {
        Self { id, on_caller_gone: Some(on_caller_gone) }
    }

    /// Prevents the call of `on_caller_gone`, as the answer has ended.
    pub fn disarm(&mut self) {
        self.on_caller_gone = None;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if let Some(on_caller_gone) = self.on_caller_gone.take() {
            on_caller_gone(self.id);
        }
    }
}

/// Builds the response from `events`. An answer that is not an event stream is buffered until it is
/// complete, so that `x-result-code` is the final result. An event stream that fails is aborted
/// without the end marker of its body.
pub async fn write_answer(mut events: AnswerReceiver, mut guard: CallerGuard) -> Response<BoxBody> {
    let id = guard.id;
    let (status, content_type, digest) = match events.recv().await {
        Some(CallerEvent::Head { status, content_type, digest }) => (status, content_type, digest),
        Some(CallerEvent::End(code)) => {
            guard.disarm();
            return error_response(id, code);
        }
        Some(CallerEvent::Body(_)) | None => {
            guard.disarm();
            return error_response(id, ResultCode::LinkLost);
        }
    };
    if content_type.starts_with(EVENT_STREAM) {
        let body = BodyStream::new(Box::pin(body_stream(events, guard)));
        return response_builder(id, status, &content_type, digest)
            .body(body)
            .map_into_boxed_body();
    }
    let collected = collect_body(&mut events).await;
    if collected != Err(ResultCode::AnswerDiscarded) {
        // Otherwise the answer may go on, and the request is cancelled as if the caller had left.
        guard.disarm();
    }
    match collected {
        Ok(body) => {
            response_builder(id, status, &content_type, digest).body(body).map_into_boxed_body()
        }
        Err(code) => error_response(id, code),
    }
}

fn body_stream(
    events: AnswerReceiver,
    guard: CallerGuard,
) -> impl futures_util::Stream<Item = Result<Bytes, TruncatedAnswerError>> {
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
            Some(CallerEvent::End(code)) => Some((Err(TruncatedAnswerError::Failed(code)), None)),
            None => Some((Err(TruncatedAnswerError::Failed(ResultCode::LinkLost)), None)),
        }
    })
}

async fn collect_body(events: &mut AnswerReceiver) -> Result<Bytes, ResultCode> {
    let mut body = BytesMut::new();
    while let Some(event) = events.recv().await {
        match event {
            CallerEvent::Body(bytes) if body.len() + bytes.len() > MAX_WHOLE_ANSWER_BYTES => {
                return Err(ResultCode::AnswerDiscarded);
            }
            CallerEvent::Body(bytes) => body.extend_from_slice(&bytes),
            CallerEvent::End(ResultCode::Ok) => return Ok(body.freeze()),
            CallerEvent::End(code) => return Err(code),
            CallerEvent::Head { .. } => {}
        }
    }
    Err(ResultCode::LinkLost)
}

fn response_builder(
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

/// The response to a request that ended with a code other than [`ResultCode::Ok`].
pub fn error_response(id: RequestId, code: ResultCode) -> Response<BoxBody> {
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
