//! Generates the requests of a run and computes their service times at an engine.

use crate::fleet::ModelSetup;
use buckthornwharf_core::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Prefill time per token of a prompt that is not cached.
pub const PROMPT_TOKEN_TIME: Duration = Duration::from_micros(250);
/// Fraction of the prefill time that a cached prompt takes.
const CACHED_PREFILL_FACTOR: f64 = 0.1;
/// Decode time per token of a completion.
pub const COMPLETION_TOKEN_TIME: Duration = Duration::from_millis(20);
/// Smallest and largest number of prompt tokens; uniformly distributed.
pub const PROMPT_TOKENS: (u32, u32) = (400, 1_200);
/// Smallest and largest number of completion tokens; uniformly distributed.
pub const COMPLETION_TOKENS: (u32, u32) = (20, 100);
/// Number of concurrent conversations of an organisation.
const CONVERSATIONS: u64 = 100;

/// A caller's request.
pub struct ModelRequest {
    pub organisation: usize,
    pub entry: usize,
    pub arrived: MonoTime,
    pub deadline: MonoTime,
    pub prompt_tokens: u32,
    pub completion_tokens: u32,
    pub prefix: u64,
    pub attempts: u32,
    pub avoid: Vec<HostName>,
    pub last_code: Option<ResultCode>,
    pub is_over: bool,
}

impl ModelRequest {
    /// Prefill and decode time at a healthy target.
    pub fn service_times(&self, cache_hit: bool) -> (Duration, Duration) {
        let factor = if cache_hit { CACHED_PREFILL_FACTOR } else { 1.0 };
        let prefill = (PROMPT_TOKEN_TIME * self.prompt_tokens).mul_f64(factor);
        (prefill, COMPLETION_TOKEN_TIME * self.completion_tokens)
    }

    /// Number of prompt and completion tokens.
    pub fn tokens(&self) -> u32 {
        self.prompt_tokens + self.completion_tokens
    }
}

/// Generates random requests.
pub struct Workload {
    rng: StdRng,
    requests_per_second: Vec<f64>,
    entries: usize,
    caller_timeout: Duration,
}

impl Workload {
    /// Creates the workload of `setup`; the seed is the same for every policy.
    pub fn new(setup: &ModelSetup) -> Self {
        Self {
            rng: StdRng::seed_from_u64(setup.seed + 1),
            requests_per_second: setup.requests_per_second.clone(),
            entries: setup.entries.len(),
            caller_timeout: setup.caller_timeout,
        }
    }

    /// Time until the next request of an organisation (exponentially distributed).
    pub fn next_arrival_delay(&mut self, organisation: usize) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / self.requests_per_second[organisation])
    }

    /// A request of an organisation at a random entry.
    pub fn request(&mut self, organisation: usize, now: MonoTime) -> ModelRequest {
        let conversation = self.rng.random_range(0..CONVERSATIONS);
        ModelRequest {
            organisation,
            entry: self.rng.random_range(0..self.entries),
            arrived: now,
            deadline: now + self.caller_timeout,
            prompt_tokens: self.rng.random_range(PROMPT_TOKENS.0..=PROMPT_TOKENS.1),
            completion_tokens: self.rng.random_range(COMPLETION_TOKENS.0..=COMPLETION_TOKENS.1),
            prefix: (organisation as u64) * CONVERSATIONS + conversation,
            attempts: 0,
            avoid: Vec::new(),
            last_code: None,
            is_over: false,
        }
    }
}
