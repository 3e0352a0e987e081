//! What the learned capacity of a target means for a request.

use super::PlacementCheck;
use crate::direct::capacity::{CapacityTable, TargetWork};
use crate::direct::slots::TargetLoad;

/// Part of the requests that this entry sent to a target since its last report that each other entry in
/// the region is expected to have sent to it as well: all have the same report, and different noise.
pub const MIRRORED_PART: f64 = 0.25;

/// The learned capacities, and what other entries are expected to send meanwhile.
#[derive(Debug, Clone, Copy)]
pub struct LearnedPlacement<'a> {
    pub table: &'a CapacityTable,
    /// Requests that other entries are expected to send to a target until its next report.
    pub arrivals: f64,
}

impl LearnedPlacement<'_> {
    /// Returns the cost of sending the request of `check` to the target. Lower is better.
    pub fn cost(&self, check: &PlacementCheck<'_>, load: &TargetLoad) -> u64 {
        let work = self.work(check, load);
        let prompt_tokens = check.request.prompt_tokens;
        let cost = self.table.cost(check.now, &load.record.id, prompt_tokens, work, self.arrivals);
        cost + load.place_cost(check.now)
    }

    /// Returns the maximum unread prompt tokens at the target: fewer at a slow one.
    pub fn max_prefill_tokens(&self, check: &PlacementCheck<'_>, load: &TargetLoad) -> u32 {
        let slowness = self.table.slowness(check.now, &load.record.id).max(1.0);
        (f64::from(check.max_prefill_tokens) / slowness) as u32
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

    fn work(&self, check: &PlacementCheck<'_>, load: &TargetLoad) -> TargetWork {
        load.work(check.now, check.entries, MIRRORED_PART)
    }
}
