//! The state of one request at an agent.

use crate::frame::{LinkFrame, SubmitFrame};
use crate::prelude::*;
use crate::request::answer::AnswerBuffer;
use crate::request::poison::RunningRequest;
use crate::request::{LinkId, MAX_REQUEST_DEADLINE};

/// The phase of a request at its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordPhase {
    /// In the queue, or held until the target is idle.
    Waiting,
    /// Its idempotency key is being claimed.
    Claiming,
    /// Dispatched to the target, whose answer has not ended.
    Running,
    /// Gets the answer of another request with the same key.
    Following,
    /// Ended, with this result.
    Done(ResultCode),
}

/// One request at its agent.
#[derive(Debug)]
pub(super) struct RequestRecord {
    pub submit: Arc<SubmitFrame>,
    pub deadline: MonoTime,
    pub phase: RecordPhase,
    /// When it was dispatched to the target; `None` before.
    pub dispatched_at: Option<MonoTime>,
    /// The link for the answer; `None` while the link is lost, and after the entry cancelled.
    pub link: Option<LinkId>,
    pub link_lost_at: Option<MonoTime>,
    pub answer: AnswerBuffer,
    /// Requests with the same key that get this one's answer.
    pub followers: Vec<RequestId>,
}

impl RequestRecord {
    pub fn new(now: MonoTime, submit: SubmitFrame, link: LinkId) -> Self {
        let time_left = Duration::from_millis(submit.deadline_ms).min(MAX_REQUEST_DEADLINE);
        Self {
            submit: Arc::new(submit),
            deadline: now + time_left,
            phase: RecordPhase::Waiting,
            dispatched_at: None,
            link: Some(link),
            link_lost_at: None,
            answer: AnswerBuffer::default(),
            followers: Vec::new(),
        }
    }

    /// Whether the idempotency key must be claimed before the request is dispatched.
    pub fn needs_claim(&self) -> bool {
        !self.submit.idempotent && self.submit.idempotency_key.is_some()
    }

    /// Whether the request occupies a slot of the target.
    pub fn is_active(&self) -> bool {
        matches!(self.phase, RecordPhase::Claiming | RecordPhase::Running)
    }

    /// The request as it runs at the target; `None` while it does not.
    pub fn running(&self) -> Option<RunningRequest> {
        let sent_at = self.dispatched_at.filter(|_| self.phase == RecordPhase::Running)?;
        Some(RunningRequest { fingerprint: self.submit.fingerprint, sent_at })
    }

    /// The result; `None` until the request has ended.
    pub fn result(&self) -> Option<ResultCode> {
        match self.phase {
            RecordPhase::Done(code) => Some(code),
            _ => None,
        }
    }

    /// Records the loss of the link.
    pub fn mark_link_lost(&mut self, now: MonoTime) {
        self.link = None;
        self.link_lost_at = Some(now);
    }

    /// Sends the answer to this link from now on.
    pub fn set_link(&mut self, link: LinkId) {
        self.link = Some(link);
        self.link_lost_at = None;
    }

    /// The frames for an entry that has the answer up to `position`, and the head if `has_head`.
    pub fn answer_frames(&self, has_head: bool, position: u64) -> Vec<LinkFrame> {
        self.answer.frames(self.submit.id, has_head, position, self.result())
    }
}
