//! HTTP client with which an agent runs requests at its target.

mod exchange;
mod window;

pub use window::ANSWER_WINDOW_BYTES;

use super::answer_check::{AnswerChecker, AnswerFault, AnswerFormat};
use crate::link::MAX_WHOLE_ANSWER_BYTES;
use actix_http::StatusCode;
use actix_rt::net::TcpStream;
use buckthornwharf_core::frame::SubmitFrame;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use exchange::{TargetRequest, TargetResponse};
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};
use window::AnswerWindow;

/// Timeout of the target's answer to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a probe's connection attempt.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// An event of a target's answer, with the id of the request.
pub type AnswerEvent = (RequestId, TargetEvent);

/// An event of a target's answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetEvent {
    /// The head of the answer.
    Head {
        /// HTTP status.
        status: u16,
        /// HTTP content type; empty if absent.
        content_type: Arc<str>,
        /// Digest of the version that produced the answer, as checked; `None` for plain services.
        digest: Option<VersionDigest>,
    },
    /// Checked bytes of the body.
    Body(Bytes),
    /// The answer is complete.
    Complete,
    /// The answer failed.
    Failed(TargetFailure),
    /// The result of [`TargetClient::probe`]: true if the target accepts no connections.
    Probed(bool),
}

/// Why a request to a target failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum TargetFailure {
    /// no connection to the target could be opened, or the request is invalid; it did not run
    Unreachable,
    /// the connection to the target was lost before the answer was complete
    ConnectionLost,
    /// the target sent nothing until the timeout
    TimedOut,
    /// the answer comes from another version, is malformed or is incomplete
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
        // The channel is closed only when the agent stops.
        let _ = self.events.send((self.id, event));
    }
}

/// Sends requests to one target.
#[derive(Debug, Clone, Copy)]
pub struct TargetClient {
    target: SocketAddr,
}

impl TargetClient {
    /// A client of the target at the address `target`.
    pub fn new(target: SocketAddr) -> Self {
        Self { target }
    }

    /// Runs a request and sends its answer to `events`. Ends with [`TargetEvent::Complete`] or
    /// [`TargetEvent::Failed`]; a message on `cancel` cancels the request.
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

    /// Probes whether the target still accepts connections, and sends the result to `events`.
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
            log::warn!("request={id} could not be cancelled at the target: {failure}");
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
        let format = answer_format(frame, &response);
        if format == AnswerFormat::Opaque && !response.is_delimited {
            // A complete body would look the same as a lost connection.
            return Err(TargetFailure::InvalidAnswer);
        }
        let mut checker = AnswerChecker::new(format, frame.digest);
        // An engine's refusal is forwarded unchecked: it has no fingerprint and no generated
        // content.
        let mut head = Some(TargetEvent::Head {
            status: response.status.as_u16(),
            content_type: response.content_type.clone(),
            digest: frame.digest,
        });
        let window = AnswerWindow::default();
        let is_stream = response.content_type.starts_with(EVENT_STREAM_TYPE);
        let mut received_bytes = 0;
        while let Some(bytes) = response.next_part().await? {
            received_bytes += bytes.len();
            if !is_stream && received_bytes > MAX_WHOLE_ANSWER_BYTES {
                return Err(reject_answer(AnswerFault::TooLarge));
            }
            let checked = checker.push(bytes).map_err(reject_answer)?;
            forward_checked(events, &mut head, window.hold(checked).await);
        }
        let rest = checker.finish().map_err(|fault| match fault {
            AnswerFault::Truncated | AnswerFault::Malformed if !response.is_delimited => {
                TargetFailure::ConnectionLost
            }
            fault => reject_answer(fault),
        })?;
        forward_checked(events, &mut head, window.hold(rest).await);
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
    // The head is held back until the first bytes are checked, so that nothing is forwarded of an
    // answer from another version.
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
    log::warn!("answer of the target discarded: {fault}");
    TargetFailure::InvalidAnswer
}
