//! What the outcomes of recent attempts say about a target.

use crate::prelude::*;

/// Failures in a row after which a target is barred.
const BAR_AFTER_FAILURES: u32 = 3;
/// How long a target is barred the first time; doubled at each failed probe.
const FIRST_BAR: Duration = Duration::from_secs(1);
/// Longest bar.
const LONGEST_BAR: Duration = Duration::from_secs(30);
/// How long a target that refused work as not serving or leaving is let alone.
const REFUSED_PAUSE: Duration = Duration::from_millis(250);
/// Weight of the newest outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Time in which a remembered share of failures halves without new outcomes.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Factor on the score of a target that fails always, above 1.
const FAILURE_PENALTY: f64 = 30.0;

/// How an attempt counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OutcomeKind {
    /// The target answered.
    Good,
    /// The target or its host failed.
    Failed,
    /// The agent refused because the target cannot take the work now.
    Refused,
    /// It says nothing about the target.
    Neutral,
}

fn kind_of(code: ResultCode) -> OutcomeKind {
    match code {
        ResultCode::Ok => OutcomeKind::Good,
        ResultCode::LinkLost
        | ResultCode::TargetFailed
        | ResultCode::DeadlineDuring
        | ResultCode::CutShort => OutcomeKind::Failed,
        ResultCode::NotServing
        | ResultCode::Overloaded
        | ResultCode::Leaving
        | ResultCode::DeadlineBefore
        | ResultCode::WrongVersion => OutcomeKind::Refused,
        _ => OutcomeKind::Neutral,
    }
}

/// Memory of a target's outcomes.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    failure_share: f64,
    share_at: MonoTime,
    failures_in_row: u32,
    barred_until: MonoTime,
}

impl TargetHealth {
    /// Counts an outcome.
    pub fn on_end(&mut self, now: MonoTime, code: ResultCode) {
        match kind_of(code) {
            OutcomeKind::Good => self.on_good(now),
            OutcomeKind::Failed => self.on_failed(now),
            OutcomeKind::Refused => self.on_refused(now),
            OutcomeKind::Neutral => {}
        }
    }

    /// Whether the target may be tried; one that failed often may have one attempt at a time.
    pub fn is_usable(&self, now: MonoTime, own_in_flight: u32) -> bool {
        if now < self.barred_until {
            return false;
        }
        self.failures_in_row < BAR_AFTER_FAILURES || own_in_flight == 0
    }

    /// Factor on the score, 1 for a target without failures.
    pub fn penalty(&self, now: MonoTime) -> f64 {
        1.0 + FAILURE_PENALTY * self.share_now(now)
    }

    fn on_good(&mut self, now: MonoTime) {
        self.note(now, 0.0);
        self.failures_in_row = 0;
    }

    fn on_failed(&mut self, now: MonoTime) {
        self.note(now, 1.0);
        self.failures_in_row += 1;
        if self.failures_in_row >= BAR_AFTER_FAILURES && now >= self.barred_until {
            let doublings = (self.failures_in_row - BAR_AFTER_FAILURES).min(16);
            self.barred_until = now + (FIRST_BAR * 2u32.pow(doublings)).min(LONGEST_BAR);
        }
    }

    fn on_refused(&mut self, now: MonoTime) {
        self.barred_until = self.barred_until.max(now + REFUSED_PAUSE);
    }

    fn note(&mut self, now: MonoTime, outcome: f64) {
        let share = self.share_now(now);
        self.failure_share = share + OUTCOME_WEIGHT * (outcome - share);
        self.share_at = now;
    }

    fn share_now(&self, now: MonoTime) -> f64 {
        if self.failure_share == 0.0 {
            return 0.0;
        }
        let half_lives = now.since(self.share_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_share * (-half_lives).exp2()
    }
}
