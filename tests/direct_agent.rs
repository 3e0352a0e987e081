//! Agent processes that distribute weights to engines, against the stand-in of the platform.

#[allow(dead_code)]
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use buckthornwharf_standin::relay::RelaySwitches;
use fleet::{SoakFleet, eventually, set_switches};
use standin::operator;
use standin::origin::{CHUNKS, OriginFault};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Timeout for a condition to hold.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between a verification and an order after which corruption may not go unnoticed.
const UNVERIFIED_TIME: Duration = Duration::from_secs(4);

/// Switches of a relay that forwards nothing for as long as a test takes.
fn slow_switches() -> RelaySwitches {
    RelaySwitches { delay_ms: 600_000, ..RelaySwitches::default() }
}

/// Waits until all engines have loaded `version`, and checks that no load was incomplete.
async fn wait_all_loaded(fleet: &SoakFleet, version: u64) {
    let loaded = || fleet.engines.iter().all(|engine| engine.loaded() == Some(version));
    eventually(&format!("all engines load version {version}"), loaded).await;
    let invalid = fleet.recorder.invalid_loads.borrow();
    assert!(invalid.is_empty(), "{invalid:?}");
}

/// Waits until all engines have loaded the first version, and all agents are configured and registered.
async fn wait_settled(fleet: &SoakFleet) {
    wait_all_loaded(fleet, 1).await;
    let agents = || fleet.processes.iter().filter(|process| process.name.starts_with("agent"));
    let configured = || agents().all(|agent| agent.output().contains("event=config"));
    eventually("all agents are configured", configured).await;
    let registered = || fleet.store.values("buckthornwharf/agent/").len() == agents().count();
    eventually("all agents are registered", registered).await;
}

/// The addresses at which other processes reach the agents.
fn agent_addresses(fleet: &SoakFleet) -> Vec<SocketAddr> {
    let records = fleet.store.values("buckthornwharf/agent/");
    let address = |record: &String| {
        let record: serde_json::Value = serde_json::from_str(record).expect("JSON");
        record["address"].as_str().expect("text").parse().expect("an address")
    };
    records.iter().map(address).collect()
}

/// Opens connections to `address` that send an incomplete request or nothing, and keeps them open.
async fn open_stalled(address: SocketAddr) -> Vec<TcpStream> {
    const CONNECTIONS: usize = 100;
    let mut streams = Vec::new();
    for number in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(address).await.expect("the agent listens");
        let text = match number % 3 {
            0 => String::new(),
            1 => "GET /weights/m/2/0 HTTP/1.1\r\nhost".to_owned(),
            _ => format!("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 60000\r\n\r\n{:50000}", ""),
        };
        // The agent may close the connection to accept others.
        let _ = stream.write_all(text.as_bytes()).await;
        streams.push(stream);
    }
    streams
}

/// Guards against callers that keep agents from each other, or end them.
#[actix_rt::test]
async fn agents_distribute_a_version_while_others_stall_at_their_addresses() {
    let fleet = SoakFleet::start(1, 3).await;
    wait_settled(&fleet).await;
    let addresses = agent_addresses(&fleet);
    let mut stalled = Vec::new();
    for address in &addresses {
        stalled.push(open_stalled(*address).await);
    }
    operator::declare_version(&fleet.store, 2);
    wait_all_loaded(&fleet, 2).await;
    assert!(fleet.processes.iter().all(|process| !process.has_exited()), "a process has ended");
}

#[actix_rt::test]
async fn processes_register_the_port_that_the_operating_system_assigned() {
    const PREFIXES: [&str; 2] = ["buckthornwharf/agent/", "buckthornwharf/common/entry/"];
    let fleet = SoakFleet::start(1, 1).await;
    for prefix in PREFIXES {
        eventually("the process is registered", || fleet.store.contains_prefix(prefix)).await;
        for record in fleet.store.values(prefix) {
            let record: serde_json::Value = serde_json::from_str(&record).expect("JSON");
            let address: SocketAddr =
                record["address"].as_str().expect("text").parse().expect("it");
            assert_ne!(address.port(), 0, "{record}");
        }
    }
}

#[actix_rt::test]
async fn an_agent_recovers_if_its_engine_returns_while_its_lease_is_being_revoked() {
    let fleet = SoakFleet::start(1, 2).await;
    wait_settled(&fleet).await;
    fleet.store.silent.set(true);
    fleet.engines[0].crash(true);
    let agent = fleet.process("agent-0");
    eventually("the agent reports its engine as lost", || {
        agent.output().contains("event=engine_lost")
    })
    .await;
    fleet.engines[0].restart();
    eventually("the agent reports its engine as seen again", || {
        agent.output().matches("event=engine_seen").count() > 1
    })
    .await;
    fleet.store.silent.set(false);
    operator::declare_version(&fleet.store, 2);
    wait_all_loaded(&fleet, 2).await;
}

#[actix_rt::test]
async fn an_agent_deregisters_if_its_engine_is_lost_during_a_fetch() {
    let fleet = SoakFleet::start(1, 2).await;
    wait_settled(&fleet).await;
    let is_registered = || fleet.store.contains_prefix("buckthornwharf/agent/a/agent-0");
    eventually("the agent is registered", is_registered).await;
    fleet.origin.fault.set(OriginFault::Down);
    operator::declare_version(&fleet.store, 2);
    let agent = fleet.process("agent-0");
    eventually("the agent tries to fetch the manifest", || {
        agent.output().contains("event=no_manifest")
    })
    .await;
    fleet.engines[0].crash(false);
    eventually("the agent is deregistered", || !is_registered()).await;
    fleet.engines[0].restart();
    fleet.origin.fault.set(OriginFault::None);
    wait_all_loaded(&fleet, 2).await;
}

#[actix_rt::test]
async fn an_agent_cut_off_from_the_store_hears_of_a_version_from_entries() {
    let fleet = SoakFleet::start(2, 2).await;
    wait_settled(&fleet).await;
    let agent = fleet.process("agent-0");
    eventually("the agent relies on entries", || {
        agent.output().contains("event=versions_from source=entries")
    })
    .await;
    set_switches(&agent.store_relay, &slow_switches());
    operator::declare_version(&fleet.store, 2);
    wait_all_loaded(&fleet, 2).await;
}

#[actix_rt::test]
async fn agents_hear_of_a_version_from_the_store_when_all_entries_are_cut_off_from_it() {
    let fleet = SoakFleet::start(2, 2).await;
    wait_settled(&fleet).await;
    for entry in fleet.entries() {
        set_switches(&entry.store_relay, &slow_switches());
    }
    operator::declare_version(&fleet.store, 2);
    wait_all_loaded(&fleet, 2).await;
}

#[actix_rt::test]
async fn a_chunk_corrupted_in_the_stage_is_fetched_again_before_the_load() {
    let fleet = SoakFleet::start(1, 4).await;
    wait_settled(&fleet).await;
    operator::declare_version(&fleet.store, 2);
    // Hosts swap one after the other: the last one swaps some seconds after it has staged the
    // version.
    let last_engine = &fleet.engines[3];
    eventually("the version is staged", || last_engine.valid_chunks(2) == CHUNKS).await;
    assert_eq!(last_engine.loaded(), Some(1));
    last_engine.corrupt_chunk(3);
    wait_all_loaded(&fleet, 2).await;
}

/// Waits until the agent has read back the whole stage of a fleet with one engine, with `version` in it.
async fn wait_stage_read(fleet: &SoakFleet, version: u64) {
    let engine = &fleet.engines[0];
    let read = async {
        loop {
            engine.stage_read.notified().await;
            if engine.valid_chunks(version) == CHUNKS {
                return;
            }
        }
    };
    let read = tokio::time::timeout(CONDITION_TIMEOUT, read).await;
    read.expect("the agent verifies the staged version");
}

/// Guards against a load from a stage that was verified long before the order (review/4).
#[actix_rt::test]
async fn a_chunk_corrupted_while_the_agent_is_suspended_after_the_verification_is_not_loaded() {
    let fleet = SoakFleet::start(1, 1).await;
    wait_settled(&fleet).await;
    operator::declare_version(&fleet.store, 2);
    wait_stage_read(&fleet, 2).await;
    let agent = fleet.process("agent-0");
    agent.with_process(|process| process.suspend());
    fleet.engines[0].corrupt_chunk(3);
    actix_rt::time::sleep(UNVERIFIED_TIME).await;
    agent.with_process(|process| process.resume());
    wait_all_loaded(&fleet, 2).await;
}

/// Guards against a load from a stage that was verified long before the order, by an agent that waits for the
/// engine's answers in between.
#[actix_rt::test]
async fn a_chunk_corrupted_while_the_engine_reports_slowly_after_the_verification_is_not_loaded() {
    let fleet = SoakFleet::start(1, 1).await;
    wait_settled(&fleet).await;
    operator::declare_version(&fleet.store, 2);
    wait_stage_read(&fleet, 2).await;
    let engine = &fleet.engines[0];
    engine.report_delay.set(UNVERIFIED_TIME);
    engine.corrupt_chunk(3);
    actix_rt::time::sleep(UNVERIFIED_TIME).await;
    engine.report_delay.set(Duration::ZERO);
    wait_all_loaded(&fleet, 2).await;
}

/// Guards against an agent that keeps a manifest with a wrong digit and never holds the version (review/1).
#[actix_rt::test]
async fn a_version_whose_first_manifests_have_a_wrong_digit_is_loaded() {
    let fleet = SoakFleet::start(1, 2).await;
    wait_settled(&fleet).await;
    fleet.origin.wrong_manifests.set(2);
    operator::declare_version(&fleet.store, 2);
    wait_all_loaded(&fleet, 2).await;
    assert_eq!(fleet.origin.wrong_manifests.get(), 0, "no agent read a wrong manifest");
}

/// Guards against an agent that rejects every chunk, as the manifest names a wrong size.
#[actix_rt::test]
async fn a_version_whose_first_manifests_name_a_wrong_size_is_loaded() {
    let fleet = SoakFleet::start(1, 2).await;
    wait_settled(&fleet).await;
    fleet.origin.wrong_sizes.set(2);
    operator::declare_version(&fleet.store, 2);
    wait_all_loaded(&fleet, 2).await;
    assert_eq!(fleet.origin.wrong_sizes.get(), 0, "no agent read a wrong manifest");
}

#[actix_rt::test]
async fn a_version_that_supersedes_one_still_being_swapped_in_is_loaded_completely() {
    let fleet = SoakFleet::start(1, 4).await;
    wait_settled(&fleet).await;
    operator::declare_version(&fleet.store, 2);
    let last_engine = &fleet.engines[3];
    eventually("the version is staged", || last_engine.valid_chunks(2) == CHUNKS).await;
    // Long enough for the first hosts to begin the swap to version 2.
    actix_rt::time::sleep(Duration::from_millis(1100)).await;
    operator::declare_version(&fleet.store, 3);
    wait_all_loaded(&fleet, 3).await;
    let parking_ended =
        fleet.processes.iter().any(|agent| agent.output().contains("event=parking_ended"));
    assert!(parking_ended, "no agent fetched the newer version during the swaps to the older one");
}
