//! Load of one target, as seen by this entry.

use super::{EntryRegions, SlotOutcome, SlotRequest};
use crate::direct::capacity::TargetWork;
use crate::direct::demand::WHOLE_PART;
use crate::direct::{LoadedModel, RegisteredTarget};
use crate::prelude::*;

/// Cool-down of a target after a first failure (unreachable, or the exchange failed).
const FIRST_COOLDOWN: Duration = Duration::from_millis(250);
/// Longest cool-down of a target after consecutive failures.
const MAX_COOLDOWN: Duration = Duration::from_secs(4);
/// Cool-down of a target that refused a request because it was full.
const FULL_COOLDOWN: Duration = Duration::from_millis(60);
/// Age from which a load report is stale and ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1000);
/// Percentage of the reported free slots that the entries of the target's own region may take
/// together before its next report; the entries of other regions may take the rest.
const LOCAL_PERCENT: u64 = 75;
/// Percentage of the slots of a target in another region that all entries together use while there
/// is no fresh load report.
const UNREPORTED_REMOTE_PERCENT: u64 = 40;
/// Percentage of a request's latency objective after which a target that has not begun to respond
/// gets no further requests: it hangs, or its link is far too slow, so further requests would be
/// late too.
const STUCK_PERCENT: u32 = 175;
/// Time after which a shorter time to first byte replaces the longest one.
const FIRST_BYTE_RETENTION: Duration = Duration::from_secs(3);
/// Time that must be left until a version is retired for a request to be sent to it, in percent of
/// the longest recent time to first byte.
const BEGIN_MARGIN_PERCENT: u32 = 300;
/// Cost of a target in another region, in thousandths; a fully used target costs 1000.
const REMOTE_COST: u64 = 400;
/// Cost of a target whose load reports have stopped, in thousandths.
const SILENT_COST: u64 = 1000;

/// One target, with this entry's requests at it and its last load report.
#[derive(Debug, Clone)]
pub(in crate::direct) struct TargetLoad {
    pub record: Arc<RegisteredTarget>,
    /// Requests of this entry at the target.
    pub in_flight: u32,
    /// Prompt tokens of this entry's requests that the target has not read yet.
    pending_prefill_tokens: u32,
    /// Requests of this entry that wait for the first byte of the response.
    pending: Vec<PendingRequest>,
    /// Longest recent time to first byte, and when it was measured.
    slowest_first_byte: (Duration, MonoTime),
    /// Whether the target is still registered.
    pub registered: bool,
    /// Whether the target is in this entry's region.
    local: bool,
    /// Share of a limit that the target names, between 0 and 1, that this entry may use.
    pub limit_share: f64,
    /// Requests of other entries at the target, as of the last report.
    other_requests: u32,
    /// Whether the target accepted requests, as of the last report.
    accepting: bool,
    /// When the last report was received.
    reported_at: Option<MonoTime>,
    /// Free slots as of the last report.
    free_slots: u32,
    /// Slots that this entry took since the last report.
    taken_since_report: u32,
    /// Slots that this entry released since the last report.
    released_since_report: u32,
    /// Part of the free slots for the entries of its region that this entry may take, in thousandths; `None`
    /// for an equal part.
    part: Option<u16>,
    cooldown_until: MonoTime,
    consecutive_failures: u32,
}

/// A request that waits for the first byte of its response.
#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    granted_at: MonoTime,
    /// When the target counts as stuck if there is no first byte by then.
    stuck_at: MonoTime,
}

impl TargetLoad {
    /// Creates the load of a target without requests and reports; `local` if it is in this entry's region.
    pub fn new(record: Arc<RegisteredTarget>, local: bool) -> Self {
        Self {
            record,
            in_flight: 0,
            pending_prefill_tokens: 0,
            pending: Vec::new(),
            slowest_first_byte: (Duration::ZERO, MonoTime::ZERO),
            registered: true,
            local,
            limit_share: 1.0,
            other_requests: 0,
            accepting: true,
            reported_at: None,
            free_slots: 0,
            taken_since_report: 0,
            released_since_report: 0,
            part: None,
            cooldown_until: MonoTime::ZERO,
            consecutive_failures: 0,
        }
    }

    /// Replaces the record. Failures and reports of an earlier start or address no longer count.
    pub fn set_record(&mut self, record: Arc<RegisteredTarget>) {
        if record.started_unix_ms != self.record.started_unix_ms
            || record.address != self.record.address
        {
            self.cooldown_until = MonoTime::ZERO;
            self.consecutive_failures = 0;
            self.reported_at = None;
        }
        self.record = record;
    }

    /// Stores a load report: `requests` of all entries at the target, and whether it accepts more.
    pub fn set_report(&mut self, now: MonoTime, requests: u32, accepting: bool) {
        self.other_requests = requests.saturating_sub(self.in_flight);
        self.accepting = accepting;
        self.reported_at = Some(now);
        self.free_slots = self.record.slots.saturating_sub(requests);
        self.taken_since_report = 0;
        self.released_since_report = 0;
    }

    /// Stores the part of the free slots that this entry may take, as of the last report.
    pub fn set_part(&mut self, part: Option<u16>) {
        self.part = part.map(|part| part.min(WHOLE_PART));
    }

    /// Returns the limit of this entry's unread prompt tokens at the target. Each entry may have
    /// `max_tokens`; if entries take parts, those of all entries are divided by them.
    pub fn prefill_limit(&self, max_tokens: u32, entries: &EntryRegions) -> u32 {
        let Some(part) = self.part.map(u64::from) else {
            return max_tokens;
        };
        let local = entries.in_region();
        let sharing = if self.local { local } else { entries.entries().saturating_sub(local) };
        let tokens = u64::from(max_tokens) * u64::from(sharing.max(1)) * part;
        u32::try_from(tokens / u64::from(WHOLE_PART)).unwrap_or(u32::MAX)
    }

    /// Returns whether a prompt of `tokens` fits under the limit of `max_tokens` unread prompt
    /// tokens. A prompt of any size fits if no other is pending.
    pub fn has_prefill_capacity(&self, tokens: u32, max_tokens: u32) -> bool {
        self.pending_prefill_tokens == 0
            || self.pending_prefill_tokens.saturating_add(tokens) <= max_tokens
    }

    /// Returns the prompt tokens of this entry's requests that the target has not read yet.
    pub fn pending_prefill_tokens(&self) -> u32 {
        self.pending_prefill_tokens
    }

    /// Takes a slot for `request`.
    pub fn take_slot(&mut self, now: MonoTime, request: &SlotRequest) {
        // Without an objective there is no limit after which the target counts as stuck.
        if !request.objective.is_zero() {
            let stuck_at = now + request.objective * STUCK_PERCENT / 100;
            self.pending.push(PendingRequest { granted_at: now, stuck_at });
        }
        self.pending_prefill_tokens =
            self.pending_prefill_tokens.saturating_add(request.prompt_tokens);
        self.in_flight += 1;
        self.taken_since_report += 1;
    }

    /// Records that the response to the request granted at `granted_at` has begun.
    pub fn record_first_byte(&mut self, now: MonoTime, granted_at: MonoTime, prompt_tokens: u32) {
        self.remove_pending(granted_at, prompt_tokens);
        let (longest, measured_at) = self.slowest_first_byte;
        let first_byte_time = now.since(granted_at);
        if first_byte_time >= longest || now.since(measured_at) > FIRST_BYTE_RETENTION {
            self.slowest_first_byte = (first_byte_time, now);
        }
    }

    /// Records that the response to the request granted at `granted_at` will never begin. The time that it
    /// was waited for is less than it would have taken.
    pub fn record_no_first_byte(
        &mut self,
        now: MonoTime,
        granted_at: MonoTime,
        prompt_tokens: u32,
    ) {
        self.remove_pending(granted_at, prompt_tokens);
        let waited = now.since(granted_at);
        if waited >= self.slowest_first_byte.0 {
            self.slowest_first_byte = (waited, now);
        }
    }

    fn remove_pending(&mut self, granted_at: MonoTime, prompt_tokens: u32) {
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_sub(prompt_tokens);
        if let Some(index) =
            self.pending.iter().position(|request| request.granted_at == granted_at)
        {
            self.pending.swap_remove(index);
        }
    }

    /// Returns whether a request sent now is expected to begin safely before `begin_by`, judged by
    /// the last measured times to first byte, however old, and by the requests that still wait for
    /// theirs.
    pub fn will_begin_by(&self, now: MonoTime, begin_by: MonoTime) -> bool {
        let (longest, _) = self.slowest_first_byte;
        let waiting = self.pending.iter().map(|request| now.since(request.granted_at)).max();
        let expected = longest.max(waiting.unwrap_or_default());
        now + expected * BEGIN_MARGIN_PERCENT / 100 < begin_by
    }

    /// Returns whether a request has waited too long for its first byte.
    pub fn is_stuck(&self, now: MonoTime) -> bool {
        self.pending.iter().any(|request| request.stuck_at < now)
    }

    /// Releases a slot. A full or failed target gets a cool-down, doubled with each failure in a
    /// row.
    pub fn release(&mut self, now: MonoTime, outcome: SlotOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.released_since_report += 1;
        match outcome {
            SlotOutcome::Answered => self.consecutive_failures = 0,
            SlotOutcome::Full => self.extend_cooldown(now, FULL_COOLDOWN),
            SlotOutcome::Failed => {
                let cooldown = FIRST_COOLDOWN * 2_u32.pow(self.consecutive_failures.min(8));
                self.consecutive_failures += 1;
                self.extend_cooldown(now, cooldown.min(MAX_COOLDOWN));
            }
        }
    }

    /// Records that no slot is free, as in a report. Requests that this entry sent since the last one are
    /// among those that fill the target.
    pub fn set_full(&mut self) {
        self.other_requests = self.record.slots.saturating_sub(self.in_flight);
        (self.free_slots, self.taken_since_report, self.released_since_report) = (0, 0, 0);
    }

    fn extend_cooldown(&mut self, now: MonoTime, cooldown: Duration) {
        self.cooldown_until = self.cooldown_until.max(now + cooldown);
    }

    /// Returns the end of the last cool-down, which may have passed; `None` if there was none.
    pub fn cooldown_until(&self) -> Option<MonoTime> {
        (self.cooldown_until > MonoTime::ZERO).then_some(self.cooldown_until)
    }

    /// Returns whether the target accepts requests; true if there is no fresh report.
    pub fn is_accepting(&self, now: MonoTime) -> bool {
        self.accepting || !self.has_fresh_report(now)
    }

    /// Returns whether the target could get a request of this entry now, as far as its own load and failures tell.
    pub fn has_room(&self, now: MonoTime, entries: &EntryRegions) -> bool {
        self.registered
            && self.cooldown_until <= now
            && self.is_accepting(now)
            && self.available_slots(now, entries) > 0
    }

    /// Returns the version of `model` that the target has loaded, or 0 if it has none.
    pub fn loaded_version(&self, model: &ModelName) -> u64 {
        LoadedModel::newest_version(model, &self.record.models)
    }

    /// Returns how many requests this entry may have at the target while it has no fresh report.
    pub fn limit_without_report(&self, entries: &EntryRegions) -> u32 {
        if self.local {
            return self.record.slots.div_ceil(entries.in_region().max(1));
        }
        let remote_slots = u64::from(self.record.slots) * UNREPORTED_REMOTE_PERCENT / 100;
        (remote_slots as u32 / entries.entries().max(1)).max(1)
    }

    /// Returns how many further requests this entry may send to the target. All entries receive a
    /// report at the same time, so each takes only its share of the free slots.
    pub fn available_slots(&self, now: MonoTime, entries: &EntryRegions) -> u32 {
        if !self.has_fresh_report(now) {
            return self.limit_without_report(entries).saturating_sub(self.in_flight);
        }
        let free_slots = u64::from(self.free_slots);
        let whole = 100 * u64::from(WHOLE_PART);
        let share = match (self.local, self.part.map(u64::from)) {
            // Rounded like the equal parts, so that the sum over the entries exceeds the free slots by
            // no more than theirs.
            (true, Some(part)) => (free_slots * LOCAL_PERCENT * part).div_ceil(whole),
            (false, Some(part)) => free_slots * (100 - LOCAL_PERCENT) * part / whole,
            (true, None) => {
                let local_entries = u64::from(entries.in_region().max(1));
                (free_slots * LOCAL_PERCENT).div_ceil(100 * local_entries)
            }
            (false, None) => {
                let remote_entries = entries.entries().saturating_sub(entries.in_region()).max(1);
                free_slots * (100 - LOCAL_PERCENT) / (100 * u64::from(remote_entries))
            }
        };
        let unused = (share as u32)
            .saturating_add(self.released_since_report)
            .saturating_sub(self.taken_since_report);
        unused.min(self.record.slots.saturating_sub(self.in_flight))
    }

    /// Returns the cost of sending a further request to the target: its utilisation in thousandths,
    /// plus [`REMOTE_COST`] in another region and [`SILENT_COST`] if it is silent. Lower is better.
    pub fn cost(&self, now: MonoTime, entries: &EntryRegions) -> u64 {
        let utilisation = match self.has_fresh_report(now) {
            true => {
                u64::from(self.in_flight + self.other_requests) * 1000
                    / u64::from(self.record.slots.max(1))
            }
            false => {
                u64::from(self.in_flight) * 1000
                    / u64::from(self.limit_without_report(entries).max(1))
            }
        };
        utilisation + self.load_independent_cost(now)
    }

    /// Returns the part of the cost that does not depend on the load.
    pub fn load_independent_cost(&self, now: MonoTime) -> u64 {
        let distance_cost = if self.local { 0 } else { REMOTE_COST };
        let silence_cost = if self.is_silent(now) { SILENT_COST } else { 0 };
        distance_cost + silence_cost
    }

    /// Returns what the target has to do. Each other entry of its region is expected to have sent
    /// `other_entry_ratio` times as many requests as this one since the last report.
    pub fn work(
        &self,
        now: MonoTime,
        entries: &EntryRegions,
        other_entry_ratio: f64,
    ) -> TargetWork {
        let others = f64::from(entries.in_region().saturating_sub(1));
        let other_requests = match self.has_fresh_report(now) {
            true => {
                f64::from(self.other_requests)
                    + f64::from(self.taken_since_report) * others * other_entry_ratio
            }
            // Nothing tells the load of the others, so it is assumed to be like this entry's.
            false => f64::from(self.in_flight) * others,
        };
        let oldest_wait = self.pending.iter().map(|request| now.since(request.granted_at)).max();
        TargetWork {
            requests: f64::from(self.in_flight) + other_requests,
            other_requests,
            unread_tokens: f64::from(self.pending_prefill_tokens),
            oldest_wait: oldest_wait.unwrap_or_default(),
        }
    }

    /// Returns whether the target's load reports have stopped; false if there has been none.
    pub fn is_silent(&self, now: MonoTime) -> bool {
        self.reported_at.is_some() && !self.has_fresh_report(now)
    }

    fn has_fresh_report(&self, now: MonoTime) -> bool {
        self.reported_at.is_some_and(|reported_at| now.since(reported_at) < MAX_REPORT_AGE)
    }
}
