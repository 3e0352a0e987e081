//! Fencing of the orders (load, unload) that agents send to a target.
//!
//! Each agent that starts beside a target raises the target's fencing token. A target that checks the
//! token refuses orders of older agents. For a target that does not, the agent also holds a lease: it
//! sends its first order only once the previous agent's lease has expired and its last order must have
//! taken effect, and each order only if the lease outlasts the whole call.

use crate::prelude::*;

/// Maximum time between the end of a call and its effect on the target.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(2);
/// Time to live of a lease on a target.
pub const LEASE_TTL: Duration = Duration::from_secs(30);
/// Time that a lease must outlast the deadline of a call.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);

/// The right to send one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderGrant {
    /// The fencing token to send with the order.
    pub fence: u64,
    /// When the call must have ended or been cancelled.
    pub deadline: MonoTime,
}

/// Why no order may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum OrderRefusal {
    /// this agent has not raised the target's fencing token yet
    NoFence,
    /// another agent has taken over the target and raised its fencing token
    Superseded,
    /// the lease on the target is not held, or expires too soon for the call
    NoLease,
    /// the lease is too recent: orders of the previous agent may still take effect
    TooEarly,
}

impl std::error::Error for OrderRefusal {}

/// State of an agent's right to send orders to a target.
#[derive(Debug, Clone)]
pub struct OrderFence {
    target_checks_fence: bool,
    fence: Option<u64>,
    superseded: bool,
    lease: Option<TargetLease>,
}

#[derive(Debug, Clone, Copy)]
struct TargetLease {
    /// When orders of the previous holder can no longer take effect.
    usable_from: MonoTime,
    expires: MonoTime,
}

impl OrderFence {
    /// Creates the fence of a target. `target_checks_fence`: the target refuses old fencing tokens.
    pub fn new(target_checks_fence: bool) -> Self {
        Self { target_checks_fence, fence: None, superseded: false, lease: None }
    }

    /// Whether the fencing token still has to be raised.
    pub fn needs_fence(&self) -> bool {
        self.fence.is_none()
    }

    /// Whether orders require a lease.
    pub fn needs_lease(&self) -> bool {
        !self.target_checks_fence
    }

    /// Whether another agent has taken over the target.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Records the fencing token that this agent raised the counter to.
    pub fn fence_raised(&mut self, fence: u64) {
        self.fence = Some(fence);
    }

    /// Records the value read from the counter. If it is above the agent's own token, the agent has lost
    /// its right for good.
    pub fn counter_read(&mut self, fence: u64) {
        if self.fence.is_some_and(|own| fence > own) {
            self.superseded = true;
        }
    }

    /// Records that the target refused an order because of its token. No more orders are allowed.
    pub fn fenced_off(&mut self) {
        self.superseded = true;
    }

    /// Records that the lease was granted at `now` by a call sent at `sent`. Its time to live counts from
    /// `sent`, the earliest time at which the service may have granted it.
    pub fn lease_granted(&mut self, sent: MonoTime, now: MonoTime) {
        let usable_from = now + MAX_ORDER_DELAY;
        self.lease = Some(TargetLease { usable_from, expires: sent + LEASE_TTL });
    }

    /// Records that the lease was renewed by a call sent at `sent`.
    pub fn lease_renewed(&mut self, sent: MonoTime) {
        if let Some(lease) = &mut self.lease {
            lease.expires = lease.expires.max(sent + LEASE_TTL);
        }
    }

    /// Records that the lease expired or another agent holds it.
    pub fn lease_lost(&mut self) {
        self.lease = None;
    }

    /// Allows an order whose call takes at most `max_call_time`.
    ///
    /// # Errors
    ///
    /// [`OrderRefusal`] if the agent lacks the token or the lease, or was superseded.
    pub fn allow(
        &self,
        now: MonoTime,
        max_call_time: Duration,
    ) -> Result<OrderGrant, OrderRefusal> {
        if self.superseded {
            return Err(OrderRefusal::Superseded);
        }
        let Some(fence) = self.fence else {
            return Err(OrderRefusal::NoFence);
        };
        let deadline = now + max_call_time;
        if self.target_checks_fence {
            return Ok(OrderGrant { fence, deadline });
        }
        let Some(lease) = self.lease else {
            return Err(OrderRefusal::NoLease);
        };
        if now < lease.usable_from {
            return Err(OrderRefusal::TooEarly);
        }
        if deadline + LEASE_MARGIN > lease.expires {
            return Err(OrderRefusal::NoLease);
        }
        Ok(OrderGrant { fence, deadline })
    }
}

/// The stored value of a target's fencing counter in the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FenceRow {
    /// The fencing token.
    pub fence: u64,
    /// Distinguishes the writes of different agents.
    pub nonce: u64,
}

impl FenceRow {
    /// The row that follows `previous`, or the first one.
    pub fn raise(previous: Option<FenceRow>, nonce: u64) -> Self {
        Self { fence: previous.map_or(0, |row| row.fence) + 1, nonce }
    }
}
