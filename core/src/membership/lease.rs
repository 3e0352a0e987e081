//! Whether a lease in the key-value service can still be relied on.
//!
//! The service counts from the moment it takes a renewal, which is after the renewal was sent. So a
//! holder that counts from the sending, on its own monotonic clock, gives up before the service
//! does, however long the answer was under way or the process was paused.

use crate::prelude::*;

/// Part of the lease that is kept in hand for clocks that run at different rates.
const DRIFT_PART: u32 = 10;
/// Part of the lease after which it is renewed.
const RENEW_PART: u32 = 3;

/// A lease that the process holds, as far as it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    length: Duration,
    sent_at: MonoTime,
}

/// A lease that can no longer be relied on. It must be acquired anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("the lease lapsed")]
pub struct LeaseExpiredError;

impl std::error::Error for LeaseExpiredError {}

impl HeldLease {
    /// A lease of `length` that was granted to a call sent at `sent_at`.
    pub fn granted(length: Duration, sent_at: MonoTime) -> Self {
        Self { length, sent_at }
    }

    /// Time for which the lease can be relied on from `now`.
    pub fn remaining(&self, now: MonoTime) -> Duration {
        let reliable = self.length - self.length / DRIFT_PART;
        reliable.saturating_sub(now.since(self.sent_at))
    }

    /// Whether work that starts at `now` and takes at most `work` ends within the lease.
    pub fn covers(&self, now: MonoTime, work: Duration) -> bool {
        self.remaining(now) > work
    }

    /// When the lease is to be renewed.
    pub fn renew_at(&self) -> MonoTime {
        self.sent_at + self.length / RENEW_PART
    }

    /// The lease after a renewal that was sent at `sent_at` and answered well at `now`.
    ///
    /// # Errors
    ///
    /// [`LeaseExpiredError`] if the lease could not be relied on any more when the answer came: another
    /// holder may have come in between.
    pub fn renewed(self, sent_at: MonoTime, now: MonoTime) -> Result<Self, LeaseExpiredError> {
        let held = self.check(now)?;
        let sent_at = held.sent_at.max(sent_at);
        Ok(Self { sent_at, ..held })
    }

    /// The lease if it can be relied on at `now`.
    ///
    /// # Errors
    ///
    /// [`LeaseExpiredError`] if not.
    pub fn check(self, now: MonoTime) -> Result<Self, LeaseExpiredError> {
        if self.remaining(now).is_zero() {
            return Err(LeaseExpiredError);
        }
        Ok(self)
    }
}
