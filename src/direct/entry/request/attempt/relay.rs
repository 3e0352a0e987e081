//! Relays a target's response to the caller.

use super::super::ConnectionAction;
use super::super::reply::StreamReply;
use super::{AttemptResult, Interruption, RelayedAnswer, TargetAttempt, failure_of};
use actix_http::StatusCode;
use actix_http::body::BodySize;
use buckthornwharf_core::direct::AttemptFailure;
use buckthornwharf_exchange::{
    AnswerFraming, AnswerHead, BodyPart, ExchangeError, InboundConnection, OutboundConnection,
};
use buckthornwharf_platform::request::answer_headers;
use bytes::{Bytes, BytesMut};
use log::info;

/// Size in bytes up to which a response is buffered until it is complete.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

impl TargetAttempt<'_> {
    /// Relays a response: as events if it is a stream, otherwise as a whole.
    pub(super) async fn relay(
        &self,
        caller: &mut InboundConnection,
        connection: OutboundConnection,
        answer: AnswerHead,
        stream: &mut Option<StreamReply>,
    ) -> Result<AttemptResult, Interruption> {
        if self.request.kind.is_stream() && answer.status.is_success() {
            return self.relay_stream(caller, connection, answer, stream).await;
        }
        if stream.is_some() {
            // A response that is no stream cannot continue the stream that has begun.
            return Ok(AttemptResult::Failed(AttemptFailure::Broken));
        }
        self.relay_buffered(caller, connection, answer).await
    }

    /// Relays a response after it has been received completely, so that a truncated one is not relayed.
    async fn relay_buffered(
        &self,
        caller: &mut InboundConnection,
        mut connection: OutboundConnection,
        answer: AnswerHead,
    ) -> Result<AttemptResult, Interruption> {
        let mut body = BytesMut::new();
        loop {
            match self.within_deadline(caller, connection.read_body()).await? {
                Ok(BodyPart::Data(bytes)) => body.extend_from_slice(&bytes),
                Ok(BodyPart::End) => break,
                Err(error) => return Ok(self.break_off(&error, answer.framing, 0)),
            }
            if body.len() > MAX_BUFFERED_BYTES {
                return self.relay_unbuffered(caller, connection, answer, body.freeze()).await;
            }
        }
        self.return_to_pool(connection, &answer);
        if self.may_retry && is_target_failure(answer.status) {
            return Ok(AttemptResult::Failed(AttemptFailure::ServerError));
        }
        let close = self.state.is_shutting_down();
        let size = BodySize::Sized(body.len() as u64);
        let buffered = caller.put_head(answer.status, answer_headers(&answer.headers), size, close);
        let buffered = buffered.and_then(|()| match body.is_empty() {
            true => Ok(()),
            false => caller.put_body(body.freeze()),
        });
        if buffered.is_err() || caller.flush().await.is_err() {
            return Err(Interruption::CallerDisconnected);
        }
        Ok(answered(&answer, connection_action(close)))
    }

    /// Relays the parts of a large response as they arrive. `received` is the part received so far.
    async fn relay_unbuffered(
        &self,
        caller: &mut InboundConnection,
        mut connection: OutboundConnection,
        answer: AnswerHead,
        received: Bytes,
    ) -> Result<AttemptResult, Interruption> {
        let close = self.state.is_shutting_down();
        let size = answer.length.map_or(BodySize::Stream, BodySize::Sized);
        let headers = answer_headers(&answer.headers);
        let buffered = caller.put_head(answer.status, headers, size, close);
        if buffered.and_then(|()| caller.put_body(received)).is_err() {
            return Err(Interruption::CallerDisconnected);
        }
        loop {
            let part = match self.within_deadline(caller, connection.read_body()).await {
                Ok(part) => part,
                Err(_) => {
                    return Ok(answered(&answer, ConnectionAction::Abort));
                }
            };
            let buffered = match part {
                Ok(BodyPart::Data(bytes)) => caller.put_body(bytes),
                Ok(BodyPart::End) => {
                    let ended = caller.put_end();
                    let sent = ended.is_ok() && caller.flush().await.is_ok();
                    self.return_to_pool(connection, &answer);
                    let connection_action =
                        if sent { connection_action(close) } else { ConnectionAction::Abort };
                    return Ok(answered(&answer, connection_action));
                }
                Err(error) => {
                    self.break_off(&error, answer.framing, 0);
                    return Ok(answered(&answer, ConnectionAction::Abort));
                }
            };
            if buffered.is_err() || caller.flush().await.is_err() {
                return Err(Interruption::CallerDisconnected);
            }
        }
    }

    /// Relays events as they arrive, but only complete ones, so that another target can continue the
    /// stream.
    async fn relay_stream(
        &self,
        caller: &mut InboundConnection,
        mut connection: OutboundConnection,
        answer: AnswerHead,
        stream: &mut Option<StreamReply>,
    ) -> Result<AttemptResult, Interruption> {
        let resumed = stream.is_some();
        let reply = stream.get_or_insert_default();
        reply.events.discard_partial();
        let mut head_pending = !resumed;
        if head_pending {
            reply.closes = self.state.is_shutting_down();
        }
        let mut is_first_part = true;
        loop {
            let part = match std::mem::take(&mut is_first_part) {
                true => self.within_begin_by(caller, connection.read_body()).await,
                false => self.within_deadline(caller, connection.read_body()).await,
            };
            if head_pending && matches!(part, Err(Interruption::Outdated)) {
                *stream = None;
                return Ok(AttemptResult::Failed(AttemptFailure::Outdated));
            }
            let part = part?;
            let mut buffered = Ok(());
            if head_pending {
                // The head is sent with the first events. This saves a packet, and the caller does not
                // notice a target that fails before them.
                if let Err(error) = &part {
                    self.break_off(error, answer.framing, 0);
                    *stream = None;
                    return Ok(AttemptResult::Failed(AttemptFailure::Broken));
                }
                let headers = answer_headers(&answer.headers);
                buffered = caller.put_head(answer.status, headers, BodySize::Stream, reply.closes);
                head_pending = false;
            }
            let mut next_part = Some(part);
            let mut ended = false;
            let mut partial_bytes = 0;
            while let Some(part) = next_part.take() {
                match part {
                    Ok(BodyPart::Data(bytes)) => {
                        let complete = reply.events.push(&bytes);
                        if !complete.is_empty() {
                            buffered = buffered.and_then(|()| caller.put_body(complete));
                        }
                        next_part = connection.decode_body().transpose();
                    }
                    Ok(BodyPart::End) => {
                        let remainder = reply.events.finish();
                        partial_bytes = remainder.len();
                        if !remainder.is_empty() {
                            buffered = buffered.and_then(|()| caller.put_body(remainder));
                        }
                        buffered = buffered.and_then(|()| caller.put_end());
                        ended = true;
                    }
                    Err(error) => {
                        // Complete events received before the failure are sent first.
                        if buffered.is_err() || caller.flush().await.is_err() {
                            return Err(Interruption::CallerDisconnected);
                        }
                        let partial_bytes = reply.events.partial_bytes();
                        return Ok(self.break_off(&error, answer.framing, partial_bytes));
                    }
                }
            }
            if buffered.is_err() || caller.flush().await.is_err() {
                return Err(Interruption::CallerDisconnected);
            }
            if ended {
                let connection_action = connection_action(reply.closes);
                self.return_to_pool(connection, &answer);
                return Ok(AttemptResult::Answered(RelayedAnswer {
                    status: answer.status,
                    framing: answer.framing,
                    partial_bytes,
                    connection_action,
                }));
            }
        }
    }

    /// Logs that the response broke off after its head, and returns the result of the attempt.
    fn break_off(
        &self,
        error: &ExchangeError,
        framing: AnswerFraming,
        partial_bytes: usize,
    ) -> AttemptResult {
        info!(
            "event=answer_broken_off request={} target={} framing={} partial_bytes={partial_bytes} \
             reason=\"{error}\"",
            self.request.tags.id,
            self.grant.target.id,
            <&str>::from(framing),
        );
        AttemptResult::Failed(failure_of(error))
    }
}

fn answered(answer: &AnswerHead, connection_action: ConnectionAction) -> AttemptResult {
    AttemptResult::Answered(RelayedAnswer {
        status: answer.status,
        framing: answer.framing,
        partial_bytes: 0,
        connection_action,
    })
}

/// Returns whether the status says that the target failed. A time-out is not counted: the request would
/// time out at another target, too.
fn is_target_failure(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
}

fn connection_action(close: bool) -> ConnectionAction {
    if close { ConnectionAction::Close } else { ConnectionAction::KeepAlive }
}
