//! The links from other regions into the host's own, as one gateway uses them.

use super::{FetchFailure, FetchLimits};
use crate::prelude::*;
use crate::weights::plan::RegionIndex;

const NOT_HERE_PAUSE: Duration = Duration::from_millis(250);
const FIRST_PAUSE: Duration = Duration::from_secs(1);
const LONGEST_PAUSE: Duration = Duration::from_secs(16);

#[derive(Debug, Clone, Default)]
struct RegionLane {
    in_flight: u32,
    failures: u32,
    next_fetch: MonoTime,
}

/// The links by the region at the other end.
#[derive(Debug)]
pub(super) struct LaneTable {
    lanes: Vec<RegionLane>,
    limits: FetchLimits,
}

impl LaneTable {
    pub fn new(regions: usize, limits: FetchLimits) -> Self {
        Self { lanes: vec![RegionLane::default(); regions], limits }
    }

    /// Whether a fetch over the link may start.
    pub fn is_free(&self, region: RegionIndex, now: MonoTime) -> bool {
        let lane = &self.lanes[region];
        lane.in_flight == 0 && now >= lane.next_fetch
    }

    /// Notes a fetch whose bytes take at least `span` under the allowance.
    pub fn begun(&mut self, now: MonoTime, region: RegionIndex, span: Duration) {
        let lane = &mut self.lanes[region];
        lane.in_flight += 1;
        lane.next_fetch = now + span;
    }

    pub fn ended(&mut self, region: RegionIndex) {
        if let Some(lane) = self.lanes.get_mut(region) {
            lane.in_flight = lane.in_flight.saturating_sub(1);
        }
    }

    pub fn succeeded(&mut self, region: RegionIndex) {
        if let Some(lane) = self.lanes.get_mut(region) {
            lane.failures = 0;
        }
    }

    pub fn failed(&mut self, now: MonoTime, region: RegionIndex, failure: FetchFailure) {
        let limits = self.limits;
        let Some(lane) = self.lanes.get_mut(region) else {
            return;
        };
        match failure {
            FetchFailure::NotHere | FetchFailure::Busy => {
                lane.failures = 0;
                lane.next_fetch = now + limits.paced(NOT_HERE_PAUSE);
            }
            FetchFailure::Cut | FetchFailure::Unreachable => {
                let pause = FIRST_PAUSE * 2_u32.saturating_pow(lane.failures.min(8));
                lane.failures += 1;
                lane.next_fetch = now + limits.paced(pause.min(LONGEST_PAUSE));
            }
        }
    }
}
