//! What a host knows of the sources of chunks.

use super::{CORRUPT_LIMIT, FetchFailure, FetchLimits};
use crate::prelude::*;
use crate::weights::ChunkSet;
use crate::weights::plan::{HostIndex, SpreadPlan};

const FIRST_SUSPICION: Duration = Duration::from_secs(2);
const LONGEST_SUSPICION: Duration = Duration::from_secs(64);
/// The same for the origin, which nobody stands in for.
const LONGEST_ORIGIN_SUSPICION: Duration = Duration::from_secs(4);
const BUSY_PAUSE: Duration = Duration::from_millis(200);
const PEER_SHUN_TIME: Duration = Duration::from_secs(600);
const ORIGIN_SHUN_TIME: Duration = Duration::from_secs(2);
const SHORTEST_STALL: Duration = Duration::from_secs(2);
const LONGEST_STALL: Duration = Duration::from_secs(20);
/// A fetch has stalled if nothing arrives in the time of this part of a chunk at the rate seen.
const STALL_PART: f64 = 0.5;
const RATE_MEMORY: f64 = 0.7;

/// What is known of one source.
#[derive(Debug, Clone)]
pub(super) struct SourceRecord {
    pub known: ChunkSet,
    pub in_flight: u32,
    pub corrupt: u32,
    /// When the source last told of a chunk that it had not told of before.
    pub progressed: MonoTime,
    /// How long the last fetch took.
    pub last_took: Duration,
    failures: u32,
    suspect_until: MonoTime,
    busy_until: MonoTime,
    bytes_per_second: f64,
    shun_time: Duration,
    longest_suspicion: Duration,
    limits: FetchLimits,
}

impl SourceRecord {
    fn new(chunks: usize, bytes_per_second: u64, limits: &FetchLimits, now: MonoTime) -> Self {
        Self {
            known: ChunkSet::new(chunks),
            in_flight: 0,
            corrupt: 0,
            progressed: now,
            last_took: Duration::ZERO,
            failures: 0,
            suspect_until: MonoTime::ZERO,
            busy_until: MonoTime::ZERO,
            bytes_per_second: bytes_per_second as f64,
            shun_time: PEER_SHUN_TIME,
            longest_suspicion: LONGEST_SUSPICION,
            limits: *limits,
        }
    }

    /// Whether the source failed lately or sends corrupt chunks.
    pub fn is_suspect(&self, now: MonoTime) -> bool {
        now < self.suspect_until
    }

    /// Whether the source may be asked for a chunk now.
    pub fn is_ready(&self, now: MonoTime) -> bool {
        now >= self.suspect_until && now >= self.busy_until
    }

    /// How long nothing may arrive before a fetch of `length` bytes has stalled.
    pub fn stall_timeout(&self, length: u64) -> Duration {
        let seconds = STALL_PART * length as f64 / self.bytes_per_second.max(1.0);
        let stall = Duration::from_secs_f64(seconds.min(LONGEST_STALL.as_secs_f64()));
        stall.max(self.limits.paced(SHORTEST_STALL)).max(self.limits.least_stall)
    }

    /// How long a fetch from the source is expected to take, beside others of the same host, in
    /// seconds for each byte.
    pub fn expected_time(&self) -> f64 {
        f64::from(self.in_flight + 1) / self.bytes_per_second.max(1.0)
    }

    pub fn succeeded(&mut self, now: MonoTime, length: u64, took: Duration) {
        self.last_took = took;
        let rate = length as f64 / took.as_secs_f64().max(1e-6);
        self.bytes_per_second = RATE_MEMORY * self.bytes_per_second + (1.0 - RATE_MEMORY) * rate;
        self.trust(now);
    }

    pub fn told(&mut self, now: MonoTime, chunks: ChunkSet) {
        if chunks.count() > self.known.count() {
            self.progressed = now;
        }
        self.known = chunks;
        // An answer about chunks does not show that chunks arrive: only some trust comes back.
        self.failures /= 2;
    }

    pub fn corrupted(&mut self, now: MonoTime) {
        self.corrupt += 1;
        if self.corrupt >= CORRUPT_LIMIT {
            self.suspect_until = now + self.shun_time;
        }
    }

    pub fn failed(&mut self, now: MonoTime, failure: FetchFailure, chunk: usize) {
        match failure {
            FetchFailure::NotHere => {
                if self.known.contains(chunk) {
                    self.known = ChunkSet::new(self.known.len());
                }
                self.trust(now);
            }
            FetchFailure::Busy => self.busy_until = now + self.limits.paced(BUSY_PAUSE),
            FetchFailure::Cut | FetchFailure::Unreachable => self.suspect(now),
        }
    }

    fn suspect(&mut self, now: MonoTime) {
        let span = FIRST_SUSPICION * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.suspect_until =
            self.suspect_until.max(now + self.limits.paced(span.min(self.longest_suspicion)));
    }

    fn trust(&mut self, now: MonoTime) {
        self.failures = 0;
        if self.corrupt < CORRUPT_LIMIT {
            self.suspect_until = self.suspect_until.min(now);
        }
    }
}

/// What is known of the origin and of every host of the plan.
#[derive(Debug)]
pub(super) struct PeerLedger {
    pub origin: SourceRecord,
    pub hosts: Vec<SourceRecord>,
    known: ChunkSet,
}

impl PeerLedger {
    pub fn new(plan: &SpreadPlan, chunks: usize, limits: &FetchLimits, now: MonoTime) -> Self {
        let record = SourceRecord::new(chunks, limits.host_bytes_per_second, limits, now);
        let mut origin = SourceRecord::new(0, limits.origin_bytes_per_second, limits, now);
        origin.shun_time = ORIGIN_SHUN_TIME;
        origin.longest_suspicion = LONGEST_ORIGIN_SUSPICION;
        let hosts = vec![record; plan.hosts().len()];
        Self { origin, hosts, known: ChunkSet::new(chunks) }
    }

    /// Takes over what an older plan's ledger knew of `host`, but for the fetches in flight.
    pub fn adopt(&mut self, host: HostIndex, record: &SourceRecord) {
        self.known.insert_all(&record.known);
        self.hosts[host] = SourceRecord { in_flight: 0, ..record.clone() };
    }

    /// Takes in what `host` told.
    pub fn told(&mut self, now: MonoTime, host: HostIndex, chunks: ChunkSet) {
        self.known.insert_all(&chunks);
        self.hosts[host].told(now, chunks);
    }

    /// Whether any host ever told that it holds `chunk`.
    pub fn is_known(&self, chunk: usize) -> bool {
        self.known.contains(chunk)
    }

    pub fn is_suspect(&self, host: HostIndex, now: MonoTime) -> bool {
        self.hosts[host].is_suspect(now)
    }
}
