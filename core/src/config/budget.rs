//! Rate limit and retry back-off for calls to the key-value service.

use crate::prelude::*;
use rand::{Rng, RngExt};

/// A token bucket that limits the call rate of one process.
#[derive(Debug, Clone)]
pub struct CallBudget {
    calls_per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: MonoTime,
}

impl CallBudget {
    /// A full bucket of `burst` calls that refills at `calls_per_second`.
    pub fn new(calls_per_second: f64, burst: f64, now: MonoTime) -> Self {
        Self { calls_per_second, burst, tokens: burst, refilled_at: now }
    }

    /// Takes one call from the bucket; `false` if none is left.
    pub fn try_take(&mut self, now: MonoTime) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: MonoTime) {
        let added = now.since(self.refilled_at).as_secs_f64() * self.calls_per_second;
        self.tokens = (self.tokens + added).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Exponential back-off with jitter, so that callers that failed together do not retry together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBackoff {
    /// Longest delay after the first failure.
    pub base: Duration,
    /// Longest delay after any failure.
    pub cap: Duration,
}

impl Default for RetryBackoff {
    fn default() -> Self {
        Self { base: Duration::from_millis(100), cap: Duration::from_secs(10) }
    }
}

impl RetryBackoff {
    /// The delay after failed attempt number `attempt`, counted from 0: drawn at random between half
    /// of the back-off and all of it.
    pub fn delay(&self, attempt: u32, rng: &mut impl Rng) -> Duration {
        let factor = 1_u32.checked_shl(attempt.min(16)).unwrap_or(u32::MAX);
        let max_delay = self.base.saturating_mul(factor).min(self.cap);
        max_delay.mul_f64(rng.random_range(0.5..=1.0))
    }
}
