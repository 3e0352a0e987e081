//! State shared by the control thread and the traffic threads of a process.
//!
//! The control thread owns the state and publishes immutable snapshots, which the traffic threads
//! read.

use buckthornwharf_core::config::ConfigDocument;
use buckthornwharf_core::membership::HostRecord;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::ledger::TargetGate;
use bytes::Bytes;
use tokio::sync::watch;

/// The active configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveConfig {
    /// Generation of the configuration.
    pub generation: ConfigGeneration,
    /// The encoded configuration, as stored in the key-value service.
    pub body: Bytes,
    /// The decoded configuration.
    pub document: ConfigDocument,
}

/// Publishes the active configuration; `None` until the process has received the first one.
pub type ConfigReceiver = watch::Receiver<Option<Arc<ActiveConfig>>>;

/// Publishes the hosts known to the process, sorted by name.
pub type HostsReceiver = watch::Receiver<Arc<Vec<HostRecord>>>;

/// The weight manager's handle on an agent's gate, which decides what may be dispatched to the target.
/// The weight manager sets the gate; the traffic thread applies it and reports the number of dispatched
/// requests that have not ended.
#[derive(Debug)]
pub struct GateControl {
    /// The gate that the traffic thread must apply.
    pub gate: watch::Sender<TargetGate>,
    /// Dispatched requests that have not ended, reported by the traffic thread after it has applied
    /// the gate.
    pub in_flight: watch::Receiver<GateLoad>,
}

/// Dispatched requests that have not ended, by version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GateLoad {
    /// The gate that the traffic thread has applied.
    pub gate: TargetGate,
    /// Requests to an engine, by digest of the version; requests to a plain service count in `plain`.
    pub engine: SortedTable<VersionDigest, u32>,
    /// Requests to a plain service.
    pub plain: u32,
}
