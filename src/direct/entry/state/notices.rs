//! Heeds what targets say of themselves in their answers.

use super::EntryState;
use crate::clock;
use buckthornwharf_core::direct::RegisteredTarget;
use buckthornwharf_platform::request::TargetNotice;
use log::{info, warn};

impl EntryState {
    /// Applies what `target` says in an answer: that it leaves, or wants a pause.
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
    }
}
