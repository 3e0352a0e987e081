//! Events and actions of a request at an entry, and the state of one attempt.

use super::LinkId;
use crate::frame::{LinkFrame, ResolveFrame};
use crate::prelude::*;
use bytes::Bytes;

/// Maximum attempts per request, including the first.
pub const MAX_ATTEMPTS: usize = 3;
/// Time for the agent to accept a request; after that the entry sends a resolve query, which asks for
/// the status of the request.
pub const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a lost link to reopen, and for the agent to answer a resolve query.
pub const RESOLVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum resolve queries per attempt.
pub const MAX_RESOLVES_PER_ATTEMPT: u32 = 4;

/// The host chosen for an attempt, and the open link to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetChoice {
    /// The host.
    pub host: HostName,
    /// The incarnation of the agent's process, from its hello frame.
    pub incarnation: HostIncarnation,
    /// The link.
    pub link: LinkId,
    /// The digest that the target serves and that its answer must carry; `None` for a plain service.
    pub digest: Option<VersionDigest>,
}

/// An event for a request at an entry.
#[derive(Debug, Clone)]
pub enum DriverEvent {
    /// Reply to [`DriverAction::Pick`]: the host to try.
    TargetChosen(TargetChoice),
    /// Reply to [`DriverAction::Pick`]: no host can take the request. The class of the code is
    /// [`OutcomeClass::NotRun`](crate::code::OutcomeClass::NotRun).
    NoTarget(ResultCode),
    /// A frame was received on a link. Frames of other requests are ignored.
    Frame {
        /// The link that the frame was received on.
        link: LinkId,
        /// The frame.
        frame: LinkFrame,
    },
    /// A link broke or timed out. It must not be used again, and late frames on it are ignored.
    LinkLost(LinkId),
    /// A new link to the host of the attempt is open, to the same or another incarnation of the
    /// agent.
    LinkReopened(TargetChoice),
    /// The host has gone permanently.
    HostGone(HostName),
    /// The time of [`RequestDriver::next_tick`](super::RequestDriver::next_tick) has come. Early and
    /// repeated ticks have no effect.
    Tick,
    /// The caller closed its connection.
    CallerGone,
}

/// An action that the entry must carry out for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum DriverAction {
    /// Choose a host, and reply with [`DriverEvent::TargetChosen`] or [`DriverEvent::NoTarget`]. A
    /// host of `avoid` may be chosen only if its agent has restarted.
    Pick {
        /// Hosts that were tried already.
        avoid: Vec<HostName>,
    },
    /// Send a frame on a link. If the link has been lost, the frame is dropped and
    /// [`DriverEvent::LinkLost`] follows.
    Send {
        /// The link.
        link: LinkId,
        /// The frame.
        frame: LinkFrame,
    },
    /// Send [`LinkFrame::Cancel`] for this request when the next link opens to the same incarnation
    /// of the agent. The host has no link now. No event reports the outcome.
    CancelLater {
        /// The host.
        host: HostName,
        /// The incarnation of the agent that received the request.
        incarnation: HostIncarnation,
    },
    /// Forward the head of the answer to the caller. Issued at most once, directly before the first
    /// [`DriverAction::ForwardBody`] or a [`DriverAction::Finish`] with [`ResultCode::Ok`].
    ForwardHead {
        /// HTTP status.
        status: u16,
        /// HTTP content type; empty if absent.
        content_type: Arc<str>,
    },
    /// Forward the next bytes of the body to the caller. The driver counts them as forwarded; if the
    /// caller is slow, the I/O layer buffers them and stops reading the link.
    ForwardBody(Bytes),
    /// The request ended. Issued exactly once, as the last action. After
    /// [`DriverAction::ForwardHead`], any code but [`ResultCode::Ok`] must abort the caller's
    /// connection or stream, so that a truncated answer does not look complete.
    Finish(ResultCode),
}

/// The phase of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptPhase {
    /// The request was sent at this time and is not accepted yet.
    Sent(MonoTime),
    /// The agent accepted the request.
    Accepted,
    /// The link was lost; a new one must open before this time.
    Disconnected(MonoTime),
    /// A resolve query was sent; the agent must answer it before this time.
    Resolving(MonoTime),
}

/// The head of an answer, before it is forwarded to the caller.
#[derive(Debug, Clone)]
pub(super) struct AnswerHead {
    pub status: u16,
    pub content_type: Arc<str>,
}

/// One attempt at a request, at one incarnation of one host's agent.
#[derive(Debug, Clone)]
pub(super) struct HostAttempt {
    pub choice: TargetChoice,
    pub phase: AttemptPhase,
    pub head: Option<AnswerHead>,
    /// Resolve queries sent so far.
    pub resolves: u32,
}

impl HostAttempt {
    pub fn new(now: MonoTime, choice: TargetChoice) -> Self {
        Self { choice, phase: AttemptPhase::Sent(now), head: None, resolves: 0 }
    }

    /// Whether the attempt is connected over this link.
    pub fn uses_link(&self, link: LinkId) -> bool {
        self.choice.link == link && !matches!(self.phase, AttemptPhase::Disconnected(_))
    }

    /// Whether the attempt is at this host and incarnation of its agent.
    pub fn is_same_incarnation(&self, choice: &TargetChoice) -> bool {
        self.choice.host == choice.host && self.choice.incarnation == choice.incarnation
    }

    /// When the attempt needs a tick.
    pub fn next_tick(&self) -> Option<MonoTime> {
        match self.phase {
            AttemptPhase::Sent(sent_at) => Some(sent_at + ACCEPT_TIMEOUT),
            AttemptPhase::Accepted => None,
            AttemptPhase::Disconnected(until) | AttemptPhase::Resolving(until) => Some(until),
        }
    }

    /// Starts a resolve query, with `position` bytes of the body forwarded so far; `None` if
    /// [`MAX_RESOLVES_PER_ATTEMPT`] queries have been sent already.
    pub fn resolve(&mut self, now: MonoTime, id: RequestId, position: u64) -> Option<LinkFrame> {
        if self.resolves == MAX_RESOLVES_PER_ATTEMPT {
            return None;
        }
        self.resolves += 1;
        self.phase = AttemptPhase::Resolving(now + RESOLVE_TIMEOUT);
        let has_head = self.head.is_some() || position > 0;
        Some(LinkFrame::Resolve(ResolveFrame { id, has_head, position }))
    }
}
