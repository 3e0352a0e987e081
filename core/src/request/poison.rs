//! Recognises requests that crash targets, by their fingerprints.

use crate::frame::{SuspectFrame, SuspectRecord};
use crate::prelude::*;

/// Number of crashes after which a request is refused, each but the first with a copy that was sent after
/// the crash before.
pub const POISON_CRASHES: usize = 2;
/// Time that a crash is kept.
pub const CRASH_RETENTION: Duration = Duration::from_mins(10);
/// Maximum fingerprints in a table; the one whose latest crash is oldest is evicted first.
pub const MAX_SUSPECTS: usize = 4_096;
/// Maximum crashes kept per fingerprint.
const MAX_CRASHES: usize = 4;

/// How a request is to be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// It is not suspected of a crash.
    Clear,
    /// It was in flight at a crash and must run alone, so that another crash shows the cause.
    Suspect,
    /// It was in flight at [`POISON_CRASHES`] crashes and must be refused.
    Poisonous,
}

/// A request that runs at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningRequest {
    /// Hash of the request's content.
    pub fingerprint: u64,
    /// When it was sent to the target.
    pub sent_at: MonoTime,
}

#[derive(Debug, Clone, Copy)]
struct CrashRecord {
    crash_id: u64,
    at: MonoTime,
    /// When the request that was in flight was sent.
    sent_at: MonoTime,
    /// Whether a later complete answer has shown that the request was not the cause.
    is_cleared: bool,
}

/// Fingerprints of requests that were in flight when a target crashed, with the crashes.
///
/// Each crash has a unique id, so that a record received from several processes counts once. A process
/// forwards records that are new to it, with their age, so that they reach the whole fleet and expire
/// everywhere.
#[derive(Debug, Default)]
pub struct SuspectTable {
    suspects: SortedTable<u64, Vec<CrashRecord>>,
}

impl SuspectTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// How the request with this fingerprint is to be treated.
    pub fn verdict(&self, now: MonoTime, fingerprint: u64) -> SuspectVerdict {
        let crashes = self.suspects.get(&fingerprint).map_or(&[][..], Vec::as_slice);
        let active = crashes.iter().filter(|crash| !crash.is_cleared && !is_expired(now, crash));
        match count_successive(active.copied().collect()) {
            0 => SuspectVerdict::Clear,
            1..POISON_CRASHES => SuspectVerdict::Suspect,
            _ => SuspectVerdict::Poisonous,
        }
    }

    /// Records a crash, with a unique id as `crash` and the requests that were in flight. Returns the frame
    /// that informs other processes.
    pub fn record_crash(
        &mut self,
        now: MonoTime,
        crash: u64,
        requests: &[RunningRequest],
    ) -> SuspectFrame {
        let record = |request: &RunningRequest| SuspectRecord {
            fingerprint: request.fingerprint,
            crash,
            age_ms: 0,
            sent_age_ms: Some(age_ms(now, request.sent_at)),
        };
        let records: Vec<SuspectRecord> = requests.iter().map(record).collect();
        for record in &records {
            self.add(now, record);
        }
        SuspectFrame { fingerprints: records, cleared: Vec::new() }
    }

    /// Records a complete answer to a request that was sent at `sent_at`, which clears its fingerprint of the
    /// crashes before. Returns the frame that informs other processes; `None` if the fingerprint was not
    /// suspected or still is.
    pub fn record_complete_answer(
        &mut self,
        fingerprint: u64,
        sent_at: MonoTime,
    ) -> Option<SuspectFrame> {
        let is_cleared = self.clear_until(fingerprint, Some(sent_at));
        is_cleared.then(|| SuspectFrame { fingerprints: Vec::new(), cleared: vec![fingerprint] })
    }

    /// Merges the records of another process. Returns those that are new, to be forwarded to all other
    /// processes; `None` if there are none.
    pub fn merge(&mut self, now: MonoTime, frame: &SuspectFrame) -> Option<SuspectFrame> {
        let records = frame.fingerprints.iter().copied();
        let fingerprints: Vec<SuspectRecord> =
            records.filter(|record| self.add(now, record)).collect();
        let cleared = frame.cleared.iter().copied();
        let cleared: Vec<u64> =
            cleared.filter(|fingerprint| self.clear_until(*fingerprint, None)).collect();
        let is_changed = !fingerprints.is_empty() || !cleared.is_empty();
        is_changed.then_some(SuspectFrame { fingerprints, cleared })
    }

    /// All active records, for a newly connected process; `None` if there are none.
    pub fn snapshot(&self, now: MonoTime) -> Option<SuspectFrame> {
        let mut fingerprints = Vec::new();
        for (fingerprint, crashes) in self.suspects.iter() {
            let active =
                crashes.iter().filter(|crash| !crash.is_cleared && !is_expired(now, crash));
            fingerprints.extend(active.map(|crash| crash.suspect_record(now, *fingerprint)));
        }
        let is_empty = fingerprints.is_empty();
        (!is_empty).then(|| SuspectFrame { fingerprints, cleared: Vec::new() })
    }

    /// Removes expired crashes.
    pub fn expire(&mut self, now: MonoTime) {
        self.suspects.retain(|_, crashes| {
            crashes.retain(|crash| !is_expired(now, crash));
            !crashes.is_empty()
        });
    }

    /// Adds a record; `false` if it was known already or has expired.
    fn add(&mut self, now: MonoTime, record: &SuspectRecord) -> bool {
        let at = now - Duration::from_millis(record.age_ms);
        let sent_age = record.sent_age_ms.map(Duration::from_millis);
        let sent_at = sent_age.map_or(at, |age| now - age);
        let added = CrashRecord { crash_id: record.crash, at, sent_at, is_cleared: false };
        if Duration::from_millis(record.age_ms) >= CRASH_RETENTION {
            return false;
        }
        let crashes = self.suspects.get_or_insert_with(record.fingerprint, Vec::new);
        if crashes.iter().any(|crash| crash.crash_id == added.crash_id) {
            return false;
        }
        if crashes.len() == MAX_CRASHES {
            crashes.remove(0);
        }
        crashes.push(added);
        self.evict_oldest();
        true
    }

    /// Clears a fingerprint of the crashes up to `sent_at`, or of all; returns whether that ended its being
    /// suspected.
    fn clear_until(&mut self, fingerprint: u64, sent_at: Option<MonoTime>) -> bool {
        let Some(crashes) = self.suspects.get_mut(&fingerprint) else { return false };
        let was_suspected = crashes.iter().any(|crash| !crash.is_cleared);
        for crash in crashes.iter_mut() {
            crash.is_cleared |= sent_at.is_none_or(|sent_at| crash.at <= sent_at);
        }
        was_suspected && crashes.iter().all(|crash| crash.is_cleared)
    }

    fn evict_oldest(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let latest = |crashes: &[CrashRecord]| crashes.iter().map(|crash| crash.at).max();
        let oldest = self.suspects.iter().min_by_key(|(_, crashes)| latest(crashes));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }
}

impl CrashRecord {
    fn suspect_record(&self, now: MonoTime, fingerprint: u64) -> SuspectRecord {
        SuspectRecord {
            fingerprint,
            crash: self.crash_id,
            age_ms: age_ms(now, self.at),
            sent_age_ms: Some(age_ms(now, self.sent_at)),
        }
    }
}

/// Returns the length of the longest chain of crashes in which each request was sent after the crash before.
fn count_successive(mut crashes: Vec<CrashRecord>) -> usize {
    crashes.sort_unstable_by_key(|crash| crash.at);
    let mut count = 0;
    let mut last = None;
    for crash in crashes {
        if last.is_none_or(|last| last <= crash.sent_at) {
            count += 1;
            last = Some(crash.at);
        }
    }
    count
}

fn age_ms(now: MonoTime, at: MonoTime) -> u64 {
    u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX)
}

fn is_expired(now: MonoTime, crash: &CrashRecord) -> bool {
    now.since(crash.at) >= CRASH_RETENTION
}
