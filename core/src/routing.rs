//! Request routing: target selection in the entry and request scheduling in the agent.
//!
//! An entry selects the agents that it links to with [`subset`], balances requests over their
//! targets with [`pick`], and submits each request with a cost estimate from [`cost`]. The agent
//! schedules the requests that wait for its target with [`queue`].

pub mod cost;
pub mod hash;
pub mod pick;
pub mod queue;
pub mod subset;

pub use cost::{estimate_tokens, prefix_hash};
pub use pick::{PickAffinity, PickRequest, PickedTarget, TargetPicker};
pub use queue::{FairQueue, PopResult, QueueItem, QueueLimits, RefusedItem};
pub use subset::choose_links;
