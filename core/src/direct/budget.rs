//! Limits an entry's retries to its share of the retries that all entries may send together.

use crate::prelude::*;
use std::collections::VecDeque;

/// Granularity of the sliding window.
const SLICE_LENGTH: Duration = Duration::from_millis(500);
/// Share of the allowance that an entry may use. The rest is a margin for entries that temporarily
/// disagree on the number of live entries.
const USABLE_SHARE: f64 = 0.7;

/// The retries that all entries together may send in a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Maximum ratio of retries to requests.
    pub ratio: f64,
    /// Number of retries beyond that.
    pub extra: f64,
    /// Live entries, which share `extra`.
    pub entries: u64,
}

impl RetryAllowance {
    /// Returns the number of retries that one entry may send for `requests`, rounded down, so that
    /// the shares of all entries do not add up to more than the allowance.
    fn share(&self, requests: u64) -> u64 {
        let allowance = requests as f64 * self.ratio + self.extra / self.entries.max(1) as f64;
        (allowance * USABLE_SHARE) as u64
    }
}

/// Counts requests and retries of one service over a sliding window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    window: Duration,
    slices: VecDeque<BudgetSlice>,
}

#[derive(Debug, Clone, Copy)]
struct BudgetSlice {
    start: MonoTime,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Creates an unspent budget over `window`.
    pub fn new(window: Duration) -> Self {
        Self { window, slices: VecDeque::new() }
    }

    /// Counts a request received from a caller; retries are not counted here.
    pub fn count_request(&mut self, now: MonoTime) {
        self.current_slice(now).requests += 1;
    }

    /// Spends one retry if the budget allows it, and returns whether it did.
    pub fn try_spend(&mut self, now: MonoTime, allowance: RetryAllowance) -> bool {
        let allowed = self.has_retry(now, allowance);
        self.current_slice(now).retries += u64::from(allowed);
        allowed
    }

    /// Returns whether [`RetryBudget::try_spend`] would spend a retry.
    pub fn has_retry(&mut self, now: MonoTime, allowance: RetryAllowance) -> bool {
        self.current_slice(now);
        let requests: u64 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u64 = self.slices.iter().map(|slice| slice.retries).sum();
        retries < allowance.share(requests)
    }

    /// Drops slices that have left the window and returns the slice that covers `now`.
    fn current_slice(&mut self, now: MonoTime) -> &mut BudgetSlice {
        let window = self.window;
        while self.slices.front().is_some_and(|slice| now.since(slice.start) > window) {
            self.slices.pop_front();
        }
        let needs_slice =
            self.slices.back().is_none_or(|slice| now.since(slice.start) > SLICE_LENGTH);
        if needs_slice {
            self.slices.push_back(BudgetSlice { start: now, requests: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
