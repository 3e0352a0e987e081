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
use super::placement::{PlacementCheck, PlacementRules, PlacementVerdict};
use super::{DeclaredVersion, DeclaredVersions, RegisteredTarget};
use crate::prelude::*;
use crate::routing::hash::combine_hashes;
pub use entry_regions::EntryRegions;
pub use grant::{Admission, SlotGrant, SlotOutcome, SlotRequest, WaitTicket};
pub(in crate::direct) use load::TargetLoad;
pub use notices::MAX_PAUSE;
pub(in crate::direct) use notices::NoticeTable;
pub use preview::{SlotPreview, TargetPreview};
use queue::{ServiceQueue, Waiter};
pub(in crate::direct) use token_bucket::TokenBucket;

/// Shortest and longest time after which a refused caller may retry. The response will miss its
/// latency objective anyway, so the overload gets time to pass. The time is also long enough to
/// tell retries from callers with a shorter timeout.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(1000), Duration::from_millis(1900));
/// Longest time that a target may need to read the pending prompts of one entry, so that the
/// response to the last one is not late.
const MAX_PREFILL_TIME: Duration = Duration::from_millis(100);

/// Grants slots at targets to this entry's requests, and queues or refuses requests while there is
/// none.
#[derive(Debug, Clone)]
pub struct SlotScheduler {
    regions: EntryRegions,
    targets: SortedTable<Arc<str>, TargetLoad>,
    notices: NoticeTable,
    queues: SortedTable<ServiceName, ServiceQueue>,
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
            versions: SortedTable::new(),
            prefill_limits: SortedTable::new(),
            rules: PlacementRules::default(),
            recheck_waiting: false,
            next_ticket: 0,
            capacity: None,
        }
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

    /// Grants a slot to a request, queues it, or refuses it if the expected wait is too long.
    pub fn request(&mut self, now: MonoTime, request: SlotRequest) -> Admission {
        let queue = self.queues.get_or_insert_with(request.service.clone(), ServiceQueue::default);
        let ahead = queue.ahead_of(&request, |waiting| {
            placing::competes(&self.rules, &self.regions, &self.targets, waiting, &request)
        });
        if ahead == 0
            && let Some(grant) = self.try_grant(now, &request)
        {
            return Admission::Granted(grant);
        }
        let usable_slots = self.usable_slots(now, &request);
        let queue = self.queues.get_or_insert_with(request.service.clone(), ServiceQueue::default);
        let expected_wait = queue.expected_wait(now, ahead, usable_slots, |site| {
            self.rules.allows_site(&self.regions, &request, site)
        });
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if expected_wait > request.wait.max_wait && ahead >= self.allowed_in_time(now, &request) {
            let pause = if usable_slots == 0 { self.pause_left(now, &request) } else { None };
            return Admission::Refused(retry_after(ticket).max(pause.unwrap_or_default()));
        }
        let queue = self.queues.get_or_insert_with(request.service.clone(), ServiceQueue::default);
        queue.push(Waiter { ticket, expires_at: now + request.wait.max_wait, request });
        Admission::Queued(ticket)
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
        if let Some(table) = &mut self.capacity
            && outcome == SlotOutcome::Failed
        {
            table.record(now, id, SpeedSample::Failed, 0);
        }
        if outcome == SlotOutcome::Answered {
            let (service, site) = (load.record.service.clone(), load.record.site.clone());
            self.queues.get_or_insert_with(service, ServiceQueue::default).count_release(now, site);
        }
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
            let Some(mut queue) = self.queues.remove(&service) else {
                continue;
            };
            queue.drain_granted(|request| self.try_grant(now, request), &mut grants);
            self.queues.insert(service, queue);
        }
        grants
    }

    /// Removes the waiting requests whose longest wait has passed, and returns them with the time
    /// after which each caller may retry.
    pub fn expire(&mut self, now: MonoTime) -> Vec<(WaitTicket, Duration)> {
        let expired = self.queues.values_mut().flat_map(|queue| queue.expire(now));
        expired.map(|ticket| (ticket, retry_after(ticket))).collect()
    }

    /// Returns when [`SlotScheduler::expire`] or [`SlotScheduler::grant_free_slots`] is due next if
    /// no event occurs before; `None` if no request waits. Both were called last at `served_at`; the
    /// returned time is later, but may have passed.
    pub fn next_wake(&self, served_at: MonoTime) -> Option<MonoTime> {
        let expiries = self.queues.values().filter_map(ServiceQueue::next_expiry);
        let expiry = expiries.min()?;
        let cooldown_ends = self.targets.values().filter_map(|load| load.cooldown_until());
        let pause_ends = self.targets.values().flat_map(|load| self.timed_ends(served_at, load));
        let slot_times = cooldown_ends.chain(pause_ends).filter(|at| *at > served_at);
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

    /// Takes a slot at the eligible target with the lowest cost, if there is one.
    fn try_grant(&mut self, now: MonoTime, request: &SlotRequest) -> Option<SlotGrant> {
        self.begin_choice();
        let check = self.placement_check(now, request);
        let verdicts = self.targets.values().filter(|load| load.record.service == request.service);
        let costs = verdicts.filter_map(|load| match check.verdict(load) {
            PlacementVerdict::Allowed { cost } => Some((cost, load)),
            PlacementVerdict::Blocked { .. } => None,
        });
        let (_, best) = costs.min_by_key(|(cost, _)| *cost)?;
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
        let check = self.placement_check(now, request);
        let accepts_until = now + request.wait.max_wait;
        let usable = |load: &&TargetLoad| check.is_usable_until(load, accepts_until);
        let slots_of = |load: &TargetLoad| {
            let slots = load.limit_without_report(&self.regions);
            check.allowed_until(load, accepts_until).map_or(slots, |allowed| slots.min(allowed))
        };
        self.targets.values().filter(usable).map(slots_of).fold(0, u32::saturating_add)
    }

    /// Returns what the verdicts on the targets of `request` depend on. The versions are looked up each time,
    /// because one may have been retired while the request waited.
    fn placement_check<'a>(
        &'a self,
        now: MonoTime,
        request: &'a SlotRequest,
    ) -> PlacementCheck<'a> {
        let versions = request.model.as_ref().and_then(|model| self.versions.get(model));
        PlacementCheck {
            now,
            request,
            versions,
            required: versions.and_then(|versions| versions.required(now)),
            max_prefill_tokens: self
                .prefill_limits
                .get(&request.service)
                .copied()
                .unwrap_or(u32::MAX),
            entries: &self.regions,
            notices: &self.notices,
            rules: &self.rules,
            learned: self.learned_placement(),
        }
    }
}

/// Returns the time after which the caller of this request may retry. It is jittered evenly over
/// [`RETRY_AFTER_RANGE`], so that callers refused together do not retry together.
fn retry_after(ticket: WaitTicket) -> Duration {
    let (shortest, longest) = RETRY_AFTER_RANGE;
    let range_ms = (longest - shortest).as_millis() as u64;
    shortest + Duration::from_millis(combine_hashes(ticket, 0) % range_ms)
}
