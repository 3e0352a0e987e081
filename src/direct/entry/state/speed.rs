//! Learned limits of targets: what requests measure, metrics and log lines.

use super::EntryState;
use crate::clock;
use buckthornwharf_core::direct::capacity::{PauseSample, SpeedChange, SpeedSample};
use buckthornwharf_core::direct::{RegisteredTarget, SlotGrant};
use buckthornwharf_core::prelude::*;
use log::info;

impl EntryState {
    /// Records that the answer to the request with this slot has begun with its first event, or is complete.
    pub fn record_started(&self, grant: &SlotGrant) {
        let sample = SpeedSample::Started { sent_at: grant.granted_at, sent: grant.sent };
        self.record_speed(grant, sample);
    }

    /// Records pauses in the answer to the request with this slot.
    pub fn record_pauses(&self, grant: &SlotGrant, pauses: PauseSample) {
        self.record_speed(grant, SpeedSample::Paused(pauses));
    }

    /// Records that the target answered the request with this slot with an error of its own.
    pub fn record_target_failure(&self, grant: &SlotGrant) {
        self.record_speed(grant, SpeedSample::Failed);
    }

    fn record_speed(&self, grant: &SlotGrant, sample: SpeedSample) {
        let change = self.scheduler.borrow_mut().record_speed(clock::now(), grant, sample);
        log_speed_change(&grant.target, change);
    }

    pub(super) fn update_limit_metrics(&self, now: MonoTime) {
        if !self.settings.learned_limits {
            return;
        }
        let limits = self.scheduler.borrow().target_limits(now);
        let metrics = &self.metrics;
        // Targets get new ids when they restart, so the values of those that are gone are dropped.
        metrics.target_limit.reset();
        metrics.target_floor.reset();
        metrics.target_load.reset();
        for limit in limits {
            let labels = [&*limit.id];
            metrics.target_limit.with_label_values(&labels).set(f64::from(limit.limit));
            metrics.target_floor.with_label_values(&labels).set(limit.floor);
            metrics.target_load.with_label_values(&labels).set(f64::from(limit.load));
        }
    }
}

/// Logs that a target has become slow or normal.
pub(super) fn log_speed_change(target: &RegisteredTarget, change: Option<SpeedChange>) {
    let Some(change) = change else {
        return;
    };
    let event = if change.is_slow { "target_slow" } else { "target_normal" };
    info!(
        "event={event} target={} service={} slowness={:.2} limit={} slots={}",
        target.id, target.service, change.slowness, change.limit, target.slots
    );
}
