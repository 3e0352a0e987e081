//! How processes of the system find each other: an entry each in the store, under a lease.

use super::settings::DirectSettings;
use buckthornwharf_core::direct::PROBE_TIMEOUT;
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::{StoreClient, StoreError, StoreWrite};
use log::warn;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::sync::watch;

/// The keys of all processes.
pub const PREFIX: &str = "buckthornwharf/";
/// The keys of entries.
pub const ENTRY_PREFIX: &str = "buckthornwharf/entry/";
/// The keys of agents.
pub const AGENT_PREFIX: &str = "buckthornwharf/agent/";

/// Time after its last renewal at which a process counts as gone.
const LEASE_TTL: Duration = Duration::from_secs(6);
/// Time between renewals: three fit into the lease.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// What a process says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresenceRecord {
    /// Its host.
    pub host: HostName,
    /// The region of the host.
    pub region: RegionName,
    /// Where other processes reach it.
    pub address: SocketAddr,
}

impl PresenceRecord {
    /// What a process with these settings says of itself.
    pub fn of(settings: &DirectSettings) -> Self {
        Self {
            host: settings.host.clone(),
            region: settings.region(),
            address: settings.peer_address(),
        }
    }

    /// Reads what another process says of itself; none, with a log line, if it cannot be read.
    pub fn read(key: &str, text: &[u8]) -> Option<Self> {
        match serde_json::from_slice(text) {
            Ok(record) => Some(record),
            Err(error) => {
                warn!("event=bad_presence key={key} reason=\"{error}\"");
                None
            }
        }
    }
}

/// Keeps the process registered below `prefix` while `wanted` is true, for its whole life.
/// `registered` hears the number of the store's change each time.
pub async fn keep_registered(
    store: StoreClient,
    prefix: &'static str,
    record: PresenceRecord,
    mut wanted: watch::Receiver<bool>,
    registered: impl Fn(u64),
) {
    let key = format!("{prefix}{}", record.host);
    let value = match serde_json::to_vec(&record) {
        Ok(value) => value,
        Err(error) => {
            warn!("event=not_registered reason=\"{error}\"");
            return;
        }
    };
    while becomes(&mut wanted, true).await {
        let error = match register(&store, &key, &value).await {
            Ok((lease, revision)) => {
                registered(revision);
                tokio::select! {
                    error = renew(&store, lease) => error,
                    _ = becomes(&mut wanted, false) => {
                        end(&store, lease).await;
                        continue;
                    }
                }
            }
            Err(error) => error,
        };
        log::debug!("event=registration_lost key={key} reason=\"{error}\"");
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
}

/// Waits until `wanted` is `value`; false if it never will be. Nothing of the channel stays borrowed:
/// who sets it must not have to wait for this task.
async fn becomes(wanted: &mut watch::Receiver<bool>, value: bool) -> bool {
    wanted.wait_for(|wanted| *wanted == value).await.is_ok()
}

async fn register(store: &StoreClient, key: &str, value: &[u8]) -> Result<(u64, u64), StoreError> {
    // A lost store is asked again soon; a write that it may yet carry out is waited for.
    store.probe(PROBE_TIMEOUT).await?;
    let lease = store.open_lease(LEASE_TTL).await?;
    let revision = store.write(&[StoreWrite { key, value, lease, based_on: None }]).await?;
    Ok((lease, revision))
}

/// Renews `lease` until it has ended; why it did.
async fn renew(store: &StoreClient, lease: u64) -> StoreError {
    loop {
        actix_rt::time::sleep(RENEW_INTERVAL).await;
        match store.renew_lease(lease).await {
            Ok(()) => {}
            Err(StoreError::Absent) => return StoreError::Absent,
            // The lease may still hold; the next renewal tells.
            Err(error) => log::debug!("event=renewal_failed reason=\"{error}\""),
        }
    }
}

async fn end(store: &StoreClient, lease: u64) {
    if let Err(error) = store.end_lease(lease).await {
        // It ends by itself a little later.
        log::debug!("event=lease_not_ended reason=\"{error}\"");
    }
}
