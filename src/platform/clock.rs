//! The process's monotonic clock.

use buckthornwharf_core::prelude::*;
use std::sync::LazyLock;
use std::time::Instant;

static CLOCK_START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// The present on the process's monotonic clock, the same on all threads.
pub fn now() -> MonoTime {
    let micros = CLOCK_START.elapsed().as_micros();
    MonoTime::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
