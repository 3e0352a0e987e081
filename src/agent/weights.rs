//! Version management of an agent, on its control thread: fetches the wanted version, orders the
//! target to load it, and opens and closes the gate in front of the target.

mod authority;
mod body;
mod chunk_store;
mod fetcher;
mod manager;
mod peer;
mod service;

pub use chunk_store::ChunkStore;
pub use peer::PROOF_HEADER;
pub use service::{ChunkAnswer, ChunkService};

use crate::metrics::WeightMetrics;
use crate::platform::engine::EngineClient;
use crate::platform::kv::KvClient;
use crate::platform::store::StoreClient;
use crate::settings::ProcessSettings;
use crate::shared::{ConfigReceiver, GateControl, HostsReceiver};
use buckthornwharf_core::prelude::*;
use fetcher::{FetcherParts, VersionFetcher};
use manager::{ManagerParts, ServingGate, WeightManager};
use peer::PeerClient;
use tokio::sync::watch;

/// Timeout of opening a connection to the target, another agent or the origin.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Inputs of version management.
pub struct WeightsParts {
    /// The settings of the process, with an `agent` section.
    pub settings: ProcessSettings,
    /// The active configuration.
    pub config: ConfigReceiver,
    /// The known hosts.
    pub hosts: HostsReceiver,
    /// The gate in front of the target.
    pub gate: GateControl,
    /// Metrics of fetches.
    pub metrics: WeightMetrics,
}

/// Outputs of version management.
#[derive(Clone)]
pub struct WeightsHandles {
    /// Digest of the version that the target has confirmed and the gate is open for.
    pub serving: watch::Receiver<Option<VersionDigest>>,
    /// Serves chunks to other agents.
    pub chunks: ChunkService,
}

/// Starts version management on the current thread, which must run an actix arbiter or system.
///
/// # Panics
///
/// If the settings have no `agent` section.
pub fn start(parts: WeightsParts) -> WeightsHandles {
    let WeightsParts { settings, config, hosts, gate, metrics } = parts;
    let agent = settings.agent.clone().expect("settings with an `agent` section");
    let key = settings.link_secret.key();
    let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
    let client = awc::Client::builder().connector(connector).finish();
    let store = ChunkStore::default();
    let chunks = ChunkService::new(store.clone(), key);
    let (wanted, wanted_receiver) = watch::channel(None);
    let (held_sender, held) = watch::channel(None);
    let (serving_sender, serving) = watch::channel(None);
    let (live_load, live_load_receiver) = watch::channel(0);
    let fetcher = FetcherParts {
        settings: settings.clone(),
        config: config.clone(),
        hosts,
        origin: StoreClient::new(settings.platform.store, client.clone()),
        peers: PeerClient::new(client.clone(), key),
        store: store.clone(),
        chunks: chunks.clone(),
        wanted: wanted_receiver,
        live_load: live_load_receiver,
        metrics,
    };
    actix_rt::spawn(VersionFetcher::new(fetcher, held_sender).run());
    let manager = ManagerParts {
        host: settings.host,
        engine: EngineClient::new(agent.target, client),
        settings: agent,
        config,
        gate: ServingGate::new(gate, serving_sender),
        store,
        chunks: chunks.clone(),
        kv: KvClient::new(settings.platform.kv),
        wanted,
        held,
        live_load,
    };
    actix_rt::spawn(WeightManager::new(manager).run());
    WeightsHandles { serving, chunks }
}
