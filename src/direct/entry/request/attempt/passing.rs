//! Passing a target's answer on to the caller.

use super::super::ConnectionFate;
use super::super::reply::StreamReply;
use super::{AttemptResult, Interruption, TargetAttempt, end_of};
use actix_http::StatusCode;
use actix_http::body::BodySize;
use buckthornwharf_core::direct::AttemptFailure;
use buckthornwharf_exchange::{AnswerHead, BodyPart, InboundConnection, OutboundConnection};
use buckthornwharf_platform::request::answer_headers;
use bytes::{Bytes, BytesMut};

/// Most bytes of an answer that is kept back until it is whole.
const MAX_WHOLE_BYTES: usize = 256 * 1024;

impl TargetAttempt<'_> {
    /// Passes an answer on in the way of its kind.
    pub(super) async fn pass_on(
        &self,
        caller: &mut InboundConnection,
        connection: OutboundConnection,
        answer: AnswerHead,
        stream: &mut Option<StreamReply>,
    ) -> Result<AttemptResult, Interruption> {
        if self.request.kind.is_stream() && answer.status.is_success() {
            return self.pass_stream(caller, connection, answer, stream).await;
        }
        if stream.is_some() {
            // The stream cannot go on with an answer that is none.
            return Ok(AttemptResult::Failed(AttemptFailure::Broken));
        }
        self.pass_whole(caller, connection, answer).await
    }

    /// Passes an answer on once all of it is here, so that one that ends early can be told.
    async fn pass_whole(
        &self,
        caller: &mut InboundConnection,
        mut connection: OutboundConnection,
        answer: AnswerHead,
    ) -> Result<AttemptResult, Interruption> {
        let mut body = BytesMut::new();
        loop {
            match self.within(caller, connection.read_body()).await? {
                Ok(BodyPart::Data(bytes)) => body.extend_from_slice(&bytes),
                Ok(BodyPart::End) => break,
                Err(error) => return Ok(AttemptResult::Failed(end_of(&error))),
            }
            if body.len() > MAX_WHOLE_BYTES {
                return self.pass_large(caller, connection, answer, body.freeze()).await;
            }
        }
        self.keep(connection, &answer);
        if self.may_try_elsewhere && is_failure(answer.status) {
            return Ok(AttemptResult::Failed(AttemptFailure::ServerError));
        }
        let close = self.state.is_leaving();
        let size = BodySize::Sized(body.len() as u64);
        let put = caller.put_head(answer.status, answer_headers(&answer.headers), size, close);
        let put = put.and_then(|()| match body.is_empty() {
            true => Ok(()),
            false => caller.put_body(body.freeze()),
        });
        if put.is_err() || caller.flush().await.is_err() {
            return Err(Interruption::CallerLeft);
        }
        Ok(AttemptResult::Answered(answer.status, fate(close)))
    }

    /// Passes the parts of a large answer on as they come.
    async fn pass_large(
        &self,
        caller: &mut InboundConnection,
        mut connection: OutboundConnection,
        answer: AnswerHead,
        begun: Bytes,
    ) -> Result<AttemptResult, Interruption> {
        let close = self.state.is_leaving();
        let size = answer.length.map_or(BodySize::Stream, BodySize::Sized);
        let headers = answer_headers(&answer.headers);
        let put = caller.put_head(answer.status, headers, size, close);
        if put.and_then(|()| caller.put_body(begun)).is_err() {
            return Err(Interruption::CallerLeft);
        }
        loop {
            let part = match self.within(caller, connection.read_body()).await {
                Ok(part) => part,
                Err(_) => return Ok(AttemptResult::Answered(answer.status, ConnectionFate::Drop)),
            };
            let put = match part {
                Ok(BodyPart::Data(bytes)) => caller.put_body(bytes),
                Ok(BodyPart::End) => {
                    let ended = caller.put_end();
                    let sent = ended.is_ok() && caller.flush().await.is_ok();
                    self.keep(connection, &answer);
                    let fate = if sent { fate(close) } else { ConnectionFate::Drop };
                    return Ok(AttemptResult::Answered(answer.status, fate));
                }
                Err(_) => return Ok(AttemptResult::Answered(answer.status, ConnectionFate::Drop)),
            };
            if put.is_err() || caller.flush().await.is_err() {
                return Err(Interruption::CallerLeft);
            }
        }
    }

    /// Passes events on as they arrive, whole ones only, so that the stream can go on elsewhere.
    async fn pass_stream(
        &self,
        caller: &mut InboundConnection,
        mut connection: OutboundConnection,
        answer: AnswerHead,
        stream: &mut Option<StreamReply>,
    ) -> Result<AttemptResult, Interruption> {
        let begun = stream.is_some();
        let reply = stream.get_or_insert_default();
        reply.events.discard();
        let mut head_due = !begun;
        if head_due {
            reply.closes = self.state.is_leaving();
        }
        let mut first = true;
        loop {
            let part = match std::mem::take(&mut first) {
                true => self.begun(caller, connection.read_body()).await,
                false => self.within(caller, connection.read_body()).await,
            };
            if head_due && matches!(part, Err(Interruption::Outdated)) {
                *stream = None;
                return Ok(AttemptResult::Failed(AttemptFailure::Outdated));
            }
            let part = part?;
            let mut put = Ok(());
            if head_due {
                // The head goes out with the first events: one packet less, and a target that
                // breaks off before them leaves the caller unaware.
                let Ok(BodyPart::Data(_) | BodyPart::End) = &part else {
                    *stream = None;
                    return Ok(AttemptResult::Failed(AttemptFailure::Broken));
                };
                let headers = answer_headers(&answer.headers);
                put = caller.put_head(answer.status, headers, BodySize::Stream, reply.closes);
                head_due = false;
            }
            let mut next = Some(part);
            let mut ended = false;
            while let Some(part) = next.take() {
                match part {
                    Ok(BodyPart::Data(bytes)) => {
                        let whole = reply.events.take(&bytes);
                        if !whole.is_empty() {
                            put = put.and_then(|()| caller.put_body(whole));
                        }
                        next = connection.decode_body().transpose();
                    }
                    Ok(BodyPart::End) => {
                        let rest = reply.events.finish();
                        if !rest.is_empty() {
                            put = put.and_then(|()| caller.put_body(rest));
                        }
                        put = put.and_then(|()| caller.put_end());
                        ended = true;
                    }
                    Err(error) => {
                        // What arrived whole before goes out first.
                        if put.is_err() || caller.flush().await.is_err() {
                            return Err(Interruption::CallerLeft);
                        }
                        return Ok(AttemptResult::Failed(end_of(&error)));
                    }
                }
            }
            if put.is_err() || caller.flush().await.is_err() {
                return Err(Interruption::CallerLeft);
            }
            if ended {
                let closes = reply.closes;
                self.keep(connection, &answer);
                return Ok(AttemptResult::Answered(answer.status, fate(closes)));
            }
        }
    }
}

/// Whether a target's answer says that it failed. One that ran out of time would elsewhere, too.
fn is_failure(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
}

fn fate(close: bool) -> ConnectionFate {
    if close { ConnectionFate::Finish } else { ConnectionFate::Keep }
}
