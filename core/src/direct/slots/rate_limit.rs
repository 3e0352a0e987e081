//! The share of a target's rate limit that this entry may use.

use super::token_bucket::TokenBucket;
use crate::prelude::*;

/// Lowest rate of one entry in requests per second, so that it notices the end of a limit.
const MIN_SHARED_RATE: f64 = 0.02;
/// Time for which an unused share is saved up; one request can always be saved.
const BURST_TIME: Duration = Duration::from_millis(500);

/// A limit that a target names for all entries together, and how much of its share this entry has saved.
/// The entry's share of the limit is between 0 and 1.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateLimit {
    /// Requests per second of all entries.
    per_second: f64,
    bucket: TokenBucket,
}

impl RateLimit {
    /// Creates a limit of which nothing is saved yet.
    pub fn new(now: MonoTime, per_second: f64) -> Self {
        Self { per_second, bucket: TokenBucket::new(now) }
    }

    /// Changes the limit, and returns whether it differs from the one before.
    pub fn change(&mut self, now: MonoTime, per_second: f64, share: f64) -> bool {
        self.bucket.update(now, self.rate(share), BURST_TIME);
        std::mem::replace(&mut self.per_second, per_second) != per_second
    }

    /// Returns when the next request may be sent; this time may have passed.
    pub fn next_at(&self, share: f64) -> Option<MonoTime> {
        self.bucket.next_at(self.rate(share))
    }

    /// Returns how many requests may be sent until `at`.
    pub fn requests_until(&self, at: MonoTime, share: f64) -> u32 {
        self.bucket.tokens_at(at, self.rate(share), BURST_TIME) as u32
    }

    /// Counts a request that is sent.
    pub fn count_sent(&mut self, now: MonoTime, share: f64) {
        self.bucket.spend(now, self.rate(share), BURST_TIME);
    }

    /// Takes back a request that was counted but not sent.
    pub fn uncount(&mut self) {
        self.bucket.give_back();
    }

    /// Requests per second that this entry may send.
    fn rate(&self, share: f64) -> f64 {
        (self.per_second * share).max(MIN_SHARED_RATE)
    }
}
