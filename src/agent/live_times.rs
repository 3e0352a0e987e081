//! Measures the time from when the configuration names a version until the target serves it.

use crate::clock;
use crate::shared::ConfigReceiver;
use buckthornwharf_core::burn::{BurnCounts, BurnRecorder};
use buckthornwharf_core::prelude::*;
use prometheus::Histogram;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::watch;

/// Inputs of [`LiveTimeRecorder`].
pub struct LiveTimeParts {
    /// The service of the target.
    pub service: ServiceName,
    /// The agent's site.
    pub site: SiteName,
    /// The active configuration.
    pub config: ConfigReceiver,
    /// The digest of the version that the target serves.
    pub serving: watch::Receiver<Option<VersionDigest>>,
    /// Histogram of the times, in seconds.
    pub time_to_live: Histogram,
}

/// A version that the configuration names and the target does not serve yet.
struct PendingVersion {
    digest: VersionDigest,
    since: MonoTime,
}

/// Records how long versions take to go live at one agent, for the burn rates of the objectives.
#[derive(Clone)]
pub struct LiveTimeRecorder(Rc<RefCell<BurnRecorder>>);

impl LiveTimeRecorder {
    /// Starts recording in a task on the current thread.
    pub fn start(parts: LiveTimeParts) -> Self {
        let recorder = Rc::new(RefCell::new(BurnRecorder::new(clock::now())));
        actix_rt::spawn(record_live_times(parts, recorder.clone()));
        Self(recorder)
    }

    /// The counts against the objectives so far.
    pub fn burn_counts(&self) -> BurnCounts {
        self.0.borrow_mut().counts(clock::now())
    }
}

async fn record_live_times(mut parts: LiveTimeParts, recorder: Rc<RefCell<BurnRecorder>>) {
    let mut last_wanted = None;
    let mut pending: Option<PendingVersion> = None;
    loop {
        if let Some(active) = parts.config.borrow_and_update().clone() {
            recorder.borrow_mut().set_objectives(active.document.objectives.clone());
            let wanted = active.document.wanted_digest(&parts.service);
            if wanted != last_wanted {
                last_wanted = wanted;
                pending = wanted.map(|digest| PendingVersion { digest, since: clock::now() });
            }
        }
        let serving = *parts.serving.borrow_and_update();
        if let Some(version) = pending.take_if(|version| serving == Some(version.digest)) {
            let now = clock::now();
            let live_time = now.since(version.since);
            parts.time_to_live.observe(live_time.as_secs_f64());
            recorder.borrow_mut().record_live(now, &parts.service, &parts.site, live_time);
        }
        let changed = tokio::select! {
            changed = parts.config.changed() => changed,
            changed = parts.serving.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}
