//! Cost of a request: the time for which it uses a slot of a target.

use super::SlotRequest;
use crate::clock::millis_f64;
use crate::direct::EngineSpec;
use crate::prelude::*;

/// Cost, in milliseconds, of a request to a service without published figures. Only the ratio to
/// what is observed matters.
const DEFAULT_COST_MS: f64 = 100.0;
/// Time in which an observation loses about two thirds of its weight.
const MEMORY_TIME: Duration = Duration::from_secs(2);
/// Number of recent grants from which the estimates are corrected by what was observed.
const MIN_GRANTS: f64 = 8.0;
/// Bounds of the correction.
const CORRECTION_RANGE: (f64, f64) = (0.25, 8.0);

/// Estimates costs from the published figures of an engine, corrected by the ratio of the time for
/// which slots were in use to the estimated cost of the requests that were granted one.
#[derive(Debug, Clone, Default)]
pub struct CostEstimate {
    figures: Option<EngineFigures>,
    has_engine: bool,
    in_use: u32,
    updated_at: MonoTime,
    /// Recent time for which slots were in use, in milliseconds.
    busy_ms: f64,
    /// Estimated cost of the recent grants, in milliseconds, before correction.
    granted_ms: f64,
    /// Number of recent grants.
    grants: f64,
}

/// Published figures of an engine, with all slots in use.
#[derive(Debug, Clone, Copy)]
struct EngineFigures {
    prompt_token_ms: f64,
    answer_token_ms: f64,
    usual_tokens: (u32, u32),
    /// Part of a slot's memory that a token needs.
    memory_per_token: f64,
}

impl CostEstimate {
    /// Sets the published figures; the default cost is kept without the times of the engine.
    pub fn set_engine(&mut self, engine: &EngineSpec) {
        self.has_engine = true;
        let Some(timing) = engine.timing else {
            return;
        };
        let usual_tokens = engine.usual_tokens.unwrap_or_default();
        let context = f64::from(usual_tokens.0) + f64::from(usual_tokens.1) / 2.0;
        let per_request =
            millis_f64(timing.per_request) + millis_f64(timing.per_context) * context / 1_000.0;
        let slots = f64::from(engine.slots);
        let prompt_rate = engine.prompt_tokens_per_second.filter(|rate| *rate > 0);
        self.figures = Some(EngineFigures {
            prompt_token_ms: prompt_rate.map_or(0.0, |rate| 1_000.0 / f64::from(rate)),
            answer_token_ms: millis_f64(timing.step) + per_request * slots,
            usual_tokens,
            memory_per_token: engine.memory_tokens.map_or(0.0, |memory| slots / memory as f64),
        });
    }

    /// Returns whether the targets are engines.
    pub fn has_engine(&self) -> bool {
        self.has_engine
    }

    /// Returns the expected cost of `request` in milliseconds, at least 1.
    pub fn cost(&self, request: &SlotRequest) -> u32 {
        ((self.published_ms(request) * self.correction()) as u32).max(1)
    }

    /// Returns the mean cost of the recent grants in milliseconds, at least 1.
    pub fn mean_cost(&self) -> u32 {
        let mean = if self.grants > 0.0 { self.granted_ms / self.grants } else { DEFAULT_COST_MS };
        ((mean * self.correction()) as u32).max(1)
    }

    /// Records that `request` takes a slot.
    pub fn record_grant(&mut self, now: MonoTime, request: &SlotRequest) {
        self.update(now);
        self.in_use += 1;
        self.granted_ms += self.published_ms(request);
        self.grants += 1.0;
    }

    /// Records that a request releases its slot.
    pub fn record_release(&mut self, now: MonoTime) {
        self.update(now);
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Returns the cost of a request by the published figures, in milliseconds of a slot.
    fn published_ms(&self, request: &SlotRequest) -> f64 {
        let Some(figures) = &self.figures else {
            return DEFAULT_COST_MS;
        };
        let or_usual =
            |tokens: u32, usual: u32| f64::from(if tokens == 0 { usual } else { tokens });
        let prompt = or_usual(request.prompt_tokens, figures.usual_tokens.0);
        let answer = or_usual(request.answer_tokens, figures.usual_tokens.1);
        // A request that needs the memory of several slots uses as many.
        let slots = ((prompt + answer) * figures.memory_per_token).max(1.0);
        (prompt * figures.prompt_token_ms + answer * figures.answer_token_ms) * slots
    }

    /// Returns the ratio of the measured slot time to the published one.
    fn correction(&self) -> f64 {
        let (lowest, highest) = CORRECTION_RANGE;
        match self.grants >= MIN_GRANTS {
            true => (self.busy_ms / self.granted_ms).clamp(lowest, highest),
            false => 1.0,
        }
    }

    fn update(&mut self, now: MonoTime) {
        let elapsed = now.since(self.updated_at);
        let kept = (-elapsed.as_secs_f64() / MEMORY_TIME.as_secs_f64()).exp();
        self.busy_ms = self.busy_ms * kept + millis_f64(elapsed) * f64::from(self.in_use);
        self.granted_ms *= kept;
        self.grants *= kept;
        self.updated_at = now;
    }
}
