//! Entries that send requests to targets themselves, and agents that keep the weights of an engine,
//! on a platform whose store names the targets.

pub mod agent;
pub mod entry;
mod facts;
mod follow;
mod loads;
pub mod metrics;
mod presence;
mod reload;
mod service;
pub mod settings;
