//! Admission and scheduling of requests: which target a request is sent to, how long it may wait
//! for a slot, and when it is refused.
//!
//! Each target processes a fixed number of requests concurrently (its slots), several entries send
//! to the same targets, and the offered load exceeds their capacity for seconds at a time. A
//! request therefore waits only as long as a response in time can still be expected.

mod entry_regions;
mod grant;
mod learned;
mod load;
mod notices;
mod placing;
mod preview;
mod queue;
mod rate_limit;
mod restrictions;
mod token_bucket;

use super::capacity::{CapacityTable, SpeedSample};
use super::placement::{PlacementCheck, PlacementObstacle, PlacementRules};
use super::{
    CallerTime, ClassDemand, DeclaredVersion, DeclaredVersions, EngineSpec, RegisteredTarget,
    WaitAllowance,
};
use crate::prelude::*;
pub use entry_regions::EntryRegions;
pub use grant::{Admission, SlotGrant, SlotOutcome, SlotRequest, WaitTicket};
pub(in crate::direct) use load::TargetLoad;
pub use notices::MAX_PAUSE;
pub(in crate::direct) use notices::NoticeTable;
pub use preview::{SlotPreview, TargetPreview};
pub(in crate::direct) use queue::Reservation;
use queue::{Backlog, ServiceQueue, Waiter, late_wait, plain_retry_after, retry_after};
pub(in crate::direct) use token_bucket::TokenBucket;

/// Longest time that a target may need to read the pending prompts of one entry, so that the
/// response to the last one is not late.
const MAX_PREFILL_TIME: Duration = Duration::from_millis(100);
/// A prompt above this part of the prefill limit is large: two of them do not fit.
const LARGE_DIVISOR: u32 = 2;
/// Part of the prefill limit that late requests may use, in the fair order.
const LATE_PREFILL_DIVISOR: u32 = 4;

/// Grants slots at targets to this entry's requests, and queues or refuses requests while there is
/// none.
#[derive(Debug, Clone)]
pub struct SlotScheduler {
    regions: EntryRegions,
    targets: SortedTable<Arc<str>, TargetLoad>,
    notices: NoticeTable,
    queues: SortedTable<ServiceName, ServiceQueue>,
    /// Whether waiting requests are ordered fairly.
    fair: bool,
    /// Targets reserved for large prompts, by service.
    reservations: SortedTable<ServiceName, Reservation>,
    versions: SortedTable<ModelName, DeclaredVersions>,
    /// Maximum number of unread prompt tokens of this entry at one target, by service.
    prefill_limits: SortedTable<ServiceName, u32>,
    rules: PlacementRules,
    /// Whether waiting requests may have lost their last allowed target.
    recheck_waiting: bool,
    next_ticket: WaitTicket,
    /// The learned limits; `None` while they are not enabled.
    capacity: Option<CapacityTable>,
}

impl SlotScheduler {
    /// Creates the scheduler of the only entry in `regions`; targets in its own region are preferred.
    pub fn new(regions: EntryRegions) -> Self {
        Self {
            regions,
            targets: SortedTable::new(),
            notices: NoticeTable::default(),
            queues: SortedTable::new(),
            fair: false,
            reservations: SortedTable::new(),
            versions: SortedTable::new(),
            prefill_limits: SortedTable::new(),
            rules: PlacementRules::default(),
            recheck_waiting: false,
            next_ticket: 0,
            capacity: None,
        }
    }

    /// Orders waiting requests fairly; to be called before the first request.
    pub fn with_fair_queue(mut self, fair: bool) -> Self {
        self.fair = fair;
        self
    }

    /// Replaces the other entries that share the targets by those in these regions.
    pub fn set_other_entries<'a>(&mut self, regions: impl Iterator<Item = &'a RegionName>) {
        self.regions.set_others(regions);
        self.update_limit_shares();
    }

    /// Returns the live entries by region.
    pub fn regions(&self) -> &EntryRegions {
        &self.regions
    }

    /// Adds a declared version of `model`, and returns whether it or its times are new.
    pub fn declare(&mut self, model: &ModelName, declared: DeclaredVersion) -> bool {
        let versions = self.versions.get_or_insert_with(model.clone(), DeclaredVersions::default);
        versions.declare(declared)
    }

    /// Sets how many prompt tokens per second the targets of a service read.
    pub fn set_prefill_rate(&mut self, service: &ServiceName, tokens_per_second: u32) {
        let max_tokens = f64::from(tokens_per_second) * MAX_PREFILL_TIME.as_secs_f64();
        self.prefill_limits.insert(service.clone(), max_tokens as u32);
    }

    /// Sets the published figures of a service's engines, which bound the unread prompts, and from which costs are
    /// estimated and limits are learned.
    pub fn set_engine(&mut self, service: &ServiceName, engine: Option<&EngineSpec>) {
        if let Some(engine) = engine {
            self.queue_mut(service).set_engine(engine);
            if let Some(rate) = engine.prompt_tokens_per_second {
                self.set_prefill_rate(service, rate);
            }
        }
        if let Some(table) = &mut self.capacity {
            table.set_engine(service, engine);
        }
    }

    /// Replaces the targets. A target that is no longer registered gets no further requests and is
    /// kept until this entry's requests at it have ended.
    pub fn set_targets<'a>(&mut self, records: impl Iterator<Item = &'a Arc<RegisteredTarget>>) {
        let mut registered_ids: Vec<Arc<str>> = Vec::new();
        for record in records {
            registered_ids.push(record.id.clone());
            match self.targets.get_mut(&record.id) {
                Some(load) => load.set_record(record.clone()),
                None => {
                    let local = self.regions.is_local(&record.site);
                    self.targets.insert(record.id.clone(), TargetLoad::new(record.clone(), local));
                }
            }
        }
        registered_ids.sort_unstable();
        self.targets
            .retain(|id, load| load.in_flight > 0 || registered_ids.binary_search(id).is_ok());
        for load in self.targets.values_mut() {
            load.registered = registered_ids.binary_search(&load.record.id).is_ok();
        }
        self.recheck_waiting = true;
        self.update_learned_targets();
        self.update_limit_shares();
    }

    /// Stores a target's load report: the number of requests of all entries that it runs or queues,
    /// and whether it accepts more.
    pub fn set_load(&mut self, now: MonoTime, id: &str, requests: u32, accepting: bool) {
        if let Some(load) = self.targets.get_mut(id) {
            load.set_report(now, requests, accepting);
        }
    }

    /// Stores the part of a target's free slots, in thousandths, that this entry may take of those for its
    /// region; `None` for an equal part. It holds until the next report.
    pub fn set_part(&mut self, id: &str, part: Option<u16>) {
        if let Some(load) = self.targets.get_mut(id) {
            load.set_part(part.filter(|_| self.fair));
        }
    }

    /// Returns the cost of the requests that arrived within the last second, by class, over the
    /// services whose engines agents report on.
    pub fn demand(&mut self, now: MonoTime) -> ClassDemand {
        let mut demand = ClassDemand::default();
        self.queues.values_mut().for_each(|queue| queue.add_demand(now, &mut demand));
        demand
    }

    /// Grants a slot to a request of an unknown caller, queues it, or refuses it if the expected wait
    /// is too long.
    pub fn request(&mut self, now: MonoTime, request: SlotRequest) -> Admission {
        let caller = CallerTime { returned: !request.tried.is_empty(), time_left: Duration::ZERO };
        self.request_from(now, request, caller)
    }

    /// Grants a slot to a request of `caller`, queues it, or refuses it if the expected wait is too
    /// long.
    pub fn request_from(
        &mut self,
        now: MonoTime,
        request: SlotRequest,
        caller: CallerTime,
    ) -> Admission {
        let fair = self.fair;
        let service = request.service.clone();
        let mut waiter = Waiter::new(now, 0, request, caller);
        self.queue_mut(&service).count_arrival(now, &waiter.request);
        if self.ahead_of(&waiter).requests == 0
            && let Some(grant) = self.try_grant(now, &waiter.request, 0)
        {
            self.queue_mut(&service).count_direct_grant(now, &waiter.request);
            return Admission::Granted(grant);
        }
        self.next_ticket += 1;
        waiter.ticket = self.next_ticket;
        if fair && waiter.request.wait.late && !caller.time_left.is_zero() {
            waiter.request.wait = self.late_wait(&waiter.request, caller);
        }
        match self.queue_or_refuse(now, waiter) {
            Ok(ticket) => Admission::Queued(ticket),
            Err(retry_after) => Admission::Refused(retry_after),
        }
    }

    /// Queues a request that gets no slot now, as a late one if it cannot be in time. If that is too
    /// long as well, returns the time after which its caller may retry.
    fn queue_or_refuse(
        &mut self,
        now: MonoTime,
        mut waiter: Waiter,
    ) -> Result<WaitTicket, Duration> {
        let ticket = waiter.ticket;
        let service = waiter.request.service.clone();
        loop {
            let usable_slots = self.usable_slots(now, &waiter.request);
            let ahead = self.ahead_of(&waiter);
            let expected_wait = self.expected_wait(now, &waiter, ahead, usable_slots);
            if expected_wait <= waiter.request.wait.max_wait
                || ahead.requests < self.allowed_in_time(now, &waiter.request)
            {
                self.queue_mut(&service).push(now, waiter);
                return Ok(ticket);
            }
            if self.set_late(now, &mut waiter) {
                continue;
            }
            let delay = self.retry_after(now, &waiter, expected_wait);
            let pause =
                if usable_slots == 0 { self.pause_left(now, &waiter.request) } else { None };
            return Err(delay.max(pause.unwrap_or_default()));
        }
    }

    /// Turns a waiter that cannot be in time into a late one, if it is not and its caller still waits.
    fn set_late(&mut self, now: MonoTime, waiter: &mut Waiter) -> bool {
        let caller = waiter.caller_at(now);
        let can_be_late = self.fair && !waiter.request.wait.late && !caller.time_left.is_zero();
        if can_be_late {
            waiter.request.wait = self.late_wait(&waiter.request, caller);
        }
        can_be_late
    }

    /// Returns how long `request` of `caller` may wait as a late one.
    fn late_wait(&mut self, request: &SlotRequest, caller: CallerTime) -> WaitAllowance {
        let service_time = self.queue_mut(&request.service).service_time(request);
        late_wait(caller, service_time)
    }

    /// Returns the time after which the caller of `waiter` may retry, if the requests before it need
    /// `drain_time`.
    fn retry_after(&self, now: MonoTime, waiter: &Waiter, drain_time: Duration) -> Duration {
        match self.fair {
            true => retry_after(waiter.ticket, waiter.caller_at(now), drain_time),
            false => plain_retry_after(waiter.ticket),
        }
    }

    /// Records that a request's prompt is no longer pending at the target: its response has begun.
    pub fn prefill_done(&mut self, now: MonoTime, grant: &SlotGrant) {
        if let Some(load) = self.targets.get_mut(&grant.target.id) {
            load.record_first_byte(now, grant.granted_at, grant.prompt_tokens);
        }
    }

    /// Records that a request's prompt is no longer pending at the target: its response will never begin.
    pub fn prefill_ended(&mut self, now: MonoTime, grant: &SlotGrant) {
        if let Some(load) = self.targets.get_mut(&grant.target.id) {
            load.record_no_first_byte(now, grant.granted_at, grant.prompt_tokens);
        }
    }

    /// Releases the slot of a request that was sent to target `id`.
    pub fn release(&mut self, now: MonoTime, id: &str, outcome: SlotOutcome) {
        let Some(load) = self.targets.get_mut(id) else {
            return;
        };
        load.release(now, outcome);
        let (service, site) = (load.record.service.clone(), load.record.site.clone());
        if let Some(table) = &mut self.capacity {
            match outcome {
                SlotOutcome::Answered => {}
                SlotOutcome::Full => load.set_full(),
                SlotOutcome::Failed => drop(table.record(now, id, SpeedSample::Failed, 0)),
            }
        }
        let answered_at = Some(site).filter(|_| outcome == SlotOutcome::Answered);
        self.queue_mut(&service).count_release(now, answered_at);
    }

    /// Releases the slot of a request that was never sent.
    pub fn release_unused(&mut self, now: MonoTime, grant: &SlotGrant) {
        self.prefill_ended(now, grant);
        self.release_unsent(now, grant);
    }

    /// Releases the slot of a request that was never sent, and whose prompt is no longer pending.
    pub fn release_unsent(&mut self, now: MonoTime, grant: &SlotGrant) {
        self.notices.uncount(&grant.target);
        self.rules.cold.uncount(&grant.target, grant.granted_at);
        if let Some(load) = self.targets.get_mut(&grant.target.id) {
            load.release(now, SlotOutcome::Answered);
        }
        self.queue_mut(&grant.target.service).count_release(now, None);
    }

    /// Removes a waiting request from the queue.
    pub fn cancel(&mut self, ticket: WaitTicket) {
        for queue in self.queues.values_mut() {
            queue.remove(ticket);
        }
    }

    /// Grants free slots to waiting requests, in queue order.
    pub fn grant_free_slots(&mut self, now: MonoTime) -> Vec<(WaitTicket, SlotGrant)> {
        let mut grants = Vec::new();
        let services: Vec<ServiceName> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for service in services {
            // Without a target that has room no waiting request can get one, so none is tried.
            if !self.targets_of(&service).any(|load| load.has_room(now, &self.regions)) {
                continue;
            }
            let Some(mut queue) = self.queues.remove(&service) else {
                continue;
            };
            let reserved = self.reservations.get(&service).map(|reservation| reservation.ticket);
            let large_tokens = self.large_tokens(&service);
            queue.drain_granted(now, reserved, large_tokens, self, &mut grants);
            self.update_reservation(now, &service, &mut queue, &grants);
            self.queues.insert(service, queue);
        }
        grants
    }

    /// Returns the largest prompt of which two fit under the prefill limit.
    fn large_tokens(&self, service: &ServiceName) -> u32 {
        self.prefill_limits.get(service).map_or(u32::MAX, |limit| limit / LARGE_DIVISOR)
    }

    /// Ends a reservation that was used or has expired. Reserves a target for the first large prompt that
    /// waits only for prefill capacity.
    fn update_reservation(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        queue: &mut ServiceQueue,
        grants: &[(WaitTicket, SlotGrant)],
    ) {
        if let Some(reservation) = self.reservations.get(service) {
            let is_used = grants.iter().any(|(ticket, _)| *ticket == reservation.ticket);
            if !is_used && now < reservation.until {
                return;
            }
            self.reservations.remove(service);
        }
        if !self.fair {
            return;
        }
        let large_tokens = self.large_tokens(service);
        let is_large = |request: &SlotRequest| request.prompt_tokens > large_tokens;
        let Some(waiter) = queue.first_without_reservation(is_large) else {
            return;
        };
        let check = self.placement_check(now, &waiter.request, waiter.ticket);
        let lacks_only_prefill = |load: &&TargetLoad| {
            let is_other = |obstacle, _| obstacle != PlacementObstacle::Prefill;
            check.find_obstacle(load, PlacementObstacle::Retiring, is_other).is_none()
        };
        let targets = self.targets_of(service).filter(lacks_only_prefill);
        let Some(best) = targets.min_by_key(|load| load.pending_prefill_tokens()) else {
            return;
        };
        waiter.had_reservation = true;
        let until = waiter.expires_at.min(now + MAX_PREFILL_TIME);
        let reservation =
            Reservation { ticket: waiter.ticket, target: best.record.id.clone(), until };
        self.reservations.insert(service.clone(), reservation);
    }

    /// Removes the waiting requests whose longest wait has passed, and returns them with the time
    /// after which each caller may retry. In the fair order, a request that can still be answered late
    /// waits on.
    pub fn expire(&mut self, now: MonoTime) -> Vec<(WaitTicket, Duration)> {
        let expired: Vec<Waiter> =
            self.queues.values_mut().flat_map(|queue| queue.take_expired(now)).collect();
        let mut refused = Vec::new();
        for mut waiter in expired {
            let ticket = waiter.ticket;
            let queued = match self.set_late(now, &mut waiter) {
                true => self.queue_or_refuse(now, waiter),
                false => Err(self.retry_after(now, &waiter, Duration::ZERO)),
            };
            refused.extend(queued.err().map(|retry_after| (ticket, retry_after)));
        }
        refused
    }

    /// Returns when [`SlotScheduler::expire`] or [`SlotScheduler::grant_free_slots`] is due next if
    /// no event occurs before; `None` if no request waits. Both were called last at `served_at`; the
    /// returned time is later, but may have passed.
    pub fn next_wake(&self, served_at: MonoTime) -> Option<MonoTime> {
        let expiries = self.queues.values().filter_map(ServiceQueue::next_expiry);
        let expiry = expiries.min()?;
        let reservation_ends = self.reservations.values().map(|reservation| reservation.until);
        let cooldown_ends = self.targets.values().filter_map(|load| load.cooldown_until());
        let pause_ends = self.targets.values().flat_map(|load| self.timed_ends(served_at, load));
        let slot_times =
            cooldown_ends.chain(pause_ends).chain(reservation_ends).filter(|at| *at > served_at);
        Some(slot_times.min().map_or(expiry, |slot_time| slot_time.min(expiry)))
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(ServiceQueue::len).sum()
    }

    /// Returns the number of this entry's requests at targets.
    pub fn in_flight(&self) -> u32 {
        self.targets.values().map(|load| load.in_flight).sum()
    }

    /// Returns the number of this entry's requests at targets in `sites`, which are in order.
    pub fn in_flight_at(&self, sites: &[SiteName]) -> u32 {
        let is_there = |load: &&TargetLoad| sites.binary_search(&load.record.site).is_ok();
        self.targets.values().filter(is_there).map(|load| load.in_flight).sum()
    }

    /// Returns whether the load reports of target `id` have stopped.
    pub fn is_silent(&self, now: MonoTime, id: &str) -> bool {
        self.targets.get(id).is_some_and(|load| load.is_silent(now))
    }

    /// Returns the ids of the targets whose load reports have stopped.
    pub fn silent_targets(&self, now: MonoTime) -> Vec<Arc<str>> {
        let silent = self.targets.values().filter(|load| load.is_silent(now));
        silent.map(|load| load.record.id.clone()).collect()
    }

    /// Returns the targets of a service in the order of their ids, those that are no longer registered
    /// included.
    fn targets_of(&self, service: &ServiceName) -> impl Iterator<Item = &TargetLoad> {
        self.targets.values().filter(move |load| load.record.service == *service)
    }

    /// Returns the registered targets of all services.
    fn registered_targets(&self) -> impl Iterator<Item = &TargetLoad> {
        self.targets.values().filter(|load| load.registered)
    }

    fn queue_mut(&mut self, service: &ServiceName) -> &mut ServiceQueue {
        let fair = self.fair;
        self.queues.get_or_insert_with(service.clone(), || ServiceQueue::new(fair))
    }

    /// Returns what is served before `waiter`, as far as it competes for the same targets.
    fn ahead_of(&self, waiter: &Waiter) -> Backlog {
        let queue = self.queues.get(&waiter.request.service);
        queue.map_or_else(Backlog::default, |queue| {
            queue.ahead_of(waiter, |waiting| self.competes(waiting, &waiter.request))
        })
    }

    /// Estimates how long `waiter`, with `ahead` before it, waits for one of `slots` slots. Only slots
    /// released at sites that its request may use count.
    fn expected_wait(
        &mut self,
        now: MonoTime,
        waiter: &Waiter,
        ahead: Backlog,
        slots: u32,
    ) -> Duration {
        let Self { queues, rules, regions, fair, .. } = self;
        let service = waiter.request.service.clone();
        let queue = queues.get_or_insert_with(service, || ServiceQueue::new(*fair));
        let is_usable = |site: &SiteName| rules.allows_site(regions, &waiter.request, site);
        queue.expected_wait(now, waiter, ahead, slots, is_usable)
    }

    /// Takes a slot at the eligible target with the lowest cost, if there is one. `ticket` is 0 for a
    /// request that does not wait.
    fn try_grant(
        &mut self,
        now: MonoTime,
        request: &SlotRequest,
        ticket: WaitTicket,
    ) -> Option<SlotGrant> {
        self.begin_choice();
        let check = self.placement_check(now, request, ticket);
        let targets = self.targets_of(&request.service);
        let allowed = targets.filter_map(|load| Some((check.allowed_cost(load)?, load)));
        let (_, best) = allowed.min_by_key(|(cost, _)| *cost)?;
        let id = best.record.id.clone();
        let begin_by = check.begin_by(best);
        let sent = self.record_sent(now, &id, request);
        let load = self.targets.get_mut(&id)?;
        load.take_slot(now, request);
        self.notices.count_sent(now, &load.record, load.limit_share);
        self.rules.cold.count_sent(now, &load.record);
        Some(SlotGrant {
            target: load.record.clone(),
            prompt_tokens: request.prompt_tokens,
            granted_at: now,
            begin_by,
            sent,
        })
    }

    /// Returns the number of slots that this entry can expect to use for `request`. A request that
    /// can still meet its latency objective counts only targets that accept requests now; a late
    /// one also counts those that are loading a version.
    fn usable_slots(&self, now: MonoTime, request: &SlotRequest) -> u32 {
        let check = self.placement_check(now, request, 0);
        let accepts_until = now + request.wait.max_wait;
        let usable = |load: &&TargetLoad| check.is_usable_until(load, accepts_until);
        let slots_of = |load: &TargetLoad| {
            let slots = load.limit_without_report(&self.regions);
            check.allowed_until(load, accepts_until).map_or(slots, |allowed| slots.min(allowed))
        };
        self.targets.values().filter(usable).map(slots_of).fold(0, u32::saturating_add)
    }

    /// Returns what the verdicts on the targets of `request` depend on. The versions are looked up each time,
    /// because one may have been retired while the request waited. `ticket` is 0 for a request that does not
    /// wait.
    fn placement_check<'a>(
        &'a self,
        now: MonoTime,
        request: &'a SlotRequest,
        ticket: WaitTicket,
    ) -> PlacementCheck<'a> {
        let versions = request.model.as_ref().and_then(|model| self.versions.get(model));
        let max_tokens = self.prefill_limits.get(&request.service).copied().unwrap_or(u32::MAX);
        // Late requests leave most of the prefill capacity to those that can still be in time.
        let max_prefill_tokens = match self.fair && request.wait.late {
            true => max_tokens / LATE_PREFILL_DIVISOR,
            false => max_tokens,
        };
        PlacementCheck {
            now,
            request,
            ticket,
            reservation: self.reservations.get(&request.service),
            versions,
            required: versions.and_then(|versions| versions.required(now)),
            max_prefill_tokens,
            entries: &self.regions,
            notices: &self.notices,
            rules: &self.rules,
            learned: self.learned_placement(),
        }
    }
}
