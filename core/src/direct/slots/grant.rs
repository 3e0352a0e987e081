//! Requests for slots at targets, and the decisions on them.

use crate::direct::capacity::SentState;
use crate::direct::{RegisteredTarget, WaitAllowance};
use crate::prelude::*;

/// Identifies a waiting request.
pub type WaitTicket = u64;

/// A request for a slot at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// Service that the target must belong to.
    pub service: ServiceName,
    /// Route of the request.
    pub route: RouteName,
    /// Organisation that sent it; `None` without a key.
    pub organisation: Option<OrganisationName>,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// How long the request may wait, and whether it is late.
    pub wait: WaitAllowance,
    /// Latency objective: time within which the response should begin. Zero if there is none.
    pub objective: Duration,
    /// Ids of the targets that were tried already and are excluded.
    pub tried: Vec<Arc<str>>,
    /// Number of prompt tokens; 0 if there is no prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the answer; 0 if unknown.
    pub answer_tokens: u32,
    /// Model that the target must have loaded, in a version that may still be used.
    pub model: Option<ModelName>,
}

/// A slot granted to a request. It must be released by
/// [`SlotScheduler::release`](super::SlotScheduler::release), or by
/// [`SlotScheduler::release_unused`](super::SlotScheduler::release_unused) if the request was not sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotGrant {
    /// Target that the request is sent to.
    pub target: Arc<RegisteredTarget>,
    /// Number of prompt tokens that the target has to read.
    pub prompt_tokens: u32,
    /// When the slot was granted.
    pub granted_at: MonoTime,
    /// Time by which the target must have begun to run the request, because its loaded version is
    /// retired then; `None` if no newer version is declared.
    pub begin_by: Option<MonoTime>,
    /// State of the target when the slot was granted, if limits are learned.
    pub sent: SentState,
}

/// Decision on a [`SlotRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The request has a slot and can be sent.
    Granted(SlotGrant),
    /// The request waits in the queue.
    Queued(WaitTicket),
    /// The request cannot be served in time; the caller may retry after this time.
    Refused(Duration),
}

/// How the target handled the request when its slot is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOutcome {
    /// It responded, or the attempt ended for another reason than a fault of the target.
    Answered,
    /// It refused the request because it was full.
    Full,
    /// It was unreachable, or the exchange failed.
    Failed,
}
