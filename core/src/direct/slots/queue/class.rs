//! The waiting requests of one priority that can be in time, or that are late.

use super::{Backlog, RecentSum, SlotGrant, SlotRequest, WaitTicket, Waiter};
use crate::prelude::*;
use crate::routing::queue::StartTag;

/// Part of the cost granted to a class that each lower class with requests in time may use first.
const LOWER_SHARE: f64 = 0.05;
/// The same for late requests, whose answers are worth a tenth to a half of those in time.
const LATE_SHARE: f64 = 0.01;
/// Largest credit, in milliseconds of a slot: a few requests.
const MAX_CREDIT: f64 = 1_000.0;

/// Order of the classes: those in time before late ones, then by priority.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassKey {
    /// Whether its requests cannot be in time.
    pub late: bool,
    /// Priority of its requests; a lower number is served first.
    pub priority: u8,
}

impl ClassKey {
    /// Returns the class of a request.
    pub fn of(request: &SlotRequest) -> Self {
        Self { late: request.wait.late, priority: request.priority }
    }
}

/// The waiting requests of one class, by organisation; of all organisations together in the plain
/// order.
#[derive(Debug, Clone, Default)]
pub struct OrderClass {
    key: ClassKey,
    flows: SortedTable<Option<OrganisationName>, OrganisationFlow>,
    /// Start tag of the request served last.
    virtual_time: StartTag,
    /// Cost that may be granted before higher classes, in milliseconds of a slot.
    credit: f64,
    waiting: usize,
    /// Cost of the slots granted recently.
    pub granted: RecentSum,
    /// Cost of the requests that arrived recently.
    pub arrived: RecentSum,
}

/// The waiting requests of one organisation in the order in which they are served.
#[derive(Debug, Clone, Default)]
struct OrganisationFlow {
    tag: StartTag,
    waiters: Vec<Waiter>,
}

impl OrderClass {
    pub fn new(key: ClassKey) -> Self {
        Self { key, ..Self::default() }
    }

    pub fn key(&self) -> ClassKey {
        self.key
    }

    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns the requests for which `competes` returns true.
    pub fn backlog_competing(&self, competes: &impl Fn(&SlotRequest) -> bool) -> Backlog {
        backlog(self.waiters(), competes)
    }

    /// Returns what is served before `waiter` of this class, whose cost is `cost`: the requests of
    /// its organisation that go first, and as much of each other one. Only requests for which
    /// `competes` returns true count.
    pub fn ahead_of(
        &self,
        waiter: &Waiter,
        cost: u32,
        competes: &impl Fn(&SlotRequest) -> bool,
    ) -> Backlog {
        let order = wait_order(waiter);
        let own = self.flows.get(&waiter.request.organisation);
        let own_waiters = own.into_iter().flat_map(|flow| &flow.waiters);
        let before = own_waiters.take_while(|other| wait_order(other) <= order);
        let mut ahead = backlog(before, competes);
        let share = ahead.cost + u64::from(cost);
        for (organisation, flow) in self.flows.iter() {
            if *organisation != waiter.request.organisation {
                let other = backlog(flow.waiters.iter(), competes);
                ahead.requests += other.requests;
                ahead.cost += other.cost.min(share);
            }
        }
        ahead
    }

    /// Adds a waiter to those of its organisation.
    pub fn push(&mut self, waiter: Waiter, fair: bool) {
        let organisation = waiter.request.organisation.clone().filter(|_| fair);
        let flow = self.flows.get_or_insert_with(organisation, OrganisationFlow::default);
        if flow.waiters.is_empty() {
            flow.tag.catch_up(self.virtual_time);
        }
        let index = match fair {
            true => {
                let order = wait_order(&waiter);
                flow.waiters.partition_point(|other| wait_order(other) <= order)
            }
            false => flow.waiters.len(),
        };
        flow.waiters.insert(index, waiter);
        self.waiting += 1;
    }

    pub fn remove(&mut self, ticket: WaitTicket) {
        for flow in self.flows.values_mut() {
            if let Some(index) = flow.waiters.iter().position(|waiter| waiter.ticket == ticket) {
                flow.waiters.remove(index);
                self.waiting -= 1;
            }
        }
    }

    /// Charges a grant without a wait to an organisation.
    pub fn charge(&mut self, organisation: &Option<OrganisationName>, cost: u32) {
        let flow = self.flows.get_or_insert_with(organisation.clone(), OrganisationFlow::default);
        if flow.waiters.is_empty() {
            flow.tag.catch_up(self.virtual_time);
        }
        self.virtual_time = self.virtual_time.max(flow.tag);
        flow.tag.charge(cost, 1);
    }

    /// Removes each waiter that gets a slot, in one pass, and adds it to `grants`; for the plain order.
    pub fn drain(
        &mut self,
        try_grant: &mut impl FnMut(&Waiter) -> Option<SlotGrant>,
        grants: &mut Vec<(WaitTicket, SlotGrant)>,
    ) {
        for flow in self.flows.values_mut() {
            flow.waiters.retain(|waiter| match try_grant(waiter) {
                Some(grant) => {
                    grants.push((waiter.ticket, grant));
                    self.waiting -= 1;
                    false
                }
                None => true,
            });
        }
    }

    /// Removes the first waiter that gets a slot, and returns it with the slot.
    pub fn take_granted(
        &mut self,
        try_grant: &mut impl FnMut(&Waiter) -> Option<SlotGrant>,
    ) -> Option<(Waiter, SlotGrant)> {
        if self.waiting == 0 {
            return None;
        }
        let mut flows: Vec<&mut OrganisationFlow> =
            self.flows.values_mut().filter(|flow| !flow.waiters.is_empty()).collect();
        flows.sort_by_key(|flow| flow.tag);
        for flow in flows {
            let granted = flow
                .waiters
                .iter()
                .enumerate()
                .find_map(|(index, waiter)| try_grant(waiter).map(|grant| (index, grant)));
            if let Some((index, grant)) = granted {
                let waiter = flow.waiters.remove(index);
                self.waiting -= 1;
                self.virtual_time = self.virtual_time.max(flow.tag);
                flow.tag.charge(waiter.cost, 1);
                return Some((waiter, grant));
            }
        }
        None
    }

    /// Returns whether the class may be served before higher ones.
    pub fn has_credit(&self) -> bool {
        let mut waiters = self.flows.values().flat_map(|flow| flow.waiters.first());
        waiters.any(|waiter| f64::from(waiter.cost) <= self.credit)
    }

    /// Adds a part of the cost granted to a higher class, unless no request waits.
    pub fn earn_credit(&mut self, cost: u32) {
        let share = if self.key.late { LATE_SHARE } else { LOWER_SHARE };
        self.credit = match self.waiting {
            0 => 0.0,
            _ => (self.credit + f64::from(cost) * share).min(MAX_CREDIT),
        };
    }

    /// Takes the cost of a grant, in milliseconds of a slot, off the credit.
    pub fn spend_credit(&mut self, cost: u32) {
        self.credit = (self.credit - f64::from(cost)).max(0.0);
    }

    /// Moves the waiters whose longest wait has passed to `expired`.
    pub fn take_expired(&mut self, now: MonoTime, expired: &mut Vec<Waiter>) {
        let before = expired.len();
        for flow in self.flows.values_mut() {
            expired.extend(flow.waiters.extract_if(.., |waiter| waiter.expires_at <= now));
        }
        self.waiting -= expired.len() - before;
    }

    /// Returns when the longest wait of the first waiter passes; `None` if none waits.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.flows.values().flat_map(|flow| &flow.waiters).map(|waiter| waiter.expires_at).min()
    }

    pub fn waiters(&self) -> impl Iterator<Item = &Waiter> {
        self.flows.values().flat_map(|flow| &flow.waiters)
    }

    pub fn waiters_mut(&mut self) -> impl Iterator<Item = &mut Waiter> {
        self.flows.values_mut().flat_map(|flow| &mut flow.waiters)
    }
}

/// Order within an organisation: callers that were refused before, then by the time left.
fn wait_order(waiter: &Waiter) -> (bool, MonoTime) {
    (!waiter.caller.returned, waiter.expires_at)
}

fn backlog<'a>(
    waiters: impl Iterator<Item = &'a Waiter>,
    competes: &impl Fn(&SlotRequest) -> bool,
) -> Backlog {
    let mut backlog = Backlog::default();
    for waiter in waiters.filter(|waiter| competes(&waiter.request)) {
        backlog.requests += 1;
        backlog.cost += u64::from(waiter.cost);
    }
    backlog
}
