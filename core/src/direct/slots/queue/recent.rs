//! Sums of what was counted within a window.

use crate::prelude::*;
use std::collections::VecDeque;

/// Maximum number of counts remembered; the oldest are dropped first.
const MAX_COUNTS: usize = 512;

/// Recent counts and their sum.
#[derive(Debug, Clone, Default)]
pub struct RecentSum {
    counts: VecDeque<(MonoTime, u32)>,
    sum: u64,
}

impl RecentSum {
    /// Adds a count at `now`, and drops those older than `window`.
    pub fn add(&mut self, now: MonoTime, window: Duration, count: u32) {
        self.sum(now, window);
        if self.counts.len() == MAX_COUNTS {
            self.drop_oldest();
        }
        self.counts.push_back((now, count));
        self.sum += u64::from(count);
    }

    /// Returns the sum of the counts that are not older than `window`.
    pub fn sum(&mut self, now: MonoTime, window: Duration) -> u64 {
        while self.counts.front().is_some_and(|(at, _)| now.since(*at) > window) {
            self.drop_oldest();
        }
        self.sum
    }

    fn drop_oldest(&mut self) {
        if let Some((_, count)) = self.counts.pop_front() {
            self.sum -= u64::from(count);
        }
    }
}

/// Recent releases of slots, with the sites of their targets.
#[derive(Debug, Clone, Default)]
pub struct RecentReleases(VecDeque<(MonoTime, SiteName, u32)>);

impl RecentReleases {
    /// Adds the release of a slot with this cost at a target of `site`.
    pub fn add(&mut self, now: MonoTime, site: SiteName, cost: u32) {
        if self.0.len() == MAX_COUNTS {
            self.0.pop_front();
        }
        self.0.push_back((now, site, cost));
    }

    /// Drops the releases that are older than `window`, and returns the cost of those at sites for which
    /// `is_usable` returns true.
    pub fn sum_at(
        &mut self,
        now: MonoTime,
        window: Duration,
        is_usable: impl Fn(&SiteName) -> bool,
    ) -> u64 {
        while self.0.front().is_some_and(|(at, ..)| now.since(*at) > window) {
            self.0.pop_front();
        }
        let usable = self.0.iter().filter(|(_, site, _)| is_usable(site));
        usable.map(|(.., cost)| u64::from(*cost)).sum()
    }
}
