//! The requests of a run, and how long engines take for them.

use crate::fleet::ModelSetup;
use buckthornwharf_core::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Time to read a token of a prompt that is not cached.
pub const PROMPT_TOKEN_TIME: Duration = Duration::from_micros(250);
/// Share of that time for a cached prompt.
const CACHED_SHARE: f64 = 0.1;
/// Time between two tokens of an answer.
pub const ANSWER_TOKEN_TIME: Duration = Duration::from_millis(20);
/// Tokens of prompts and answers, fewest and most, evenly spread.
pub const PROMPT_TOKENS: (u32, u32) = (400, 1_200);
pub const ANSWER_TOKENS: (u32, u32) = (20, 100);
/// Conversations that an organisation has open at once.
const CONVERSATIONS: u64 = 100;
/// A caller's request.
pub struct ModelRequest {
    pub organisation: usize,
    pub entry: usize,
    pub arrived: MonoTime,
    pub deadline: MonoTime,
    pub prompt: u32,
    pub answer: u32,
    pub prefix: u64,
    pub attempts: u32,
    pub avoid: Vec<HostName>,
    pub last_code: Option<ResultCode>,
    pub is_over: bool,
}

impl ModelRequest {
    /// Time of prompt and answer.
    pub fn work(&self, hit: bool) -> (Duration, Duration) {
        let share = if hit { CACHED_SHARE } else { 1.0 };
        let prefill = (PROMPT_TOKEN_TIME * self.prompt).mul_f64(share);
        (prefill, ANSWER_TOKEN_TIME * self.answer)
    }

    /// Tokens that the request costs.
    pub fn tokens(&self) -> u32 {
        self.prompt + self.answer
    }
}

/// Draws requests.
pub struct Workload {
    rng: StdRng,
    demands: Vec<f64>,
    entries: usize,
    patience: Duration,
}

impl Workload {
    /// The requests of `setup`, the same for every policy.
    pub fn new(setup: &ModelSetup) -> Self {
        Self {
            rng: StdRng::seed_from_u64(setup.seed + 1),
            demands: setup.demands.clone(),
            entries: setup.entries.len(),
            patience: setup.patience,
        }
    }

    /// Time until the next request of an organisation (exponential).
    pub fn gap(&mut self, organisation: usize) -> Duration {
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-draw.ln() / self.demands[organisation])
    }

    /// A request of an organisation, at an entry drawn at random.
    pub fn request(&mut self, organisation: usize, now: MonoTime) -> ModelRequest {
        let conversation = self.rng.random_range(0..CONVERSATIONS);
        ModelRequest {
            organisation,
            entry: self.rng.random_range(0..self.entries),
            arrived: now,
            deadline: now + self.patience,
            prompt: self.rng.random_range(PROMPT_TOKENS.0..=PROMPT_TOKENS.1),
            answer: self.rng.random_range(ANSWER_TOKENS.0..=ANSWER_TOKENS.1),
            prefix: (organisation as u64) * CONVERSATIONS + conversation,
            attempts: 0,
            avoid: Vec::new(),
            last_code: None,
            is_over: false,
        }
    }
}
