//! Monotonic clock of the process, which goes on while the host is suspended.

use buckthornwharf_core::prelude::*;
use rustix::time::{ClockId, Timespec, clock_gettime};
use std::sync::OnceLock;

/// Time of the clock at the first call, so that times before the start of the process can be expressed.
const START_TIME: Duration = Duration::from_hours(24);

static START: OnceLock<Duration> = OnceLock::new();

/// Returns the time since a day before the first call in this process, in whole microseconds. Other than with
/// [`std::time::Instant`], times for which the host was suspended count, so that nothing measured before is taken
/// for current after them.
pub fn now() -> MonoTime {
    let now = since_boot();
    let start = START.get_or_init(|| now);
    let micros = u64::try_from(now.saturating_sub(*start).as_micros()).unwrap_or(u64::MAX);
    MonoTime::from_micros(micros) + START_TIME
}

fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let seconds = Duration::from_secs(u64::try_from(tv_sec).unwrap_or_default());
    seconds + Duration::from_nanos(u64::try_from(tv_nsec).unwrap_or_default())
}
