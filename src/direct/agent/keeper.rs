//! Brings the engine to the wanted versions.

use super::fetcher::{PieceFetcher, StagedWhole};
use super::stage::StagedVersion;
use super::state::{AgentState, WantedModel};
use crate::clock;
use buckthornwharf_core::direct::LoadedModel;
use buckthornwharf_core::direct::rollout::{RolloutTurn, SupersedeTime, supersede_time};
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::{LoadOrder, OrderAnswer};
use log::{info, warn};
use std::convert::Infallible;
use std::rc::Rc;

/// Time between looks at the engine's state.
const LOOK_INTERVAL: Duration = Duration::from_millis(120);
/// Time without an answer after which the engine counts as lost.
const LOST_AFTER: Duration = Duration::from_secs(1);
/// Time between looks at the engine's state while it loads.
const LOADING_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a load that has not ended is looked at anew.
const LOAD_TIMEOUT: Duration = Duration::from_secs(12);
/// Pause before an engine that refused an order is ordered again.
const ORDER_PAUSE: Duration = Duration::from_millis(300);

/// Keeps the engine at the wanted versions for the rest of the process.
pub async fn run(state: Rc<AgentState>) -> Infallible {
    let fetcher = PieceFetcher::new(state.clone());
    let mut answered_at = clock::now();
    loop {
        match state.engine.report().await {
            Ok(report) => {
                let before = state.report();
                if before
                    .as_ref()
                    .is_none_or(|before| before.started_unix_ms != report.started_unix_ms)
                {
                    info!(
                        "event=engine_seen born={} models={:?}",
                        report.started_unix_ms, report.models
                    );
                }
                answered_at = clock::now();
                state.set_serving(true);
                state.set_report(report);
                if let Some(wanted) = missing(&state) {
                    tokio::select! {
                        () = look_on(&state) => {}
                        () = bring(&state, &fetcher, &wanted) => {}
                        () = superseded(&state, &fetcher, &wanted) => {
                            info!("event=superseded version={}", wanted.version.version);
                        }
                    }
                    state.set_closed(false);
                }
            }
            Err(error) => {
                if *state.serving().borrow() && clock::now().since(answered_at) > LOST_AFTER {
                    warn!("event=engine_lost reason=\"{error}\"");
                    state.set_serving(false);
                }
            }
        }
        tokio::select! {
            () = state.wanted_changed.notified() => {}
            () = actix_rt::time::sleep(LOOK_INTERVAL) => {}
        }
    }
}

/// Looks at the engine's state while pieces are fetched, so that entries hear of its load. Ends once
/// the engine counts as lost: nothing can be staged in it, and others must not count on this agent.
async fn look_on(state: &AgentState) {
    let mut answered_at = clock::now();
    while clock::now().since(answered_at) <= LOST_AFTER {
        actix_rt::time::sleep(LOOK_INTERVAL).await;
        match state.engine.report().await {
            Ok(report) => {
                answered_at = clock::now();
                state.set_report(report);
            }
            Err(error) => log::debug!("event=engine_lost reason=\"{error}\""),
        }
    }
}

/// A wanted version that the engine does not hold.
fn missing(state: &AgentState) -> Option<WantedModel> {
    let report = state.report()?;
    let lacks = |wanted: &WantedModel| {
        !report.models.iter().any(|loaded| {
            loaded.model == wanted.version.model && loaded.version >= wanted.version.version
        })
    };
    state.wanted().into_iter().find(lacks)
}

/// Ends once a newer version goes before `wanted`: at once, or when it is held whole before the
/// engine was ordered to load `wanted`. Its pieces are fetched meanwhile.
async fn superseded(state: &AgentState, fetcher: &PieceFetcher, wanted: &WantedModel) {
    loop {
        let newest = state.wanted().into_iter().find(|newest| {
            newest.version.model == wanted.version.model && newest.version != wanted.version
        });
        let Some(newest) = newest else {
            state.wanted_changed.notified().await;
            continue;
        };
        let SupersedeTime::At(at) = supersede_time(wanted.declared_at, newest.declared_at) else {
            return;
        };
        tokio::select! {
            () = fetcher.park(&newest) => {
                if state.is_closed() {
                    // The load that was ordered ends first.
                    std::future::pending::<()>().await;
                }
                return;
            }
            () = actix_rt::time::sleep(at.since(clock::now())) => return,
            () = state.wanted_changed.notified() => {}
        }
    }
}

/// Stages `wanted` and has the engine load it.
async fn bring(state: &AgentState, fetcher: &PieceFetcher, wanted: &WantedModel) {
    let whole = fetcher.stage(wanted).await;
    wait_turn(state, wanted).await;
    let Some(fence) = state.fence() else {
        info!("event=order_waits reason=not_registered");
        actix_rt::time::sleep(ORDER_PAUSE).await;
        return;
    };
    if !is_whole(state, fetcher, &wanted.version, &whole).await {
        return;
    }
    let report = match state.engine.report().await {
        Ok(report) => report,
        Err(error) => {
            warn!("event=engine_lost reason=\"{error}\"");
            return;
        }
    };
    let expected_orders = report.accepted_orders;
    state.set_report(report);
    // Entries hear of it before the engine turns requests away.
    state.set_closed(true);
    let order = LoadOrder { version: wanted.version.clone(), fence, expected_orders };
    let answer = state.engine.load(&order).await;
    info!(
        "event=ordered version={} fence={fence} after_orders={expected_orders} age_ms={} answer={}",
        wanted.version.version,
        wanted.declared_at.map_or(0, |declared| clock::now().since(declared).as_millis()),
        match &answer {
            Ok(answer) => format!("{answer:?}"),
            Err(error) => format!("\"{error}\""),
        }
    );
    let label = answer.as_ref().map_or("none", |answer| answer.into());
    state.metrics.orders.with_label_values(&[label]).inc();
    match answer {
        Ok(OrderAnswer::Begun | OrderAnswer::Done) => wait_loaded(state, &wanted.version).await,
        Ok(OrderAnswer::Unfit | OrderAnswer::Fenced) | Err(_) => {
            actix_rt::time::sleep(ORDER_PAUSE).await;
        }
    }
}

/// Waits for the agent's turn among those of its region; an engine that serves nothing is loaded at
/// once.
async fn wait_turn(state: &AgentState, wanted: &WantedModel) {
    let serves = state.report().is_some_and(|report| {
        report.models.iter().any(|loaded| loaded.model == wanted.version.model)
    });
    let Some(retire_at) = wanted.retire_at.filter(|_| serves) else {
        return;
    };
    let region = state.settings.region();
    let agents = state.agents();
    let near: Vec<_> = agents.iter().filter(|agent| agent.region == region).collect();
    let turn = near.iter().position(|agent| agent.host == state.settings.host).unwrap_or(0);
    let held_at = clock::now();
    let previous_retire_at = wanted.previous_retire_at;
    let turn = RolloutTurn { held_at, previous_retire_at, retire_at, turn, hosts: near.len() };
    actix_rt::time::sleep(turn.start_at().since(held_at)).await;
}

/// Whether all staged pieces are sound right now. Those that are not are fetched again.
async fn is_whole(
    state: &AgentState,
    fetcher: &PieceFetcher,
    version: &LoadedModel,
    whole: &StagedWhole,
) -> bool {
    let held = fetcher.verified(version, &whole.manifest).await;
    if held.is_full() {
        return true;
    }
    warn!("event=stage_spoilt version={} sound={}", version.version, held.count());
    state.stage.set_staged(StagedVersion {
        version: version.clone(),
        manifest: Some(whole.manifest.clone()),
        held,
    });
    false
}

async fn wait_loaded(state: &AgentState, version: &LoadedModel) {
    let ordered = clock::now();
    while clock::now().since(ordered) < LOAD_TIMEOUT {
        actix_rt::time::sleep(LOADING_INTERVAL).await;
        match state.engine.report().await {
            Ok(report) => {
                let loading = report.loading;
                state.set_report(report);
                if state.is_loaded(version) {
                    info!(
                        "event=loaded version={} took_ms={}",
                        version.version,
                        clock::now().since(ordered).as_millis()
                    );
                    return;
                }
                if !loading {
                    return;
                }
            }
            Err(error) => {
                warn!("event=engine_lost reason=\"{error}\"");
                return;
            }
        }
    }
}
