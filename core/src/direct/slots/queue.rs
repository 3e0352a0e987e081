//! The requests that wait for a place at the targets of one service.

use super::{SlotGrant, SlotRequest, WaitTicket};
use crate::prelude::*;
use std::collections::VecDeque;

/// Time over which the rate of freed places is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Freed places that are remembered.
const MAX_REMEMBERED: usize = 512;

/// A waiting request.
#[derive(Debug, Clone)]
pub(super) struct Waiter {
    pub ticket: WaitTicket,
    pub until: MonoTime,
    pub request: SlotRequest,
}

/// Waiting requests in the order of their turn, and how fast places are freed.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceQueue {
    waiters: Vec<Waiter>,
    releases: VecDeque<MonoTime>,
}

impl ServiceQueue {
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Waiting requests that go before `request`, if it came now.
    pub fn ahead_of(&self, request: &SlotRequest) -> usize {
        let order = order_of(request);
        self.waiters.partition_point(|waiter| order_of(&waiter.request) <= order)
    }

    pub fn push(&mut self, waiter: Waiter) {
        let at = self.ahead_of(&waiter.request);
        self.waiters.insert(at, waiter);
    }

    pub fn remove(&mut self, ticket: WaitTicket) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
    }

    pub fn count_release(&mut self, now: MonoTime) {
        if self.releases.len() == MAX_REMEMBERED {
            self.releases.pop_front();
        }
        self.releases.push_back(now);
    }

    /// How long a request with `ahead` others before it will wait, where `places` are in use.
    pub fn expected_wait(&mut self, now: MonoTime, ahead: usize, places: u32) -> Duration {
        while self.releases.front().is_some_and(|at| now.since(*at) > RATE_WINDOW) {
            self.releases.pop_front();
        }
        if places == 0 {
            return Duration::MAX;
        }
        let turns = ahead as u32 + 1;
        // Without a measured rate each place is taken to be free again once in the window.
        let per_window = (self.releases.len() as u32).max(places.div_ceil(2));
        RATE_WINDOW * turns / per_window.max(1)
    }

    /// Takes out each waiter that `place` has a place for, in turn.
    pub fn take_where(
        &mut self,
        mut place: impl FnMut(&SlotRequest) -> Option<SlotGrant>,
        grants: &mut Vec<(WaitTicket, SlotGrant)>,
    ) {
        self.waiters.retain(|waiter| match place(&waiter.request) {
            Some(grant) => {
                grants.push((waiter.ticket, grant));
                false
            }
            None => true,
        });
    }

    pub fn expire(&mut self, now: MonoTime) -> Vec<WaitTicket> {
        let due = |waiter: &&Waiter| waiter.until <= now;
        let tickets: Vec<WaitTicket> =
            self.waiters.iter().filter(due).map(|waiter| waiter.ticket).collect();
        self.waiters.retain(|waiter| waiter.until > now);
        tickets
    }

    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.waiters.iter().map(|waiter| waiter.until).min()
    }
}

/// Requests that can still be answered in time go first, then those of the better rank.
fn order_of(request: &SlotRequest) -> (bool, u8) {
    (request.wait.late, request.priority)
}
