//! Monotonic time as an argument.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point on a monotonic clock, in microseconds since a start that only the owner of the clock
/// knows. Points of different processes cannot be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The start of the clock.
    pub const ZERO: MonoTime = MonoTime(0);

    /// The point `micros` microseconds after the start of the clock.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The point `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time from `earlier` to `self`; zero if `earlier` is the later one.
    pub fn since(self, earlier: MonoTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonoTime {
    type Output = MonoTime;

    fn add(self, span: Duration) -> MonoTime {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        MonoTime(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for MonoTime {
    type Output = MonoTime;

    fn sub(self, span: Duration) -> MonoTime {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        MonoTime(self.0.saturating_sub(micros))
    }
}
