//! An agent's ledger of requests: those that wait or run, and recently ended ones with their answers.

mod event;
mod inbound;
mod record;
mod target;

use super::LinkId;
use super::id_table::IdTable;
use super::poison::SuspectTable;
use crate::code::OutcomeClass;
use crate::frame::{LinkFrame, SuspectFrame};
use crate::prelude::*;
use record::{RecordPhase, RequestRecord};
use std::collections::VecDeque;

pub use event::{ClaimVerdict, LedgerAction, LedgerEvent, TargetGate};

/// Interval between two ticks of a ledger.
pub const LEDGER_TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the loss of its link, without a resolve query, for which a waiting request stays queued
/// and an idempotent one keeps running.
pub const ORPHAN_GRACE: Duration = Duration::from_secs(10);
/// Time past its deadline after which a running non-idempotent request counts as hung.
pub const HUNG_GRACE: Duration = Duration::from_mins(1);
/// Time that a suspect waits for the target to become idle; meanwhile no other request is started.
pub const HOLD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that the answer of an ended request is kept.
pub const ANSWER_RETENTION: Duration = Duration::from_mins(2);
/// Maximum bytes kept of one answer; the oldest are dropped first.
pub const MAX_ANSWER_BYTES: u64 = 4 * 1024 * 1024;
/// Maximum bytes kept of the answers of ended requests.
pub const MAX_RECENT_BYTES: u64 = 16 * 1024 * 1024;
/// Maximum ended requests whose answers are kept.
pub const MAX_RECENT_ANSWERS: usize = 4_096;
/// Time past its deadline that the id of an ended request is kept. The entry sends no resolve query
/// after the deadline, and ignores replies that arrive after it.
pub const ID_RETENTION: Duration = Duration::from_mins(1);
/// Time after the loss of an entry's link in which a resolve query on its next link may be answered
/// "never seen". Shorter than [`ID_RETENTION`] by more than the heartbeat timeout, after which a link
/// counts as lost.
pub const NEVER_SEEN_WINDOW: Duration = Duration::from_secs(30);
/// Maximum entry incarnations for which the time of the last lost link is kept.
const MAX_ENTRY_INCARNATIONS: usize = 1_024;
/// Maximum ids in each of the tables of blocked and of forgotten ids.
pub const MAX_REMEMBERED_IDS: usize = 1 << 17;

/// One incarnation of an entry's process.
type EntryIncarnation = (HostName, HostIncarnation);

/// The agent's state machine for the requests of all entries.
///
/// - An id is dispatched at most once, even if frames are duplicated, delayed or reordered.
/// - An id that was refused or answered with "never seen" is never dispatched later: it is blocked
///   until [`ID_RETENTION`] past its deadline, or past the longest deadline if its own is not known. A
///   request on a link that a newer link of the same entry has superseded is ignored, however late.
/// - The loss of a link stops no request at once. The entry may send a resolve query on its next link
///   and gets the rest of the answer from its position.
/// - A non-idempotent request is not cancelled once it was dispatched, unless it hangs for
///   [`HUNG_GRACE`] past its deadline.
/// - A request that was in flight at a crash of any target runs alone, and is refused after a second
///   crash. The ledger informs all entries of crashes, and forwards what they report.
#[derive(Debug)]
pub struct RequestLedger {
    links: SortedTable<LinkId, EntryIncarnation>,
    last_link_losses: SortedTable<EntryIncarnation, MonoTime>,
    records: SortedTable<RequestId, Box<RequestRecord>>,
    /// Ended requests whose answers are kept, with the times at which they ended, oldest first.
    recent: VecDeque<(MonoTime, RequestId)>,
    recent_bytes: u64,
    /// Ids that have not run and must never be dispatched.
    blocked_ids: IdTable,
    /// Ids of other ended requests, whose answers are no longer kept.
    forgotten_ids: IdTable,
    suspects: SuspectTable,
    /// Requests that are being claimed or are running.
    active: u32,
    /// The suspect that runs alone, or waits for the target to become idle.
    exclusive: Option<RequestId>,
    exclusive_since: MonoTime,
    actions: Vec<LedgerAction>,
}

impl Default for RequestLedger {
    fn default() -> Self {
        Self {
            links: SortedTable::new(),
            last_link_losses: SortedTable::new(),
            records: SortedTable::new(),
            recent: VecDeque::new(),
            recent_bytes: 0,
            blocked_ids: IdTable::new(MAX_REMEMBERED_IDS),
            forgotten_ids: IdTable::new(MAX_REMEMBERED_IDS),
            suspects: SuspectTable::new(),
            active: 0,
            exclusive: None,
            exclusive_since: MonoTime::ZERO,
            actions: Vec::new(),
        }
    }
}

impl RequestLedger {
    /// An empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests that occupy a slot of the target: those dispatched to it, and those whose keys are being
    /// claimed.
    pub fn running(&self) -> u32 {
        self.active
    }

    /// Whether a request may be taken from the queue now: no suspect runs alone or waits to.
    pub fn allows_dispatch(&self) -> bool {
        self.exclusive.is_none()
    }

    /// Requests that have not ended, dispatched or not.
    pub fn in_flight(&self) -> usize {
        self.records.values().filter(|record| record.result().is_none()).count()
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn on_event(&mut self, now: MonoTime, event: LedgerEvent) -> Vec<LedgerAction> {
        match event {
            LedgerEvent::LinkOpened { link, entry, incarnation } => {
                self.on_link_opened(now, link, entry, incarnation);
            }
            LedgerEvent::LinkLost(link) => self.on_link_lost(now, link),
            LedgerEvent::Frame { link, frame } => self.on_frame(now, link, frame),
            LedgerEvent::Ready { id, gate } => self.on_ready(now, id, gate),
            LedgerEvent::Claimed { id, verdict, gate } => self.on_claimed(now, id, verdict, gate),
            LedgerEvent::Refused { id, code } => self.on_refused(now, id, code),
            LedgerEvent::TargetHead { id, status, content_type, digest } => {
                self.on_target_head(now, id, status, content_type, digest);
            }
            LedgerEvent::TargetBody { id, bytes } => self.on_target_body(id, bytes),
            LedgerEvent::TargetEnd { id, code } => self.on_target_end(now, id, code),
            LedgerEvent::TargetCrashed => self.on_target_crashed(now),
            LedgerEvent::Tick => self.on_tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    fn send(&mut self, link: Option<LinkId>, frame: LinkFrame) {
        if let Some(link) = link {
            self.actions.push(LedgerAction::Send { link, frame });
        }
    }

    /// Sends suspects to all entries except the one on `except`.
    fn broadcast(&mut self, except: Option<LinkId>, suspects: &SuspectFrame) {
        for link in self.links.keys().filter(|link| Some(**link) != except) {
            let frame = LinkFrame::Suspects(suspects.clone());
            self.actions.push(LedgerAction::Send { link: *link, frame });
        }
    }

    /// Ends a request and its followers, and sends the end of the answer.
    fn finish(&mut self, now: MonoTime, id: RequestId, code: ResultCode) {
        let Some(record) = self.records.get_mut(&id) else { return };
        if record.result().is_some() {
            return;
        }
        let was_active = record.is_active();
        record.phase = RecordPhase::Done(code);
        let (link, frame) = (record.link, record.answer.end_frame(id, code));
        let buffered_bytes = record.answer.buffered_bytes();
        let followers = std::mem::take(&mut record.followers);
        self.recent_bytes += buffered_bytes;
        self.recent.push_back((now, id));
        self.send(link, frame);
        for follower in followers {
            self.finish(now, follower, code);
        }
        self.release_slot(id, was_active);
        self.evict_old_answers(now);
    }

    /// Releases the slot of a request if it was active, and rechecks the held suspect once the target
    /// is idle.
    fn release_slot(&mut self, id: RequestId, was_active: bool) {
        self.active -= u32::from(was_active);
        if self.exclusive == Some(id) {
            self.exclusive = None;
        }
        if self.active == 0
            && let Some(held) = self.exclusive
        {
            self.actions.push(LedgerAction::Recheck(held));
        }
    }

    /// Evicts the oldest answers beyond the limits of age, number and bytes; their ids are kept.
    fn evict_old_answers(&mut self, now: MonoTime) {
        while let Some(&(ended_at, id)) = self.recent.front() {
            let is_kept = now.since(ended_at) < ANSWER_RETENTION
                && self.recent.len() <= MAX_RECENT_ANSWERS
                && self.recent_bytes <= MAX_RECENT_BYTES;
            if is_kept {
                return;
            }
            self.recent.pop_front();
            self.evict(now, id);
        }
    }

    fn evict(&mut self, now: MonoTime, id: RequestId) {
        let Some(record) = self.records.remove(&id) else { return };
        self.recent_bytes -= record.answer.buffered_bytes();
        let expires_at = record.deadline + ID_RETENTION;
        let is_blocked = record.result().is_some_and(|code| code.class() == OutcomeClass::NotRun)
            && self.blocked_ids.insert(now, id, expires_at);
        if !is_blocked {
            // Cannot be full: a request is accepted only if there is room for its id.
            let _ = self.forgotten_ids.insert(now, id, expires_at);
        }
    }

    fn on_tick(&mut self, now: MonoTime) {
        let is_due = |record: &RequestRecord| {
            let is_orphan =
                record.link_lost_at.is_some_and(|lost_at| now.since(lost_at) >= ORPHAN_GRACE);
            record.result().is_none() && (now >= record.deadline || is_orphan)
        };
        let due = self.records.iter().filter(|(_, record)| is_due(record));
        let ids: Vec<RequestId> = due.map(|(id, _)| *id).collect();
        for id in ids {
            self.time_out(now, id);
        }
        self.refuse_held_too_long(now);
        self.evict_old_answers(now);
        self.blocked_ids.expire(now);
        self.forgotten_ids.expire(now);
        self.suspects.expire(now);
    }

    /// Refuses a suspect that waited [`HOLD_TIMEOUT`] for an idle target, so that other requests can
    /// start.
    fn refuse_held_too_long(&mut self, now: MonoTime) {
        let Some(id) = self.exclusive else { return };
        let Some(record) = self.records.get(&id) else { return };
        let is_held = record.phase == RecordPhase::Waiting;
        if is_held && now.since(self.exclusive_since) >= HOLD_TIMEOUT {
            self.finish(now, id, ResultCode::Overloaded);
        }
    }

    /// Ends a request whose deadline passed, or whose link was lost [`ORPHAN_GRACE`] ago, as far as it
    /// may be ended.
    fn time_out(&mut self, now: MonoTime, id: RequestId) {
        let Some(record) = self.records.get(&id) else { return };
        let is_past_deadline = now >= record.deadline;
        match record.phase {
            RecordPhase::Waiting => {
                let code = if is_past_deadline {
                    ResultCode::DeadlineBefore
                } else {
                    ResultCode::NeverSeen
                };
                self.actions.push(LedgerAction::Dequeue(id));
                self.finish(now, id, code);
            }
            RecordPhase::Running if record.submit.idempotent && record.followers.is_empty() => {
                let code = if is_past_deadline {
                    ResultCode::DeadlineDuring
                } else {
                    ResultCode::Cancelled
                };
                self.actions.push(LedgerAction::CancelTarget(id));
                self.finish(now, id, code);
            }
            RecordPhase::Running if now >= record.deadline + HUNG_GRACE => {
                self.actions.push(LedgerAction::CancelTarget(id));
                self.finish(now, id, ResultCode::DeadlineDuring);
            }
            RecordPhase::Following => self.finish(now, id, ResultCode::DeadlineDuring),
            RecordPhase::Running | RecordPhase::Claiming | RecordPhase::Done(_) => {}
        }
    }
}
