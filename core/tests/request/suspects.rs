//! A request that crashes targets, and others beside it.

use crate::invariants::{check, outcome};
use crate::naive::MachineKind;
use crate::simulation::World;
use crate::workload::{WorkKind, submit};
use buckthornwharf_core::prelude::*;

#[test]
fn a_request_that_crashes_targets_is_refused_and_those_beside_it_are_answered() {
    let mut world = World::new(MachineKind::Real, 2, None);
    let poisonous = submit(1, WorkKind::Idempotent, None);
    let fingerprint = poisonous.fingerprint;
    world.hosts.iter_mut().for_each(|host| host.poison.push(fingerprint));
    for innocent in 2..6 {
        world.call(Duration::ZERO, 0, submit(innocent, WorkKind::Idempotent, None));
    }
    world.call(Duration::from_millis(10), 0, poisonous.clone());
    for (number, at) in [(11, 5_000), (12, 6_000), (13, 70_000)] {
        let again =
            buckthornwharf_core::frame::SubmitFrame { id: RequestId(number), ..poisonous.clone() };
        world.call(Duration::from_millis(at), 1, again);
    }
    world.run();
    check(&world).unwrap();
    let outcomes = (0..world.callers.len()).map(|caller| outcome(&world, caller));
    let outcomes: Vec<String> = outcomes.collect();
    insta::assert_snapshot!(outcomes.join(" "), @"ok/2 ok/2 ok/2 ok/2 poisonous/2 poisonous/0 poisonous/0 poisonous/0");
}
