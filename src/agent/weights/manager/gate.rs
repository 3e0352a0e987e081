//! The control thread's end of the gate in front of the target.

use crate::shared::GateControl;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::ledger::TargetGate;
use buckthornwharf_core::weights::lifecycle::ServingVersion;
use tokio::sync::watch;

/// Sets the gate, and publishes the version that it is open for.
pub struct ServingGate {
    control: GateControl,
    serving: watch::Sender<Option<VersionDigest>>,
}

impl ServingGate {
    /// A gate that publishes the digest of the version that it is open for on `serving`.
    pub fn new(control: GateControl, serving: watch::Sender<Option<VersionDigest>>) -> Self {
        Self { control, serving }
    }

    /// Opens the gate for a version that the target confirmed.
    pub fn open(&self, version: &ServingVersion) {
        self.set_gate(TargetGate::Engine(version.digest()));
        self.publish_serving(Some(version.digest()));
    }

    /// Closes the gate, and publishes first that no version is served.
    pub fn close(&self) {
        self.publish_serving(None);
        self.set_gate(TargetGate::Closed);
    }

    /// Sets the gate.
    pub fn set_gate(&self, gate: TargetGate) {
        self.control.gate.send_if_modified(|current| {
            let changed = *current != gate;
            *current = gate;
            changed
        });
    }

    fn publish_serving(&self, digest: Option<VersionDigest>) {
        self.serving.send_if_modified(|current| {
            let changed = *current != digest;
            *current = digest;
            changed
        });
    }

    /// Requests in flight under the version `digest`, or under any version if `None`. The result is
    /// `None` while the traffic thread has not applied the gate yet.
    pub fn in_flight(&self, digest: Option<&VersionDigest>) -> Option<u32> {
        let load = self.control.in_flight.borrow();
        if load.gate != *self.control.gate.borrow() {
            return None;
        }
        Some(match digest {
            Some(digest) => load.engine.get(digest).copied().unwrap_or(0),
            None => load.engine.values().sum(),
        })
    }

    /// Waits until the traffic thread has applied the gate and no request is in flight.
    pub async fn drained(&mut self) {
        while self.in_flight(None) != Some(0) {
            if self.control.in_flight.changed().await.is_err() {
                return;
            }
        }
    }

    /// Percentage of `slots` that requests in flight take.
    pub fn load_percent(&self, slots: u32) -> u8 {
        let running: u32 = self.control.in_flight.borrow().engine.values().sum();
        let percent = 100 * running.min(slots) / slots.max(1);
        u8::try_from(percent).unwrap_or(100)
    }
}
