//! Targets in evacuated sites, which get no further requests.

use super::{SlotScheduler, WaitTicket};
use crate::prelude::*;

impl SlotScheduler {
    /// Replaces the evacuated sites, and returns whether they have changed. Their targets get no further
    /// requests; what has begun is finished. A waiting request that has no other target is refused by the
    /// next [`SlotScheduler::expire`].
    pub fn set_evacuated(
        &mut self,
        _now: MonoTime,
        sites: impl IntoIterator<Item = SiteName>,
    ) -> bool {
        let mut sites: Vec<SiteName> = sites.into_iter().collect();
        sites.sort_unstable();
        let changed = sites != self.evacuated_sites;
        self.evacuated_sites = sites;
        self.evacuation_changed |= changed;
        self.mark_evacuated();
        changed
    }

    pub(super) fn mark_evacuated(&mut self) {
        for load in self.targets.values_mut() {
            load.evacuated = self.evacuated_sites.binary_search(&load.record.site).is_ok();
        }
    }

    /// Removes the waiting requests all of whose targets are in evacuated sites, if these have changed.
    pub(super) fn remove_stranded(&mut self, now: MonoTime) -> Vec<WaitTicket> {
        if !std::mem::take(&mut self.evacuation_changed) || self.waiting() == 0 {
            return Vec::new();
        }
        let mut queues = std::mem::take(&mut self.queues);
        let stranded = queues.values_mut().flat_map(|queue| {
            queue.remove_if(|request| {
                let required = self.required_version(now, request);
                let mut offers =
                    self.targets.values().filter(|load| load.offers(request, required));
                let first = offers.next();
                first.is_some_and(|load| load.evacuated) && offers.all(|load| load.evacuated)
            })
        });
        let stranded = stranded.collect();
        self.queues = queues;
        stranded
    }
}
