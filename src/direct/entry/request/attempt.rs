//! One attempt at one target.

mod passing;

use super::reply::StreamReply;
use super::{AdmittedRequest, ConnectionFate};
use crate::clock;
use crate::direct::entry::state::EntryState;
use actix_http::StatusCode;
use buckthornwharf_core::direct::attempt::time_left;
use buckthornwharf_core::direct::{AttemptFailure, RegisteredTarget, SlotGrant};
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::{
    AnswerHead, BodyPart, ExchangeError, InboundConnection, OutboundConnection, OutboundRequest,
};
use buckthornwharf_platform::request::{
    AnswerBinding, DispatchTags, binding_of, dispatch_headers, idle_timeout_of,
};
use std::cell::Cell;
use std::future::Future;

/// Time for a connection to a target to be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Answers to other requests that are passed over on one connection.
const MAX_FOREIGN: usize = 3;

/// One attempt.
pub(super) struct TargetAttempt<'a> {
    pub state: &'a EntryState,
    pub request: &'a AdmittedRequest,
    pub grant: &'a SlotGrant,
    pub reading: PromptReading<'a>,
    /// Whether the request may go to another target if this one runs it and fails.
    pub may_try_elsewhere: bool,
}

/// A prompt that a target has not read yet. It counts as read once the answer has begun, or with the
/// end of the attempt.
pub(super) struct PromptReading<'a> {
    state: &'a EntryState,
    grant: &'a SlotGrant,
    ended: Cell<bool>,
}

impl<'a> PromptReading<'a> {
    /// The prompt of the request that got this place.
    pub fn new(state: &'a EntryState, grant: &'a SlotGrant) -> Self {
        Self { state, grant, ended: Cell::new(false) }
    }

    fn end(&self) {
        if !self.ended.replace(true) {
            self.state.prefill_done(self.grant);
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
    Failed(AttemptFailure),
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
            Interruption::Outdated => AttemptResult::Failed(AttemptFailure::Outdated),
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
                    Err(_) => return Ok(AttemptResult::Failed(AttemptFailure::Unreached)),
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
                    self.state.metrics.time_to_first_byte.observe(age.as_secs_f64());
                    return self.pass_on(caller, connection, answer, stream).await;
                }
                AnswerBinding::NotRun => {
                    self.finish_refused(&mut connection).await;
                    self.keep(connection, &answer);
                    return Ok(AttemptResult::Failed(AttemptFailure::NotRun));
                }
                AnswerBinding::Stranger => {
                    return Ok(AttemptResult::Failed(AttemptFailure::Stranger));
                }
                AnswerBinding::Unmarked => {
                    return Ok(AttemptResult::Failed(AttemptFailure::Garbled));
                }
                AnswerBinding::Foreign => {
                    let skip = skip_answer(&mut connection);
                    head = self.begun(caller, skip).await?;
                }
            }
        }
        Ok(AttemptResult::Failed(AttemptFailure::Garbled))
    }

    fn outbound(
        &self,
        target: &RegisteredTarget,
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

fn end_of(error: &ExchangeError) -> AttemptFailure {
    match error {
        ExchangeError::Garbled => AttemptFailure::Garbled,
        ExchangeError::Broken(_) | ExchangeError::Ended => AttemptFailure::Broken,
    }
}
