//! Outlier ejection: failure tracking of one target.

use crate::prelude::*;

/// Consecutive failures after which a target is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;
/// Duration of the first ejection; doubled after each failed probe.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Longest ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);
/// Time for which a target gets no attempts after it refused one.
const REFUSAL_COOL_DOWN: Duration = Duration::from_millis(250);
/// Weight of the newest outcome in the moving average of the failure rate.
const OUTCOME_EWMA_WEIGHT: f64 = 0.2;
/// Time in which the failure rate halves without new outcomes.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Score penalty of a target whose failure rate is 1.
const MAX_FAILURE_PENALTY: f64 = 30.0;

/// What the outcome of an attempt says about the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OutcomeKind {
    /// The target answered.
    Success,
    /// The target or its host failed.
    Failure,
    /// The agent refused the request because the target cannot accept it now.
    Refusal,
    /// Nothing.
    Neutral,
}

fn classify(code: ResultCode) -> OutcomeKind {
    match code {
        ResultCode::Ok => OutcomeKind::Success,
        ResultCode::LinkLost
        | ResultCode::TargetFailed
        | ResultCode::DeadlineDuring
        | ResultCode::CutShort => OutcomeKind::Failure,
        ResultCode::NotServing
        | ResultCode::Overloaded
        | ResultCode::Leaving
        | ResultCode::DeadlineBefore
        | ResultCode::WrongVersion => OutcomeKind::Refusal,
        _ => OutcomeKind::Neutral,
    }
}

/// Health of one target, from the outcomes of recent attempts.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    failure_rate: f64,
    failure_rate_at: MonoTime,
    consecutive_failures: u32,
    /// End of the ejection or of the cool-down after a refusal.
    unusable_until: MonoTime,
}

impl TargetHealth {
    /// Records the outcome of an attempt.
    pub fn on_attempt_end(&mut self, now: MonoTime, code: ResultCode) {
        match classify(code) {
            OutcomeKind::Success => self.on_success(now),
            OutcomeKind::Failure => self.on_failure(now),
            OutcomeKind::Refusal => self.on_refusal(now),
            OutcomeKind::Neutral => {}
        }
    }

    /// Whether the target may get an attempt. After an ejection it gets one probe at a time until
    /// one succeeds.
    pub fn is_usable(&self, now: MonoTime, own_in_flight: u32) -> bool {
        if now < self.unusable_until {
            return false;
        }
        self.consecutive_failures < EJECT_AFTER_FAILURES || own_in_flight == 0
    }

    /// Factor on the target's score; 1 without failures.
    pub fn penalty(&self, now: MonoTime) -> f64 {
        1.0 + MAX_FAILURE_PENALTY * self.decayed_failure_rate(now)
    }

    fn on_success(&mut self, now: MonoTime) {
        self.record_outcome(now, 0.0);
        self.consecutive_failures = 0;
    }

    fn on_failure(&mut self, now: MonoTime) {
        self.record_outcome(now, 1.0);
        self.consecutive_failures += 1;
        if self.consecutive_failures >= EJECT_AFTER_FAILURES && now >= self.unusable_until {
            let doublings = (self.consecutive_failures - EJECT_AFTER_FAILURES).min(16);
            self.unusable_until =
                now + (BASE_EJECTION_TIME * 2u32.pow(doublings)).min(MAX_EJECTION_TIME);
        }
    }

    fn on_refusal(&mut self, now: MonoTime) {
        self.unusable_until = self.unusable_until.max(now + REFUSAL_COOL_DOWN);
    }

    fn record_outcome(&mut self, now: MonoTime, outcome: f64) {
        let rate = self.decayed_failure_rate(now);
        self.failure_rate = rate + OUTCOME_EWMA_WEIGHT * (outcome - rate);
        self.failure_rate_at = now;
    }

    fn decayed_failure_rate(&self, now: MonoTime) -> f64 {
        if self.failure_rate == 0.0 {
            return 0.0;
        }
        let half_lives =
            now.since(self.failure_rate_at).as_secs_f64() / FAILURE_RATE_HALF_LIFE.as_secs_f64();
        self.failure_rate * (-half_lives).exp2()
    }
}
