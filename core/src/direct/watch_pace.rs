//! How long a watch of the store waits, and how soon it is asked again after a failure.

use crate::prelude::*;

/// Time that an answer may take beyond the wait that was asked for.
const ANSWER_SLACK: Duration = Duration::from_millis(1200);
/// Time for which a watch waits while the store is lost, so that its return is noticed at once.
const LOST_WAIT: Duration = Duration::from_millis(100);
/// Time that an answer may take beyond that.
const LOST_SLACK: Duration = PROBE_TIMEOUT;
/// Time after which a look whether the store answers counts as failed.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Shortest pause after a failed call.
const SHORTEST_PAUSE: Duration = Duration::from_millis(100);
/// Shortest and longest time between reads of a list that is polled.
const POLL_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));

/// How fresh what a watch brings must be. Each call to the store has its price.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// Time for which the watch waits for a change: after so long a connection that fell silent is
    /// noticed.
    pub wait: Duration,
    /// Time from a change to the next watch, so that changes that come together cost one call.
    pub gap: Duration,
    /// Longest pause after a failed call.
    pub longest_pause: Duration,
}

impl Freshness {
    /// What an entry must act on within the seconds in which a host has to be up to date.
    pub const PROMPT: Self = Self {
        wait: Duration::from_millis(2500),
        gap: Duration::from_millis(200),
        longest_pause: Duration::from_millis(400),
    };
    /// What an agent must act on within the time of a roll.
    pub const TIMELY: Self = Self {
        wait: Duration::from_secs(9),
        gap: Duration::from_millis(100),
        longest_pause: Duration::from_millis(800),
    };
    /// Which processes are live.
    pub const RELAXED: Self = Self {
        wait: Duration::from_secs(10),
        gap: Duration::from_millis(1000),
        longest_pause: Duration::from_millis(800),
    };
}

/// The pace of one watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchPace {
    freshness: Freshness,
    pause: Duration,
    lost: bool,
}

impl WatchPace {
    /// The pace of a watch that has not failed yet.
    pub fn new(freshness: Freshness) -> Self {
        Self { freshness, pause: SHORTEST_PAUSE, lost: false }
    }

    /// Time from a change to the next watch.
    pub fn gap(&self) -> Duration {
        self.freshness.gap
    }

    /// Whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Time for which the next watch waits for a change.
    pub fn wait(&self) -> Duration {
        if self.lost { LOST_WAIT } else { self.freshness.wait }
    }

    /// Time after which the next watch counts as failed.
    pub fn timeout(&self) -> Duration {
        self.wait() + if self.lost { LOST_SLACK } else { ANSWER_SLACK }
    }

    /// Notes an answer; whether it is the first after an outage.
    pub fn answered(&mut self) -> bool {
        self.pause = SHORTEST_PAUSE;
        std::mem::take(&mut self.lost)
    }

    /// Notes a failure; the pause before the next call.
    pub fn failed(&mut self) -> Duration {
        self.lost = true;
        let pause = self.pause;
        self.pause = (pause * 2).min(self.freshness.longest_pause);
        pause
    }
}

/// The pace of a list that is read again and again: often while it changes, seldom once it does not.
/// Such a read may bring what the store held some seconds ago, and costs a part of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollPace {
    interval: Duration,
}

impl Default for PollPace {
    fn default() -> Self {
        Self { interval: POLL_RANGE.0 }
    }
}

impl PollPace {
    /// Notes a read; the time to the next one. `changed` tells whether the list is another than the
    /// one before.
    pub fn read(&mut self, changed: bool) -> Duration {
        if changed {
            self.hurry();
        }
        let pause = self.interval;
        self.interval = (pause * 2).min(POLL_RANGE.1);
        pause
    }

    /// Has the list read often again, because it is made use of.
    pub fn hurry(&mut self) {
        self.interval = POLL_RANGE.0;
    }
}
