//! Evacuated sites: entries and agents as processes, against the stand-in of the platform.
//!
//! Each test guards against a process that sends requests to an evacuated site later than
//! [`COMPLIANCE_TIME`] after the operator's write.

#[allow(dead_code)]
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use buckthornwharf_standin::fleet::FleetProcess;
use buckthornwharf_standin::relay::RelaySwitches;
use fleet::{SoakFleet, SoakProcess, eventually, set_switches};
use standin::store::StoreFault;
use standin::{caller, operator};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after the operator's write from which nothing may be sent to an evacuated site.
const COMPLIANCE_TIME: Duration = Duration::from_secs(5);
/// Pause between requests of the callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which callers go on after all processes have to comply.
const OBSERVED_TIME: Duration = Duration::from_millis(1500);

/// A fleet with two entries and four agents in the sites `a` and `b`, all of whose links are up, with
/// a caller at each entry. The first entry sends requests to `a`, the second one to `b`.
struct EvacuationFleet {
    fleet: Rc<SoakFleet>,
    stopped: Rc<Cell<bool>>,
}

impl EvacuationFleet {
    async fn start() -> Self {
        let fleet = Rc::new(SoakFleet::start(2, 4).await);
        let loaded = || fleet.engines.iter().all(|engine| engine.loaded() == Some(1));
        eventually("all engines load version 1", loaded).await;
        let stopped = Rc::new(Cell::new(false));
        for name in ["entry-0", "entry-1"] {
            let (fleet, stopped) = (fleet.clone(), stopped.clone());
            actix_rt::spawn(async move {
                for number in 0_u32.. {
                    if stopped.get() {
                        return;
                    }
                    actix_rt::time::sleep(REQUEST_INTERVAL).await;
                    if let Some(address) = fleet.process(name).callers.get() {
                        let id = format!("{name}-{number}");
                        caller::send(address, "/plain/x", &id, "key-1").await;
                    }
                }
            });
        }
        let fleet = Self { fleet, stopped };
        fleet.wait_used("entry-0", "a").await;
        fleet.wait_used("entry-1", "b").await;
        fleet
    }

    fn process(&self, name: &str) -> &SoakProcess {
        self.fleet.process(name)
    }

    /// Cuts off a process from the store.
    fn turn_away(&self, name: &str) {
        let refuse = RelaySwitches { refuse: true, ..RelaySwitches::default() };
        set_switches(&self.process(name).store_relay, &refuse);
    }

    /// Evacuates `site` and returns the time of the write.
    fn evacuate(&self, site: &str) -> Instant {
        operator::evacuate(&self.fleet.store, site);
        Instant::now()
    }

    /// Waits until all processes have to comply with an evacuation that was written at `written`, and
    /// for a while longer; checks that nothing was sent there later, and that the other site is used.
    async fn check_empty(&self, site: &str, written: Instant) {
        tokio::time::sleep_until(written + COMPLIANCE_TIME + OBSERVED_TIME).await;
        let runs = self.fleet.recorder.runs.borrow();
        for entry in ["entry-0", "entry-1"] {
            let of_entry = || runs.iter().filter(|run| run.id.starts_with(entry));
            let last = of_entry().filter(|run| run.site == site).map(|run| run.started_at).max();
            let last_after = last.map(|last| last.saturating_duration_since(written));
            assert!(
                last_after.is_none_or(|after| after < COMPLIANCE_TIME),
                "{entry} sent a request to {site} {last_after:?} after the evacuation"
            );
            println!("{entry}: last request in {site} {last_after:?} after the evacuation");
            let others = of_entry()
                .filter(|run| run.site != site && run.started_at > written + COMPLIANCE_TIME);
            assert!(others.count() > 0, "{entry} no longer sends requests to the other site");
        }
    }

    /// Waits until requests of `entry` run in `site`.
    async fn wait_used(&self, entry: &str, site: &str) {
        let runs = || {
            let runs = self.fleet.recorder.runs.borrow();
            let mut matching =
                runs.iter().filter(|run| run.id.starts_with(entry) && run.site == site);
            matching.any(|run| run.started_at.elapsed() <= Duration::from_millis(100))
        };
        eventually("requests of the entry run in the site", runs).await;
    }

    /// Stops the callers.
    async fn stop(self) {
        self.stopped.set(true);
        // The callers end their requests before the fleet does.
        actix_rt::time::sleep(Duration::from_millis(300)).await;
    }
}

#[actix_rt::test]
async fn an_evacuated_site_empties_loads_new_versions_and_is_used_again_when_that_is_withdrawn() {
    let fleet = EvacuationFleet::start().await;
    let written = fleet.evacuate("a");
    operator::declare_version(&fleet.fleet.store, 2);
    fleet.check_empty("a", written).await;
    let loaded = || fleet.fleet.engines.iter().all(|engine| engine.loaded() == Some(2));
    eventually("evacuated hosts load the new version, too", loaded).await;
    operator::withdraw_evacuation(&fleet.fleet.store, "a");
    fleet.wait_used("entry-0", "a").await;
    let written = fleet.evacuate("a");
    fleet.check_empty("a", written).await;
    fleet.stop().await;
}

#[actix_rt::test]
async fn requests_are_refused_at_once_while_all_sites_are_evacuated() {
    let fleet = EvacuationFleet::start().await;
    let written = fleet.evacuate("a");
    fleet.evacuate("b");
    fleet.evacuate("without-targets");
    tokio::time::sleep_until(written + COMPLIANCE_TIME).await;
    let address = fleet.process("entry-0").callers.get().expect("the entry runs");
    let asked = Instant::now();
    let reply = caller::send(address, "/once/x", "late", "key-1").await;
    assert_eq!(reply.status, Some(503));
    assert!(asked.elapsed() < Duration::from_millis(200), "refused after {:?}", asked.elapsed());
    operator::withdraw_evacuation(&fleet.fleet.store, "b");
    fleet.wait_used("entry-0", "b").await;
    fleet.check_empty("a", written).await;
    fleet.stop().await;
}

#[actix_rt::test]
async fn an_entry_that_the_store_turns_away_hears_of_evacuations_from_agents() {
    let fleet = EvacuationFleet::start().await;
    fleet.turn_away("entry-1");
    let written = fleet.evacuate("b");
    fleet.check_empty("b", written).await;
    operator::withdraw_evacuation(&fleet.fleet.store, "b");
    fleet.wait_used("entry-1", "b").await;
    let written = fleet.evacuate("b");
    fleet.check_empty("b", written).await;
    fleet.stop().await;
}

#[actix_rt::test]
async fn agents_read_evacuations_themselves_if_the_store_turns_all_entries_away() {
    let fleet = EvacuationFleet::start().await;
    for name in ["entry-0", "entry-1", "agent-0", "agent-1", "agent-2"] {
        fleet.turn_away(name);
    }
    let written = fleet.evacuate("a");
    fleet.check_empty("a", written).await;
    fleet.stop().await;
}

#[actix_rt::test]
async fn an_evacuation_holds_while_the_store_is_down_and_in_entries_that_start_meanwhile() {
    let fleet = EvacuationFleet::start().await;
    let written = fleet.evacuate("a");
    fleet.check_empty("a", written).await;
    fleet.fleet.store.fault.set(StoreFault::Busy);
    tokio::time::sleep_until(written + COMPLIANCE_TIME * 2).await;
    fleet.check_empty("a", written).await;
    fleet.fleet.store.fault.set(StoreFault::None);
    fleet.process("entry-0").restart(fleet.fleet.folder(), Duration::ZERO).await;
    fleet.wait_used("entry-0", "b").await;
    fleet.check_empty("a", written).await;
    fleet.stop().await;
}

#[actix_rt::test]
async fn other_links_carry_an_evacuation_if_some_are_cut() {
    let fleet = EvacuationFleet::start().await;
    fleet.turn_away("entry-1");
    for name in ["agent-0", "agent-1", "agent-2"] {
        fleet.process(name).with_process(FleetProcess::suspend);
    }
    let written = fleet.evacuate("b");
    fleet.check_empty("b", written).await;
    for name in ["agent-0", "agent-1", "agent-2"] {
        fleet.process(name).with_process(FleetProcess::resume);
    }
    fleet.stop().await;
}

#[actix_rt::test]
async fn the_value_of_a_store_that_was_set_back_holds() {
    let fleet = EvacuationFleet::start().await;
    let empty = fleet.fleet.store.revision();
    let written = fleet.evacuate("a");
    fleet.check_empty("a", written).await;
    fleet.fleet.store.set_back(empty);
    fleet.wait_used("entry-0", "a").await;
    let written = fleet.evacuate("b");
    fleet.check_empty("b", written).await;
    fleet.stop().await;
}

#[actix_rt::test]
async fn a_fleet_without_evacuations_does_not_read_them_from_the_store() {
    let fleet = EvacuationFleet::start().await;
    assert!(!fleet.fleet.store.is_watched("op/evacuate/"), "agents hear of them from entries");
    fleet.turn_away("entry-0");
    fleet.turn_away("entry-1");
    let watched = || fleet.fleet.store.is_watched("op/evacuate/");
    eventually("agents watch them if the store turns all entries away", watched).await;
    fleet.stop().await;
}
