//! The load report, which lags behind the current load.

use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Instant;

/// Maximum number of samples kept.
const MAX_SAMPLES: usize = 4096;
/// Window over which the token rate is computed.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Load of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Tokens generated in the last second.
    pub tokens_per_second: f64,
}

#[derive(Debug)]
struct LoadSample {
    at: Instant,
    running: u32,
    waiting: u32,
    tokens: u64,
}

/// Samples of the load, oldest first.
#[derive(Debug, Default)]
pub struct LoadHistory {
    samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    /// Adds a sample taken at `at`; `tokens` is the total since the start.
    pub fn push(&mut self, at: Instant, running: u32, waiting: u32, tokens: u64) {
        self.samples.push_back(LoadSample { at, running, waiting, tokens });
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the load as of `at`, or the oldest sample if all are later, or an idle engine's load
    /// if there are no samples.
    pub fn report(&self, at: Instant) -> LoadReport {
        let Some(sample) = self.sample_at(at) else { return LoadReport::default() };
        let earlier = sample.at.checked_sub(RATE_WINDOW).and_then(|at| self.sample_at(at));
        let tokens = sample.tokens - earlier.map_or(0, |earlier| earlier.tokens);
        LoadReport {
            running: sample.running,
            waiting: sample.waiting,
            tokens_per_second: tokens as f64 / RATE_WINDOW.as_secs_f64(),
        }
    }

    fn sample_at(&self, at: Instant) -> Option<&LoadSample> {
        let count = self.samples.partition_point(|sample| sample.at <= at);
        self.samples.get(count.saturating_sub(1))
    }
}
