//! Finds out whether a target whose connections broke has crashed.

use super::EntryState;
use buckthornwharf_core::direct::{CauseId, RegisteredTarget};
use buckthornwharf_core::prelude::*;
use log::info;
use std::io;
use std::rc::Rc;

/// Timeout of the connection that shows whether a target still listens.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Requests whose connections to one target broke, until it is known whether the target crashed.
#[derive(Debug, Default)]
pub(super) struct BrokenRequests {
    requests: u32,
    causes: Vec<CauseId>,
}

impl EntryState {
    /// Records that the connection of a request with these possible causes broke at `target`, and checks
    /// whether the target crashed, unless a check is running.
    pub fn on_request_broken(self: &Rc<Self>, target: &Arc<RegisteredTarget>, causes: &[CauseId]) {
        let mut broken = self.broken_requests.borrow_mut();
        let is_checked = broken.contains_key(&target.id);
        let requests = broken.get_or_insert_with(target.id.clone(), BrokenRequests::default);
        requests.requests += 1;
        requests.causes.extend_from_slice(causes);
        if !is_checked {
            actix_rt::spawn(check_target(self.clone(), target.clone()));
        }
    }

    fn on_target_crashed(&self, target: &RegisteredTarget, requests: BrokenRequests) {
        let BrokenRequests { requests, mut causes } = requests;
        causes.sort_unstable();
        causes.dedup();
        self.metrics.target_crashes.inc();
        info!(
            "event=target_crashed target={} address={} requests={requests} causes={}",
            target.id,
            target.address,
            cause_list(&causes)
        );
    }
}

/// Formats causes for a log line.
pub fn cause_list(causes: &[CauseId]) -> String {
    let texts: Vec<String> = causes.iter().map(CauseId::to_string).collect();
    texts.join(",")
}

async fn check_target(state: Rc<EntryState>, target: Arc<RegisteredTarget>) {
    let connected = buckthornwharf_exchange::connect(target.address, CHECK_TIMEOUT).await;
    let requests = state.broken_requests.borrow_mut().remove(&target.id).unwrap_or_default();
    // Only a refused connection proves that the process is gone; a silent host may be cut off.
    if connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused) {
        state.on_target_crashed(&target, requests);
    }
}
