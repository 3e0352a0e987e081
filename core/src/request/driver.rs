//! A caller's request at an entry, from the first pick of a host to the final answer.

mod answer;

use super::LinkId;
use super::attempt::{
    AnswerHead, AttemptPhase, DriverAction, DriverEvent, HostAttempt, MAX_ATTEMPTS,
    RESOLVE_TIMEOUT, TargetChoice,
};
use super::budget::RetryBudget;
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
/// It holds no socket and no clock: the shell passes events with the time and carries out the
/// actions in order. Answers are bound to the request's id and to the link of the current attempt,
/// so late frames of an earlier attempt change nothing.
///
/// - Idempotent work is tried elsewhere while nothing was passed on to the caller, within the
///   deadline, [`MAX_ATTEMPTS`] and the [`RetryBudget`].
/// - Other work is tried elsewhere only after proof that the earlier attempt did not run and never
///   will: a refusal of the agent, or "never seen" to a question on a link.
/// - A code of class "not run" is given only if that is proved of every attempt.
#[derive(Debug)]
pub struct RequestDriver {
    submit: SubmitFrame,
    deadline: MonoTime,
    state: DriverState,
    tried: Vec<TargetChoice>,
    /// The attempt whose link was lost, while another host is looked for.
    lost: Option<Box<HostAttempt>>,
    may_have_run: bool,
    head_forwarded: bool,
    position: u64,
    actions: Vec<DriverAction>,
}

impl RequestDriver {
    /// A request that came now; its first action is to pick a host. `submit` is sent with each
    /// attempt, with the milliseconds that are left until the deadline.
    pub fn start(
        now: MonoTime,
        submit: SubmitFrame,
        budget: &mut RetryBudget,
    ) -> (Self, Vec<DriverAction>) {
        budget.note_request();
        let allowed = Duration::from_millis(submit.deadline_ms).min(super::MAX_REQUEST_DEADLINE);
        let driver = Self {
            submit,
            deadline: now + allowed,
            state: DriverState::Picking,
            tried: Vec::new(),
            lost: None,
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

    /// Whether the final answer was given; nothing follows it.
    pub fn is_ended(&self) -> bool {
        matches!(self.state, DriverState::Ended)
    }

    /// The host of the current attempt.
    pub fn host(&self) -> Option<&HostName> {
        self.attempt().map(|attempt| &attempt.choice.host)
    }

    /// The digest that the current attempt must be answered from; none for a plain service.
    pub fn digest(&self) -> Option<VersionDigest> {
        self.submit.digest
    }

    /// The link of the current attempt, also if it is lost.
    pub fn link(&self) -> Option<LinkId> {
        self.attempt().map(|attempt| attempt.choice.link)
    }

    /// When the driver wants a [`DriverEvent::Tick`]; none once it has ended.
    pub fn next_tick(&self) -> Option<MonoTime> {
        match &self.state {
            DriverState::Ended => None,
            DriverState::Picking => Some(self.deadline),
            DriverState::Trying(attempt) => {
                Some(attempt.next_tick().map_or(self.deadline, |at| at.min(self.deadline)))
            }
        }
    }

    /// Takes an event and returns what to do, in order. After the end, only late choices of a host
    /// are noticed at all, and nothing is returned.
    pub fn on_event(
        &mut self,
        now: MonoTime,
        event: DriverEvent,
        budget: &mut RetryBudget,
    ) -> Vec<DriverAction> {
        if !self.is_ended() {
            self.apply(now, event, budget);
        }
        std::mem::take(&mut self.actions)
    }

    fn apply(&mut self, now: MonoTime, event: DriverEvent, budget: &mut RetryBudget) {
        // A process that was frozen must not act on what it missed, such as a proof that the
        // agent has meanwhile forgotten the reason for.
        if now >= self.deadline && !matches!(event, DriverEvent::CallerGone) {
            return self.on_deadline();
        }
        match event {
            DriverEvent::TargetChosen(choice) => self.on_chosen(now, choice),
            DriverEvent::NoTarget(code) => self.on_no_target(code),
            DriverEvent::Frame { link, frame } => self.on_frame(now, link, frame, budget),
            DriverEvent::LinkLost(link) => self.on_link_lost(now, link, budget),
            DriverEvent::LinkReopened(choice) => self.on_reopened(now, choice, budget),
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

    fn on_chosen(&mut self, now: MonoTime, choice: TargetChoice) {
        if !matches!(self.state, DriverState::Picking) {
            return;
        }
        self.give_up_lost();
        let known = |tried: &TargetChoice| {
            tried.host == choice.host && tried.incarnation == choice.incarnation
        };
        if self.tried.iter().any(known) {
            return self.finish(ResultCode::Overloaded);
        }
        self.tried.push(choice.clone());
        self.submit.digest = choice.digest;
        let left = self.deadline.since(now);
        let deadline_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let frame = LinkFrame::Submit(SubmitFrame { deadline_ms, ..self.submit.clone() });
        self.actions.push(DriverAction::Send { link: choice.link, frame });
        self.state = DriverState::Trying(HostAttempt::new(now, choice));
    }

    fn on_no_target(&mut self, code: ResultCode) {
        if !matches!(self.state, DriverState::Picking) {
            return;
        }
        match self.lost.take() {
            Some(attempt) => self.state = DriverState::Trying(*attempt),
            None => self.finish(code),
        }
    }

    fn on_link_lost(&mut self, now: MonoTime, link: LinkId, budget: &mut RetryBudget) {
        let Some(attempt) = self.attempt_mut() else { return };
        if !attempt.is_on(link) {
            return;
        }
        attempt.phase = AttemptPhase::Disconnected(now + RESOLVE_TIMEOUT);
        if self.may_repeat() && self.can_retry(now) && budget.take_retry() {
            self.look_elsewhere();
        }
    }

    /// Picks another host. The attempt is given up only if there is one; otherwise its host is asked
    /// on its next link what became of it.
    fn look_elsewhere(&mut self) {
        let state = std::mem::replace(&mut self.state, DriverState::Picking);
        if let DriverState::Trying(attempt) = state {
            self.lost = Some(Box::new(attempt));
        }
        self.push_pick();
    }

    fn give_up_lost(&mut self) {
        let Some(lost) = self.lost.take() else { return };
        self.may_have_run = true;
        let TargetChoice { host, incarnation, .. } = lost.choice;
        self.actions.push(DriverAction::CancelLater { host, incarnation });
    }

    fn on_reopened(&mut self, now: MonoTime, choice: TargetChoice, budget: &mut RetryBudget) {
        let Some(attempt) = self.attempt_mut() else { return };
        if attempt.choice.host != choice.host || attempt.choice.link == choice.link {
            return;
        }
        if !attempt.is_at(&choice) {
            return self.fail_attempt(now, ResultCode::LinkLost, budget);
        }
        attempt.choice.link = choice.link;
        self.resolve(now, budget);
    }

    fn on_host_gone(&mut self, now: MonoTime, host: &HostName, budget: &mut RetryBudget) {
        if self.host() == Some(host) {
            self.fail_attempt(now, ResultCode::LinkLost, budget);
        }
    }

    fn on_tick(&mut self, now: MonoTime, budget: &mut RetryBudget) {
        let Some(attempt) = self.attempt() else { return };
        if attempt.next_tick().is_none_or(|at| now < at) {
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
        self.give_up_lost();
        self.cancel_attempt();
        self.finish(code);
    }

    fn on_caller_gone(&mut self) {
        self.give_up_lost();
        self.cancel_attempt();
        self.finish(ResultCode::Cancelled);
    }

    /// The attempt did not run and never will, which is proved.
    fn refuse_attempt(&mut self, now: MonoTime, code: ResultCode, budget: &mut RetryBudget) {
        let helps_elsewhere = matches!(
            code,
            ResultCode::NotServing
                | ResultCode::Overloaded
                | ResultCode::Leaving
                | ResultCode::NeverSeen
                | ResultCode::WrongVersion
        );
        if helps_elsewhere && self.can_retry(now) && budget.take_retry() {
            return self.pick_again(false);
        }
        self.finish(code);
    }

    /// The attempt failed, and it may have run.
    fn fail_attempt(&mut self, now: MonoTime, code: ResultCode, budget: &mut RetryBudget) {
        if self.may_repeat() && self.can_retry(now) && budget.take_retry() {
            return self.pick_again(true);
        }
        self.may_have_run = true;
        self.finish(code);
    }

    fn may_repeat(&self) -> bool {
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

    /// Tells the agent of the current attempt to stop, now or on its next link.
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

    /// Gives the final answer; the code is replaced where it would claim too much.
    fn finish(&mut self, code: ResultCode) {
        let is_cut = self.position > 0
            && !matches!(code, ResultCode::Ok | ResultCode::DeadlineDuring | ResultCode::Cancelled);
        let code = match code.class() {
            _ if is_cut => ResultCode::CutShort,
            OutcomeClass::NotRun if self.may_have_run => ResultCode::LinkLost,
            _ => code,
        };
        self.state = DriverState::Ended;
        self.actions.push(DriverAction::Finish(code));
    }
}
