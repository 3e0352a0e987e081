//! Requests with the same idempotency key.

use crate::inject::{Fault, Step};
use crate::invariants::{check_invariants, outcome, runs_of_key};
use crate::naive::MachineKind;
use crate::simulation::Simulation;
use crate::workload::{RequestKind, submit};
use buckthornwharf_core::prelude::*;

const KEY: &str = "a";

/// Runs calls with the same key, each given by its time in milliseconds and its entry. Returns the
/// outcomes in order.
fn run(fault: Fault, step: Step, calls: &[(u64, usize)]) -> String {
    let mut simulation = Simulation::new(MachineKind::Real, 2, Some((fault, step)));
    for (number, (at, entry)) in (1..).zip(calls) {
        let submit = submit(number, RequestKind::Keyed, Some(KEY));
        simulation.add_caller(Duration::from_millis(*at), *entry, submit);
    }
    simulation.run();
    check_invariants(&simulation)
        .unwrap_or_else(|violation| panic!("{fault} at {step}: {violation}"));
    assert!(runs_of_key(&simulation, KEY) <= 1, "{fault} at {step}: the key was run twice");
    let outcomes: Vec<String> =
        (0..calls.len()).map(|caller| outcome(&simulation, caller)).collect();
    outcomes.join(" ")
}

#[test]
fn key_runs_at_most_once_at_any_time_and_entry() {
    let during_run = [(0, 0), (20, 1), (25, 0)];
    let after_run = [(0, 0), (1_000, 1), (60_000, 0)];
    let after_failure = [(0, 0), (4_000, 1), (30_000, 1)];
    let lines = [
        format!("during:                {}", run(Fault::None, Step::End, &during_run)),
        format!("after:                 {}", run(Fault::None, Step::End, &after_run)),
        format!(
            "agent replaced:        {}",
            run(Fault::KillAgent, Step::MidStream, &after_failure)
        ),
        format!("agent replaced, ended: {}", run(Fault::KillAgent, Step::End, &after_failure)),
        format!("host gone:             {}", run(Fault::KillHost, Step::Claimed, &after_failure)),
        format!(
            "claim answer lost:     {}",
            run(Fault::LostClaimAnswer, Step::Claimed, &during_run)
        ),
        format!("store outage:          {}", run(Fault::StoreOutage, Step::Claimed, &during_run)),
        format!(
            "after store outage:    {}",
            run(Fault::StoreOutage, Step::Claimed, &[(0, 0), (6_000, 1)])
        ),
        format!("slow store:            {}", run(Fault::SlowStore, Step::Claimed, &during_run)),
        format!(
            "after slow store:      {}",
            run(Fault::SlowStore, Step::Claimed, &[(0, 0), (6_000, 1)])
        ),
        format!("caller gone, retried:  {}", run(Fault::CallerGone, Step::Dispatched, &after_run)),
        format!("late writes:           {}", run(Fault::LateWrites, Step::Claimed, &during_run)),
        format!(
            "after late writes:     {}",
            run(Fault::LateWrites, Step::Claimed, &[(0, 0), (3_000, 1), (12_000, 1)])
        ),
        format!(
            "gate closed at claim:  {}",
            run(Fault::GateClosed, Step::Claimed, &[(0, 0), (1_000, 1), (2_000, 0)])
        ),
    ];
    insta::assert_snapshot!(lines.join("\n"), @r#"
    during:                ok/1 ok/0 ok/0
    after:                 ok/1 ok/0 ok/0
    agent replaced:        cut_short/1 already_claimed/0 already_claimed/0
    agent replaced, ended: cut_short/1 already_claimed/0 already_claimed/0
    host gone:             link_lost/0 ok/1 ok/0
    claim answer lost:     ok/1 ok/0 ok/0
    store outage:          platform_down/0 platform_down/0 platform_down/0
    after store outage:    platform_down/0 ok/1
    slow store:            platform_down/0 platform_down/0 platform_down/0
    after slow store:      platform_down/0 ok/1
    caller gone, retried:  cancelled/1 ok/0 ok/0
    late writes:           platform_down/0 platform_down/0 platform_down/0
    after late writes:     platform_down/0 platform_down/0 ok/1
    gate closed at claim:  key_released/0 ok/1 ok/0
    "#);
}

#[test]
fn key_refused_without_a_run_can_be_used_at_another_agent() {
    let mut outcomes = Vec::new();
    for fault in [Fault::SlowStore, Fault::LateWrites, Fault::StoreOutage] {
        let mut simulation = Simulation::new(MachineKind::Real, 2, Some((fault, Step::Claimed)));
        for (number, at) in [(1, 0), (2, 3_000), (3, 15_000), (4, 16_000)] {
            let submit = submit(number, RequestKind::Keyed, Some(KEY));
            simulation.add_caller(Duration::from_millis(at), 0, submit);
        }
        simulation.schedule_fault(Duration::from_secs(10), Fault::GateClosed);
        simulation.run();
        assert_eq!(check_invariants(&simulation), Ok(()));
        assert_eq!(runs_of_key(&simulation, KEY), 1, "{fault}");
        let results: Vec<String> = (0..4).map(|caller| outcome(&simulation, caller)).collect();
        outcomes.push(format!("{fault}: {}", results.join(" ")));
    }
    insta::assert_snapshot!(outcomes.join("\n"), @r#"
    slow_store: platform_down/0 platform_down/0 ok/1 ok/0
    late_writes: platform_down/0 platform_down/0 ok/1 ok/0
    store_outage: platform_down/0 platform_down/0 ok/1 ok/0
    "#);
}
