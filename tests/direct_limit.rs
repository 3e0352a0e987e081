//! End-to-end tests of targets that name a limit of their request rate: entry processes against the
//! stand-in of the platform.

#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use fleet::{DirectFleet, VERSION_TIME_MS, eventually};
use futures_util::future::join_all;
use std::cell::Cell;
use std::future::Future;
use std::time::{Duration, Instant};

/// Pause of a caller between two requests.
const SEND_INTERVAL: Duration = Duration::from_millis(5);

/// Requests per second that a limited target takes.
const LIMIT: f64 = 2.5;
/// Time for which requests are counted at least.
const COUNTED_TIME: Duration = Duration::from_secs(4);
/// Time for which the entries may still go by what targets said before.
const SETTLING_TIME: Duration = Duration::from_millis(500);
const ENTRIES: usize = 3;

/// Sends requests to an entry, one after the other, until `is_over`.
async fn send_until(fleet: &DirectFleet, entry: usize, is_over: &Cell<bool>) {
    let mut number = 0;
    while !is_over.get() {
        fleet.prompt(entry, "/plain/x", &format!("id-{entry}-{number}"), "").await;
        number += 1;
        actix_rt::time::sleep(SEND_INTERVAL).await;
    }
}

/// Sends requests through all entries until `steps` is complete.
async fn send_during<T>(fleet: &DirectFleet, steps: impl Future<Output = T>) -> T {
    let is_over = Cell::new(false);
    let senders = join_all((0..ENTRIES).map(|entry| send_until(fleet, entry, &is_over)));
    let steps = async {
        let result = steps.await;
        is_over.set(true);
        result
    };
    futures_util::future::join(steps, senders).await.0
}

/// Counts the requests that `targets` get, and asserts that they keep to the limit of each: in the time
/// counted, at most one and a half times what it allows, and 5.
async fn assert_limited(fleet: &DirectFleet, targets: &[usize]) {
    actix_rt::time::sleep(SETTLING_TIME).await;
    let received = |target: usize| fleet.engines[target].received.borrow().len();
    let before: Vec<usize> = targets.iter().map(|target| received(*target)).collect();
    let started = Instant::now();
    actix_rt::time::sleep(COUNTED_TIME).await;
    let most = LIMIT * 1.5 * started.elapsed().as_secs_f64() + 5.0;
    for (target, before) in targets.iter().zip(before) {
        let count = received(*target) - before;
        assert!(count > 0, "target {target} got no requests");
        assert!(count as f64 <= most, "target {target} got {count} requests of at most {most}");
    }
}

fn set_limit(fleet: &DirectFleet, target: usize, limit: Option<f64>) {
    fleet.engines[target].limit.replace(limit.map(|limit| limit.to_string()));
}

async fn wait_requests(fleet: &DirectFleet, target: usize, count: usize) {
    let received = || fleet.engines[target].received.borrow().len();
    let before = received();
    eventually("the target gets requests", || received() >= before + count).await;
}

#[actix_rt::test]
async fn entries_together_keep_to_the_limit_that_a_target_names() {
    let fleet = DirectFleet::start_entries(2, ENTRIES, VERSION_TIME_MS).await;
    set_limit(&fleet, 0, Some(LIMIT));
    send_during(&fleet, async {
        wait_requests(&fleet, 0, 2 * ENTRIES).await;
        assert_limited(&fleet, &[0]).await;
    })
    .await;
}

#[actix_rt::test]
async fn a_target_gets_requests_again_when_it_no_longer_names_a_limit() {
    let fleet = DirectFleet::start_entries(1, ENTRIES, VERSION_TIME_MS).await;
    set_limit(&fleet, 0, Some(LIMIT));
    send_during(&fleet, async {
        wait_requests(&fleet, 0, 2 * ENTRIES).await;
        set_limit(&fleet, 0, None);
        wait_requests(&fleet, 0, 100).await;
    })
    .await;
}

#[actix_rt::test]
async fn requests_that_no_limited_target_can_take_are_refused_at_once() {
    let fleet = DirectFleet::start_entries(2, ENTRIES, VERSION_TIME_MS).await;
    set_limit(&fleet, 0, Some(LIMIT));
    set_limit(&fleet, 1, Some(LIMIT));
    send_during(&fleet, async {
        wait_requests(&fleet, 0, 2 * ENTRIES).await;
        assert_limited(&fleet, &[0, 1]).await;
        let mut refused = None;
        for number in 0..20 {
            let reply = fleet.get("/plain/x", &format!("refused-{number}")).await;
            refused = (reply.status == 503).then_some(reply).or(refused);
        }
        let refused = refused.expect("no request is refused");
        let retry_after = refused.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        assert!(retry_after.is_some_and(|seconds| seconds > 0.0), "{retry_after:?}");
    })
    .await;
}

#[actix_rt::test]
async fn an_entry_that_restarts_learns_of_a_limit_again() {
    let mut fleet = DirectFleet::start_entries(2, ENTRIES, VERSION_TIME_MS).await;
    set_limit(&fleet, 0, Some(LIMIT));
    send_during(&fleet, wait_requests(&fleet, 0, 2 * ENTRIES)).await;
    fleet.restart_entry(0).await;
    send_during(&fleet, async {
        wait_requests(&fleet, 0, 2 * ENTRIES).await;
        assert_limited(&fleet, &[0]).await;
    })
    .await;
}
