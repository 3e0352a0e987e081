//! Exchange of known crashes among entries, through the store.
//!
//! Each entry writes all that it knows into an item of its own, under a lease, so that an entry that
//! restarts knows it again.

use super::state::EntryState;
use crate::direct::follow::{self, StoreEvent};
use crate::direct::outage::{OutageRole, StoreOutage};
use buckthornwharf_core::direct::{CrashReport, PROBE_TIMEOUT, WatchTiming};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::poison::CRASH_RETENTION;
use buckthornwharf_platform::{StoreChange, StoreClient, StoreError, StoreItem, StoreWrite};
use log::{debug, warn};
use rand::RngExt;
use std::rc::Rc;

/// Key prefix of the items. It is not below the prefix of the processes, which agents poll.
const PREFIX: &str = "buckthornwharf-crashes/";
/// Minimum time between two writes.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Range of the delay after a failed write, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 200..500;

/// Watches the reports of all entries, and writes those of `host`, for the rest of the process.
pub fn start(store: StoreClient, host: HostName, outage: StoreOutage, state: Rc<EntryState>) {
    let watched = state.clone();
    let key = format!("{PREFIX}{host}");
    let own_key = key.clone();
    let on_event = move |event| on_event(&watched, &own_key, event);
    actix_rt::spawn(follow::watch_prefix(
        store.clone(),
        PREFIX,
        WatchTiming::PROMPT,
        OutageRole::Follower(outage),
        on_event,
    ));
    actix_rt::spawn(write_reports(store, key, state));
}

fn on_event(state: &EntryState, own_key: &str, event: StoreEvent) {
    match event {
        // The store may have lost this entry's item, or hold an older one.
        StoreEvent::Recovered if !state.crash_report().causes.is_empty() => state.report_crashes(),
        StoreEvent::Recovered | StoreEvent::Lost => {}
        StoreEvent::Snapshot(range) => range.items.iter().for_each(|item| merge(state, item)),
        StoreEvent::Changes { changes, .. } => {
            for change in &changes {
                match change {
                    StoreChange::Put(item) if &*item.key != own_key => merge(state, item),
                    // What an entry told is kept after its lease ended.
                    StoreChange::Put(_) | StoreChange::Removed { .. } => {}
                }
            }
        }
    }
}

fn merge(state: &EntryState, item: &StoreItem) {
    match serde_json::from_slice::<CrashReport>(&item.value) {
        Ok(report) => state.on_crash_report(&report),
        Err(error) => warn!("event=bad_crash_report key={} reason=\"{error}\"", item.key),
    }
}

async fn write_reports(store: StoreClient, key: String, state: Rc<EntryState>) {
    loop {
        state.crash_news().await;
        while let Err(error) = write_report(&store, &key, &state).await {
            debug!("event=crash_report_not_written reason=\"{error}\"");
            let delay_ms = rand::rng().random_range(RETRY_DELAY_MS);
            actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        actix_rt::time::sleep(MIN_INTERVAL).await;
    }
}

async fn write_report(
    store: &StoreClient,
    key: &str,
    state: &EntryState,
) -> Result<(), StoreError> {
    let lease = store.open_lease(CRASH_RETENTION, PROBE_TIMEOUT).await?;
    let value = serde_json::to_vec(&state.crash_report());
    let value = value.map_err(|error| StoreError::Unreadable(error.to_string()))?;
    let write = StoreWrite { key, value: &value, lease, expected_revision: None };
    store.write(&[write]).await.map(drop)
}
