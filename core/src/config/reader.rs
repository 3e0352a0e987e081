//! When a process asks the key-value service for the configuration.
//!
//! A few watchers in each site hold a watch. Everyone else hears of news over links and reads the
//! service only now and then, at a rate that is fixed for the whole fleet, so that news spreads
//! even where no watcher works. The calls a second do not grow with the fleet.

use crate::config::budget::RetryBackoff;
use crate::prelude::*;
use crate::routing::hash::{combine_hashes, hash_text};
use rand::{Rng, RngExt};

/// Processes in each site that hold a watch.
pub const WATCHERS_PER_SITE: usize = 2;
/// Longest time that the service holds a watch.
pub const WATCH_WAIT: Duration = Duration::from_secs(6);
/// Reads a second by all processes of the fleet that hold no watch.
pub const LATE_READS_PER_SECOND: f64 = 10.0;
/// Reads a second by all processes of the fleet that start together.
pub const START_READS_PER_SECOND: f64 = 400.0;

const MIN_LATE_PERIOD: Duration = Duration::from_secs(5);
const MIN_START_SPREAD: Duration = Duration::from_millis(50);
const START_WAIT_FOR_HOSTS: Duration = Duration::from_secs(2);
const WATCH_GAP: Duration = Duration::from_millis(250);
const ABSENT_PERIOD: Duration = Duration::from_secs(1);
const RETRY_BASE: Duration = Duration::from_millis(250);
const WATCHER_RETRY_CAP: Duration = Duration::from_secs(5);
const EMPTY_RETRIES_PER_SECOND: f64 = 100.0;

/// What the reader is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderEvent<'a> {
    /// The live hosts: their names in the reader's own site, and their number in the fleet.
    Hosts {
        /// Live hosts of the site.
        site: &'a [HostName],
        /// Live hosts of the fleet.
        fleet: usize,
    },
    /// The process has a configuration.
    Holding,
    /// The call brought a row with this index.
    Row {
        /// The index of the row.
        index: u64,
    },
    /// The call found no configuration.
    Absent,
    /// The call failed.
    Failed,
    /// Time has passed.
    Tick,
}

/// A call to make; its result is to be told to the reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceCall {
    /// Read the row.
    Read,
    /// Read the row once its index exceeds this one, or after [`WATCH_WAIT`].
    Watch {
        /// The index that is known.
        after_index: u64,
    },
}

/// Decides when to call the service; at most one call is under way.
#[derive(Debug, Clone)]
pub struct ServiceReader {
    host: HostName,
    watches: bool,
    holding: bool,
    fleet: Option<usize>,
    index: u64,
    failures: u32,
    state: CallState,
}

#[derive(Debug, Clone, Copy)]
enum CallState {
    Due(MonoTime),
    Calling { since: MonoTime },
}

impl ServiceReader {
    /// A reader on `host` that starts at `now`.
    pub fn new(host: HostName, now: MonoTime, rng: &mut impl Rng) -> Self {
        let wait = START_WAIT_FOR_HOSTS.mul_f64(rng.random_range(0.5..=1.0));
        Self {
            host,
            watches: false,
            holding: false,
            fleet: None,
            index: 0,
            failures: 0,
            state: CallState::Due(now + wait),
        }
    }

    /// Whether the process is one of its site's watchers.
    pub fn is_watcher(&self) -> bool {
        self.watches
    }

    /// When the next call is due; none while one is under way.
    pub fn due(&self) -> Option<MonoTime> {
        match self.state {
            CallState::Due(due) => Some(due),
            CallState::Calling { .. } => None,
        }
    }

    /// Takes an event and tells which call to make now, if any.
    pub fn on_event(
        &mut self,
        now: MonoTime,
        event: ReaderEvent<'_>,
        rng: &mut impl Rng,
    ) -> Option<ServiceCall> {
        match event {
            ReaderEvent::Hosts { site, fleet } => self.on_hosts(now, site, fleet, rng),
            ReaderEvent::Holding => self.on_holding(now, rng),
            ReaderEvent::Row { index } => self.on_row(now, index, rng),
            ReaderEvent::Absent => self.on_absent(now, rng),
            ReaderEvent::Failed => self.on_failed(now, rng),
            ReaderEvent::Tick => {}
        }
        self.call_if_due(now)
    }

    fn on_hosts(&mut self, now: MonoTime, site: &[HostName], fleet: usize, rng: &mut impl Rng) {
        let was_watching = self.watches;
        self.watches = is_watcher(&self.host, site);
        let first = self.fleet.replace(fleet.max(1)).is_none();
        if first && !self.holding && matches!(self.state, CallState::Due(_)) {
            self.state = CallState::Due(now + self.start_delay(rng));
        }
        if self.watches && !was_watching {
            self.bring_forward(now + self.start_delay(rng));
        }
    }

    fn on_holding(&mut self, now: MonoTime, rng: &mut impl Rng) {
        let first = !std::mem::replace(&mut self.holding, true);
        if first && !self.watches && matches!(self.state, CallState::Due(_)) {
            self.state = CallState::Due(now + self.late_delay(rng));
        }
    }

    fn on_row(&mut self, now: MonoTime, index: u64, rng: &mut impl Rng) {
        let asked_at = self.asked_at(now);
        let changed = index != self.index;
        self.index = index;
        self.holding = true;
        if !self.watches {
            self.failures = 0;
            self.state = CallState::Due(now + self.late_delay(rng));
            return;
        }
        // A service that does not hold the watch must not be asked in a tight loop.
        let held = changed || now.since(asked_at) >= WATCH_WAIT / 2;
        self.failures = if held { 0 } else { self.failures.saturating_add(1) };
        let pause = if held { WATCH_GAP } else { self.retry_delay(WATCHER_RETRY_CAP, rng) };
        self.state = CallState::Due(now.max(asked_at + pause));
    }

    fn on_absent(&mut self, now: MonoTime, rng: &mut impl Rng) {
        self.index = 0;
        self.failures = 0;
        let period = if self.watches { ABSENT_PERIOD } else { self.late_period() };
        self.state = CallState::Due(now + period.mul_f64(rng.random_range(0.5..=1.5)));
    }

    fn on_failed(&mut self, now: MonoTime, rng: &mut impl Rng) {
        let delay = if self.watches {
            self.retry_delay(WATCHER_RETRY_CAP, rng)
        } else if self.holding {
            self.late_delay(rng)
        } else {
            self.retry_delay(self.empty_retry_cap(), rng)
        };
        self.failures = self.failures.saturating_add(1);
        self.state = CallState::Due(now + delay);
    }

    fn call_if_due(&mut self, now: MonoTime) -> Option<ServiceCall> {
        let CallState::Due(due) = self.state else { return None };
        if now < due {
            return None;
        }
        self.state = CallState::Calling { since: now };
        if self.watches && self.index > 0 {
            return Some(ServiceCall::Watch { after_index: self.index });
        }
        Some(ServiceCall::Read)
    }

    fn asked_at(&self, now: MonoTime) -> MonoTime {
        match self.state {
            CallState::Calling { since } => since,
            CallState::Due(_) => now,
        }
    }

    fn bring_forward(&mut self, at: MonoTime) {
        if let CallState::Due(due) = self.state {
            self.state = CallState::Due(due.min(at));
        }
    }

    fn start_delay(&self, rng: &mut impl Rng) -> Duration {
        let spread = self.per_fleet(START_READS_PER_SECOND).max(MIN_START_SPREAD);
        spread.mul_f64(rng.random_range(0.0..=1.0))
    }

    /// Spread from zero on, so that some process of the fleet reads at any time, also right after
    /// all have started together.
    fn late_delay(&self, rng: &mut impl Rng) -> Duration {
        self.late_period().mul_f64(rng.random_range(0.0..=2.0))
    }

    fn late_period(&self) -> Duration {
        self.per_fleet(LATE_READS_PER_SECOND).max(MIN_LATE_PERIOD)
    }

    fn empty_retry_cap(&self) -> Duration {
        self.per_fleet(EMPTY_RETRIES_PER_SECOND).max(WATCHER_RETRY_CAP)
    }

    fn retry_delay(&self, cap: Duration, rng: &mut impl Rng) -> Duration {
        RetryBackoff { base: RETRY_BASE, cap }.delay(self.failures, rng)
    }

    /// The period at which every process may call so that all make `calls_per_second` together.
    fn per_fleet(&self, calls_per_second: f64) -> Duration {
        let fleet = u32::try_from(self.fleet.unwrap_or(1)).unwrap_or(u32::MAX);
        Duration::from_secs_f64(f64::from(fleet) / calls_per_second)
    }
}

/// Whether `host` is among the few of its site that come first by rendezvous hashing.
fn is_watcher(host: &HostName, site: &[HostName]) -> bool {
    let own = watcher_rank(host);
    let ahead = site.iter().filter(|other| *other != host && watcher_rank(other) > own);
    ahead.take(WATCHERS_PER_SITE).count() < WATCHERS_PER_SITE
}

fn watcher_rank(host: &HostName) -> (u64, &str) {
    const WATCHER_SEED: u64 = 0x77a7_c4e2;
    (combine_hashes(hash_text(host.as_str()), WATCHER_SEED), host.as_str())
}
