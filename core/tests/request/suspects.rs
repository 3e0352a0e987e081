//! A request that crashes targets, and other requests at the same time.

use crate::invariants::{check_invariants, outcome};
use crate::naive::MachineKind;
use crate::simulation::Simulation;
use crate::workload::{RequestKind, submit};
use buckthornwharf_core::prelude::*;

#[test]
fn poisonous_request_is_refused_and_concurrent_requests_are_answered() {
    let mut simulation = Simulation::new(MachineKind::Real, 2, None);
    let poisonous = submit(1, RequestKind::Idempotent, None);
    let fingerprint = poisonous.fingerprint;
    simulation.hosts.iter_mut().for_each(|host| host.poison.push(fingerprint));
    for innocent in 2..6 {
        simulation.add_caller(Duration::ZERO, 0, submit(innocent, RequestKind::Idempotent, None));
    }
    simulation.add_caller(Duration::from_millis(10), 0, poisonous.clone());
    for (number, at) in [(11, 5_000), (12, 6_000), (13, 70_000)] {
        let repeated =
            buckthornwharf_core::frame::SubmitFrame { id: RequestId(number), ..poisonous.clone() };
        simulation.add_caller(Duration::from_millis(at), 1, repeated);
    }
    simulation.run();
    check_invariants(&simulation).unwrap();
    let outcomes = (0..simulation.callers.len()).map(|caller| outcome(&simulation, caller));
    let outcomes: Vec<String> = outcomes.collect();
    insta::assert_snapshot!(outcomes.join(" "), @"ok/2 ok/2 ok/2 ok/2 poisonous/2 poisonous/0 poisonous/0 poisonous/0");
}
