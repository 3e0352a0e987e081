//! Direct dispatch: an entry sends requests to targets itself, without an agent in between.
//!
//! The entry then does what an agent does otherwise: it chooses the target, queues requests, and
//! tracks whether a request may have run.

pub mod budget;
pub mod catalog;
pub mod ending;
pub mod patience;
pub mod places;
pub mod rollout;
pub mod routes;
pub mod serving;
pub mod versions;
pub mod watch_pace;

pub use budget::RetryBudget;
pub use catalog::{LoadedModel, TargetCatalog, TargetPhase, TargetRecord};
pub use ending::{AttemptEnd, FinalAnswer, NextStep, WorkKind, next_step};
pub use patience::{UsualPatience, WaitAllowance, wait_allowance};
pub use places::{Admission, PlaceBook, PlaceGrant, PlaceRequest, PlaceTicket};
pub use routes::RouteTable;
pub use serving::{
    CallerLimits, EngineShape, OrganisationKeys, OriginShape, ServingConfig, ServingRoute,
    ServingService,
};
pub use versions::{DeclaredVersion, DeclaredVersions};
pub use watch_pace::{Freshness, PROBE_TIMEOUT, PollPace, WatchPace};
