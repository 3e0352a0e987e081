//! The share of a target's rate limit that this entry may use.

use crate::prelude::*;

/// Lowest rate of one entry in requests per second, so that it notices the end of a limit.
const MIN_SHARED_RATE: f64 = 0.02;
/// Time for which an unused share is saved up; one request can always be saved.
const BURST_TIME: Duration = Duration::from_millis(500);

/// A limit that a target names for all entries together, and how much of its share this entry has saved:
/// a token bucket whose rate is the entry's share, between 0 and 1, of the limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateLimit {
    /// Requests per second of all entries.
    per_second: f64,
    /// Requests that could be sent at `updated_at`.
    tokens: f64,
    updated_at: MonoTime,
}

impl RateLimit {
    /// Creates a limit of which nothing is saved yet.
    pub fn new(now: MonoTime, per_second: f64) -> Self {
        Self { per_second, tokens: 0.0, updated_at: now }
    }

    /// Changes the limit, and returns whether it differs from the one before.
    pub fn change(&mut self, now: MonoTime, per_second: f64, share: f64) -> bool {
        self.update(now, share);
        std::mem::replace(&mut self.per_second, per_second) != per_second
    }

    /// Returns when the next request may be sent; this time may have passed.
    pub fn next_at(&self, share: f64) -> MonoTime {
        let missing = (1.0 - self.tokens).max(0.0);
        self.updated_at + Duration::from_secs_f64(missing / self.rate(share))
    }

    /// Returns how many requests may be sent until `at`.
    pub fn requests_until(&self, at: MonoTime, share: f64) -> u32 {
        self.tokens_at(at, share) as u32
    }

    /// Counts a request that is sent.
    pub fn count_sent(&mut self, now: MonoTime, share: f64) {
        self.update(now, share);
        self.tokens -= 1.0;
    }

    /// Takes back a request that was counted but not sent.
    pub fn uncount(&mut self) {
        self.tokens += 1.0;
    }

    fn update(&mut self, now: MonoTime, share: f64) {
        self.tokens = self.tokens_at(now, share);
        self.updated_at = now;
    }

    fn tokens_at(&self, at: MonoTime, share: f64) -> f64 {
        let rate = self.rate(share);
        let max_tokens = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        (self.tokens + at.since(self.updated_at).as_secs_f64() * rate).min(max_tokens)
    }

    /// Requests per second that this entry may send.
    fn rate(&self, share: f64) -> f64 {
        (self.per_second * share).max(MIN_SHARED_RATE)
    }
}
