//! Who brings a chunk into a region where its home does not.

use super::{FetchMachine, POLL_INTERVAL};
use crate::prelude::*;
use crate::weights::plan::{HostIndex, KEPT_RANKS, RegionIndex};

const SHORTEST_PATIENCE: Duration = Duration::from_secs(5);
const PATIENCE_FACTOR: f64 = 3.0;
/// Times of a fetch from the origin after which another is slow.
const ORIGIN_PATIENCE_FACTOR: f64 = 1.5;
/// Patiences after which a host that makes no progress is passed over by all, not by the next only.
const LAST_PATIENCE: u32 = 8;
/// Rounds of polls without news of a home before others take over, and hosts that count for a round.
const POLL_ROUNDS: u32 = 2;
const MOST_POLLED: usize = 64;
/// Time for which a chunk that comes later in order is held in a region before the next host in the
/// order of takeover brings a chunk that is not.
const OVERTAKEN_PATIENCE: Duration = Duration::from_secs(3);
/// Time for which a region's only holder of a chunk may take to pass it on before the next host in the
/// order of takeover brings it, too.
const LONE_PATIENCE: Duration = Duration::from_secs(5);
/// Chunks before a missing one that count as later, so that the last chunks are looked after, too.
const OVERTAKEN_SPAN: usize = 4;

impl FetchMachine {
    /// The host that answers for `chunk` in the own region: the first in the order of takeover that
    /// has not failed and makes progress.
    pub(super) fn acting_home(
        &self,
        now: MonoTime,
        chunk: usize,
        me: HostIndex,
    ) -> Option<HostIndex> {
        let region = self.plan.region_of(me);
        let failed = |host: HostIndex, patience: Duration| {
            host != me
                && (self.peers.is_suspect(host, now)
                    || self.is_late(now, host, chunk, patience)
                    || self.flights.avoids(now, chunk, self.plan.name_of(host)))
        };
        let overtaken = self.overtaken(now, chunk).min(KEPT_RANKS - 1);
        let homes = self.plan.homes(chunk, region).iter().enumerate();
        let first = homes
            .filter(|(rank, host)| *rank >= overtaken || **host == me)
            .map(|(_, host)| *host)
            .find(|host| !failed(*host, self.home_patience));
        let last_patience = self.home_patience * LAST_PATIENCE;
        first.or_else(|| self.plan.home(chunk, region, |host| failed(host, last_patience)))
    }

    pub(super) fn acting_gateway(
        &self,
        now: MonoTime,
        chunk: usize,
        region: RegionIndex,
        me: HostIndex,
    ) -> Option<HostIndex> {
        if self.plan.is_crossed_by_homes() {
            return self.acting_home(now, chunk, me);
        }
        let patience = self.gateway_patience;
        self.plan.gateway(chunk, region, |host| {
            host != me
                && (self.peers.is_suspect(host, now)
                    || self.is_late(now, host, chunk, patience)
                    || self.flights.avoids(now, chunk, self.plan.name_of(host)))
        })
    }

    /// Whether `host` lacks `chunk` and has told of nothing new for `patience`.
    fn is_late(&self, now: MonoTime, host: HostIndex, chunk: usize, patience: Duration) -> bool {
        let record = &self.peers.hosts[host];
        !record.known.contains(chunk) && now.since(record.progressed.max(self.started)) > patience
    }

    /// Works out how long hosts may go without progress before others take over.
    pub(super) fn set_patience(&mut self) {
        let origin = self.limits.origin_bytes_per_second as f64;
        let lane_seconds = self.manifest.chunk_bytes as f64 / self.lane_rate() as f64;
        let home_seconds = self.manifest.total_bytes as f64 / origin;
        let limits = self.limits;
        let patience =
            |seconds: f64| limits.paced(Duration::from_secs_f64(PATIENCE_FACTOR * seconds));
        self.gateway_patience = patience(lane_seconds).max(limits.paced(SHORTEST_PATIENCE));
        // What is known of a home is as old as a round of polls through the region.
        let members = self.me.map_or(0, |me| self.plan.members(self.plan.region_of(me)).len());
        let round = limits.paced(POLL_INTERVAL) * members.min(MOST_POLLED) as u32;
        let heard = POLL_ROUNDS * round;
        self.home_patience = patience(home_seconds).max(self.gateway_patience).max(heard);
    }

    /// Time after which a fetch from the origin is slow beside those that this host has seen.
    fn origin_patience(&self, now: MonoTime) -> Duration {
        let running = self.flights.longest_from_origin(now);
        self.peers.origin.last_took.max(running).mul_f64(ORIGIN_PATIENCE_FACTOR)
    }

    /// How many hosts in the order of takeover have had their time to bring `chunk` into the own
    /// region, as far as can be told from the chunks that come later in order. A host with a
    /// narrowed link makes progress, but too slowly.
    pub(super) fn overtaken(&self, now: MonoTime, chunk: usize) -> usize {
        if !self.limits.is_urgent {
            return 0;
        }
        if let Some(seen) = self.seen[chunk] {
            let patience = self.limits.paced(LONE_PATIENCE);
            return if self.is_lone(chunk) { rounds(now.since(seen), patience) } else { 0 };
        }
        let later = self.seen[chunk.saturating_sub(OVERTAKEN_SPAN)..].iter().flatten().min();
        let Some(later) = later else {
            return 0;
        };
        let patience = self.limits.paced(OVERTAKEN_PATIENCE).max(self.origin_patience(now));
        rounds(now.since(*later), patience)
    }

    /// Whether only one host of the own region is known to hold `chunk`; it may be too slow to pass
    /// it on.
    fn is_lone(&self, chunk: usize) -> bool {
        let members = self.me.map_or(&[][..], |me| self.plan.members(self.plan.region_of(me)));
        let holds = |host: &&HostIndex| self.peers.hosts[**host].known.contains(chunk);
        members.len() > 2 && members.iter().filter(holds).take(2).count() < 2
    }
}

/// How often `patience` fits into `span`.
fn rounds(span: Duration, patience: Duration) -> usize {
    (span.as_micros() / patience.as_micros().max(1)) as usize
}
