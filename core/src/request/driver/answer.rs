//! Handles the frames of an agent: acceptance, the parts and the end of an answer, and replies to
//! resolve queries.

use super::RequestDriver;
use crate::code::OutcomeClass;
use crate::frame::{BodyFrame, EndFrame, HeadFrame, LinkFrame, RequestStatus, ResolvedFrame};
use crate::prelude::*;
use crate::request::LinkId;
use crate::request::attempt::{AnswerHead, AttemptPhase, DriverAction};
use crate::request::budget::RetryTokenBucket;

impl RequestDriver {
    pub(super) fn on_frame(
        &mut self,
        now: MonoTime,
        link: LinkId,
        frame: LinkFrame,
        budget: &mut RetryTokenBucket,
    ) {
        if !self.attempt().is_some_and(|attempt| attempt.uses_link(link)) {
            return;
        }
        let id = self.submit.id;
        match frame {
            LinkFrame::Accepted(accepted) if accepted == id => self.on_accepted(),
            LinkFrame::Head(head) if head.id == id => self.on_head(now, head, budget),
            LinkFrame::Body(body) if body.id == id => self.on_body(now, body, budget),
            LinkFrame::End(end) if end.id == id => self.on_end(now, end, budget),
            LinkFrame::Resolved(resolved) if resolved.id == id => {
                self.on_resolved(now, resolved, budget);
            }
            _ => {}
        }
    }

    fn on_accepted(&mut self) {
        let Some(attempt) = self.attempt_mut() else { return };
        if matches!(attempt.phase, AttemptPhase::Sent(_)) {
            attempt.phase = AttemptPhase::Accepted;
        }
    }

    fn on_head(&mut self, now: MonoTime, head: HeadFrame, budget: &mut RetryTokenBucket) {
        if self.submit.digest.is_some() && head.digest != self.submit.digest {
            self.cancel_attempt();
            return self.fail_attempt(now, ResultCode::AnswerDiscarded, budget);
        }
        self.on_accepted();
        let Some(attempt) = self.attempt_mut() else { return };
        let answer = AnswerHead { status: head.status, content_type: head.content_type };
        attempt.head.get_or_insert(answer);
    }

    fn on_body(&mut self, now: MonoTime, body: BodyFrame, budget: &mut RetryTokenBucket) {
        let end = body.position.saturating_add(body.bytes.len() as u64);
        if end <= self.position {
            return;
        }
        let has_head =
            self.head_forwarded || self.attempt().is_some_and(|attempt| attempt.head.is_some());
        if body.position > self.position || !has_head {
            return self.on_gap(now, budget);
        }
        let overlap = usize::try_from(self.position - body.position).unwrap_or(usize::MAX);
        self.forward_head();
        self.position = end;
        self.actions.push(DriverAction::ForwardBody(body.bytes.slice(overlap..)));
    }

    /// Requests a missing part of the answer with a resolve query, unless one is pending.
    fn on_gap(&mut self, now: MonoTime, budget: &mut RetryTokenBucket) {
        let is_resolving = self
            .attempt()
            .is_some_and(|attempt| matches!(attempt.phase, AttemptPhase::Resolving(_)));
        if !is_resolving {
            self.resolve(now, budget);
        }
    }

    pub(super) fn resolve(&mut self, now: MonoTime, budget: &mut RetryTokenBucket) {
        let (id, position) = (self.submit.id, self.position);
        let Some(attempt) = self.attempt_mut() else { return };
        let link = attempt.choice.link;
        let Some(frame) = attempt.resolve(now, id, position) else {
            self.cancel_attempt();
            return self.fail_attempt(now, ResultCode::LinkLost, budget);
        };
        self.actions.push(DriverAction::Send { link, frame });
    }

    fn on_end(&mut self, now: MonoTime, end: EndFrame, budget: &mut RetryTokenBucket) {
        let Some(attempt) = self.attempt() else { return };
        let has_head = attempt.head.is_some() || self.head_forwarded;
        match end.code.class() {
            OutcomeClass::Done => self.on_complete(now, end.length, has_head, budget),
            OutcomeClass::NotRun if has_head => {
                self.fail_attempt(now, ResultCode::TargetFailed, budget);
            }
            OutcomeClass::NotRun => self.refuse_attempt(now, end.code, budget),
            OutcomeClass::Final => self.finish(end.code),
            _ if end.code == ResultCode::DeadlineDuring => self.finish(end.code),
            OutcomeClass::Unknown => self.fail_attempt(now, end.code, budget),
        }
    }

    fn on_complete(
        &mut self,
        now: MonoTime,
        length: u64,
        has_head: bool,
        budget: &mut RetryTokenBucket,
    ) {
        if length > self.position || !has_head {
            return self.on_gap(now, budget);
        }
        if length < self.position {
            return self.finish(ResultCode::CutShort);
        }
        self.forward_head();
        self.finish(ResultCode::Ok);
    }

    fn on_resolved(
        &mut self,
        now: MonoTime,
        resolved: ResolvedFrame,
        budget: &mut RetryTokenBucket,
    ) {
        let Some(attempt) = self.attempt_mut() else { return };
        // Only the reply to a pending query counts: a late or duplicate one proves nothing.
        if !matches!(attempt.phase, AttemptPhase::Resolving(_)) {
            return;
        }
        let has_head = attempt.head.is_some();
        match resolved.knowledge {
            RequestStatus::Running | RequestStatus::Done => {
                attempt.phase = AttemptPhase::Accepted;
            }
            RequestStatus::NeverSeen if has_head => {
                self.fail_attempt(now, ResultCode::LinkLost, budget);
            }
            RequestStatus::NeverSeen => {
                self.refuse_attempt(now, ResultCode::NeverSeen, budget);
            }
            RequestStatus::Forgotten => self.fail_attempt(now, ResultCode::LinkLost, budget),
        }
    }
}
