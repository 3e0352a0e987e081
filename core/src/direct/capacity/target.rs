//! The limit, speed and memory of one target.

use super::limit::ConcurrencyLimit;
use super::speed::{ServiceSpeed, SpeedTrack, TimeKind, log_ratio};
use super::{PauseSample, TargetWork, WorkModel};
use crate::clock::millis_f64;
use crate::direct::RegisteredTarget;
use crate::prelude::*;

/// Age from which what an agent reported is ignored.
const MAX_STATE_AGE: Duration = Duration::from_millis(1000);
/// Range of a reported pace that is believed.
const PACE_RANGE: (f64, f64) = (0.1, 20.0);
/// Weight of an answer in the share of failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// Time in seconds after which the share of failures has fallen to a third without answers.
const FAILURE_RETENTION: f64 = 3.0;
/// Factor by which a target whose requests all fail counts as slower.
const FAILURE_SLOWNESS: f64 = 8.0;
/// Share of failures, above that of the service, from which a target gets a request only now and then. It is
/// always free, as it answers at once, so it would get all requests that find the others full.
const FAILING_SHARE: f64 = 0.4;
/// Slowness relative to the service from which a target counts as slow, and up to which it is normal again.
const SLOW_RANGE: (f64, f64) = (1.8, 1.3);
/// Part of the memory that requests may fill. The rest is for answers that are longer than usual.
const MEMORY_PART: f64 = 0.92;

/// What an agent reports of its target besides the load.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineState {
    /// Factor by which the engine is slower than usual, if it says so.
    pub pace: Option<f64>,
    /// Requests that are queued in the engine.
    pub waiting: u32,
    /// Requests that are running.
    pub running: u32,
    /// Part of the memory that is occupied, if known.
    pub memory_part: Option<f64>,
}

/// State of a target when a request was sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SentState {
    /// Time to begin the answer that is expected of a target of usual speed with that work.
    pub expected: Duration,
    /// Reported pace, in percent.
    pub pace_percent: u32,
    /// Requests of all entries at the target.
    pub load: u32,
}

/// A measured time of a successful answer, or a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpeedSample {
    /// The first event of a stream, or the complete answer of a plain service.
    Started {
        /// When the request was sent.
        sent_at: MonoTime,
        /// The state at that time.
        sent: SentState,
    },
    /// Pauses of a stream.
    Paused(PauseSample),
    /// The request failed. How quickly says nothing of the target's speed.
    Failed,
}

/// A target has become slow, or normal again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedChange {
    /// Whether it is slow.
    pub is_slow: bool,
    /// Factor by which it is slower than the usual target of its service.
    pub slowness: f64,
    /// Its learned limit, in requests.
    pub limit: u32,
}

/// The learned values of one start of a target.
#[derive(Debug, Clone)]
pub(super) struct TargetCapacity {
    service: ServiceName,
    started_unix_ms: u64,
    limit: ConcurrencyLimit,
    start: SpeedTrack,
    pause: SpeedTrack,
    failures: f64,
    failures_at: MonoTime,
    state: EngineState,
    state_at: Option<MonoTime>,
    /// Tokens that this entry sent since the last report.
    tokens_since_state: f64,
    is_slow: bool,
}

impl TargetCapacity {
    /// Creates the state of a target that has just started, with the values of its service.
    pub fn new(target: &RegisteredTarget, service: &ServiceSpeed) -> Self {
        Self {
            service: target.service.clone(),
            started_unix_ms: target.started_unix_ms,
            limit: ConcurrencyLimit::new(target.slots, service.limit_ratio()),
            start: SpeedTrack::new(service.start_value(TimeKind::Start)),
            pause: SpeedTrack::new(service.start_value(TimeKind::Pause)),
            failures: 0.0,
            failures_at: MonoTime::ZERO,
            state: EngineState::default(),
            state_at: None,
            tokens_since_state: 0.0,
            is_slow: false,
        }
    }

    /// Returns whether the values are those of this start of the target.
    pub fn is_of(&self, target: &RegisteredTarget) -> bool {
        self.started_unix_ms == target.started_unix_ms
            && self.service == target.service
            && self.limit.slots() == f64::from(target.slots.max(1))
    }

    /// Returns the service of the target.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the learned limit, in requests.
    pub fn limit(&self) -> u32 {
        self.limit.value()
    }

    /// Returns the registered slots, at least 1.
    pub fn slots(&self) -> f64 {
        self.limit.slots()
    }

    /// Stores what the agent reports.
    pub fn set_engine_state(&mut self, now: MonoTime, state: EngineState) {
        (self.state, self.state_at, self.tokens_since_state) = (state, Some(now), 0.0);
    }

    fn fresh_state(&self, now: MonoTime) -> Option<EngineState> {
        let is_fresh = self.state_at.is_some_and(|at| now.since(at) < MAX_STATE_AGE);
        is_fresh.then_some(self.state)
    }

    fn pace(&self, now: MonoTime) -> f64 {
        let pace = self.fresh_state(now).and_then(|state| state.pace);
        pace.filter(|pace| pace.is_finite()).unwrap_or(1.0).clamp(PACE_RANGE.0, PACE_RANGE.1)
    }

    /// Records that a request with these tokens is sent, and returns the state to which its time is compared.
    pub fn record_sent(
        &mut self,
        now: MonoTime,
        model: WorkModel,
        (prompt, answer): (u32, u32),
        work: TargetWork,
    ) -> SentState {
        self.tokens_since_state += request_tokens(model, (prompt, answer));
        SentState {
            expected: Duration::from_secs_f64(model.start_ms(prompt, work).min(1e6) / 1000.0),
            pace_percent: (self.pace(now) * 100.0) as u32,
            load: work.requests.round() as u32,
        }
    }

    /// Returns whether a request fits into the memory, with what is running growing to its usual length, and
    /// with what the entries have sent since the last report.
    pub fn fits_memory(
        &self,
        now: MonoTime,
        model: WorkModel,
        tokens: (u32, u32),
        entries: u32,
    ) -> bool {
        let Some((state, memory)) = self.fresh_state(now).zip(model.memory_tokens()) else {
            return true;
        };
        let Some(used_part) = state.memory_part else {
            return true;
        };
        let (usual_prompt, usual_answer) = model.usual_tokens();
        let growth = f64::from(state.running) * usual_answer / 2.0
            + f64::from(state.waiting) * (usual_prompt + usual_answer);
        // The other entries have sent about as much as this one, at most.
        let sent = self.tokens_since_state * (1.0 + f64::from(entries.saturating_sub(1)) / 2.0);
        let used = used_part * memory + growth + sent + request_tokens(model, tokens);
        used <= memory * MEMORY_PART || state.running + state.waiting == 0
    }

    /// Records a measured time or a failure; `load` requests of all entries are at the target.
    pub fn record(
        &mut self,
        now: MonoTime,
        service: &mut ServiceSpeed,
        sample: SpeedSample,
        load: u32,
    ) {
        let (kind, sent_at, log, load) = match sample {
            SpeedSample::Failed => {
                service.record_failures(1.0);
                return self.record_failures(now, 1.0);
            }
            SpeedSample::Started { sent_at, sent } => {
                service.record_failures(0.0);
                self.record_failures(now, 0.0);
                // The pace may have changed while the request ran.
                let pace = self.pace(now).max(f64::from(sent.pace_percent) / 100.0);
                let expected = millis_f64(sent.expected) * pace;
                let measured = millis_f64(now.since(sent_at));
                let load = f64::from(sent.load + load) / 2.0;
                (TimeKind::Start, sent_at, log_ratio(measured, expected), load)
            }
            SpeedSample::Paused(pauses) => {
                let expected = service.model().pause_ms(f64::from(load)) * self.pace(now);
                let measured = millis_f64(pauses.mean);
                let begun_at = now - pauses.mean * pauses.count;
                (TimeKind::Pause, begun_at, log_ratio(measured, expected), f64::from(load))
            }
        };
        service.record(kind, log);
        let track = match kind {
            TimeKind::Start => &mut self.start,
            TimeKind::Pause => &mut self.pause,
        };
        if let Some(window) = track.record(now, sent_at, log, load) {
            self.limit.on_window(now, window);
            service.record_limit(self.limit.ratio());
        }
    }

    fn record_failures(&mut self, now: MonoTime, share: f64) {
        self.failures = self.failure_share(now);
        self.failures += (share - self.failures) * FAILURE_WEIGHT;
        self.failures_at = now;
    }

    fn failure_share(&self, now: MonoTime) -> f64 {
        self.failures * (-now.since(self.failures_at).as_secs_f64() / FAILURE_RETENTION).exp()
    }

    /// Returns whether the target fails far more requests than others. Requests that fail everywhere do not
    /// count against it.
    pub fn is_failing(&self, now: MonoTime, service: &ServiceSpeed) -> bool {
        self.failure_share(now) - service.failures() > FAILING_SHARE
    }

    /// The recent times relative to the expected ones, as a factor.
    fn slowness(&self, now: MonoTime, service: &ServiceSpeed) -> f64 {
        let usual = service.usual(TimeKind::Start);
        let of_pauses = self.start.floor(now, usual) + self.pause.elevation(now);
        self.start.recent(now, usual).max(of_pauses).exp() * self.pace(now)
    }

    /// Returns the recent times relative to the usual ones of the service, as a factor.
    pub fn relative_slowness(&self, now: MonoTime, service: &ServiceSpeed) -> f64 {
        self.slowness(now, service) * (-service.usual(TimeKind::Start)).exp()
    }

    /// Returns the times without load relative to the expected ones, as a factor.
    pub fn floor(&self, now: MonoTime, service: &ServiceSpeed) -> f64 {
        self.start.floor(now, service.usual(TimeKind::Start)).exp()
    }

    /// Returns the expected time until the answer to a request begins, in milliseconds.
    pub fn expected_start_ms(
        &self,
        now: MonoTime,
        service: &ServiceSpeed,
        prompt_tokens: u32,
        work: TargetWork,
    ) -> f64 {
        let usual = service.model().start_ms(prompt_tokens, work);
        let load_factor = ((work.requests + 1.0) / f64::from(self.limit())).max(1.0);
        let failure_factor = 1.0 + (FAILURE_SLOWNESS - 1.0) * self.failure_share(now);
        let expected = usual * self.slowness(now, service) * load_factor * failure_factor;
        // An answer that has not begun shows that the target is slow before its time is known.
        expected.max(millis_f64(work.oldest_wait))
    }

    /// Returns a change between slow and normal that was not returned before.
    pub fn take_change(&mut self, now: MonoTime, service: &ServiceSpeed) -> Option<SpeedChange> {
        let slowness = self.relative_slowness(now, service);
        let (slow_from, normal_to) = SLOW_RANGE;
        let is_slow = if self.is_slow { slowness > normal_to } else { slowness >= slow_from };
        let has_changed = std::mem::replace(&mut self.is_slow, is_slow) != is_slow;
        has_changed.then(|| SpeedChange { is_slow, slowness, limit: self.limit() })
    }
}

/// The tokens that a request occupies at its end.
fn request_tokens(model: WorkModel, (prompt, answer): (u32, u32)) -> f64 {
    let answer = if answer > 0 { f64::from(answer) } else { model.usual_tokens().1 };
    f64::from(prompt) + answer
}
