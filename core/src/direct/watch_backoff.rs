//! Long-poll waits, timeouts and back-off of watches and polls of the store.

use crate::prelude::*;

/// Time that a response may take beyond the long-poll wait.
const RESPONSE_MARGIN: Duration = Duration::from_millis(1200);
/// Long-poll wait while the store does not respond; short, so that its recovery is noticed at once.
const OUTAGE_LONG_POLL: Duration = Duration::from_millis(100);
/// Time that a response may take beyond [`OUTAGE_LONG_POLL`].
const OUTAGE_RESPONSE_MARGIN: Duration = PROBE_TIMEOUT;
/// Time beyond the long-poll wait after which the answer of a responding store is overdue.
const OVERDUE_MARGIN: Duration = Duration::from_millis(250);
/// Timeout of a probe, a small call that checks whether the store responds.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// First back-off after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Shortest and longest interval between polls of a short list.
const POLL_INTERVAL_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));
/// Bytes of a list that a process reads per second at most. All processes of a region share the links to
/// the store, and a list grows with the fleet.
const POLL_BYTES_PER_SECOND: f64 = 4096.0;

/// Timing of a watch: trades the staleness of its data against the number of calls to the store,
/// each of which costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTiming {
    /// How long the store holds a watch call open while nothing changes (long poll). A silently
    /// dead connection is noticed after this time.
    pub long_poll: Duration,
    /// Delay from a change to the next watch call, so that changes close together cost one call.
    pub change_delay: Duration,
    /// Longest delay while one call after the other returns changes.
    pub max_change_delay: Duration,
    /// Longest back-off after a failed call.
    pub max_backoff: Duration,
}

impl WatchTiming {
    /// For data that an entry must act on within the few seconds that a host has to become current.
    pub const PROMPT: Self = Self {
        long_poll: Duration::from_millis(2500),
        change_delay: Duration::from_millis(200),
        max_change_delay: Duration::from_millis(200),
        max_backoff: Duration::from_millis(400),
    };
    /// For the list of targets, of which some change all the time in a large fleet.
    pub const TARGETS: Self = Self { max_change_delay: Duration::from_millis(500), ..Self::PROMPT };
    /// For data that an agent must act on within the time of a rollout.
    pub const TIMELY: Self = Self {
        long_poll: Duration::from_secs(9),
        change_delay: Duration::from_millis(100),
        max_change_delay: Duration::from_millis(100),
        max_backoff: Duration::from_millis(800),
    };
    /// For the list of live processes.
    pub const RELAXED: Self = Self {
        long_poll: Duration::from_secs(10),
        change_delay: Duration::from_millis(1000),
        max_change_delay: Duration::from_millis(1000),
        max_backoff: Duration::from_millis(800),
    };
}

/// A second watch call, sent while the first one is overdue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchHedge {
    /// Time from the first call to the second.
    pub overdue_after: Duration,
    /// Long-poll wait of the second call.
    pub long_poll: Duration,
    /// Timeout of the second call.
    pub timeout: Duration,
}

/// Timeouts and back-off of one watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchBackoff {
    timing: WatchTiming,
    backoff: Duration,
    change_delay: Duration,
    failing: bool,
}

impl WatchBackoff {
    /// Creates the state of a watch that has not failed yet.
    pub fn new(timing: WatchTiming) -> Self {
        Self { timing, backoff: MIN_BACKOFF, change_delay: timing.change_delay, failing: false }
    }

    /// Records whether a watch call returned changes, and returns the delay before the next one. The
    /// delay doubles with each call that did.
    pub fn next_delay(&mut self, changed: bool) -> Duration {
        if !changed {
            self.change_delay = self.timing.change_delay;
            return Duration::ZERO;
        }
        let delay = self.change_delay;
        self.change_delay = (delay * 2).min(self.timing.max_change_delay);
        delay
    }

    /// Returns whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Returns the long-poll wait of the next watch call.
    pub fn long_poll(&self) -> Duration {
        if self.failing { OUTAGE_LONG_POLL } else { self.timing.long_poll }
    }

    /// Returns the timeout of the next watch call.
    pub fn timeout(&self) -> Duration {
        self.long_poll() + if self.failing { OUTAGE_RESPONSE_MARGIN } else { RESPONSE_MARGIN }
    }

    /// Returns when to send the next watch call again; `None` while the store does not respond, as the
    /// timeout is short then.
    pub fn hedge(&self) -> Option<WatchHedge> {
        (!self.failing).then(|| WatchHedge {
            overdue_after: self.timing.long_poll + OVERDUE_MARGIN,
            long_poll: OUTAGE_LONG_POLL,
            timeout: OUTAGE_LONG_POLL + OUTAGE_RESPONSE_MARGIN,
        })
    }

    /// Records a response and returns whether it is the first after an outage.
    pub fn record_success(&mut self) -> bool {
        self.backoff = MIN_BACKOFF;
        std::mem::take(&mut self.failing)
    }

    /// Records a failed call and returns the back-off before the next one.
    pub fn record_failure(&mut self) -> Duration {
        self.failing = true;
        let backoff = self.backoff;
        self.backoff = (backoff * 2).min(self.timing.max_backoff);
        backoff
    }
}

/// Interval between polls of a list: short while the list changes, then doubled at each poll
/// without a change, and longer for a long list. A poll may return data that is some seconds old, and
/// costs a fraction of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollBackoff {
    interval: Duration,
    /// Shortest interval at the length of the list.
    min_interval: Duration,
}

impl Default for PollBackoff {
    fn default() -> Self {
        Self { interval: POLL_INTERVAL_RANGE.0, min_interval: POLL_INTERVAL_RANGE.0 }
    }
}

impl PollBackoff {
    /// Records the length of the list.
    pub fn record_bytes(&mut self, bytes: usize) {
        let reading_time = Duration::from_secs_f64(bytes as f64 / POLL_BYTES_PER_SECOND);
        self.min_interval = reading_time.max(POLL_INTERVAL_RANGE.0);
    }

    /// Returns the shortest time between two reads of the list, whatever calls for them.
    pub fn min_interval(&self) -> Duration {
        self.min_interval
    }

    /// Records a poll and returns the time to the next one. `changed` is whether the list differs
    /// from the previous one.
    pub fn next_interval(&mut self, changed: bool) -> Duration {
        if changed {
            self.reset();
        }
        let interval = self.interval;
        self.interval = (interval * 2).min(POLL_INTERVAL_RANGE.1);
        interval.max(self.min_interval)
    }

    /// Resets the interval to the shortest one, because current data is needed.
    pub fn reset(&mut self) {
        self.interval = POLL_INTERVAL_RANGE.0;
    }
}
