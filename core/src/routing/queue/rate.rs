//! How fast a target serves, as observed.

use crate::prelude::*;

/// Shortest time over which a rate is worked out.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Weight of the newest window.
const WINDOW_WEIGHT: f64 = 0.3;

/// Tokens a second that a busy target serves. Times without requests that wait say nothing about
/// it and are left out.
#[derive(Debug, Default)]
pub struct ServiceRate {
    tokens_per_second: Option<f64>,
    window: Option<RateWindow>,
}

#[derive(Debug)]
struct RateWindow {
    start: MonoTime,
    tokens: u64,
}

impl ServiceRate {
    /// Work of `tokens` tokens ended; `busy` tells whether more waits.
    pub fn on_done(&mut self, now: MonoTime, tokens: u32, busy: bool) {
        if !busy {
            self.window = None;
            return;
        }
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
        let old = self.tokens_per_second.unwrap_or(seen);
        self.tokens_per_second = Some(old + WINDOW_WEIGHT * (seen - old));
        self.window = Some(RateWindow { start: now, tokens: 0 });
    }

    /// The time that `tokens` take; zero while no rate is known.
    pub fn time_for(&self, tokens: u64) -> Duration {
        match self.tokens_per_second {
            Some(rate) if rate > 0.0 => {
                Duration::try_from_secs_f64(tokens as f64 / rate).unwrap_or(Duration::MAX)
            }
            _ => Duration::ZERO,
        }
    }
}
