//! Monotonic clock of the process.

use buckthornwharf_core::prelude::*;
use std::sync::OnceLock;
use std::time::Instant;

/// Time of the clock at the first call, so that times before the start of the process can be expressed.
const START_TIME: Duration = Duration::from_hours(24);

static START: OnceLock<Instant> = OnceLock::new();

/// Returns the time since a day before the first call in this process, in whole microseconds.
pub fn now() -> MonoTime {
    let start = START.get_or_init(Instant::now);
    let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
    MonoTime::from_micros(micros) + START_TIME
}
