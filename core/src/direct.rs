//! Requests that an entry sends to targets itself, without an agent between.
//!
//! The entry then owns what an agent owns otherwise: the choice of the target, the queue before it,
//! and the knowledge whether a request may have run.

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
