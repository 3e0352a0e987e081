//! Claims of idempotency keys: carries out what the claim keeper decides.

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

/// Time for one call, so that a lost answer can still be settled in the time of the claim.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// A settled claim.
pub type SettledClaim = (RequestId, ClaimVerdict);

/// The claims of one agent and the calls to the key-value service that settle them.
pub struct ClaimDriver {
    manager: ClaimManager,
    kv: KvClient,
    events: mpsc::UnboundedSender<ClaimEvent>,
}

impl ClaimDriver {
    /// A desk of the agent on `host`. Answers of the service are reported through `events` and are
    /// to be given to [`ClaimDriver::on_event`].
    pub fn new(host: HostName, kv: KvClient, events: mpsc::UnboundedSender<ClaimEvent>) -> Self {
        Self { manager: ClaimManager::new(host), kv, events }
    }

    /// Starts to claim the key of a request; returns the claims that are settled by that.
    pub fn begin(&mut self, submit: &Arc<SubmitFrame>) -> Vec<SettledClaim> {
        let nonce = rand::rng().random();
        self.on_event(ClaimEvent::Begin { submit: submit.clone(), nonce })
    }

    /// Takes an event; returns the claims that are settled by it.
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
    log::info!("request={id} claim: {error}");
    if error.is_without_effect() { ClaimEvent::Failed(id) } else { ClaimEvent::Indeterminate(id) }
}
