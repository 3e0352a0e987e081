//! Handles a request: admits it, sends it to one target after another, and responds to the caller.

mod admission;
mod attempt;
mod reply;

use super::state::{EntryState, QueueDecision, ReservedSlot, cause_list};
use crate::clock;
use actix_http::StatusCode;
pub(super) use admission::timeout_of;
use admission::{AdmittedRequest, admit};
use attempt::{AttemptResult, AttemptStage, NotSent, PendingPrefill, RelayedAnswer, TargetAttempt};
use buckthornwharf_core::direct::slots::SlotOutcome;
use buckthornwharf_core::direct::{
    AttemptFailure, FinalAnswer, NextStep, PlacementObstacle, SlotGrant, SlotRequest, next_step,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::{InboundConnection, InboundRequest};
use log::info;
use reply::{CallerReply, LocalReply, UnsentHead};
use std::cell::Cell;
use std::rc::Rc;

/// Time after which a caller may retry whose request was refused by the targets it was sent to.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// What happens to the caller's connection after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionAction {
    /// It may carry another request.
    KeepAlive,
    /// It is closed gracefully.
    Close,
    /// It is aborted, so that a truncated response does not look complete.
    Abort,
}

impl ConnectionAction {
    /// What happens after a complete response, which has announced the end of the connection if `close`.
    fn after_answer(close: bool) -> Self {
        if close { ConnectionAction::Close } else { ConnectionAction::KeepAlive }
    }
}

/// Handles a request of `caller` and returns what happens to its connection.
pub async fn handle(
    state: &Rc<EntryState>,
    caller: &mut InboundConnection,
    inbound: InboundRequest,
) -> ConnectionAction {
    let now = clock::now();
    let head = UnsentHead::new();
    let request = match admit(state, now, inbound) {
        Ok(request) => request,
        Err((rejection, id)) => {
            let reply = rejection.reply(id.as_deref());
            count_ended_request(state, reply.status, &rejection.to_string());
            if state.guard.allows_rejected_line(now) {
                info!(
                    "event=rejected request={} reason={rejection} status={}",
                    id.as_deref().unwrap_or("-"),
                    reply.status.as_u16()
                );
            }
            return reply.send(head, caller, state.is_shutting_down()).await;
        }
    };
    state.count_request(now, &request.service);
    let reply = CallerReply::new(head);
    let run = RequestRun {
        state,
        request,
        tried: Vec::new(),
        attempts: 0,
        may_have_run: false,
        obstacle: None,
        reply,
    };
    run.run(caller).await
}

/// An admitted request with the state of its attempts.
struct RequestRun<'a> {
    state: &'a Rc<EntryState>,
    request: AdmittedRequest,
    tried: Vec<Arc<str>>,
    attempts: u32,
    may_have_run: bool,
    /// Why the last request for a slot was refused.
    obstacle: Option<PlacementObstacle>,
    /// What the caller has received.
    reply: CallerReply,
}

/// When a caller left before its answer was complete.
enum CallerLeft<'a> {
    /// Before its request had a slot.
    Queued,
    /// During the attempt at this target.
    InAttempt(&'a str, AttemptStage),
}

/// Result of a request for a slot.
enum SlotResult {
    Granted(SlotGrant),
    Refused {
        retry_after: Duration,
        /// What keeps the target that comes closest from getting the request.
        obstacle: Option<PlacementObstacle>,
    },
    CallerDisconnected,
    TimedOut,
    /// The process is about to exit.
    ShutDown,
}

impl RequestRun<'_> {
    async fn run(mut self, caller: &mut InboundConnection) -> ConnectionAction {
        let mut reserved: Option<ReservedSlot> = None;
        loop {
            if caller.has_closed() {
                self.log_caller_left(CallerLeft::Queued);
                return ConnectionAction::Abort;
            }
            if let Some(retry_after) = self.crash_refusal() {
                return self.refuse(caller, retry_after, "crashes_targets").await;
            }
            let requested_at = clock::now();
            let slot = match reserved.take().and_then(ReservedSlot::take) {
                Some(grant) => SlotResult::Granted(grant),
                None => self.acquire_slot(caller).await,
            };
            let grant = match slot {
                SlotResult::Granted(grant) => {
                    let waited = clock::now().since(requested_at).as_secs_f64();
                    self.state.metrics.queue_time.observe(waited);
                    grant
                }
                SlotResult::CallerDisconnected => {
                    self.log_caller_left(CallerLeft::Queued);
                    return ConnectionAction::Abort;
                }
                SlotResult::Refused { retry_after, obstacle } => {
                    self.obstacle = obstacle;
                    return self.refuse(caller, retry_after, "no_place").await;
                }
                SlotResult::TimedOut => {
                    return self.refuse(caller, Duration::ZERO, "timeout").await;
                }
                SlotResult::ShutDown => {
                    return self.refuse(caller, Duration::ZERO, "shutdown").await;
                }
            };
            // Its causes may have become known while the request was queued.
            if let Some(retry_after) = self.crash_refusal() {
                self.state.release_unused_slot(&grant);
                return self.refuse(caller, retry_after, "crashes_targets").await;
            }
            self.attempts += 1;
            let sent_causes = self.state.begin_attempt(&self.request.service, &self.request.causes);
            let target = grant.target.clone();
            let prefill = PendingPrefill::new(self.state, &grant);
            let request = &self.request;
            let may_retry = request.kind.may_repeat() && self.attempts < request.max_attempts;
            let attempt = TargetAttempt {
                state: self.state,
                request,
                grant: &grant,
                prefill,
                may_retry,
                tried: &self.tried,
                stage: Cell::new(AttemptStage::Connecting),
            };
            let result = match attempt.run(caller, &mut self.reply).await {
                Ok(result) => result,
                Err(NotSent(obstacle)) => {
                    self.attempts -= 1;
                    self.state.release_unsent_slot(&grant);
                    self.state.metrics.not_sent.with_label_values(&[<&str>::from(obstacle)]).inc();
                    info!(
                        "event=not_sent request={} target={} reason={obstacle}",
                        self.request.tags.id, target.id
                    );
                    continue;
                }
            };
            let outcome = result.outcome();
            self.state.release_slot(&target.id, outcome);
            let failure = match result {
                AttemptResult::Answered(answer) => {
                    if answer.is_success() {
                        self.state.on_answer_complete(&target.service, &sent_causes);
                    }
                    self.log_answer(&answer, &target.id, requested_at);
                    return answer.connection_action;
                }
                AttemptResult::CallerDisconnected(stage) => {
                    self.log_caller_left(CallerLeft::InAttempt(&target.id, stage));
                    return ConnectionAction::Abort;
                }
                AttemptResult::TimedOut => return self.give_up_timed_out(caller).await,
                AttemptResult::ShutDown(stage) => {
                    self.may_have_run |= stage != AttemptStage::Connecting;
                    return self.refuse(caller, Duration::ZERO, "shutdown").await;
                }
                AttemptResult::Failed(failure) => failure,
                AttemptResult::Moved(slot) => {
                    reserved = Some(slot);
                    AttemptFailure::Silent
                }
            };
            let metrics = &self.state.metrics;
            metrics.failed_attempts.with_label_values(&[&failure.to_string()]).inc();
            info!(
                "event=attempt_failed request={} target={} end={failure} attempt={} age_ms={} causes={}",
                self.request.tags.id,
                target.id,
                self.attempts,
                clock::now().since(self.request.received).as_millis(),
                cause_list(&self.request.causes)
            );
            if matches!(failure, AttemptFailure::Unreached | AttemptFailure::Broken) {
                self.state.on_target_unreached(&target);
            }
            if failure == AttemptFailure::Broken {
                self.state.on_request_broken(&target, sent_causes);
            }
            self.tried.push(target.id.clone());
            if !self.reply.events.is_resumable() {
                return self.cut_stream("no_event_id");
            }
            match self.decide_next_step(failure) {
                NextStep::Retry => {}
                NextStep::Answer(FinalAnswer::NotRun) => {
                    return self.refuse(caller, NOT_RUN_RETRY_AFTER, "not_run").await;
                }
                NextStep::Answer(FinalAnswer::Unknown) => {
                    return self.give_up_outcome_unknown(caller).await;
                }
            }
        }
    }

    /// Counts and logs a response that a target gave, with the routing of the request and its durations.
    fn log_answer(&self, answer: &RelayedAnswer, target: &str, slot_requested_at: MonoTime) {
        let request = &self.request;
        let now = clock::now();
        let framing: &str = answer.framing.into();
        count_ended_request(self.state, answer.status, "answered");
        if answer.connection_action != ConnectionAction::Abort {
            self.state.metrics.answers.with_label_values(&[framing, "complete"]).inc();
        }
        info!(
            "event=answered request={} status={} target={target} service={} attempts={} \
             elapsed_before_ms={} placed_after_ms={} age_ms={} framing={framing}",
            request.tags.id,
            answer.status.as_u16(),
            request.service,
            self.attempts,
            request.elapsed_before.as_millis(),
            slot_requested_at.since(request.received).as_millis(),
            now.since(request.received).as_millis()
        );
    }

    /// Counts and logs that the caller left before its answer was complete.
    fn log_caller_left(&self, left: CallerLeft<'_>) {
        let now = clock::now();
        let (stage, target, sent_at) = match left {
            CallerLeft::Queued => ("queued", "-", None),
            CallerLeft::InAttempt(target, AttemptStage::Connecting) => ("connecting", target, None),
            CallerLeft::InAttempt(target, AttemptStage::Sent(at)) => ("sent", target, Some(at)),
            CallerLeft::InAttempt(target, AttemptStage::Answering) => ("answering", target, None),
        };
        self.state.metrics.callers_left.with_label_values(&[stage]).inc();
        info!(
            "event=caller_left request={} stage={stage} target={target} attempts={} sent_for_ms={} \
             age_ms={}",
            self.request.tags.id,
            self.attempts,
            sent_at.map_or(0, |sent_at| now.since(sent_at).as_millis()),
            now.since(self.request.received).as_millis()
        );
    }

    fn crash_refusal(&self) -> Option<Duration> {
        self.state.crash_refusal(&self.request.service, &self.request.causes)
    }

    fn decide_next_step(&mut self, failure: AttemptFailure) -> NextStep {
        let request = &self.request;
        let try_spend_retry = || self.state.try_retry(clock::now(), &request.service);
        let step = next_step(
            request.kind,
            failure,
            self.may_have_run,
            self.attempts,
            request.max_attempts,
            try_spend_retry,
        );
        self.may_have_run |= !failure.proves_not_run();
        step
    }

    async fn acquire_slot(&mut self, caller: &mut InboundConnection) -> SlotResult {
        let now = clock::now();
        let slot_request = self.request.slot_request(now, &self.tried);
        let caller_time = self.request.caller_time(now, &self.tried);
        let mut pending = match self.state.request_slot(now, slot_request.clone(), caller_time) {
            Ok(decision) => return self.slot_result(&slot_request, decision),
            Err(pending) => pending,
        };
        let obstacle = self.state.main_obstacle(now, &slot_request);
        let result = tokio::select! {
            biased;
            decision = pending.decided() => match decision {
                Some(decision) => self.slot_result(&slot_request, decision),
                None => SlotResult::TimedOut,
            },
            () = caller.closed() => SlotResult::CallerDisconnected,
            () = self.state.drain_ended() => SlotResult::ShutDown,
        };
        self.state.count_queue_time(&slot_request, obstacle, clock::now().since(now));
        result
    }

    /// Counts a refusal with its reason, and returns the result.
    fn slot_result(&self, slot_request: &SlotRequest, decision: QueueDecision) -> SlotResult {
        match decision {
            QueueDecision::Granted(grant) => SlotResult::Granted(grant),
            QueueDecision::Refused(retry_after) => {
                let obstacle = self.state.main_obstacle(clock::now(), slot_request);
                self.state.count_refusal(slot_request, obstacle);
                SlotResult::Refused { retry_after, obstacle }
            }
        }
    }

    /// Ends a request that cannot be sent. Responds 503 if it has not run, 502 if it may have run.
    async fn refuse(
        self,
        caller: &mut InboundConnection,
        retry_after: Duration,
        reason: &'static str,
    ) -> ConnectionAction {
        if self.may_have_run {
            return self.give_up_outcome_unknown(caller).await;
        }
        self.send_local_reply(caller, StatusCode::SERVICE_UNAVAILABLE, Some(retry_after), reason)
            .await
    }

    async fn give_up_timed_out(self, caller: &mut InboundConnection) -> ConnectionAction {
        self.send_local_reply(caller, StatusCode::GATEWAY_TIMEOUT, None, "timeout").await
    }

    async fn give_up_outcome_unknown(self, caller: &mut InboundConnection) -> ConnectionAction {
        self.send_local_reply(caller, StatusCode::BAD_GATEWAY, None, "outcome_unknown").await
    }

    /// Logs a stream that has begun and cannot go on. The caller must notice that it is not complete.
    fn cut_stream(&self, reason: &'static str) -> ConnectionAction {
        let request = &self.request;
        info!(
            "event=stream_cut request={} reason={reason} last_event={} attempts={} age_ms={}",
            request.tags.id,
            self.reply.events.last_id().unwrap_or("-"),
            self.attempts,
            clock::now().since(request.received).as_millis()
        );
        ConnectionAction::Abort
    }

    /// Ends the request with a response of the entry, or by aborting the connection if a stream has begun.
    async fn send_local_reply(
        mut self,
        caller: &mut InboundConnection,
        status: StatusCode,
        retry_after: Option<Duration>,
        reason: &'static str,
    ) -> ConnectionAction {
        let Some(head) = self.reply.take_unsent() else { return self.cut_stream(reason) };
        let request = &self.request;
        count_ended_request(self.state, status, reason);
        info!(
            "event=ended request={} status={} reason={reason} service={} attempts={} age_ms={} \
             retry_after_ms={} obstacle={}",
            request.tags.id,
            status.as_u16(),
            request.service,
            self.attempts,
            clock::now().since(request.received).as_millis(),
            retry_after.unwrap_or_default().as_millis(),
            self.obstacle.map_or("-", <&str>::from)
        );
        let reply = LocalReply { status, id: Some(request.tags.id.clone()), retry_after };
        reply.send(head, caller, self.state.is_shutting_down()).await
    }
}

fn count_ended_request(state: &EntryState, status: StatusCode, reason: &str) {
    state.metrics.requests.with_label_values(&[status.as_str(), reason]).inc();
}

impl AttemptResult {
    fn outcome(&self) -> SlotOutcome {
        match self {
            AttemptResult::Failed(AttemptFailure::NotRun) => SlotOutcome::Full,
            AttemptResult::Failed(AttemptFailure::Outdated) => SlotOutcome::Answered,
            AttemptResult::Failed(_) | AttemptResult::Moved(_) => SlotOutcome::Failed,
            _ => SlotOutcome::Answered,
        }
    }
}
