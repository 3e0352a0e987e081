//! Which target a request goes to, how long it may wait for a place, and when it is refused.
//!
//! The load that this answers: each target works on a fixed number of requests at once, several
//! entries send to the same targets, and the offered load exceeds what the targets can take for
//! seconds at a time. A request waits only as long as an answer in time is still to be expected.

mod load;
mod queue;

use super::{DeclaredVersion, DeclaredVersions, RegisteredTarget, WaitAllowance};
use crate::prelude::*;
use crate::routing::hash::combine_hashes;
use load::TargetLoad;
use queue::{ServiceQueue, Waiter};

/// Time for which a target that was not reached, or broke off, is passed over at first.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest time for which a target is passed over after failures in a row.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Time for which a target that had no room is passed over.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// Shortest and longest time after which a refused caller may come back. An answer is late by then in
/// any case, so the load that made for the refusal is given time to pass; and callers that come back
/// can be told from those that have less patience.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(1000), Duration::from_millis(1900));
/// Share of a target in another region that is used while its real load is not known, in percent.
const BLIND_REMOTE_PERCENT: u32 = 40;

/// Time that the prompts which one entry sent to a target may take to be read before the answer of
/// the last one can begin.
const READING_TIME: Duration = Duration::from_millis(100);

/// Names a waiting request.
pub type WaitTicket = u64;

/// A request that wants a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// The service that answers it.
    pub service: ServiceName,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// How it may wait.
    pub wait: WaitAllowance,
    /// Time within which its answer is due to begin.
    pub objective: Duration,
    /// The targets that it must not go to again.
    pub tried: Vec<Arc<str>>,
    /// Tokens of its prompt; 0 if it has none.
    pub prompt_tokens: u32,
    /// The model that the target must have loaded, in a version that may still be used.
    pub model: Option<ModelName>,
}

/// A place that a request got; it must be given back by [`SlotScheduler::release`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotGrant {
    /// The target.
    pub target: Arc<RegisteredTarget>,
    /// Tokens of the request's prompt, which the target has yet to read.
    pub prompt_tokens: u32,
    /// When the place was given.
    pub granted_at: MonoTime,
    /// Until when the target must have begun to run the request, because the version that it has
    /// loaded ends then; none if it does not.
    pub begin_by: Option<MonoTime>,
}

/// What becomes of a request that wants a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It goes to a target at once.
    Granted(SlotGrant),
    /// It waits.
    Queued(WaitTicket),
    /// It cannot be served in time; the caller may come back after the span.
    Refused(Duration),
}

/// How a target did with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOutcome {
    /// It answered, or the caller left.
    Answered,
    /// It had no room.
    Full,
    /// It was not reached, or the exchange failed.
    Failed,
}

/// How an entry stands among the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryCounts {
    /// Live entries.
    pub entries: u32,
    /// Live entries of the same region.
    pub in_region: u32,
}

/// The places at targets that this entry uses, and the requests that wait for one.
#[derive(Debug)]
pub struct SlotScheduler {
    own_sites: Vec<SiteName>,
    share: EntryCounts,
    targets: SortedTable<Arc<str>, TargetLoad>,
    queues: SortedTable<ServiceName, ServiceQueue>,
    versions: SortedTable<ModelName, DeclaredVersions>,
    /// Tokens of prompts that a target of each service may have before it unread.
    unread_limits: SortedTable<ServiceName, u32>,
    next_ticket: WaitTicket,
}

impl SlotScheduler {
    /// A book of an entry that prefers targets in `own_sites`.
    pub fn new(own_sites: Vec<SiteName>) -> Self {
        Self {
            own_sites,
            share: EntryCounts { entries: 1, in_region: 1 },
            targets: SortedTable::new(),
            queues: SortedTable::new(),
            versions: SortedTable::new(),
            unread_limits: SortedTable::new(),
            next_ticket: 0,
        }
    }

    /// Takes in how many entries share the targets.
    pub fn set_entry_counts(&mut self, share: EntryCounts) {
        self.share = share;
    }

    /// Takes in a declared version of `model`; whether it is newer than all before.
    pub fn declare(&mut self, model: &ModelName, declared: DeclaredVersion) -> bool {
        let versions = self.versions.get_or_insert_with(model.clone(), DeclaredVersions::default);
        versions.declare(declared)
    }

    /// Takes in how many tokens of prompts the targets of a service read in a second.
    pub fn set_prefill_rate(&mut self, service: &ServiceName, tokens_per_second: u32) {
        let limit = f64::from(tokens_per_second) * READING_TIME.as_secs_f64();
        self.unread_limits.insert(service.clone(), limit as u32);
    }

    /// Takes in the targets.
    pub fn set_targets<'a>(&mut self, records: impl Iterator<Item = &'a Arc<RegisteredTarget>>) {
        let mut known: Vec<Arc<str>> = Vec::new();
        for record in records {
            known.push(record.id.clone());
            match self.targets.get_mut(&record.id) {
                Some(load) => load.set_record(record.clone()),
                None => {
                    let local = self.own_sites.contains(&record.site);
                    self.targets.insert(record.id.clone(), TargetLoad::new(record.clone(), local));
                }
            }
        }
        known.sort_unstable();
        self.targets.retain(|id, load| load.own > 0 || known.binary_search(id).is_ok());
        for load in self.targets.values_mut() {
            load.listed = known.binary_search(&load.record.id).is_ok();
        }
    }

    /// Takes in what a target says of its load: requests of all entries that it runs or keeps, and
    /// whether it takes more.
    pub fn set_load(&mut self, now: MonoTime, id: &str, requests: u32, accepting: bool) {
        if let Some(load) = self.targets.get_mut(id) {
            load.set_reported(now, requests, accepting);
        }
    }

    /// Finds a place for a request, lets it wait, or refuses it.
    pub fn request(&mut self, now: MonoTime, request: SlotRequest) -> Admission {
        let queue = self.queues.get_or_insert_with(request.service.clone(), ServiceQueue::default);
        let ahead = queue.ahead_of(&request);
        if ahead == 0
            && let Some(grant) = self.place(now, &request)
        {
            return Admission::Granted(grant);
        }
        let usable = self.usable_places(now, &request);
        let queue = self.queues.get_or_insert_with(request.service.clone(), ServiceQueue::default);
        let wait = queue.expected_wait(now, ahead, usable);
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if wait > request.wait.max_wait {
            return Admission::Refused(retry_after(ticket));
        }
        queue.push(Waiter { ticket, until: now + request.wait.max_wait, request });
        Admission::Queued(ticket)
    }

    /// Notes that a target has read the prompt of the request with this place: its answer has begun, or
    /// never will.
    pub fn prefill_done(&mut self, now: MonoTime, grant: &SlotGrant) {
        if let Some(load) = self.targets.get_mut(&grant.target.id) {
            load.begun(now, grant.granted_at, grant.prompt_tokens);
        }
    }

    /// Gives a place back.
    pub fn release(&mut self, now: MonoTime, id: &str, outcome: SlotOutcome) {
        let Some(load) = self.targets.get_mut(id) else {
            return;
        };
        load.release(now, outcome);
        if outcome == SlotOutcome::Answered {
            let service = load.record.service.clone();
            self.queues.get_or_insert_with(service, ServiceQueue::default).count_release(now);
        }
    }

    /// Gives a place back that was not used.
    pub fn release_unused(&mut self, now: MonoTime, grant: &SlotGrant) {
        self.prefill_done(now, grant);
        if let Some(load) = self.targets.get_mut(&grant.target.id) {
            load.release(now, SlotOutcome::Answered);
        }
    }

    /// Takes a waiting request out of the queue.
    pub fn cancel(&mut self, ticket: WaitTicket) {
        for queue in self.queues.values_mut() {
            queue.remove(ticket);
        }
    }

    /// The waiting requests that get a place now.
    pub fn grant_free_slots(&mut self, now: MonoTime) -> Vec<(WaitTicket, SlotGrant)> {
        let mut grants = Vec::new();
        let services: Vec<ServiceName> = self
            .queues
            .iter()
            .filter(|(_, q)| !q.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for service in services {
            let Some(mut queue) = self.queues.remove(&service) else {
                continue;
            };
            queue.take_where(|request| self.place(now, request), &mut grants);
            self.queues.insert(service, queue);
        }
        grants
    }

    /// The waiting requests whose patience has ended, with the time after which each caller may
    /// come back.
    pub fn expire(&mut self, now: MonoTime) -> Vec<(WaitTicket, Duration)> {
        let expired = self.queues.values_mut().flat_map(|queue| queue.expire(now));
        expired.map(|ticket| (ticket, retry_after(ticket))).collect()
    }

    /// When [`SlotScheduler::expire`] or [`SlotScheduler::grant_free_slots`] is due next, if nothing happens before.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let expiry = self.queues.values().filter_map(ServiceQueue::next_expiry).min()?;
        let pause = self.targets.values().filter_map(|load| load.paused_until()).min();
        Some(pause.map_or(expiry, |pause| pause.min(expiry)))
    }

    /// Requests that wait for a place.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(ServiceQueue::len).sum()
    }

    /// Requests of this entry that are at targets.
    pub fn in_flight(&self) -> u32 {
        self.targets.values().map(|load| load.own).sum()
    }

    fn place(&mut self, now: MonoTime, request: &SlotRequest) -> Option<SlotGrant> {
        let share = self.share;
        // Looked up when the request gets its place: it may have waited past the end of a version.
        let required = self.required_version(now, request);
        let versions = request.model.as_ref().and_then(|model| self.versions.get(model));
        let limit = self.unread_limits.get(&request.service).copied().unwrap_or(u32::MAX);
        let begin_by = |load: &TargetLoad| {
            let loaded = load.loaded_version(request.model.as_ref()?);
            Some(versions?.first_unmet(loaded)?.begin_by)
        };
        let fits = |load: &&TargetLoad| {
            load.takes(now, request, required)
                && load.room(now, share) > 0
                && load.can_read(request.prompt_tokens, limit)
                && begin_by(load).is_none_or(|begin_by| load.begins_by(now, begin_by))
        };
        let candidates = self.targets.values().filter(fits);
        let best = candidates.min_by_key(|load| load.cost(now, share))?;
        let id = best.record.id.clone();
        let begin_by = begin_by(best);
        let load = self.targets.get_mut(&id)?;
        load.take(now, request);
        Some(SlotGrant {
            target: load.record.clone(),
            prompt_tokens: request.prompt_tokens,
            granted_at: now,
            begin_by,
        })
    }

    /// Places at targets that this entry counts on for `request`. A request that can be in time counts
    /// only on targets that take requests now; one that is late anyway also on those that are loading.
    fn usable_places(&self, now: MonoTime, request: &SlotRequest) -> u32 {
        let required = self.required_version(now, request);
        let usable = |load: &&TargetLoad| {
            load.is_fit(request, required) && (request.wait.late || load.is_accepting(now))
        };
        self.targets.values().filter(usable).map(|load| load.limit(self.share)).sum()
    }

    /// The oldest version of the request's model that may be used.
    fn required_version(&self, now: MonoTime, request: &SlotRequest) -> Option<u64> {
        let versions = request.model.as_ref().and_then(|model| self.versions.get(model));
        versions.and_then(|versions| versions.required(now))
    }
}

/// When the caller of the request with this ticket may come back; spread evenly, so that callers that
/// were refused together do not come back together.
fn retry_after(ticket: WaitTicket) -> Duration {
    let (least, most) = RETRY_AFTER_RANGE;
    let spread = (most - least).as_millis() as u64;
    least + Duration::from_millis(combine_hashes(ticket, 0) % spread)
}
