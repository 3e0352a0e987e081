//! Distribution of weights: manifests, the plan of which host fetches which chunk from where, fetches
//! and uploads, and the life cycle of a version on a host.

pub mod chunk_set;
pub mod fence;
pub mod fetch;
pub mod lifecycle;
pub mod manifest;
pub mod permit;
pub mod plan;
pub mod upload;

pub use chunk_set::ChunkSet;
pub use fetch::{
    ChunkSource, FetchAction, FetchEvent, FetchFailure, FetchLimits, FetchMachine, FetchShare,
};
pub use manifest::{HashKind, ManifestError, VersionManifest};
pub use plan::{CrossRegionMode, DistributionPlan, PlanHost};
pub use upload::{UploadClass, UploadLimiter, UploadSlots, UploadTicket};
