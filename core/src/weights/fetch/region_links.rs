//! State of the links from other regions into this one, as used by one host: one fetch at a time on
//! each, paced to the allowance, with exponential back-off after failures.

use super::{FetchFailure, FetchLimits};
use crate::prelude::*;
use crate::weights::plan::RegionIndex;

/// Back-off after a source was busy or did not hold the chunk.
const REFUSED_BACKOFF: Duration = Duration::from_millis(250);
/// Back-off after the first failure in a row; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(16);

#[derive(Debug, Clone, Default)]
struct RegionLink {
    in_flight: u32,
    failures: u32,
    next_fetch: MonoTime,
}

/// The links, indexed by the remote region.
#[derive(Debug)]
pub(super) struct RegionLinkTable {
    links: Vec<RegionLink>,
    limits: FetchLimits,
}

impl RegionLinkTable {
    pub fn new(regions: usize, limits: FetchLimits) -> Self {
        Self { links: vec![RegionLink::default(); regions], limits }
    }

    /// Whether a fetch over the link may start.
    pub fn is_free(&self, region: RegionIndex, now: MonoTime) -> bool {
        let link = &self.links[region];
        link.in_flight == 0 && now >= link.next_fetch
    }

    /// Time until each link may be used.
    pub fn waits(&self, now: MonoTime) -> Vec<Duration> {
        self.links.iter().map(|link| link.next_fetch.since(now)).collect()
    }

    /// Records a new fetch, whose bytes take at least `transfer_time` at the allowed rate.
    pub fn fetch_started(&mut self, now: MonoTime, region: RegionIndex, transfer_time: Duration) {
        let link = &mut self.links[region];
        link.in_flight += 1;
        link.next_fetch = now + transfer_time;
    }

    pub fn fetch_ended(&mut self, region: RegionIndex) {
        if let Some(link) = self.links.get_mut(region) {
            link.in_flight = link.in_flight.saturating_sub(1);
        }
    }

    pub fn succeeded(&mut self, region: RegionIndex) {
        if let Some(link) = self.links.get_mut(region) {
            link.failures = 0;
        }
    }

    pub fn failed(&mut self, now: MonoTime, region: RegionIndex, failure: FetchFailure) {
        let limits = self.limits;
        let Some(link) = self.links.get_mut(region) else {
            return;
        };
        match failure {
            FetchFailure::NotHere | FetchFailure::Busy => {
                link.failures = 0;
                link.next_fetch = now + limits.scaled(REFUSED_BACKOFF);
            }
            FetchFailure::Cut | FetchFailure::Unreachable => {
                let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(link.failures.min(8));
                link.failures += 1;
                link.next_fetch = now + limits.scaled(backoff.min(MAX_BACKOFF));
            }
        }
    }
}
