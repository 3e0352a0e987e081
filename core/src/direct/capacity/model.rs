//! The times that a target of usual speed needs, from the published figures of its service.

use crate::clock::millis_f64;
use crate::direct::EngineSpec;
use crate::prelude::*;

/// Rate at which prompts are read if a service with models does not publish it, in tokens per ms. Only the
/// ratio to [`DEFAULT_STEP_MS`] matters, since measured times correct it.
const DEFAULT_READ_RATE: f64 = 20.0;
/// Time of a step of an engine that does not publish it.
const DEFAULT_STEP_MS: f64 = 8.0;
/// Tokens that an engine reads in a step, if it does not publish them.
const DEFAULT_CHUNK: f64 = 512.0;
/// Tokens of a prompt and of an answer of a service that does not publish them.
const DEFAULT_USUAL: (f64, f64) = (800.0, 20.0);

/// What a target has to do when a request is sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TargetWork {
    /// Requests of all entries, also those that other entries are expected to have sent since its report.
    pub requests: f64,
    /// Requests among them of other entries.
    pub other_requests: f64,
    /// Unread prompt tokens of this entry's requests.
    pub unread_tokens: f64,
    /// Time for which the oldest request has waited for the first byte of its answer.
    pub oldest_wait: Duration,
}

/// Times of a target at usual speed. Targets without models take a time that does not depend on the
/// request, which is learned.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct WorkModel {
    engine: Option<EngineFigures>,
}

/// Figures of an engine, in milliseconds and tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
struct EngineFigures {
    read_rate: f64,
    step: f64,
    per_request: f64,
    per_context_token: f64,
    per_pair: f64,
    chunk: f64,
    stride: f64,
    usual: (f64, f64),
    memory_tokens: Option<f64>,
}

impl WorkModel {
    /// Creates the model of engines with these figures.
    pub fn of(spec: &EngineSpec) -> Self {
        let timing = spec.timing;
        let rate = spec.prompt_tokens_per_second.filter(|rate| *rate > 0);
        let usual = spec.usual_tokens.map_or(DEFAULT_USUAL, |(prompt, answer)| {
            (f64::from(prompt.max(1)), f64::from(answer.max(1)))
        });
        let chunk =
            timing.map(|timing| f64::from(timing.prefill_tokens)).filter(|chunk| *chunk > 0.0);
        let of_timing = |part: fn(&crate::direct::EngineTiming) -> Duration| {
            timing.as_ref().map_or(0.0, |timing| millis_f64(part(timing)))
        };
        let step = of_timing(|timing| timing.step);
        Self {
            engine: Some(EngineFigures {
                read_rate: rate.map_or(DEFAULT_READ_RATE, |rate| f64::from(rate) / 1000.0),
                step: if step > 0.0 { step } else { DEFAULT_STEP_MS },
                per_request: of_timing(|timing| timing.per_request),
                per_context_token: of_timing(|timing| timing.per_context) / 1000.0,
                per_pair: of_timing(|timing| timing.per_pairs) / 1e6,
                chunk: chunk.unwrap_or(DEFAULT_CHUNK),
                stride: timing.map_or(1.0, |timing| f64::from(timing.stride)),
                usual,
                memory_tokens: spec.memory_tokens.map(|tokens| tokens as f64),
            }),
        }
    }

    /// Returns the time until the first event of a request with this prompt.
    pub fn start_ms(&self, prompt_tokens: u32, work: TargetWork) -> f64 {
        let Some(engine) = &self.engine else {
            return 1.0;
        };
        let prompt = f64::from(prompt_tokens);
        let ahead = work.unread_tokens + engine.unread_of_others(work.other_requests);
        let steps = (prompt / engine.chunk).ceil() + engine.stride / 2.0;
        let pairs = prompt * prompt / 2.0 * engine.per_pair;
        (ahead + prompt) / engine.read_rate + pairs + steps * engine.step_ms(work.requests)
    }

    /// Returns the mean time between two events of a stream.
    pub fn pause_ms(&self, requests: f64) -> f64 {
        self.engine.as_ref().map_or(1.0, |engine| {
            // All requests take turns; each also reads its prompt while the others wait.
            let reading =
                engine.unread_share(requests) * engine.chunk.min(engine.usual.0) / engine.read_rate;
            engine.step_ms(requests) + reading * requests.min(2.0) / 2.0
        })
    }

    /// Returns the mean tokens of a request that is running: its prompt and half of its answer.
    pub fn usual_tokens(&self) -> (f64, f64) {
        self.engine.as_ref().map_or((0.0, 0.0), |engine| engine.usual)
    }

    /// Returns the tokens that fit into the memory, if known.
    pub fn memory_tokens(&self) -> Option<f64> {
        self.engine.as_ref()?.memory_tokens
    }
}

impl EngineFigures {
    fn step_ms(&self, requests: f64) -> f64 {
        let context = self.usual.0 + self.usual.1 / 2.0;
        self.step + requests * (self.per_request + context * self.per_context_token)
    }

    /// The part of a request's time at the engine in which its prompt is read.
    fn unread_share(&self, requests: f64) -> f64 {
        let read = self.usual.0 / self.read_rate;
        read / (read + self.usual.1 * self.step_ms(requests))
    }

    /// The expected unread prompt tokens of `requests` of other entries, which are not reported.
    fn unread_of_others(&self, requests: f64) -> f64 {
        requests * self.unread_share(requests) * self.usual.0 / 2.0
    }
}
