//! Heeds what targets say of themselves in their answers.

use super::EntryState;
use crate::clock;
use buckthornwharf_core::direct::RegisteredTarget;
use buckthornwharf_platform::request::TargetNotice;
use log::{info, warn};

impl EntryState {
    /// Applies what `target` says in an answer: that it leaves, wants a pause, or names a limit.
    pub fn on_target_notice(&self, target: &RegisteredTarget, notice: TargetNotice) {
        let now = clock::now();
        let mut scheduler = self.scheduler.borrow_mut();
        if notice.is_leaving && scheduler.record_leaving(now, target) {
            info!("event=target_leaving target={}", target.id);
            self.metrics.target_notices.with_label_values(&["leaving"]).inc();
        }
        if let Some(pause) = notice.pause {
            scheduler.record_pause(now, target, pause);
            info!("event=target_paused target={} pause_ms={}", target.id, pause.as_millis());
            self.metrics.target_notices.with_label_values(&["pause"]).inc();
        }
        if let Some(text) = notice.malformed_pause {
            warn!("event=bad_pause target={} value={text:?}", target.id);
        }
        if let Some(text) = notice.malformed_limit {
            warn!("event=bad_limit target={} value={text:?}", target.id);
        }
        if let Some(limit) = notice.limit
            && scheduler.record_limit(now, target, Some(limit))
        {
            info!("event=target_limited target={} per_second={limit}", target.id);
            self.metrics.target_notices.with_label_values(&["limit"]).inc();
        }
    }

    /// Ends the limit that `target` named before, as it named none in an answer to a request that it ran.
    pub fn on_target_unlimited(&self, target: &RegisteredTarget) {
        if self.scheduler.borrow_mut().record_limit(clock::now(), target, None) {
            info!("event=target_unlimited target={}", target.id);
            self.serve_queue();
        }
    }
}
