//! Validity of a lease in the key-value service, as its holder tracks it.
//!
//! The service counts the TTL from when it receives a renewal, which is after the renewal was sent.
//! So a holder that counts from the send time, on its own monotonic clock, considers the lease
//! expired before the service does, whatever the network delay or a pause of the process.

use crate::prelude::*;

/// The TTL divided by this is the safety margin for clock drift between holder and service.
const DRIFT_MARGIN_DIVISOR: u32 = 10;
/// The lease is renewed after its TTL divided by this.
const RENEWAL_DIVISOR: u32 = 3;

/// A lease granted to this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    ttl: Duration,
    sent_at: MonoTime,
}

/// The lease can no longer be relied on and must be acquired again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("lease expired; it must be acquired again")]
pub struct LeaseExpiredError;

impl std::error::Error for LeaseExpiredError {}

impl HeldLease {
    /// Creates a lease with `ttl` that was granted to a call sent at `sent_at`.
    pub fn granted(ttl: Duration, sent_at: MonoTime) -> Self {
        Self { ttl, sent_at }
    }

    /// Remaining time from `now` for which the lease can be relied on.
    pub fn remaining(&self, now: MonoTime) -> Duration {
        let reliable_ttl = self.ttl - self.ttl / DRIFT_MARGIN_DIVISOR;
        reliable_ttl.saturating_sub(now.since(self.sent_at))
    }

    /// Whether an operation that starts at `now` and takes up to `duration` ends within the lease.
    pub fn covers(&self, now: MonoTime, duration: Duration) -> bool {
        self.remaining(now) > duration
    }

    /// Time at which the lease is to be renewed.
    pub fn renew_at(&self) -> MonoTime {
        self.sent_at + self.ttl / RENEWAL_DIVISOR
    }

    /// Returns the lease after a renewal that was sent at `sent_at` and confirmed at `now`.
    ///
    /// # Errors
    ///
    /// [`LeaseExpiredError`] if the lease had expired when the response arrived, since another
    /// holder may have acquired it in between.
    pub fn renewed(self, sent_at: MonoTime, now: MonoTime) -> Result<Self, LeaseExpiredError> {
        let held = self.check(now)?;
        let sent_at = held.sent_at.max(sent_at);
        Ok(Self { sent_at, ..held })
    }

    /// Returns the lease if it can be relied on at `now`.
    ///
    /// # Errors
    ///
    /// [`LeaseExpiredError`] otherwise.
    pub fn check(self, now: MonoTime) -> Result<Self, LeaseExpiredError> {
        if self.remaining(now).is_zero() {
            return Err(LeaseExpiredError);
        }
        Ok(self)
    }
}
