//! Simulates the links between hosts in virtual time. The hosts run the product's own fetch state
//! machines.
//!
//! The content is scaled down: each byte of it is one unit, which stands for [`UNIT_BYTES`] bytes on a
//! link. All rates, including those of [`FetchLimits`], are in units per second. Flows share each link
//! equally, and time advances in steps of [`STEP`].

mod links;

use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fetch::{ChunkFetch, FetchId};
use buckthornwharf_core::weights::{
    ChunkSet, ChunkSource, CrossRegionMode, DistributionPlan, FetchAction, FetchEvent,
    FetchFailure, FetchLimits, FetchMachine, FetchShare, PlanHost, UploadClass, UploadLimiter,
    UploadSlots, UploadTicket, VersionManifest,
};
use bytes::Bytes;
use links::ModelFlow;
pub use links::SourceFault;

/// Bytes on a link that one unit (one byte of the content) stands for.
pub const UNIT_BYTES: u64 = 32 * 1024;
/// Simulated time of one step.
pub const STEP: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time until the list of hosts no longer contains a host that died.
const HOST_LIST_DELAY: Duration = Duration::from_secs(30);
const REQUEST_BYTES: u64 = 260;
const RESPONSE_BYTES: u64 = 160;

/// A simulated host.
pub struct ModelHost {
    /// Name and region in the distribution plan.
    pub plan_host: PlanHost,
    /// The product's fetch state machine.
    pub machine: FetchMachine,
    pub alive: bool,
    /// Time at which the host held every chunk.
    pub completed_at: Option<MonoTime>,
    /// Chunks stored, in the order of arrival.
    pub stored_chunks: Vec<Bytes>,
    /// Units sent to other hosts.
    pub uploaded_units: f64,
    /// Control messages sent.
    pub control_messages: u64,
    /// Bytes of the control messages sent.
    pub control_bytes: u64,
    uploads: UploadLimiter,
    slots: UploadSlots,
    region_index: usize,
    next_wake_at: MonoTime,
}

/// How hosts distribute chunks among each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ModelDistribution {
    /// Which hosts fetch chunks from other regions.
    pub cross_region_mode: CrossRegionMode,
    /// Longest time that an upload occupies one of a host's upload slots ([`UploadSlots`]). If `None`,
    /// [`UploadLimiter`] admits uploads, as for versions that are not urgent.
    pub max_slot_hold: Option<Duration>,
    /// Whether a host sends the set of chunks that it holds along with each chunk.
    pub announces_held: bool,
}

/// The simulated hosts, the flows between them and the events in flight.
pub struct FleetModel {
    /// Hosts, sorted by name; after [`FleetModel::declare_next`], once more with the machines of the next
    /// version.
    pub hosts: Vec<ModelHost>,
    /// Current virtual time.
    pub now: MonoTime,
    /// Units sent by the origin.
    pub origin_units: f64,
    /// Faults by host index; `None` is the origin.
    pub faults: SortedTable<Option<usize>, SourceFault>,
    plan: Arc<DistributionPlan>,
    manifest: Arc<VersionManifest>,
    content: Bytes,
    limits: FetchLimits,
    distribution: ModelDistribution,
    store_region: RegionName,
    store_region_index: usize,
    region_count: usize,
    flows: Vec<ModelFlow>,
    pending_events: Vec<(MonoTime, usize, FetchEvent)>,
    cut_regions: Option<(usize, usize)>,
    replan_at: Option<MonoTime>,
}

impl FleetModel {
    /// Creates a model in which all `plan_hosts` fetch a version of `chunks` chunks of `chunk_len` units
    /// each, with the default distribution.
    pub fn new(
        plan_hosts: Vec<PlanHost>,
        chunks: usize,
        chunk_len: usize,
        limits: FetchLimits,
    ) -> Self {
        Self::with_distribution(plan_hosts, chunks, chunk_len, limits, ModelDistribution::default())
    }

    /// As [`Self::new`], with the given distribution.
    pub fn with_distribution(
        plan_hosts: Vec<PlanHost>,
        chunks: usize,
        chunk_len: usize,
        limits: FetchLimits,
        distribution: ModelDistribution,
    ) -> Self {
        let content: Bytes = test_content(chunks * chunk_len).into();
        let manifest = Arc::new(VersionManifest::of_content(&content, chunk_len as u64));
        let store_region = plan_hosts[0].region.clone();
        let plan = DistributionPlan::new(&manifest, plan_hosts, &store_region)
            .with_cross_region_mode(distribution.cross_region_mode);
        let plan = Arc::new(plan);
        let mut model = Self {
            hosts: Vec::new(),
            now: MonoTime::ZERO,
            origin_units: 0.0,
            faults: SortedTable::new(),
            manifest,
            content,
            limits,
            distribution,
            store_region,
            store_region_index: plan.reader_region(),
            region_count: plan.region_count(),
            flows: Vec::new(),
            pending_events: Vec::new(),
            cut_regions: None,
            replan_at: None,
            plan,
        };
        model.declare();
        model
    }

    /// Adds a machine for another version to each host.
    fn declare(&mut self) {
        let chunks = self.manifest.chunks.len();
        for (index, plan_host) in self.plan.hosts().iter().enumerate() {
            self.hosts.push(ModelHost {
                plan_host: plan_host.clone(),
                machine: FetchMachine::new(
                    self.now,
                    self.manifest.clone(),
                    self.plan.clone(),
                    plan_host.name.clone(),
                    self.limits,
                    ChunkSet::new(chunks),
                    index as u64,
                ),
                alive: true,
                completed_at: None,
                stored_chunks: Vec::new(),
                uploaded_units: 0.0,
                control_messages: 0,
                control_bytes: 0,
                uploads: UploadLimiter::new(self.manifest.total_bytes),
                slots: self.distribution.max_slot_hold.map(UploadSlots::new).unwrap_or_default(),
                region_index: self.plan.region_of(index),
                next_wake_at: MonoTime::ZERO,
            });
        }
    }

    /// Declares a next version, which all hosts load after the first one.
    pub fn declare_next(&mut self) {
        self.declare();
    }

    /// Number of hosts.
    fn host_count(&self) -> usize {
        self.plan.hosts().len()
    }

    /// Passes the share of the links that is left for the next version to its machines.
    fn update_shares(&mut self) {
        for next in self.host_count()..self.hosts.len() {
            let first = &self.hosts[next - self.host_count()];
            let share = match first.completed_at {
                Some(_) => FetchShare::ALL,
                None => FetchShare::after(Some(first.machine.missing_in_region())),
            };
            if self.hosts[next].alive {
                self.handle_event(next, FetchEvent::Share(share));
            }
        }
    }

    /// The content of the version.
    pub fn content(&self) -> &Bytes {
        &self.content
    }

    /// Units in one copy of the version.
    pub fn copy_units(&self) -> f64 {
        self.manifest.total_bytes as f64
    }

    /// Kills a host without notice; the other hosts replan after [`HOST_LIST_DELAY`].
    pub fn kill(&mut self, host: usize) {
        let count = self.host_count();
        let is_killed = |index: usize| index % count == host;
        let machines = self.hosts.iter_mut().enumerate().filter(|(index, _)| is_killed(*index));
        machines.for_each(|(_, machine)| machine.alive = false);
        let lost: Vec<_> = self.flows.extract_if(.., |flow| is_killed(flow.to)).collect();
        lost.iter().for_each(|flow| self.release(flow));
        self.replan_at = Some(self.now + HOST_LIST_DELAY);
    }

    /// Cuts the link between two regions, given by their indices in the order of names.
    pub fn cut_region_link(&mut self, a: usize, b: usize) {
        self.cut_regions = Some((a.min(b), a.max(b)));
    }

    /// Number of chunks in flight to a host.
    pub fn flows_to(&self, host: usize) -> usize {
        self.flows.iter().filter(|flow| flow.to == host).count()
    }

    /// Whether every live host holds every chunk, apart from hosts with [`SourceFault::Idle`].
    pub fn is_done(&self) -> bool {
        let idle = |index: usize| self.fault_of(Some(index)) == Some(&SourceFault::Idle);
        let mut hosts = self.hosts.iter().enumerate();
        hosts.all(|(index, host)| !host.alive || host.completed_at.is_some() || idle(index))
    }

    /// Advances the simulation by one [`STEP`].
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.move_flows();
        self.deliver_due_events();
        self.update_shares();
        if self.replan_at.is_some_and(|due| due <= self.now) {
            self.replan_live_hosts();
        }
        for host in 0..self.hosts.len() {
            if self.hosts[host].alive && self.hosts[host].next_wake_at <= self.now {
                self.handle_event(host, FetchEvent::Tick);
            }
        }
    }

    fn handle_event(&mut self, host: usize, event: FetchEvent) {
        if self.fault_of(Some(host)) == Some(&SourceFault::Idle) {
            return;
        }
        let actions = self.hosts[host].machine.on_event(self.now, event);
        for action in actions {
            self.execute(host, action);
        }
        let wake_at = self.hosts[host].machine.next_wake();
        self.hosts[host].next_wake_at = wake_at.unwrap_or(MonoTime::from_micros(u64::MAX));
    }

    fn execute(&mut self, host: usize, action: FetchAction) {
        match action {
            FetchAction::Fetch(fetch) => self.fetch(host, fetch),
            FetchAction::Cancel(id) => self.cancel_flow(host, id),
            FetchAction::Poll(peer) => self.poll(host, &peer),
            FetchAction::Complete => self.hosts[host].completed_at = Some(self.now),
            FetchAction::Store(_, bytes) => self.hosts[host].stored_chunks.push(bytes),
            FetchAction::ReportCorrupt(..) => {}
        }
    }

    fn cancel_flow(&mut self, host: usize, id: FetchId) {
        let is_match = |flow: &ModelFlow| flow.to == host && flow.id == id;
        let Some(at) = self.flows.iter().position(is_match) else {
            return;
        };
        let flow = self.flows.swap_remove(at);
        self.release(&flow);
    }

    fn release(&mut self, flow: &ModelFlow) {
        if let Some(from) = flow.from {
            let moved = self.manifest.chunk_len(flow.chunk) as f64 - flow.remaining_units;
            self.hosts[from].uploads.end(moved as u64);
            let count = self.host_count();
            self.hosts[from % count].slots.end(flow.upload);
        }
    }

    /// The index of the host `name` with the machine for the same version as that of `host`.
    fn index_of(&self, host: usize, name: &HostName) -> usize {
        let index = self.plan.index_of(name).expect("the model contains the host");
        host / self.host_count() * self.host_count() + index
    }

    fn fault_of(&self, source: Option<usize>) -> Option<&SourceFault> {
        self.faults.get(&source.map(|host| host % self.host_count()))
    }

    fn region_at(&self, end: Option<usize>) -> usize {
        end.map_or(self.store_region_index, |host| self.hosts[host].region_index)
    }

    fn is_reachable(&self, host: usize, from: Option<usize>) -> bool {
        let (a, b) = (self.region_at(Some(host)), self.region_at(from));
        self.cut_regions != Some((a.min(b), a.max(b)))
    }

    fn count_message(&mut self, host: usize, bytes: u64) {
        self.hosts[host].control_messages += 1;
        self.hosts[host].control_bytes += bytes;
    }

    fn schedule(&mut self, delay: Duration, host: usize, event: FetchEvent) {
        self.pending_events.push((self.now + delay, host, event));
    }

    fn poll(&mut self, host: usize, peer: &HostName) {
        self.count_message(host, REQUEST_BYTES);
        let from = self.index_of(host, peer);
        if !self.hosts[from].alive || !self.is_reachable(host, Some(from)) {
            self.schedule(CONNECT_TIMEOUT, host, FetchEvent::PollFailed(peer.clone()));
            return;
        }
        let held = self.hosts[from].machine.held().clone();
        self.count_message(from, RESPONSE_BYTES + held.len() as u64 / 8);
        self.schedule(STEP, host, FetchEvent::HeldBy(peer.clone(), held));
    }

    fn fetch(&mut self, host: usize, fetch: ChunkFetch) {
        self.count_message(host, REQUEST_BYTES);
        let from = match &fetch.source {
            ChunkSource::Origin => None,
            ChunkSource::Peer(name) => Some(self.index_of(host, name)),
        };
        let is_up = from.is_none_or(|from| self.hosts[from].alive);
        let is_up = is_up && self.fault_of(from) != Some(&SourceFault::Down);
        if !is_up || !self.is_reachable(host, from) {
            let event = FetchEvent::Failed(fetch.id, FetchFailure::Unreachable);
            self.schedule(CONNECT_TIMEOUT, host, event);
            return;
        }
        let mut upload = 0;
        if let Some(from) = from {
            let upload_class = match self.hosts[from].region_index == self.hosts[host].region_index
            {
                true => UploadClass::IntraRegion,
                false => UploadClass::CrossRegion,
            };
            let upload_slot = match self.hosts[from].machine.held().contains(fetch.chunk) {
                true => self.take_slot(from, upload_class).map_err(|()| FetchFailure::Busy),
                false => Err(FetchFailure::NotHere),
            };
            match upload_slot {
                Ok(ticket) => upload = ticket,
                Err(failure) => {
                    self.count_message(from, RESPONSE_BYTES);
                    self.schedule(STEP, host, FetchEvent::Failed(fetch.id, failure));
                    return;
                }
            }
        }
        self.flows.push(ModelFlow {
            to: host,
            from,
            id: fetch.id,
            chunk: fetch.chunk,
            remaining_units: self.manifest.chunk_len(fetch.chunk) as f64,
            max_units_per_second: fetch.bytes_per_second.map_or(f64::INFINITY, |rate| rate as f64),
            upload,
            progress_reported_at: self.now,
        });
    }

    /// Takes an upload slot of `from`; an error if none is free.
    fn take_slot(&mut self, from: usize, upload_class: UploadClass) -> Result<UploadTicket, ()> {
        let count = self.host_count();
        let host = &mut self.hosts[from % count];
        match self.distribution.max_slot_hold {
            Some(_) => host.slots.start(self.now, upload_class).ok_or(()),
            None => host.uploads.start(upload_class).then_some(0).ok_or(()),
        }
    }

    fn deliver_due_events(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.pending_events.extract_if(.., |(due, ..)| *due <= now).collect();
        for (_, host, event) in due {
            if self.hosts[host].alive {
                self.handle_event(host, event);
            }
        }
    }

    fn replan_live_hosts(&mut self) {
        self.replan_at = None;
        let alive = self.hosts.iter().filter(|host| host.alive);
        let plan_hosts = alive.map(|host| host.plan_host.clone()).collect();
        let plan = DistributionPlan::new(&self.manifest, plan_hosts, &self.store_region);
        let plan = Arc::new(plan.with_cross_region_mode(self.distribution.cross_region_mode));
        for host in 0..self.hosts.len() {
            if self.hosts[host].alive {
                self.handle_event(host, FetchEvent::Replanned(plan.clone()));
            }
        }
    }
}

/// Pseudo-random content, so that all chunks differ.
fn test_content(len: usize) -> Vec<u8> {
    let mut content = vec![0; len];
    blake3::Hasher::new().finalize_xof().fill(&mut content);
    content
}
