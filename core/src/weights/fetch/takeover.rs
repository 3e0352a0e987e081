//! Takeover: which host fetches a chunk into a region if its owner or gateway does not.

use super::{FetchMachine, POLL_INTERVAL};
use crate::prelude::*;
use crate::weights::plan::{HostIndex, OWNER_CANDIDATES, RegionIndex};

/// Lower bound of the time without progress after which the next host takes over.
const MIN_TAKEOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Takeover timeout, as a multiple of the expected transfer time.
const TAKEOVER_TIMEOUT_FACTOR: f64 = 3.0;
/// A fetch from the origin is slow after this multiple of the usual duration.
const SLOW_ORIGIN_FACTOR: f64 = 1.5;
/// Multiple of the owner timeout after which any host of the region, not only the next candidates,
/// may take over from hosts that make no progress.
const LAST_RESORT_TIMEOUT_FACTOR: u32 = 8;
/// Rounds of polls without news of an owner before others take over.
const POLL_ROUNDS: u32 = 2;
/// Upper bound of the number of hosts from which the length of a round is computed.
const MAX_HOSTS_PER_POLL_ROUND: usize = 64;
/// If a later chunk has been in the region for this time, the next host in the order of takeover
/// fetches a chunk that is still missing.
const OVERTAKEN_CHUNK_TIMEOUT: Duration = Duration::from_secs(3);
/// If a chunk has had only one holder in the region for this time, the next host in the order of
/// takeover fetches it as well.
const SOLE_HOLDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Chunks directly before a missing one that count as later, too, so that the last chunks of the
/// manifest, which no chunk follows, can also be taken over.
const OVERTAKEN_LOOKBACK_CHUNKS: usize = 4;

impl FetchMachine {
    /// The host responsible for `chunk` in this region: the first in the order of takeover that has not
    /// failed and makes progress.
    pub(super) fn acting_owner(
        &self,
        now: MonoTime,
        chunk: usize,
        own_index: HostIndex,
    ) -> Option<HostIndex> {
        let region = self.plan.region_of(own_index);
        let has_failed = |host: HostIndex, timeout: Duration| {
            host != own_index
                && (self.sources.is_suspect(host, now)
                    || self.is_late(now, host, chunk, timeout)
                    || self.in_flight.is_avoided(now, chunk, self.plan.host_name(host)))
        };
        let lapsed_owners = self.lapsed_owners(now, chunk).min(OWNER_CANDIDATES - 1);
        let owner_candidates = self.plan.owner_candidates(chunk, region).iter().enumerate();
        let first = owner_candidates
            .filter(|(rank, host)| *rank >= lapsed_owners || **host == own_index)
            .map(|(_, host)| *host)
            .find(|host| !has_failed(*host, self.owner_timeout));
        let last_resort_timeout = self.owner_timeout * LAST_RESORT_TIMEOUT_FACTOR;
        first.or_else(|| {
            self.plan.owner(chunk, region, |host| has_failed(host, last_resort_timeout))
        })
    }

    /// The host that fetches `chunk` from other regions into `region`: the acting owner, or the first
    /// gateway in the order of takeover that has not failed and makes progress.
    pub(super) fn acting_gateway(
        &self,
        now: MonoTime,
        chunk: usize,
        region: RegionIndex,
        own_index: HostIndex,
    ) -> Option<HostIndex> {
        if self.plan.owners_cross_regions() {
            return self.acting_owner(now, chunk, own_index);
        }
        let timeout = self.gateway_timeout;
        self.plan.gateway(chunk, region, |host| {
            host != own_index
                && (self.sources.is_suspect(host, now)
                    || self.is_late(now, host, chunk, timeout)
                    || self.in_flight.is_avoided(now, chunk, self.plan.host_name(host)))
        })
    }

    /// Whether `host` does not hold `chunk` and has reported no new chunks for `timeout`.
    fn is_late(&self, now: MonoTime, host: HostIndex, chunk: usize, timeout: Duration) -> bool {
        let record = &self.sources.hosts[host];
        let counted_from = record.last_progress.max(self.started).max(self.takeover_start());
        !record.held.contains(chunk) && now.since(counted_from) > timeout
    }

    /// Time from which missing chunks count as late. If the origin has failed, or the region had to wait for
    /// another version, hosts made no progress because of it, and reading all that is missing takes time.
    fn takeover_start(&self) -> MonoTime {
        let resumed_at = self.origin_failed_at.max(Some(self.imports_since));
        let Some(resumed_at) = resumed_at.filter(|resumed_at| *resumed_at > self.started) else {
            return self.started;
        };
        let missing = (self.held.len() - self.held.count()) as f64;
        let bytes = missing * self.manifest.chunk_bytes as f64;
        let origin = self.limits.origin_bytes_per_second.max(1) as f64;
        resumed_at + Duration::from_secs_f64(bytes / origin)
    }

    /// Recomputes how long gateways and owners may make no progress before others take over.
    pub(super) fn update_takeover_timeouts(&mut self) {
        let origin = self.limits.origin_bytes_per_second as f64;
        let chunk_seconds = self.manifest.chunk_bytes as f64 / self.link_bytes_per_second() as f64;
        let version_seconds = self.manifest.total_bytes as f64 / origin;
        let limits = self.limits;
        let timeout = |seconds: f64| {
            limits.scaled(Duration::from_secs_f64(TAKEOVER_TIMEOUT_FACTOR * seconds))
        };
        self.gateway_timeout = timeout(chunk_seconds).max(limits.scaled(MIN_TAKEOVER_TIMEOUT));
        // Reports from an owner may be as old as a round of polls through the region.
        let members = self
            .own_index
            .map_or(0, |own_index| self.plan.members(self.plan.region_of(own_index)).len());
        let round = limits.scaled(POLL_INTERVAL) * members.min(MAX_HOSTS_PER_POLL_ROUND) as u32;
        let poll_delay = POLL_ROUNDS * round;
        self.owner_timeout = timeout(version_seconds).max(self.gateway_timeout).max(poll_delay);
    }

    /// Time after which a fetch from the origin is slow compared with this host's last and running ones.
    fn slow_origin_threshold(&self, now: MonoTime) -> Duration {
        let running = self.in_flight.oldest_origin_fetch_age(now);
        self.sources.origin.last_fetch_time.max(running).mul_f64(SLOW_ORIGIN_FACTOR)
    }

    /// Number of hosts at the start of the order of takeover whose time to fetch `chunk` into this region
    /// has run out, judged by the arrival of later chunks, or by a sole holder that nobody fetched it from.
    /// Detects hosts with a narrowed link, which make progress, but too slowly.
    pub(super) fn lapsed_owners(&self, now: MonoTime, chunk: usize) -> usize {
        if !self.limits.is_urgent {
            return 0;
        }
        if let Some(seen) = self.first_seen[chunk] {
            let timeout = self.limits.scaled(SOLE_HOLDER_TIMEOUT);
            return if self.has_sole_holder(chunk) {
                elapsed_periods(now.since(seen), timeout)
            } else {
                0
            };
        }
        let later_seen = self.first_seen[chunk.saturating_sub(OVERTAKEN_LOOKBACK_CHUNKS)..]
            .iter()
            .flatten()
            .min();
        let Some(later_seen) = later_seen else {
            return 0;
        };
        let timeout =
            self.limits.scaled(OVERTAKEN_CHUNK_TIMEOUT).max(self.slow_origin_threshold(now));
        elapsed_periods(now.since((*later_seen).max(self.takeover_start())), timeout)
    }

    /// Whether at most one host of this region is known to hold `chunk`; it may be too slow to upload
    /// it. Never true in regions of two hosts or fewer.
    fn has_sole_holder(&self, chunk: usize) -> bool {
        let members = self
            .own_index
            .map_or(&[][..], |own_index| self.plan.members(self.plan.region_of(own_index)));
        let holds = |host: &&HostIndex| self.sources.hosts[**host].held.contains(chunk);
        members.len() > 2 && members.iter().filter(holds).take(2).count() < 2
    }
}

/// Number of whole `period`s in `span`.
fn elapsed_periods(span: Duration, period: Duration) -> usize {
    (span.as_micros() / period.as_micros().max(1)) as usize
}
