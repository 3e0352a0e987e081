//! The monotonic clock of the process.

use buckthornwharf_core::prelude::*;
use std::sync::OnceLock;
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// The time since the process first asked for it.
pub fn now() -> MonoTime {
    let start = START.get_or_init(Instant::now);
    let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
    MonoTime::from_micros(micros)
}
