//! Which requests an entry still takes after the shutdown signal.

use super::WorkKind;
use crate::prelude::*;

/// Time for which the entry still accepts connections during shutdown. The platform stops sending them
/// after two failed readiness probes, one second apart.
const ACCEPT_TIME: Duration = Duration::from_millis(2500);
/// Time reserved between the end of draining and the end of the grace period.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// The time from the shutdown signal to the moment at which open requests are given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainPeriod {
    /// Until when new connections are accepted.
    pub accept_until: MonoTime,
    /// When requests that are still open are given up.
    pub end: MonoTime,
}

impl DrainPeriod {
    /// Returns the period after a signal at `signalled_at`, for a process that is killed `grace` later.
    pub fn new(signalled_at: MonoTime, grace: Duration) -> Self {
        let end = signalled_at + grace.saturating_sub(EXIT_MARGIN);
        Self { accept_until: end.min(signalled_at + ACCEPT_TIME), end }
    }

    /// Returns whether a request that is read at `now` is taken. One that may outlast the period could be
    /// given up while it runs, and another entry can serve it. But callers that may repeat the request lose
    /// little if it is tried while it probably ends in time; a stream only for as long as callers may still be
    /// sent to this entry, since it would be cut.
    pub fn admits(&self, now: MonoTime, kind: WorkKind, deadline: MonoTime) -> bool {
        if deadline <= self.end {
            return true;
        }
        match kind {
            WorkKind::Idempotent => now + deadline.since(now) / 2 <= self.end,
            WorkKind::ResumableStream => now < self.accept_until,
            WorkKind::Once | WorkKind::Stream => false,
        }
    }
}
