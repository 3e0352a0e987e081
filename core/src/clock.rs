//! Monotonic time, passed as an argument.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A time of a monotonic clock, in microseconds since an arbitrary start. Times of different
/// processes cannot be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The start of the clock.
    pub const ZERO: MonoTime = MonoTime(0);

    /// The time `micros` microseconds after the start of the clock.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The time `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: MonoTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonoTime {
    type Output = MonoTime;

    fn add(self, duration: Duration) -> MonoTime {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        MonoTime(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for MonoTime {
    type Output = MonoTime;

    fn sub(self, duration: Duration) -> MonoTime {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        MonoTime(self.0.saturating_sub(micros))
    }
}

/// Returns a duration in milliseconds, with its fraction.
pub fn millis_f64(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
