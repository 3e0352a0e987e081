//! Random faults at random times, through the real machines and the naive ones.

use crate::inject::Fault;
use crate::invariants::{check, check_caller, outcome, runs_of_key};
use crate::naive::MachineKind;
use crate::simulation::World;
use crate::workload::{WorkKind, submit};
use buckthornwharf_core::code::OutcomeClass;
use buckthornwharf_core::prelude::*;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};
use std::collections::BTreeMap;
use strum::IntoEnumIterator;

const SPAN_MS: u64 = 120;
const SEED: u64 = 5;
const KEY: &str = "a";

#[derive(Debug, Clone)]
struct Scenario {
    calls: Vec<(u64, usize, u8)>,
    faults: Vec<(u64, usize)>,
}

fn scenarios(max_faults: usize) -> impl Strategy<Value = Scenario> {
    let call = (0..SPAN_MS, 0..2_usize, 0..4_u8);
    let fault = (0..SPAN_MS, 0..Fault::iter().count());
    let calls = proptest::collection::vec(call, 1..6);
    let faults = proptest::collection::vec(fault, 0..max_faults);
    (calls, faults).prop_map(|(calls, faults)| Scenario { calls, faults })
}

fn run(kind: MachineKind, scenario: &Scenario) -> World {
    let mut world = World::new(kind, 2, None);
    for (number, (at, entry, work)) in (1..).zip(&scenario.calls) {
        let submit = match work {
            0 => submit(number, WorkKind::Idempotent, None),
            1 => submit(number, WorkKind::Once, None),
            _ => submit(number, WorkKind::Keyed, Some(KEY)),
        };
        world.call(Duration::from_millis(*at), *entry, submit);
    }
    for (at, fault) in &scenario.faults {
        let fault = Fault::iter().nth(*fault).unwrap_or(Fault::None);
        world.fault_at(Duration::from_millis(*at), fault);
    }
    world.run();
    world
}

fn outcomes(world: &World) -> Vec<String> {
    (0..world.callers.len()).map(|caller| outcome(world, caller)).collect()
}

/// What is broken in a world that has run to its end.
fn verdict(world: &World) -> Result<(), String> {
    check(world)?;
    match runs_of_key(world, KEY) {
        0 | 1 => Ok(()),
        runs => Err(format!("{runs} runs of one key")),
    }
}

/// The same scenarios on every run.
fn fixed_runner() -> TestRunner {
    let seed = RngSeed::Fixed(SEED);
    let config = ProptestConfig { rng_seed: seed, ..ProptestConfig::default() };
    TestRunner::new(config)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_faults_never_break_a_promise(scenario in scenarios(4)) {
        let world = run(MachineKind::Real, &scenario);
        prop_assert_eq!(verdict(&world), Ok(()));
    }

    #[test]
    fn without_faults_and_shared_keys_both_agree(scenario in scenarios(1)) {
        let scenario = Scenario { calls: scenario.calls, faults: Vec::new() };
        let is_keyed = |call: &(u64, usize, u8)| call.2 >= 2;
        prop_assume!(scenario.calls.iter().filter(|call| is_keyed(call)).count() < 2);
        let real = outcomes(&run(MachineKind::Real, &scenario));
        let naive = outcomes(&run(MachineKind::Naive, &scenario));
        prop_assert_eq!(real, naive);
    }
}

#[derive(Debug, Default)]
struct PromiseCount {
    callers: u32,
    answered: u32,
    said_not_run: u32,
    unknown: u32,
    runs: u32,
    broken: BTreeMap<&'static str, u32>,
}

impl PromiseCount {
    fn add(&mut self, world: &World) {
        for caller in &world.callers {
            self.callers += 1;
            let class = caller.results.first().map(|code| code.class());
            self.answered += u32::from(class == Some(OutcomeClass::Done));
            self.said_not_run += u32::from(class == Some(OutcomeClass::NotRun));
            self.unknown += u32::from(class == Some(OutcomeClass::Unknown));
            if let Err(reason) = check_caller(world, caller) {
                *self.broken.entry(reason.name()).or_default() += 1;
            }
        }
        self.runs += world.runs.values().sum::<u32>();
        let is_doubled = runs_of_key(world, KEY) > 1;
        if is_doubled {
            *self.broken.entry("key run twice").or_default() += 1;
        }
    }
}

#[test]
fn the_naive_machines_break_what_the_real_ones_keep() {
    let mut runner = fixed_runner();
    let mut real = PromiseCount::default();
    let mut naive = PromiseCount::default();
    for _ in 0..512 {
        let scenario = scenarios(4).new_tree(&mut runner).unwrap().current();
        real.add(&run(MachineKind::Real, &scenario));
        naive.add(&run(MachineKind::Naive, &scenario));
    }
    insta::assert_debug_snapshot!((real, naive), @r#"
    (
        PromiseCount {
            callers: 1527,
            answered: 1210,
            said_not_run: 124,
            unknown: 163,
            runs: 1136,
            broken: {},
        },
        PromiseCount {
            callers: 1527,
            answered: 1261,
            said_not_run: 234,
            unknown: 32,
            runs: 1644,
            broken: {
                "cut_success": 81,
                "false_not_run": 165,
                "foreign_bytes": 2,
                "key run twice": 241,
                "many_runs": 65,
            },
        },
    )
    "#);
}
