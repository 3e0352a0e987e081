//! Where requests may be sent: what changes that, and its log lines and metrics.

use super::EntryState;
use crate::clock;
use buckthornwharf_core::direct::{PlacementObstacle, RegisteredTarget, SlotGrant, SlotRequest};
use buckthornwharf_core::prelude::*;
use log::info;

/// Labels of a request in the metrics of refusals and of the time in the queue.
#[derive(Debug)]
struct PlacementLabels {
    reason: &'static str,
    /// Regions in which the request may be served, or `any`.
    region: String,
    organisation: OrganisationName,
    priority: String,
}

impl PlacementLabels {
    fn values(&self) -> [&str; 4] {
        [self.reason, &self.region, self.organisation.as_str(), &self.priority]
    }
}

impl EntryState {
    /// Replaces the evacuated sites.
    pub(super) fn set_evacuated(&self, now: MonoTime, sites: &[SiteName]) {
        if !self.scheduler.borrow_mut().set_evacuated(now, sites.iter().cloned()) {
            return;
        }
        self.report_cold();
        self.queue_changed.notify_one();
        self.serve_queue();
    }

    /// Records that other entries count this one as live at least until `until`.
    pub fn set_registered_until(&self, until: MonoTime) {
        self.scheduler.borrow_mut().set_registered_until(clock::now(), until);
    }

    /// Records that a target could not be reached or broke a connection: it may have restarted.
    pub fn on_target_unreached(&self, target: &RegisteredTarget) {
        self.scheduler.borrow_mut().record_unreached(clock::now(), &target.id);
        self.report_cold();
    }

    /// Logs and counts the targets that have become cold.
    pub(super) fn report_cold(&self) {
        for (id, reason) in self.scheduler.borrow_mut().take_cold_begun() {
            info!("event=target_cold target={id} reason={reason}");
            self.metrics.cold_targets.with_label_values(&[<&str>::from(reason)]).inc();
        }
    }

    /// Returns what keeps `request` from being sent to the target at which it has a slot.
    pub fn recheck_grant(
        &self,
        request: &SlotRequest,
        grant: &SlotGrant,
    ) -> Option<PlacementObstacle> {
        self.scheduler.borrow_mut().recheck_grant(clock::now(), request, grant)
    }

    /// Returns why no target may get `request` now; `None` if one may, or if there is none.
    pub fn main_obstacle(&self, now: MonoTime, request: &SlotRequest) -> Option<PlacementObstacle> {
        self.scheduler.borrow().main_obstacle(now, request)
    }

    /// Counts a request that was refused for want of a target.
    pub fn count_refusal(&self, request: &SlotRequest, obstacle: Option<PlacementObstacle>) {
        let labels = self.placement_labels(request, obstacle);
        self.metrics.placement_refusals.with_label_values(&labels.values()).inc();
    }

    /// Counts the time for which a request waited in the queue.
    pub fn count_queue_time(
        &self,
        request: &SlotRequest,
        obstacle: Option<PlacementObstacle>,
        waited: Duration,
    ) {
        let labels = self.placement_labels(request, obstacle);
        let seconds = self.metrics.placement_queue_time.with_label_values(&labels.values());
        seconds.inc_by(waited.as_secs_f64());
    }

    fn placement_labels(
        &self,
        request: &SlotRequest,
        obstacle: Option<PlacementObstacle>,
    ) -> PlacementLabels {
        let region = match self.scheduler.borrow().allowed_regions(request) {
            Some(regions) => regions.iter().map(RegionName::as_str).collect::<Vec<_>>().join("+"),
            None => "any".to_owned(),
        };
        PlacementLabels {
            // Without an obstacle, others wait for the same targets.
            reason: obstacle.map_or("queue", <&str>::from),
            region,
            organisation: request.organisation.clone().unwrap_or_else(|| "-".into()),
            priority: request.priority.to_string(),
        }
    }
}
