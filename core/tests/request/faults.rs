//! Every fault at every step, for each kind of request.

use crate::inject::{Fault, Step};
use crate::invariants::{check_invariants, outcome};
use crate::naive::MachineKind;
use crate::simulation::Simulation;
use crate::workload::{RequestKind, submit};
use buckthornwharf_core::prelude::*;
use strum::IntoEnumIterator;

fn run(kind: RequestKind, fault: Fault, step: Step) -> Simulation {
    let mut simulation = Simulation::new(MachineKind::Real, 1, Some((fault, step)));
    let key = (kind == RequestKind::Keyed).then_some("a");
    simulation.add_caller(Duration::ZERO, 0, submit(1, kind, key));
    simulation.run();
    simulation
}

#[test]
fn every_fault_at_every_step_ends_in_a_complete_answer_or_a_correct_error() {
    let mut lines = Vec::new();
    let mut violations = Vec::new();
    for kind in RequestKind::iter() {
        for fault in Fault::iter() {
            let mut cells = Vec::new();
            for step in Step::iter() {
                let simulation = run(kind, fault, step);
                cells.push(format!("{:20}", outcome(&simulation, 0)));
                if let Err(violation) = check_invariants(&simulation) {
                    violations.push(format!("{kind} {fault} at {step}: {violation}"));
                }
            }
            let cells = cells.concat();
            lines.push(format!("{kind:10} {fault:17} {}", cells.trim_end()));
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    insta::assert_snapshot!(lines.join("\n"), @r#"
    idempotent none              ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    idempotent kill_agent        ok/1                ok/1                ok/1                ok/1                ok/2                cut_short/1         cut_short/1         cut_short/1
    idempotent kill_host         ok/1                ok/1                ok/1                ok/1                ok/2                cut_short/1         cut_short/1         cut_short/1
    idempotent link_cut          ok/1                ok/1                ok/2                ok/2                ok/2                ok/1                ok/1                ok/1
    idempotent silent_link       ok/1                ok/1                ok/2                ok/2                ok/2                ok/1                ok/1                ok/1
    idempotent suspend_agent1s   ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    idempotent suspend_agent8s   ok/2                ok/2                ok/2                ok/2                ok/2                ok/1                ok/1                ok/1
    idempotent suspend_agent30s  ok/2                ok/2                ok/1                ok/1                ok/2                cut_short/1         cut_short/1         ok/1
    idempotent suspend_entry8s   not_serving/0       ok/1                ok/2                ok/2                ok/2                ok/1                ok/1                ok/1
    idempotent suspend_entry30s  deadline_before/0   deadline_during/0   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1
    idempotent crash_target      ok/1                ok/1                ok/2                ok/2                ok/2                cut_short/1         cut_short/1         ok/1
    idempotent late_frames       ok/1                ok/2                ok/2                ok/2                ok/2                ok/1                ok/1                ok/1
    idempotent reordered_frames  ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    idempotent duplicated_frames ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    idempotent lost_claim_answer ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    idempotent store_outage      ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    idempotent slow_store        ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    idempotent late_writes       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    idempotent caller_gone       cancelled/0         cancelled/0         cancelled/1         cancelled/1         cancelled/1         cancelled/1         cancelled/1         cancelled/1
    idempotent gate_closed       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       none              ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       kill_agent        ok/1                link_lost/0         link_lost/0         link_lost/0         link_lost/1         cut_short/1         cut_short/1         cut_short/1
    once       kill_host         ok/1                link_lost/0         link_lost/0         link_lost/0         link_lost/1         cut_short/1         cut_short/1         cut_short/1
    once       link_cut          ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       silent_link       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       suspend_agent1s   ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       suspend_agent8s   link_lost/1         ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       suspend_agent30s  link_lost/1         link_lost/1         link_lost/0         link_lost/0         link_lost/1         cut_short/1         cut_short/1         ok/1
    once       suspend_entry8s   not_serving/0       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       suspend_entry30s  deadline_before/0   deadline_during/0   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1
    once       crash_target      ok/1                ok/1                target_failed/1     target_failed/1     target_failed/1     cut_short/1         cut_short/1         ok/1
    once       late_frames       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       reordered_frames  ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       duplicated_frames ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       lost_claim_answer ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       store_outage      ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       slow_store        ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       late_writes       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       caller_gone       cancelled/0         cancelled/0         cancelled/1         cancelled/1         cancelled/1         cancelled/1         cancelled/1         cancelled/1
    once       gate_closed       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      none              ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      kill_agent        ok/1                link_lost/0         link_lost/0         link_lost/0         link_lost/1         cut_short/1         cut_short/1         cut_short/1
    keyed      kill_host         ok/1                link_lost/0         link_lost/0         link_lost/0         link_lost/1         cut_short/1         cut_short/1         cut_short/1
    keyed      link_cut          ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      silent_link       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      suspend_agent1s   ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      suspend_agent8s   link_lost/1         ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      suspend_agent30s  link_lost/1         link_lost/1         link_lost/0         link_lost/0         link_lost/1         cut_short/1         cut_short/1         ok/1
    keyed      suspend_entry8s   not_serving/0       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      suspend_entry30s  deadline_before/0   deadline_during/0   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1
    keyed      crash_target      ok/1                ok/1                ok/1                ok/1                target_failed/1     cut_short/1         cut_short/1         ok/1
    keyed      late_frames       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      reordered_frames  ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      duplicated_frames ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      lost_claim_answer ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      store_outage      platform_down/0     platform_down/0     platform_down/0     platform_down/0     ok/1                ok/1                ok/1                ok/1
    keyed      slow_store        platform_down/0     platform_down/0     platform_down/0     platform_down/0     ok/1                ok/1                ok/1                ok/1
    keyed      late_writes       platform_down/0     platform_down/0     platform_down/0     platform_down/0     ok/1                ok/1                ok/1                ok/1
    keyed      caller_gone       cancelled/0         cancelled/0         cancelled/1         cancelled/1         cancelled/1         cancelled/1         cancelled/1         cancelled/1
    keyed      gate_closed       ok/1                ok/1                key_released/0      key_released/0      ok/1                ok/1                ok/1                ok/1
    "#);
}
