//! Selects the next chunks to fetch, their sources, and the peers to poll.

use super::in_flight::InFlightFetch;
use super::{ChunkFetch, ChunkSource, FetchAction, FetchMachine, POLL_INTERVAL, POLL_TIMEOUT};
use crate::prelude::*;
use crate::weights::plan::{HostIndex, OWNER_CANDIDATES, RegionIndex, mix};

/// Chunks that the origin may be asked for ahead of its paced schedule.
const ORIGIN_CHUNKS_AHEAD: usize = 6;
/// Pace of requests to the origin, as a multiple of the origin's allowance.
const ORIGIN_RATE_FACTOR: f64 = 1.05;
/// Maximum concurrent fetches from one host of the region.
const MAX_FETCHES_PER_PEER: u32 = 2;
/// Random hosts considered as a source or as the peer to poll.
const HOLDER_SAMPLES: u64 = 4;
/// Share of the fetch limits that is left even if live requests take the whole host.
const MIN_SPARE_PERCENT: u64 = 10;
/// Maximum fetches in flight within the region, slow ones included, per fetch slot.
const MAX_PEER_FETCHES_FACTOR: usize = 3;
/// Time after which a slow fetch is hedged: the chunk is also requested from a second host. Chunks
/// that are not in flight come first.
const HEDGE_DELAY: Duration = Duration::from_secs(2);

/// Passes over the missing chunks when fetching from hosts of the same region, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FetchPass {
    /// Chunks that this host owns.
    Owned,
    /// All chunks that are not in flight.
    Any,
    /// Chunks whose only fetch is slow.
    Hedge,
}

impl FetchMachine {
    /// Starts all fetches, and the poll, that may start now.
    pub(super) fn start_fetches(&mut self, now: MonoTime, actions: &mut Vec<FetchAction>) {
        let Some(own_index) = self.own_index else {
            return;
        };
        let region = self.plan.region_of(own_index);
        match region == self.plan.reader_region() {
            _ if !self.share.imports => {}
            true => self.start_origin_fetches(now, own_index, actions),
            false => self.start_cross_region_fetches(now, own_index, actions),
        }
        if self.share.has_precedence {
            self.start_peer_fetches(now, own_index, actions);
        }
        self.start_poll(now, own_index, actions);
    }

    fn start_origin_fetches(
        &mut self,
        now: MonoTime,
        own_index: HostIndex,
        actions: &mut Vec<FetchAction>,
    ) {
        if now.since(self.started) < self.limits.origin_delay {
            return;
        }
        while self.in_flight.origin_count() < self.limits.max_origin_fetches {
            if !self.sources.origin.is_ready(now) {
                return;
            }
            let limit = self.origin_chunk_limit(now);
            let is_assigned = |chunk: &usize| {
                self.may_fetch(now, *chunk, None)
                    && self.acting_owner(now, *chunk, own_index) == Some(own_index)
            };
            let next = self.held.missing().take_while(|chunk| *chunk < limit).find(is_assigned);
            let Some(chunk) = next else {
                return;
            };
            self.start_fetch(now, chunk, ChunkSource::Origin, None, actions);
        }
    }

    /// Number of chunks, in manifest order, that may have been requested from the origin by now. All
    /// hosts that read the origin follow this schedule, so that the first chunks arrive early and the
    /// origin's allowance is kept without coordination.
    ///
    /// While the origin does not answer, only the hosts whose chunks are due next try it. If all tried,
    /// it would send all chunks at once when it is back, and the first would arrive with the last.
    fn origin_chunk_limit(&self, now: MonoTime) -> usize {
        if self.limits.is_urgent && self.sources.origin.is_failing() {
            return self.first_missing_in_region() + ORIGIN_CHUNKS_AHEAD;
        }
        let rate = self.limits.origin_bytes_per_second as f64 * ORIGIN_RATE_FACTOR;
        let bytes = now.since(self.origin_schedule_start).as_secs_f64() * rate;
        let due = (bytes / self.manifest.chunk_bytes.max(1) as f64) as usize;
        due.max(self.first_missing_in_region()) + ORIGIN_CHUNKS_AHEAD
    }

    fn start_cross_region_fetches(
        &mut self,
        now: MonoTime,
        own_index: HostIndex,
        actions: &mut Vec<FetchAction>,
    ) {
        let region = self.plan.region_of(own_index);
        for other in 0..self.plan.region_count() {
            if other == region || !self.links.is_free(other, now) {
                continue;
            }
            let Some(chunk) = self.next_remote_chunk(now, own_index, other) else {
                continue;
            };
            let Some(source) = self.remote_source(now, chunk, other) else {
                continue;
            };
            self.start_fetch(now, chunk, source, Some(other), actions);
        }
    }

    /// The next chunk to fetch from the region `other`: one that the plan assigns to this link, else
    /// one assigned to another link.
    fn next_remote_chunk(
        &self,
        now: MonoTime,
        own_index: HostIndex,
        other: RegionIndex,
    ) -> Option<usize> {
        let region = self.plan.region_of(own_index);
        let is_assigned = |chunk: &usize| {
            self.may_fetch(now, *chunk, Some(other))
                && self.acting_gateway(now, *chunk, region, own_index) == Some(own_index)
        };
        let is_planned = |chunk: &usize| self.plan.source_region(*chunk, region) == Some(other);
        let next = self.held.missing().find(|chunk| is_planned(chunk) && is_assigned(chunk));
        next.or_else(|| self.held.missing().find(is_assigned))
    }

    /// The host of region `other` to fetch `chunk` from, or the origin if all hosts there are
    /// unusable or failed repeatedly and the region reads it. `None` if the selected source is in
    /// back-off.
    fn remote_source(
        &self,
        now: MonoTime,
        chunk: usize,
        other: RegionIndex,
    ) -> Option<ChunkSource> {
        let is_unusable = |host: HostIndex| {
            self.sources.is_suspect(host, now)
                || self.in_flight.is_avoided(now, chunk, self.plan.host_name(host))
        };
        let is_deferred = |host: HostIndex| {
            is_unusable(host) || self.in_flight.is_deferred(now, chunk, self.plan.host_name(host))
        };
        // Where owners of the chunk have lapsed in this region, those of the other may be slow, too.
        let lapsed_owners = self.lapsed_owners(now, chunk).min(OWNER_CANDIDATES - 1);
        let later = self.plan.owner_candidates(chunk, other)[lapsed_owners..].iter().copied();
        let owner = later.into_iter().find(|host| !is_deferred(*host));
        let owner = owner.or_else(|| self.plan.owner(chunk, other, is_deferred));
        let owner = owner.or_else(|| self.plan.owner(chunk, other, is_unusable));
        let reads_origin = other == self.plan.reader_region();
        let is_failing = owner.is_none_or(|host| self.sources.hosts[host].fails_repeatedly());
        if is_failing && reads_origin && self.sources.origin.is_ready(now) {
            return Some(ChunkSource::Origin);
        }
        match owner {
            Some(host) if self.sources.hosts[host].is_ready(now) => Some(self.peer_source(host)),
            Some(_) => None,
            None if reads_origin => Some(ChunkSource::Origin),
            None => None,
        }
    }

    fn start_peer_fetches(
        &mut self,
        now: MonoTime,
        own_index: HostIndex,
        actions: &mut Vec<FetchAction>,
    ) {
        let count = self.held.len();
        let hedge_delay = self.hedge_delay();
        let slots = self.limits.max_peer_fetches.saturating_mul(self.spare_percent()) / 100;
        // If fetches are slow on average, the host's own link is narrow, and live requests queue
        // behind each chunk in flight.
        let is_narrow = self.mean_fetch_time > hedge_delay;
        let slots = if is_narrow { 1 } else { slots.max(1) };
        let max_in_flight = if is_narrow { 1 } else { slots * MAX_PEER_FETCHES_FACTOR };
        let mut free = slots
            .saturating_sub(self.in_flight.peer_count(now, hedge_delay))
            .min(max_in_flight.saturating_sub(self.in_flight.peer_count(now, Duration::MAX)));
        let offset = (self.random_key % count.max(1) as u64) as usize;
        for pass in [FetchPass::Owned, FetchPass::Any, FetchPass::Hedge] {
            for step in 0..count {
                if free == 0 {
                    return;
                }
                let chunk = (offset + step) % count;
                if self.held.contains(chunk) || !self.sources.was_announced(chunk) {
                    continue;
                }
                if !self.is_in_pass(now, chunk, own_index, pass) {
                    continue;
                }
                let Some(holder) = self.holder(now, chunk, own_index) else {
                    continue;
                };
                self.start_fetch(now, chunk, self.peer_source(holder), None, actions);
                free -= 1;
            }
        }
    }

    fn is_in_pass(
        &self,
        now: MonoTime,
        chunk: usize,
        own_index: HostIndex,
        pass: FetchPass,
    ) -> bool {
        match pass {
            FetchPass::Owned => {
                self.plan.owner_candidates(chunk, self.plan.region_of(own_index))[0] == own_index
                    && self.may_fetch(now, chunk, None)
            }
            FetchPass::Any => self.may_fetch(now, chunk, None),
            FetchPass::Hedge => {
                self.may_retry(now, chunk, None)
                    && self.in_flight.may_hedge(now, chunk, self.hedge_delay())
            }
        }
    }

    /// Time after which a fetch within the region is slow and may be hedged; without a limit unless
    /// the version is urgent.
    fn hedge_delay(&self) -> Duration {
        match self.limits.is_urgent {
            true => self.limits.scaled(HEDGE_DELAY),
            false => Duration::MAX,
        }
    }

    /// The host of this region to fetch `chunk` from: of the usable candidates known to hold it, the
    /// one expected to deliver soonest.
    fn holder(&self, now: MonoTime, chunk: usize, own_index: HostIndex) -> Option<HostIndex> {
        let region = self.plan.region_of(own_index);
        let members = self.plan.members(region);
        let key = self.random_key ^ mix(chunk as u64 ^ (now.as_micros() / 1_000_000));
        let sampled = (0..HOLDER_SAMPLES).map(|sample| {
            let position = mix(key.wrapping_add(sample)) % members.len() as u64;
            members[position as usize]
        });
        let owner_candidates = self.plan.owner_candidates(chunk, region).iter().copied();
        let gateway = self.plan.gateway(chunk, region, |host| self.sources.is_suspect(host, now));
        let gateway = gateway.filter(|_| region != self.plan.reader_region());
        let is_usable = |host: &HostIndex| {
            let record = &self.sources.hosts[*host];
            record.held.contains(chunk)
                && *host != own_index
                && record.is_ready(now)
                && record.in_flight < MAX_FETCHES_PER_PEER
                && !self.in_flight.is_avoided(now, chunk, self.plan.host_name(*host))
                && !self.in_flight.is_fetching_from(chunk, self.plan.host_name(*host))
                && (!self.plan.is_gateway(*host)
                    || self.may_fetch_from_gateway(now, chunk, *host, own_index))
        };
        let candidates = sampled.chain(owner_candidates).chain(gateway);
        let cost = |host: &HostIndex| self.sources.hosts[*host].expected_seconds_per_byte();
        candidates.filter(is_usable).min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Whether this host may fetch `chunk` from `gateway`: only the acting owner may, or every host if
    /// the gateway is the owner. Gateways already upload more than other hosts.
    fn may_fetch_from_gateway(
        &self,
        now: MonoTime,
        chunk: usize,
        gateway: HostIndex,
        own_index: HostIndex,
    ) -> bool {
        let owner = self.acting_owner(now, chunk, own_index);
        owner == Some(own_index) || owner == Some(gateway)
    }

    fn start_poll(&mut self, now: MonoTime, own_index: HostIndex, actions: &mut Vec<FetchAction>) {
        if self.pending_poll.is_some() || now < self.next_poll {
            return;
        }
        self.poll_count += 1;
        let Some(peer) = self.poll_peer(now, own_index) else {
            self.next_poll = now + self.limits.scaled(POLL_INTERVAL);
            return;
        };
        let name = self.plan.host_name(peer).clone();
        self.pending_poll = Some((name.clone(), now + self.limits.scaled(POLL_TIMEOUT)));
        actions.push(FetchAction::Poll(name));
    }

    /// The peer to poll for the chunks that it holds: in turn the gateway of a missing chunk, a host
    /// that this one would take over from, the owner of a missing chunk, and a random host.
    fn poll_peer(&self, now: MonoTime, own_index: HostIndex) -> Option<HostIndex> {
        let region = self.plan.region_of(own_index);
        let key = mix(self.random_key ^ self.poll_count);
        let missing = self.held.missing().nth(key as usize % (self.held.len() - self.held.count()));
        let missing = missing?;
        let is_suspect = |host| self.sources.is_suspect(host, now);
        let is_useful = |host: &HostIndex| {
            *host != own_index && !is_suspect(*host) && !self.sources.hosts[*host].held.is_full()
        };
        let preferred = match self.poll_count % 4 {
            0 => self.plan.gateway(missing, region, is_suspect),
            1 => self.preceding_owner(key, own_index, region),
            2 => self.plan.owner(missing, region, is_suspect),
            _ => None,
        };
        preferred.filter(is_useful).or_else(|| {
            let members = self.plan.members(region);
            let sample = |step: u64| members[(mix(key ^ step) % members.len() as u64) as usize];
            (1..=HOLDER_SAMPLES).map(sample).find(is_useful)
        })
    }

    /// The owner of a missing chunk that this host takes over if the owner fails.
    fn preceding_owner(
        &self,
        key: u64,
        own_index: HostIndex,
        region: RegionIndex,
    ) -> Option<HostIndex> {
        let is_fallback =
            |chunk: &usize| self.plan.owner_candidates(*chunk, region)[1..].contains(&own_index);
        let chunks: Vec<usize> = self.held.missing().filter(is_fallback).collect();
        let chunk = chunks.get(key as usize % chunks.len().max(1))?;
        Some(self.plan.owner_candidates(*chunk, region)[0])
    }

    fn start_fetch(
        &mut self,
        now: MonoTime,
        chunk: usize,
        source: ChunkSource,
        remote_region: Option<RegionIndex>,
        actions: &mut Vec<FetchAction>,
    ) {
        let length = self.manifest.chunk_len(chunk);
        let rate = remote_region.map(|_| self.link_bytes_per_second());
        if let (Some(region), Some(rate)) = (remote_region, rate) {
            let transfer_time = Duration::from_secs_f64(length as f64 / rate as f64);
            self.links.fetch_started(now, region, transfer_time);
        }
        let Some(record) = self.source_record_mut(&source) else {
            return;
        };
        record.in_flight += 1;
        let mut stall_timeout = record.stall_timeout(length);
        if let Some(rate) = rate {
            stall_timeout =
                stall_timeout.max(Duration::from_secs_f64(0.5 * length as f64 / rate as f64));
        }
        let fetch = InFlightFetch {
            id: 0,
            chunk,
            source: source.clone(),
            remote_region,
            started: now,
            deadline: now + stall_timeout,
            stall_timeout,
            bytes: 0,
        };
        let id = self.in_flight.add(fetch);
        let chunk_fetch = ChunkFetch { id, chunk, source, bytes_per_second: rate };
        actions.push(FetchAction::Fetch(chunk_fetch));
    }

    /// This gateway's share of the allowance of a region pair, in bytes per second.
    pub(super) fn link_bytes_per_second(&self) -> u64 {
        let region = self.own_index.map_or(0, |own_index| self.plan.region_of(own_index));
        let gateways = self.plan.gateway_count(region).max(1) as u64;
        let share = self.limits.region_pair_bytes_per_second / gateways;
        (share * self.spare_percent() as u64 / 100).max(1)
    }

    /// Share of the host that live requests leave to fetches, in percent.
    fn spare_percent(&self) -> usize {
        usize::from(100 - self.live_load_percent).max(MIN_SPARE_PERCENT as usize)
    }

    /// Whether the missing `chunk` may be fetched from `remote_region`, or within this region if `None`:
    /// it is not in flight, and did not just fail on the same link.
    fn may_fetch(&self, now: MonoTime, chunk: usize, remote_region: Option<RegionIndex>) -> bool {
        self.may_retry(now, chunk, remote_region) && !self.in_flight.contains_chunk(chunk)
    }

    /// Whether `chunk` has not just failed on the same link.
    fn may_retry(&self, now: MonoTime, chunk: usize, remote_region: Option<RegionIndex>) -> bool {
        let (retry_at, failed_region) = self.retry_holdoffs[chunk];
        retry_at <= now || failed_region != remote_region
    }

    fn peer_source(&self, host: HostIndex) -> ChunkSource {
        ChunkSource::Peer(self.plan.host_name(host).clone())
    }
}
