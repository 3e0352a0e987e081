//! Events and actions of an agent's request ledger.

use crate::frame::{LinkFrame, SubmitFrame};
use crate::prelude::*;
use crate::request::LinkId;
use bytes::Bytes;

/// Which requests the agent may dispatch to its target now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TargetGate {
    /// None.
    #[default]
    Closed,
    /// Requests without a digest; the target is a plain service.
    Plain,
    /// Requests for this digest; the target is an engine that has confirmed to serve it.
    Engine(VersionDigest),
}

/// The outcome of claiming an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The request holds the key and is to be dispatched.
    Won,
    /// This earlier request at the same agent holds the key; its answer is shared.
    Join(RequestId),
    /// The request is refused and not dispatched.
    Refused(ResultCode),
}

/// An event at an agent.
#[derive(Debug, Clone)]
pub enum LedgerEvent {
    /// A link of an entry has completed its handshake. It supersedes older links of the same
    /// incarnation of the entry: new requests that still arrive on those are ignored.
    LinkOpened {
        /// The link.
        link: LinkId,
        /// The entry's host.
        entry: HostName,
        /// The incarnation of the entry's process.
        incarnation: HostIncarnation,
    },
    /// A link broke or timed out.
    LinkLost(LinkId),
    /// A frame was received on a link. Frames other than [`LinkFrame::Submit`], [`LinkFrame::Cancel`],
    /// [`LinkFrame::Resolve`] and [`LinkFrame::Suspects`] are ignored.
    Frame {
        /// The link that the frame was received on.
        link: LinkId,
        /// The frame.
        frame: LinkFrame,
    },
    /// The request was taken from the queue, or its recheck is due.
    Ready {
        /// The request.
        id: RequestId,
        /// The current gate.
        gate: TargetGate,
    },
    /// Reply to [`LedgerAction::Claim`].
    Claimed {
        /// The request.
        id: RequestId,
        /// The outcome of the claim.
        verdict: ClaimVerdict,
        /// The current gate.
        gate: TargetGate,
    },
    /// The queue or the I/O layer refuses a request that was not dispatched. The class of the code must be
    /// [`OutcomeClass::NotRun`](crate::code::OutcomeClass::NotRun) or
    /// [`OutcomeClass::Final`](crate::code::OutcomeClass::Final).
    Refused {
        /// The request.
        id: RequestId,
        /// The reason of the refusal.
        code: ResultCode,
    },
    /// The target started its answer.
    TargetHead {
        /// The request.
        id: RequestId,
        /// HTTP status.
        status: u16,
        /// HTTP content type; empty if absent.
        content_type: Arc<str>,
        /// The digest that produced the answer, as reported by the target; `None` for a plain service.
        digest: Option<VersionDigest>,
    },
    /// The target sent the next bytes of the body.
    TargetBody {
        /// The request.
        id: RequestId,
        /// The bytes.
        bytes: Bytes,
    },
    /// The target's answer ended. The code is [`ResultCode::Ok`] only if the target marked the end of
    /// the answer, else [`ResultCode::TargetFailed`].
    TargetEnd {
        /// The request.
        id: RequestId,
        /// The result.
        code: ResultCode,
    },
    /// The target's process died; all running requests have failed.
    TargetCrashed,
    /// The periodic tick, due every [`LEDGER_TICK_INTERVAL`](super::LEDGER_TICK_INTERVAL).
    Tick,
}

/// An action that the agent must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerAction {
    /// Put the request into the fair queue; [`LedgerEvent::Ready`] follows when it is taken from there.
    Enqueue(Arc<SubmitFrame>),
    /// Remove the request from the queue if it is still there.
    Dequeue(RequestId),
    /// The request must run alone and the target is not idle: take no request from the queue until
    /// [`LedgerAction::Recheck`] for this one, or its end.
    Hold(RequestId),
    /// The target is idle: reply with [`LedgerEvent::Ready`] for the held request at once.
    Recheck(RequestId),
    /// Claim the request's idempotency key, and reply with [`LedgerEvent::Claimed`].
    Claim(Arc<SubmitFrame>),
    /// Release the key of a request that won its claim but will not be dispatched.
    ReleaseClaim(RequestId),
    /// Send the request to the target. Issued at most once per id.
    Dispatch(Arc<SubmitFrame>),
    /// Cancel a dispatched request at the target; later events of its answer are ignored.
    CancelTarget(RequestId),
    /// Send a frame on a link; dropped if the link has been lost.
    Send {
        /// The link.
        link: LinkId,
        /// The frame.
        frame: LinkFrame,
    },
    /// The target crashed while these fingerprints were in flight; for logs and metrics only.
    Crashed(Vec<u64>),
    /// The suspect with this fingerprint was cleared by a complete answer; for logs and metrics only.
    SuspectCleared(u64),
}
