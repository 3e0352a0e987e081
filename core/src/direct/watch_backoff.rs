//! Long-poll waits, timeouts and back-off of watches and polls of the store.

use crate::prelude::*;

/// Time that a response may take beyond the long-poll wait.
const RESPONSE_MARGIN: Duration = Duration::from_millis(1200);
/// Long-poll wait while the store does not respond; short, so that its recovery is noticed at once.
const OUTAGE_LONG_POLL: Duration = Duration::from_millis(100);
/// Time that a response may take beyond [`OUTAGE_LONG_POLL`].
const OUTAGE_RESPONSE_MARGIN: Duration = PROBE_TIMEOUT;
/// Timeout of a probe, a small call that checks whether the store responds.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// First back-off after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Shortest and longest interval between polls of a list.
const POLL_INTERVAL_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));

/// Timing of a watch: trades the staleness of its data against the number of calls to the store, each
/// of which costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// How long the store holds a watch call open while nothing changes (long poll). A silently dead
    /// connection is noticed after this time.
    pub wait: Duration,
    /// Delay from a change to the next watch call, so that changes close together cost one call.
    pub gap: Duration,
    /// Longest back-off after a failed call.
    pub longest_pause: Duration,
}

impl Freshness {
    /// For data that an entry must act on within the few seconds that a host has to become current.
    pub const PROMPT: Self = Self {
        wait: Duration::from_millis(2500),
        gap: Duration::from_millis(200),
        longest_pause: Duration::from_millis(400),
    };
    /// For data that an agent must act on within the time of a rollout.
    pub const TIMELY: Self = Self {
        wait: Duration::from_secs(9),
        gap: Duration::from_millis(100),
        longest_pause: Duration::from_millis(800),
    };
    /// For the list of live processes.
    pub const RELAXED: Self = Self {
        wait: Duration::from_secs(10),
        gap: Duration::from_millis(1000),
        longest_pause: Duration::from_millis(800),
    };
}

/// Timeouts and back-off of one watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchPace {
    timing: Freshness,
    backoff: Duration,
    failing: bool,
}

impl WatchPace {
    /// Creates the state of a watch that has not failed yet.
    pub fn new(timing: Freshness) -> Self {
        Self { timing, backoff: MIN_BACKOFF, failing: false }
    }

    /// Returns the delay from a change to the next watch call.
    pub fn gap(&self) -> Duration {
        self.timing.gap
    }

    /// Returns whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.failing
    }

    /// Returns the long-poll wait of the next watch call.
    pub fn wait(&self) -> Duration {
        if self.failing { OUTAGE_LONG_POLL } else { self.timing.wait }
    }

    /// Returns the timeout of the next watch call.
    pub fn timeout(&self) -> Duration {
        self.wait() + if self.failing { OUTAGE_RESPONSE_MARGIN } else { RESPONSE_MARGIN }
    }

    /// Records a response and returns whether it is the first after an outage.
    pub fn answered(&mut self) -> bool {
        self.backoff = MIN_BACKOFF;
        std::mem::take(&mut self.failing)
    }

    /// Records a failed call and returns the back-off before the next one.
    pub fn failed(&mut self) -> Duration {
        self.failing = true;
        let backoff = self.backoff;
        self.backoff = (backoff * 2).min(self.timing.longest_pause);
        backoff
    }
}

/// Interval between polls of a list: short while the list changes, then doubled at each poll without a
/// change. A poll may return data that is some seconds old, and costs a fraction of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollPace {
    interval: Duration,
}

impl Default for PollPace {
    fn default() -> Self {
        Self { interval: POLL_INTERVAL_RANGE.0 }
    }
}

impl PollPace {
    /// Records a poll and returns the time to the next one. `changed` is whether the list differs from
    /// the previous one.
    pub fn read(&mut self, changed: bool) -> Duration {
        if changed {
            self.hurry();
        }
        let interval = self.interval;
        self.interval = (interval * 2).min(POLL_INTERVAL_RANGE.1);
        interval
    }

    /// Resets the interval to the shortest one, because current data is needed.
    pub fn hurry(&mut self) {
        self.interval = POLL_INTERVAL_RANGE.0;
    }
}
