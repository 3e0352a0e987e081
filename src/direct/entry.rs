//! An entry that dispatches requests directly to targets, without agents in between.

mod caller;
mod crash_reports;
mod placement_report;
mod pool;
mod request;
mod state;

use super::follow;
use super::inbound_guard::InboundGuard;
use super::loads;
use super::metrics::{self, DirectEntryMetrics};
use super::outage::{OutageRole, StoreOutage};
use super::presence::{self, PresenceRecord};
use super::reload;
use super::service::{ServiceAnswer, start_service};
use super::settings::{DirectEntrySettings, DirectSettings};
use crate::clock;
use crate::process;
use actix_http::StatusCode;
use anyhow::{Context, Result};
use buckthornwharf_core::direct::{DrainPeriod, WatchTiming};
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::InboundRequest;
use buckthornwharf_platform::request::READINESS_PATH;
use buckthornwharf_platform::{StoreClient, keys};
use log::{debug, info, warn};
use state::EntryState;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Time in which requests that are given up at the end of a shutdown are answered.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(250);
/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Runs the entry until the process receives a shutdown signal and its requests are drained, at most for
/// the grace period. `settings_path` is watched for changed settings.
///
/// # Errors
///
/// Fails if the settings have no section `entry`, if a listener cannot be bound, or if signals, metrics
/// or the settings watch cannot be set up.
pub fn run(settings_path: PathBuf, settings: DirectSettings) -> Result<()> {
    let entry_settings = settings.entry.clone().context("the settings have no section `entry`")?;
    actix_rt::System::new().block_on(serve(settings_path, settings, entry_settings))
}

async fn serve(
    settings_path: PathBuf,
    mut settings: DirectSettings,
    entry_settings: DirectEntrySettings,
) -> Result<()> {
    let caller_listener = TcpListener::from_std(process::bind(entry_settings.callers)?)?;
    let readiness_listener = process::bind(entry_settings.readiness)?;
    let load_listener = settings.bind_peer_address()?;
    let shutdown = process::shutdown_signal()?;
    let (caller_address, readiness_address) =
        (caller_listener.local_addr()?, readiness_listener.local_addr()?);
    println!("ready entry callers={caller_address} readiness={readiness_address}");
    info!("event=started host={} callers={caller_address}", settings.host);
    let store = StoreClient::new(settings.store);
    let metrics = DirectEntryMetrics::new()?;
    let guard = InboundGuard::new(&settings.host_limits, metrics.registry())?;
    guard.prepare_listener(&caller_listener);
    let rejected = metrics.settings_rejected.clone();
    let state = EntryState::new(settings.clone(), shutdown.clone(), metrics, guard.clone());
    let asked = state.clone();
    let other = move |request: &InboundRequest| placement_report::answer(&asked, request);
    metrics::serve(&settings, &guard, state.metrics.registry().clone(), other);
    start_readiness(readiness_listener, state.clone())?;
    let agent_state = state.clone();
    let on_message = move |now, message| agent_state.on_agent_message(now, &message);
    loads::start_receiver(
        load_listener,
        state.guard.clone(),
        state.subscribe_news(),
        state.subscribe_demand(),
        on_message,
    )?;
    let outage = start_followers(&store, &state);
    crash_reports::start(store.clone(), settings.host.clone(), outage, state.clone());
    let record = PresenceRecord::of(&settings);
    let running = state.running();
    let live_state = state.clone();
    actix_rt::spawn(presence::keep_registered(
        store,
        presence::ENTRY_PREFIX.to_owned(),
        record,
        running,
        |_| {},
        move |until| live_state.set_registered_until(until),
    ));
    actix_rt::spawn(state::run_queue(state.clone()));
    if settings.fair_queue {
        actix_rt::spawn(state::run_demand(state.clone()));
    }
    actix_rt::spawn(state::run_gauges(state.clone()));
    let reloaded = state.clone();
    let on_change = move |settings: DirectSettings| reloaded.set_bounds(settings.bounds);
    reload::watch_settings(settings_path, rejected, on_change)?;
    accept_connections(caller_listener, state, shutdown).await;
    info!("event=stopped host={}", settings.host);
    Ok(())
}

fn start_readiness(listener: std::net::TcpListener, state: Rc<EntryState>) -> Result<()> {
    start_service(listener, state.guard.clone(), move |request| {
        let ready = request.uri.path() == READINESS_PATH && state.is_ready();
        async move {
            match ready {
                true => ServiceAnswer::new(StatusCode::OK, "ready"),
                false => ServiceAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            }
        }
    })
}

fn start_followers(store: &StoreClient, state: &Rc<EntryState>) -> StoreOutage {
    let outage = StoreOutage::default();
    let operator_state = state.clone();
    let on_event = move |event| operator_state.on_operator_event(event);
    actix_rt::spawn(follow::watch_prefix(
        store.clone(),
        keys::OPERATOR,
        WatchTiming::PROMPT,
        OutageRole::Leader(outage.clone()),
        on_event,
    ));
    let targets_state = state.clone();
    let on_event = move |event| targets_state.on_target_event(clock::now(), event);
    actix_rt::spawn(follow::watch_prefix(
        store.clone(),
        keys::TARGETS,
        WatchTiming::TARGETS,
        OutageRole::Follower(outage.clone()),
        on_event,
    ));
    let entries_state = state.clone();
    let on_event = move |event| entries_state.on_entry_event(event);
    actix_rt::spawn(follow::watch_prefix(
        store.clone(),
        presence::ENTRY_PREFIX,
        WatchTiming::RELAXED,
        OutageRole::Follower(outage.clone()),
        on_event,
    ));
    outage
}

/// Accepts connections from callers until shutdown, then waits for open requests to end. Those that are still
/// open when the grace period is almost over are given up with an answer.
async fn accept_connections(
    listener: TcpListener,
    state: Rc<EntryState>,
    mut shutdown: watch::Receiver<bool>,
) {
    let mut drain: Option<DrainPeriod> = None;
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, source)) => {
                    caller::spawn(stream, source, state.clone());
                    if state.guard.is_at_caller_limit() {
                        // Lets the new caller send its request before it is the oldest one.
                        tokio::task::yield_now().await;
                    }
                }
                Err(error) => {
                    debug!("event=accept_failed reason=\"{error}\"");
                    state.guard.count("accept_failed");
                    actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            _ = shutdown.wait_for(|shutdown| *shutdown), if drain.is_none() => {
                drain = Some(state.begin_drain(state.grace()));
            }
            () = sleep_until(drain.map(|drain| drain.accept_until)) => break,
        }
    }
    accept_backlog(listener, &state);
    let Some(drain) = drain else {
        return;
    };
    tokio::select! {
        () = state.wait_idle() => {}
        () = sleep_until(Some(drain.end)) => give_up_open_requests(&state).await,
    }
}

/// Ends the requests that are still open: those that have no answer yet get one.
async fn give_up_open_requests(state: &EntryState) {
    warn!("event=stopped_early requests={}", state.open_requests());
    state.end_drain();
    // What cannot be sent in this time ends with the process.
    let _ = tokio::time::timeout(LAST_ANSWERS_TIME, state.wait_idle()).await;
}

/// Accepts the connections that are already open, and closes the listener, which would reset them.
fn accept_backlog(listener: TcpListener, state: &Rc<EntryState>) {
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, source)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        match stream {
            Ok(stream) => caller::spawn(stream, source, state.clone()),
            Err(error) => warn!("event=accept_failed reason=\"{error}\""),
        }
    }
}

async fn sleep_until(at: Option<MonoTime>) {
    match at {
        Some(at) => actix_rt::time::sleep(at.since(clock::now())).await,
        None => std::future::pending().await,
    }
}
