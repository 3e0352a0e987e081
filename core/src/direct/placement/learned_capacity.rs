//! Placement of a request by the learned speed, failures and memory of the targets.

use super::PlacementCheck;
use crate::direct::capacity::{CapacityTable, TargetWork};
use crate::direct::slots::TargetLoad;
use std::cell::OnceCell;

/// Requests that each other entry of the region is expected to have sent to a target since its last report, as
/// a part of those that this entry sent: all have the same report, but choose with different random numbers.
pub const OTHER_ENTRY_RATIO: f64 = 0.25;

/// Time between reports of a target, in seconds.
const REPORT_INTERVAL: f64 = 0.1;

/// The learned values of the targets, and what other entries are expected to send meanwhile.
#[derive(Debug, Clone)]
pub struct LearnedPlacement<'a> {
    table: &'a CapacityTable,
    /// Requests that the other entries are expected to send to a target until its next report. Computed on
    /// first use, since most requests that wait find no target.
    arrivals: OnceCell<f64>,
}

impl<'a> LearnedPlacement<'a> {
    /// Creates the placement of one request.
    pub fn new(table: &'a CapacityTable) -> Self {
        Self { table, arrivals: OnceCell::new() }
    }

    /// Returns the cost of sending the request of `check` to the target. Lower is better.
    pub fn cost(&self, check: &PlacementCheck<'_>, load: &TargetLoad) -> u64 {
        let work = self.work(check, load);
        let prompt_tokens = check.request.prompt_tokens;
        let arrivals = *self.arrivals.get_or_init(|| self.expected_arrivals(check));
        let cost = self.table.cost(check.now, &load.record.id, prompt_tokens, work, arrivals);
        cost + load.load_independent_cost(check.now)
    }

    /// Returns whether the target reads the prompt in time; a slow one takes fewer unread tokens.
    pub fn reads_in_time(&self, check: &PlacementCheck<'_>, load: &TargetLoad) -> bool {
        let prompt_tokens = check.request.prompt_tokens;
        if load.has_prefill_capacity(prompt_tokens, 0) {
            return true;
        }
        let slowness = self.table.slowness(check.now, &load.record.id).max(1.0);
        let max_tokens = f64::from(check.prefill_limit(load)) / slowness;
        load.has_prefill_capacity(prompt_tokens, max_tokens as u32)
    }

    /// Returns whether the target fails far more requests than others.
    pub fn is_failing(&self, check: &PlacementCheck<'_>, load: &TargetLoad) -> bool {
        self.table.is_failing(check.now, &load.record.id)
    }

    /// Returns whether the request fits into the memory of the target.
    pub fn fits_memory(&self, check: &PlacementCheck<'_>, load: &TargetLoad) -> bool {
        let tokens = (check.request.prompt_tokens, check.request.answer_tokens);
        self.table.fits_memory(check.now, &load.record.id, tokens, check.entries.in_region())
    }

    /// Returns the requests that the other entries are expected to send to a target until its next report: each
    /// sends as many as this one.
    fn expected_arrivals(&self, check: &PlacementCheck<'_>) -> f64 {
        let others = f64::from(check.entries.entries().saturating_sub(1));
        self.table.sent_rate(check.now, &check.request.service) * others * REPORT_INTERVAL
    }

    fn work(&self, check: &PlacementCheck<'_>, load: &TargetLoad) -> TargetWork {
        load.work(check.now, check.entries, OTHER_ENTRY_RATIO)
    }
}
