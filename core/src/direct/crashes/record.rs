//! The crashes at which one possible cause was in flight.

use super::verdict::DOUBTFUL_SUSPECT_ROUNDS;
use super::{CrashId, CrashRow};
use crate::prelude::*;
use crate::request::poison::CRASH_RETENTION;

/// Maximum crashes kept of one cause; the oldest is dropped first.
const MAX_CRASHES: usize = 32;
/// Crashes that are closer together may be one event, such as a power failure.
const SAME_MOMENT: Duration = Duration::from_millis(100);
/// Time from a crash until a request with a guilty cause that was answered before is let through again;
/// doubled with each further round.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(2);
/// The same for a cause that was never answered.
const UNANSWERED_FIRST_TRIAL_DELAY: Duration = Duration::from_secs(60);
/// Maximum number of times that the delay is doubled.
const MAX_TRIAL_DOUBLINGS: u32 = 8;

/// A crash at which a cause was in flight.
#[derive(Debug, Clone, Copy)]
struct CrashEntry {
    /// Position of the crash in a chain of crashes, from 1; see [`CauseRecord::rounds`].
    round: u32,
    at: MonoTime,
    /// Whether a later answer has shown that the cause was not to blame.
    is_cleared: bool,
}

/// What is known of one possible cause.
#[derive(Debug, Clone, Default)]
pub(super) struct CauseRecord {
    crashes: SortedTable<CrashId, CrashEntry>,
    /// Whether a target of the service has begun to answer a request without the cause since the first
    /// crash that counts. If none does, the crashes have a cause that all requests share.
    pub has_contrast: bool,
    /// How often a request with the cause was answered, as far as it is remembered.
    pub answers: u32,
    /// When a request with the cause was last sent by this process.
    pub last_sent: MonoTime,
}

impl CauseRecord {
    /// Returns the length of the chain of crashes that count: in it, each request was sent after the
    /// crash before was known. Crashes at the same time, as in a power failure, count as one.
    pub fn rounds(&self) -> u32 {
        let counting = self.crashes.values().filter(|entry| !entry.is_cleared);
        counting.map(|entry| entry.round).max().unwrap_or(0)
    }

    /// Returns how strongly `crashes`, which are sorted, speak against the cause: the number of different
    /// rounds among them or, if the cause was never answered, of different moments.
    pub fn evidence(&self, crashes: &[CrashId]) -> u32 {
        let entries = crashes.iter().filter_map(|crash| self.crashes.get(crash));
        let mut rounds: Vec<u32> = entries.map(|entry| entry.round).collect();
        rounds.sort_unstable();
        rounds.dedup();
        let rounds = u32::try_from(rounds.len()).unwrap_or(u32::MAX);
        match self.answers {
            0 => rounds.max(self.moments(crashes)),
            _ => rounds,
        }
    }

    /// Returns the number of different moments among `crashes`, which are sorted.
    pub fn moments(&self, crashes: &[CrashId]) -> u32 {
        let entries = crashes.iter().filter_map(|crash| self.crashes.get(crash));
        let mut times: Vec<MonoTime> = entries.map(|entry| entry.at).collect();
        times.sort_unstable();
        let mut moments = 0;
        let mut last = None;
        for at in times {
            if last.is_none_or(|last| at.since(last) >= SAME_MOMENT) {
                moments += 1;
                last = Some(at);
            }
        }
        moments
    }

    /// Returns the crashes that count, sorted.
    pub fn counting(&self) -> Vec<CrashId> {
        let counting = self.crashes.iter().filter(|(_, entry)| !entry.is_cleared);
        counting.map(|(crash, _)| *crash).collect()
    }

    /// Returns `crash`, or the crash of a later run of the same target if `crash` is known to be older than
    /// the sending of a request that was in flight at it.
    pub fn crash_after(&self, crash: CrashId, sent_at: MonoTime) -> CrashId {
        let mut crash = crash;
        while self.crashes.get(&crash).is_some_and(|entry| entry.at < sent_at) {
            crash = crash.of_next_run();
        }
        crash
    }

    /// Adds a crash, or merges what another process knows of it.
    pub fn add(&mut self, crash: CrashId, round: u32, at: MonoTime, is_cleared: bool) {
        let entry = CrashEntry { round, at, is_cleared };
        let known = self.crashes.get_or_insert_with(crash, || entry);
        known.round = known.round.max(round);
        known.is_cleared |= is_cleared;
        if self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, entry)| entry.at);
            let oldest = oldest.map(|(crash, _)| *crash);
            oldest.map(|crash| self.crashes.remove(&crash));
        }
    }

    /// Returns whether a request with the cause may be sent again although the cause is guilty. The delay
    /// is longer by up to a half with a higher `jitter`.
    pub fn is_trial_due(&self, now: MonoTime, jitter: u8) -> bool {
        let first_delay = match self.answers {
            0 => UNANSWERED_FIRST_TRIAL_DELAY,
            _ => FIRST_TRIAL_DELAY,
        };
        let doublings = self.rounds().saturating_sub(DOUBTFUL_SUSPECT_ROUNDS);
        let delay = first_delay * 2_u32.pow(doublings.min(MAX_TRIAL_DOUBLINGS));
        now >= self.trial_time(delay, delay / 2, jitter)
    }

    /// Returns the time `delay` after the last crash or sending, later by up to `spread` with a higher
    /// `jitter`.
    pub fn trial_time(&self, delay: Duration, spread: Duration, jitter: u8) -> MonoTime {
        self.last_crash().max(self.last_sent) + delay + spread * u32::from(jitter) / 255
    }

    /// Returns the time at which the last crash is forgotten.
    pub fn expires_at(&self) -> MonoTime {
        self.last_crash() + CRASH_RETENTION
    }

    /// Clears the cause of the crashes up to `sent_at`, when a request with it was sent that was answered.
    pub fn clear_until(&mut self, sent_at: MonoTime) {
        let earlier = self.crashes.values_mut().filter(|entry| entry.at <= sent_at);
        earlier.for_each(|entry| entry.is_cleared = true);
        self.has_contrast &= self.rounds() > 0;
    }

    /// Drops crashes that are older than the retention time; returns whether any are left.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        self.crashes.retain(|_, entry| now.since(entry.at) < CRASH_RETENTION);
        !self.crashes.is_empty()
    }

    /// Returns the time of the last crash.
    pub fn last_crash(&self) -> MonoTime {
        self.crashes.values().map(|entry| entry.at).max().unwrap_or_default()
    }

    /// Returns the crashes for a report to other processes.
    pub fn rows(&self, now: MonoTime) -> Vec<CrashRow> {
        let row = |(crash, entry): (&CrashId, &CrashEntry)| CrashRow {
            crash: *crash,
            round: entry.round,
            age: now.since(entry.at),
            cleared: entry.is_cleared,
        };
        self.crashes.iter().map(row).collect()
    }
}
