//! How long a request may wait for a place, and whether an answer in time is still to be expected.

use crate::prelude::*;

/// Part of an objective that is kept for the target, in percent; the rest may be spent waiting.
const TARGET_PERCENT: u32 = 55;
/// Part of the time that is left which a request that is late anyway may wait, in percent.
const LATE_PERCENT: u32 = 20;
/// Longest wait of a request that is late anyway.
const LONGEST_LATE_WAIT: Duration = Duration::from_millis(900);
/// Time for which the longest patience that callers showed is remembered.
const MEMORY: Duration = Duration::from_secs(20);
/// A caller that shows less than this part of the usual patience has tried before, in percent. Callers
/// differ in patience at their first try; one that was refused comes back with less than that, since
/// the time that it was told is longer than the difference.
const RETURN_PERCENT: u32 = 84;

/// The patience that callers of a route show at their first try. A caller that comes back after a
/// refusal shows what is left of it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UsualPatience {
    longest: Duration,
    seen_at: MonoTime,
}

impl UsualPatience {
    /// Takes in the patience of a caller; the time that passed since its first try, as far as can
    /// be told.
    pub fn take(&mut self, now: MonoTime, patience: Duration) -> Duration {
        if patience >= self.longest || now.since(self.seen_at) > MEMORY {
            self.longest = patience;
            self.seen_at = now;
            return Duration::ZERO;
        }
        if patience >= self.longest * RETURN_PERCENT / 100 {
            return Duration::ZERO;
        }
        self.longest - patience
    }
}

/// How a request may wait for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitAllowance {
    /// How long.
    pub patience: Duration,
    /// Whether its answer is late anyway, so that others go first.
    pub late: bool,
}

/// The wait of a request with `objective`, first tried `elapsed` ago, that has `time_left`.
pub fn wait_allowance(
    objective: Duration,
    elapsed: Duration,
    time_left: Duration,
) -> WaitAllowance {
    let spare = objective * (100 - TARGET_PERCENT) / 100;
    if elapsed < spare {
        return WaitAllowance { patience: (spare - elapsed).min(time_left), late: false };
    }
    let patience = (time_left * LATE_PERCENT / 100).min(LONGEST_LATE_WAIT);
    WaitAllowance { patience, late: true }
}
