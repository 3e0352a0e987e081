//! State machine that fetches the chunks of one version to one host. It does no I/O of its own.
//!
//! The caller passes events in and carries out the returned actions. If no event arrives before
//! [`FetchMachine::next_wake`], the caller sends [`FetchEvent::Tick`].

mod choose;
mod event;
mod in_flight;
mod peers;
mod region_links;
mod status;
mod takeover;

pub use event::{
    ChunkFetch, ChunkSource, FetchAction, FetchEvent, FetchFailure, FetchId, FetchLimits,
    FetchShare,
};
pub use status::FetchStatus;

use crate::prelude::*;
use crate::weights::plan::{DistributionPlan, HostIndex, RegionIndex, mix};
use crate::weights::{ChunkSet, VersionManifest};
use bytes::Bytes;
use in_flight::{InFlightFetch, InFlightTable};
use peers::{SourceRecord, SourceTable};
use region_links::RegionLinkTable;

/// Pause between polls of peers for the chunks that they hold.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Multiple of [`POLL_INTERVAL`] between polls while no host of the region may have a chunk.
const IDLE_POLL_FACTOR: u32 = 4;
const POLL_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before a chunk is requested again over the cross-region link on which it failed.
const LINK_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a chunk is not requested again from a host on which its fetch failed.
const FAILED_SOURCE_AVOID_TIME: Duration = Duration::from_secs(30);
/// Time for which other hosts are preferred to one that did not have the chunk.
const MISSING_CHUNK_DEFER_TIME: Duration = Duration::from_secs(5);
/// Time for which a chunk is not requested again from a host that sent it corrupt.
const CORRUPT_SOURCE_AVOID_TIME: Duration = Duration::from_secs(3600);
/// Weight of the previous value in the moving average of fetch times.
const FETCH_TIME_EWMA_DECAY: f64 = 0.7;
const CORRUPT_CHUNKS_BEFORE_BAN: u32 = 2;

/// Fetches one version. To abandon a superseded version, drop the machine.
#[derive(Debug)]
pub struct FetchMachine {
    manifest: Arc<VersionManifest>,
    plan: Arc<DistributionPlan>,
    own_name: HostName,
    own_index: Option<HostIndex>,
    limits: FetchLimits,
    live_load_percent: u8,
    gateway_timeout: Duration,
    owner_timeout: Duration,
    held: ChunkSet,
    sources: SourceTable,
    /// By chunk: when a host of this region was first known to hold it.
    first_seen: Vec<Option<MonoTime>>,
    links: RegionLinkTable,
    /// Moving average of the time that a fetch within the region takes.
    mean_fetch_time: Duration,
    in_flight: InFlightTable,
    /// By chunk: when the link on which its fetch last failed may be used for it again, and which link
    /// that is (`None`: within the region).
    retry_holdoffs: Vec<(MonoTime, Option<RegionIndex>)>,
    started: MonoTime,
    /// When a fetch of this host from the origin failed last.
    origin_failed_at: Option<MonoTime>,
    /// Time from which the paced schedule of requests to the origin counts.
    origin_schedule_start: MonoTime,
    /// When the host was last allowed to fetch chunks that its region lacks, after a pause.
    imports_since: MonoTime,
    share: FetchShare,
    next_poll: MonoTime,
    pending_poll: Option<(HostName, MonoTime)>,
    poll_count: u64,
    random_key: u64,
    complete: bool,
}

impl FetchMachine {
    /// Creates the machine of the host `own_name`, which already holds `held`. `seed` differs between
    /// hosts, so that they do not all choose the same peers and chunks.
    pub fn new(
        now: MonoTime,
        manifest: Arc<VersionManifest>,
        plan: Arc<DistributionPlan>,
        own_name: HostName,
        limits: FetchLimits,
        held: ChunkSet,
        seed: u64,
    ) -> Self {
        let count = manifest.chunks.len();
        let mut machine = Self {
            own_index: plan.index_of(&own_name),
            sources: SourceTable::new(&plan, count, &limits, now),
            links: RegionLinkTable::new(plan.region_count(), limits),
            mean_fetch_time: Duration::ZERO,
            in_flight: InFlightTable::default(),
            retry_holdoffs: vec![(MonoTime::ZERO, None); count],
            first_seen: (0..count).map(|chunk| held.contains(chunk).then_some(now)).collect(),
            manifest,
            plan,
            own_name,
            limits,
            live_load_percent: 0,
            gateway_timeout: Duration::ZERO,
            owner_timeout: Duration::ZERO,
            held,
            started: now,
            origin_failed_at: None,
            origin_schedule_start: now,
            imports_since: now,
            share: FetchShare::ALL,
            next_poll: now,
            pending_poll: None,
            poll_count: 0,
            random_key: mix(seed),
            complete: false,
        };
        machine.update_takeover_timeouts();
        machine
    }

    /// The chunks that this host holds.
    pub fn held(&self) -> &ChunkSet {
        &self.held
    }

    /// Number of chunks from `source` that failed verification.
    pub fn corrupt_count(&self, source: &ChunkSource) -> u32 {
        self.source_record(source).map_or(0, |record| record.corrupt)
    }

    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, now: MonoTime, event: FetchEvent) -> Vec<FetchAction> {
        let mut actions = Vec::new();
        match event {
            FetchEvent::Tick => {}
            FetchEvent::Progress(id, bytes) => self.on_progress(now, id, bytes),
            FetchEvent::Arrived(id, bytes) => self.on_arrived(now, id, bytes, &mut actions),
            FetchEvent::Failed(id, failure) => self.on_failed(now, id, failure),
            FetchEvent::HeldBy(peer, chunks) => self.on_held_by(now, &peer, chunks),
            FetchEvent::PollFailed(peer) => self.on_poll_failed(now, &peer),
            FetchEvent::Replanned(plan) => self.on_replanned(now, plan, &mut actions),
            FetchEvent::LiveLoad(percent) => {
                self.live_load_percent = percent.min(100);
                self.update_takeover_timeouts();
            }
            FetchEvent::Share(share) => self.on_share(now, share),
        }
        self.cancel_stalled(now, &mut actions);
        if self.held.is_full() {
            self.finish(&mut actions);
        } else {
            self.start_fetches(now, &mut actions);
        }
        actions
    }

    /// Number of chunks that no host of this region is known to hold.
    pub fn missing_in_region(&self) -> usize {
        self.first_seen.iter().filter(|seen| seen.is_none()).count()
    }

    /// The first chunk that no host of this region is known to hold.
    fn first_missing_in_region(&self) -> usize {
        self.first_seen.iter().position(Option::is_none).unwrap_or(0)
    }

    /// When the machine needs its next tick; `None` once all chunks are held.
    pub fn next_wake(&self) -> Option<MonoTime> {
        if self.complete {
            return None;
        }
        let deadline = self.in_flight.next_deadline();
        let poll = match &self.pending_poll {
            Some((_, deadline)) => *deadline,
            None => self.next_poll,
        };
        Some(deadline.map_or(poll, |deadline| deadline.min(poll)))
    }

    fn on_share(&mut self, now: MonoTime, share: FetchShare) {
        if share.imports && !self.share.imports {
            self.restart_origin_schedule(now);
        }
        self.share = share;
    }

    /// Lets the paced schedule of requests to the origin go on after the last chunk that was seen in this
    /// region. Otherwise all that became due in a pause would be requested at once, and the first chunk
    /// would arrive together with the last one.
    fn restart_origin_schedule(&mut self, now: MonoTime) {
        let last_seen = self.first_seen.iter().rposition(Option::is_some);
        let next = last_seen.map_or(0, |chunk| chunk as u64 + 1);
        let bytes = (next * self.manifest.chunk_bytes) as f64;
        let read_time = bytes / self.limits.origin_bytes_per_second as f64;
        self.origin_schedule_start = now - Duration::from_secs_f64(read_time);
        self.imports_since = now;
    }

    fn on_progress(&mut self, now: MonoTime, id: FetchId, bytes: u64) {
        let Some(fetch) = self.in_flight.get_mut(id) else {
            return;
        };
        if bytes > fetch.bytes {
            fetch.bytes = bytes;
            fetch.deadline = now + fetch.stall_timeout;
        }
    }

    fn on_arrived(
        &mut self,
        now: MonoTime,
        id: FetchId,
        bytes: Bytes,
        actions: &mut Vec<FetchAction>,
    ) {
        let Some(fetch) = self.in_flight.remove(id) else {
            return;
        };
        self.release(&fetch);
        if !self.manifest.chunk_matches(fetch.chunk, &bytes) {
            self.on_corrupt_chunk(now, &fetch, actions);
            return;
        }
        if fetch.source == ChunkSource::Origin && self.sources.origin.is_failing() {
            self.restart_origin_schedule(now);
        }
        let took = now.since(fetch.started);
        let length = self.manifest.chunk_len(fetch.chunk);
        if let Some(record) = self.source_record_mut(&fetch.source) {
            record.succeeded(now, length, took);
        }
        match fetch.remote_region {
            Some(region) => self.links.succeeded(region),
            None if fetch.source != ChunkSource::Origin => {
                self.mean_fetch_time = self.mean_fetch_time.mul_f64(FETCH_TIME_EWMA_DECAY)
                    + took.mul_f64(1.0 - FETCH_TIME_EWMA_DECAY);
            }
            None => {}
        }
        if self.held.insert(fetch.chunk) {
            self.first_seen[fetch.chunk].get_or_insert(now);
            self.cancel_duplicates(fetch.chunk, actions);
            actions.push(FetchAction::Store(fetch.chunk, bytes));
        }
    }

    /// Cancels the other fetches of a chunk that has just arrived.
    fn cancel_duplicates(&mut self, chunk: usize, actions: &mut Vec<FetchAction>) {
        for fetch in self.in_flight.take_chunk(chunk) {
            self.release(&fetch);
            actions.push(FetchAction::Cancel(fetch.id));
        }
    }

    fn on_corrupt_chunk(
        &mut self,
        now: MonoTime,
        fetch: &InFlightFetch,
        actions: &mut Vec<FetchAction>,
    ) {
        actions.push(FetchAction::ReportCorrupt(fetch.source.clone(), fetch.chunk));
        self.in_flight.avoid(now, fetch.chunk, &fetch.source, now + CORRUPT_SOURCE_AVOID_TIME);
        if let Some(record) = self.source_record_mut(&fetch.source) {
            record.corrupted(now);
        }
    }

    fn on_failed(&mut self, now: MonoTime, id: FetchId, failure: FetchFailure) {
        let Some(fetch) = self.in_flight.remove(id) else {
            return;
        };
        self.release(&fetch);
        self.record_failure(now, &fetch, failure);
    }

    fn record_failure(&mut self, now: MonoTime, fetch: &InFlightFetch, failure: FetchFailure) {
        if let Some(region) = fetch.remote_region {
            self.links.failed(now, region, failure);
        }
        // Longer than the link's own back-off, so that the link fetches other chunks meanwhile.
        let pause = if fetch.remote_region.is_some() { LINK_RETRY_DELAY } else { POLL_INTERVAL };
        let pause = self.limits.scaled(pause);
        self.retry_holdoffs[fetch.chunk] = (now + pause, fetch.remote_region);
        let chunk = fetch.chunk;
        if matches!(failure, FetchFailure::Cut | FetchFailure::Unreachable) {
            self.in_flight.avoid(
                now,
                chunk,
                &fetch.source,
                now + self.limits.scaled(FAILED_SOURCE_AVOID_TIME),
            );
        }
        // A host in another region that still lacks the chunk by now may never get it.
        let is_overdue = now.since(self.started) > self.owner_timeout;
        if failure == FetchFailure::NotHere && fetch.remote_region.is_some() && is_overdue {
            let until = now + self.limits.scaled(MISSING_CHUNK_DEFER_TIME);
            self.in_flight.defer(now, chunk, &fetch.source, until);
        }
        if fetch.source == ChunkSource::Origin
            && matches!(failure, FetchFailure::Cut | FetchFailure::Unreachable)
        {
            self.origin_failed_at = Some(now);
        }
        if let Some(record) = self.source_record_mut(&fetch.source) {
            record.failed(now, failure, chunk);
        }
    }

    /// Cancels fetches on which no data arrived before their deadline, and times out the poll.
    fn cancel_stalled(&mut self, now: MonoTime, actions: &mut Vec<FetchAction>) {
        for fetch in self.in_flight.take_expired(now) {
            actions.push(FetchAction::Cancel(fetch.id));
            self.release(&fetch);
            self.record_failure(now, &fetch, FetchFailure::Unreachable);
        }
        match &self.pending_poll {
            Some((peer, deadline)) if *deadline <= now => {
                let peer = peer.clone();
                self.on_poll_failed(now, &peer);
            }
            _ => {}
        }
    }

    fn on_held_by(&mut self, now: MonoTime, peer: &HostName, chunks: ChunkSet) {
        self.poll_ended(now, peer);
        let Some(index) = self.plan.index_of(peer) else {
            return;
        };
        let is_same_region = self
            .own_index
            .is_some_and(|own_index| self.plan.region_of(own_index) == self.plan.region_of(index));
        if is_same_region {
            let missing = self.missing_in_region();
            for chunk in (0..chunks.len()).filter(|chunk| chunks.contains(*chunk)) {
                self.first_seen[chunk].get_or_insert(now);
            }
            // A chunk that is new to the region was probably read from the origin.
            if self.sources.origin.is_failing() && self.missing_in_region() < missing {
                self.sources.origin.end_backoff(now);
                self.restart_origin_schedule(now);
            }
        }
        self.sources.update_held(now, index, chunks);
    }

    fn on_poll_failed(&mut self, now: MonoTime, peer: &HostName) {
        self.poll_ended(now, peer);
        if let Some(index) = self.plan.index_of(peer) {
            self.sources.hosts[index].failed(now, FetchFailure::Unreachable, 0);
        }
    }

    fn poll_ended(&mut self, now: MonoTime, peer: &HostName) {
        if self.pending_poll.as_ref().is_some_and(|(polled, _)| polled == peer) {
            self.pending_poll = None;
            // While the region waits for another version, others rarely have news.
            let is_idle = !self.share.imports && self.first_seen.iter().all(Option::is_none);
            let rounds = if is_idle { IDLE_POLL_FACTOR } else { 1 };
            self.next_poll = now + self.limits.scaled(POLL_INTERVAL) * rounds;
        }
    }

    /// Switches to a new plan, and cancels the fetches whose source or link is not part of it.
    fn on_replanned(
        &mut self,
        now: MonoTime,
        plan: Arc<DistributionPlan>,
        actions: &mut Vec<FetchAction>,
    ) {
        let count = self.manifest.chunks.len();
        let old = std::mem::replace(&mut self.plan, plan);
        let mut sources = SourceTable::new(&self.plan, count, &self.limits, now);
        sources.origin = self.sources.origin.clone();
        for (index, host) in self.plan.hosts().iter().enumerate() {
            if let Some(old_index) = old.index_of(&host.name) {
                sources.carry_over(index, &self.sources.hosts[old_index]);
            }
        }
        self.sources = sources;
        self.own_index = self.plan.index_of(&self.own_name);
        self.update_takeover_timeouts();
        let mut cancelled = self.in_flight.take_unknown_sources(&self.plan);
        if !self.plan.has_same_regions(&old) {
            self.links = RegionLinkTable::new(self.plan.region_count(), self.limits);
            cancelled.extend(self.in_flight.take_cross_region());
        }
        for fetch in self.in_flight.iter() {
            if let ChunkSource::Peer(name) = &fetch.source
                && let Some(index) = self.plan.index_of(name)
            {
                self.sources.hosts[index].in_flight += 1;
            }
        }
        actions.extend(cancelled.into_iter().map(FetchAction::Cancel));
    }

    fn finish(&mut self, actions: &mut Vec<FetchAction>) {
        if self.complete {
            return;
        }
        self.complete = true;
        let rest = self.in_flight.take_all();
        actions.extend(rest.into_iter().map(|fetch| FetchAction::Cancel(fetch.id)));
        actions.push(FetchAction::Complete);
    }

    /// Removes an ended fetch from the in-flight counts of its source and link.
    fn release(&mut self, fetch: &InFlightFetch) {
        if let Some(record) = self.source_record_mut(&fetch.source) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
        if let Some(region) = fetch.remote_region {
            self.links.fetch_ended(region);
        }
    }

    fn source_record(&self, source: &ChunkSource) -> Option<&SourceRecord> {
        match source {
            ChunkSource::Origin => Some(&self.sources.origin),
            ChunkSource::Peer(name) => {
                self.plan.index_of(name).map(|index| &self.sources.hosts[index])
            }
        }
    }

    fn source_record_mut(&mut self, source: &ChunkSource) -> Option<&mut SourceRecord> {
        match source {
            ChunkSource::Origin => Some(&mut self.sources.origin),
            ChunkSource::Peer(name) => {
                self.plan.index_of(name).map(|index| &mut self.sources.hosts[index])
            }
        }
    }
}
