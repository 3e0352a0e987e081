//! Observed throughput of a target.

use crate::prelude::*;

/// Minimum length of a window over which the token rate is measured.
const MIN_RATE_WINDOW: Duration = Duration::from_millis(500);
/// Weight of the newest window in the moving average of the token rate.
const WINDOW_EWMA_WEIGHT: f64 = 0.3;
/// Weight of the newest request in the moving average of the time per token.
const PROCESSING_TIME_EWMA_WEIGHT: f64 = 0.05;
/// Age from which observations are ignored. Otherwise a target that was slow once, and refuses all
/// requests because of that, would never be tried again.
const OBSERVATION_MAX_AGE: Duration = Duration::from_secs(10);

/// Moving averages of the token rate of a target under backlog and of its processing time per
/// token, both in estimated tokens. Without backlog the rate cannot be observed, so those periods
/// are left out.
#[derive(Debug, Default)]
pub struct TargetThroughput {
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

impl TargetThroughput {
    /// Records the end of a request of `tokens` estimated tokens. `has_backlog`: whether others are
    /// queued.
    pub fn on_done(
        &mut self,
        now: MonoTime,
        tokens: u32,
        processing_time: Duration,
        has_backlog: bool,
    ) {
        self.observed_at = now;
        let sample = processing_time.as_secs_f64() / f64::from(tokens.max(1));
        self.seconds_per_token =
            Some(ewma(self.seconds_per_token, sample, PROCESSING_TIME_EWMA_WEIGHT));
        if has_backlog {
            self.record_busy(now, tokens);
        } else {
            self.window = None;
        }
    }

    /// Time until `tokens` queued tokens have been started; zero if the rate is unknown or stale.
    pub fn drain_time(&self, now: MonoTime, tokens: u64) -> Duration {
        match self.tokens_per_second {
            Some(rate) if rate > 0.0 && self.is_fresh(now) => seconds(tokens as f64 / rate),
            _ => Duration::ZERO,
        }
    }

    /// Processing time of a request of `tokens` estimated tokens; zero if unknown or stale.
    pub fn processing_time(&self, now: MonoTime, tokens: u32) -> Duration {
        match self.seconds_per_token {
            Some(seconds_per_token) if self.is_fresh(now) => {
                seconds(seconds_per_token * f64::from(tokens))
            }
            _ => Duration::ZERO,
        }
    }

    fn is_fresh(&self, now: MonoTime) -> bool {
        now.since(self.observed_at) < OBSERVATION_MAX_AGE
    }

    fn record_busy(&mut self, now: MonoTime, tokens: u32) {
        let Some(window) = &mut self.window else {
            self.window = Some(RateWindow { start: now, tokens: 0 });
            return;
        };
        window.tokens += u64::from(tokens);
        let elapsed = now.since(window.start);
        if elapsed < MIN_RATE_WINDOW {
            return;
        }
        let sample = window.tokens as f64 / elapsed.as_secs_f64();
        self.tokens_per_second = Some(ewma(self.tokens_per_second, sample, WINDOW_EWMA_WEIGHT));
        self.window = Some(RateWindow { start: now, tokens: 0 });
    }
}

fn ewma(old: Option<f64>, sample: f64, weight: f64) -> f64 {
    old.map_or(sample, |old| old + weight * (sample - old))
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
