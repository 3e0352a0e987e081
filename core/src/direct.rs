//! Direct dispatch: an entry sends requests to targets itself, without an agent in between.
//!
//! The entry then does what an agent does otherwise: it chooses the target, queues requests, and
//! tracks whether a request may have run.

pub mod attempt;
pub mod backlog;
pub mod budget;
pub mod caller_timeout;
pub mod capacity;
pub mod catalog;
pub mod crashes;
pub mod demand;
pub mod drain;
pub mod evacuation;
pub mod event_stream;
pub mod memory;
pub mod news;
pub mod placement;
pub mod rollout;
pub mod routes;
pub mod serving;
pub mod slots;
pub mod store_position;
pub mod version_choice;
pub mod versions;
pub mod watch_backoff;

pub use attempt::{AttemptFailure, FinalAnswer, NextStep, WorkKind, next_step};
pub use backlog::BacklogLimit;
pub use budget::{RetryAllowance, RetryBudget};
pub use caller_timeout::{CallerTime, CallerTimeoutEstimate, WaitAllowance, wait_allowance};
pub use catalog::{LoadedModel, RegisteredTarget, TargetCatalog, TargetPhase};
pub use crashes::{
    CauseHistory, CauseId, CrashId, CrashLedger, CrashReport, GuiltyGroup, SentCause,
    request_causes,
};
pub use demand::{ClassDemand, EntryDemands};
pub use drain::DrainPeriod;
pub use evacuation::{
    EvacuatedPart, EvacuatedSites, EvacuationReader, EvacuationRepeat, EvacuationState,
};
pub use event_stream::{AnswerEnd, EventStream, StreamFault};
pub use news::{NewsCoverage, news_sources};
pub use placement::{ColdReason, PlacementObstacle, PlacementVerdict, TargetVerdict};
pub use routes::RouteTable;
pub use serving::{
    CallerLimits, ColdLimit, EngineSpec, EngineTiming, OrganisationKeys, OriginSpec, RegionSet,
    ServingConfig, ServingRoute, ServingService,
};
pub use slots::{Admission, SlotGrant, SlotRequest, SlotScheduler, WaitTicket};
pub use store_position::{StoreEra, StorePosition};
pub use versions::{DeclaredVersion, DeclaredVersions};
pub use watch_backoff::{PROBE_TIMEOUT, PollBackoff, WatchBackoff, WatchHedge, WatchTiming};
