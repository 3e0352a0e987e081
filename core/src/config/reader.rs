//! Schedule of the calls by which a process fetches the configuration from the key-value service.
//!
//! A few watchers in each site hold a watch. All other processes receive new generations over links
//! and poll the service only rarely, at a rate that is fixed for the whole fleet, so that new
//! generations spread even if every watcher fails. The call rate does not grow with the fleet.

use crate::config::budget::RetryBackoff;
use crate::prelude::*;
use crate::routing::hash::{combine_hashes, hash_text};
use rand::{Rng, RngExt};

/// Processes in each site that hold a watch.
pub const WATCHERS_PER_SITE: usize = 2;
/// Longest time that the key-value service holds a watch open.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(6);
/// Reads per second by all processes of the fleet that hold no watch, taken together.
pub const POLL_READS_PER_SECOND: f64 = 10.0;
/// Reads per second by all processes of the fleet when they start at the same time.
pub const START_READS_PER_SECOND: f64 = 400.0;

/// Shortest mean time between polls of a process, however small the fleet.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Shortest span over which the first reads of a fleet are spread.
const MIN_START_SPREAD: Duration = Duration::from_millis(50);
/// Longest wait for the list of hosts, from which the start delay is derived, before the first call.
const HOSTS_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest time from the start of a watch to the start of the next one.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Mean time between reads of a watcher while no configuration exists.
const ABSENT_READ_INTERVAL: Duration = Duration::from_secs(1);
const RETRY_BASE: Duration = Duration::from_millis(250);
const WATCHER_RETRY_CAP: Duration = Duration::from_secs(5);
/// Retries per second by all processes of the fleet while they have no configuration, at the cap of
/// their back-off.
const UNCONFIGURED_RETRIES_PER_SECOND: f64 = 100.0;

/// Events that the reader reacts to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderEvent<'a> {
    /// The list of live hosts changed.
    Hosts {
        /// Names of the live hosts of the reader's own site.
        site_hosts: &'a [HostName],
        /// Number of live hosts in the fleet.
        fleet_size: usize,
    },
    /// The process has received a configuration, over a link or from the key-value service.
    HasConfig,
    /// The call returned the row.
    Row {
        /// Modification index of the row.
        index: u64,
    },
    /// The call found no configuration.
    Absent,
    /// The call failed.
    Failed,
    /// No event occurred; the reader only checks whether a call is due.
    Tick,
}

/// A call to make; report its result to the reader as a [`ReaderEvent`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KvCall {
    /// Read the row.
    Read,
    /// Read the row once its index exceeds `after_index`, or after [`WATCH_TIMEOUT`].
    Watch {
        /// Index of the row read last.
        after_index: u64,
    },
}

/// Decides when to call the key-value service; at most one call is in flight.
#[derive(Debug, Clone)]
pub struct ConfigReader {
    host: HostName,
    is_watcher: bool,
    has_config: bool,
    /// Number of live hosts in the fleet; `None` until the list of hosts is known.
    fleet_size: Option<usize>,
    /// Index of the row read last; 0 if none was found.
    index: u64,
    /// Consecutive failures; for a watcher also watches that returned early without a change.
    failures: u32,
    state: CallState,
}

#[derive(Debug, Clone, Copy)]
enum CallState {
    Due(MonoTime),
    InFlight { started_at: MonoTime },
}

impl ConfigReader {
    /// A reader of the process on `host`, which starts at `now`.
    pub fn new(host: HostName, now: MonoTime, rng: &mut impl Rng) -> Self {
        let wait = HOSTS_TIMEOUT.mul_f64(rng.random_range(0.5..=1.0));
        Self {
            host,
            is_watcher: false,
            has_config: false,
            fleet_size: None,
            index: 0,
            failures: 0,
            state: CallState::Due(now + wait),
        }
    }

    /// Whether the process is one of its site's watchers.
    pub fn is_watcher(&self) -> bool {
        self.is_watcher
    }

    /// Time at which the next call is due; `None` while a call is in flight.
    pub fn due(&self) -> Option<MonoTime> {
        match self.state {
            CallState::Due(due) => Some(due),
            CallState::InFlight { .. } => None,
        }
    }

    /// Handles an event and returns the call to make now, if any.
    pub fn on_event(
        &mut self,
        now: MonoTime,
        event: ReaderEvent<'_>,
        rng: &mut impl Rng,
    ) -> Option<KvCall> {
        match event {
            ReaderEvent::Hosts { site_hosts, fleet_size } => {
                self.on_hosts(now, site_hosts, fleet_size, rng)
            }
            ReaderEvent::HasConfig => self.on_has_config(now, rng),
            ReaderEvent::Row { index } => self.on_row(now, index, rng),
            ReaderEvent::Absent => self.on_absent(now, rng),
            ReaderEvent::Failed => self.on_failed(now, rng),
            ReaderEvent::Tick => {}
        }
        self.call_if_due(now)
    }

    fn on_hosts(
        &mut self,
        now: MonoTime,
        site_hosts: &[HostName],
        fleet_size: usize,
        rng: &mut impl Rng,
    ) {
        let was_watcher = self.is_watcher;
        self.is_watcher = is_watcher(&self.host, site_hosts);
        let is_first = self.fleet_size.replace(fleet_size.max(1)).is_none();
        if is_first && !self.has_config && matches!(self.state, CallState::Due(_)) {
            self.state = CallState::Due(now + self.start_delay(rng));
        }
        if self.is_watcher && !was_watcher {
            self.bring_forward(now + self.start_delay(rng));
        }
    }

    fn on_has_config(&mut self, now: MonoTime, rng: &mut impl Rng) {
        let is_first = !std::mem::replace(&mut self.has_config, true);
        if is_first && !self.is_watcher && matches!(self.state, CallState::Due(_)) {
            self.state = CallState::Due(now + self.poll_delay(rng));
        }
    }

    fn on_row(&mut self, now: MonoTime, index: u64, rng: &mut impl Rng) {
        let started_at = self.call_started_at(now);
        let is_changed = index != self.index;
        self.index = index;
        self.has_config = true;
        if !self.is_watcher {
            self.failures = 0;
            self.state = CallState::Due(now + self.poll_delay(rng));
            return;
        }
        // Back off if the service returns early without a change: it may not support watches, and
        // must not be called in a tight loop.
        let is_held = is_changed || now.since(started_at) >= WATCH_TIMEOUT / 2;
        self.failures = if is_held { 0 } else { self.failures.saturating_add(1) };
        let pause =
            if is_held { MIN_WATCH_INTERVAL } else { self.retry_delay(WATCHER_RETRY_CAP, rng) };
        self.state = CallState::Due(now.max(started_at + pause));
    }

    fn on_absent(&mut self, now: MonoTime, rng: &mut impl Rng) {
        self.index = 0;
        self.failures = 0;
        let interval = if self.is_watcher { ABSENT_READ_INTERVAL } else { self.poll_interval() };
        self.state = CallState::Due(now + interval.mul_f64(rng.random_range(0.5..=1.5)));
    }

    fn on_failed(&mut self, now: MonoTime, rng: &mut impl Rng) {
        let delay = if self.is_watcher {
            self.retry_delay(WATCHER_RETRY_CAP, rng)
        } else if self.has_config {
            self.poll_delay(rng)
        } else {
            self.retry_delay(self.unconfigured_retry_cap(), rng)
        };
        self.failures = self.failures.saturating_add(1);
        self.state = CallState::Due(now + delay);
    }

    fn call_if_due(&mut self, now: MonoTime) -> Option<KvCall> {
        let CallState::Due(due) = self.state else { return None };
        if now < due {
            return None;
        }
        self.state = CallState::InFlight { started_at: now };
        if self.is_watcher && self.index > 0 {
            return Some(KvCall::Watch { after_index: self.index });
        }
        Some(KvCall::Read)
    }

    fn call_started_at(&self, now: MonoTime) -> MonoTime {
        match self.state {
            CallState::InFlight { started_at } => started_at,
            CallState::Due(_) => now,
        }
    }

    fn bring_forward(&mut self, at: MonoTime) {
        if let CallState::Due(due) = self.state {
            self.state = CallState::Due(due.min(at));
        }
    }

    fn start_delay(&self, rng: &mut impl Rng) -> Duration {
        let spread = self.interval_at(START_READS_PER_SECOND).max(MIN_START_SPREAD);
        spread.mul_f64(rng.random_range(0.0..=1.0))
    }

    /// The delay before the next poll. Jitter starts at zero, so that some process of the fleet
    /// polls at any time, even right after all processes start at once.
    fn poll_delay(&self, rng: &mut impl Rng) -> Duration {
        self.poll_interval().mul_f64(rng.random_range(0.0..=2.0))
    }

    fn poll_interval(&self) -> Duration {
        self.interval_at(POLL_READS_PER_SECOND).max(MIN_POLL_INTERVAL)
    }

    fn unconfigured_retry_cap(&self) -> Duration {
        self.interval_at(UNCONFIGURED_RETRIES_PER_SECOND).max(WATCHER_RETRY_CAP)
    }

    fn retry_delay(&self, cap: Duration, rng: &mut impl Rng) -> Duration {
        RetryBackoff { base: RETRY_BASE, cap }.delay(self.failures, rng)
    }

    /// The interval between calls of one process at which the whole fleet makes `calls_per_second`.
    fn interval_at(&self, calls_per_second: f64) -> Duration {
        let fleet_size = u32::try_from(self.fleet_size.unwrap_or(1)).unwrap_or(u32::MAX);
        Duration::from_secs_f64(f64::from(fleet_size) / calls_per_second)
    }
}

/// Whether `host` is among the [`WATCHERS_PER_SITE`] hosts of its site that rank highest by
/// rendezvous hashing.
fn is_watcher(host: &HostName, site_hosts: &[HostName]) -> bool {
    let own_rank = watcher_rank(host);
    let ahead = site_hosts.iter().filter(|other| *other != host && watcher_rank(other) > own_rank);
    ahead.take(WATCHERS_PER_SITE).count() < WATCHERS_PER_SITE
}

fn watcher_rank(host: &HostName) -> (u64, &str) {
    const WATCHER_SEED: u64 = 0x77a7_c4e2;
    (combine_hashes(hash_text(host.as_str()), WATCHER_SEED), host.as_str())
}
