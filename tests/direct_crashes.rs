//! End-to-end tests of requests that crash targets: entry processes against the stand-in of the platform.

#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use fleet::{DirectFleet, VERSION_TIME_MS};
use std::time::Duration;

/// Crashes after which a part may reach targets only `MAX_LATE_REQUESTS` more times.
const KNOWN_CRASHES: u32 = 5;
const MAX_LATE_REQUESTS: u32 = 3;
/// Longer than any test: a crashed target stays down.
const FOR_EVER: Duration = Duration::from_secs(600);

/// Starts entries and targets that crash on any of `crashing_parts` and stay down.
async fn start(entries: usize, targets: usize, crashing_parts: &[&str]) -> DirectFleet {
    let fleet = DirectFleet::start_entries(targets, entries, VERSION_TIME_MS).await;
    for engine in &fleet.engines {
        engine.restart_delay.set(FOR_EVER);
        let parts = crashing_parts.iter().map(|part| (*part).to_owned());
        engine.crashing_parts.borrow_mut().extend(parts);
    }
    fleet
}

fn crashes(fleet: &DirectFleet) -> u32 {
    fleet.engines.iter().map(|engine| engine.crashes.get()).sum()
}

/// Sends sound requests that share their first part with those that crash targets; returns how many
/// were served.
async fn serve_sound(fleet: &DirectFleet, entry: usize, count: usize, name: &str) -> usize {
    let mut served = 0;
    for number in 0..count {
        let id = format!("sound-{name}-{entry}-{number}");
        let reply = fleet.prompt(entry, "/stream/x", &id, &format!("a0:40,{id}:9")).await;
        served += usize::from(reply.status == 200 && reply.complete);
    }
    served
}

#[actix_rt::test]
#[ignore = "known red"]
async fn requests_with_a_part_that_crashes_targets_stop_reaching_them() {
    let fleet = start(2, 12, &["bad"]).await;
    for number in 0..30 {
        let id = format!("crash-{number}");
        let parts = format!("a0:40,bad:800,{id}:9");
        let reply = fleet.prompt(number % 2, "/stream/x", &id, &parts).await;
        assert_ne!(reply.status, 200);
        serve_sound(&fleet, number % 2, 1, &id).await;
    }
    let crashed = crashes(&fleet);
    assert!(crashed <= KNOWN_CRASHES + MAX_LATE_REQUESTS, "{crashed} targets crashed");
    for entry in 0..2 {
        assert_eq!(serve_sound(&fleet, entry, 10, "after").await, 10, "entry {entry}");
    }
}

#[actix_rt::test]
#[ignore = "known red"]
async fn a_whole_request_that_crashes_targets_stops_reaching_them() {
    let fleet = start(2, 12, &["bad"]).await;
    for number in 0..20 {
        let reply = fleet.prompt(number % 2, "/once/x", "same", "bad:800").await;
        assert_ne!(reply.status, 200);
        serve_sound(&fleet, number % 2, 1, &format!("{number}")).await;
    }
    let crashed = crashes(&fleet);
    assert!(crashed <= KNOWN_CRASHES + MAX_LATE_REQUESTS, "{crashed} targets crashed");
}
