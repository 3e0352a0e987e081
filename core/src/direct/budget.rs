//! The retries that an entry may spend, as its share of what all entries may spend together.

use crate::prelude::*;
use std::collections::VecDeque;

/// Length of a part of the window.
const SLICE: Duration = Duration::from_millis(500);
/// Part of the allowance that is spent at most, in percent; the rest covers entries that disagree
/// on how many they are.
const SPENT_PERCENT: u64 = 70;

/// Requests and retries of one service over a sliding window.
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
    /// An unspent budget over `window`.
    pub fn new(window: Duration) -> Self {
        Self { window, slices: VecDeque::new() }
    }

    /// Counts a request that a caller sent.
    pub fn count_request(&mut self, now: MonoTime) {
        self.slice(now).requests += 1;
    }

    /// Spends a retry if `percent` of the requests and this entry's part of `extra` allow it.
    /// `entries` is the number of live entries.
    pub fn try_spend(&mut self, now: MonoTime, percent: u64, extra: u64, entries: u64) -> bool {
        self.slice(now);
        let requests: u64 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u64 = self.slices.iter().map(|slice| slice.retries).sum();
        let allowance = requests * percent / 100 + extra / entries.max(1);
        if retries >= allowance * SPENT_PERCENT / 100 {
            return false;
        }
        self.slice(now).retries += 1;
        true
    }

    fn slice(&mut self, now: MonoTime) -> &mut BudgetSlice {
        let window = self.window;
        while self.slices.front().is_some_and(|slice| now.since(slice.start) > window) {
            self.slices.pop_front();
        }
        let fresh = self.slices.back().is_none_or(|slice| now.since(slice.start) > SLICE);
        if fresh {
            self.slices.push_back(BudgetSlice { start: now, requests: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
