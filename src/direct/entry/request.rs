//! One request: admitted, sent to targets in turn, and answered.

mod attempt;
mod reply;

use super::state::{EntryState, QueueTurn};
use crate::clock;
use actix_http::StatusCode;
use attempt::{AttemptResult, PromptReading, TargetAttempt};
use buckthornwharf_core::direct::slots::SlotOutcome;
use buckthornwharf_core::direct::{
    AttemptFailure, FinalAnswer, NextStep, SlotGrant, SlotRequest, WorkKind, next_step,
    wait_allowance,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::{InboundConnection, InboundRequest};
use buckthornwharf_platform::request::{RequestTags, read_request};
use log::info;
use rand::RngExt;
use reply::{OwnReply, StreamReply};
use std::rc::Rc;

/// Time that a request may wait if no configuration names a timeout.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Times in milliseconds after which a caller may come back to an entry that knows no configuration.
/// Callers reach such an entry only where all entries have just started, and come back once: the store
/// may be away for a while, and callers that were refused together are not to come back together.
const UNCONFIGURED_RETRY_MS: std::ops::Range<u64> = 1200..1900;

/// What becomes of the caller's connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFate {
    /// It may carry another request.
    Keep,
    /// It is ended in good order.
    Finish,
    /// It is cut, so that an answer that ended early does not look whole.
    Drop,
}

/// A request that a route takes.
#[derive(Debug)]
struct AdmittedRequest {
    call: InboundRequest,
    tags: RequestTags,
    service: ServiceName,
    kind: WorkKind,
    priority: u8,
    max_attempts: u32,
    organisation: Option<OrganisationName>,
    received: MonoTime,
    /// Time from the caller's first try to this one.
    elapsed_before: Duration,
    deadline: MonoTime,
    /// When an answer, or the first event of a stream, is due to be in time.
    objective: Duration,
}

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum Rejection {
    NoConfig,
    NoId,
    NoRoute,
    UnknownKey,
}

/// Answers a request of `caller`.
pub async fn answer(
    state: &Rc<EntryState>,
    caller: &mut InboundConnection,
    call: InboundRequest,
) -> ConnectionFate {
    let now = clock::now();
    let request = match admit(state, now, call) {
        Ok(request) => request,
        Err((rejection, id)) => {
            let reply = rejected(rejection, id.as_deref());
            count_end(state, reply.status, &rejection.to_string());
            info!(
                "event=rejected request={} reason={rejection} status={}",
                id.as_deref().unwrap_or("-"),
                reply.status.as_u16()
            );
            return reply.send(caller, state.is_leaving()).await;
        }
    };
    state.count_request(now, &request.service);
    RequestRun { state, request, tried: Vec::new(), attempts: 0, may_have_run: false, stream: None }
        .finish(caller)
        .await
}

fn admit(
    state: &EntryState,
    now: MonoTime,
    call: InboundRequest,
) -> Result<AdmittedRequest, (Rejection, Option<Arc<str>>)> {
    let tags = read_request(&call.headers, &call.uri).ok_or((Rejection::NoId, None))?;
    let reject = |rejection: Rejection| (rejection, Some(tags.id.clone()));
    let table = state.routes().ok_or_else(|| reject(Rejection::NoConfig))?;
    let found = table.find(&tags.host, call.uri.path());
    let route = found.ok_or_else(|| reject(Rejection::NoRoute))?;
    let holder = tags.key.as_deref().and_then(|key| table.organisation(key));
    if holder.is_none() && table.requires_key() && !route.anonymous {
        return Err(reject(Rejection::UnknownKey));
    }
    let timeout = if route.timeout.is_zero() { DEFAULT_TIMEOUT } else { route.timeout };
    let caller_timeout =
        tags.caller_timeout.map_or(timeout, |caller_timeout| caller_timeout.min(timeout));
    let priority = holder.and_then(|(_, priority)| *priority).unwrap_or(route.priority);
    Ok(AdmittedRequest {
        service: table.service_of(route, &tags.id).clone(),
        kind: route.kind,
        priority,
        max_attempts: route.max_attempts,
        organisation: holder.map(|(name, _)| name.clone()),
        received: now,
        elapsed_before: tags.caller_timeout.map_or(Duration::ZERO, |caller_timeout| {
            state.observe_caller_timeout(now, &route.name, caller_timeout)
        }),
        deadline: now + caller_timeout,
        objective: route.objective,
        call,
        tags,
    })
}

fn rejected(rejection: Rejection, id: Option<&str>) -> OwnReply {
    let (status, retry_after) = match rejection {
        Rejection::NoConfig => {
            let retry_ms = rand::rng().random_range(UNCONFIGURED_RETRY_MS);
            (StatusCode::SERVICE_UNAVAILABLE, Some(Duration::from_millis(retry_ms)))
        }
        Rejection::NoId => (StatusCode::BAD_REQUEST, None),
        Rejection::NoRoute => (StatusCode::NOT_FOUND, None),
        Rejection::UnknownKey => (StatusCode::UNAUTHORIZED, None),
    };
    OwnReply { status, id: id.map(Arc::from), retry_after }
}

/// A request on its way to an answer.
struct RequestRun<'a> {
    state: &'a Rc<EntryState>,
    request: AdmittedRequest,
    tried: Vec<Arc<str>>,
    attempts: u32,
    may_have_run: bool,
    /// The stream that the caller has begun to get.
    stream: Option<StreamReply>,
}

/// What a request got while it asked for a place.
enum SlotResult {
    Granted(SlotGrant),
    Refused(Duration),
    CallerLeft,
    TimedOut,
}

impl From<QueueTurn> for SlotResult {
    fn from(turn: QueueTurn) -> Self {
        match turn {
            QueueTurn::Granted(grant) => SlotResult::Granted(grant),
            QueueTurn::Refused(after) => SlotResult::Refused(after),
        }
    }
}

impl RequestRun<'_> {
    async fn finish(mut self, caller: &mut InboundConnection) -> ConnectionFate {
        loop {
            let asked = clock::now();
            let grant = match self.acquire_slot(caller).await {
                SlotResult::Granted(grant) => {
                    let waited = clock::now().since(asked).as_secs_f64();
                    self.state.metrics.queue_time.observe(waited);
                    grant
                }
                SlotResult::CallerLeft => return ConnectionFate::Drop,
                SlotResult::Refused(after) => return self.refuse(caller, after, "no_place").await,
                SlotResult::TimedOut => {
                    return self.refuse(caller, Duration::ZERO, "timeout").await;
                }
            };
            self.attempts += 1;
            let target = grant.target.clone();
            let reading = PromptReading::new(self.state, &grant);
            let request = &self.request;
            let may_try_elsewhere =
                request.kind.may_repeat() && self.attempts < request.max_attempts;
            let attempt = TargetAttempt {
                state: self.state,
                request,
                grant: &grant,
                reading,
                may_try_elsewhere,
            };
            let result = attempt.run(caller, &mut self.stream).await;
            let outcome = result.outcome();
            self.state.release_slot(&target.id, outcome);
            let end = match result {
                AttemptResult::Answered(status, fate) => {
                    self.log_answer(status, &target.id, asked);
                    return fate;
                }
                AttemptResult::CallerLeft => return ConnectionFate::Drop,
                AttemptResult::TimedOut => return self.give_up(caller).await,
                AttemptResult::Failed(end) => end,
            };
            let metrics = &self.state.metrics;
            metrics.failed_attempts.with_label_values(&[&end.to_string()]).inc();
            info!(
                "event=attempt_failed request={} target={} end={end} attempt={} age_ms={}",
                self.request.tags.id,
                target.id,
                self.attempts,
                clock::now().since(self.request.received).as_millis()
            );
            self.tried.push(target.id.clone());
            match self.next(end) {
                NextStep::Retry => {}
                NextStep::Answer(_) if self.stream.is_some() => return ConnectionFate::Drop,
                NextStep::Answer(FinalAnswer::NotRun) => {
                    return self.refuse(caller, Duration::from_millis(200), "not_run").await;
                }
                NextStep::Answer(FinalAnswer::Unknown) => {
                    return self.give_up_unknown(caller).await;
                }
            }
        }
    }

    /// One line for an answer of a target: what was decided for the request, and how long it took.
    fn log_answer(&self, status: StatusCode, target: &str, placed_at: MonoTime) {
        let request = &self.request;
        let now = clock::now();
        count_end(self.state, status, "answered");
        info!(
            "event=answered request={} status={} target={target} service={} attempts={} \
             elapsed_before_ms={} placed_after_ms={} age_ms={}",
            request.tags.id,
            status.as_u16(),
            request.service,
            self.attempts,
            request.elapsed_before.as_millis(),
            placed_at.since(request.received).as_millis(),
            now.since(request.received).as_millis()
        );
    }

    fn next(&mut self, end: AttemptFailure) -> NextStep {
        let request = &self.request;
        let spend = || self.state.try_retry(clock::now(), &request.service);
        let step = next_step(
            request.kind,
            end,
            self.may_have_run,
            self.attempts,
            request.max_attempts,
            spend,
        );
        self.may_have_run |= !end.proves_not_run();
        step
    }

    async fn acquire_slot(&mut self, caller: &mut InboundConnection) -> SlotResult {
        let now = clock::now();
        let request = &self.request;
        let elapsed = request.elapsed_before + now.since(request.received);
        let time_left = request.deadline.since(now);
        let wanted = SlotRequest {
            service: request.service.clone(),
            priority: request.priority,
            wait: wait_allowance(request.objective, elapsed, time_left),
            objective: request.objective,
            tried: self.tried.clone(),
            prompt_tokens: request.tags.tokens.0,
            model: request.tags.model.clone(),
        };
        let (ticket, mut turn) = match self.state.request_slot(now, wanted) {
            Ok(turn) => return turn.into(),
            Err(waiting) => waiting,
        };
        tokio::select! {
            biased;
            turn = &mut turn => turn.map_or(SlotResult::TimedOut, SlotResult::from),
            () = caller.closed() => {
                self.state.cancel_slot_request(ticket);
                // A place may have been given at the same moment; nobody else would give it back.
                if let Ok(QueueTurn::Granted(grant)) = turn.try_recv() {
                    self.state.release_unused_slot(&grant);
                }
                SlotResult::CallerLeft
            }
        }
    }

    /// Ends a request that has not run, or a stream that cannot go on.
    async fn refuse(
        self,
        caller: &mut InboundConnection,
        after: Duration,
        reason: &'static str,
    ) -> ConnectionFate {
        if self.stream.is_some() {
            return ConnectionFate::Drop;
        }
        if self.may_have_run {
            return self.give_up_unknown(caller).await;
        }
        self.own_reply(caller, StatusCode::SERVICE_UNAVAILABLE, Some(after), reason).await
    }

    async fn give_up(self, caller: &mut InboundConnection) -> ConnectionFate {
        if self.stream.is_some() {
            return ConnectionFate::Drop;
        }
        self.own_reply(caller, StatusCode::GATEWAY_TIMEOUT, None, "timeout").await
    }

    async fn give_up_unknown(self, caller: &mut InboundConnection) -> ConnectionFate {
        self.own_reply(caller, StatusCode::BAD_GATEWAY, None, "outcome_unknown").await
    }

    async fn own_reply(
        self,
        caller: &mut InboundConnection,
        status: StatusCode,
        retry_after: Option<Duration>,
        reason: &'static str,
    ) -> ConnectionFate {
        let request = &self.request;
        count_end(self.state, status, reason);
        info!(
            "event=ended request={} status={} reason={reason} service={} attempts={} age_ms={} \
             retry_after_ms={}",
            request.tags.id,
            status.as_u16(),
            request.service,
            self.attempts,
            clock::now().since(request.received).as_millis(),
            retry_after.unwrap_or_default().as_millis()
        );
        let reply = OwnReply { status, id: Some(request.tags.id.clone()), retry_after };
        reply.send(caller, self.state.is_leaving()).await
    }
}

fn count_end(state: &EntryState, status: StatusCode, reason: &str) {
    state.metrics.requests.with_label_values(&[status.as_str(), reason]).inc();
}

impl AttemptResult {
    fn outcome(&self) -> SlotOutcome {
        match self {
            AttemptResult::Failed(AttemptFailure::NotRun) => SlotOutcome::Full,
            AttemptResult::Failed(AttemptFailure::Outdated) => SlotOutcome::Answered,
            AttemptResult::Failed(_) => SlotOutcome::Failed,
            _ => SlotOutcome::Answered,
        }
    }
}
