//! What targets have said that they take: requests only until they leave, after a pause, or up to a limit.

use super::load::TargetLoad;
use super::{SlotRequest, SlotScheduler};
use crate::direct::RegisteredTarget;
use crate::prelude::*;

impl SlotScheduler {
    /// Records that a target said that it leaves: it gets no further requests before its next start.
    /// Returns whether that is new.
    pub fn record_leaving(&mut self, now: MonoTime, target: &RegisteredTarget) -> bool {
        self.notices.record_leaving(now, target)
    }

    /// Returns whether a target has said that it leaves.
    pub fn is_leaving(&self, target: &RegisteredTarget) -> bool {
        self.notices.is_leaving(target)
    }

    /// Records that a target wants no requests for `pause`, at most [`MAX_PAUSE`](super::MAX_PAUSE).
    pub fn record_pause(&mut self, now: MonoTime, target: &RegisteredTarget, pause: Duration) {
        self.notices.record_pause(now, target, pause);
    }

    /// Records the limit in requests per second that a target names for all entries together, or that it
    /// names none. Returns whether that has changed.
    pub fn record_limit(
        &mut self,
        now: MonoTime,
        target: &RegisteredTarget,
        per_second: Option<f64>,
    ) -> bool {
        let share = self.targets.get(&target.id).map_or(1.0, |load| load.limit_share);
        self.notices.record_limit(now, target, per_second, share)
    }

    /// Returns the time until the first target of `request` that is paused, limited or cold may get a request
    /// again.
    pub(super) fn pause_left(&self, now: MonoTime, request: &SlotRequest) -> Option<Duration> {
        let check = self.placement_check(now, request, 0);
        let candidates = self.targets.values().filter(|load| check.is_candidate(load));
        let pause_end = candidates.map(|load| check.allowed_from(load)).min()?;
        Some(pause_end.since(now))
    }

    /// Returns how many requests the limited and cold targets that have a free slot allow within the time that
    /// `request` may wait.
    pub(super) fn allowed_in_time(&self, now: MonoTime, request: &SlotRequest) -> usize {
        let check = self.placement_check(now, request, 0);
        let accepts_until = now + request.wait.max_wait;
        let allowed = |load: &TargetLoad| {
            let allowed = check.allowed_until(load, accepts_until)?;
            check.has_free_slot_until(load, accepts_until).then_some(allowed as usize)
        };
        self.targets.values().filter_map(allowed).sum()
    }

    /// Recomputes this entry's share of a limit that a target names, after a change of the targets or entries.
    pub(super) fn update_limit_shares(&mut self) {
        let mut service_regions: SortedTable<ServiceName, Vec<RegionName>> = SortedTable::new();
        for load in self.targets.values().filter(|load| load.registered) {
            let regions = service_regions.get_or_insert_with(load.record.service.clone(), Vec::new);
            if let Some(region) = self.regions.region_of(&load.record.site)
                && let Err(index) = regions.binary_search(region)
            {
                regions.insert(index, region.clone());
            }
        }
        for load in self.targets.values_mut() {
            let regions = service_regions.get(&load.record.service).map_or(&[][..], Vec::as_slice);
            load.limit_share = self.regions.limit_share(&load.record.site, regions);
        }
    }
}
