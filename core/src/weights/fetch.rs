//! The fetches of one version on one host, as a state machine.
//!
//! The owner feeds events and carries out the actions that come back; [`FetchMachine::next_wake`]
//! tells when it wants [`FetchEvent::Tick`] if nothing else happens before.

mod choose;
mod event;
mod flights;
mod lanes;
mod peers;
mod takeover;

pub use event::{
    ChunkSource, FetchAction, FetchEvent, FetchFailure, FetchLimits, FetchOrder, FetchTicket,
};

use crate::prelude::*;
use crate::weights::plan::{HostIndex, RegionIndex, SpreadPlan, mix};
use crate::weights::{ChunkSet, VersionManifest};
use bytes::Bytes;
use flights::{ChunkFlight, FlightTable};
use lanes::LaneTable;
use peers::{PeerLedger, SourceRecord};

const POLL_INTERVAL: Duration = Duration::from_millis(250);
const POLL_TIMEOUT: Duration = Duration::from_secs(3);
const LANE_RETRY_PAUSE: Duration = Duration::from_secs(1);
const FAILURE_AVOID_TIME: Duration = Duration::from_secs(30);
const LACKING_TIME: Duration = Duration::from_secs(5);
const CORRUPT_AVOID_TIME: Duration = Duration::from_secs(3600);
/// Weight of what was known before in the average time of a fetch.
const TIME_MEMORY: f64 = 0.7;
const CORRUPT_LIMIT: u32 = 2;

/// Fetches one version. Dropping it is the way to give up a superseded version.
#[derive(Debug)]
pub struct FetchMachine {
    manifest: Arc<VersionManifest>,
    plan: Arc<SpreadPlan>,
    name: HostName,
    me: Option<HostIndex>,
    limits: FetchLimits,
    live_percent: u8,
    gateway_patience: Duration,
    home_patience: Duration,
    held: ChunkSet,
    peers: PeerLedger,
    /// By chunk: when a host of the own region was first known to hold it.
    seen: Vec<Option<MonoTime>>,
    lanes: LaneTable,
    /// How long fetches within the region take, averaged over those of late.
    usual_time: Duration,
    flights: FlightTable,
    /// By chunk: until when the link that failed it last is not asked again.
    retries: Vec<(MonoTime, Option<RegionIndex>)>,
    started: MonoTime,
    next_poll: MonoTime,
    polling: Option<(HostName, MonoTime)>,
    polls: u64,
    draws: u64,
    complete: bool,
}

impl FetchMachine {
    /// A machine of the host called `name`, which holds `held` already. `seed` scatters the choices
    /// of different hosts.
    pub fn new(
        now: MonoTime,
        manifest: Arc<VersionManifest>,
        plan: Arc<SpreadPlan>,
        name: HostName,
        limits: FetchLimits,
        held: ChunkSet,
        seed: u64,
    ) -> Self {
        let count = manifest.chunks.len();
        let mut machine = Self {
            me: plan.index_of(&name),
            peers: PeerLedger::new(&plan, count, &limits, now),
            lanes: LaneTable::new(plan.region_count(), limits),
            usual_time: Duration::ZERO,
            flights: FlightTable::default(),
            retries: vec![(MonoTime::ZERO, None); count],
            seen: (0..count).map(|chunk| held.contains(chunk).then_some(now)).collect(),
            manifest,
            plan,
            name,
            limits,
            live_percent: 0,
            gateway_patience: Duration::ZERO,
            home_patience: Duration::ZERO,
            held,
            started: now,
            next_poll: now,
            polling: None,
            polls: 0,
            draws: mix(seed),
            complete: false,
        };
        machine.set_patience();
        machine
    }

    /// The chunks that are held.
    pub fn held(&self) -> &ChunkSet {
        &self.held
    }

    /// How often `source` sent bytes that were not those of the chunk.
    pub fn corrupt_count(&self, source: &ChunkSource) -> u32 {
        self.record_of(source).map_or(0, |record| record.corrupt)
    }

    /// Takes in an event and tells what to do.
    pub fn on_event(&mut self, now: MonoTime, event: FetchEvent) -> Vec<FetchAction> {
        let mut actions = Vec::new();
        match event {
            FetchEvent::Tick => {}
            FetchEvent::Progress(ticket, bytes) => self.progress(now, ticket, bytes),
            FetchEvent::Arrived(ticket, bytes) => self.arrived(now, ticket, bytes, &mut actions),
            FetchEvent::Failed(ticket, failure) => self.failed(now, ticket, failure),
            FetchEvent::HeldBy(peer, chunks) => self.held_by(now, &peer, chunks),
            FetchEvent::PollFailed(peer) => self.poll_failed(now, &peer),
            FetchEvent::Replanned(plan) => self.replanned(now, plan, &mut actions),
            FetchEvent::LiveLoad(percent) => {
                self.live_percent = percent.min(100);
                self.set_patience();
            }
        }
        self.expire(now, &mut actions);
        if self.held.is_full() {
            self.finish(&mut actions);
        } else {
            self.fill(now, &mut actions);
        }
        actions
    }

    /// When the machine wants a tick; none once it is complete.
    pub fn next_wake(&self) -> Option<MonoTime> {
        if self.complete {
            return None;
        }
        let deadline = self.flights.next_deadline();
        let poll = match &self.polling {
            Some((_, deadline)) => *deadline,
            None => self.next_poll,
        };
        Some(deadline.map_or(poll, |deadline| deadline.min(poll)))
    }

    fn progress(&mut self, now: MonoTime, ticket: FetchTicket, bytes: u64) {
        let Some(flight) = self.flights.get_mut(ticket) else {
            return;
        };
        if bytes > flight.bytes {
            flight.bytes = bytes;
            flight.deadline = now + flight.stall_timeout;
        }
    }

    fn arrived(
        &mut self,
        now: MonoTime,
        ticket: FetchTicket,
        bytes: Bytes,
        actions: &mut Vec<FetchAction>,
    ) {
        let Some(flight) = self.flights.remove(ticket) else {
            return;
        };
        self.landed(&flight);
        if !self.manifest.has_chunk(flight.chunk, &bytes) {
            self.corrupt(now, &flight, actions);
            return;
        }
        let took = now.since(flight.started);
        let length = self.manifest.chunk_len(flight.chunk);
        if let Some(record) = self.record_mut(&flight.source) {
            record.succeeded(now, length, took);
        }
        match flight.lane {
            Some(region) => self.lanes.succeeded(region),
            None if flight.source != ChunkSource::Origin => {
                self.usual_time =
                    self.usual_time.mul_f64(TIME_MEMORY) + took.mul_f64(1.0 - TIME_MEMORY);
            }
            None => {}
        }
        if self.held.insert(flight.chunk) {
            self.seen[flight.chunk].get_or_insert(now);
            self.cancel_chunk(flight.chunk, actions);
            actions.push(FetchAction::Keep(flight.chunk, bytes));
        }
    }

    /// Breaks off what else was asked for a chunk that is held now.
    fn cancel_chunk(&mut self, chunk: usize, actions: &mut Vec<FetchAction>) {
        for flight in self.flights.take_chunk(chunk) {
            self.landed(&flight);
            actions.push(FetchAction::Cancel(flight.ticket));
        }
    }

    fn corrupt(&mut self, now: MonoTime, flight: &ChunkFlight, actions: &mut Vec<FetchAction>) {
        actions.push(FetchAction::Corrupt(flight.source.clone(), flight.chunk));
        self.flights.avoid(now, flight.chunk, &flight.source, now + CORRUPT_AVOID_TIME);
        if let Some(record) = self.record_mut(&flight.source) {
            record.corrupted(now);
        }
    }

    fn failed(&mut self, now: MonoTime, ticket: FetchTicket, failure: FetchFailure) {
        let Some(flight) = self.flights.remove(ticket) else {
            return;
        };
        self.landed(&flight);
        self.blame(now, &flight, failure);
    }

    fn blame(&mut self, now: MonoTime, flight: &ChunkFlight, failure: FetchFailure) {
        if let Some(region) = flight.lane {
            self.lanes.failed(now, region, failure);
        }
        // Longer than a link's own pause, so that the link is used for other chunks meanwhile.
        let pause = if flight.lane.is_some() { LANE_RETRY_PAUSE } else { POLL_INTERVAL };
        let pause = self.limits.paced(pause);
        self.retries[flight.chunk] = (now + pause, flight.lane);
        let chunk = flight.chunk;
        if matches!(failure, FetchFailure::Cut | FetchFailure::Unreachable) {
            self.flights.avoid(
                now,
                chunk,
                &flight.source,
                now + self.limits.paced(FAILURE_AVOID_TIME),
            );
        }
        // A host of another region that lacks a chunk for so long may never get it.
        let is_overdue = now.since(self.started) > self.home_patience;
        if failure == FetchFailure::NotHere && flight.lane.is_some() && is_overdue {
            let until = now + self.limits.paced(LACKING_TIME);
            self.flights.pass_over(now, chunk, &flight.source, until);
        }
        if let Some(record) = self.record_mut(&flight.source) {
            record.failed(now, failure, chunk);
        }
    }

    /// Breaks off the fetches and the poll that have stalled.
    fn expire(&mut self, now: MonoTime, actions: &mut Vec<FetchAction>) {
        for flight in self.flights.take_expired(now) {
            actions.push(FetchAction::Cancel(flight.ticket));
            self.landed(&flight);
            self.blame(now, &flight, FetchFailure::Unreachable);
        }
        match &self.polling {
            Some((peer, deadline)) if *deadline <= now => {
                let peer = peer.clone();
                self.poll_failed(now, &peer);
            }
            _ => {}
        }
    }

    fn held_by(&mut self, now: MonoTime, peer: &HostName, chunks: ChunkSet) {
        self.poll_ended(now, peer);
        let Some(index) = self.plan.index_of(peer) else {
            return;
        };
        let is_near =
            self.me.is_some_and(|me| self.plan.region_of(me) == self.plan.region_of(index));
        if is_near {
            for chunk in (0..chunks.len()).filter(|chunk| chunks.contains(*chunk)) {
                self.seen[chunk].get_or_insert(now);
            }
        }
        self.peers.told(now, index, chunks);
    }

    fn poll_failed(&mut self, now: MonoTime, peer: &HostName) {
        self.poll_ended(now, peer);
        if let Some(index) = self.plan.index_of(peer) {
            self.peers.hosts[index].failed(now, FetchFailure::Unreachable, 0);
        }
    }

    fn poll_ended(&mut self, now: MonoTime, peer: &HostName) {
        if self.polling.as_ref().is_some_and(|(polled, _)| polled == peer) {
            self.polling = None;
            self.next_poll = now + self.limits.paced(POLL_INTERVAL);
        }
    }

    fn replanned(&mut self, now: MonoTime, plan: Arc<SpreadPlan>, actions: &mut Vec<FetchAction>) {
        let count = self.manifest.chunks.len();
        let old = std::mem::replace(&mut self.plan, plan);
        let mut peers = PeerLedger::new(&self.plan, count, &self.limits, now);
        peers.origin = self.peers.origin.clone();
        for (index, host) in self.plan.hosts().iter().enumerate() {
            if let Some(before) = old.index_of(&host.name) {
                peers.adopt(index, &self.peers.hosts[before]);
            }
        }
        self.peers = peers;
        self.me = self.plan.index_of(&self.name);
        self.set_patience();
        let mut gone = self.flights.retain_sources(&self.plan);
        if !self.plan.has_regions_of(&old) {
            self.lanes = LaneTable::new(self.plan.region_count(), self.limits);
            gone.extend(self.flights.take_lanes());
        }
        for flight in self.flights.iter() {
            if let ChunkSource::Peer(name) = &flight.source
                && let Some(index) = self.plan.index_of(name)
            {
                self.peers.hosts[index].in_flight += 1;
            }
        }
        actions.extend(gone.into_iter().map(FetchAction::Cancel));
    }

    fn finish(&mut self, actions: &mut Vec<FetchAction>) {
        if self.complete {
            return;
        }
        self.complete = true;
        let rest = self.flights.take_all();
        actions.extend(rest.into_iter().map(|flight| FetchAction::Cancel(flight.ticket)));
        actions.push(FetchAction::Complete);
    }

    fn landed(&mut self, flight: &ChunkFlight) {
        if let Some(record) = self.record_mut(&flight.source) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
        if let Some(region) = flight.lane {
            self.lanes.ended(region);
        }
    }

    fn record_of(&self, source: &ChunkSource) -> Option<&SourceRecord> {
        match source {
            ChunkSource::Origin => Some(&self.peers.origin),
            ChunkSource::Peer(name) => self.plan.index_of(name).map(|at| &self.peers.hosts[at]),
        }
    }

    fn record_mut(&mut self, source: &ChunkSource) -> Option<&mut SourceRecord> {
        match source {
            ChunkSource::Origin => Some(&mut self.peers.origin),
            ChunkSource::Peer(name) => self.plan.index_of(name).map(|at| &mut self.peers.hosts[at]),
        }
    }
}
