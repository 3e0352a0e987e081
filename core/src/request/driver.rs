//! The state machine of one request at an entry, from the first host choice to the final result.

mod answer;

use super::LinkId;
use super::attempt::{
    AnswerHead, AttemptPhase, DriverAction, DriverEvent, HostAttempt, MAX_ATTEMPTS,
    RESOLVE_TIMEOUT, TargetChoice,
};
use super::budget::RetryTokenBucket;
use crate::code::OutcomeClass;
use crate::frame::{LinkFrame, SubmitFrame};
use crate::prelude::*;

#[derive(Debug)]
enum DriverState {
    Picking,
    Trying(HostAttempt),
    Ended,
}

/// The entry's side of one caller's request.
///
/// It does no I/O and reads no clock: the I/O layer passes events with the time and carries out the
/// actions in order. A frame is accepted only if it has the request's id and comes on the link of the
/// current attempt, so late frames of an earlier attempt have no effect.
///
/// - An idempotent request is retried on another host while nothing has been forwarded to the caller,
///   within the deadline, [`MAX_ATTEMPTS`] and the [`RetryTokenBucket`].
/// - Any other request is retried only after proof that the earlier attempt did not run and never
///   will: the agent refused it, or answered "never seen" to a resolve query.
/// - A code of class [`OutcomeClass::NotRun`] is returned only if every attempt is proved not to have
///   run.
#[derive(Debug)]
pub struct RequestDriver {
    submit: SubmitFrame,
    deadline: MonoTime,
    state: DriverState,
    tried: Vec<TargetChoice>,
    /// The attempt whose link was lost, kept while another host is chosen.
    lost_attempt: Option<Box<HostAttempt>>,
    may_have_run: bool,
    head_forwarded: bool,
    /// Bytes of the answer's body forwarded to the caller.
    position: u64,
    actions: Vec<DriverAction>,
}

impl RequestDriver {
    /// Starts a request that arrived now; the first action is to pick a host. Each attempt sends
    /// `submit` with the milliseconds left until the deadline.
    pub fn start(
        now: MonoTime,
        submit: SubmitFrame,
        budget: &mut RetryTokenBucket,
    ) -> (Self, Vec<DriverAction>) {
        budget.record_request();
        let time_left = Duration::from_millis(submit.deadline_ms).min(super::MAX_REQUEST_DEADLINE);
        let driver = Self {
            submit,
            deadline: now + time_left,
            state: DriverState::Picking,
            tried: Vec::new(),
            lost_attempt: None,
            may_have_run: false,
            head_forwarded: false,
            position: 0,
            actions: Vec::new(),
        };
        (driver, vec![DriverAction::Pick { avoid: Vec::new() }])
    }

    /// The request's id.
    pub fn id(&self) -> RequestId {
        self.submit.id
    }

    /// Whether the final result was returned; no action follows it.
    pub fn is_ended(&self) -> bool {
        matches!(self.state, DriverState::Ended)
    }

    /// The host of the current attempt.
    pub fn host(&self) -> Option<&HostName> {
        self.attempt().map(|attempt| &attempt.choice.host)
    }

    /// The digest that the answer to the current attempt must carry; `None` for a plain service.
    pub fn digest(&self) -> Option<VersionDigest> {
        self.submit.digest
    }

    /// The link of the current attempt, even if it has been lost.
    pub fn link(&self) -> Option<LinkId> {
        self.attempt().map(|attempt| attempt.choice.link)
    }

    /// When the driver needs a [`DriverEvent::Tick`]; `None` once the request has ended.
    pub fn next_tick(&self) -> Option<MonoTime> {
        match &self.state {
            DriverState::Ended => None,
            DriverState::Picking => Some(self.deadline),
            DriverState::Trying(attempt) => {
                Some(attempt.next_tick().map_or(self.deadline, |tick| tick.min(self.deadline)))
            }
        }
    }

    /// Handles an event and returns the actions to carry out, in order. After the request has ended,
    /// events are ignored.
    pub fn on_event(
        &mut self,
        now: MonoTime,
        event: DriverEvent,
        budget: &mut RetryTokenBucket,
    ) -> Vec<DriverAction> {
        if !self.is_ended() {
            self.apply(now, event, budget);
        }
        std::mem::take(&mut self.actions)
    }

    fn apply(&mut self, now: MonoTime, event: DriverEvent, budget: &mut RetryTokenBucket) {
        // A process that was suspended past the deadline must not act on events from that time: the agent
        // may have forgotten the request since, and then "never seen" proves nothing.
        if now >= self.deadline && !matches!(event, DriverEvent::CallerGone) {
            return self.on_deadline();
        }
        match event {
            DriverEvent::TargetChosen(choice) => self.on_target_chosen(now, choice),
            DriverEvent::NoTarget(code) => self.on_no_target(code),
            DriverEvent::Frame { link, frame } => self.on_frame(now, link, frame, budget),
            DriverEvent::LinkLost(link) => self.on_link_lost(now, link, budget),
            DriverEvent::LinkReopened(choice) => self.on_link_reopened(now, choice, budget),
            DriverEvent::HostGone(host) => self.on_host_gone(now, &host, budget),
            DriverEvent::Tick => self.on_tick(now, budget),
            DriverEvent::CallerGone => self.on_caller_gone(),
        }
    }

    fn attempt(&self) -> Option<&HostAttempt> {
        match &self.state {
            DriverState::Trying(attempt) => Some(attempt),
            _ => None,
        }
    }

    fn attempt_mut(&mut self) -> Option<&mut HostAttempt> {
        match &mut self.state {
            DriverState::Trying(attempt) => Some(attempt),
            _ => None,
        }
    }

    fn on_target_chosen(&mut self, now: MonoTime, choice: TargetChoice) {
        if !matches!(self.state, DriverState::Picking) {
            return;
        }
        self.abandon_lost_attempt();
        let is_same = |tried: &TargetChoice| {
            tried.host == choice.host && tried.incarnation == choice.incarnation
        };
        if self.tried.iter().any(is_same) {
            return self.finish(ResultCode::Overloaded);
        }
        self.tried.push(choice.clone());
        self.submit.digest = choice.digest;
        let time_left = self.deadline.since(now);
        let deadline_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        let frame = LinkFrame::Submit(SubmitFrame { deadline_ms, ..self.submit.clone() });
        self.actions.push(DriverAction::Send { link: choice.link, frame });
        self.state = DriverState::Trying(HostAttempt::new(now, choice));
    }

    fn on_no_target(&mut self, code: ResultCode) {
        if !matches!(self.state, DriverState::Picking) {
            return;
        }
        match self.lost_attempt.take() {
            Some(attempt) => self.state = DriverState::Trying(*attempt),
            None => self.finish(code),
        }
    }

    fn on_link_lost(&mut self, now: MonoTime, link: LinkId, budget: &mut RetryTokenBucket) {
        let Some(attempt) = self.attempt_mut() else { return };
        if !attempt.uses_link(link) {
            return;
        }
        attempt.phase = AttemptPhase::Disconnected(now + RESOLVE_TIMEOUT);
        if self.may_run_again() && self.can_retry(now) && budget.take_retry() {
            self.pick_replacement();
        }
    }

    /// Picks another host after a lost link. The attempt is abandoned only if there is one; otherwise
    /// it continues, and a resolve query is sent on the next link to its host.
    fn pick_replacement(&mut self) {
        let state = std::mem::replace(&mut self.state, DriverState::Picking);
        if let DriverState::Trying(attempt) = state {
            self.lost_attempt = Some(Box::new(attempt));
        }
        self.push_pick();
    }

    fn abandon_lost_attempt(&mut self) {
        let Some(attempt) = self.lost_attempt.take() else { return };
        self.may_have_run = true;
        let TargetChoice { host, incarnation, .. } = attempt.choice;
        self.actions.push(DriverAction::CancelLater { host, incarnation });
    }

    fn on_link_reopened(
        &mut self,
        now: MonoTime,
        choice: TargetChoice,
        budget: &mut RetryTokenBucket,
    ) {
        let Some(attempt) = self.attempt_mut() else { return };
        if attempt.choice.host != choice.host || attempt.choice.link == choice.link {
            return;
        }
        if !attempt.is_same_incarnation(&choice) {
            return self.fail_attempt(now, ResultCode::LinkLost, budget);
        }
        attempt.choice.link = choice.link;
        self.resolve(now, budget);
    }

    fn on_host_gone(&mut self, now: MonoTime, host: &HostName, budget: &mut RetryTokenBucket) {
        if self.host() == Some(host) {
            self.fail_attempt(now, ResultCode::LinkLost, budget);
        }
    }

    fn on_tick(&mut self, now: MonoTime, budget: &mut RetryTokenBucket) {
        let Some(attempt) = self.attempt() else { return };
        if attempt.next_tick().is_none_or(|tick| now < tick) {
            return;
        }
        match attempt.phase {
            AttemptPhase::Sent(_) => self.resolve(now, budget),
            AttemptPhase::Accepted => {}
            AttemptPhase::Disconnected(_) | AttemptPhase::Resolving(_) => {
                self.cancel_attempt();
                self.fail_attempt(now, ResultCode::LinkLost, budget);
            }
        }
    }

    fn on_deadline(&mut self) {
        let code = match self.state {
            DriverState::Picking => ResultCode::DeadlineBefore,
            _ => ResultCode::DeadlineDuring,
        };
        self.may_have_run |= self.attempt().is_some();
        self.abandon_lost_attempt();
        self.cancel_attempt();
        self.finish(code);
    }

    fn on_caller_gone(&mut self) {
        self.abandon_lost_attempt();
        self.cancel_attempt();
        self.finish(ResultCode::Cancelled);
    }

    /// Handles an attempt that is proved not to have run and never to run: retries on another host if
    /// that can help, else ends the request.
    fn refuse_attempt(&mut self, now: MonoTime, code: ResultCode, budget: &mut RetryTokenBucket) {
        let is_retryable = matches!(
            code,
            ResultCode::NotServing
                | ResultCode::Overloaded
                | ResultCode::Leaving
                | ResultCode::NeverSeen
                | ResultCode::WrongVersion
        );
        if is_retryable && self.can_retry(now) && budget.take_retry() {
            return self.pick_again(false);
        }
        self.finish(code);
    }

    /// Handles a failed attempt that may have run: only an idempotent request may be retried.
    fn fail_attempt(&mut self, now: MonoTime, code: ResultCode, budget: &mut RetryTokenBucket) {
        if self.may_run_again() && self.can_retry(now) && budget.take_retry() {
            return self.pick_again(true);
        }
        self.may_have_run = true;
        self.finish(code);
    }

    /// Whether the request may be run again: it is idempotent and nothing has been forwarded.
    fn may_run_again(&self) -> bool {
        self.submit.idempotent && !self.head_forwarded
    }

    fn can_retry(&self, now: MonoTime) -> bool {
        now < self.deadline && self.tried.len() < MAX_ATTEMPTS
    }

    fn pick_again(&mut self, may_have_run: bool) {
        self.may_have_run |= may_have_run;
        self.state = DriverState::Picking;
        self.push_pick();
    }

    fn push_pick(&mut self) {
        let avoid = self.tried.iter().map(|choice| choice.host.clone()).collect();
        self.actions.push(DriverAction::Pick { avoid });
    }

    /// Cancels the current attempt at its agent, now or on the next link to it.
    fn cancel_attempt(&mut self) {
        let id = self.submit.id;
        let Some(attempt) = self.attempt() else { return };
        let choice = attempt.choice.clone();
        let action = match attempt.phase {
            AttemptPhase::Disconnected(_) => {
                DriverAction::CancelLater { host: choice.host, incarnation: choice.incarnation }
            }
            _ => DriverAction::Send { link: choice.link, frame: LinkFrame::Cancel(id) },
        };
        self.actions.push(action);
    }

    fn forward_head(&mut self) {
        if self.head_forwarded {
            return;
        }
        let Some(head) = self.attempt().and_then(|attempt| attempt.head.clone()) else { return };
        self.head_forwarded = true;
        let AnswerHead { status, content_type } = head;
        self.actions.push(DriverAction::ForwardHead { status, content_type });
    }

    /// Ends the request. The code is replaced where it does not hold for all attempts: by `CutShort` for
    /// a failure after bytes were forwarded, by `LinkLost` for "not run" if an attempt may have run.
    fn finish(&mut self, code: ResultCode) {
        let is_truncated = self.position > 0
            && !matches!(code, ResultCode::Ok | ResultCode::DeadlineDuring | ResultCode::Cancelled);
        let code = match code.class() {
            _ if is_truncated => ResultCode::CutShort,
            OutcomeClass::NotRun if self.may_have_run => ResultCode::LinkLost,
            _ => code,
        };
        self.state = DriverState::Ended;
        self.actions.push(DriverAction::Finish(code));
    }
}
