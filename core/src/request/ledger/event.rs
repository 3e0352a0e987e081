//! Events and actions of an agent's ledger of requests.

use crate::frame::{LinkFrame, SubmitFrame};
use crate::prelude::*;
use crate::request::LinkId;
use bytes::Bytes;

/// What the agent lets through to its target at this moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TargetGate {
    /// Nothing new is dispatched.
    #[default]
    Closed,
    /// Requests are dispatched to a plain service.
    Plain,
    /// Requests for this digest are dispatched to an engine, which serves it as confirmed by
    /// itself.
    Engine(VersionDigest),
}

/// What became of the claim of an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The key belongs to this request, which is to be dispatched.
    Won,
    /// The key belongs to this earlier request of the same agent, whose answer is the answer.
    Join(RequestId),
    /// The request is refused without a run.
    Refused(ResultCode),
}

/// What happens at an agent.
#[derive(Debug, Clone)]
pub enum LedgerEvent {
    /// An entry's link passed its hello. Older links of the same run of the entry are superseded:
    /// new requests that still come on them are ignored.
    LinkOpened {
        /// The link.
        link: LinkId,
        /// The entry's host.
        entry: HostName,
        /// The run of the entry's process.
        incarnation: HostIncarnation,
    },
    /// A link broke or went silent.
    LinkLost(LinkId),
    /// A frame came on a link. Only [`LinkFrame::Submit`], [`LinkFrame::Cancel`],
    /// [`LinkFrame::Resolve`] and [`LinkFrame::Suspects`] matter here; others are ignored.
    Frame {
        /// The link that it came on.
        link: LinkId,
        /// The frame.
        frame: LinkFrame,
    },
    /// The queue gave the request its turn; the gate as it stands at this moment.
    Ready {
        /// The request.
        id: RequestId,
        /// The gate.
        gate: TargetGate,
    },
    /// The answer to [`LedgerAction::Claim`]; the gate as it stands at this moment.
    Claimed {
        /// The request.
        id: RequestId,
        /// What became of the claim.
        verdict: ClaimVerdict,
        /// The gate.
        gate: TargetGate,
    },
    /// The queue or the shell refuses a request that was not dispatched; the code's class must not
    /// be "done" or "unknown".
    Refused {
        /// The request.
        id: RequestId,
        /// The reason.
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
        /// The digest that the target says produced the answer; none for a plain service.
        digest: Option<VersionDigest>,
    },
    /// The target gave the next bytes of the body.
    TargetBody {
        /// The request.
        id: RequestId,
        /// The bytes.
        bytes: Bytes,
    },
    /// The target's answer ended: [`ResultCode::Ok`] only if the target marked its end, else
    /// [`ResultCode::TargetFailed`].
    TargetEnd {
        /// The request.
        id: RequestId,
        /// How it ended.
        code: ResultCode,
    },
    /// The target's process died: everything that it ran has failed.
    TargetCrashed,
    /// Some time passed; to be given every [`LEDGER_TICK_INTERVAL`](super::LEDGER_TICK).
    Tick,
}

/// What an agent has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerAction {
    /// Put the request into the fair queue; on its turn [`LedgerEvent::Ready`] follows.
    Enqueue(Arc<SubmitFrame>),
    /// Take the request out of the queue, if it is still there.
    Dequeue(RequestId),
    /// The request had its turn but has to run alone: give no other request a turn, and
    /// [`LedgerEvent::Ready`] for this one when [`LedgerAction::Recheck`] asks for it.
    Hold(RequestId),
    /// The target is idle now: give [`LedgerEvent::Ready`] for the held request at once.
    Recheck(RequestId),
    /// Claim the request's idempotency key, and answer by [`LedgerEvent::Claimed`].
    Claim(Arc<SubmitFrame>),
    /// The request whose claim was won will not be dispatched: its key may be used again here.
    ReleaseClaim(RequestId),
    /// Give the request to the target. Comes at most once for an id.
    Dispatch(Arc<SubmitFrame>),
    /// Stop the work on a dispatched request; what the target still says of it is ignored.
    CancelTarget(RequestId),
    /// Send a frame on a link; dropped if the link is lost by now.
    Send {
        /// The link.
        link: LinkId,
        /// The frame.
        frame: LinkFrame,
    },
    /// These fingerprints were in flight when the target crashed; for logs and metrics only.
    Crashed(Vec<u64>),
    /// The suspect with this fingerprint was answered whole; for logs and metrics only.
    SuspectCleared(u64),
}
