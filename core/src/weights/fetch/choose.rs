//! Which chunk is fetched next, and from whom.

use super::flights::ChunkFlight;
use super::{ChunkSource, FetchAction, FetchMachine, FetchOrder, POLL_INTERVAL, POLL_TIMEOUT};
use crate::prelude::*;
use crate::weights::plan::{HostIndex, KEPT_RANKS, RegionIndex, mix};

const ORIGIN_CHUNKS_AHEAD: usize = 6;
const ORIGIN_HASTE: f64 = 1.05;
const FETCHES_PER_PEER: u32 = 2;
const HOLDER_DRAWS: u64 = 4;
const LEAST_SHARE_PERCENT: u64 = 10;
/// Fetches within the region, slow ones included, for each that is to go on at once.
const MOST_ASKED_FACTOR: usize = 3;
/// Time after which a chunk is asked of a second host, too, if there is nothing else to ask for.
const SECOND_ASK_PATIENCE: Duration = Duration::from_secs(2);

/// What is asked of the hosts of the own region, most pressing first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerPass {
    /// Chunks that this host is the home of.
    Home,
    /// Other chunks.
    Any,
    /// Chunks that another host keeps this one waiting for.
    Second,
}

impl FetchMachine {
    /// Starts whatever may be started now.
    pub(super) fn fill(&mut self, now: MonoTime, actions: &mut Vec<FetchAction>) {
        let Some(me) = self.me else {
            return;
        };
        let region = self.plan.region_of(me);
        if region == self.plan.reader() {
            self.fill_origin(now, me, actions);
        } else {
            self.fill_lanes(now, me, actions);
        }
        self.fill_peers(now, me, actions);
        self.fill_poll(now, me, actions);
    }

    fn fill_origin(&mut self, now: MonoTime, me: HostIndex, actions: &mut Vec<FetchAction>) {
        if now.since(self.started) < self.limits.origin_delay {
            return;
        }
        while self.flights.origin_count() < self.limits.origin_fetches {
            if !self.peers.origin.is_ready(now) {
                return;
            }
            let due = self.origin_due(now);
            let duty = |chunk: &usize| {
                self.is_open(now, *chunk, None) && self.acting_home(now, *chunk, me) == Some(me)
            };
            let next = self.held.missing().take_while(|chunk| *chunk < due).find(duty);
            let Some(chunk) = next else {
                return;
            };
            self.begin(now, chunk, ChunkSource::Origin, None, actions);
        }
    }

    /// How many chunks, in order, may have been asked of the origin by now. All readers keep to it,
    /// so that the first chunks arrive early and the origin's allowance is kept without agreement.
    fn origin_due(&self, now: MonoTime) -> usize {
        let rate = self.limits.origin_bytes_per_second as f64 * ORIGIN_HASTE;
        let bytes = now.since(self.started).as_secs_f64() * rate;
        (bytes / self.manifest.chunk_bytes.max(1) as f64) as usize + ORIGIN_CHUNKS_AHEAD
    }

    fn fill_lanes(&mut self, now: MonoTime, me: HostIndex, actions: &mut Vec<FetchAction>) {
        let region = self.plan.region_of(me);
        for other in 0..self.plan.region_count() {
            if other == region || !self.lanes.is_free(other, now) {
                continue;
            }
            let Some(chunk) = self.lane_chunk(now, me, other) else {
                continue;
            };
            let Some(source) = self.lane_source(now, chunk, other) else {
                continue;
            };
            self.begin(now, chunk, source, Some(other), actions);
        }
    }

    /// The next chunk to bring over the link from `other`: one that the plan brings over it, else
    /// one that the plan brings over another link.
    fn lane_chunk(&self, now: MonoTime, me: HostIndex, other: RegionIndex) -> Option<usize> {
        let region = self.plan.region_of(me);
        let mine = |chunk: &usize| {
            self.is_open(now, *chunk, Some(other))
                && self.acting_gateway(now, *chunk, region, me) == Some(me)
        };
        let planned = |chunk: &usize| self.plan.source_region(*chunk, region) == Some(other);
        let next = self.held.missing().find(|chunk| planned(chunk) && mine(chunk));
        next.or_else(|| self.held.missing().find(mine))
    }

    fn lane_source(&self, now: MonoTime, chunk: usize, other: RegionIndex) -> Option<ChunkSource> {
        let unfit = |host: HostIndex| {
            self.peers.is_suspect(host, now)
                || self.flights.avoids(now, chunk, self.plan.name_of(host))
        };
        let lacks = |host: HostIndex| {
            unfit(host) || self.flights.passes_over(now, chunk, self.plan.name_of(host))
        };
        // A home whose chunk is overtaken here may be slow there.
        let overtaken = self.overtaken(now, chunk).min(KEPT_RANKS - 1);
        let later = self.plan.homes(chunk, other)[overtaken..].iter().copied();
        let home = later.into_iter().find(|host| !lacks(*host));
        let home = home.or_else(|| self.plan.home(chunk, other, lacks));
        match home.or_else(|| self.plan.home(chunk, other, unfit)) {
            Some(host) if self.peers.hosts[host].is_ready(now) => Some(self.peer(host)),
            Some(_) => None,
            None if other == self.plan.reader() => Some(ChunkSource::Origin),
            None => None,
        }
    }

    fn fill_peers(&mut self, now: MonoTime, me: HostIndex, actions: &mut Vec<FetchAction>) {
        let count = self.held.len();
        let patience = self.second_ask_patience();
        let slots = self.limits.peer_fetches.saturating_mul(self.spare_percent()) / 100;
        // Where all sources are slow, the host's own link is narrow, and live requests wait behind
        // each chunk that was asked for.
        let is_narrow = self.usual_time > patience;
        let slots = if is_narrow { 1 } else { slots.max(1) };
        let most = if is_narrow { 1 } else { slots * MOST_ASKED_FACTOR };
        let mut free = slots
            .saturating_sub(self.flights.peer_count(now, patience))
            .min(most.saturating_sub(self.flights.peer_count(now, Duration::MAX)));
        let offset = (self.draws % count.max(1) as u64) as usize;
        for pass in [PeerPass::Home, PeerPass::Any, PeerPass::Second] {
            for step in 0..count {
                if free == 0 {
                    return;
                }
                let chunk = (offset + step) % count;
                if self.held.contains(chunk) || !self.peers.is_known(chunk) {
                    continue;
                }
                if !self.is_in_pass(now, chunk, me, pass) {
                    continue;
                }
                let Some(holder) = self.holder(now, chunk, me) else {
                    continue;
                };
                self.begin(now, chunk, self.peer(holder), None, actions);
                free -= 1;
            }
        }
    }

    fn is_in_pass(&self, now: MonoTime, chunk: usize, me: HostIndex, pass: PeerPass) -> bool {
        match pass {
            PeerPass::Home => {
                self.plan.homes(chunk, self.plan.region_of(me))[0] == me
                    && self.is_open(now, chunk, None)
            }
            PeerPass::Any => self.is_open(now, chunk, None),
            PeerPass::Second => {
                self.may_retry(now, chunk, None)
                    && self.flights.may_ask_second(now, chunk, self.second_ask_patience())
            }
        }
    }

    /// Time after which a fetch within the region is slow; none is where there is no hurry.
    fn second_ask_patience(&self) -> Duration {
        match self.limits.is_urgent {
            true => self.limits.paced(SECOND_ASK_PATIENCE),
            false => Duration::MAX,
        }
    }

    /// A host of the own region that is known to hold `chunk` and has few fetches of this host.
    fn holder(&self, now: MonoTime, chunk: usize, me: HostIndex) -> Option<HostIndex> {
        let region = self.plan.region_of(me);
        let members = self.plan.members(region);
        let key = self.draws ^ mix(chunk as u64 ^ (now.as_micros() / 1_000_000));
        let drawn = (0..HOLDER_DRAWS).map(|draw| {
            let at = mix(key.wrapping_add(draw)) % members.len() as u64;
            members[at as usize]
        });
        let homes = self.plan.homes(chunk, region).iter().copied();
        let gateway = self.plan.gateway(chunk, region, |host| self.peers.is_suspect(host, now));
        let gateway = gateway.filter(|_| region != self.plan.reader());
        let fit = |host: &HostIndex| {
            let record = &self.peers.hosts[*host];
            record.known.contains(chunk)
                && *host != me
                && record.is_ready(now)
                && record.in_flight < FETCHES_PER_PEER
                && !self.flights.avoids(now, chunk, self.plan.name_of(*host))
                && !self.flights.is_asked(chunk, self.plan.name_of(*host))
                && (!self.plan.is_gateway(*host) || self.may_ask_gateway(now, chunk, *host, me))
        };
        let candidates = drawn.chain(homes).chain(gateway);
        let cost = |host: &HostIndex| self.peers.hosts[*host].expected_time();
        candidates.filter(fit).min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Whether `chunk` may be asked from a gateway: by the home, and by all if the gateway is the
    /// home.
    fn may_ask_gateway(
        &self,
        now: MonoTime,
        chunk: usize,
        gateway: HostIndex,
        me: HostIndex,
    ) -> bool {
        let home = self.acting_home(now, chunk, me);
        home == Some(me) || home == Some(gateway)
    }

    fn fill_poll(&mut self, now: MonoTime, me: HostIndex, actions: &mut Vec<FetchAction>) {
        if self.polling.is_some() || now < self.next_poll {
            return;
        }
        self.polls += 1;
        let Some(target) = self.poll_target(now, me) else {
            self.next_poll = now + self.limits.paced(POLL_INTERVAL);
            return;
        };
        let name = self.plan.name_of(target).clone();
        self.polling = Some((name.clone(), now + self.limits.paced(POLL_TIMEOUT)));
        actions.push(FetchAction::Poll(name));
    }

    /// The host to ask what it holds: in turn the gateway and the home of a missing chunk, a host
    /// whose chunks this one takes over, and any host of the region.
    fn poll_target(&self, now: MonoTime, me: HostIndex) -> Option<HostIndex> {
        let region = self.plan.region_of(me);
        let key = mix(self.draws ^ self.polls);
        let missing = self.held.missing().nth(key as usize % (self.held.len() - self.held.count()));
        let missing = missing?;
        let suspect = |host| self.peers.is_suspect(host, now);
        let useful = |host: &HostIndex| {
            *host != me && !suspect(*host) && !self.peers.hosts[*host].known.is_full()
        };
        let first = match self.polls % 4 {
            0 => self.plan.gateway(missing, region, suspect),
            1 => self.predecessor(key, me, region),
            2 => self.plan.home(missing, region, suspect),
            _ => None,
        };
        first.filter(useful).or_else(|| {
            let members = self.plan.members(region);
            let draw = |at: u64| members[(mix(key ^ at) % members.len() as u64) as usize];
            (1..=HOLDER_DRAWS).map(draw).find(useful)
        })
    }

    /// The home of a missing chunk that this host takes over if the home fails.
    fn predecessor(&self, key: u64, me: HostIndex, region: RegionIndex) -> Option<HostIndex> {
        let next_in_order = |chunk: &usize| self.plan.homes(*chunk, region)[1..].contains(&me);
        let chunks: Vec<usize> = self.held.missing().filter(next_in_order).collect();
        let chunk = chunks.get(key as usize % chunks.len().max(1))?;
        Some(self.plan.homes(*chunk, region)[0])
    }

    fn begin(
        &mut self,
        now: MonoTime,
        chunk: usize,
        source: ChunkSource,
        lane: Option<RegionIndex>,
        actions: &mut Vec<FetchAction>,
    ) {
        let length = self.manifest.chunk_len(chunk);
        let rate = lane.map(|_| self.lane_rate());
        if let (Some(region), Some(rate)) = (lane, rate) {
            let span = Duration::from_secs_f64(length as f64 / rate as f64);
            self.lanes.begun(now, region, span);
        }
        let Some(record) = self.record_mut(&source) else {
            return;
        };
        record.in_flight += 1;
        let mut stall_timeout = record.stall_timeout(length);
        if let Some(rate) = rate {
            stall_timeout =
                stall_timeout.max(Duration::from_secs_f64(0.5 * length as f64 / rate as f64));
        }
        let flight = ChunkFlight {
            ticket: 0,
            chunk,
            source: source.clone(),
            lane,
            started: now,
            deadline: now + stall_timeout,
            stall_timeout,
            bytes: 0,
        };
        let ticket = self.flights.add(flight);
        let order = FetchOrder { ticket, chunk, source, bytes_per_second: rate };
        actions.push(FetchAction::Fetch(order));
    }

    /// This gateway's part of a region pair's allowance.
    pub(super) fn lane_rate(&self) -> u64 {
        let region = self.me.map_or(0, |me| self.plan.region_of(me));
        let gateways = self.plan.gateway_count(region).max(1) as u64;
        let part = self.limits.region_pair_bytes_per_second / gateways;
        (part * self.spare_percent() as u64 / 100).max(1)
    }

    /// What live requests leave of the host, in percent.
    fn spare_percent(&self) -> usize {
        usize::from(100 - self.live_percent).max(LEAST_SHARE_PERCENT as usize)
    }

    /// Whether `chunk`, which is missing, may be asked for over the link from `lane`, or within the
    /// region if none: it is not in flight, and the same link did not fail it a moment ago.
    fn is_open(&self, now: MonoTime, chunk: usize, lane: Option<RegionIndex>) -> bool {
        self.may_retry(now, chunk, lane) && !self.flights.holds_chunk(chunk)
    }

    /// Whether the link did not fail `chunk` a moment ago.
    fn may_retry(&self, now: MonoTime, chunk: usize, lane: Option<RegionIndex>) -> bool {
        let (retry_at, failed_lane) = self.retries[chunk];
        retry_at <= now || failed_lane != lane
    }

    fn peer(&self, host: HostIndex) -> ChunkSource {
        ChunkSource::Peer(self.plan.name_of(host).clone())
    }
}
