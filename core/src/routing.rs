//! Which target takes a request, and in which order requests are served.
//!
//! An entry chooses its links with [`subset`], a target for each request with [`pick`], and tells
//! the agent a cost from [`cost`]. The agent orders what waits for its target with [`queue`].

pub mod cost;
pub mod hash;
pub mod pick;
pub mod queue;
pub mod subset;

pub use cost::{estimate_tokens, prefix_hash};
pub use pick::{PickAffinity, PickRequest, PickedTarget, TargetPicker};
pub use queue::{FairQueue, PoppedItems, QueueItem, QueueLimits, RefusedItem};
pub use subset::choose_links;
