//! What an agent knows of one request.

use crate::frame::{LinkFrame, SubmitFrame};
use crate::prelude::*;
use crate::request::answer::AnswerBuffer;
use crate::request::{LinkId, MAX_REQUEST_DEADLINE};

/// How far a request has come at its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordPhase {
    /// In the queue, or held until the target is idle.
    Waiting,
    /// Its idempotency key is being claimed.
    Claiming,
    /// Dispatched, and the target has not ended it.
    Running,
    /// Waits for the answer of another request with the same key.
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
    /// Where the answer goes; none while the link is lost, and once nobody waits for it.
    pub link: Option<LinkId>,
    pub link_lost_at: Option<MonoTime>,
    pub answer: AnswerBuffer,
    /// Requests with the same key that get this one's answer.
    pub followers: Vec<RequestId>,
}

impl RequestRecord {
    pub fn new(now: MonoTime, submit: SubmitFrame, link: LinkId) -> Self {
        let allowed = Duration::from_millis(submit.deadline_ms).min(MAX_REQUEST_DEADLINE);
        Self {
            submit: Arc::new(submit),
            deadline: now + allowed,
            phase: RecordPhase::Waiting,
            link: Some(link),
            link_lost_at: None,
            answer: AnswerBuffer::default(),
            followers: Vec::new(),
        }
    }

    /// Whether the request's key must be claimed before it is dispatched.
    pub fn needs_claim(&self) -> bool {
        !self.submit.idempotent && self.submit.idempotency_key.is_some()
    }

    /// Whether the request had its turn and needs the target.
    pub fn is_busy(&self) -> bool {
        matches!(self.phase, RecordPhase::Claiming | RecordPhase::Running)
    }

    /// The result, once the request ended.
    pub fn result(&self) -> Option<ResultCode> {
        match self.phase {
            RecordPhase::Done(code) => Some(code),
            _ => None,
        }
    }

    /// Notes that the link is lost.
    pub fn lose_link(&mut self, now: MonoTime) {
        self.link = None;
        self.link_lost_at = Some(now);
    }

    /// Notes that answers go to this link from now on.
    pub fn set_link(&mut self, link: LinkId) {
        self.link = Some(link);
        self.link_lost_at = None;
    }

    /// The frames that bring an entry up to date that has the answer up to `position`.
    pub fn answer_frames(&self, has_head: bool, position: u64) -> Vec<LinkFrame> {
        self.answer.frames(self.submit.id, has_head, position, self.result())
    }
}
