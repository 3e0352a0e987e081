//! Requests from an agent to its target.

use super::answer_check::{AnswerChecker, AnswerFault, AnswerShape};
use super::requests::AnswerEvent;
use crate::platform::http::is_never_sent;
use awc::http::{Method, StatusCode};
use awc::{Client, ClientResponse, Connector};
use buckthornwharf_core::frame::SubmitFrame;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// Time to open a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// An idle connection is not used again after this time, since the target may have lost it.
const IDLE_LIMIT: Duration = Duration::from_secs(15);
/// A target that sends nothing for this long while it answers is taken for dead.
const TARGET_SILENCE_LIMIT: Duration = Duration::from_secs(20);
const EVENT_STREAM: &str = "text/event-stream";

/// What a target's answer brings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetEvent {
    /// The answer starts.
    Head {
        /// HTTP status.
        status: u16,
        /// HTTP content type; empty if absent.
        content_type: Arc<str>,
        /// The digest that produced the answer, as checked; none for plain services.
        digest: Option<VersionDigest>,
    },
    /// Checked bytes of the body.
    Body(Bytes),
    /// The answer is whole.
    Whole,
    /// The answer failed.
    Failed(TargetFailure),
}

/// How a request to a target failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum TargetFailure {
    /// no connection could be opened; the request did not run
    Unreachable,
    /// the target closed the connection while it ran the request
    Broken,
    /// the target was silent for too long
    Silent,
    /// the answer comes from other weights, or is not whole
    BadAnswer,
    /// the request was cancelled
    Cancelled,
}

struct AnswerReporter {
    id: RequestId,
    events: mpsc::UnboundedSender<AnswerEvent>,
}

impl AnswerReporter {
    fn send(&self, event: TargetEvent) {
        // A closed channel means that the agent stops.
        let _ = self.events.send((self.id, event));
    }
}

/// Sends requests to one target.
#[derive(Clone)]
pub struct TargetClient {
    client: Client,
    target: SocketAddr,
}

impl TargetClient {
    /// A client for `target`, to be used on the thread that made it.
    pub fn new(target: SocketAddr) -> Self {
        let connector =
            Connector::new().timeout(CONNECT_TIMEOUT).conn_keep_alive(IDLE_LIMIT).limit(0);
        let client =
            Client::builder().connector(connector).disable_timeout().disable_redirects().finish();
        Self { client, target }
    }

    /// Runs a request and reports its answer through `events`, until it ends or `cancel` is used.
    pub async fn run(
        self,
        frame: Arc<SubmitFrame>,
        cancel: oneshot::Receiver<()>,
        events: mpsc::UnboundedSender<AnswerEvent>,
    ) {
        let events = AnswerReporter { id: frame.id, events };
        let result = tokio::select! {
            result = self.exchange(&frame, &events) => result,
            _ = cancel => Err(TargetFailure::Cancelled),
        };
        let last = match result {
            Ok(()) => TargetEvent::Whole,
            Err(failure) => TargetEvent::Failed(failure),
        };
        let is_engine = frame.digest.is_some();
        if is_engine && last == TargetEvent::Failed(TargetFailure::Cancelled) {
            self.cancel_engine(frame.id).await;
        }
        events.send(last);
    }

    async fn cancel_engine(&self, id: RequestId) {
        let url = format!("http://{}/v1/requests/{id}", self.target);
        let sent = self.client.delete(url).timeout(CONNECT_TIMEOUT).send().await;
        if let Err(error) = sent {
            log::warn!("request={id} can't cancel at the target: {error}");
        }
    }

    async fn exchange(
        &self,
        frame: &SubmitFrame,
        events: &AnswerReporter,
    ) -> Result<(), TargetFailure> {
        let response = self.send(frame).await?;
        let content_type = header_of(&response, "content-type");
        let shape = shape_of(frame, response.status(), &content_type);
        let expected = if shape == AnswerShape::Opaque { None } else { frame.digest };
        let head = TargetEvent::Head {
            status: response.status().as_u16(),
            content_type,
            digest: expected,
        };
        let mut checker = AnswerChecker::new(shape, expected);
        let mut head = Some(head);
        let mut body = response.timeout(Duration::MAX);
        while let Some(bytes) = next_part(&mut body).await? {
            let checked = checker.push(bytes).map_err(log_fault)?;
            pass_on(events, &mut head, checked);
        }
        let rest = checker.finish().map_err(log_fault)?;
        pass_on(events, &mut head, rest);
        if let Some(head) = head {
            events.send(head);
        }
        Ok(())
    }

    async fn send(
        &self,
        frame: &SubmitFrame,
    ) -> Result<
        ClientResponse<impl Stream<Item = Result<Bytes, awc::error::PayloadError>> + use<>>,
        TargetFailure,
    > {
        let method =
            Method::from_bytes(frame.method.as_bytes()).map_err(|_| TargetFailure::Unreachable)?;
        let url = format!("http://{}{}", self.target, frame.path);
        let mut request = self
            .client
            .request(method, url)
            .no_decompress()
            .insert_header(("x-request-id", frame.id.to_string()))
            .insert_header(("x-organisation", frame.organisation.as_str()))
            .insert_header(("x-priority", frame.priority.to_string()));
        if !frame.content_type.is_empty() {
            request = request.insert_header(("content-type", &*frame.content_type));
        }
        let sent =
            actix_rt::time::timeout(TARGET_SILENCE_LIMIT, request.send_body(frame.body.clone()));
        match sent.await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if is_never_sent(&error) => Err(TargetFailure::Unreachable),
            Ok(Err(_)) => Err(TargetFailure::Broken),
            Err(_) => Err(TargetFailure::Silent),
        }
    }
}

async fn next_part<S>(body: &mut S) -> Result<Option<Bytes>, TargetFailure>
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    match actix_rt::time::timeout(TARGET_SILENCE_LIMIT, body.next()).await {
        Ok(Some(Ok(bytes))) => Ok(Some(bytes)),
        Ok(Some(Err(_))) => Err(TargetFailure::Broken),
        Ok(None) => Ok(None),
        Err(_) => Err(TargetFailure::Silent),
    }
}

fn pass_on(events: &AnswerReporter, head: &mut Option<TargetEvent>, bytes: Bytes) {
    if bytes.is_empty() {
        return;
    }
    // The head is passed on with the first checked bytes, so that nothing of an answer from other
    // weights leaves.
    if let Some(head) = head.take() {
        events.send(head);
    }
    events.send(TargetEvent::Body(bytes));
}

fn shape_of(frame: &SubmitFrame, status: StatusCode, content_type: &str) -> AnswerShape {
    if frame.digest.is_none() || !status.is_success() {
        AnswerShape::Opaque
    } else if content_type.starts_with(EVENT_STREAM) {
        AnswerShape::EventStream
    } else {
        AnswerShape::Json
    }
}

fn header_of<S>(response: &ClientResponse<S>, name: &str) -> Arc<str> {
    let value = response.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().into()
}

fn log_fault(fault: AnswerFault) -> TargetFailure {
    log::warn!("answer refused: {fault}");
    TargetFailure::BadAnswer
}
