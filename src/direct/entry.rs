//! An entry that sends requests to targets itself.

mod caller;
mod events;
mod pool;
mod request;
mod state;

use super::follow;
use super::loads;
use super::metrics::{self, DirectEntryMetrics};
use super::presence::{self, PresenceRecord};
use super::reload;
use super::service::{ServiceAnswer, start_service};
use super::settings::{DirectEntrySettings, DirectSettings};
use crate::clock;
use crate::process;
use actix_http::StatusCode;
use anyhow::{Context, Result};
use buckthornwharf_core::direct::WatchTiming;
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::request::READINESS_PATH;
use buckthornwharf_platform::{StoreClient, keys};
use log::{info, warn};
use state::EntryState;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Time for which a leaving entry still takes connections: the platform needs two looks at its
/// readiness, one a second, to stop sending them.
const LAST_CONNECTIONS: Duration = Duration::from_millis(2500);
/// Time kept free between the end of the last request and the end of the grace.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Pause after a failed accept, so that a lack of descriptors does not busy the thread.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Runs the entry until it is told to leave.
///
/// # Errors
///
/// Fails if an address cannot be listened on.
pub fn run(path: PathBuf, settings: DirectSettings) -> Result<()> {
    let own = settings.entry.clone().context("the settings have no section `entry`")?;
    actix_rt::System::new().block_on(serve(path, settings, own))
}

async fn serve(path: PathBuf, settings: DirectSettings, own: DirectEntrySettings) -> Result<()> {
    let callers = TcpListener::from_std(process::bind(own.callers)?)?;
    let readiness = process::bind(own.readiness)?;
    let links = process::bind(settings.peer_address())?;
    let leaving = process::leave_signal()?;
    let (callers_at, readiness_at) = (callers.local_addr()?, readiness.local_addr()?);
    println!("ready entry callers={callers_at} readiness={readiness_at}");
    info!("event=started host={} callers={callers_at}", settings.host);
    let store = StoreClient::new(settings.store);
    let metrics = DirectEntryMetrics::new()?;
    metrics::serve(&settings, metrics.registry().clone());
    let state = EntryState::new(settings.clone(), leaving.clone(), metrics);
    start_readiness(readiness, state.clone())?;
    let loads = state.clone();
    loads::start_receiver(links, move |now, load| loads.take_load(now, load))?;
    start_followers(&store, &state);
    let record = PresenceRecord::of(&settings);
    let staying = state.staying();
    let kept = presence::keep_registered(store, presence::ENTRY_PREFIX, record, staying, |_| {});
    actix_rt::spawn(kept);
    actix_rt::spawn(state::run_queue(state.clone()));
    let reloaded = state.clone();
    reload::watch_settings(path, move |settings| reloaded.set_bounds(settings.bounds))?;
    take_connections(callers, state, leaving, settings.bounds.grace).await;
    info!("event=stopped host={}", settings.host);
    Ok(())
}

fn start_readiness(listener: std::net::TcpListener, state: Rc<EntryState>) -> Result<()> {
    start_service(listener, move |call| {
        let ready = call.target.path() == READINESS_PATH && state.is_ready();
        async move {
            match ready {
                true => ServiceAnswer::new(StatusCode::OK, "ready"),
                false => ServiceAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            }
        }
    })
}

fn start_followers(store: &StoreClient, state: &Rc<EntryState>) {
    let operator = state.clone();
    let take = move |event| operator.take_operator(event);
    actix_rt::spawn(follow::watch_prefix(store.clone(), keys::OPERATOR, WatchTiming::PROMPT, take));
    let targets = state.clone();
    let take = move |event| targets.take_targets(clock::now(), event);
    actix_rt::spawn(follow::watch_prefix(store.clone(), keys::TARGETS, WatchTiming::PROMPT, take));
    let entries = state.clone();
    let take = move |event| entries.take_entries(event);
    actix_rt::spawn(follow::watch_prefix(
        store.clone(),
        presence::ENTRY_PREFIX,
        WatchTiming::RELAXED,
        take,
    ));
}

/// Answers callers until the process is told to leave and the last request has ended.
async fn take_connections(
    listener: TcpListener,
    state: Rc<EntryState>,
    mut leaving: watch::Receiver<bool>,
    grace: Duration,
) {
    let mut left_at = None;
    loop {
        let last_call = left_at.map(|at: tokio::time::Instant| at + LAST_CONNECTIONS);
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => caller::spawn(stream, state.clone()),
                Err(error) => {
                    warn!("event=accept_failed reason=\"{error}\"");
                    actix_rt::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            _ = leaving.wait_for(|leaving| *leaving), if left_at.is_none() => {
                left_at = Some(tokio::time::Instant::now());
            }
            () = sleep_until(last_call) => break,
        }
    }
    drop(listener);
    let Some(left_at) = left_at else {
        return;
    };
    let end = left_at + grace.saturating_sub(EXIT_MARGIN);
    let drained = tokio::time::timeout_at(end, state.wait_idle()).await;
    if drained.is_err() {
        warn!("event=stopped_early requests={}", state.open_requests());
    }
}

async fn sleep_until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
