//! One fetch of a version: drives the [`FetchMachine`] and runs a task for each fetch and poll.

use super::ChunkFetcher;
use super::doubt::ManifestDoubt;
use super::manifest::FoundManifest;
use crate::clock;
use crate::direct::agent::state::WantedModel;
use actix_rt::task::JoinHandle;
use buckthornwharf_core::direct::LoadedModel;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fetch::{ChunkFetch, FetchId};
use buckthornwharf_core::weights::{
    ChunkSet, ChunkSource, FetchAction, FetchEvent, FetchFailure, FetchMachine, FetchShare,
    UploadClass, VersionManifest,
};
use buckthornwharf_platform::OriginClient;
use buckthornwharf_platform::engine::EngineError;
use bytes::Bytes;
use log::{info, warn};
use rand::RngExt;
use std::net::SocketAddr;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Time without a new chunk after which the state of a fetch is logged, each time.
const STALL_LOG_INTERVAL: Duration = Duration::from_secs(3);

/// Time between checks which chunks may be fetched while another version is fetched as well.
const SHARE_INTERVAL: Duration = Duration::from_millis(50);

/// Where fetched chunks are stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChunkDestination {
    /// In the engine's stage.
    Stage,
    /// In the agent's memory.
    Memory,
}

/// How a fetch ended.
#[derive(Debug)]
pub(super) enum FetchEnd {
    /// All chunks are stored at the destination.
    Complete,
    /// The origin has sent another manifest than the one in use, which some chunks do not match.
    OtherManifest(Arc<VersionManifest>),
}

/// What a fetch waits for.
enum FetchStep {
    /// An event for the machine.
    Event(FetchEvent),
    /// The manifest was read again; `None` if it could not be read.
    Reread(Option<VersionManifest>),
}

/// A fetch machine with the tasks that carry out its actions. Dropping it aborts the tasks.
pub(super) struct FetchRun<'a> {
    fetcher: &'a ChunkFetcher,
    wanted: WantedModel,
    version: LoadedModel,
    manifest: Arc<VersionManifest>,
    region_has_copy: bool,
    destination: ChunkDestination,
    machine: FetchMachine,
    sender: UnboundedSender<FetchEvent>,
    events: UnboundedReceiver<FetchEvent>,
    tasks: SortedTable<FetchId, JoinHandle<()>>,
    poll: Option<JoinHandle<()>>,
    /// Tasks that store chunks in the engine's stage.
    stores: Vec<JoinHandle<()>>,
    /// Whether all chunks are known to be in the region.
    region_whole: bool,
    /// Number of chunks held at `progress_at`, when one arrived last or the wait was logged.
    last_held: usize,
    progress_at: MonoTime,
    share: FetchShare,
    share_checked_at: MonoTime,
    doubt: ManifestDoubt,
    pub started: MonoTime,
}

impl<'a> FetchRun<'a> {
    /// Creates a run; the chunks in `held` are not fetched.
    pub fn new(
        fetcher: &'a ChunkFetcher,
        wanted: &WantedModel,
        found: FoundManifest,
        held: ChunkSet,
        destination: ChunkDestination,
    ) -> Self {
        let FoundManifest { manifest, region_has_copy } = found;
        let (sender, events) = unbounded_channel();
        let started = clock::now();
        let machine = FetchMachine::new(
            started,
            manifest.clone(),
            fetcher.plan(&manifest, region_has_copy),
            fetcher.state.settings.host.clone(),
            fetcher.limits(region_has_copy),
            held,
            rand::rng().random(),
        );
        Self {
            fetcher,
            wanted: wanted.clone(),
            version: wanted.version.clone(),
            manifest,
            region_has_copy,
            destination,
            machine,
            sender,
            events,
            tasks: SortedTable::new(),
            poll: None,
            stores: Vec::new(),
            region_whole: false,
            last_held: 0,
            progress_at: started,
            share: FetchShare::ALL,
            share_checked_at: MonoTime::ZERO,
            doubt: ManifestDoubt::default(),
            started,
        }
    }

    /// Fetches until all chunks are stored at the destination, or the manifest turns out to be wrong.
    pub async fn finish(&mut self) -> FetchEnd {
        let mut event = FetchEvent::Tick;
        loop {
            let now = clock::now();
            self.log_stall(now);
            let mut actions = self.update_share(now);
            actions.extend(self.machine.on_event(now, event));
            let missing = self.machine.missing_in_region();
            self.fetcher.state.stage.set_missing_in_region(&self.version, missing);
            if missing == 0 && !std::mem::replace(&mut self.region_whole, true) {
                self.log_phase("region_whole");
            }
            for action in actions {
                if self.carry_out(action).await {
                    return FetchEnd::Complete;
                }
            }
            event = match self.next_step().await {
                FetchStep::Event(event) => event,
                FetchStep::Reread(Some(manifest))
                    if manifest != *self.manifest && self.fetcher.fits_engine(&manifest) =>
                {
                    warn!("event=manifest_replaced version={}", self.version.version);
                    return FetchEnd::OtherManifest(Arc::new(manifest));
                }
                FetchStep::Reread(_) => FetchEvent::Tick,
            };
        }
    }

    /// Passes a new share of the links to the machine, and returns its actions.
    fn update_share(&mut self, now: MonoTime) -> Vec<FetchAction> {
        if now.since(self.share_checked_at) < SHARE_INTERVAL {
            return Vec::new();
        }
        self.share_checked_at = now;
        let share = self.fetcher.state.fetch_share(&self.version);
        if share == std::mem::replace(&mut self.share, share) {
            return Vec::new();
        }
        info!(
            "event=fetch_share version={} imports={} precedence={}",
            self.version.version, share.imports, share.has_precedence
        );
        self.machine.on_event(now, FetchEvent::Share(share))
    }

    /// Logs that a phase of the distribution begins on this host.
    fn log_phase(&self, phase: &str) {
        let (version, held) = (self.version.version, self.machine.held().count());
        info!("event={phase} version={version} held={held} age_ms={}", self.wanted.age_ms());
    }

    /// Logs what the fetch waits for if no chunk has arrived for [`STALL_LOG_INTERVAL`].
    fn log_stall(&mut self, now: MonoTime) {
        let held = self.machine.held().count();
        if held != self.last_held {
            if self.last_held == 0 {
                self.log_phase("first_piece");
            }
            (self.last_held, self.progress_at) = (held, now);
        } else if now.since(self.progress_at) >= STALL_LOG_INTERVAL {
            self.progress_at = now;
            let (version, status) = (self.version.version, self.machine.status(now));
            warn!("event=fetch_waiting version={version} {status}");
        }
    }

    async fn next_step(&mut self) -> FetchStep {
        let wake = self.machine.next_wake();
        let pause = wake.map_or(Duration::ZERO, |wake| wake.since(clock::now()));
        let state = &self.fetcher.state;
        tokio::select! {
            Some(event) = self.events.recv() => FetchStep::Event(event),
            manifest = self.doubt.reread() => FetchStep::Reread(manifest),
            () = state.agents_changed.notified() => {
                let plan = self.fetcher.plan(&self.manifest, self.region_has_copy);
                FetchStep::Event(FetchEvent::Replanned(plan))
            }
            () = actix_rt::time::sleep(pause) => FetchStep::Event(FetchEvent::Tick),
        }
    }

    /// Carries out an action. Returns whether all chunks are stored.
    async fn carry_out(&mut self, action: FetchAction) -> bool {
        match action {
            FetchAction::Fetch(fetch) => self.fetch(fetch),
            FetchAction::Cancel(id) => {
                if let Some(task) = self.tasks.remove(&id) {
                    task.abort();
                }
            }
            FetchAction::Poll(peer) => self.poll(peer),
            FetchAction::Store(chunk, bytes) => self.store(chunk, bytes),
            FetchAction::ReportCorrupt(source, chunk) => {
                warn!("event=corrupt_piece source={source:?} piece={chunk}");
                self.count(&source, "corrupt");
                let origin = self.fetcher.state.origin().map(|origin| origin.address);
                self.doubt.record(&self.version, chunk, origin);
            }
            FetchAction::Complete => {
                for store in self.stores.drain(..) {
                    // An aborted task leaves a chunk missing, which is found before the load.
                    let _ = store.await;
                }
                return true;
            }
        }
        false
    }

    fn count(&self, source: &ChunkSource, verdict: &str) {
        let source = match source {
            ChunkSource::Origin => "origin",
            ChunkSource::Peer(_) => "peer",
        };
        self.fetcher.state.metrics.chunk_fetches.with_label_values(&[source, verdict]).inc();
    }

    /// Stores a chunk. It is put into the engine's stage by a task, so that further fetches start meanwhile.
    fn store(&mut self, chunk: usize, bytes: Bytes) {
        let state = self.fetcher.state.clone();
        let version = self.version.clone();
        if self.destination == ChunkDestination::Memory {
            state.stage.add_parked(&version, chunk, bytes);
            return;
        }
        self.stores.retain(|store| !store.is_finished());
        self.stores.push(actix_rt::spawn(async move {
            match state.engine.stage_chunk(&version.model, chunk, bytes).await {
                Ok(()) => state.stage.add_staged(&version, chunk),
                // The missing chunk is found when the stage is verified before the load.
                Err(error) => warn!("event=not_staged piece={chunk} reason=\"{error}\""),
            }
        }));
    }

    fn fetch(&mut self, fetch: ChunkFetch) {
        self.tasks.retain(|_, task| !task.is_finished());
        self.count(&fetch.source, "asked");
        let id = fetch.id;
        let source = match &fetch.source {
            ChunkSource::Origin => self.fetcher.state.origin().map(|origin| origin.address),
            ChunkSource::Peer(host) => self.address_of(host),
        };
        let Some(address) = source else {
            // Reported by an event, like any other failure. The send fails only if the run has ended.
            let _ = self.sender.send(FetchEvent::Failed(id, FetchFailure::Unreachable));
            return;
        };
        let peers = self.fetcher.peers.clone();
        let version = self.version.clone();
        let max_bytes = self.manifest.chunk_len(fetch.chunk) as usize;
        let sender = self.sender.clone();
        // Only cross-region fetches have a rate limit.
        let class = match fetch.bytes_per_second {
            Some(_) => UploadClass::CrossRegion,
            None => UploadClass::IntraRegion,
        };
        let host = match fetch.source {
            ChunkSource::Origin => None,
            ChunkSource::Peer(host) => Some(host),
        };
        let task = actix_rt::spawn(async move {
            let chunk = fetch.chunk;
            let fetched = match host {
                None => {
                    let origin = OriginClient::new(address);
                    origin.chunk(&version, chunk, max_bytes).await.map_err(failure_of)
                }
                Some(host) => {
                    let answer = peers.chunk(address, &version, chunk, max_bytes, class).await;
                    answer.map(|answer| {
                        if let Some(held) = answer.held {
                            // This send and the one below fail only if the run has ended.
                            let _ = sender.send(FetchEvent::HeldBy(host, held.chunks()));
                        }
                        answer.bytes
                    })
                }
            };
            let event = match fetched {
                Ok(bytes) => FetchEvent::Arrived(id, bytes),
                Err(failure) => FetchEvent::Failed(id, failure),
            };
            let _ = sender.send(event);
        });
        self.tasks.insert(id, task);
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
        self.tasks.values().chain(&self.stores).for_each(JoinHandle::abort);
        if let Some(poll) = &self.poll {
            poll.abort();
        }
    }
}

fn failure_of(error: EngineError) -> FetchFailure {
    match error {
        EngineError::NoAnswer(_) => FetchFailure::Unreachable,
        EngineError::Refused(status) if status.as_u16() == 503 => FetchFailure::Busy,
        EngineError::Refused(_) => FetchFailure::NotHere,
        EngineError::Unreadable(_) => FetchFailure::Cut,
    }
}
