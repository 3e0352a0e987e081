//! How fast a target serves, as observed.

use crate::prelude::*;

/// Shortest time over which a rate is worked out.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Weight of the newest window.
const WINDOW_WEIGHT: f64 = 0.3;
/// Weight of the newest work in the time for a token.
const WORK_WEIGHT: f64 = 0.05;
/// Time after which what was observed no longer counts, so that a target that refuses all work
/// because it was slow once is tried again.
const OBSERVATION_LIFETIME: Duration = Duration::from_secs(10);

/// Estimated tokens a second that a busy target serves, and the time that work takes in it. Times
/// without requests that wait say nothing about the rate and are left out.
#[derive(Debug, Default)]
pub struct ServiceRate {
    tokens_per_second: Option<f64>,
    seconds_per_token: Option<f64>,
    window: Option<RateWindow>,
    observed_at: MonoTime,
}

#[derive(Debug)]
struct RateWindow {
    start: MonoTime,
    tokens: u64,
}

impl ServiceRate {
    /// Work estimated at `tokens` ended after `took`; `busy` tells whether more waits.
    pub fn on_done(&mut self, now: MonoTime, tokens: u32, took: Duration, busy: bool) {
        self.observed_at = now;
        let seen = took.as_secs_f64() / f64::from(tokens.max(1));
        self.seconds_per_token = Some(blend(self.seconds_per_token, seen, WORK_WEIGHT));
        if busy {
            self.note_busy(now, tokens);
        } else {
            self.window = None;
        }
    }

    /// The time until `tokens` that wait have been taken up; zero while no rate is known.
    pub fn wait_time(&self, now: MonoTime, tokens: u64) -> Duration {
        match self.tokens_per_second {
            Some(rate) if rate > 0.0 && self.is_fresh(now) => seconds(tokens as f64 / rate),
            _ => Duration::ZERO,
        }
    }

    /// The time that work estimated at `tokens` takes in the target; zero while it is not known.
    pub fn work_time(&self, now: MonoTime, tokens: u32) -> Duration {
        match self.seconds_per_token {
            Some(pace) if self.is_fresh(now) => seconds(pace * f64::from(tokens)),
            _ => Duration::ZERO,
        }
    }

    fn is_fresh(&self, now: MonoTime) -> bool {
        now.since(self.observed_at) < OBSERVATION_LIFETIME
    }

    fn note_busy(&mut self, now: MonoTime, tokens: u32) {
        let Some(window) = &mut self.window else {
            self.window = Some(RateWindow { start: now, tokens: 0 });
            return;
        };
        window.tokens += u64::from(tokens);
        let span = now.since(window.start);
        if span < RATE_WINDOW {
            return;
        }
        let seen = window.tokens as f64 / span.as_secs_f64();
        self.tokens_per_second = Some(blend(self.tokens_per_second, seen, WINDOW_WEIGHT));
        self.window = Some(RateWindow { start: now, tokens: 0 });
    }
}

fn blend(old: Option<f64>, seen: f64, weight: f64) -> f64 {
    old.map_or(seen, |old| old + weight * (seen - old))
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
