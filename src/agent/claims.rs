//! Claims of idempotency keys: carries out the actions of [`ClaimManager`] at the key-value
//! service.

use crate::clock;
use crate::platform::kv::{KvClient, KvError};
use actix_rt::time::timeout;
use buckthornwharf_core::frame::SubmitFrame;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::claim::{ClaimAction, ClaimEvent, ClaimKey, ClaimManager};
use buckthornwharf_core::request::ledger::ClaimVerdict;
use bytes::Bytes;
use rand::RngExt;
use tokio::sync::mpsc;

/// Timeout of one call; leaves time to settle the claim within its time limit after a lost answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// A request and the outcome of its claim.
pub type SettledClaim = (RequestId, ClaimVerdict);

/// The claims of one agent and its calls to the key-value service for them.
pub struct ClaimDriver {
    manager: ClaimManager,
    kv: KvClient,
    events: mpsc::UnboundedSender<ClaimEvent>,
}

impl ClaimDriver {
    /// A driver for the agent on `host`. It sends the results of its calls to `events`; the caller
    /// passes them to [`ClaimDriver::on_event`].
    pub fn new(host: HostName, kv: KvClient, events: mpsc::UnboundedSender<ClaimEvent>) -> Self {
        Self { manager: ClaimManager::new(host), kv, events }
    }

    /// Starts to claim the key of a request. Returns the claims that this settles.
    pub fn begin(&mut self, submit: &Arc<SubmitFrame>) -> Vec<SettledClaim> {
        let nonce = rand::rng().random();
        self.on_event(ClaimEvent::Begin { submit: submit.clone(), nonce })
    }

    /// Handles an event. Returns the claims that it settles.
    pub fn on_event(&mut self, event: ClaimEvent) -> Vec<SettledClaim> {
        let mut settled = Vec::new();
        for action in self.manager.on_event(clock::now(), event) {
            match action {
                ClaimAction::Create { id, key, value } => self.create(id, key, value),
                ClaimAction::Read { id, key } => self.read(id, key),
                ClaimAction::Settled { id, verdict } => settled.push((id, verdict)),
            }
        }
        settled
    }

    fn create(&self, id: RequestId, key: ClaimKey, value: Bytes) {
        let kv = self.kv.clone();
        let events = self.events.clone();
        actix_rt::spawn(async move {
            let event = match timeout(CALL_TIMEOUT, kv.put_cas(key.as_str(), value, 0)).await {
                Ok(Ok(true)) => ClaimEvent::Created(id),
                Ok(Ok(false)) => ClaimEvent::Exists(id),
                Ok(Err(error)) => failure(id, &error),
                Err(_) => ClaimEvent::Indeterminate(id),
            };
            let _ = events.send(event);
        });
    }

    fn read(&self, id: RequestId, key: ClaimKey) {
        let kv = self.kv.clone();
        let events = self.events.clone();
        actix_rt::spawn(async move {
            let event = match timeout(CALL_TIMEOUT, kv.get(key.as_str())).await {
                Ok(Ok(row)) => ClaimEvent::Read { id, value: row.map(|row| row.value) },
                Ok(Err(error)) => failure(id, &error),
                Err(_) => ClaimEvent::Indeterminate(id),
            };
            let _ = events.send(event);
        });
    }
}

fn failure(id: RequestId, error: &KvError) -> ClaimEvent {
    log::info!("request={id} call to the key-value service for its claim failed: {error}");
    if error.is_without_effect() { ClaimEvent::Failed(id) } else { ClaimEvent::Indeterminate(id) }
}
