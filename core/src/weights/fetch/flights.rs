//! The fetches that have been started and not ended.

use super::{ChunkSource, FetchTicket};
use crate::prelude::*;
use crate::weights::plan::{RegionIndex, SpreadPlan};

/// A fetch that has been started.
#[derive(Debug, Clone)]
pub(super) struct ChunkFlight {
    pub ticket: FetchTicket,
    pub chunk: usize,
    pub source: ChunkSource,
    /// The region at the other end, if the fetch crosses a region pair.
    pub lane: Option<RegionIndex>,
    pub started: MonoTime,
    pub deadline: MonoTime,
    pub stall_timeout: Duration,
    pub bytes: u64,
}

#[derive(Debug)]
struct AvoidedSource {
    chunk: usize,
    host: HostName,
    until: MonoTime,
}

impl AvoidedSource {
    fn is(&self, now: MonoTime, chunk: usize, host: &HostName) -> bool {
        self.chunk == chunk && self.until > now && self.host == *host
    }
}

/// All started fetches, and the sources that failed a chunk.
#[derive(Debug, Default)]
pub(super) struct FlightTable {
    flights: Vec<ChunkFlight>,
    avoided: Vec<AvoidedSource>,
    lacking: Vec<AvoidedSource>,
    next_ticket: FetchTicket,
}

impl FlightTable {
    pub fn add(&mut self, mut flight: ChunkFlight) -> FetchTicket {
        self.next_ticket += 1;
        flight.ticket = self.next_ticket;
        self.flights.push(flight);
        self.next_ticket
    }

    pub fn iter(&self) -> impl Iterator<Item = &ChunkFlight> {
        self.flights.iter()
    }

    pub fn get_mut(&mut self, ticket: FetchTicket) -> Option<&mut ChunkFlight> {
        self.flights.iter_mut().find(|flight| flight.ticket == ticket)
    }

    pub fn remove(&mut self, ticket: FetchTicket) -> Option<ChunkFlight> {
        let at = self.flights.iter().position(|flight| flight.ticket == ticket)?;
        Some(self.flights.swap_remove(at))
    }

    pub fn holds_chunk(&self, chunk: usize) -> bool {
        self.flights.iter().any(|flight| flight.chunk == chunk)
    }

    /// Whether a second source may be asked for `chunk`: the only one that was, within the own region,
    /// has kept it waiting for longer than `patience`.
    pub fn may_ask_second(&self, now: MonoTime, chunk: usize, patience: Duration) -> bool {
        let mut asked = self.flights.iter().filter(|flight| flight.chunk == chunk);
        match (asked.next(), asked.next()) {
            (Some(first), None) => first.lane.is_none() && now.since(first.started) > patience,
            _ => false,
        }
    }

    /// Whether `chunk` was asked of `source`.
    pub fn is_asked(&self, chunk: usize, host: &HostName) -> bool {
        let asked = |flight: &ChunkFlight| {
            flight.chunk == chunk
                && matches!(&flight.source, ChunkSource::Peer(source) if source == host)
        };
        self.flights.iter().any(asked)
    }

    /// Drops the fetches of `chunk` and returns them.
    pub fn take_chunk(&mut self, chunk: usize) -> Vec<ChunkFlight> {
        self.flights.extract_if(.., |flight| flight.chunk == chunk).collect()
    }

    pub fn origin_count(&self) -> usize {
        self.flights.iter().filter(|flight| flight.source == ChunkSource::Origin).count()
    }

    /// How long the oldest fetch from the origin has been going on.
    pub fn longest_from_origin(&self, now: MonoTime) -> Duration {
        let origin = self.flights.iter().filter(|flight| flight.source == ChunkSource::Origin);
        origin.map(|flight| now.since(flight.started)).max().unwrap_or_default()
    }

    /// Fetches within the region that take up its places: one that a slow source keeps waiting past
    /// `patience` leaves its place to another.
    pub fn peer_count(&self, now: MonoTime, patience: Duration) -> usize {
        let counts = |flight: &&ChunkFlight| {
            flight.lane.is_none()
                && flight.source != ChunkSource::Origin
                && now.since(flight.started) <= patience
        };
        self.flights.iter().filter(counts).count()
    }

    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.flights.iter().map(|flight| flight.deadline).min()
    }

    pub fn take_expired(&mut self, now: MonoTime) -> Vec<ChunkFlight> {
        self.flights.extract_if(.., |flight| flight.deadline <= now).collect()
    }

    pub fn take_all(&mut self) -> Vec<ChunkFlight> {
        std::mem::take(&mut self.flights)
    }

    /// Drops the fetches from hosts that the plan does not know, and returns their tickets.
    pub fn retain_sources(&mut self, plan: &SpreadPlan) -> Vec<FetchTicket> {
        let unknown = |flight: &mut ChunkFlight| match &flight.source {
            ChunkSource::Origin => false,
            ChunkSource::Peer(name) => plan.index_of(name).is_none(),
        };
        self.flights.extract_if(.., unknown).map(|flight| flight.ticket).collect()
    }

    /// Drops the fetches that cross a region pair, and returns their tickets.
    pub fn take_lanes(&mut self) -> Vec<FetchTicket> {
        let crossing = |flight: &mut ChunkFlight| flight.lane.is_some();
        self.flights.extract_if(.., crossing).map(|flight| flight.ticket).collect()
    }

    /// Notes that `source` lacks `chunk` and is asked for it before `until` only if no other host can
    /// be.
    pub fn pass_over(
        &mut self,
        now: MonoTime,
        chunk: usize,
        source: &ChunkSource,
        until: MonoTime,
    ) {
        self.lacking.retain(|lacking| lacking.until > now);
        if let ChunkSource::Peer(host) = source {
            self.lacking.push(AvoidedSource { chunk, host: host.clone(), until });
        }
    }

    /// Whether `host` lacked `chunk` lately.
    pub fn passes_over(&self, now: MonoTime, chunk: usize, host: &HostName) -> bool {
        self.lacking.iter().any(|lacking| lacking.is(now, chunk, host))
    }

    /// Notes that `source` failed `chunk` and is not asked for it again before `until`.
    pub fn avoid(&mut self, now: MonoTime, chunk: usize, source: &ChunkSource, until: MonoTime) {
        self.avoided.retain(|avoided| avoided.until > now);
        if let ChunkSource::Peer(host) = source {
            self.avoided.push(AvoidedSource { chunk, host: host.clone(), until });
        }
    }

    /// Whether `host` failed `chunk` lately.
    pub fn avoids(&self, now: MonoTime, chunk: usize, host: &HostName) -> bool {
        self.avoided.iter().any(|avoided| avoided.is(now, chunk, host))
    }
}
