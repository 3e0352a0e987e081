//! Requests that crash targets, recognised by their fingerprints.

use crate::frame::{SuspectFrame, SuspectRecord};
use crate::prelude::*;

/// Crashes after which a request is refused.
pub const POISON_CRASHES: usize = 2;
/// Time after which a crash is forgotten.
pub const CRASH_RETENTION: Duration = Duration::from_mins(10);
/// Most fingerprints that a book holds; the oldest are dropped first.
pub const MAX_SUSPECTS: usize = 4_096;
/// Most crashes kept for one fingerprint.
const MAX_CRASHES: usize = 4;

/// What is thought of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// Nothing speaks against it.
    Clear,
    /// It was in flight at one crash and must run alone.
    Suspect,
    /// It was in flight at two crashes and must be refused.
    Poisonous,
}

#[derive(Debug, Clone, Copy)]
struct CrashRecord {
    crash: u64,
    at: MonoTime,
    /// Whether a whole answer since then has shown that the request was not the cause.
    is_cleared: bool,
}

/// Fingerprints that were in flight when a target crashed, with the crashes.
///
/// Each crash has a number of its own, so that a record that arrives twice, over several processes,
/// counts once. A process passes on what is new to it, and its age with it, so that records spread
/// over the fleet and expire.
#[derive(Debug, Default)]
pub struct SuspectTable {
    suspects: SortedTable<u64, Vec<CrashRecord>>,
}

impl SuspectTable {
    /// A book without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// What is thought of the request with this fingerprint.
    pub fn verdict(&self, now: MonoTime, fingerprint: u64) -> SuspectVerdict {
        let crashes = self.suspects.get(&fingerprint).map_or(&[][..], Vec::as_slice);
        let counted = crashes.iter().filter(|crash| !crash.is_cleared && !is_old(now, crash));
        match counted.count() {
            0 => SuspectVerdict::Clear,
            1..POISON_CRASHES => SuspectVerdict::Suspect,
            _ => SuspectVerdict::Poisonous,
        }
    }

    /// Notes a crash, with a number that no other crash has, and the fingerprints that were in
    /// flight. The frame tells others.
    pub fn record_crash(
        &mut self,
        now: MonoTime,
        crash: u64,
        fingerprints: &[u64],
    ) -> SuspectFrame {
        let record =
            |fingerprint: &u64| SuspectRecord { fingerprint: *fingerprint, crash, age_ms: 0 };
        let records: Vec<SuspectRecord> = fingerprints.iter().map(record).collect();
        for record in &records {
            self.add(now, record);
        }
        SuspectFrame { fingerprints: records, cleared: Vec::new() }
    }

    /// Notes that a suspect was answered whole. The frame tells others; none if it was no suspect.
    pub fn record_complete_answer(&mut self, fingerprint: u64) -> Option<SuspectFrame> {
        let is_news = self.clear(fingerprint);
        is_news.then(|| SuspectFrame { fingerprints: Vec::new(), cleared: vec![fingerprint] })
    }

    /// Takes what another process tells, and returns what of it is new and is to be passed on to
    /// all others.
    pub fn merge(&mut self, now: MonoTime, frame: &SuspectFrame) -> Option<SuspectFrame> {
        let records = frame.fingerprints.iter().copied();
        let fingerprints: Vec<SuspectRecord> =
            records.filter(|record| self.add(now, record)).collect();
        let cleared = frame.cleared.iter().copied();
        let cleared: Vec<u64> = cleared.filter(|fingerprint| self.clear(*fingerprint)).collect();
        let is_news = !fingerprints.is_empty() || !cleared.is_empty();
        is_news.then_some(SuspectFrame { fingerprints, cleared })
    }

    /// All that counts, for a process that was not heard of before; none if nothing does.
    pub fn snapshot(&self, now: MonoTime) -> Option<SuspectFrame> {
        let mut fingerprints = Vec::new();
        for (fingerprint, crashes) in self.suspects.iter() {
            let counted = crashes.iter().filter(|crash| !crash.is_cleared && !is_old(now, crash));
            fingerprints.extend(counted.map(|crash| crash.record(now, *fingerprint)));
        }
        let is_empty = fingerprints.is_empty();
        (!is_empty).then(|| SuspectFrame { fingerprints, cleared: Vec::new() })
    }

    /// Drops what is old.
    pub fn expire(&mut self, now: MonoTime) {
        self.suspects.retain(|_, crashes| {
            crashes.retain(|crash| !is_old(now, crash));
            !crashes.is_empty()
        });
    }

    /// Adds a record; `false` if it was known or is old.
    fn add(&mut self, now: MonoTime, record: &SuspectRecord) -> bool {
        let at = now - Duration::from_millis(record.age_ms);
        let added = CrashRecord { crash: record.crash, at, is_cleared: false };
        if Duration::from_millis(record.age_ms) >= CRASH_RETENTION {
            return false;
        }
        let crashes = self.suspects.get_or_insert_with(record.fingerprint, Vec::new);
        if crashes.iter().any(|crash| crash.crash == added.crash) {
            return false;
        }
        if crashes.len() == MAX_CRASHES {
            crashes.remove(0);
        }
        crashes.push(added);
        self.drop_oldest();
        true
    }

    fn clear(&mut self, fingerprint: u64) -> bool {
        let Some(crashes) = self.suspects.get_mut(&fingerprint) else { return false };
        let is_news = crashes.iter().any(|crash| !crash.is_cleared);
        for crash in crashes {
            crash.is_cleared = true;
        }
        is_news
    }

    fn drop_oldest(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let newest = |crashes: &[CrashRecord]| crashes.iter().map(|crash| crash.at).max();
        let oldest = self.suspects.iter().min_by_key(|(_, crashes)| newest(crashes));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }
}

impl CrashRecord {
    fn record(&self, now: MonoTime, fingerprint: u64) -> SuspectRecord {
        let age_ms = u64::try_from(now.since(self.at).as_millis()).unwrap_or(u64::MAX);
        SuspectRecord { fingerprint, crash: self.crash, age_ms }
    }
}

fn is_old(now: MonoTime, crash: &CrashRecord) -> bool {
    now.since(crash.at) >= CRASH_RETENTION
}
