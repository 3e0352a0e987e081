//! How often a process may call the key-value service, and how long it waits after a failure.

use crate::prelude::*;
use rand::{Rng, RngExt};

/// A token bucket over the calls of one process.
#[derive(Debug, Clone)]
pub struct CallBudget {
    calls_per_second: f64,
    burst: f64,
    tokens: f64,
    filled_at: MonoTime,
}

impl CallBudget {
    /// A full bucket of `burst` calls that refills at `calls_per_second`.
    pub fn new(calls_per_second: f64, burst: f64, now: MonoTime) -> Self {
        Self { calls_per_second, burst, tokens: burst, filled_at: now }
    }

    /// Takes one call out of the bucket; `false` if it is empty.
    pub fn try_take(&mut self, now: MonoTime) -> bool {
        self.fill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn fill(&mut self, now: MonoTime) {
        let grown = now.since(self.filled_at).as_secs_f64() * self.calls_per_second;
        self.tokens = (self.tokens + grown).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }
}

/// Exponential backoff with jitter over the whole span, so that callers that failed together do
/// not come back together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBackoff {
    /// The longest wait after the first failure.
    pub base: Duration,
    /// The longest wait after any failure.
    pub cap: Duration,
}

impl Default for RetryBackoff {
    fn default() -> Self {
        Self { base: Duration::from_millis(100), cap: Duration::from_secs(10) }
    }
}

impl RetryBackoff {
    /// The wait after failure number `attempt`, counted from zero: between half of the span and
    /// the whole of it.
    pub fn delay(&self, attempt: u32, rng: &mut impl Rng) -> Duration {
        let factor = 1_u32.checked_shl(attempt.min(16)).unwrap_or(u32::MAX);
        let span = self.base.saturating_mul(factor).min(self.cap);
        span.mul_f64(rng.random_range(0.5..=1.0))
    }
}
