//! What the control thread and the traffic threads of a process share.
//!
//! The control thread owns the state and publishes immutable snapshots; traffic threads read them.

use buckthornwharf_core::config::ConfigDocument;
use buckthornwharf_core::membership::HostRecord;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use tokio::sync::watch;

/// A configuration that is in force.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveConfig {
    /// Its generation.
    pub generation: ConfigGeneration,
    /// The document as it stands in the key-value service.
    pub body: Bytes,
    /// The document.
    pub document: ConfigDocument,
}

/// The configuration in force; none until a process has its first.
pub type ConfigReceiver = watch::Receiver<Option<Arc<ActiveConfig>>>;

/// The hosts that the process believes in, sorted by name.
pub type HostsReceiver = watch::Receiver<Arc<Vec<HostRecord>>>;

/// What an agent lets through to its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum GatePosition {
    /// No new request is dispatched.
    #[default]
    Closed,
    /// Requests are dispatched to a plain service.
    OpenPlain,
    /// Requests for this digest are dispatched to an engine.
    OpenEngine(VersionDigest),
}

/// The two ends of an agent's gate. The weights side moves the gate; the traffic side obeys and
/// tells how many dispatched requests have not ended.
#[derive(Debug)]
pub struct GateControl {
    /// Where the gate is to stand.
    pub position: watch::Sender<GatePosition>,
    /// Requests dispatched under the version with this digest that have not ended, as told by the
    /// traffic thread after it obeyed the position.
    pub in_flight: watch::Receiver<GateLoad>,
}

/// Dispatched requests by version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GateLoad {
    /// The position that the traffic thread obeys.
    pub position: GatePosition,
    /// Dispatched requests that have not ended, by digest; a plain service counts in `plain`.
    pub engine: SortedTable<VersionDigest, u32>,
    /// Dispatched requests to a plain service that have not ended.
    pub plain: u32,
}
