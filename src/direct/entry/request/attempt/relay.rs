//! Relays a target's response to the caller.

mod stream;

use super::super::ConnectionAction;
use super::super::reply::CallerReply;
use super::{
    AttemptResult, Interruption, RelayedAnswer, TargetAttempt, TargetConnection, failure_of,
};
use actix_http::StatusCode;
use actix_http::body::BodySize;
use buckthornwharf_core::direct::{AnswerEnd, AttemptFailure, StreamFault};
use buckthornwharf_exchange::{AnswerHead, BodyPart, ExchangeError, InboundConnection};
use buckthornwharf_platform::request::{answer_headers, is_event_stream};
use bytes::{Bytes, BytesMut};
use log::info;

/// Size in bytes up to which a response is buffered until it is complete.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Why a response ended before it was complete.
#[derive(Debug, displaydoc::Display)]
enum BrokenAnswer {
    /// {0}
    Exchange(ExchangeError),
    /// {0}
    Stream(StreamFault),
    /// the target closed the connection and does not listen any more
    TargetCrashed,
}

impl From<ExchangeError> for BrokenAnswer {
    fn from(error: ExchangeError) -> Self {
        BrokenAnswer::Exchange(error)
    }
}

impl From<StreamFault> for BrokenAnswer {
    fn from(fault: StreamFault) -> Self {
        BrokenAnswer::Stream(fault)
    }
}

impl BrokenAnswer {
    fn failure(&self) -> AttemptFailure {
        match self {
            BrokenAnswer::Exchange(error) => failure_of(error),
            BrokenAnswer::Stream(StreamFault::EventTooLarge | StreamFault::NotContinued) => {
                AttemptFailure::Garbled
            }
            BrokenAnswer::Stream(_) | BrokenAnswer::TargetCrashed => AttemptFailure::Broken,
        }
    }
}

impl TargetAttempt<'_> {
    /// Relays a response: as events if it is a stream, otherwise as a whole.
    pub(super) async fn relay(
        &self,
        caller: &mut InboundConnection,
        connection: TargetConnection,
        answer: AnswerHead,
        reply: &mut CallerReply,
    ) -> Result<AttemptResult, Interruption> {
        if reply.has_begun() && !may_continue_stream(&answer) {
            let failure = match answer.status.is_server_error() {
                true => AttemptFailure::ServerError,
                false => AttemptFailure::Garbled,
            };
            return Ok(AttemptResult::Failed(failure));
        }
        if self.request.kind.is_stream() && answer.status.is_success() {
            return self.relay_stream(caller, connection, answer, reply).await;
        }
        self.relay_buffered(caller, connection, answer, reply).await
    }

    /// Relays a response after it has been received completely, so that a truncated one is not relayed.
    async fn relay_buffered(
        &self,
        caller: &mut InboundConnection,
        mut connection: TargetConnection,
        answer: AnswerHead,
        reply: &mut CallerReply,
    ) -> Result<AttemptResult, Interruption> {
        let mut body = BytesMut::new();
        loop {
            let part = self.unless_silent(caller, connection.read_body()).await;
            let part = part.map_err(|interruption| interruption.closing(&mut connection))?;
            match self.check_part(caller, part).await? {
                Ok(Some(bytes)) => body.extend_from_slice(&bytes),
                Ok(None) => break,
                Err(broken) => {
                    self.log_broken_off(&answer, &broken, 0);
                    return Ok(AttemptResult::Failed(broken.failure()));
                }
            }
            if body.len() > MAX_BUFFERED_BYTES {
                let body = body.freeze();
                return self.relay_unbuffered(caller, connection, answer, reply, body).await;
            }
        }
        self.return_to_pool(connection, &answer);
        if self.may_retry && is_target_failure(answer.status) {
            return Ok(AttemptResult::Failed(AttemptFailure::ServerError));
        }
        if is_target_failure(answer.status) {
            self.state.record_target_failure(self.grant);
        } else if answer.status.is_success() {
            self.state.record_started(self.grant);
        }
        let Some(head) = reply.take_unsent() else {
            return Ok(answered(&answer, ConnectionAction::Abort));
        };
        let close = self.state.is_shutting_down();
        let size = BodySize::Sized(body.len() as u64);
        let headers = answer_headers(&answer.headers);
        let buffered = head.put(caller, answer.status, headers, size, close);
        let buffered = buffered.and_then(|()| match body.is_empty() {
            true => Ok(()),
            false => caller.put_body(body.freeze()),
        });
        if buffered.is_err() || caller.flush().await.is_err() {
            return Err(Interruption::CallerDisconnected);
        }
        Ok(answered(&answer, ConnectionAction::after_answer(close)))
    }

    /// Relays the parts of a large response as they arrive. `received` is the part received so far.
    async fn relay_unbuffered(
        &self,
        caller: &mut InboundConnection,
        mut connection: TargetConnection,
        answer: AnswerHead,
        reply: &mut CallerReply,
        received: Bytes,
    ) -> Result<AttemptResult, Interruption> {
        let Some(head) = reply.take_unsent() else {
            return Ok(answered(&answer, ConnectionAction::Abort));
        };
        let close = self.state.is_shutting_down();
        let size = answer.length.map_or(BodySize::Stream, BodySize::Sized);
        let headers = answer_headers(&answer.headers);
        let buffered = head.put(caller, answer.status, headers, size, close);
        if buffered.and_then(|()| caller.put_body(received)).is_err() {
            return Err(Interruption::CallerDisconnected);
        }
        loop {
            let Ok(part) = self.within_deadline(caller, connection.read_body()).await else {
                return Ok(answered(&answer, ConnectionAction::Abort));
            };
            let Ok(part) = self.check_part(caller, part).await else {
                return Ok(answered(&answer, ConnectionAction::Abort));
            };
            let bytes = match part {
                Ok(Some(bytes)) => bytes,
                Ok(None) => break,
                Err(broken) => {
                    self.log_broken_off(&answer, &broken, 0);
                    return Ok(answered(&answer, ConnectionAction::Abort));
                }
            };
            if caller.put_body(bytes).is_err() || caller.flush().await.is_err() {
                return Err(Interruption::CallerDisconnected);
            }
        }
        let ended = caller.put_end();
        let sent = ended.is_ok() && caller.flush().await.is_ok();
        self.return_to_pool(connection, &answer);
        let connection_action = match sent {
            true => ConnectionAction::after_answer(close),
            false => ConnectionAction::Abort,
        };
        Ok(answered(&answer, connection_action))
    }

    /// Returns the data of a part of a body, or `None` at the end of a complete one.
    async fn check_part(
        &self,
        caller: &mut InboundConnection,
        part: Result<BodyPart, ExchangeError>,
    ) -> Result<Result<Option<Bytes>, BrokenAnswer>, Interruption> {
        let end = match part {
            Ok(BodyPart::Data(bytes)) => return Ok(Ok(Some(bytes))),
            Ok(BodyPart::End) => AnswerEnd::Delimited,
            Ok(BodyPart::Closed) => AnswerEnd::Closed,
            Err(error) => return Ok(Err(error.into())),
        };
        Ok(match self.is_cut_by_crash(caller, end).await? {
            true => Err(BrokenAnswer::TargetCrashed),
            false => Ok(None),
        })
    }

    /// Returns whether a response that ended without an error may be cut: only the close of the connection
    /// marks its end, and the target has crashed.
    async fn is_cut_by_crash(
        &self,
        caller: &mut InboundConnection,
        end: AnswerEnd,
    ) -> Result<bool, Interruption> {
        if end == AnswerEnd::Delimited {
            return Ok(false);
        }
        self.within_deadline(caller, self.state.has_crashed(&self.grant.target)).await
    }

    /// Counts and logs a response that broke off after its head.
    fn log_broken_off(&self, answer: &AnswerHead, broken: &BrokenAnswer, partial_bytes: usize) {
        let framing: &str = answer.framing.into();
        self.state.metrics.answers.with_label_values(&[framing, "broken_off"]).inc();
        info!(
            "event=answer_broken_off request={} target={} framing={framing} \
             partial_bytes={partial_bytes} reason=\"{broken}\"",
            self.request.tags.id, self.grant.target.id,
        );
    }
}

fn answered(answer: &AnswerHead, connection_action: ConnectionAction) -> AttemptResult {
    let (status, framing) = (answer.status, answer.framing);
    AttemptResult::Answered(RelayedAnswer { status, framing, connection_action })
}

/// Returns whether the status says that the target failed. A time-out is not counted: the request would
/// time out at another target, too.
fn is_target_failure(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
}

/// Returns whether the response may go on with a stream that has begun. The end of any other response would
/// pass for the end of the stream.
fn may_continue_stream(answer: &AnswerHead) -> bool {
    answer.status == StatusCode::OK && is_event_stream(&answer.headers)
}
