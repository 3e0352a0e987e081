//! Service discovery: each process registers itself in the store under a lease.

use super::settings::DirectSettings;
use crate::clock;
use buckthornwharf_core::direct::{PROBE_TIMEOUT, StorePosition};
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::{StoreClient, StoreError, StoreWrite};
use log::warn;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::sync::watch;

/// Key prefix of what each agent needs at all times: the entries, and its part of the configuration.
pub const COMMON_PREFIX: &str = "buckthornwharf/common/";
/// Key prefix of entries.
pub const ENTRY_PREFIX: &str = "buckthornwharf/common/entry/";
/// Key prefix of agents, followed by their region.
pub const AGENT_PREFIX: &str = "buckthornwharf/agent/";

/// Time to live of the lease: a process that has not renewed it for this time is considered gone.
const LEASE_TTL: Duration = Duration::from_secs(6);
/// Time between renewals; three fit into the time to live.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Delay before the process registers again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Returns the key prefix of the agents of `region`.
pub fn region_prefix(region: &RegionName) -> String {
    format!("{AGENT_PREFIX}{region}/")
}

/// The registration of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresenceRecord {
    /// Host that the process runs on.
    pub host: HostName,
    /// Region of the host.
    pub region: RegionName,
    /// Address at which other processes reach it.
    pub address: SocketAddr,
}

impl PresenceRecord {
    /// Creates the registration of a process with these settings.
    pub fn of(settings: &DirectSettings) -> Self {
        Self {
            host: settings.host.clone(),
            region: settings.region(),
            address: settings.peer_address(),
        }
    }

    /// Parses the registration of another process. If it is malformed, logs the error and returns
    /// `None`.
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

/// Keeps the process registered below `prefix` while `wanted` is true, for the rest of the process.
/// Calls `on_registered` with the store's position of each registration, and `on_live` with the time until
/// which other processes count this one as live, after the registration and each renewal.
pub async fn keep_registered(
    store: StoreClient,
    prefix: String,
    record: PresenceRecord,
    mut wanted: watch::Receiver<bool>,
    on_registered: impl Fn(StorePosition),
    on_live: impl Fn(MonoTime),
) {
    let key = format!("{prefix}{}", record.host);
    let value = match serde_json::to_vec(&record) {
        Ok(value) => value,
        Err(error) => {
            warn!("event=not_registered reason=\"{error}\"");
            return;
        }
    };
    while wait_until(&mut wanted, true).await {
        // The store counts the time from when it opens the lease, which is later.
        let opened_at = clock::now();
        let error = match register(&store, &key, &value).await {
            Ok((lease, position)) => {
                on_registered(position);
                on_live(opened_at + LEASE_TTL);
                tokio::select! {
                    error = renew(&store, lease, &on_live) => error,
                    _ = wait_until(&mut wanted, false) => {
                        end_lease(&store, lease).await;
                        continue;
                    }
                }
            }
            Err(error) => error,
        };
        log::debug!("event=registration_lost key={key} reason=\"{error}\"");
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}

/// Waits until `wanted` is `value`. Returns false if the sender is dropped before. Doesn't keep the
/// channel's value borrowed, which would block the sender.
async fn wait_until(wanted: &mut watch::Receiver<bool>, value: bool) -> bool {
    wanted.wait_for(|wanted| *wanted == value).await.is_ok()
}

async fn register(
    store: &StoreClient,
    key: &str,
    value: &[u8],
) -> Result<(u64, StorePosition), StoreError> {
    // If the store is unreachable, this fails fast and is retried soon; a lease that the store opens late
    // ends by itself. A write gets the longer timeout of other calls, since the store may yet carry it out.
    let lease = store.open_lease(LEASE_TTL, PROBE_TIMEOUT).await?;
    let position =
        store.write(&[StoreWrite { key, value, lease, expected_revision: None }]).await?;
    Ok((lease, position))
}

/// Renews `lease` until it has expired, and returns the error of the last renewal.
async fn renew(store: &StoreClient, lease: u64, on_live: impl Fn(MonoTime)) -> StoreError {
    loop {
        actix_rt::time::sleep(RENEW_INTERVAL).await;
        let renewed_at = clock::now();
        match store.renew_lease(lease).await {
            Ok(()) => on_live(renewed_at + LEASE_TTL),
            Err(StoreError::Absent) => return StoreError::Absent,
            // The lease may still be valid; the next renewal shows it.
            Err(error) => log::debug!("event=renewal_failed reason=\"{error}\""),
        }
    }
}

async fn end_lease(store: &StoreClient, lease: u64) {
    if let Err(error) = store.end_lease(lease).await {
        // The lease expires after its time to live.
        log::debug!("event=lease_not_ended reason=\"{error}\"");
    }
}
