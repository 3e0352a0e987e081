//! What an entry knows of the load of one target.

use super::{
    BLIND_REMOTE_PERCENT, EntryCounts, FIRST_PAUSE, FULL_PAUSE, LONGEST_PAUSE, SlotOutcome,
    SlotRequest,
};
use crate::direct::{LoadedModel, RegisteredTarget, TargetPhase};
use crate::prelude::*;

/// Time for which what a target said of its load is believed.
const REPORT_LIFETIME: Duration = Duration::from_millis(1000);
/// Part of the free places that entries of the target's own region may take before they hear of its
/// load again, in percent; entries of other regions may take the rest.
const LOCAL_PERCENT: u32 = 75;
/// Part of a request's objective, in percent, after which a target that has not begun to answer gets no
/// further requests: it hangs, or its link is far too narrow, and what goes there is late.
const STUCK_PERCENT: u32 = 175;
/// Time for which the longest time that an answer took to begin is remembered.
const BEGIN_MEMORY: Duration = Duration::from_secs(3);
/// Time that an answer is given to begin before its version ends, in percent of the longest of late.
const BEGIN_PERCENT: u32 = 300;
/// Cost of leaving the own region, in thousandths of a full target.
const REMOTE_COST: u64 = 400;

/// One target, with the requests of this entry that it works on.
#[derive(Debug, Clone)]
pub(super) struct TargetLoad {
    pub record: Arc<RegisteredTarget>,
    pub own: u32,
    /// Tokens of prompts of this entry that the target has not read yet.
    unread: u32,
    /// The requests of this entry whose answers have not begun.
    unbegun: Vec<UnbegunRequest>,
    /// The longest time that an answer took to begin lately, and when that was seen.
    slowest_begin: (Duration, MonoTime),
    /// Whether the target is still registered.
    pub listed: bool,
    local: bool,
    others: u32,
    accepting: bool,
    reported_at: Option<MonoTime>,
    /// Places that were free when the target told its load.
    free: u32,
    /// Places that this entry took and gave back since.
    taken: u32,
    given_back: u32,
    paused_until: MonoTime,
    failures: u32,
}

/// A request whose answer has not begun.
#[derive(Debug, Clone, Copy)]
struct UnbegunRequest {
    granted_at: MonoTime,
    /// From when on the target keeps it waiting for too long.
    stuck_at: MonoTime,
}

impl TargetLoad {
    pub fn new(record: Arc<RegisteredTarget>, local: bool) -> Self {
        Self {
            record,
            own: 0,
            unread: 0,
            unbegun: Vec::new(),
            slowest_begin: (Duration::ZERO, MonoTime::ZERO),
            listed: true,
            local,
            others: 0,
            accepting: true,
            reported_at: None,
            free: 0,
            taken: 0,
            given_back: 0,
            paused_until: MonoTime::ZERO,
            failures: 0,
        }
    }

    pub fn set_record(&mut self, record: Arc<RegisteredTarget>) {
        if record.started_unix_ms != self.record.started_unix_ms
            || record.address != self.record.address
        {
            self.paused_until = MonoTime::ZERO;
            self.failures = 0;
            self.reported_at = None;
        }
        self.record = record;
    }

    pub fn set_reported(&mut self, now: MonoTime, requests: u32, accepting: bool) {
        self.others = requests.saturating_sub(self.own);
        self.accepting = accepting;
        self.reported_at = Some(now);
        self.free = self.record.slots.saturating_sub(requests);
        self.taken = 0;
        self.given_back = 0;
    }

    /// Whether a prompt of `tokens` would be read soon; one that is alone always may go.
    pub fn can_read(&self, tokens: u32, limit: u32) -> bool {
        self.unread == 0 || self.unread.saturating_add(tokens) <= limit
    }

    pub fn take(&mut self, now: MonoTime, request: &SlotRequest) {
        // A route without an objective says nothing of how long is too long.
        if !request.objective.is_zero() {
            let stuck_at = now + request.objective * STUCK_PERCENT / 100;
            self.unbegun.push(UnbegunRequest { granted_at: now, stuck_at });
        }
        self.unread = self.unread.saturating_add(request.prompt_tokens);
        self.own += 1;
        self.taken += 1;
    }

    /// Notes that the answer of a request sent at `granted_at` has begun, or never will.
    pub fn begun(&mut self, now: MonoTime, granted_at: MonoTime, prompt_tokens: u32) {
        self.unread = self.unread.saturating_sub(prompt_tokens);
        let (longest, seen_at) = self.slowest_begin;
        let took = now.since(granted_at);
        if took >= longest || now.since(seen_at) > BEGIN_MEMORY {
            self.slowest_begin = (took, now);
        }
        if let Some(at) = self.unbegun.iter().position(|sent| sent.granted_at == granted_at) {
            self.unbegun.swap_remove(at);
        }
    }

    /// Whether a request that is sent now is sure to begin by `begin_by`, as far as others of late tell.
    pub fn begins_by(&self, now: MonoTime, begin_by: MonoTime) -> bool {
        let (longest, seen_at) = self.slowest_begin;
        let recent = if now.since(seen_at) > BEGIN_MEMORY { Duration::ZERO } else { longest };
        let waiting = self.unbegun.iter().map(|sent| now.since(sent.granted_at)).max();
        let expected = recent.max(waiting.unwrap_or_default());
        now + expected * BEGIN_PERCENT / 100 < begin_by
    }

    /// Whether the target keeps a request waiting for too long.
    fn is_stuck(&self, now: MonoTime) -> bool {
        self.unbegun.iter().any(|sent| sent.stuck_at < now)
    }

    pub fn release(&mut self, now: MonoTime, outcome: SlotOutcome) {
        self.own = self.own.saturating_sub(1);
        self.given_back += 1;
        match outcome {
            SlotOutcome::Answered => self.failures = 0,
            SlotOutcome::Full => self.pause(now, FULL_PAUSE),
            SlotOutcome::Failed => {
                let pause = FIRST_PAUSE * 2_u32.pow(self.failures.min(8));
                self.failures += 1;
                self.pause(now, pause.min(LONGEST_PAUSE));
            }
        }
    }

    fn pause(&mut self, now: MonoTime, span: Duration) {
        self.paused_until = self.paused_until.max(now + span);
    }

    pub fn paused_until(&self) -> Option<MonoTime> {
        (self.paused_until > MonoTime::ZERO).then_some(self.paused_until)
    }

    /// Whether the target may get `request`, room aside. `required` is the oldest version of its model
    /// that may be used.
    pub fn takes(&self, now: MonoTime, request: &SlotRequest, required: Option<u64>) -> bool {
        self.is_fit(request, required)
            && self.paused_until <= now
            && self.is_accepting(now)
            && !self.is_stuck(now)
            && !request.tried.contains(&self.record.id)
    }

    /// Whether the target answers requests like `request` with a version that may be used.
    pub fn is_fit(&self, request: &SlotRequest, required: Option<u64>) -> bool {
        self.listed
            && self.record.service == request.service
            && self.record.phase == TargetPhase::Ready
            && self.has_version(request, required)
    }

    /// Whether the target takes requests, as far as is known.
    pub fn is_accepting(&self, now: MonoTime) -> bool {
        self.accepting || !self.is_reported(now)
    }

    /// The version of `model` that the target has loaded; 0 for none.
    pub fn loaded_version(&self, model: &ModelName) -> u64 {
        LoadedModel::newest_version(model, &self.record.models)
    }

    fn has_version(&self, request: &SlotRequest, required: Option<u64>) -> bool {
        let Some(model) = &request.model else {
            return true;
        };
        let fits = |loaded: &LoadedModel| {
            loaded.model == *model && required.is_none_or(|required| loaded.version >= required)
        };
        self.record.models.iter().any(fits)
    }

    /// Requests of this entry that the target may have at once while its real load is unknown.
    pub fn limit(&self, share: EntryCounts) -> u32 {
        if self.local {
            return self.record.slots.div_ceil(share.in_region.max(1));
        }
        let part = self.record.slots * BLIND_REMOTE_PERCENT / 100;
        (part / share.entries.max(1)).max(1)
    }

    /// Further requests that the target may get from this entry. All entries hear at the same time
    /// of places that are free, so each takes its part of them.
    pub fn room(&self, now: MonoTime, share: EntryCounts) -> u32 {
        if !self.is_reported(now) {
            return self.limit(share).saturating_sub(self.own);
        }
        let part = match self.local {
            true => (self.free * LOCAL_PERCENT).div_ceil(100 * share.in_region.max(1)),
            false => {
                let far = share.entries.saturating_sub(share.in_region).max(1);
                self.free * (100 - LOCAL_PERCENT) / (100 * far)
            }
        };
        let part = (part + self.given_back).saturating_sub(self.taken);
        part.min(self.record.slots.saturating_sub(self.own))
    }

    /// How dear it is to send a further request there; lower is better.
    pub fn cost(&self, now: MonoTime, share: EntryCounts) -> u64 {
        let used = match self.is_reported(now) {
            true => u64::from(self.own + self.others) * 1000 / u64::from(self.record.slots.max(1)),
            false => u64::from(self.own) * 1000 / u64::from(self.limit(share).max(1)),
        };
        used + if self.local { 0 } else { REMOTE_COST }
    }

    fn is_reported(&self, now: MonoTime) -> bool {
        self.reported_at.is_some_and(|at| now.since(at) < REPORT_LIFETIME)
    }
}
