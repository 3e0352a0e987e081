//! The direct path: entries that send requests to targets themselves, and agents that load weights into
//! an engine, on a platform whose key-value store lists the targets.

pub mod agent;
pub mod demand;
pub mod entry;
pub mod evacuation;
mod facts;
mod follow;
pub mod inbound_guard;
pub mod loads;
pub mod metrics;
pub mod news;
mod outage;
pub mod placement_report;
mod presence;
mod reload;
mod service;
pub mod settings;
