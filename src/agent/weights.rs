//! The weights side of an agent: fetches the wanted version, orders the target to load it, and
//! moves the gate before the target.

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

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What the weights side needs of the rest of the agent.
pub struct WeightsParts {
    /// The settings of the process; those of an agent must be given.
    pub settings: ProcessSettings,
    /// The configuration in force.
    pub config: ConfigReceiver,
    /// The hosts that the process believes in.
    pub hosts: HostsReceiver,
    /// The gate before the target.
    pub gate: GateControl,
    /// What is counted of fetches.
    pub metrics: WeightMetrics,
}

/// What the rest of the agent gets from the weights side.
#[derive(Clone)]
pub struct WeightsHandles {
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
pub fn start(parts: WeightsParts) -> WeightsHandles {
    let WeightsParts { settings, config, hosts, gate, metrics } = parts;
    let agent = settings.agent.clone().expect("an agent's settings");
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
