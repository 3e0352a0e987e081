//! Events and actions of a caller's request at an entry, and the state of one attempt at it.

use super::LinkId;
use crate::frame::{LinkFrame, ResolveFrame};
use crate::prelude::*;
use bytes::Bytes;

/// Attempts at one request, the first one included.
pub const MAX_ATTEMPTS: usize = 3;
/// Time that an agent has to accept a request before the entry asks what became of it.
pub const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from the loss of a link until the question what became of a request must be answered.
pub const RESOLVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Questions what became of a request, for each attempt.
pub const MAX_RESOLVES: u32 = 4;

/// A host chosen for an attempt, and the open link to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetChoice {
    /// The host.
    pub host: HostName,
    /// The run of the agent's process, from its hello.
    pub incarnation: HostIncarnation,
    /// The link.
    pub link: LinkId,
    /// The digest that the target serves and must answer from; none for a plain service.
    pub digest: Option<VersionDigest>,
}

/// What happens to a request at an entry.
#[derive(Debug, Clone)]
pub enum DriverEvent {
    /// The answer to [`DriverAction::Pick`]: the host to try.
    TargetChosen(TargetChoice),
    /// The answer to [`DriverAction::Pick`]: no host can take the request, for this reason, whose
    /// class is "not run".
    NoTarget(ResultCode),
    /// A frame about this request came on a link. Frames about other requests are ignored.
    Frame {
        /// The link that it came on.
        link: LinkId,
        /// The frame.
        frame: LinkFrame,
    },
    /// A link broke or went silent. It must not be used again, and frames that still come on it are
    /// ignored.
    LinkLost(LinkId),
    /// A new link to the host of the attempt is open, to the same run of the agent or another.
    LinkReopened(TargetChoice),
    /// The host is known to be gone for good.
    HostGone(HostName),
    /// The time has come that [`RequestDriver::next_tick`](super::RequestDriver::next_tick) named.
    /// Early and repeated ones do no harm.
    Tick,
    /// The caller closed its connection.
    CallerGone,
}

/// What an entry has to do for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum DriverAction {
    /// Choose a host, and answer by [`DriverEvent::TargetChosen`] or [`DriverEvent::NoTarget`]. It
    /// may be one of `avoid` only if that host's agent has restarted.
    Pick {
        /// Hosts that were tried.
        avoid: Vec<HostName>,
    },
    /// Send a frame on a link. If the link is lost by now, the frame is dropped and
    /// [`DriverEvent::LinkLost`] follows.
    Send {
        /// The link.
        link: LinkId,
        /// The frame.
        frame: LinkFrame,
    },
    /// Send [`LinkFrame::Cancel`] for this request to the host on its next link, if one opens to
    /// the same run of the agent; it has no link now. Nothing more is heard of it.
    CancelLater {
        /// The host.
        host: HostName,
        /// The run of the agent that has the request.
        incarnation: HostIncarnation,
    },
    /// Give the caller the start of the answer. Comes once, directly before the first
    /// [`DriverAction::ForwardBody`] or a [`DriverAction::Finish`] with [`ResultCode::Ok`].
    ForwardHead {
        /// HTTP status.
        status: u16,
        /// HTTP content type; empty if absent.
        content_type: Arc<str>,
    },
    /// Give the caller the next bytes of the body. They were counted as passed on; if the caller is
    /// slow the shell holds them back and stops reading the link.
    ForwardBody(Bytes),
    /// The request ended; comes exactly once and is the last action. After
    /// [`DriverAction::ForwardHead`], any code but [`ResultCode::Ok`] must break the caller's
    /// connection or stream visibly, never end it as if it were whole.
    Finish(ResultCode),
}

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptPhase {
    /// The request was sent, at this time.
    Sent(MonoTime),
    /// The agent took it.
    Accepted,
    /// The link is lost; a new one must open before this time.
    Disconnected(MonoTime),
    /// The agent was asked what became of it and must answer before this time.
    Resolving(MonoTime),
}

/// The start of an answer, not yet passed on.
#[derive(Debug, Clone)]
pub(super) struct AnswerHead {
    pub status: u16,
    pub content_type: Arc<str>,
}

/// One attempt at a request, on one run of one host's agent.
#[derive(Debug, Clone)]
pub(super) struct HostAttempt {
    pub choice: TargetChoice,
    pub phase: AttemptPhase,
    pub head: Option<AnswerHead>,
    pub resolves: u32,
}

impl HostAttempt {
    pub fn new(now: MonoTime, choice: TargetChoice) -> Self {
        Self { choice, phase: AttemptPhase::Sent(now), head: None, resolves: 0 }
    }

    /// Whether the attempt has a link, and it is this one.
    pub fn is_on(&self, link: LinkId) -> bool {
        self.choice.link == link && !matches!(self.phase, AttemptPhase::Disconnected(_))
    }

    /// Whether the attempt is on this run of the agent.
    pub fn is_at(&self, choice: &TargetChoice) -> bool {
        self.choice.host == choice.host && self.choice.incarnation == choice.incarnation
    }

    /// When the attempt wants a tick.
    pub fn next_tick(&self) -> Option<MonoTime> {
        match self.phase {
            AttemptPhase::Sent(at) => Some(at + ACCEPT_TIMEOUT),
            AttemptPhase::Accepted => None,
            AttemptPhase::Disconnected(until) | AttemptPhase::Resolving(until) => Some(until),
        }
    }

    /// The question what became of the request, with `position` bytes of the body passed on; none
    /// if it was asked too often.
    pub fn resolve(&mut self, now: MonoTime, id: RequestId, position: u64) -> Option<LinkFrame> {
        if self.resolves == MAX_RESOLVES {
            return None;
        }
        self.resolves += 1;
        self.phase = AttemptPhase::Resolving(now + RESOLVE_TIMEOUT);
        let has_head = self.head.is_some() || position > 0;
        Some(LinkFrame::Resolve(ResolveFrame { id, has_head, position }))
    }
}
