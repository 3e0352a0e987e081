//! Brings the pieces of a version into the engine's stage.

use super::peers::PeerCalls;
use super::state::{AgentState, StagedVersion, WantedModel};
use crate::clock;
use crate::direct::presence::PresenceRecord;
use actix_rt::task::JoinHandle;
use buckthornwharf_core::direct::LoadedModel;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fetch::{FetchOrder, FetchTicket};
use buckthornwharf_core::weights::{
    ChunkSet, ChunkSource, CrossingMode, FetchAction, FetchEvent, FetchFailure, FetchLimits,
    FetchMachine, PlanHost, SpreadPlan, VersionManifest,
};
use buckthornwharf_platform::OriginClient;
use buckthornwharf_platform::engine::EngineError;
use bytes::Bytes;
use log::{info, warn};
use rand::RngExt;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Pause before sources of a manifest are asked again.
const MANIFEST_PAUSE: Duration = Duration::from_millis(60);
/// Time after its declaration in which a manifest is on its way from agent to agent; later each reads
/// it from the origin itself.
const SPREAD_TIME: Duration = Duration::from_millis(900);
/// Agents that are asked for a manifest before the origin.
const MANIFEST_PEERS: usize = 3;
/// Time after its declaration in which a version is taken to be nowhere but at the origin.
const FRESH_TIME: Duration = Duration::from_secs(3);
/// Bytes a second of a megabit a second.
const MEGABIT_BYTES: f64 = 125_000.0;
/// Hosts of a region whose links together carry what comes from another region.
const GATEWAY_LINKS: u64 = 2;
/// Pace of the fetch machine for versions that take seconds, in percent.
const TIME_PERCENT: u32 = 20;
/// Pieces that are fetched from other agents at the same time, and from the origin. The engine's
/// requests come by the same link, so that only few pieces may stand before them.
const PEER_FETCHES: usize = 3;
const ORIGIN_FETCHES: usize = 2;
/// Time for which the origin is left alone while agents of the own region hold the version.
const SETTLED_ORIGIN_DELAY: Duration = Duration::from_secs(3);

/// A version whose pieces are all staged.
#[derive(Debug, Clone)]
pub struct StagedWhole {
    /// Its manifest.
    pub manifest: Arc<VersionManifest>,
}

/// Brings versions into the stage.
pub struct PieceFetcher {
    state: Rc<AgentState>,
    peers: PeerCalls,
}

/// A manifest, and whether agents of the own region hold the whole version already.
struct FoundManifest {
    manifest: Arc<VersionManifest>,
    settled: bool,
}

impl PieceFetcher {
    /// A fetcher of the agent.
    pub fn new(state: Rc<AgentState>) -> Self {
        Self { state, peers: PeerCalls::default() }
    }

    /// Stages all pieces of `wanted`, verified. May be dropped at any time.
    pub async fn stage(&self, wanted: &WantedModel) -> StagedWhole {
        let version = &wanted.version;
        let found = self.manifest(wanted).await;
        let manifest = found.manifest;
        let held = self.verified(version, &manifest).await;
        info!(
            "event=fetch_started version={} held={} settled={}",
            version.version,
            held.count(),
            found.settled
        );
        self.state.set_staged(StagedVersion {
            version: version.clone(),
            manifest: Some(manifest.clone()),
            held: held.clone(),
        });
        let mut run = FetchRun::new(self, version, manifest.clone(), held, found.settled);
        run.finish().await;
        info!(
            "event=fetch_ended version={} took_ms={}",
            version.version,
            clock::now().since(run.started).as_millis()
        );
        StagedWhole { manifest }
    }

    /// The staged pieces that are those of `manifest`.
    pub async fn verified(&self, version: &LoadedModel, manifest: &VersionManifest) -> ChunkSet {
        let count = manifest.chunks.len();
        let mut held = ChunkSet::new(count);
        let staged = self.state.engine.staged_pieces(&version.model).await;
        let staged = staged.unwrap_or_else(|error| {
            warn!("event=stage_unread version={} reason=\"{error}\"", version.version);
            Vec::new()
        });
        for piece in staged.into_iter().filter(|piece| *piece < count) {
            let most_bytes = manifest.chunk_len(piece) as usize;
            let read = self.state.engine.staged(&version.model, piece, most_bytes).await;
            match read {
                Ok(Some(bytes)) if manifest.has_chunk(piece, &bytes) => {
                    held.insert(piece);
                }
                Ok(_) => {}
                Err(error) => warn!("event=stage_unread piece={piece} reason=\"{error}\""),
            }
        }
        held
    }

    async fn manifest(&self, wanted: &WantedModel) -> FoundManifest {
        let version = &wanted.version;
        loop {
            let age = wanted.declared_at.map(|declared| clock::now().since(declared));
            let fresh = age.is_some_and(|age| age < FRESH_TIME);
            let near = if fresh { None } else { self.ask_near(version).await };
            let settled = near.is_some();
            if let Some(manifest) = self.known_manifest(version, near).await {
                return FoundManifest { manifest, settled };
            }
            if age.is_none_or(|age| age > SPREAD_TIME) || self.reads_manifest_first(version) {
                if let Some(manifest) = self.origin_manifest(version).await {
                    return FoundManifest { manifest: Arc::new(manifest), settled };
                }
            }
            for address in self.manifest_sources(version) {
                if let Ok(manifest) = self.peers.manifest(address, version).await {
                    return FoundManifest { manifest: Arc::new(manifest), settled };
                }
            }
            actix_rt::time::sleep(MANIFEST_PAUSE).await;
        }
    }

    async fn known_manifest(
        &self,
        version: &LoadedModel,
        near: Option<SocketAddr>,
    ) -> Option<Arc<VersionManifest>> {
        let staged = self.state.staged(version).and_then(|staged| staged.manifest);
        match (staged, near) {
            (None, Some(address)) => self.peers.manifest(address, version).await.ok().map(Arc::new),
            (staged, _) => staged,
        }
    }

    async fn origin_manifest(&self, version: &LoadedModel) -> Option<VersionManifest> {
        let origin = self.state.origin()?;
        match OriginClient::new(origin.address).manifest(version).await {
            Ok(manifest) => Some(manifest),
            Err(error) => {
                warn!("event=no_manifest reason=\"{error}\"");
                None
            }
        }
    }

    /// Whether no other agent is to read the manifest before this one.
    fn reads_manifest_first(&self, version: &LoadedModel) -> bool {
        self.manifest_sources(version).is_empty()
    }

    /// The agents that are asked for a manifest before the origin, in order.
    fn manifest_sources(&self, version: &LoadedModel) -> Vec<SocketAddr> {
        let name = format!("{}/{}", version.model, version.version);
        let digest = VersionDigest::from_bytes(*blake3::hash(name.as_bytes()).as_bytes());
        let agents = self.state.agents();
        let hosts: Vec<PlanHost> = agents.iter().map(place_of).collect();
        let own = place_of(&PresenceRecord::of(&self.state.settings));
        let sources = SpreadPlan::manifest_sources(&digest, &own, &hosts, &self.store_region());
        let address = |host: &HostName| agents.iter().find(|agent| agent.host == *host);
        sources.iter().filter_map(|host| Some(address(host)?.address)).collect()
    }

    fn store_region(&self) -> RegionName {
        let settings = &self.state.settings;
        let origin = self.state.origin().map(|origin| settings.region_of(&origin.site));
        origin.unwrap_or_else(|| settings.region())
    }

    /// An agent of the own region that holds the whole version.
    async fn ask_near(&self, version: &LoadedModel) -> Option<SocketAddr> {
        let region = self.state.settings.region();
        for agent in self.others(|agent| agent.region == region) {
            let held = self.peers.held(agent.address, version).await;
            if held.is_ok_and(|held| held.is_whole()) {
                return Some(agent.address);
            }
        }
        None
    }

    fn others(&self, fits: impl Fn(&PresenceRecord) -> bool) -> Vec<PresenceRecord> {
        let own = &self.state.settings.host;
        let mut others = self.state.agents();
        others.retain(|agent| agent.host != *own && fits(agent));
        others.shuffle(&mut rand::rng());
        others.truncate(MANIFEST_PEERS);
        others
    }

    fn plan(&self, manifest: &VersionManifest, settled: bool) -> Arc<SpreadPlan> {
        let region = self.state.settings.region();
        let agents = self.state.agents();
        let near = |agent: &&PresenceRecord| !settled || agent.region == region;
        let hosts: Vec<PlanHost> = agents.iter().filter(near).map(place_of).collect();
        let plan = SpreadPlan::new(manifest, hosts, &self.store_region());
        Arc::new(plan.crossing(CrossingMode::Homes))
    }

    fn limits(&self, settled: bool) -> FetchLimits {
        let host = (self.state.own.link_megabits * MEGABIT_BYTES) as u64;
        let origin = self.state.origin().map_or(host, |origin| origin.bytes_per_second);
        let mut limits = FetchLimits::new(origin, host, host * GATEWAY_LINKS);
        if settled {
            limits.origin_delay = SETTLED_ORIGIN_DELAY;
        }
        limits.time_percent = TIME_PERCENT;
        limits.peer_fetches = PEER_FETCHES;
        limits.origin_fetches = ORIGIN_FETCHES;
        limits
    }
}

/// A fetch machine with the tasks that carry out its actions; they end with it.
struct FetchRun<'a> {
    fetcher: &'a PieceFetcher,
    version: LoadedModel,
    manifest: Arc<VersionManifest>,
    settled: bool,
    machine: FetchMachine,
    sender: UnboundedSender<FetchEvent>,
    events: UnboundedReceiver<FetchEvent>,
    tasks: SortedTable<FetchTicket, JoinHandle<()>>,
    poll: Option<JoinHandle<()>>,
    started: MonoTime,
}

impl<'a> FetchRun<'a> {
    fn new(
        fetcher: &'a PieceFetcher,
        version: &LoadedModel,
        manifest: Arc<VersionManifest>,
        held: ChunkSet,
        settled: bool,
    ) -> Self {
        let (sender, events) = unbounded_channel();
        let started = clock::now();
        let machine = FetchMachine::new(
            started,
            manifest.clone(),
            fetcher.plan(&manifest, settled),
            fetcher.state.settings.host.clone(),
            fetcher.limits(settled),
            held,
            rand::rng().random(),
        );
        Self {
            fetcher,
            version: version.clone(),
            manifest,
            settled,
            machine,
            sender,
            events,
            tasks: SortedTable::new(),
            poll: None,
            started,
        }
    }

    async fn finish(&mut self) {
        let mut event = FetchEvent::Tick;
        loop {
            let actions = self.machine.on_event(clock::now(), event);
            for action in actions {
                if self.carry_out(action).await {
                    return;
                }
            }
            event = self.next_event().await;
        }
    }

    async fn next_event(&mut self) -> FetchEvent {
        let wake = self.machine.next_wake();
        let pause = wake.map_or(Duration::ZERO, |wake| wake.since(clock::now()));
        let state = &self.fetcher.state;
        tokio::select! {
            Some(event) = self.events.recv() => event,
            () = state.agents_changed.notified() => {
                FetchEvent::Replanned(self.fetcher.plan(&self.manifest, self.settled))
            }
            () = actix_rt::time::sleep(pause) => FetchEvent::Tick,
        }
    }

    /// Carries out an action; whether all pieces are staged.
    async fn carry_out(&mut self, action: FetchAction) -> bool {
        match action {
            FetchAction::Fetch(order) => self.fetch(order),
            FetchAction::Cancel(ticket) => {
                if let Some(task) = self.tasks.remove(&ticket) {
                    task.abort();
                }
            }
            FetchAction::Poll(peer) => self.poll(peer),
            FetchAction::Keep(piece, bytes) => self.keep(piece, bytes).await,
            FetchAction::Corrupt(source, piece) => {
                warn!("event=corrupt_piece source={source:?} piece={piece}");
                self.count(&source, "corrupt");
            }
            FetchAction::Complete => return true,
        }
        false
    }

    fn count(&self, source: &ChunkSource, verdict: &str) {
        let source = match source {
            ChunkSource::Origin => "origin",
            ChunkSource::Peer(_) => "peer",
        };
        self.fetcher.state.metrics.pieces.with_label_values(&[source, verdict]).inc();
    }

    async fn keep(&self, piece: usize, bytes: Bytes) {
        let state = &self.fetcher.state;
        let staged = state.engine.stage(&self.version.model, piece, bytes).await;
        match staged {
            Ok(()) => state.add_staged(&self.version, piece),
            // The check before the load finds the gap.
            Err(error) => warn!("event=not_staged piece={piece} reason=\"{error}\""),
        }
    }

    fn fetch(&mut self, order: FetchOrder) {
        self.tasks.retain(|_, task| !task.is_finished());
        self.count(&order.source, "asked");
        let ticket = order.ticket;
        let source = match &order.source {
            ChunkSource::Origin => self.fetcher.state.origin().map(|origin| origin.address),
            ChunkSource::Peer(host) => self.address_of(host),
        };
        let Some(address) = source else {
            // The machine is told by an event, as of any other failure.
            let _ = self.sender.send(FetchEvent::Failed(ticket, FetchFailure::Unreachable));
            return;
        };
        let peers = self.fetcher.peers.clone();
        let version = self.version.clone();
        let most_bytes = self.manifest.chunk_len(order.chunk) as usize;
        let sender = self.sender.clone();
        let host = match order.source {
            ChunkSource::Origin => None,
            ChunkSource::Peer(host) => Some(host),
        };
        let task = actix_rt::spawn(async move {
            let piece = order.chunk;
            let fetched = match host {
                None => {
                    let origin = OriginClient::new(address);
                    origin.piece(&version, piece, most_bytes).await.map_err(failure_of)
                }
                Some(host) => {
                    let answer = peers.piece(address, &version, piece, most_bytes).await;
                    answer.map(|answer| {
                        if let Some(held) = answer.held {
                            // The run may have ended meanwhile, here and below.
                            let _ = sender.send(FetchEvent::HeldBy(host, held.chunks()));
                        }
                        answer.bytes
                    })
                }
            };
            let event = match fetched {
                Ok(bytes) => FetchEvent::Arrived(ticket, bytes),
                Err(failure) => FetchEvent::Failed(ticket, failure),
            };
            let _ = sender.send(event);
        });
        self.tasks.insert(ticket, task);
    }

    fn poll(&mut self, peer: HostName) {
        let Some(address) = self.address_of(&peer) else {
            let _ = self.sender.send(FetchEvent::PollFailed(peer));
            return;
        };
        let peers = self.fetcher.peers.clone();
        let version = self.version.clone();
        let count = self.manifest.chunks.len();
        let sender = self.sender.clone();
        let task = actix_rt::spawn(async move {
            let event = match peers.held(address, &version).await {
                Ok(answer) => FetchEvent::HeldBy(peer, ChunkSet::from_bytes(&answer.held, count)),
                Err(FetchFailure::NotHere) => FetchEvent::HeldBy(peer, ChunkSet::new(count)),
                Err(_) => FetchEvent::PollFailed(peer),
            };
            let _ = sender.send(event);
        });
        if let Some(before) = self.poll.replace(task) {
            before.abort();
        }
    }

    fn address_of(&self, host: &HostName) -> Option<SocketAddr> {
        let agents = self.fetcher.state.agents();
        agents.iter().find(|agent| agent.host == *host).map(|agent| agent.address)
    }
}

impl Drop for FetchRun<'_> {
    fn drop(&mut self) {
        self.tasks.values().for_each(JoinHandle::abort);
        if let Some(poll) = &self.poll {
            poll.abort();
        }
    }
}

fn place_of(agent: &PresenceRecord) -> PlanHost {
    PlanHost { name: agent.host.clone(), region: agent.region.clone() }
}

fn failure_of(error: EngineError) -> FetchFailure {
    match error {
        EngineError::NoAnswer(_) => FetchFailure::Unreachable,
        EngineError::Refused(status) if status.as_u16() == 503 => FetchFailure::Busy,
        EngineError::Refused(_) => FetchFailure::NotHere,
        EngineError::Unreadable(_) => FetchFailure::Cut,
    }
}
