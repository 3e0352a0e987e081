//! Queue of requests that wait for a slot at the targets of one service.

use super::{SlotGrant, SlotRequest, WaitTicket};
use crate::prelude::*;
use std::collections::VecDeque;

/// Window over which the rate of released slots is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of releases remembered for that.
const MAX_RELEASES: usize = 512;

/// A waiting request.
#[derive(Debug, Clone)]
pub(super) struct Waiter {
    pub ticket: WaitTicket,
    pub expires_at: MonoTime,
    pub request: SlotRequest,
}

/// Waiting requests in the order in which they are served, and the recent releases of slots.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceQueue {
    waiters: Vec<Waiter>,
    /// Time of each release, and the site of its target.
    recent_releases: VecDeque<(MonoTime, SiteName)>,
}

impl ServiceQueue {
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns how many waiting requests that compete with `request` would be served before it, if it arrived
    /// now.
    pub fn ahead_of(
        &self,
        request: &SlotRequest,
        competes: impl Fn(&SlotRequest) -> bool,
    ) -> usize {
        let ahead = &self.waiters[..self.index_of(request)];
        ahead.iter().filter(|waiter| competes(&waiter.request)).count()
    }

    fn index_of(&self, request: &SlotRequest) -> usize {
        let order = queue_order(request);
        self.waiters.partition_point(|waiter| queue_order(&waiter.request) <= order)
    }

    /// Iterates over the waiting requests in queue order.
    pub fn requests(&self) -> impl Iterator<Item = (WaitTicket, &SlotRequest)> {
        self.waiters.iter().map(|waiter| (waiter.ticket, &waiter.request))
    }

    pub fn push(&mut self, waiter: Waiter) {
        let index = self.index_of(&waiter.request);
        self.waiters.insert(index, waiter);
    }

    pub fn remove(&mut self, ticket: WaitTicket) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
    }

    /// Records that a slot was released at a target of `site`.
    pub fn count_release(&mut self, now: MonoTime, site: SiteName) {
        if self.recent_releases.len() == MAX_RELEASES {
            self.recent_releases.pop_front();
        }
        self.recent_releases.push_back((now, site));
    }

    /// Estimates how long a request with `ahead` others before it waits for one of `slots` slots, which
    /// are at targets of sites for which `is_usable` returns true.
    pub fn expected_wait(
        &mut self,
        now: MonoTime,
        ahead: usize,
        slots: u32,
        is_usable: impl Fn(&SiteName) -> bool,
    ) -> Duration {
        while self
            .recent_releases
            .front()
            .is_some_and(|(released, _)| now.since(*released) > RATE_WINDOW)
        {
            self.recent_releases.pop_front();
        }
        if slots == 0 {
            return Duration::MAX;
        }
        let releases_needed = ahead as u32 + 1;
        // With few or no recent releases, half of the slots are assumed to be released per window.
        let releases = self.recent_releases.iter().filter(|(_, site)| is_usable(site)).count();
        let releases_per_window = (releases as u32).max(slots.div_ceil(2));
        RATE_WINDOW * releases_needed / releases_per_window.max(1)
    }

    /// Removes each waiter for which `try_grant` returns a slot, in queue order, and adds it to
    /// `grants`.
    pub fn drain_granted(
        &mut self,
        mut try_grant: impl FnMut(&SlotRequest) -> Option<SlotGrant>,
        grants: &mut Vec<(WaitTicket, SlotGrant)>,
    ) {
        self.waiters.retain(|waiter| match try_grant(&waiter.request) {
            Some(grant) => {
                grants.push((waiter.ticket, grant));
                false
            }
            None => true,
        });
    }

    /// Removes the waiters whose longest wait has passed and returns their tickets.
    pub fn expire(&mut self, now: MonoTime) -> Vec<WaitTicket> {
        let is_expired = |waiter: &&Waiter| waiter.expires_at <= now;
        let tickets: Vec<WaitTicket> =
            self.waiters.iter().filter(is_expired).map(|waiter| waiter.ticket).collect();
        self.waiters.retain(|waiter| waiter.expires_at > now);
        tickets
    }

    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.waiters.iter().map(|waiter| waiter.expires_at).min()
    }
}

/// Sort key: requests that can still meet their latency objective first, then by priority.
fn queue_order(request: &SlotRequest) -> (bool, u8) {
    (request.wait.late, request.priority)
}
