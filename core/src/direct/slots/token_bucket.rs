//! A token bucket whose rate may change.

use crate::prelude::*;

/// How much of a rate has been saved up. The rate, in requests per second, and the most that can be saved are
/// arguments; one request can always be saved.
#[derive(Debug, Clone, Copy)]
pub(in crate::direct) struct TokenBucket {
    /// Requests that could be sent at `updated_at`.
    tokens: f64,
    updated_at: MonoTime,
}

impl TokenBucket {
    /// Creates a bucket in which nothing is saved yet.
    pub fn new(now: MonoTime) -> Self {
        Self { tokens: 0.0, updated_at: now }
    }

    /// Returns when the next request may be sent; this time may have passed. `None` if the rate is zero.
    pub fn next_at(&self, rate: f64) -> Option<MonoTime> {
        let missing = (1.0 - self.tokens).max(0.0);
        if missing == 0.0 {
            return Some(self.updated_at);
        }
        Some(self.updated_at + Duration::try_from_secs_f64(missing / rate).ok()?)
    }

    /// Returns how many requests could be sent at `at`.
    pub fn tokens_at(&self, at: MonoTime, rate: f64, burst_time: Duration) -> f64 {
        let max_tokens = (rate * burst_time.as_secs_f64()).max(1.0);
        (self.tokens + at.since(self.updated_at).as_secs_f64() * rate).min(max_tokens)
    }

    /// Counts what has been saved since the last update.
    pub fn update(&mut self, now: MonoTime, rate: f64, burst_time: Duration) {
        self.tokens = self.tokens_at(now, rate, burst_time);
        self.updated_at = now;
    }

    /// Spends a token, or one that will be saved later.
    pub fn spend(&mut self, now: MonoTime, rate: f64, burst_time: Duration) {
        self.update(now, rate, burst_time);
        self.tokens -= 1.0;
    }

    /// Takes back a token that was spent in vain.
    pub fn give_back(&mut self) {
        self.tokens += 1.0;
    }
}
