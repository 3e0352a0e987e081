//! A model of links and clocks in virtual time, with the product's own fetch machines at the ends.
//!
//! A chunk's content is small; [`UNIT_BYTES`] bytes on a link stand behind each byte of it. Flows
//! share each link equally, and time goes on in steps of [`STEP`].

mod links;

use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fetch::{ChunkFetch, FetchTicket};
use buckthornwharf_core::weights::{
    ChunkSet, ChunkSource, CrossRegionMode, DistributionPlan, FetchAction, FetchEvent,
    FetchFailure, FetchLimits, FetchMachine, PlanHost, UploadClass, UploadLimiter, UploadSlots,
    UploadTicket, VersionManifest,
};
use bytes::Bytes;
use links::ModelFlow;
pub use links::SourceFault;

/// Bytes on a link behind each byte of the content.
pub const UNIT_BYTES: u64 = 32 * 1024;
/// Time between two states of the model.
pub const STEP: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const LIST_LAG: Duration = Duration::from_secs(30);
const REQUEST_BYTES: u64 = 260;
const ANSWER_BYTES: u64 = 160;

/// A host of the model.
pub struct ModelHost {
    /// Its place in the plan.
    pub place: PlanHost,
    /// The product's decisions.
    pub machine: FetchMachine,
    /// Whether it is up.
    pub alive: bool,
    /// When it held every chunk.
    pub complete: Option<MonoTime>,
    /// What was kept, in the order of arrival.
    pub kept: Vec<Bytes>,
    /// Units sent to other hosts.
    pub uploaded: f64,
    /// Control messages sent.
    pub messages: u64,
    /// Bytes of the control messages sent.
    pub control_bytes: u64,
    uploads: UploadLimiter,
    slots: UploadSlots,
    region: usize,
    wake: MonoTime,
}

/// How chunks go from host to host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ModelDistribution {
    /// Which hosts bring chunks from other regions.
    pub cross_region_mode: CrossRegionMode,
    /// Time for which an upload holds one of a host's few places; the limiter for versions that take
    /// minutes decides if none.
    pub slow_upload: Option<Duration>,
    /// Whether a host tells what it holds with each chunk that it sends.
    pub tells_held: bool,
}

/// The hosts, the flows between them and the messages on their way.
pub struct FleetModel {
    /// The hosts, in the order of their names.
    pub hosts: Vec<ModelHost>,
    /// The clock.
    pub now: MonoTime,
    /// Units that the origin sent.
    pub origin_units: f64,
    /// What is wrong with sources; the origin is none.
    pub faults: SortedTable<Option<usize>, SourceFault>,
    manifest: Arc<VersionManifest>,
    content: Bytes,
    limits: FetchLimits,
    distribution: ModelDistribution,
    store_region: RegionName,
    store: usize,
    regions: usize,
    flows: Vec<ModelFlow>,
    mail: Vec<(MonoTime, usize, FetchEvent)>,
    cut: Option<(usize, usize)>,
    replan: Option<MonoTime>,
}

impl FleetModel {
    /// A model of `places`, all of which want a version of `chunks` chunks of `chunk_len` units.
    pub fn new(
        places: Vec<PlanHost>,
        chunks: usize,
        chunk_len: usize,
        limits: FetchLimits,
    ) -> Self {
        Self::with_distribution(places, chunks, chunk_len, limits, ModelDistribution::default())
    }

    /// The same with another way from host to host.
    pub fn with_distribution(
        places: Vec<PlanHost>,
        chunks: usize,
        chunk_len: usize,
        limits: FetchLimits,
        distribution: ModelDistribution,
    ) -> Self {
        let content: Bytes = content_of(chunks * chunk_len).into();
        let manifest = Arc::new(VersionManifest::of_content(&content, chunk_len as u64));
        let store_region = places[0].region.clone();
        let plan = DistributionPlan::new(&manifest, places, &store_region)
            .with_cross_region_mode(distribution.cross_region_mode);
        let plan = Arc::new(plan);
        let host = |(index, place): (usize, &PlanHost)| ModelHost {
            place: place.clone(),
            machine: FetchMachine::new(
                MonoTime::ZERO,
                manifest.clone(),
                plan.clone(),
                place.name.clone(),
                limits,
                ChunkSet::new(chunks),
                index as u64,
            ),
            alive: true,
            complete: None,
            kept: Vec::new(),
            uploaded: 0.0,
            messages: 0,
            control_bytes: 0,
            uploads: UploadLimiter::new(manifest.total_bytes),
            slots: distribution.slow_upload.map(UploadSlots::new).unwrap_or_default(),
            region: plan.region_of(index),
            wake: MonoTime::ZERO,
        };
        let hosts = plan.hosts().iter().enumerate().map(host).collect();
        Self {
            hosts,
            now: MonoTime::ZERO,
            origin_units: 0.0,
            faults: SortedTable::new(),
            manifest,
            content,
            limits,
            distribution,
            store_region,
            store: plan.reader_region(),
            regions: plan.region_count(),
            flows: Vec::new(),
            mail: Vec::new(),
            cut: None,
            replan: None,
        }
    }

    /// The content that every host is to hold.
    pub fn content(&self) -> &Bytes {
        &self.content
    }

    /// Units of one copy.
    pub fn copy_units(&self) -> f64 {
        self.manifest.total_bytes as f64
    }

    /// Kills a host without a word; the list of hosts tells of it later.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].alive = false;
        let lost: Vec<_> = self.flows.extract_if(.., |flow| flow.to == host).collect();
        lost.iter().for_each(|flow| self.release(flow));
        self.replan = Some(self.now + LIST_LAG);
    }

    /// Cuts the link between two regions, by their places in the order of names.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.cut = Some((a.min(b), a.max(b)));
    }

    /// Chunks that are on their way to a host.
    pub fn flows_to(&self, host: usize) -> usize {
        self.flows.iter().filter(|flow| flow.to == host).count()
    }

    /// Whether every living host holds every chunk.
    pub fn is_done(&self) -> bool {
        let idle = |index: usize| self.faults.get(&Some(index)) == Some(&SourceFault::Idle);
        let mut hosts = self.hosts.iter().enumerate();
        hosts.all(|(index, host)| !host.alive || host.complete.is_some() || idle(index))
    }

    /// Goes one step on.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.move_flows();
        self.deliver();
        if self.replan.is_some_and(|due| due <= self.now) {
            self.replan_all();
        }
        for host in 0..self.hosts.len() {
            if self.hosts[host].alive && self.hosts[host].wake <= self.now {
                self.feed(host, FetchEvent::Tick);
            }
        }
    }

    fn feed(&mut self, host: usize, event: FetchEvent) {
        if self.faults.get(&Some(host)) == Some(&SourceFault::Idle) {
            return;
        }
        let actions = self.hosts[host].machine.on_event(self.now, event);
        for action in actions {
            self.act(host, action);
        }
        let wake = self.hosts[host].machine.next_wake();
        self.hosts[host].wake = wake.unwrap_or(MonoTime::from_micros(u64::MAX));
    }

    fn act(&mut self, host: usize, action: FetchAction) {
        match action {
            FetchAction::Fetch(fetch) => self.fetch(host, fetch),
            FetchAction::Cancel(ticket) => self.end_flow(host, ticket),
            FetchAction::Poll(peer) => self.poll(host, &peer),
            FetchAction::Complete => self.hosts[host].complete = Some(self.now),
            FetchAction::Store(_, bytes) => self.hosts[host].kept.push(bytes),
            FetchAction::ReportCorrupt(..) => {}
        }
    }

    fn end_flow(&mut self, host: usize, ticket: FetchTicket) {
        let ours = |flow: &ModelFlow| flow.to == host && flow.ticket == ticket;
        let Some(at) = self.flows.iter().position(ours) else {
            return;
        };
        let flow = self.flows.swap_remove(at);
        self.release(&flow);
    }

    fn release(&mut self, flow: &ModelFlow) {
        if let Some(from) = flow.from {
            let moved = self.manifest.chunk_len(flow.chunk) as f64 - flow.left;
            self.hosts[from].uploads.end(moved as u64);
            self.hosts[from].slots.end(flow.upload);
        }
    }

    fn index_of(&self, name: &HostName) -> usize {
        let found = self.hosts.binary_search_by(|host| host.place.name.cmp(name));
        found.expect("a host of the model")
    }

    fn region_at(&self, end: Option<usize>) -> usize {
        end.map_or(self.store, |host| self.hosts[host].region)
    }

    fn is_reachable(&self, host: usize, from: Option<usize>) -> bool {
        let (a, b) = (self.region_at(Some(host)), self.region_at(from));
        self.cut != Some((a.min(b), a.max(b)))
    }

    fn count(&mut self, host: usize, bytes: u64) {
        self.hosts[host].messages += 1;
        self.hosts[host].control_bytes += bytes;
    }

    fn post(&mut self, delay: Duration, host: usize, event: FetchEvent) {
        self.mail.push((self.now + delay, host, event));
    }

    fn poll(&mut self, host: usize, peer: &HostName) {
        self.count(host, REQUEST_BYTES);
        let from = self.index_of(peer);
        if !self.hosts[from].alive || !self.is_reachable(host, Some(from)) {
            self.post(CONNECT_TIMEOUT, host, FetchEvent::PollFailed(peer.clone()));
            return;
        }
        let held = self.hosts[from].machine.held().clone();
        self.count(from, ANSWER_BYTES + held.len() as u64 / 8);
        self.post(STEP, host, FetchEvent::HeldBy(peer.clone(), held));
    }

    fn fetch(&mut self, host: usize, fetch: ChunkFetch) {
        self.count(host, REQUEST_BYTES);
        let from = match &fetch.source {
            ChunkSource::Origin => None,
            ChunkSource::Peer(name) => Some(self.index_of(name)),
        };
        let up = from.is_none_or(|from| self.hosts[from].alive);
        let up = up && self.faults.get(&from) != Some(&SourceFault::Down);
        if !up || !self.is_reachable(host, from) {
            let event = FetchEvent::Failed(fetch.ticket, FetchFailure::Unreachable);
            self.post(CONNECT_TIMEOUT, host, event);
            return;
        }
        let mut upload = 0;
        if let Some(from) = from {
            let class = match self.hosts[from].region == self.hosts[host].region {
                true => UploadClass::IntraRegion,
                false => UploadClass::CrossRegion,
            };
            let taken = match self.hosts[from].machine.held().contains(fetch.chunk) {
                true => self.take_slot(from, class).map_err(|()| FetchFailure::Busy),
                false => Err(FetchFailure::NotHere),
            };
            match taken {
                Ok(ticket) => upload = ticket,
                Err(failure) => {
                    self.count(from, ANSWER_BYTES);
                    self.post(STEP, host, FetchEvent::Failed(fetch.ticket, failure));
                    return;
                }
            }
        }
        self.flows.push(ModelFlow {
            to: host,
            from,
            ticket: fetch.ticket,
            chunk: fetch.chunk,
            left: self.manifest.chunk_len(fetch.chunk) as f64,
            cap: fetch.bytes_per_second.map_or(f64::INFINITY, |rate| rate as f64),
            upload,
            told: self.now,
        });
    }

    /// Takes an upload slot of `from`; an error if none is free.
    fn take_slot(&mut self, from: usize, class: UploadClass) -> Result<UploadTicket, ()> {
        let host = &mut self.hosts[from];
        match self.distribution.slow_upload {
            Some(_) => host.slots.start(self.now, class).ok_or(()),
            None => host.uploads.start(class).then_some(0).ok_or(()),
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.mail.extract_if(.., |(due, ..)| *due <= now).collect();
        for (_, host, event) in due {
            if self.hosts[host].alive {
                self.feed(host, event);
            }
        }
    }

    fn replan_all(&mut self) {
        self.replan = None;
        let alive = self.hosts.iter().filter(|host| host.alive);
        let places = alive.map(|host| host.place.clone()).collect();
        let plan = DistributionPlan::new(&self.manifest, places, &self.store_region);
        let plan = Arc::new(plan.with_cross_region_mode(self.distribution.cross_region_mode));
        for host in 0..self.hosts.len() {
            if self.hosts[host].alive {
                self.feed(host, FetchEvent::Replanned(plan.clone()));
            }
        }
    }
}

/// Bytes that differ from chunk to chunk.
fn content_of(len: usize) -> Vec<u8> {
    let mut content = vec![0; len];
    blake3::Hasher::new().finalize_xof().fill(&mut content);
    content
}
