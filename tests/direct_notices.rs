//! End-to-end tests of what targets say of themselves in their answers: an entry process against the
//! stand-in of the platform.

#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use fleet::{DirectFleet, eventually};
use standin::engine::EngineBehaviour;
use std::time::Duration;
use tokio::time::Instant;

/// Sends requests until a target has received one.
async fn send_until_received(fleet: &DirectFleet, target: usize, name: &str) {
    for number in 0..100 {
        if !fleet.engines[target].received.borrow().is_empty() {
            return;
        }
        fleet.get("/plain/x", &format!("{name}-{number}")).await;
    }
    panic!("target {target} received no request");
}

#[actix_rt::test]
async fn a_target_that_says_that_it_leaves_gets_no_further_requests() {
    let fleet = DirectFleet::start(2).await;
    let engine = &fleet.engines[0];
    engine.is_leaving.set(true);
    send_until_received(&fleet, 0, "first").await;
    engine.received.borrow_mut().clear();
    // Its registration still says that it is ready, and is written again.
    fleet.set_state(0, "draining");
    fleet.store.remove("servers/engine-0");
    fleet.set_state(0, "ready");
    for number in 0..20 {
        let reply = fleet.get("/plain/x", &format!("later-{number}")).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-1"));
    }
    assert!(engine.received.borrow().is_empty());
    engine.is_leaving.set(false);
    engine.count_start();
    fleet.set_state(0, "ready");
    let deadline = Instant::now() + Duration::from_secs(20);
    while engine.received.borrow().is_empty() {
        assert!(Instant::now() < deadline, "it gets no requests after it started again");
        fleet.get("/plain/x", "again").await;
    }
}

#[actix_rt::test]
async fn a_target_that_asks_for_a_pause_gets_no_requests_before_its_end() {
    let fleet = DirectFleet::start(2).await;
    let engine = &fleet.engines[0];
    engine.behaviour.set(EngineBehaviour::Shed);
    engine.retry_after.replace(Some("1.500".to_owned()));
    let before = Instant::now();
    send_until_received(&fleet, 0, "first").await;
    engine.received.borrow_mut().clear();
    engine.behaviour.set(EngineBehaviour::Serve);
    while engine.received.borrow().is_empty() {
        let reply = fleet.get("/plain/x", "later").await;
        assert_eq!(reply.status, 200);
    }
    let pause = before.elapsed();
    assert!(pause >= Duration::from_millis(1500), "it got a request after {pause:?}");
}

#[actix_rt::test]
async fn a_request_that_no_target_accepts_before_the_end_of_its_pause_is_refused_at_once() {
    let fleet = DirectFleet::start(1).await;
    let engine = &fleet.engines[0];
    engine.behaviour.set(EngineBehaviour::Shed);
    engine.retry_after.replace(Some("30".to_owned()));
    send_until_received(&fleet, 0, "first").await;
    engine.received.borrow_mut().clear();
    let reply = fleet.get("/plain/x", "later").await;
    assert_eq!(reply.status, 503);
    let retry_after = reply.header("retry-after").and_then(|text| text.parse::<f64>().ok());
    assert!(retry_after.is_some_and(|seconds| seconds > 20.0), "{retry_after:?}");
    assert!(engine.received.borrow().is_empty());
}

#[actix_rt::test]
async fn a_malformed_pause_is_ignored() {
    let fleet = DirectFleet::start(1).await;
    let engine = &fleet.engines[0];
    for value in ["soon", "-3", "0", "NaN", "", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        engine.behaviour.set(EngineBehaviour::Shed);
        engine.retry_after.replace(Some(value.to_owned()));
        engine.received.borrow_mut().clear();
        send_until_received(&fleet, 0, "first").await;
        engine.behaviour.set(EngineBehaviour::Serve);
        fleet.wait_status("/plain/x", "secret", 200).await;
    }
    eventually("the entry serves", || engine.runs() > 0).await;
}
