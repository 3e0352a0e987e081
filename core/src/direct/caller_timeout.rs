//! How long a request may wait for a slot, and whether it can still meet its latency objective.

use crate::prelude::*;

/// Percentage of the latency objective that is reserved for the target; the rest may be spent
/// waiting.
const TARGET_PERCENT: u32 = 55;
/// Percentage of the time left until the deadline that a late request may wait.
const LATE_WAIT_PERCENT: u32 = 20;
/// Longest wait of a late request.
const MAX_LATE_WAIT: Duration = Duration::from_millis(900);
/// Time for which the longest timeout seen is remembered.
const TIMEOUT_RETENTION: Duration = Duration::from_secs(20);
/// A timeout below this percentage of the longest recent one marks a retry. Callers' timeouts at
/// their first try differ by less than that; a refused caller falls below it, because the
/// retry-after time that it was given is longer than that difference.
const RETRY_PERCENT: u32 = 84;
/// Percentage of its timeout after which a refused caller may retry, so that it is recognised.
pub(super) const RETURN_PERCENT: u32 = 101 - RETRY_PERCENT;

/// Estimates the timeout that callers of a route have at their first try. A caller that retries
/// after a refusal sends the remaining part of its timeout.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerTimeoutEstimate {
    longest_timeout: Duration,
    seen_at: MonoTime,
}

impl CallerTimeoutEstimate {
    /// Records the timeout sent by a caller and returns the estimated time since its first try;
    /// zero if this is the first try.
    pub fn observe(&mut self, now: MonoTime, timeout: Duration) -> Duration {
        if timeout >= self.longest_timeout || now.since(self.seen_at) > TIMEOUT_RETENTION {
            self.longest_timeout = timeout;
            self.seen_at = now;
            return Duration::ZERO;
        }
        if timeout >= self.longest_timeout * RETRY_PERCENT / 100 {
            return Duration::ZERO;
        }
        self.longest_timeout - timeout
    }
}

/// How long and with which precedence a request may wait for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitAllowance {
    /// Longest wait in the queue.
    pub max_wait: Duration,
    /// Whether the request can no longer meet its latency objective; such requests are served after
    /// the others.
    pub late: bool,
}

/// What is known of the caller of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallerTime {
    /// Whether the request was admitted or refused before.
    pub returned: bool,
    /// Time until the caller gives up; zero if unknown.
    pub time_left: Duration,
}

/// Returns how long a request may wait for a slot. `objective` is its latency objective, `elapsed`
/// the time since the caller's first try, and `time_left` the time until its deadline.
pub fn wait_allowance(
    objective: Duration,
    elapsed: Duration,
    time_left: Duration,
) -> WaitAllowance {
    let wait_budget = objective * (100 - TARGET_PERCENT) / 100;
    if elapsed < wait_budget {
        return WaitAllowance { max_wait: (wait_budget - elapsed).min(time_left), late: false };
    }
    late_allowance(time_left)
}

/// Returns how long a late request may wait for a slot.
pub(super) fn late_allowance(time_left: Duration) -> WaitAllowance {
    let max_wait = (time_left * LATE_WAIT_PERCENT / 100).min(MAX_LATE_WAIT);
    WaitAllowance { max_wait, late: true }
}
