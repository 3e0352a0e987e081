//! An agent that keeps the weights of the engine beside it.

mod fetcher;
mod keeper;
mod peers;
mod stage;
mod state;

use super::follow;
use super::metrics::{self, DirectAgentMetrics};
use super::presence::{self, PresenceRecord};
use super::reload;
use super::settings::DirectSettings;
use crate::process;
use anyhow::{Context, Result};
use buckthornwharf_core::direct::WatchTiming;
use buckthornwharf_platform::{EngineClient, StoreClient, keys};
use log::info;
use state::AgentState;
use std::path::PathBuf;
use std::time::Duration;

/// Time for the store to hear that the agent leaves.
const LEAVE_TIME: Duration = Duration::from_millis(300);

/// Runs the agent until it is told to leave.
///
/// # Errors
///
/// Fails if an address cannot be listened on.
pub fn run(path: PathBuf, settings: DirectSettings) -> Result<()> {
    actix_rt::System::new().block_on(serve(path, settings))
}

async fn serve(path: PathBuf, settings: DirectSettings) -> Result<()> {
    let own = settings.agent.clone().context("the settings have no section `agent`")?;
    let listener = process::bind(settings.peer_address())?;
    let mut leaving = process::shutdown_signal()?;
    println!("ready agent peers={}", listener.local_addr()?);
    info!("event=started host={} engine={}", settings.host, own.engine);
    let store = StoreClient::new(settings.store);
    let metrics = DirectAgentMetrics::new()?;
    metrics::serve(&settings, metrics.registry().clone());
    let engine = EngineClient::new(own.engine);
    let state = AgentState::new(settings.clone(), own, engine, metrics);
    peers::start_peer_service(listener, state.clone())?;
    let operator = state.clone();
    actix_rt::spawn(follow::follow(
        store.clone(),
        keys::VERSIONS,
        WatchTiming::TIMELY,
        move |event| operator.take_operator(event),
    ));
    let processes = state.clone();
    let take = move |items| processes.take_processes(items);
    let hurry = state.processes_wanted.clone();
    actix_rt::spawn(follow::poll(store.clone(), presence::PREFIX, hurry, take));
    let record = PresenceRecord::of(&settings);
    let fences = state.clone();
    let registered = move |revision| fences.set_fence(revision);
    let serving = state.serving();
    let kept = presence::keep_registered(store, presence::AGENTS, record, serving, registered);
    actix_rt::spawn(kept);
    // The settings hold nothing that an agent takes in while it runs.
    reload::watch_settings(path, |_| {})?;
    tokio::select! {
        never = keeper::run(state.clone()) => match never {},
        _ = leaving.wait_for(|leaving| *leaving) => {}
    }
    state.set_serving(false);
    actix_rt::time::sleep(LEAVE_TIME).await;
    info!("event=stopped host={}", settings.host);
    Ok(())
}
