//! Per-source state: chunks held, transfer rate, failures and back-off.

use super::{CORRUPT_CHUNKS_BEFORE_BAN, FetchFailure, FetchLimits};
use crate::prelude::*;
use crate::weights::ChunkSet;
use crate::weights::plan::{DistributionPlan, HostIndex};

/// Time for which a source is suspect after the first failure in a row; it doubles with each further
/// one.
const INITIAL_SUSPECT_TIME: Duration = Duration::from_secs(2);
/// Failures in a row after which a source is used only if there is no better one.
const REPEATED_FAILURES: u32 = 2;
const MAX_SUSPECT_TIME: Duration = Duration::from_secs(64);
/// Short, because no other source can replace the origin.
const MAX_ORIGIN_SUSPECT_TIME: Duration = Duration::from_secs(4);
/// Back-off after a source had no free upload slot.
const BUSY_BACKOFF: Duration = Duration::from_millis(200);
/// Time for which a host is not used after [`CORRUPT_CHUNKS_BEFORE_BAN`] corrupt chunks.
const PEER_BAN_TIME: Duration = Duration::from_secs(600);
/// The same for the origin, which no other source can replace.
const ORIGIN_BAN_TIME: Duration = Duration::from_secs(2);
/// Lower bound of the stall timeout, subject to [`FetchLimits::time_scale_percent`].
const MIN_SCALED_STALL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// A fetch has stalled if nothing arrives for the time that this fraction of a chunk takes at the
/// source's measured rate.
const STALL_CHUNK_FRACTION: f64 = 0.5;
/// Weight of the previous value in the moving average of a source's transfer rate.
const RATE_EWMA_DECAY: f64 = 0.7;

/// State of one source.
#[derive(Debug, Clone)]
pub(super) struct SourceRecord {
    /// Chunks that the source last reported to hold.
    pub held: ChunkSet,
    /// Fetches from the source in flight.
    pub in_flight: u32,
    /// Corrupt chunks received from the source.
    pub corrupt: u32,
    /// When the source last reported more chunks than before.
    pub last_progress: MonoTime,
    /// Duration of the last successful fetch.
    pub last_fetch_time: Duration,
    failures: u32,
    suspect_until: MonoTime,
    busy_until: MonoTime,
    bytes_per_second: f64,
    ban_time: Duration,
    max_suspect_time: Duration,
    limits: FetchLimits,
}

impl SourceRecord {
    fn new(chunks: usize, bytes_per_second: u64, limits: &FetchLimits, now: MonoTime) -> Self {
        Self {
            held: ChunkSet::new(chunks),
            in_flight: 0,
            corrupt: 0,
            last_progress: now,
            last_fetch_time: Duration::ZERO,
            failures: 0,
            suspect_until: MonoTime::ZERO,
            busy_until: MonoTime::ZERO,
            bytes_per_second: bytes_per_second as f64,
            ban_time: PEER_BAN_TIME,
            max_suspect_time: MAX_SUSPECT_TIME,
            limits: *limits,
        }
    }

    /// Whether the source recently failed or sent corrupt chunks.
    pub fn is_suspect(&self, now: MonoTime) -> bool {
        now < self.suspect_until
    }

    /// Whether the source may be asked for a chunk: it is neither suspect nor busy.
    pub fn is_ready(&self, now: MonoTime) -> bool {
        now >= self.suspect_until && now >= self.busy_until
    }

    /// Whether the last fetches and polls of the source failed, several in a row.
    pub fn fails_repeatedly(&self) -> bool {
        self.failures >= REPEATED_FAILURES
    }

    /// Time without progress after which a fetch of `length` bytes counts as stalled.
    pub fn stall_timeout(&self, length: u64) -> Duration {
        let seconds = STALL_CHUNK_FRACTION * length as f64 / self.bytes_per_second.max(1.0);
        let timeout = Duration::from_secs_f64(seconds.min(MAX_STALL_TIMEOUT.as_secs_f64()));
        timeout.max(self.limits.scaled(MIN_SCALED_STALL_TIMEOUT)).max(self.limits.min_stall_timeout)
    }

    /// Expected duration of a further fetch from the source, in seconds per byte, if it shares the
    /// source's rate equally with those in flight.
    pub fn expected_seconds_per_byte(&self) -> f64 {
        f64::from(self.in_flight + 1) / self.bytes_per_second.max(1.0)
    }

    pub fn succeeded(&mut self, now: MonoTime, length: u64, took: Duration) {
        self.last_fetch_time = took;
        let rate = length as f64 / took.as_secs_f64().max(1e-6);
        self.bytes_per_second =
            RATE_EWMA_DECAY * self.bytes_per_second + (1.0 - RATE_EWMA_DECAY) * rate;
        self.clear_suspect(now);
    }

    pub fn update_held(&mut self, now: MonoTime, chunks: ChunkSet) {
        if chunks.count() > self.held.count() {
            self.last_progress = now;
        }
        self.held = chunks;
        // An answered poll does not prove that chunks arrive, so it only halves the failure count.
        self.failures /= 2;
    }

    /// Whether the last fetch from the source failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Lets the source be asked at once, because others have reached it.
    pub fn end_backoff(&mut self, now: MonoTime) {
        self.failures = 0;
        self.suspect_until = self.suspect_until.min(now);
    }

    pub fn corrupted(&mut self, now: MonoTime) {
        self.corrupt += 1;
        if self.corrupt >= CORRUPT_CHUNKS_BEFORE_BAN {
            self.suspect_until = now + self.ban_time;
        }
    }

    pub fn failed(&mut self, now: MonoTime, failure: FetchFailure, chunk: usize) {
        match failure {
            FetchFailure::NotHere => {
                if self.held.contains(chunk) {
                    self.held = ChunkSet::new(self.held.len());
                }
                self.clear_suspect(now);
            }
            FetchFailure::Busy => self.busy_until = now + self.limits.scaled(BUSY_BACKOFF),
            FetchFailure::Cut | FetchFailure::Unreachable => self.mark_suspect(now),
        }
    }

    fn mark_suspect(&mut self, now: MonoTime) {
        let backoff = INITIAL_SUSPECT_TIME * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.suspect_until =
            self.suspect_until.max(now + self.limits.scaled(backoff.min(self.max_suspect_time)));
    }

    fn clear_suspect(&mut self, now: MonoTime) {
        self.failures = 0;
        if self.corrupt < CORRUPT_CHUNKS_BEFORE_BAN {
            self.suspect_until = self.suspect_until.min(now);
        }
    }
}

/// State of the origin and of every host of the plan.
#[derive(Debug)]
pub(super) struct SourceTable {
    pub origin: SourceRecord,
    pub hosts: Vec<SourceRecord>,
    /// Chunks that any host has ever reported to hold.
    announced: ChunkSet,
}

impl SourceTable {
    pub fn new(
        plan: &DistributionPlan,
        chunks: usize,
        limits: &FetchLimits,
        now: MonoTime,
    ) -> Self {
        let record = SourceRecord::new(chunks, limits.host_bytes_per_second, limits, now);
        let mut origin = SourceRecord::new(0, limits.origin_bytes_per_second, limits, now);
        origin.ban_time = ORIGIN_BAN_TIME;
        origin.max_suspect_time = MAX_ORIGIN_SUSPECT_TIME;
        let hosts = vec![record; plan.hosts().len()];
        Self { origin, hosts, announced: ChunkSet::new(chunks) }
    }

    /// Copies the `record` of `host` from the table of the previous plan, without its fetches in flight.
    pub fn carry_over(&mut self, host: HostIndex, record: &SourceRecord) {
        self.announced.insert_all(&record.held);
        self.hosts[host] = SourceRecord { in_flight: 0, ..record.clone() };
    }

    /// Records that `host` reported to hold `chunks`.
    pub fn update_held(&mut self, now: MonoTime, host: HostIndex, chunks: ChunkSet) {
        self.announced.insert_all(&chunks);
        self.hosts[host].update_held(now, chunks);
    }

    /// Whether any host has ever reported to hold `chunk`.
    pub fn was_announced(&self, chunk: usize) -> bool {
        self.announced.contains(chunk)
    }

    pub fn is_suspect(&self, host: HostIndex, now: MonoTime) -> bool {
        self.hosts[host].is_suspect(now)
    }
}
