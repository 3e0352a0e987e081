//! The load report, which shows the load of some time ago.

use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Instant;

/// Most samples that are kept.
const MAX_SAMPLES: usize = 4096;
/// The span over which tokens are counted for the rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The load of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for a place in it.
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
    /// Adds the load at `at`; `tokens` counts since the start.
    pub fn push(&mut self, at: Instant, running: u32, waiting: u32, tokens: u64) {
        self.samples.push_back(LoadSample { at, running, waiting, tokens });
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The report as of `at`; of the oldest sample where none is so old, and of an idle engine
    /// where there is none at all.
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
