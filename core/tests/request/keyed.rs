//! Requests that carry the same idempotency key.

use crate::inject::{Fault, Step};
use crate::invariants::{check, outcome, runs_of_key};
use crate::naive::MachineKind;
use crate::simulation::World;
use crate::workload::{WorkKind, submit};
use buckthornwharf_core::prelude::*;

const KEY: &str = "a";

/// Calls with one key, each at its entry and time in milliseconds; the outcomes in order.
fn run(fault: Fault, step: Step, calls: &[(u64, usize)]) -> String {
    let mut world = World::new(MachineKind::Real, 2, Some((fault, step)));
    for (number, (at, entry)) in (1..).zip(calls) {
        let submit = submit(number, WorkKind::Keyed, Some(KEY));
        world.call(Duration::from_millis(*at), *entry, submit);
    }
    world.run();
    check(&world).unwrap_or_else(|reason| panic!("{fault} at {step}: {reason}"));
    assert!(runs_of_key(&world, KEY) <= 1, "{fault} at {step}: the key was run twice");
    let outcomes: Vec<String> = (0..calls.len()).map(|caller| outcome(&world, caller)).collect();
    outcomes.join(" ")
}

#[test]
fn a_key_is_run_once_whenever_and_wherever_it_comes_again() {
    let during = [(0, 0), (20, 1), (25, 0)];
    let after = [(0, 0), (1_000, 1), (60_000, 0)];
    let late = [(0, 0), (4_000, 1), (30_000, 1)];
    let lines = [
        format!("during:                {}", run(Fault::None, Step::End, &during)),
        format!("after:                 {}", run(Fault::None, Step::End, &after)),
        format!("agent replaced:        {}", run(Fault::KillAgent, Step::MidStream, &late)),
        format!("agent replaced, ended: {}", run(Fault::KillAgent, Step::End, &late)),
        format!("host gone:             {}", run(Fault::KillHost, Step::Claimed, &late)),
        format!("claim answer lost:     {}", run(Fault::LostClaimAnswer, Step::Claimed, &during)),
        format!("outage:                {}", run(Fault::StoreOutage, Step::Claimed, &during)),
        format!(
            "asked after outage:    {}",
            run(Fault::StoreOutage, Step::Claimed, &[(0, 0), (6_000, 1)])
        ),
        format!("slow store:            {}", run(Fault::SlowStore, Step::Claimed, &during)),
        format!(
            "asked after slowness:  {}",
            run(Fault::SlowStore, Step::Claimed, &[(0, 0), (6_000, 1)])
        ),
        format!("caller gone, again:    {}", run(Fault::CallerGone, Step::Dispatched, &after)),
        format!("late writes:           {}", run(Fault::LateWrites, Step::Claimed, &during)),
        format!(
            "asked after late ones: {}",
            run(Fault::LateWrites, Step::Claimed, &[(0, 0), (3_000, 1), (12_000, 1)])
        ),
        format!(
            "gate shut after claim: {}",
            run(Fault::GateShut, Step::Claimed, &[(0, 0), (1_000, 1), (2_000, 0)])
        ),
    ];
    insta::assert_snapshot!(lines.join("\n"), @r#"
    during:                ok/1 ok/0 ok/0
    after:                 ok/1 ok/0 ok/0
    agent replaced:        cut_short/1 already_claimed/0 already_claimed/0
    agent replaced, ended: cut_short/1 already_claimed/0 already_claimed/0
    host gone:             link_lost/0 ok/1 ok/0
    claim answer lost:     ok/1 ok/0 ok/0
    outage:                platform_down/0 platform_down/0 platform_down/0
    asked after outage:    platform_down/0 ok/1
    slow store:            platform_down/0 platform_down/0 platform_down/0
    asked after slowness:  platform_down/0 ok/1
    caller gone, again:    cancelled/1 ok/0 ok/0
    late writes:           platform_down/0 platform_down/0 platform_down/0
    asked after late ones: platform_down/0 platform_down/0 ok/1
    gate shut after claim: key_released/0 ok/1 ok/0
    "#);
}

#[test]
fn a_key_that_was_refused_without_a_run_can_be_used_at_another_agent() {
    let mut outcomes = Vec::new();
    for fault in [Fault::SlowStore, Fault::LateWrites, Fault::StoreOutage] {
        let mut world = World::new(MachineKind::Real, 2, Some((fault, Step::Claimed)));
        for (number, at) in [(1, 0), (2, 3_000), (3, 15_000), (4, 16_000)] {
            let submit = submit(number, WorkKind::Keyed, Some(KEY));
            world.call(Duration::from_millis(at), 0, submit);
        }
        world.fault_at(Duration::from_secs(10), Fault::GateShut);
        world.run();
        assert_eq!(check(&world), Ok(()));
        assert_eq!(runs_of_key(&world, KEY), 1, "{fault}");
        let results: Vec<String> = (0..4).map(|caller| outcome(&world, caller)).collect();
        outcomes.push(format!("{fault}: {}", results.join(" ")));
    }
    insta::assert_snapshot!(outcomes.join("\n"), @r#"
    slow_store: platform_down/0 platform_down/0 ok/1 ok/0
    late_writes: platform_down/0 platform_down/0 ok/1 ok/0
    store_outage: platform_down/0 platform_down/0 ok/1 ok/0
    "#);
}
