//! Fetches in flight, and sources to avoid or defer for single chunks.

use super::{ChunkSource, FetchId};
use crate::prelude::*;
use crate::weights::plan::{DistributionPlan, RegionIndex};

/// A fetch in flight.
#[derive(Debug, Clone)]
pub(super) struct InFlightFetch {
    pub id: FetchId,
    pub chunk: usize,
    pub source: ChunkSource,
    /// The region of the source, if the fetch crosses regions.
    pub remote_region: Option<RegionIndex>,
    pub started: MonoTime,
    /// When the fetch counts as stalled unless more bytes arrive.
    pub deadline: MonoTime,
    pub stall_timeout: Duration,
    /// Bytes received.
    pub bytes: u64,
}

/// A host not to be asked, or to be asked last, for one chunk.
#[derive(Debug)]
struct AvoidedSource {
    chunk: usize,
    host: HostName,
    until: MonoTime,
}

impl AvoidedSource {
    fn applies(&self, now: MonoTime, chunk: usize, host: &HostName) -> bool {
        self.chunk == chunk && self.until > now && self.host == *host
    }
}

/// All fetches in flight, and for each chunk the hosts that failed to deliver it.
#[derive(Debug, Default)]
pub(super) struct InFlightTable {
    fetches: Vec<InFlightFetch>,
    avoided: Vec<AvoidedSource>,
    deferred: Vec<AvoidedSource>,
    last_id: FetchId,
}

impl InFlightTable {
    pub fn add(&mut self, mut fetch: InFlightFetch) -> FetchId {
        self.last_id += 1;
        fetch.id = self.last_id;
        self.fetches.push(fetch);
        self.last_id
    }

    pub fn iter(&self) -> impl Iterator<Item = &InFlightFetch> {
        self.fetches.iter()
    }

    pub fn get_mut(&mut self, id: FetchId) -> Option<&mut InFlightFetch> {
        self.fetches.iter_mut().find(|fetch| fetch.id == id)
    }

    pub fn remove(&mut self, id: FetchId) -> Option<InFlightFetch> {
        let position = self.fetches.iter().position(|fetch| fetch.id == id)?;
        Some(self.fetches.swap_remove(position))
    }

    pub fn contains_chunk(&self, chunk: usize) -> bool {
        self.fetches.iter().any(|fetch| fetch.chunk == chunk)
    }

    /// Whether `chunk` may be requested from a second source: it has one fetch in flight, within the
    /// region, for longer than `hedge_delay`.
    pub fn may_hedge(&self, now: MonoTime, chunk: usize, hedge_delay: Duration) -> bool {
        let mut fetches = self.fetches.iter().filter(|fetch| fetch.chunk == chunk);
        match (fetches.next(), fetches.next()) {
            (Some(first), None) => {
                first.remote_region.is_none() && now.since(first.started) > hedge_delay
            }
            _ => false,
        }
    }

    /// Whether a fetch of `chunk` from `host` is in flight.
    pub fn is_fetching_from(&self, chunk: usize, host: &HostName) -> bool {
        let is_match = |fetch: &InFlightFetch| {
            fetch.chunk == chunk
                && matches!(&fetch.source, ChunkSource::Peer(source) if source == host)
        };
        self.fetches.iter().any(is_match)
    }

    /// Removes and returns the fetches of `chunk`.
    pub fn take_chunk(&mut self, chunk: usize) -> Vec<InFlightFetch> {
        self.fetches.extract_if(.., |fetch| fetch.chunk == chunk).collect()
    }

    pub fn origin_count(&self) -> usize {
        self.fetches.iter().filter(|fetch| fetch.source == ChunkSource::Origin).count()
    }

    /// Age of the oldest fetch from the origin; zero if there is none.
    pub fn oldest_origin_fetch_age(&self, now: MonoTime) -> Duration {
        let origin = self.fetches.iter().filter(|fetch| fetch.source == ChunkSource::Origin);
        origin.map(|fetch| now.since(fetch.started)).max().unwrap_or_default()
    }

    /// Number of fetches within the region that are at most `max_age` old. An older one, whose source is
    /// slow, does not take up a fetch slot.
    pub fn peer_count(&self, now: MonoTime, max_age: Duration) -> usize {
        let counts = |fetch: &&InFlightFetch| {
            fetch.remote_region.is_none()
                && fetch.source != ChunkSource::Origin
                && now.since(fetch.started) <= max_age
        };
        self.fetches.iter().filter(counts).count()
    }

    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.fetches.iter().map(|fetch| fetch.deadline).min()
    }

    pub fn take_expired(&mut self, now: MonoTime) -> Vec<InFlightFetch> {
        self.fetches.extract_if(.., |fetch| fetch.deadline <= now).collect()
    }

    pub fn take_all(&mut self) -> Vec<InFlightFetch> {
        std::mem::take(&mut self.fetches)
    }

    /// Removes the fetches from hosts that are not in `plan`, and returns their ids.
    pub fn take_unknown_sources(&mut self, plan: &DistributionPlan) -> Vec<FetchId> {
        let is_unknown = |fetch: &mut InFlightFetch| match &fetch.source {
            ChunkSource::Origin => false,
            ChunkSource::Peer(name) => plan.index_of(name).is_none(),
        };
        self.fetches.extract_if(.., is_unknown).map(|fetch| fetch.id).collect()
    }

    /// Removes the cross-region fetches, and returns their ids.
    pub fn take_cross_region(&mut self) -> Vec<FetchId> {
        let is_cross_region = |fetch: &mut InFlightFetch| fetch.remote_region.is_some();
        self.fetches.extract_if(.., is_cross_region).map(|fetch| fetch.id).collect()
    }

    /// Records that `source` does not hold `chunk`. Until `until` it is asked for it only if no other
    /// host is usable.
    pub fn defer(&mut self, now: MonoTime, chunk: usize, source: &ChunkSource, until: MonoTime) {
        self.deferred.retain(|deferred| deferred.until > now);
        if let ChunkSource::Peer(host) = source {
            self.deferred.push(AvoidedSource { chunk, host: host.clone(), until });
        }
    }

    /// Whether `host` recently did not hold `chunk`.
    pub fn is_deferred(&self, now: MonoTime, chunk: usize, host: &HostName) -> bool {
        self.deferred.iter().any(|deferred| deferred.applies(now, chunk, host))
    }

    /// Records that `source` failed to deliver `chunk`. It is not asked for it again before `until`.
    pub fn avoid(&mut self, now: MonoTime, chunk: usize, source: &ChunkSource, until: MonoTime) {
        self.avoided.retain(|avoided| avoided.until > now);
        if let ChunkSource::Peer(host) = source {
            self.avoided.push(AvoidedSource { chunk, host: host.clone(), until });
        }
    }

    /// Whether `host` recently failed to deliver `chunk`.
    pub fn is_avoided(&self, now: MonoTime, chunk: usize, host: &HostName) -> bool {
        self.avoided.iter().any(|avoided| avoided.applies(now, chunk, host))
    }
}
