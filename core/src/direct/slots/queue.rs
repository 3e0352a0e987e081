//! Queue of requests that wait for a slot at the targets of one service.
//!
//! In the plain order, requests that can still be in time go before late ones, by priority, first
//! in first out. In the fair order, organisations of a class share the targets by the slot time
//! that they use, callers that return after a refusal go before new ones, and a lower class keeps a
//! small share.

mod class;
mod cost;
mod decision;
mod recent;
mod reservation;

use super::{SlotGrant, SlotRequest, SlotScheduler, WaitTicket};
use crate::direct::demand::demand_class;
use crate::direct::{CallerTime, ClassDemand, EngineSpec};
use crate::prelude::*;
use class::{ClassKey, OrderClass};
use cost::CostEstimate;
pub(super) use decision::{late_wait, plain_retry_after, retry_after};
use recent::{RecentReleases, RecentSum};
pub(in crate::direct) use reservation::Reservation;

/// Window over which the rate of released slots is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Cost of a slot that is in use for [`RATE_WINDOW`], in the fair order.
const WINDOW_COST: u64 = 1_000;
/// Lowest part of the rate that late requests are expected to get.
const MIN_RATE_DIVISOR: u64 = 20;
/// Maximum number of distinct kinds of requests whose failure to get a slot is remembered.
const MAX_KINDS: usize = 1_024;

/// A waiting request.
#[derive(Debug, Clone)]
pub(super) struct Waiter {
    pub ticket: WaitTicket,
    pub expires_at: MonoTime,
    pub request: SlotRequest,
    pub caller: CallerTime,
    /// Time until which the caller waits for the answer.
    pub deadline: MonoTime,
    /// Whether a target was reserved for it.
    pub had_reservation: bool,
    /// Expected cost: 1 in the plain order, milliseconds of a slot in the fair order.
    cost: u32,
    /// Index of the requests that the same targets can take, if it is remembered.
    kind: Option<usize>,
}

impl Waiter {
    /// Creates the waiter of a request that arrives now.
    pub fn new(
        now: MonoTime,
        ticket: WaitTicket,
        request: SlotRequest,
        caller: CallerTime,
    ) -> Self {
        Self {
            ticket,
            expires_at: now + request.wait.max_wait,
            deadline: now + caller.time_left,
            request,
            caller,
            had_reservation: false,
            cost: 1,
            kind: None,
        }
    }

    /// Returns the caller with the time that it has left at `now`.
    pub fn caller_at(&self, now: MonoTime) -> CallerTime {
        CallerTime { time_left: self.deadline.since(now), ..self.caller }
    }
}

/// What is served before a request, if it is queued.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Backlog {
    pub requests: usize,
    pub cost: u64,
}

/// The first of the requests that the same targets can take: those with its route, organisation and model.
#[derive(Debug, Clone)]
struct RequestKind(SlotRequest);

/// Size of a failed request: larger ones of its kind get no slot either.
#[derive(Debug, Clone, Copy)]
struct FailedSize {
    prompt_tokens: u32,
    /// 0 if the length of the answer is not known; `None` if it does not decide on targets.
    answer_tokens: Option<u32>,
    /// A late request may only use a part of the prefill capacity, so it says nothing of those in time.
    late: bool,
}

impl FailedSize {
    const ANY: Self = Self { prompt_tokens: 0, answer_tokens: None, late: false };

    fn covers(&self, request: &SlotRequest) -> bool {
        let answer = request.answer_tokens;
        let is_covered = |failed: u32| answer == failed || (failed > 0 && answer > failed);
        request.prompt_tokens >= self.prompt_tokens
            && self.answer_tokens.is_none_or(is_covered)
            && (request.wait.late || !self.late)
    }
}

/// The smallest request of each kind that got no slot.
struct FailedKinds {
    sizes: Vec<Option<FailedSize>>,
    /// Whether the length of the answer decides on targets, too, by their memory.
    checks_memory: bool,
}

impl FailedKinds {
    fn new(kinds: usize, checks_memory: bool) -> Self {
        Self { sizes: vec![None; kinds], checks_memory }
    }

    fn covers(&self, waiter: &Waiter) -> bool {
        let smallest = waiter.kind.and_then(|kind| *self.sizes.get(kind)?);
        smallest.is_some_and(|smallest| smallest.covers(&waiter.request))
    }

    fn record(&mut self, waiter: &Waiter) {
        let smallest = waiter.kind.and_then(|kind| self.sizes.get_mut(kind));
        if let Some(smallest) = smallest
            && waiter.request.tried.is_empty()
        {
            *smallest = Some(FailedSize {
                prompt_tokens: waiter.request.prompt_tokens,
                answer_tokens: self.checks_memory.then_some(waiter.request.answer_tokens),
                late: waiter.request.wait.late,
            });
        }
    }

    /// Excludes the requests that compete with `waiter`, whatever their size, and that no other target can
    /// take.
    fn block_competing(
        &mut self,
        scheduler: &SlotScheduler,
        waiter: &Waiter,
        kinds: &[RequestKind],
    ) {
        if !waiter.request.tried.is_empty() {
            return;
        }
        for (smallest, RequestKind(request)) in self.sizes.iter_mut().zip(kinds) {
            if request.model == waiter.request.model
                && scheduler.competes(&waiter.request, request)
                && !scheduler.can_go_elsewhere(&waiter.request, request)
            {
                *smallest = Some(FailedSize::ANY);
            }
        }
    }
}

/// Waiting requests in the order in which they are served, and the recent releases of slots.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceQueue {
    fair: bool,
    /// Sorted by key.
    classes: Vec<OrderClass>,
    releases: RecentReleases,
    estimate: CostEstimate,
    kinds: Vec<RequestKind>,
}

impl ServiceQueue {
    /// Creates an empty queue, in the fair order or in the plain one.
    pub fn new(fair: bool) -> Self {
        Self { fair, ..Self::default() }
    }

    /// Sets the published figures from which costs are estimated.
    pub fn set_engine(&mut self, engine: &EngineSpec) {
        self.estimate.set_engine(engine);
    }

    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(OrderClass::is_empty)
    }

    pub fn len(&self) -> usize {
        self.classes.iter().map(OrderClass::len).sum()
    }

    /// Returns the time for which `request` is expected to use a slot.
    pub fn service_time(&self, request: &SlotRequest) -> Duration {
        Duration::from_millis(self.estimate.cost(request).into())
    }

    /// Returns what is served before `waiter`, of the requests for which `competes` returns true.
    pub fn ahead_of(&self, waiter: &Waiter, competes: impl Fn(&SlotRequest) -> bool) -> Backlog {
        let request = &waiter.request;
        let key = ClassKey::of(request);
        let competes = |waiting: &SlotRequest| {
            (!self.fair || waiting.model == request.model) && competes(waiting)
        };
        let before = self.classes.iter().take_while(|class| class.key() <= key);
        let mut ahead = Backlog::default();
        for class in before {
            let backlog = match self.fair && class.key() == key {
                true => class.ahead_of(waiter, self.cost_of(request), &competes),
                false => class.backlog_competing(&competes),
            };
            ahead.requests += backlog.requests;
            ahead.cost += backlog.cost;
        }
        ahead
    }

    /// Iterates over the waiting requests by class.
    pub fn requests(&self) -> impl Iterator<Item = (WaitTicket, &SlotRequest)> {
        let waiters = self.classes.iter().flat_map(OrderClass::waiters);
        waiters.map(|waiter| (waiter.ticket, &waiter.request))
    }

    /// Adds a waiter, whose longest wait begins now.
    pub fn push(&mut self, now: MonoTime, mut waiter: Waiter) {
        waiter.cost = self.cost_of(&waiter.request);
        waiter.expires_at = now + waiter.request.wait.max_wait;
        waiter.kind = self.kind_of(&waiter.request);
        let fair = self.fair;
        self.class_mut(ClassKey::of(&waiter.request)).push(waiter, fair);
    }

    /// Removes the waiter with this ticket, if it is there.
    pub fn remove(&mut self, ticket: WaitTicket) {
        self.classes.iter_mut().for_each(|class| class.remove(ticket));
    }

    /// Records the arrival of a request, whatever is decided on it.
    pub fn count_arrival(&mut self, now: MonoTime, request: &SlotRequest) {
        if self.fair {
            let cost = self.cost_of(request);
            self.class_mut(ClassKey::of(request)).arrived.add(now, RATE_WINDOW, cost);
        }
    }

    /// Adds the cost of the recent arrivals by class, if agents report on the targets.
    pub fn add_demand(&mut self, now: MonoTime, demand: &mut ClassDemand) {
        for class in self.classes.iter_mut().filter(|_| self.estimate.has_engine()) {
            let key = class.key();
            let sum = &mut demand[demand_class(key.late, key.priority)];
            let arrived = class.arrived.sum(now, RATE_WINDOW);
            *sum = sum.saturating_add(u32::try_from(arrived).unwrap_or(u32::MAX));
        }
    }

    /// Records that `request` got a slot without waiting.
    pub fn count_direct_grant(&mut self, now: MonoTime, request: &SlotRequest) {
        if !self.fair {
            return;
        }
        let cost = self.cost_of(request);
        let key = ClassKey::of(request);
        self.class_mut(key).charge(&request.organisation, cost);
        self.count_grant(now, key, request, cost);
    }

    /// Records that a slot was released. `answered_at`: site of its target, if a request has used it.
    pub fn count_release(&mut self, now: MonoTime, answered_at: Option<SiteName>) {
        if self.fair {
            self.estimate.record_release(now);
        }
        if let Some(site) = answered_at {
            let cost = if self.fair { self.estimate.mean_cost() } else { 1 };
            self.releases.add(now, site, cost);
        }
    }

    /// Estimates how long `waiter`, with `ahead` before it, waits for one of `slots` slots, which are at
    /// targets of sites for which `is_usable` returns true.
    pub fn expected_wait(
        &mut self,
        now: MonoTime,
        waiter: &Waiter,
        ahead: Backlog,
        slots: u32,
        is_usable: impl Fn(&SiteName) -> bool,
    ) -> Duration {
        let freed = self.releases.sum_at(now, RATE_WINDOW, is_usable);
        if slots == 0 {
            return Duration::MAX;
        }
        // With few or no recent releases, half of the slots are assumed to be released per window.
        if !self.fair {
            let per_window = (freed as u32).max(slots.div_ceil(2)).max(1);
            return RATE_WINDOW * (ahead.requests as u32 + 1) / per_window;
        }
        let mut per_window = freed.max(u64::from(slots) * WINDOW_COST / 2);
        if waiter.request.wait.late {
            // Requests in time that have not arrived yet will go first as well.
            let key = ClassKey::of(&waiter.request);
            let higher = self.classes.iter_mut().take_while(|class| class.key() < key);
            let taken: u64 = higher.map(|class| class.granted.sum(now, RATE_WINDOW)).sum();
            per_window = per_window.saturating_sub(taken).max(per_window / MIN_RATE_DIVISOR);
        }
        let needed = ahead.cost + u64::from(self.cost_of(&waiter.request));
        RATE_WINDOW.mul_f64(needed as f64 / per_window.max(1) as f64)
    }

    /// Removes each waiter that gets a slot of `scheduler`, in queue order, and adds it to `grants`. The
    /// queue must not be one of `scheduler` meanwhile. `reserved` is the waiter that may get a slot where others of its kind cannot.
    pub fn drain_granted(
        &mut self,
        now: MonoTime,
        reserved: Option<WaitTicket>,
        large_tokens: u32,
        scheduler: &mut SlotScheduler,
        grants: &mut Vec<(WaitTicket, SlotGrant)>,
    ) {
        if !self.fair {
            let mut try_waiter =
                |waiter: &Waiter| scheduler.try_grant(now, &waiter.request, waiter.ticket);
            self.classes.iter_mut().for_each(|class| class.drain(&mut try_waiter, grants));
            return;
        }
        let mut failed = FailedKinds::new(self.kinds.len(), scheduler.learns_limits());
        let kinds = std::mem::take(&mut self.kinds);
        let mut try_waiter = |waiter: &Waiter| {
            if failed.covers(waiter) && reserved != Some(waiter.ticket) {
                return None;
            }
            let grant = scheduler.try_grant(now, &waiter.request, waiter.ticket);
            if grant.is_none() {
                failed.record(waiter);
                // Smaller prompts would take the prefill capacity that it waits for.
                let is_large = waiter.request.prompt_tokens > large_tokens;
                if !waiter.request.wait.late && !is_large {
                    failed.block_competing(scheduler, waiter, &kinds);
                }
            }
            grant
        };
        let classes = self.classes.len();
        let mut take = |queue: &mut Self, index: usize| {
            let class = &mut queue.classes[index];
            let (waiter, grant) = class.take_granted(&mut try_waiter)?;
            let key = class.key();
            queue.count_grant(now, key, &waiter.request, waiter.cost);
            grants.push((waiter.ticket, grant));
            Some(waiter.cost)
        };
        for index in 1..classes {
            while self.classes[index].has_credit()
                && let Some(cost) = take(self, index)
            {
                self.classes[index].spend_credit(cost);
            }
        }
        for index in 0..classes {
            while take(self, index).is_some() {}
        }
        self.kinds = kinds;
    }

    /// Removes the waiters whose longest wait has passed and returns them.
    pub fn take_expired(&mut self, now: MonoTime) -> Vec<Waiter> {
        let mut expired = Vec::new();
        self.classes.iter_mut().for_each(|class| class.take_expired(now, &mut expired));
        expired
    }

    /// Returns when the longest wait of the first waiter passes; `None` if none waits.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.classes.iter().filter_map(OrderClass::next_expiry).min()
    }

    /// Returns the first waiter, of those in time, for which `needs_reservation` holds and no target
    /// was reserved before.
    pub fn first_without_reservation(
        &mut self,
        needs_reservation: impl Fn(&SlotRequest) -> bool,
    ) -> Option<&mut Waiter> {
        let in_time = self.classes.iter_mut().filter(|class| !class.key().late);
        let mut waiters = in_time.flat_map(OrderClass::waiters_mut);
        waiters.find(|waiter| !waiter.had_reservation && needs_reservation(&waiter.request))
    }

    fn cost_of(&self, request: &SlotRequest) -> u32 {
        if self.fair { self.estimate.cost(request) } else { 1 }
    }

    fn count_grant(&mut self, now: MonoTime, key: ClassKey, request: &SlotRequest, cost: u32) {
        if !self.fair {
            return;
        }
        self.estimate.record_grant(now, request);
        for class in &mut self.classes {
            if class.key() == key {
                class.granted.add(now, RATE_WINDOW, cost);
            } else if class.key() > key {
                class.earn_credit(cost);
            }
        }
    }

    fn class_mut(&mut self, key: ClassKey) -> &mut OrderClass {
        let index = match self.classes.binary_search_by_key(&key, OrderClass::key) {
            Ok(index) => index,
            Err(index) => {
                self.classes.insert(index, OrderClass::new(key));
                index
            }
        };
        &mut self.classes[index]
    }

    fn kind_of(&mut self, request: &SlotRequest) -> Option<usize> {
        if !self.fair {
            return None;
        }
        let is_kind = |kind: &RequestKind| {
            kind.0.route == request.route
                && kind.0.organisation == request.organisation
                && kind.0.model == request.model
        };
        if self.is_empty() {
            self.kinds.clear();
        }
        let found = self.kinds.iter().position(is_kind);
        if found.is_none() && self.kinds.len() < MAX_KINDS {
            self.kinds.push(RequestKind(request.clone()));
            return Some(self.kinds.len() - 1);
        }
        found
    }
}
