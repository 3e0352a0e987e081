//! How long a watch of the store waits, and how soon it is asked again after a failure.

use crate::prelude::*;

/// Time for which a watch waits for a change. Short enough that a connection that fell silent is
/// noticed within the time in which a host must be up to date again.
const WATCH_WAIT: Duration = Duration::from_millis(2500);
/// Time that an answer may take beyond the wait that was asked for.
const ANSWER_SLACK: Duration = Duration::from_millis(1200);
/// Time for which a watch waits while the store is lost, so that its return is noticed at once.
const LOST_WAIT: Duration = Duration::from_millis(100);
/// Time that an answer may take beyond that.
const LOST_SLACK: Duration = Duration::from_millis(700);
/// Shortest and longest pause after a failed call.
const PAUSE_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(400));

/// The pace of one watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchPace {
    pause: Duration,
    lost: bool,
}

impl Default for WatchPace {
    fn default() -> Self {
        Self { pause: PAUSE_RANGE.0, lost: false }
    }
}

impl WatchPace {
    /// Whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Time after which a look whether the store answers counts as failed.
    pub fn probe_timeout(&self) -> Duration {
        LOST_SLACK
    }

    /// Time for which the next watch waits for a change.
    pub fn wait(&self) -> Duration {
        if self.lost { LOST_WAIT } else { WATCH_WAIT }
    }

    /// Time after which the next watch counts as failed.
    pub fn timeout(&self) -> Duration {
        self.wait() + if self.lost { LOST_SLACK } else { ANSWER_SLACK }
    }

    /// Notes an answer; whether it is the first after an outage.
    pub fn answered(&mut self) -> bool {
        self.pause = PAUSE_RANGE.0;
        std::mem::take(&mut self.lost)
    }

    /// Notes a failure; the pause before the next call.
    pub fn failed(&mut self) -> Duration {
        self.lost = true;
        let pause = self.pause;
        self.pause = (pause * 2).min(PAUSE_RANGE.1);
        pause
    }
}
