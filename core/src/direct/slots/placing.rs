//! What the placement of requests depends on besides the load of the targets, and its verdicts.

use super::load::TargetLoad;
use super::queue::ServiceQueue;
use super::{SlotGrant, SlotRequest, SlotScheduler, WaitTicket, plain_retry_after};
use crate::direct::placement::{ColdReason, PlacementObstacle, PlacementVerdict, TargetVerdict};
use crate::direct::{RegionSet, ServingConfig};
use crate::prelude::*;

impl SlotScheduler {
    /// Applies the published figures of engines, the allowed regions and the limits of cold targets of a
    /// configuration. They hold for requests that wait already, too.
    pub fn set_config(&mut self, config: &ServingConfig) {
        for service in &config.services {
            self.set_engine(&service.name, service.engine.as_ref());
        }
        self.rules.allowed_regions.set_config(config);
        self.rules.cold.set_config(config);
        self.recheck_waiting = true;
    }

    /// Replaces the evacuated sites, and returns whether they have changed. Targets of a site that is no longer
    /// evacuated count as cold for the time that targets of their service need after a start, unless their
    /// registration says that they are warm.
    pub fn set_evacuated(
        &mut self,
        now: MonoTime,
        sites: impl IntoIterator<Item = SiteName>,
    ) -> bool {
        let Some(withdrawn) = self.rules.evacuated.replace(sites) else {
            return false;
        };
        let records = self.targets.values().map(|load| &load.record);
        for record in records.filter(|record| withdrawn.contains(&record.site)) {
            self.rules.cold.record_withdrawn(now, &record.id);
        }
        self.recheck_waiting = true;
        true
    }

    /// Notes which of the present targets have started or appeared, since these are cold. To be called after
    /// [`SlotScheduler::set_targets`].
    pub fn observe_starts(&mut self, now: MonoTime) {
        let records =
            self.targets.values().filter(|load| load.registered).map(|load| &*load.record);
        self.rules.cold.observe(now, records);
    }

    /// Records how long a target remains cold by the registration that it has just written.
    pub fn set_cold_remaining(&mut self, now: MonoTime, id: &Arc<str>, remaining: Duration) {
        self.rules.cold.set_registered(now, id, Some(remaining));
    }

    /// Records that a target could not be reached or broke a connection: it may have restarted.
    pub fn record_unreached(&mut self, now: MonoTime, id: &Arc<str>) {
        self.rules.cold.record_unreached(now, id);
    }

    /// Replaces the other live entries by those on these hosts, which share with this one, on host `own`, what
    /// cold targets bear.
    pub fn set_entry_hosts<'a>(
        &mut self,
        now: MonoTime,
        own: &HostName,
        others: impl Iterator<Item = &'a HostName>,
    ) {
        self.rules.cold.shares_mut().set_entries(now, own, others);
    }

    /// Records that other entries count this one as live at least until `until`.
    pub fn set_registered_until(&mut self, now: MonoTime, until: MonoTime) {
        self.rules.cold.shares_mut().set_registered(now, until);
    }

    /// Takes the targets that have become cold, with the reason.
    pub fn take_cold_begun(&mut self) -> Vec<(Arc<str>, ColdReason)> {
        self.rules.cold.take_begun()
    }

    /// Returns the number of registered targets that are cold.
    pub fn cold_targets(&self, now: MonoTime) -> usize {
        let is_cold = |load: &&TargetLoad| self.rules.cold.is_cold(now, &load.record);
        self.registered_targets().filter(is_cold).count()
    }

    /// Returns the verdict on each target of the request's service, in the order of their ids.
    pub fn verdicts(&self, now: MonoTime, request: &SlotRequest) -> Vec<TargetVerdict> {
        let check = self.placement_check(now, request, 0);
        let verdict = |load: &TargetLoad| TargetVerdict {
            target: load.record.clone(),
            verdict: check.verdict(load),
        };
        self.targets_of(&request.service).map(verdict).collect()
    }

    /// Returns why no target may get `request` now: the weakest of the targets' obstacles, so that of the target
    /// that comes closest. `None` if a target may get it, or there is none.
    pub fn main_obstacle(&self, now: MonoTime, request: &SlotRequest) -> Option<PlacementObstacle> {
        let check = self.placement_check(now, request, 0);
        let mut weakest = None;
        for load in self.targets_of(&request.service) {
            match check.verdict(load) {
                PlacementVerdict::Allowed { .. } => return None,
                PlacementVerdict::Blocked { obstacle, .. } => weakest = weakest.max(Some(obstacle)),
            }
        }
        weakest
    }

    /// Returns the regions in which `request` may be served; `None` if it may be served in all.
    pub fn allowed_regions(&self, request: &SlotRequest) -> Option<RegionSet> {
        self.rules.allowed_regions.named_for(request)
    }

    /// Returns what keeps a request from being sent to the target at which it has a slot, as its region, the
    /// evacuated sites, the required version or the target's cold time may have changed since the slot was
    /// granted.
    pub fn recheck_grant(
        &mut self,
        now: MonoTime,
        request: &SlotRequest,
        grant: &SlotGrant,
    ) -> Option<PlacementObstacle> {
        use PlacementObstacle::{Evacuated, Region, Version};
        let load = self.targets.get(&grant.target.id)?;
        let check = self.placement_check(now, request, 0);
        let is_relevant = |obstacle, _| matches!(obstacle, Region | Evacuated | Version);
        if let Some((obstacle, _)) = check.find_obstacle(load, Version, is_relevant) {
            return Some(obstacle);
        }
        let counted = self.rules.cold.count_granted(now, &grant.target, grant.granted_at);
        (!counted).then_some(PlacementObstacle::Cold)
    }

    /// Removes the waiting requests for which no target is left in an allowed region and outside the evacuated
    /// sites, and returns them with the time after which each caller may retry.
    pub fn refuse_unplaceable(&mut self) -> Vec<(WaitTicket, Duration)> {
        if !std::mem::take(&mut self.recheck_waiting) || self.rules.allow_all_sites() {
            return Vec::new();
        }
        let waiting = self.queues.values().flat_map(ServiceQueue::requests);
        let unplaceable: Vec<WaitTicket> = waiting
            .filter(|(_, request)| self.is_unplaceable(request))
            .map(|(ticket, _)| ticket)
            .collect();
        unplaceable.iter().for_each(|ticket| self.cancel(*ticket));
        unplaceable.into_iter().map(|ticket| (ticket, plain_retry_after(ticket))).collect()
    }

    /// Returns whether the service has targets, and all of them are at sites that the request may not use.
    fn is_unplaceable(&self, request: &SlotRequest) -> bool {
        let targets = self.targets_of(&request.service).filter(|load| load.registered);
        let mut targets = targets.peekable();
        let allows =
            |load: &TargetLoad| self.rules.allows_site(&self.regions, request, &load.record.site);
        targets.peek().is_some() && !targets.any(allows)
    }

    /// Returns when a pause ends, and when a limit allows the next request to the target; these times may have
    /// passed.
    pub(super) fn timed_ends(
        &self,
        now: MonoTime,
        load: &TargetLoad,
    ) -> impl Iterator<Item = MonoTime> {
        let notices = &self.notices;
        let accepts_from = notices
            .paused_until(&load.record)
            .max(notices.limited_until(&load.record, load.limit_share));
        let accepts_from = (!notices.is_leaving(&load.record)).then_some(accepts_from);
        accepts_from.into_iter().chain(self.rules.cold.blocked_until(now, &load.record))
    }

    /// Returns whether a target may serve both requests, so that they wait for the same slots.
    pub(super) fn competes(&self, waiting: &SlotRequest, request: &SlotRequest) -> bool {
        let allows_both = |load: &TargetLoad| {
            self.rules.allows_site(&self.regions, waiting, &load.record.site)
                && self.rules.allows_site(&self.regions, request, &load.record.site)
        };
        self.rules.allow_all_sites() || self.targets_of(&request.service).any(allows_both)
    }

    /// Returns whether a target may serve `request` but not `waiting`, so that it need not wait for the same
    /// slots.
    pub(super) fn can_go_elsewhere(&self, waiting: &SlotRequest, request: &SlotRequest) -> bool {
        let allows_only = |load: &TargetLoad| {
            !self.rules.allows_site(&self.regions, waiting, &load.record.site)
                && self.rules.allows_site(&self.regions, request, &load.record.site)
        };
        !self.rules.allow_all_sites() && self.targets_of(&request.service).any(allows_only)
    }
}
