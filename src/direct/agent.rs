//! The agent process: keeps the engine on its host loaded with the newest declared versions of its
//! models.

mod fetcher;
mod manager;
mod peers;
mod stage;
mod state;
mod verified_stage;

use super::follow::{self, PolledList};
use super::inbound_guard::InboundGuard;
use super::metrics::{self, DirectAgentMetrics};
use super::outage::{OutageRole, StoreOutage};
use super::presence::{self, PresenceRecord};
use super::reload;
use super::settings::DirectSettings;
use crate::process;
use anyhow::{Context, Result};
use buckthornwharf_core::direct::{EvacuationReader, WatchTiming};
use buckthornwharf_platform::{EngineClient, StoreClient, keys};
use log::info;
use rand::RngExt;
use state::AgentState;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Time after the start at which the agents of all regions are read if no fetch needs them before.
/// Hosts that start together leave the links between regions to the entries' configuration.
const ALL_AGENTS_DELAY_MS: std::ops::Range<u64> = 5000..10_000;
/// Time that an agent waits after its start for news of entries before it reads evacuated sites from the
/// store: a fleet that starts has news well before, and does not make this call.
const FIRST_COVERAGE_TIME: Duration = Duration::from_millis(1500);
/// Time for the store to delete the agent's registration before the process exits.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(300);

/// Runs the agent until it receives a signal to shut down.
///
/// # Errors
///
/// Fails if the settings have no section `agent`, or if an address cannot be listened on.
pub fn run(settings_path: PathBuf, settings: DirectSettings) -> Result<()> {
    actix_rt::System::new().block_on(serve(settings_path, settings))
}

async fn serve(settings_path: PathBuf, mut settings: DirectSettings) -> Result<()> {
    let agent_settings = settings.agent.clone().context("the settings have no section `agent`")?;
    let listener = settings.bind_peer_address()?;
    let mut shutdown = process::shutdown_signal()?;
    println!("ready agent peers={}", listener.local_addr()?);
    info!("event=started host={} engine={}", settings.host, agent_settings.engine);
    let store = StoreClient::new(settings.store);
    let metrics = DirectAgentMetrics::new()?;
    let guard = InboundGuard::new(&settings.host_limits, metrics.registry())?;
    metrics::serve(&settings, &guard, metrics.registry().clone(), |_| None);
    let rejected = metrics.settings_rejected.clone();
    let engine = EngineClient::new(agent_settings.engine);
    let state = AgentState::new(settings.clone(), agent_settings, engine, metrics);
    peers::start_peer_service(listener, guard, state.clone())?;
    let outage = StoreOutage::default();
    actix_rt::spawn(watch_versions(store.clone(), outage.clone(), state.clone()));
    actix_rt::spawn(watch_evacuations(store.clone(), outage.clone(), state.clone()));
    start_polls(&store, &outage, &state);
    let record = PresenceRecord::of(&settings);
    let fence_state = state.clone();
    let on_registered = move |position| fence_state.set_fence(position);
    let engine_up = state.subscribe_engine_up();
    let prefix = presence::region_prefix(&record.region);
    let registration =
        presence::keep_registered(store, prefix, record, engine_up, on_registered, |_| {});
    actix_rt::spawn(registration);
    let reloaded = state.clone();
    let on_change = move |settings: DirectSettings| reloaded.set_bounds(&settings.bounds);
    reload::watch_settings(settings_path, rejected, on_change)?;
    tokio::select! {
        never = manager::run(state.clone()) => match never {},
        _ = shutdown.wait_for(|shutdown| *shutdown) => {}
    }
    state.set_engine_up(false);
    actix_rt::time::sleep(SHUTDOWN_DELAY).await;
    info!("event=stopped host={}", settings.host);
    Ok(())
}

/// Watches the declared versions in the store while no entry is relied on for news of them.
async fn watch_versions(store: StoreClient, outage: StoreOutage, state: Rc<AgentState>) {
    loop {
        state.wait_uncovered().await;
        info!("event=versions_from source=store");
        let watched = state.clone();
        let on_event = move |event| watched.on_version_event(event);
        let watch = follow::watch_prefix(
            store.clone(),
            keys::VERSIONS,
            WatchTiming::TIMELY,
            OutageRole::Leader(outage.clone()),
            on_event,
        );
        tokio::select! {
            () = watch => {}
            () = state.wait_covered() => {
                outage.end();
                info!("event=versions_from source=entries");
            }
        }
    }
}

/// Watches the evacuated sites in the store while no entry is relied on for news of them. The watch of the
/// versions notices outages of the store for this one.
async fn watch_evacuations(store: StoreClient, outage: StoreOutage, state: Rc<AgentState>) {
    // An error means that no entry is relied on yet.
    let _ = tokio::time::timeout(FIRST_COVERAGE_TIME, state.wait_covered()).await;
    loop {
        state.wait_uncovered().await;
        let watched = state.clone();
        let mut reader = EvacuationReader::default();
        let watch = follow::watch_prefix(
            store.clone(),
            keys::EVACUATED,
            WatchTiming::TIMELY,
            OutageRole::Follower(outage.clone()),
            move |event| watched.on_evacuation_event(&mut reader, &event),
        );
        tokio::select! {
            () = watch => {}
            () = state.wait_covered() => {}
        }
    }
}

/// Starts to poll the entries with the configuration for agents, the agents of the own region, and those
/// of all regions.
fn start_polls(store: &StoreClient, outage: &StoreOutage, state: &Rc<AgentState>) {
    let at_once = |prefix, current_reads| PolledList {
        prefix,
        current_reads,
        first_read: Duration::ZERO,
        refresh: Rc::default(),
        outage: outage.clone(),
    };
    let entries_state = state.clone();
    let on_items = move |items| entries_state.update_entries(items);
    // Entries that start at the same time are found by the second read.
    let list = at_once(presence::COMMON_PREFIX.to_owned(), 2);
    actix_rt::spawn(follow::poll_list(store.clone(), list, on_items));
    let region_state = state.clone();
    let on_items = move |items| region_state.update_region_agents(items);
    let list = at_once(presence::region_prefix(&state.settings.region()), 1);
    actix_rt::spawn(follow::poll_list(store.clone(), list, on_items));
    let agents_state = state.clone();
    let on_items = move |items| agents_state.update_agents(items);
    let first_read = Duration::from_millis(rand::rng().random_range(ALL_AGENTS_DELAY_MS));
    let refresh = state.refresh_agents.clone();
    let prefix = presence::AGENT_PREFIX.to_owned();
    let outage = outage.clone();
    let list = PolledList { prefix, current_reads: 0, first_read, refresh, outage };
    actix_rt::spawn(follow::poll_list(store.clone(), list, on_items));
}
