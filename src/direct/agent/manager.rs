//! Control loop that loads the wanted versions into the engine.

use super::fetcher::ChunkFetcher;
use super::state::{AgentState, WantedModel};
use super::verified_stage::VerifiedStage;
use crate::clock;
use buckthornwharf_core::direct::LoadedModel;
use buckthornwharf_core::direct::rollout::RolloutTurn;
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::{EngineReport, LoadOrder, OrderAnswer};
use log::{info, warn};
use std::convert::Infallible;
use std::rc::Rc;

/// Time between polls of the engine's state.
const POLL_INTERVAL: Duration = Duration::from_millis(120);
/// Time without an answer after which the engine counts as down.
const ENGINE_LOST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between polls of the engine's state while it loads a version.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time to wait for a load to end; after it the control loop starts over.
const LOAD_TIMEOUT: Duration = Duration::from_secs(12);
/// Delay before a load is tried again if the engine refused the order, or if the agent has no fencing
/// token yet.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// If a host's turn is later than this, the stage is verified when it is complete as well as at the turn.
const EARLY_VERIFY_TIME: Duration = Duration::from_millis(800);

/// Polls the engine and loads the wanted versions into it for the rest of the process.
pub async fn run(state: Rc<AgentState>) -> Infallible {
    let fetcher = ChunkFetcher::new(state.clone());
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
                state.set_engine_up(true);
                state.set_report(report);
                match state.wanted().into_iter().next() {
                    None => fetcher.read_stage().await,
                    Some(wanted) => load_wanted(&state, &fetcher, &wanted).await,
                }
            }
            Err(error) => {
                if *state.subscribe_engine_up().borrow()
                    && clock::now().since(answered_at) > ENGINE_LOST_TIMEOUT
                {
                    warn!("event=engine_lost reason=\"{error}\"");
                    state.set_engine_up(false);
                }
            }
        }
        tokio::select! {
            () = state.wanted_changed.notified() => {}
            () = actix_rt::time::sleep(POLL_INTERVAL) => {}
        }
    }
}

/// Loads `wanted` into the engine, unless the engine goes down or a newer version supersedes it.
async fn load_wanted(state: &AgentState, fetcher: &ChunkFetcher, wanted: &WantedModel) {
    tokio::select! {
        () = monitor_engine(state) => {}
        () = install(state, fetcher, wanted) => {}
        () = wait_superseded(state, fetcher, wanted) => {
            info!("event=superseded version={}", wanted.version.version);
        }
    }
    state.set_load_ordered(false);
}

/// Polls the engine's state while chunks are fetched, so that entries keep receiving its load. Returns
/// once the engine counts as down: nothing can be staged in it then, and other agents must not rely on
/// this one.
async fn monitor_engine(state: &AgentState) {
    let mut answered_at = clock::now();
    while clock::now().since(answered_at) <= ENGINE_LOST_TIMEOUT {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        match state.engine.report().await {
            Ok(report) => {
                answered_at = clock::now();
                state.set_report(report);
            }
            Err(error) => log::debug!("event=engine_lost reason=\"{error}\""),
        }
    }
}

/// Returns once a newer version supersedes `wanted`, unless the engine has been ordered to load `wanted`
/// by then: as soon as `wanted` is not worth loading any more, or all chunks of the next version are
/// parked. Fetches the chunks of the next version meanwhile.
async fn wait_superseded(state: &AgentState, fetcher: &ChunkFetcher, wanted: &WantedModel) {
    loop {
        let mut versions = state.wanted();
        versions.retain(|other| other.version.model == wanted.version.model);
        let is_wanted = versions.iter().any(|other| other.version == wanted.version);
        if !is_wanted && !versions.is_empty() && !state.is_load_ordered() {
            return;
        }
        let next =
            versions.into_iter().find(|other| other.version.version > wanted.version.version);
        let parking = async {
            match next.filter(|_| is_wanted) {
                Some(next) => fetcher.park(&next).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = parking => {
                if state.is_load_ordered() {
                    // Let the load that was ordered end first.
                    std::future::pending::<()>().await;
                }
                return;
            }
            () = wait_choice_changed(state, wanted) => {}
        }
    }
}

/// Returns once the versions to load after `wanted`, or whether `wanted` is one, have changed.
async fn wait_choice_changed(state: &AgentState, wanted: &WantedModel) {
    let versions = || -> Vec<LoadedModel> {
        let versions = state.wanted().into_iter().map(|wanted| wanted.version);
        versions.filter(|version| version.model == wanted.version.model).collect()
    };
    let before = versions();
    while versions() == before {
        tokio::select! {
            () = state.wanted_changed.notified() => {}
            () = actix_rt::time::sleep(POLL_INTERVAL) => {}
        }
    }
}

/// Stages `wanted`, waits for the host's turn in the rollout and orders the engine to load it.
async fn install(state: &AgentState, fetcher: &ChunkFetcher, wanted: &WantedModel) {
    let staged = fetcher.stage(wanted).await;
    let held_at = clock::now();
    let turn_at = rollout_turn(state, wanted, held_at);
    info!(
        "event=swap_planned version={} age_ms={} in_ms={}",
        wanted.version.version,
        wanted.age_ms(),
        turn_at.since(held_at).as_millis()
    );
    let mut verify_time = Duration::ZERO;
    if turn_at.since(held_at) > EARLY_VERIFY_TIME {
        // Chunks that turned corrupt while they were exchanged can still be fetched before the turn.
        if VerifiedStage::verify(state, fetcher, &wanted.version, &staged).await.is_none() {
            return;
        }
        verify_time = clock::now().since(held_at);
    }
    actix_rt::time::sleep((turn_at - verify_time).since(clock::now())).await;
    let Some(fence) = state.fence() else {
        info!("event=order_waits reason=not_registered");
        actix_rt::time::sleep(ORDER_RETRY_DELAY).await;
        return;
    };
    let Some(stage) = VerifiedStage::verify(state, fetcher, &wanted.version, &staged).await else {
        return;
    };
    match state.engine.report().await {
        Ok(report) if stage.is_of(&report) => {
            order_load(state, wanted, fence, stage, report).await;
        }
        Ok(report) => {
            info!("event=order_waits reason=engine_restarted born={}", report.started_unix_ms);
            state.set_report(report);
        }
        Err(error) => warn!("event=engine_lost reason=\"{error}\""),
    }
}

/// Orders the engine to load `wanted` from `stage` and waits until it has. No order is sent if the verification
/// of the stage is too old by then, as after a pause of the process.
async fn order_load(
    state: &AgentState,
    wanted: &WantedModel,
    fence: u64,
    stage: VerifiedStage,
    report: EngineReport,
) {
    let expected_orders = report.accepted_orders;
    let (running, waiting) = (report.running, report.waiting);
    state.set_report(report);
    // Tell entries to stop sending before the engine starts to reject requests.
    state.set_load_ordered(true);
    let order = LoadOrder { version: wanted.version.clone(), fence, expected_orders };
    let answer = state.engine.load(&order, || stage.is_current()).await;
    let label = match &answer {
        Ok(answer) => answer.into(),
        Err(error) if error.is_withdrawn() => "withdrawn",
        Err(_) => "none",
    };
    state.metrics.orders.with_label_values(&[label]).inc();
    info!(
        "event=ordered version={} fence={fence} after_orders={expected_orders} age_ms={} verified_ms={} \
         running={running} waiting={waiting} answer={}",
        wanted.version.version,
        wanted.age_ms(),
        stage.age().as_millis(),
        match &answer {
            Ok(answer) => format!("{answer:?}"),
            Err(error) => format!("\"{error}\""),
        }
    );
    match answer {
        Ok(OrderAnswer::Begun | OrderAnswer::Done) => wait_loaded(state, wanted).await,
        // The control loop verifies the stage again.
        Err(error) if error.is_withdrawn() => {}
        Ok(OrderAnswer::Unfit | OrderAnswer::Fenced) | Err(_) => {
            actix_rt::time::sleep(ORDER_RETRY_DELAY).await;
        }
    }
}

/// Returns the time of this host's turn among the hosts of its region, which held the version at
/// `held_at`. The turn is at once if the engine has no version of the model loaded, or if that version
/// is not due for retirement.
fn rollout_turn(state: &AgentState, wanted: &WantedModel, held_at: MonoTime) -> MonoTime {
    let is_serving = state.report().is_some_and(|report| {
        report.models.iter().any(|loaded| loaded.model == wanted.version.model)
    });
    let Some(retire_at) = wanted.retire_at.filter(|_| is_serving) else {
        return held_at;
    };
    let region = state.settings.region();
    let agents = state.agents();
    let region_agents: Vec<_> = agents.iter().filter(|agent| agent.region == region).collect();
    let turn =
        region_agents.iter().position(|agent| agent.host == state.settings.host).unwrap_or(0);
    let previous_retire_at = wanted.previous_retire_at;
    let hosts = region_agents.len();
    RolloutTurn { held_at, previous_retire_at, retire_at, turn, hosts }.start_at()
}

async fn wait_loaded(state: &AgentState, wanted: &WantedModel) {
    let version = &wanted.version;
    let ordered = clock::now();
    let mut drained_after = None;
    while clock::now().since(ordered) < LOAD_TIMEOUT {
        actix_rt::time::sleep(LOAD_POLL_INTERVAL).await;
        match state.engine.report().await {
            Ok(report) => {
                let loading = report.loading;
                if report.requests() == 0 {
                    drained_after.get_or_insert(clock::now().since(ordered));
                }
                state.set_report(report);
                if state.is_loaded(version) {
                    info!(
                        "event=loaded version={} took_ms={} drained_ms={} age_ms={}",
                        version.version,
                        clock::now().since(ordered).as_millis(),
                        drained_after.unwrap_or_default().as_millis(),
                        wanted.age_ms()
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
