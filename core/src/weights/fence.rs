//! Which orders an agent may give to its target.
//!
//! Each agent that starts beside a target raises the target's fencing number. A target that checks
//! it refuses orders of older agents. For one that does not, the agent also holds a lease on the
//! target: it gives its first order only after the lease of the agent before has lapsed and that
//! one's last order must have arrived, and each order only if the lease outlasts the whole call.

use crate::prelude::*;

/// Longest time between the end of a call and its effect on the target.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(2);
/// Time for which a lease on a target is granted.
pub const LEASE_TTL: Duration = Duration::from_secs(30);
/// Time that must be left of a lease after the longest end of a call.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);

/// Under what an order is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderGrant {
    /// The fencing number that goes with the order.
    pub fence: u64,
    /// When the call must have ended or been broken off.
    pub deadline: MonoTime,
}

/// Why no order may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum OrderRefusal {
    /// the fencing number has not been raised yet
    NoFence,
    /// another agent has raised the fencing number since
    Superseded,
    /// the target's lease is not held for long enough
    NoLease,
    /// orders of the agent before may still arrive
    TooEarly,
}

impl std::error::Error for OrderRefusal {}

/// What an agent knows of its right to give orders.
#[derive(Debug, Clone)]
pub struct OrderFence {
    checked: bool,
    fence: Option<u64>,
    superseded: bool,
    lease: Option<TargetLease>,
}

#[derive(Debug, Clone, Copy)]
struct TargetLease {
    usable_from: MonoTime,
    until: MonoTime,
}

impl OrderFence {
    /// The fence of a target; `checked` tells whether the target refuses old fencing numbers.
    pub fn new(checked: bool) -> Self {
        Self { checked, fence: None, superseded: false, lease: None }
    }

    /// Whether the fencing number still has to be raised.
    pub fn needs_fence(&self) -> bool {
        self.fence.is_none()
    }

    /// Whether a lease must be held for orders.
    pub fn needs_lease(&self) -> bool {
        !self.checked
    }

    /// Whether another agent has taken over the target.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// The number that this agent raised the counter to.
    pub fn fence_raised(&mut self, fence: u64) {
        self.fence = Some(fence);
    }

    /// The counter was read: a higher number than the agent's own ends its right for good.
    pub fn counter_read(&mut self, fence: u64) {
        if self.fence.is_some_and(|own| fence > own) {
            self.superseded = true;
        }
    }

    /// The target refused an order as too old: the agent gives no order any more.
    pub fn fenced_off(&mut self) {
        self.superseded = true;
    }

    /// The lease was granted at `now` by a call that was sent at `sent`.
    pub fn lease_granted(&mut self, sent: MonoTime, now: MonoTime) {
        let usable_from = now + MAX_ORDER_DELAY;
        self.lease = Some(TargetLease { usable_from, until: sent + LEASE_TTL });
    }

    /// The lease was renewed by a call that was sent at `sent`.
    pub fn lease_renewed(&mut self, sent: MonoTime) {
        if let Some(lease) = &mut self.lease {
            lease.until = lease.until.max(sent + LEASE_TTL);
        }
    }

    /// The lease lapsed or another agent holds it.
    pub fn lease_lost(&mut self) {
        self.lease = None;
    }

    /// Allows an order whose call takes `longest` at most.
    ///
    /// # Errors
    ///
    /// [`OrderRefusal`] tells what is missing.
    pub fn allow(&self, now: MonoTime, longest: Duration) -> Result<OrderGrant, OrderRefusal> {
        if self.superseded {
            return Err(OrderRefusal::Superseded);
        }
        let Some(fence) = self.fence else {
            return Err(OrderRefusal::NoFence);
        };
        let deadline = now + longest;
        if self.checked {
            return Ok(OrderGrant { fence, deadline });
        }
        let Some(lease) = self.lease else {
            return Err(OrderRefusal::NoLease);
        };
        if now < lease.usable_from {
            return Err(OrderRefusal::TooEarly);
        }
        if deadline + LEASE_MARGIN > lease.until {
            return Err(OrderRefusal::NoLease);
        }
        Ok(OrderGrant { fence, deadline })
    }
}

/// The row of a target's fencing counter in the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FenceRow {
    /// The number.
    pub fence: u64,
    /// Tells the write of one agent from those of others.
    pub nonce: u64,
}

impl FenceRow {
    /// The row that raises `before`, or the first one.
    pub fn raise(before: Option<FenceRow>, nonce: u64) -> Self {
        Self { fence: before.map_or(0, |row| row.fence) + 1, nonce }
    }
}
