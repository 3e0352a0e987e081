//! Measures the time from the wish for a version until the target serves it.

use crate::clock;
use crate::shared::ConfigReceiver;
use buckthornwharf_core::burn::{BurnCounts, BurnRecorder};
use buckthornwharf_core::prelude::*;
use prometheus::Histogram;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::watch;

/// What the measurement needs.
pub struct LiveParts {
    /// The service of the target.
    pub service: ServiceName,
    /// The agent's site.
    pub site: SiteName,
    /// The configuration in force.
    pub config: ConfigReceiver,
    /// The digest that the target serves.
    pub serving: watch::Receiver<Option<VersionDigest>>,
    /// Takes the times.
    pub time_to_live: Histogram,
}

/// A version that is wanted and not yet served.
struct WantedVersion {
    digest: VersionDigest,
    since: MonoTime,
}

/// The burn of the time to live at one agent.
#[derive(Clone)]
pub struct LiveTimes(Rc<RefCell<BurnRecorder>>);

impl LiveTimes {
    /// Starts to measure on this thread.
    pub fn start(parts: LiveParts) -> Self {
        let ledger = Rc::new(RefCell::new(BurnRecorder::new(clock::now())));
        actix_rt::spawn(follow_versions(parts, ledger.clone()));
        Self(ledger)
    }

    /// The burn so far.
    pub fn burn_counts(&self) -> BurnCounts {
        self.0.borrow_mut().counts(clock::now())
    }
}

async fn follow_versions(mut parts: LiveParts, ledger: Rc<RefCell<BurnRecorder>>) {
    let mut last_wanted = None;
    let mut pending: Option<WantedVersion> = None;
    loop {
        if let Some(active) = parts.config.borrow_and_update().clone() {
            ledger.borrow_mut().set_objectives(active.document.objectives.clone());
            let wanted = active.document.wanted_digest(&parts.service);
            if wanted != last_wanted {
                last_wanted = wanted;
                pending = wanted.map(|digest| WantedVersion { digest, since: clock::now() });
            }
        }
        let serving = *parts.serving.borrow_and_update();
        if let Some(version) = pending.take_if(|version| serving == Some(version.digest)) {
            let now = clock::now();
            let taken = now.since(version.since);
            parts.time_to_live.observe(taken.as_secs_f64());
            ledger.borrow_mut().record_live(now, &parts.service, &parts.site, taken);
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
