//! Fetches the wanted version: finds its manifest and carries out the actions of [`FetchMachine`].

mod search;
mod tasks;

use super::chunk_store::ChunkStore;
use super::peer::PeerClient;
use super::service::ChunkService;
use crate::clock;
use crate::metrics::WeightMetrics;
use crate::platform::store::StoreClient;
use crate::settings::ProcessSettings;
use crate::shared::{ActiveConfig, ConfigReceiver, HostsReceiver};
use buckthornwharf_core::membership::{HostPhase, HostRecord, HostRole};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::lifecycle::{FetchingVersion, HeldVersion, WantedVersion};
use buckthornwharf_core::weights::{
    ChunkSet, ChunkSource, DistributionPlan, FetchAction, FetchEvent, FetchLimits, FetchMachine,
    PlanHost,
};
use log::{info, warn};
use rand::RngExt;
use std::convert::Infallible;
use std::future;
use tasks::TaskTable;
use tokio::sync::{mpsc, watch};

/// Inputs of [`VersionFetcher`].
pub struct FetcherParts {
    /// The settings of the process.
    pub settings: ProcessSettings,
    /// The active configuration.
    pub config: ConfigReceiver,
    /// The known hosts.
    pub hosts: HostsReceiver,
    /// Client of the origin.
    pub origin: StoreClient,
    /// Client of other agents.
    pub peers: PeerClient,
    /// The verified chunks and manifests.
    pub store: ChunkStore,
    /// Serves chunks to other agents.
    pub chunks: ChunkService,
    /// The version to fetch.
    pub wanted: watch::Receiver<Option<VersionDigest>>,
    /// Percentage of the target's slots that live requests take.
    pub live_load: watch::Receiver<u8>,
    /// Metrics of fetches.
    pub metrics: WeightMetrics,
}

/// Fetches the wanted version, and publishes it when all of its chunks are held and verified.
pub struct VersionFetcher {
    parts: FetcherParts,
    held: watch::Sender<Option<HeldVersion>>,
}

impl VersionFetcher {
    /// A fetcher that publishes the held version on `held`.
    pub fn new(parts: FetcherParts, held: watch::Sender<Option<HeldVersion>>) -> Self {
        Self { parts, held }
    }

    /// Runs until the weight manager has ended. The fetch of a version that is no longer wanted is
    /// cancelled at once.
    pub async fn run(mut self) {
        loop {
            let wanted = *self.parts.wanted.borrow_and_update();
            self.held.send_replace(None);
            let mut changes = self.parts.wanted.clone();
            let changed = tokio::select! {
                changed = changes.changed() => changed,
                never = self.fetch_wanted(wanted) => match never {},
            };
            if changed.is_err() {
                return;
            }
        }
    }

    async fn fetch_wanted(&mut self, wanted: Option<VersionDigest>) -> Infallible {
        if let Some(digest) = wanted {
            let held = self.fetch(WantedVersion::new(digest)).await;
            self.parts.store.retain_version(&digest);
            info!("all chunks of version {digest} are held");
            self.held.send_replace(Some(held));
        }
        future::pending().await
    }

    async fn fetch(&mut self, version: WantedVersion) -> HeldVersion {
        let digest = version.digest();
        let mut version = search::find_manifest(&self.parts, &version).await;
        self.parts.chunks.reset_uploads(digest, version.manifest().total_bytes);
        self.parts.store.insert_manifest(digest, version.manifest().clone());
        loop {
            let mut run = FetchRun::new(&self.parts, &version);
            let held = run.finish(&mut self.parts).await;
            match version.into_held(&held) {
                Ok(held) => return held,
                Err(incomplete) => version = incomplete,
            }
        }
    }
}

/// A fetch machine and the tasks that carry out its actions.
struct FetchRun {
    machine: FetchMachine,
    tasks: TaskTable,
    events: mpsc::UnboundedReceiver<FetchEvent>,
    version: FetchingVersion,
    metrics: WeightMetrics,
}

impl FetchRun {
    fn new(parts: &FetcherParts, version: &FetchingVersion) -> Self {
        let manifest = version.manifest().clone();
        let plan = distribution_plan(parts, version);
        let limits = fetch_limits(parts.config.borrow().as_deref());
        let (sender, events) = mpsc::unbounded_channel();
        let held = parts.store.held(&version.digest());
        let held = held.unwrap_or_else(|| ChunkSet::new(manifest.chunks.len()));
        let name = parts.settings.host.clone();
        let seed = rand::rng().random();
        let machine = FetchMachine::new(clock::now(), manifest, plan, name, limits, held, seed);
        let tasks = TaskTable::new(parts, version, limits, sender);
        let metrics = parts.metrics.clone();
        Self { machine, tasks, events, version: version.clone(), metrics }
    }

    async fn finish(&mut self, parts: &mut FetcherParts) -> ChunkSet {
        let mut event = FetchEvent::LiveLoad(*parts.live_load.borrow_and_update());
        while !self.feed(&parts.store, event) {
            event = self.next_event(parts).await;
        }
        self.machine.held().clone()
    }

    async fn next_event(&mut self, parts: &mut FetcherParts) -> FetchEvent {
        let wake_at = self.machine.next_wake();
        let delay = wake_at.map_or(Duration::ZERO, |wake_at| wake_at.since(clock::now()));
        tokio::select! {
            Some(event) = self.events.recv() => event,
            Ok(()) = parts.hosts.changed() => {
                self.tasks.set_hosts(parts.hosts.borrow_and_update().clone());
                FetchEvent::Replanned(distribution_plan(parts, &self.version))
            }
            Ok(()) = parts.live_load.changed() => {
                FetchEvent::LiveLoad(*parts.live_load.borrow_and_update())
            }
            () = actix_rt::time::sleep(delay) => FetchEvent::Tick,
        }
    }

    /// Passes an event to the machine and carries out its actions. True if all chunks are held.
    fn feed(&mut self, store: &ChunkStore, event: FetchEvent) -> bool {
        let actions = self.machine.on_event(clock::now(), event);
        let mut complete = false;
        for action in actions {
            match action {
                FetchAction::Fetch(fetch) => self.tasks.fetch(fetch),
                FetchAction::Cancel(id) => self.tasks.cancel(id),
                FetchAction::Poll(peer) => self.tasks.poll(peer),
                FetchAction::Store(chunk, bytes) => {
                    store.insert_chunk(self.version.manifest().chunks[chunk], bytes);
                }
                FetchAction::ReportCorrupt(source, chunk) => {
                    warn!(
                        "chunk {chunk} from {source:?} is corrupt; discarding it and fetching it again"
                    );
                    self.metrics.refused.with_label_values(&[source_label(&source)]).inc();
                }
                FetchAction::Complete => complete = true,
            }
        }
        complete
    }
}

/// The label of the source in metrics.
fn source_label(source: &ChunkSource) -> &'static str {
    match source {
        ChunkSource::Origin => "origin",
        ChunkSource::Peer(_) => "peer",
    }
}

fn fetch_limits(config: Option<&ActiveConfig>) -> FetchLimits {
    let allowances = config.map(|config| config.document.allowances.clone()).unwrap_or_default();
    FetchLimits::new(
        allowances.origin_bytes_per_second,
        allowances.host_bytes_per_second,
        allowances.region_pair_bytes_per_second,
    )
}

fn distribution_plan(parts: &FetcherParts, version: &FetchingVersion) -> Arc<DistributionPlan> {
    let (hosts, store_region) = plan_hosts(parts, &version.digest());
    Arc::new(DistributionPlan::new(version.manifest(), hosts, &store_region))
}

/// The hosts that want the version `digest`, including this one, and the region that reads the
/// origin: the configured one, or the first by name.
fn plan_hosts(parts: &FetcherParts, digest: &VersionDigest) -> (Vec<PlanHost>, RegionName) {
    let config = parts.config.borrow();
    let region_of = |site: &SiteName| match &*config {
        Some(config) => config.document.region_of(site),
        None => RegionName::from(site.as_str()),
    };
    let wants = |host: &&HostRecord| {
        let service = host.service.as_ref();
        let wanted = config.as_ref().zip(service);
        let wanted = wanted.and_then(|(config, service)| config.document.wanted_digest(service));
        host.role == HostRole::Agent && host.phase == HostPhase::Live && wanted == Some(*digest)
    };
    let plan_host =
        |host: &HostRecord| PlanHost { name: host.name.clone(), region: region_of(&host.site) };
    let mut hosts: Vec<PlanHost> =
        parts.hosts.borrow().iter().filter(wants).map(plan_host).collect();
    let own = &parts.settings;
    if !hosts.iter().any(|plan_host| plan_host.name == own.host) {
        hosts.push(PlanHost { name: own.host.clone(), region: region_of(&own.site) });
    }
    hosts.sort_unstable();
    let configured =
        config.as_ref().and_then(|config| config.document.allowances.store_region.clone());
    let lowest_region = hosts.iter().map(|plan_host| &plan_host.region).min();
    let store_region = configured.or_else(|| lowest_region.cloned());
    (hosts, store_region.unwrap_or_else(|| region_of(&own.site)))
}
