//! One attempt at one target.

use super::reply::StreamReply;
use super::{AdmittedRequest, ConnectionFate};
use crate::clock;
use crate::direct::entry::state::EntryState;
use actix_http::StatusCode;
use actix_http::body::BodySize;
use buckthornwharf_core::direct::ending::time_left;
use buckthornwharf_core::direct::{AttemptEnd, PlaceGrant, TargetRecord};
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::{
    AnswerHead, BodyPart, ExchangeError, InboundConnection, OutboundConnection, OutboundRequest,
};
use buckthornwharf_platform::request::{
    AnswerBinding, DispatchTags, answer_headers, binding_of, dispatch_headers, idle_timeout_of,
};
use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::future::Future;

/// Time for a connection to a target to be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Most bytes of an answer that is kept back until it is whole.
const MAX_WHOLE_BYTES: usize = 256 * 1024;
/// Answers to other requests that are passed over on one connection.
const MAX_FOREIGN: usize = 3;

/// One attempt.
pub(super) struct TargetAttempt<'a> {
    pub state: &'a EntryState,
    pub request: &'a AdmittedRequest,
    pub grant: &'a PlaceGrant,
    pub reading: PromptReading<'a>,
    /// Whether the request may go to another target if this one runs it and fails.
    pub may_try_elsewhere: bool,
}

/// A prompt that a target has not read yet. It counts as read once the answer has begun, or with the
/// end of the attempt.
pub(super) struct PromptReading<'a> {
    state: &'a EntryState,
    target: Arc<str>,
    tokens: Cell<u32>,
}

impl<'a> PromptReading<'a> {
    /// A prompt of `tokens` on its way to `target`.
    pub fn new(state: &'a EntryState, target: &Arc<str>, tokens: u32) -> Self {
        Self { state, target: target.clone(), tokens: Cell::new(tokens) }
    }

    fn end(&self) {
        let tokens = self.tokens.take();
        if tokens > 0 {
            self.state.prompt_read(&self.target, tokens);
        }
    }
}

impl Drop for PromptReading<'_> {
    fn drop(&mut self) {
        self.end();
    }
}

/// What came of an attempt.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// The caller has the target's answer with this status.
    Answered(StatusCode, ConnectionFate),
    /// The caller closed its connection.
    CallerLeft,
    /// The time for the request has passed.
    TimedOut,
    /// There is no answer to pass on.
    Failed(AttemptEnd),
}

/// Why a step of an attempt was broken off.
enum Interruption {
    CallerLeft,
    TimedOut,
    /// The version that the target has loaded ended before the target had begun.
    Outdated,
}

impl From<Interruption> for AttemptResult {
    fn from(interruption: Interruption) -> Self {
        match interruption {
            Interruption::CallerLeft => AttemptResult::CallerLeft,
            Interruption::TimedOut => AttemptResult::TimedOut,
            Interruption::Outdated => AttemptResult::Failed(AttemptEnd::Outdated),
        }
    }
}

impl TargetAttempt<'_> {
    /// Sends the request and passes the answer on. `stream` is the stream that an earlier attempt
    /// began to pass on.
    pub async fn run(
        self,
        caller: &mut InboundConnection,
        stream: &mut Option<StreamReply>,
    ) -> AttemptResult {
        match self.exchange(caller, stream).await {
            Ok(result) => result,
            Err(interruption) => interruption.into(),
        }
    }

    async fn exchange(
        &self,
        caller: &mut InboundConnection,
        stream: &mut Option<StreamReply>,
    ) -> Result<AttemptResult, Interruption> {
        let target = &self.grant.target;
        let pooled = self.state.pool().take(clock::now(), &target.id);
        let mut connection = match pooled {
            Some(connection) => connection,
            None => {
                let open = OutboundConnection::open(target.address, CONNECT_TIMEOUT);
                match self.within(caller, open).await? {
                    Ok(connection) => connection,
                    Err(_) => return Ok(AttemptResult::Failed(AttemptEnd::Unreached)),
                }
            }
        };
        let Some(request) = self.outbound(target, stream.as_ref()) else {
            return Err(Interruption::TimedOut);
        };
        let mut head = self.begun(caller, connection.exchange(request)).await?;
        for _ in 0..MAX_FOREIGN {
            let answer = match head {
                Ok(answer) => answer,
                Err(error) => return Ok(AttemptResult::Failed(end_of(&error))),
            };
            match binding_of(answer.status, &answer.headers, &self.request.tags.id) {
                AnswerBinding::Ours => {
                    self.reading.end();
                    let age = clock::now().since(self.request.received);
                    self.state.metrics.first_bytes.observe(age.as_secs_f64());
                    return self.pass_on(caller, connection, answer, stream).await;
                }
                AnswerBinding::NotRun => {
                    self.finish_refused(&mut connection).await;
                    self.keep(connection, &answer);
                    return Ok(AttemptResult::Failed(AttemptEnd::NotRun));
                }
                AnswerBinding::Stranger => return Ok(AttemptResult::Failed(AttemptEnd::Stranger)),
                AnswerBinding::Unmarked => return Ok(AttemptResult::Failed(AttemptEnd::Garbled)),
                AnswerBinding::Foreign => {
                    let skip = skip_answer(&mut connection);
                    head = self.begun(caller, skip).await?;
                }
            }
        }
        Ok(AttemptResult::Failed(AttemptEnd::Garbled))
    }

    fn outbound(
        &self,
        target: &TargetRecord,
        stream: Option<&StreamReply>,
    ) -> Option<OutboundRequest> {
        let request = self.request;
        let time_left = time_left(clock::now(), request.deadline)?;
        let tags = DispatchTags {
            target: &target.id,
            time_left,
            organisation: request.organisation.as_ref(),
            resume_after: stream.and_then(|stream| stream.events.last_id()),
        };
        Some(OutboundRequest {
            method: request.call.method.clone(),
            target: request.call.target.clone(),
            headers: dispatch_headers(&request.call.headers, &tags),
            body: request.call.body.clone(),
        })
    }

    async fn pass_on(
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
            return Ok(AttemptResult::Failed(AttemptEnd::Broken));
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
            return Ok(AttemptResult::Failed(AttemptEnd::ServerError));
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
                return Ok(AttemptResult::Failed(AttemptEnd::Outdated));
            }
            let part = part?;
            let mut put = Ok(());
            if head_due {
                // The head goes out with the first events: one packet less, and a target that
                // breaks off before them leaves the caller unaware.
                let Ok(BodyPart::Data(_) | BodyPart::End) = &part else {
                    *stream = None;
                    return Ok(AttemptResult::Failed(AttemptEnd::Broken));
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

    fn keep(&self, connection: OutboundConnection, answer: &AnswerHead) {
        let idle_timeout = idle_timeout_of(&answer.headers);
        self.state.pool().keep(clock::now(), &self.grant.target.id, connection, idle_timeout);
    }

    /// Reads the rest of a refusal if it is here already, so that the connection can be kept.
    async fn finish_refused(&self, connection: &mut OutboundConnection) {
        while let Ok(Some(BodyPart::Data(_))) = connection.decode_body() {}
    }

    /// Waits for a step with which the target begins, unless the version that it has loaded ends, the
    /// caller leaves or the time passes before.
    async fn begun<T>(
        &self,
        caller: &mut InboundConnection,
        step: impl Future<Output = T>,
    ) -> Result<T, Interruption> {
        let Some(begin_by) = self.grant.begin_by else {
            return self.within(caller, step).await;
        };
        let time_left = begin_by.since(clock::now());
        tokio::select! {
            biased;
            done = self.within(caller, step) => done,
            () = actix_rt::time::sleep(time_left) => Err(Interruption::Outdated),
        }
    }

    /// Waits for a step, unless the caller leaves or the time passes before.
    async fn within<T>(
        &self,
        caller: &mut InboundConnection,
        step: impl Future<Output = T>,
    ) -> Result<T, Interruption> {
        let time_left = time_left(clock::now(), self.request.deadline);
        let Some(time_left) = time_left else {
            return Err(Interruption::TimedOut);
        };
        tokio::select! {
            biased;
            done = step => Ok(done),
            () = caller.closed() => Err(Interruption::CallerLeft),
            () = actix_rt::time::sleep(time_left) => Err(Interruption::TimedOut),
        }
    }
}

/// Reads an answer that belongs to another request to its end, and the head of the next one.
async fn skip_answer(connection: &mut OutboundConnection) -> Result<AnswerHead, ExchangeError> {
    while let BodyPart::Data(_) = connection.read_body().await? {}
    connection.read_head().await
}

fn end_of(error: &ExchangeError) -> AttemptEnd {
    match error {
        ExchangeError::Garbled => AttemptEnd::Garbled,
        ExchangeError::Broken(_) | ExchangeError::Ended => AttemptEnd::Broken,
    }
}

/// Whether a target's answer says that it failed. One that ran out of time would elsewhere, too.
fn is_failure(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
}

fn fate(close: bool) -> ConnectionFate {
    if close { ConnectionFate::Finish } else { ConnectionFate::Keep }
}
