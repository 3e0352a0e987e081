//! Place of a large prompt at a target that is still reading smaller ones.

use crate::direct::WaitTicket;
use crate::prelude::*;

/// A target that gets no other prompts of this entry until the waiting one fits. Small prompts would
/// take its prefill capacity otherwise, each time that some of it becomes free.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    pub ticket: WaitTicket,
    pub target: Arc<str>,
    pub until: MonoTime,
}

impl Reservation {
    /// Returns whether the target is closed to the request with this ticket.
    pub fn excludes(&self, now: MonoTime, target: &str, ticket: WaitTicket) -> bool {
        now < self.until && ticket != self.ticket && *target == *self.target
    }
}
