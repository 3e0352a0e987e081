//! An agent's ledger of the requests it knows: which wait, run or ended, and their recent answers.

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

/// Time between two ticks of a ledger.
pub const LEDGER_TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Time that idempotent work goes on after its link was lost and nobody asked for it again.
pub const ORPHAN_GRACE: Duration = Duration::from_secs(10);
/// Time past its deadline after which dispatched work that must not be repeated counts as hung.
pub const HUNG_GRACE: Duration = Duration::from_mins(1);
/// Time that a suspect waits for the target to become idle, while nothing else has its turn.
pub const HOLD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a recent answer is kept.
pub const ANSWER_RETENTION: Duration = Duration::from_mins(2);
/// Most bytes kept of one answer; the oldest are dropped first.
pub const MAX_ANSWER_BYTES: u64 = 4 * 1024 * 1024;
/// Most bytes kept of ended answers.
pub const MAX_RECENT_BYTES: u64 = 16 * 1024 * 1024;
/// Most ended requests whose answers are kept.
pub const MAX_RECENT_ANSWERS: usize = 4_096;
/// Time past its deadline that an ended request's id is remembered. Its entry asks about it no later
/// than at the deadline, and believes no answer that comes after it.
pub const ID_RETENTION: Duration = Duration::from_mins(1);
/// Time from the loss of an entry's link in which "never seen" may be said on its next one. Shorter
/// than [`ID_RETENTION`], by more than an entry may be silent before its link counts as lost.
pub const NEVER_SEEN_WINDOW: Duration = Duration::from_secs(30);
/// Most runs of entries whose last lost link is remembered.
const MAX_ENTRY_RUNS: usize = 1_024;
/// Most ids that are remembered as run or barred, each.
pub const MAX_REMEMBERED_IDS: usize = 1 << 17;

/// One run of an entry's process.
type EntryRun = (HostName, HostIncarnation);

/// The agent's side of the requests of all entries.
///
/// - An id is dispatched at most once, whatever is doubled, late or crossed.
/// - An id for which "never seen" or a refusal was said is never dispatched after it: the id is
///   remembered past its deadline, which is the longest one if it is not known, and a request that
///   comes on a link which a newer one of the same entry has superseded is ignored, however late.
/// - The loss of a link stops nothing at once; the entry may ask on its next link and gets the
///   answer from the position it has.
/// - What must not be repeated is not cancelled once it was dispatched, unless it hangs for
///   [`HUNG_GRACE`] past its deadline.
/// - A request that was in flight at a crash of any target runs alone, and after a second crash it
///   is refused. The ledger tells all entries, and passes on what they tell.
#[derive(Debug)]
pub struct RequestLedger {
    links: SortedTable<LinkId, EntryRun>,
    links_lost: SortedTable<EntryRun, MonoTime>,
    records: SortedTable<RequestId, Box<RequestRecord>>,
    recent: VecDeque<(MonoTime, RequestId)>,
    recent_bytes: u64,
    barred: IdTable,
    forgotten: IdTable,
    suspects: SuspectTable,
    busy: u32,
    alone: Option<RequestId>,
    held_at: MonoTime,
    actions: Vec<LedgerAction>,
}

impl Default for RequestLedger {
    fn default() -> Self {
        Self {
            links: SortedTable::new(),
            links_lost: SortedTable::new(),
            records: SortedTable::new(),
            recent: VecDeque::new(),
            recent_bytes: 0,
            barred: IdTable::new(MAX_REMEMBERED_IDS),
            forgotten: IdTable::new(MAX_REMEMBERED_IDS),
            suspects: SuspectTable::new(),
            busy: 0,
            alone: None,
            held_at: MonoTime::ZERO,
            actions: Vec::new(),
        }
    }
}

impl RequestLedger {
    /// A ledger that knows no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests that had their turn and have not ended: those in the target, and those whose keys
    /// are being claimed.
    pub fn running(&self) -> u32 {
        self.busy
    }

    /// Whether a request may be given its turn now: no suspect runs or waits to run alone.
    pub fn allows_dispatch(&self) -> bool {
        self.alone.is_none()
    }

    /// Requests that have not ended, dispatched or not.
    pub fn in_flight(&self) -> usize {
        self.records.values().filter(|record| record.result().is_none()).count()
    }

    /// Takes an event and returns what to do, in order.
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

    /// Tells all entries, but the one on `except`, of suspects.
    fn broadcast(&mut self, except: Option<LinkId>, suspects: &SuspectFrame) {
        for link in self.links.keys().filter(|link| Some(**link) != except) {
            let frame = LinkFrame::Suspects(suspects.clone());
            self.actions.push(LedgerAction::Send { link: *link, frame });
        }
    }

    /// Ends a request and those that wait for its answer.
    fn finish(&mut self, now: MonoTime, id: RequestId, code: ResultCode) {
        let Some(record) = self.records.get_mut(&id) else { return };
        if record.result().is_some() {
            return;
        }
        let was_busy = record.is_busy();
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
        self.end_turn(id, was_busy);
        self.drop_old_answers(now);
    }

    /// Notes that a request no longer needs the target.
    fn end_turn(&mut self, id: RequestId, was_busy: bool) {
        self.busy -= u32::from(was_busy);
        if self.alone == Some(id) {
            self.alone = None;
        }
        if self.busy == 0
            && let Some(held) = self.alone
        {
            self.actions.push(LedgerAction::Recheck(held));
        }
    }

    /// Drops the answers that are too old or too many; their ids are remembered.
    fn drop_old_answers(&mut self, now: MonoTime) {
        while let Some(&(ended, id)) = self.recent.front() {
            let is_kept = now.since(ended) < ANSWER_RETENTION
                && self.recent.len() <= MAX_RECENT_ANSWERS
                && self.recent_bytes <= MAX_RECENT_BYTES;
            if is_kept {
                return;
            }
            self.recent.pop_front();
            self.forget(now, id);
        }
    }

    fn forget(&mut self, now: MonoTime, id: RequestId) {
        let Some(record) = self.records.remove(&id) else { return };
        self.recent_bytes -= record.answer.buffered_bytes();
        let until = record.deadline + ID_RETENTION;
        let is_barred = record.result().is_some_and(|code| code.class() == OutcomeClass::NotRun)
            && self.barred.insert(now, id, until);
        if !is_barred {
            // Room was kept when the request was taken.
            let _ = self.forgotten.insert(now, id, until);
        }
    }

    fn on_tick(&mut self, now: MonoTime) {
        let due = |record: &RequestRecord| {
            let is_orphan = record.link_lost_at.is_some_and(|lost| now.since(lost) >= ORPHAN_GRACE);
            record.result().is_none() && (now >= record.deadline || is_orphan)
        };
        let rows = self.records.iter().filter(|(_, record)| due(record));
        let ids: Vec<RequestId> = rows.map(|(id, _)| *id).collect();
        for id in ids {
            self.give_up(now, id);
        }
        self.refuse_long_held(now);
        self.drop_old_answers(now);
        self.barred.expire(now);
        self.forgotten.expire(now);
        self.suspects.expire(now);
    }

    /// Refuses a suspect that waited too long for an idle target, so that others get their turns.
    fn refuse_long_held(&mut self, now: MonoTime) {
        let Some(id) = self.alone else { return };
        let Some(record) = self.records.get(&id) else { return };
        let is_held = record.phase == RecordPhase::Waiting;
        if is_held && now.since(self.held_at) >= HOLD_TIMEOUT {
            self.finish(now, id, ResultCode::Overloaded);
        }
    }

    /// Ends a request whose deadline passed or whose link was lost for too long.
    fn give_up(&mut self, now: MonoTime, id: RequestId) {
        let Some(record) = self.records.get(&id) else { return };
        let is_late = now >= record.deadline;
        match record.phase {
            RecordPhase::Waiting => {
                let code = if is_late { ResultCode::DeadlineBefore } else { ResultCode::NeverSeen };
                self.actions.push(LedgerAction::Dequeue(id));
                self.finish(now, id, code);
            }
            RecordPhase::Running if record.submit.idempotent && record.followers.is_empty() => {
                let code = if is_late { ResultCode::DeadlineDuring } else { ResultCode::Cancelled };
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
