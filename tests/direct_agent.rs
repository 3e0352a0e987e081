//! Agents that keep the weights of engines, as processes, against the stand-in of the platform.

#[allow(dead_code)]
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use fleet::{SoakFleet, holds_within};
use standin::operator;
use standin::origin::{OriginFault, PIECES};
use std::time::Duration;

/// Time within which a condition must hold.
const LIMIT: Duration = Duration::from_secs(30);

async fn eventually(what: &str, condition: impl FnMut() -> bool) {
    assert!(holds_within(LIMIT, condition).await, "not within {LIMIT:?}: {what}");
}

async fn all_load(fleet: &SoakFleet, version: u64) {
    let loaded = || fleet.engines.iter().all(|engine| engine.loaded() == Some(version));
    eventually(&format!("all engines load version {version}"), loaded).await;
    let unsound = fleet.ledger.unsound_loads.borrow();
    assert!(unsound.is_empty(), "{unsound:?}");
}

#[actix_rt::test]
async fn an_agent_whose_engine_returns_while_its_lease_is_being_ended_goes_on() {
    let fleet = SoakFleet::start(1, 2).await;
    all_load(&fleet, 1).await;
    fleet.store.silent.set(true);
    fleet.engines[0].crash(true);
    let agent = fleet.process("agent-0");
    eventually("the agent misses its engine", || agent.output().contains("event=engine_lost"))
        .await;
    fleet.engines[0].restart();
    eventually("the agent sees its engine", || {
        agent.output().matches("event=engine_seen").count() > 1
    })
    .await;
    fleet.store.silent.set(false);
    operator::declare(&fleet.store, 2);
    all_load(&fleet, 2).await;
}

#[actix_rt::test]
async fn an_agent_whose_engine_is_lost_during_a_fetch_leaves_the_list() {
    let fleet = SoakFleet::start(1, 2).await;
    all_load(&fleet, 1).await;
    let is_listed = || fleet.store.holds("buckthornwharf/agent/agent-0");
    eventually("the agent is listed", is_listed).await;
    fleet.origin.fault.set(OriginFault::Down);
    operator::declare(&fleet.store, 2);
    let agent = fleet.process("agent-0");
    eventually("the agent wants it", || agent.output().contains("event=no_manifest")).await;
    fleet.engines[0].crash(false);
    eventually("the agent has left the list", || !is_listed()).await;
    fleet.engines[0].restart();
    fleet.origin.fault.set(OriginFault::None);
    all_load(&fleet, 2).await;
}

#[actix_rt::test]
async fn a_piece_that_turned_bad_in_the_stage_is_fetched_again_before_the_load() {
    let fleet = SoakFleet::start(1, 4).await;
    all_load(&fleet, 1).await;
    operator::declare(&fleet.store, 2);
    // The last host's turn comes some seconds after it holds the version.
    let last = &fleet.engines[3];
    eventually("the version is staged", || last.sound_pieces(2) == PIECES).await;
    assert_eq!(last.loaded(), Some(1));
    last.rot(3);
    all_load(&fleet, 2).await;
}

#[actix_rt::test]
async fn a_version_that_overtakes_one_whose_turns_go_on_is_loaded_whole() {
    let fleet = SoakFleet::start(1, 4).await;
    all_load(&fleet, 1).await;
    operator::declare(&fleet.store, 2);
    let last = &fleet.engines[3];
    eventually("the version is staged", || last.sound_pieces(2) == PIECES).await;
    // Long enough for the older version to be brought in first.
    actix_rt::time::sleep(Duration::from_millis(1100)).await;
    operator::declare(&fleet.store, 3);
    all_load(&fleet, 3).await;
    let parked = fleet.processes.iter().any(|agent| agent.output().contains("event=parking_ended"));
    assert!(parked, "nobody fetched the newer version while turns were taken");
}
