//! Requests from an agent to its target.

mod exchange;

use super::answer_check::{AnswerChecker, AnswerFault, AnswerFormat};
use super::requests::AnswerEvent;
use actix_http::StatusCode;
use actix_rt::net::TcpStream;
use buckthornwharf_core::frame::SubmitFrame;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use exchange::{TargetRequest, TargetResponse};
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// Time for the target to answer a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for the target to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
const EVENT_STREAM_TYPE: &str = "text/event-stream";

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
    Complete,
    /// The answer failed.
    Failed(TargetFailure),
    /// The answer to [`TargetClient::probe`]: whether the target takes no connection.
    Probed(bool),
}

/// How a request to a target failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum TargetFailure {
    /// no connection could be opened; the request did not run
    Unreachable,
    /// the target closed the connection while it ran the request
    ConnectionLost,
    /// the target was silent for too long
    TimedOut,
    /// the answer comes from other weights, or is not whole
    InvalidAnswer,
    /// the engine answered with a server error
    ServerError,
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
#[derive(Debug, Clone, Copy)]
pub struct TargetClient {
    target: SocketAddr,
}

impl TargetClient {
    /// A client for `target`.
    pub fn new(target: SocketAddr) -> Self {
        Self { target }
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
            Ok(()) = cancel => Err(TargetFailure::Cancelled),
        };
        let is_engine = frame.digest.is_some();
        if is_engine && result == Err(TargetFailure::Cancelled) {
            self.cancel_engine(frame.id).await;
        }
        events.send(match result {
            Ok(()) => TargetEvent::Complete,
            Err(failure) => TargetEvent::Failed(failure),
        });
    }

    /// Asks whether the target takes connections after its connections broke.
    pub async fn probe(self, id: RequestId, events: mpsc::UnboundedSender<AnswerEvent>) {
        let connecting = actix_rt::time::timeout(PROBE_TIMEOUT, TcpStream::connect(self.target));
        let crashed = !matches!(connecting.await, Ok(Ok(_)));
        let _ = events.send((id, TargetEvent::Probed(crashed)));
    }

    async fn cancel_engine(&self, id: RequestId) {
        let request = TargetRequest {
            method: "DELETE".into(),
            path: format!("/v1/requests/{id}").into(),
            headers: Vec::new(),
            body: Bytes::new(),
            head_timeout: CANCEL_TIMEOUT,
        };
        if let Err(failure) = request.send(self.target).await {
            log::warn!("request={id} can't cancel at the target: {failure}");
        }
    }

    async fn exchange(
        &self,
        frame: &SubmitFrame,
        events: &AnswerReporter,
    ) -> Result<(), TargetFailure> {
        let mut response = target_request(frame).send(self.target).await?;
        let is_engine = frame.digest.is_some();
        if is_engine && response.status.is_server_error() {
            return Err(TargetFailure::ServerError);
        }
        let mut checker = AnswerChecker::new(answer_format(frame, &response), frame.digest);
        // An engine's refusal carries no fingerprint, and nothing that weights have produced.
        let mut head = Some(TargetEvent::Head {
            status: response.status.as_u16(),
            content_type: response.content_type.clone(),
            digest: frame.digest,
        });
        while let Some(bytes) = response.next_part().await? {
            let checked = checker.push(bytes).map_err(reject_answer)?;
            forward_checked(events, &mut head, checked);
        }
        let rest = checker.finish().map_err(reject_answer)?;
        forward_checked(events, &mut head, rest);
        if let Some(head) = head {
            events.send(head);
        }
        Ok(())
    }
}

fn target_request(frame: &SubmitFrame) -> TargetRequest {
    TargetRequest {
        method: frame.method.clone(),
        path: frame.path.clone(),
        headers: vec![
            ("x-request-id", frame.id.to_string()),
            ("x-organisation", frame.organisation.to_string()),
            ("x-priority", frame.priority.to_string()),
            ("content-type", frame.content_type.to_string()),
        ],
        body: frame.body.clone(),
        head_timeout: Duration::from_millis(frame.deadline_ms),
    }
}

fn forward_checked(events: &AnswerReporter, head: &mut Option<TargetEvent>, bytes: Bytes) {
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

fn answer_format(frame: &SubmitFrame, response: &TargetResponse) -> AnswerFormat {
    if frame.digest.is_none() || response.status != StatusCode::OK {
        AnswerFormat::Opaque
    } else if response.content_type.starts_with(EVENT_STREAM_TYPE) {
        AnswerFormat::EventStream
    } else {
        AnswerFormat::Json
    }
}

fn reject_answer(fault: AnswerFault) -> TargetFailure {
    log::warn!("answer refused: {fault}");
    TargetFailure::InvalidAnswer
}
