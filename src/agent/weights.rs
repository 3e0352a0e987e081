//! The weights side of an agent: fetches the wanted version, orders the target to load it, and
//! moves the gate before the target.

mod chunk_store;
mod fetcher;
mod keeper;
mod service;

pub use chunk_store::ChunkStore;
pub use keeper::WeightKeeper;
pub use service::{ChunkAnswer, ChunkService};

use crate::settings::ProcessSettings;
use crate::shared::{ConfigReceiver, GateControl, HostsReceiver};
use buckthornwharf_core::prelude::*;
use tokio::sync::watch;

/// What the weights side needs of the rest of the agent.
pub struct KeeperParts {
    /// The settings of the process; those of an agent must be given.
    pub settings: ProcessSettings,
    /// The configuration in force.
    pub config: ConfigReceiver,
    /// The hosts that the process believes in.
    pub hosts: HostsReceiver,
    /// The gate before the target.
    pub gate: GateControl,
}

/// What the rest of the agent gets from the weights side.
#[derive(Clone)]
pub struct KeeperHandles {
    /// The version that the target confirmed to serve and that the gate is open for.
    pub serving: watch::Receiver<Option<VersionDigest>>,
    /// Answers to other agents that ask for chunks.
    pub chunks: ChunkService,
}

/// Starts the weights side on the thread that calls, which must run an actix arbiter or system.
///
/// # Panics
///
/// If the settings are not those of an agent.
pub fn start(parts: KeeperParts) -> KeeperHandles {
    let store = ChunkStore::default();
    let (serving, receiver) = watch::channel(None);
    let keeper = WeightKeeper::new(parts, serving, store.clone());
    actix_rt::spawn(keeper.run());
    KeeperHandles { serving: receiver, chunks: ChunkService::new(store) }
}
