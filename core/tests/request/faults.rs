//! Every fault at every step, for each kind of work.

use crate::inject::{Fault, Step};
use crate::invariants::{check, outcome};
use crate::naive::MachineKind;
use crate::simulation::World;
use crate::workload::{WorkKind, submit};
use buckthornwharf_core::prelude::*;
use strum::IntoEnumIterator;

fn run(kind: WorkKind, fault: Fault, step: Step) -> World {
    let mut world = World::new(MachineKind::Real, 1, Some((fault, step)));
    let key = (kind == WorkKind::Keyed).then_some("a");
    world.call(Duration::ZERO, 0, submit(1, kind, key));
    world.run();
    world
}

#[test]
fn every_fault_at_every_step_leaves_a_whole_answer_or_a_true_error() {
    let mut lines = Vec::new();
    let mut broken = Vec::new();
    for kind in WorkKind::iter() {
        for fault in Fault::iter() {
            let mut cells = Vec::new();
            for step in Step::iter() {
                let world = run(kind, fault, step);
                cells.push(format!("{:20}", outcome(&world, 0)));
                if let Err(reason) = check(&world) {
                    broken.push(format!("{kind} {fault} at {step}: {reason}"));
                }
            }
            let cells = cells.concat();
            lines.push(format!("{kind:10} {fault:17} {}", cells.trim_end()));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    insta::assert_snapshot!(lines.join("\n"), @r#"
    idempotent none              ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    idempotent kill_agent        ok/1                ok/1                ok/1                ok/1                ok/2                cut_short/1         cut_short/1         cut_short/1
    idempotent kill_host         ok/1                ok/1                ok/1                ok/1                ok/2                cut_short/1         cut_short/1         cut_short/1
    idempotent cut               ok/1                ok/1                ok/2                ok/2                ok/2                ok/1                ok/1                ok/1
    idempotent silent_link       ok/1                ok/1                ok/2                ok/2                ok/2                ok/1                ok/1                ok/1
    idempotent freeze_agent1s    ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    idempotent freeze_agent8s    ok/2                ok/2                ok/2                ok/2                ok/2                ok/1                ok/1                ok/1
    idempotent freeze_agent30s   ok/2                ok/2                ok/1                ok/1                ok/2                cut_short/1         cut_short/1         ok/1
    idempotent freeze_entry8s    not_serving/0       ok/1                ok/2                ok/2                ok/2                ok/1                ok/1                ok/1
    idempotent freeze_entry30s   deadline_before/0   deadline_during/0   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1
    idempotent crash_target      ok/1                ok/1                ok/2                ok/2                ok/2                cut_short/1         cut_short/1         ok/1
    idempotent late_frames       ok/1                ok/2                ok/2                ok/2                ok/2                ok/1                ok/1                ok/1
    idempotent crossed_frames    ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    idempotent doubled_frames    ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    idempotent lost_claim_answer ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    idempotent store_outage      ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    idempotent slow_store        ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    idempotent late_writes       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    idempotent caller_gone       cancelled/0         cancelled/0         cancelled/1         cancelled/1         cancelled/1         cancelled/1         cancelled/1         cancelled/1
    idempotent gate_shut         ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       none              ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       kill_agent        ok/1                link_lost/0         link_lost/0         link_lost/0         link_lost/1         cut_short/1         cut_short/1         cut_short/1
    once       kill_host         ok/1                link_lost/0         link_lost/0         link_lost/0         link_lost/1         cut_short/1         cut_short/1         cut_short/1
    once       cut               ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       silent_link       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       freeze_agent1s    ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       freeze_agent8s    link_lost/1         ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       freeze_agent30s   link_lost/1         link_lost/1         link_lost/0         link_lost/0         link_lost/1         cut_short/1         cut_short/1         ok/1
    once       freeze_entry8s    not_serving/0       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       freeze_entry30s   deadline_before/0   deadline_during/0   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1
    once       crash_target      ok/1                ok/1                target_failed/1     target_failed/1     target_failed/1     cut_short/1         cut_short/1         ok/1
    once       late_frames       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       crossed_frames    ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       doubled_frames    ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       lost_claim_answer ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       store_outage      ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       slow_store        ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       late_writes       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    once       caller_gone       cancelled/0         cancelled/0         cancelled/1         cancelled/1         cancelled/1         cancelled/1         cancelled/1         cancelled/1
    once       gate_shut         ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      none              ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      kill_agent        ok/1                link_lost/0         link_lost/0         link_lost/0         link_lost/1         cut_short/1         cut_short/1         cut_short/1
    keyed      kill_host         ok/1                link_lost/0         link_lost/0         link_lost/0         link_lost/1         cut_short/1         cut_short/1         cut_short/1
    keyed      cut               ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      silent_link       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      freeze_agent1s    ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      freeze_agent8s    link_lost/1         ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      freeze_agent30s   link_lost/1         link_lost/1         link_lost/0         link_lost/0         link_lost/1         cut_short/1         cut_short/1         ok/1
    keyed      freeze_entry8s    not_serving/0       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      freeze_entry30s   deadline_before/0   deadline_during/0   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1   deadline_during/1
    keyed      crash_target      ok/1                ok/1                ok/1                ok/1                target_failed/1     cut_short/1         cut_short/1         ok/1
    keyed      late_frames       ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      crossed_frames    ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      doubled_frames    ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      lost_claim_answer ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1                ok/1
    keyed      store_outage      platform_down/0     platform_down/0     platform_down/0     platform_down/0     ok/1                ok/1                ok/1                ok/1
    keyed      slow_store        platform_down/0     platform_down/0     platform_down/0     platform_down/0     ok/1                ok/1                ok/1                ok/1
    keyed      late_writes       platform_down/0     platform_down/0     platform_down/0     platform_down/0     ok/1                ok/1                ok/1                ok/1
    keyed      caller_gone       cancelled/0         cancelled/0         cancelled/1         cancelled/1         cancelled/1         cancelled/1         cancelled/1         cancelled/1
    keyed      gate_shut         ok/1                ok/1                key_released/0      key_released/0      ok/1                ok/1                ok/1                ok/1
    "#);
}
