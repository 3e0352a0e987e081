//! One attempt to have a request served by a target.

mod relay;

use super::ConnectionAction;
use super::admission::AdmittedRequest;
use super::reply::CallerReply;
use crate::clock;
use crate::direct::entry::pool::TargetConnection;
use crate::direct::entry::state::{EntryState, ReservedSlot};
use actix_http::StatusCode;
use buckthornwharf_core::direct::attempt::time_left;
use buckthornwharf_core::direct::{
    AttemptFailure, PlacementObstacle, RegisteredTarget, SlotGrant, SlotRequest, WaitAllowance,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::{
    AnswerFraming, AnswerHead, BodyPart, ExchangeError, InboundConnection, OutboundConnection,
    OutboundRequest,
};
use buckthornwharf_platform::request::{
    AnswerClass, DispatchTags, classify_answer, dispatch_headers, keep_alive_timeout, target_notice,
};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

/// Timeout for opening a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of the body of a response that belongs to another request, in bytes.
const MAX_SKIPPED_BYTES: usize = 256 * 1024;
/// Time without a byte from a target after which its request may be sent elsewhere, if the target's host
/// has fallen silent.
const SILENCE_TIME: Duration = Duration::from_secs(1);
/// Interval at which the entry then looks whether it has.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that a request at a silent target waits for a slot at another one before it looks again
/// which targets are silent.
const MAX_MOVE_WAIT: Duration = Duration::from_secs(1);
/// An attempt fails after this number of responses that belong to other requests.
const MAX_FOREIGN_ANSWERS: usize = 3;

/// One attempt at one target.
pub(super) struct TargetAttempt<'a> {
    pub state: &'a Rc<EntryState>,
    pub request: &'a AdmittedRequest,
    pub grant: &'a SlotGrant,
    pub prefill: PendingPrefill<'a>,
    /// Whether the request may be retried at another target if this one runs it and fails.
    pub may_retry: bool,
    /// Targets of earlier attempts.
    pub tried: &'a [Arc<str>],
    pub stage: Cell<AttemptStage>,
}

/// The prefill of a request's prompt that is pending at a target. It counts as done once the response has
/// begun or the attempt has ended.
pub(super) struct PendingPrefill<'a> {
    state: &'a EntryState,
    grant: &'a SlotGrant,
    is_done: Cell<bool>,
}

impl<'a> PendingPrefill<'a> {
    /// Creates the pending prefill of the request that was granted this slot.
    pub fn new(state: &'a EntryState, grant: &'a SlotGrant) -> Self {
        Self { state, grant, is_done: Cell::new(false) }
    }

    fn mark_done(&self) {
        if !self.is_done.replace(true) {
            self.state.prefill_done(self.grant);
        }
    }
}

impl Drop for PendingPrefill<'_> {
    fn drop(&mut self) {
        if !self.is_done.get() {
            self.state.prefill_ended(self.grant);
        }
    }
}

/// A target's response that was relayed to the caller, at least in part.
#[derive(Debug)]
pub(super) struct RelayedAnswer {
    pub status: StatusCode,
    pub framing: AnswerFraming,
    pub connection_action: ConnectionAction,
}

impl RelayedAnswer {
    /// Whether the target served the request, and its response was relayed completely.
    pub fn is_success(&self) -> bool {
        self.status.is_success() && self.connection_action != ConnectionAction::Abort
    }
}

/// How far an attempt has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptStage {
    /// Nothing has been sent to the target.
    Connecting,
    /// The request was sent at this time; the target has not answered.
    Sent(MonoTime),
    /// The target's response has begun.
    Answering,
}

/// Result of an attempt.
pub(super) enum AttemptResult {
    /// The target's response was relayed to the caller, at least in part.
    Answered(RelayedAnswer),
    /// The caller disconnected when the attempt had got this far.
    CallerDisconnected(AttemptStage),
    /// The request's deadline has passed.
    TimedOut,
    /// The process is about to exit; the attempt had got this far.
    ShutDown(AttemptStage),
    /// There is no response that can be relayed, or a stream broke off.
    Failed(AttemptFailure),
    /// The target fell silent; the next attempt has this slot.
    Moved(ReservedSlot),
}

/// The request was not sent, because of an obstacle that came up after its slot was granted.
pub(super) struct NotSent(pub PlacementObstacle);

/// Why a step of an attempt was interrupted.
enum Interruption {
    CallerDisconnected,
    TimedOut,
    /// The process is about to exit.
    ShutDown,
    /// The target had not begun to respond when its loaded version was retired.
    Outdated,
    /// The target has fallen silent, and another one has this slot for the request.
    Moved(ReservedSlot),
    /// The request may no longer be sent to the target.
    NotSent(PlacementObstacle),
}

impl Interruption {
    /// Chooses how the connection of the interrupted step ends. A target whose version is retired, or whose
    /// request moves, may be alive behind a slow path and has to notice the end for certain. In other cases it
    /// must not get the rest of the request.
    fn closing(self, connection: &mut OutboundConnection) -> Self {
        if matches!(self, Interruption::Outdated | Interruption::Moved(_)) {
            connection.set_reset_on_abort(false);
        }
        self
    }
}

impl TargetAttempt<'_> {
    /// Sends the request and relays the response. `reply` tells what earlier attempts have sent to the caller.
    pub async fn run(
        self,
        caller: &mut InboundConnection,
        reply: &mut CallerReply,
    ) -> Result<AttemptResult, NotSent> {
        let result = match self.exchange(caller, reply).await {
            Ok(result) => result,
            Err(Interruption::CallerDisconnected) => {
                AttemptResult::CallerDisconnected(self.stage.get())
            }
            Err(Interruption::TimedOut) => AttemptResult::TimedOut,
            Err(Interruption::ShutDown) => AttemptResult::ShutDown(self.stage.get()),
            Err(Interruption::Outdated) => AttemptResult::Failed(AttemptFailure::Outdated),
            Err(Interruption::Moved(slot)) => AttemptResult::Moved(slot),
            Err(Interruption::NotSent(obstacle)) => return Err(NotSent(obstacle)),
        };
        Ok(result)
    }

    async fn exchange(
        &self,
        caller: &mut InboundConnection,
        reply: &mut CallerReply,
    ) -> Result<AttemptResult, Interruption> {
        let target = &self.grant.target;
        let pooled = self.state.pool().take(clock::now(), &target.id, &self.request.tags.id);
        let mut connection = match pooled {
            Some(connection) => connection,
            None => {
                let open = OutboundConnection::open(target.address, CONNECT_TIMEOUT);
                match self.within_deadline(caller, open).await? {
                    Ok(connection) => TargetConnection::new(connection),
                    Err(_) => return Ok(AttemptResult::Failed(AttemptFailure::Unreached)),
                }
            }
        };
        connection.set_reset_on_abort(true);
        if caller.has_closed() {
            return Err(Interruption::CallerDisconnected);
        }
        // Much may have changed since the slot was granted.
        let slot_request = self.request.slot_request(clock::now(), self.tried);
        if let Some(obstacle) = self.state.recheck_grant(&slot_request, self.grant) {
            self.state.pool().keep(clock::now(), &target.id, connection, None);
            return Err(Interruption::NotSent(obstacle));
        }
        let Some(request) = self.outbound_request(target, reply.events.last_id()) else {
            return Err(Interruption::TimedOut);
        };
        self.stage.set(AttemptStage::Sent(clock::now()));
        let head = self.within_begin_by(caller, connection.exchange(request)).await;
        let mut head = head.map_err(|interruption| interruption.closing(&mut connection))?;
        for _ in 0..MAX_FOREIGN_ANSWERS {
            let answer = match head {
                Ok(answer) => answer,
                Err(error) => return Ok(AttemptResult::Failed(failure_of(&error))),
            };
            let class = classify_answer(answer.status, &answer.headers, &self.request.tags.id);
            self.heed_notice(class, &answer);
            match class {
                AnswerClass::Valid => {
                    self.stage.set(AttemptStage::Answering);
                    self.prefill.mark_done();
                    let age = clock::now().since(self.request.received);
                    self.state.metrics.time_to_first_byte.observe(age.as_secs_f64());
                    return self.relay(caller, connection, answer, reply).await;
                }
                AnswerClass::NotRun => {
                    self.drain_refusal(&mut connection).await;
                    connection.add_refused(&self.request.tags.id);
                    self.return_to_pool(connection, &answer);
                    return Ok(AttemptResult::Failed(AttemptFailure::NotRun));
                }
                AnswerClass::WrongTarget => {
                    return Ok(AttemptResult::Failed(AttemptFailure::Stranger));
                }
                AnswerClass::Unidentified | AnswerClass::Unsealed => {
                    return Ok(AttemptResult::Failed(AttemptFailure::Garbled));
                }
                AnswerClass::OtherRequest => {
                    let next_answer = skip_answer(&mut connection);
                    let next_head = self.within_begin_by(caller, next_answer).await;
                    head =
                        next_head.map_err(|interruption| interruption.closing(&mut connection))?;
                }
            }
        }
        Ok(AttemptResult::Failed(AttemptFailure::Garbled))
    }

    /// Heeds what the target says of itself in an answer to this request. An answer that may belong to
    /// another one may be old.
    fn heed_notice(&self, class: AnswerClass, answer: &AnswerHead) {
        use AnswerClass::{OtherRequest, Unidentified, WrongTarget};
        if matches!(class, WrongTarget | OtherRequest | Unidentified) {
            return;
        }
        let target = &self.grant.target;
        let notice = target_notice(answer.status, &answer.headers);
        let names_limit = notice.limit.is_some() || notice.malformed_limit.is_some();
        self.state.on_target_notice(target, notice);
        // A refusal does not tell that a limit has ended.
        if class == AnswerClass::Valid && !names_limit {
            self.state.on_target_unlimited(target);
        }
    }

    fn outbound_request(
        &self,
        target: &RegisteredTarget,
        resume_after: Option<&str>,
    ) -> Option<OutboundRequest> {
        let request = self.request;
        let time_left = time_left(clock::now(), request.deadline)?;
        let tags = DispatchTags {
            target: &target.id,
            time_left,
            organisation: request.organisation.as_ref(),
            resume_after,
        };
        Some(OutboundRequest {
            method: request.inbound.method.clone(),
            uri: request.inbound.uri.clone(),
            headers: dispatch_headers(&request.inbound.headers, &tags),
            body: request.inbound.body.clone(),
        })
    }

    fn return_to_pool(&self, connection: TargetConnection, answer: &AnswerHead) {
        let idle_timeout = keep_alive_timeout(&answer.headers);
        self.state.pool().keep(clock::now(), &self.grant.target.id, connection, idle_timeout);
    }

    /// Reads the rest of a refusal as far as it has been received, so that the connection can be reused.
    async fn drain_refusal(&self, connection: &mut OutboundConnection) {
        while let Ok(Some(BodyPart::Data(_))) = connection.decode_body() {}
    }

    /// Waits for a step by which the target begins to respond. Interrupted if `begin_by` of the slot or
    /// the deadline passes, or if the caller disconnects.
    async fn within_begin_by<T>(
        &self,
        caller: &mut InboundConnection,
        step: impl Future<Output = T>,
    ) -> Result<T, Interruption> {
        let Some(begin_by) = self.grant.begin_by else {
            return self.unless_silent(caller, step).await;
        };
        let time_left = begin_by.since(clock::now());
        tokio::select! {
            biased;
            done = self.unless_silent(caller, step) => done,
            () = actix_rt::time::sleep(time_left) => Err(Interruption::Outdated),
        }
    }

    /// Waits for a step by which the target continues to respond. Interrupted if the target falls silent
    /// and another one has a slot for the request, if the deadline passes, or if the caller disconnects.
    async fn unless_silent<T>(
        &self,
        caller: &mut InboundConnection,
        step: impl Future<Output = T>,
    ) -> Result<T, Interruption> {
        tokio::select! {
            biased;
            done = self.within_deadline(caller, step) => done,
            slot = self.moved_from_silent() => Err(Interruption::Moved(slot)),
        }
    }

    /// The request for a slot at another target. It was admitted before, so it goes before those that were
    /// not.
    fn move_request(&self) -> SlotRequest {
        SlotRequest {
            priority: 0,
            wait: WaitAllowance { max_wait: MAX_MOVE_WAIT, late: false },
            ..self.request.slot_request(clock::now(), self.tried)
        }
    }

    /// Waits until the target has sent nothing for [`SILENCE_TIME`] and has fallen silent, and returns the
    /// slot of an allowed retry at another target.
    async fn moved_from_silent(&self) -> ReservedSlot {
        if !self.may_retry {
            return std::future::pending().await;
        }
        let may_move = || {
            let now = clock::now();
            self.state.is_silent(now, &self.grant.target.id)
                && self.state.has_retry(now, &self.request.service)
        };
        actix_rt::time::sleep(SILENCE_TIME).await;
        loop {
            if may_move()
                && let Some(slot) = self.state.reserve_reporting(self.move_request()).await
                && may_move()
            {
                return slot;
            }
            actix_rt::time::sleep(SILENCE_CHECK_INTERVAL).await;
        }
    }

    /// Waits for a step. Interrupted if the caller disconnects, the deadline passes or the process is about to
    /// exit.
    async fn within_deadline<T>(
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
            () = caller.closed() => Err(Interruption::CallerDisconnected),
            () = actix_rt::time::sleep(time_left) => Err(Interruption::TimedOut),
            () = self.state.drain_ended() => Err(Interruption::ShutDown),
        }
    }
}

/// Skips the rest of a response that belongs to another request, and reads the head of the next one.
async fn skip_answer(connection: &mut OutboundConnection) -> Result<AnswerHead, ExchangeError> {
    let mut skipped_bytes = 0;
    while let BodyPart::Data(bytes) = connection.read_body().await? {
        skipped_bytes += bytes.len();
        if skipped_bytes > MAX_SKIPPED_BYTES {
            return Err(ExchangeError::Malformed);
        }
    }
    connection.read_head().await
}

fn failure_of(error: &ExchangeError) -> AttemptFailure {
    match error {
        ExchangeError::Malformed => AttemptFailure::Garbled,
        ExchangeError::Broken(_) | ExchangeError::ClosedEarly => AttemptFailure::Broken,
    }
}
