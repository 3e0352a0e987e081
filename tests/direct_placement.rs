//! End-to-end tests of where requests are sent: entry processes against the stand-in of the platform.

#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use fleet::{DirectFleet, VERSION_TIME_MS, eventually};
use futures_util::future::join_all;
use serde_json::{Value, json};
use standin::operator::{self, RouteTimes};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Time after which a refusal has been delayed.
const PROMPT_REFUSAL: Duration = Duration::from_millis(300);
/// Time after which the entries know each other and are known.
const SETTLING_TIME: Duration = Duration::from_millis(8500);
/// Requests per second that a cold target bears.
const COLD_PER_SECOND: f64 = 12.0;
const COLD_TIME: Duration = Duration::from_secs(4);
const ENTRIES: usize = 3;

/// A configuration with one route, whose requests may be served in `regions`.
fn put_config(fleet: &DirectFleet, version: u64, regions: &Value, cold_per_second: f64) {
    let times = RouteTimes { timeout_ms: 6000, objective_ms: 400 };
    let mut route = operator::route("/plain/", "idempotent", "ledger", times);
    route["allowed_regions"] = regions.clone();
    let services = json!([{
        "name": "ledger", "max_connections": 100, "cold_start_s": 3.0, "cold_per_s": cold_per_second,
    }]);
    operator::put_config(&fleet.store, version, &[route], &services, "secret");
}

#[actix_rt::test]
async fn a_request_that_no_allowed_region_can_serve_is_refused_at_once() {
    // Guards against requests in a region that is not allowed, and against a refusal that is delayed.
    let fleet = DirectFleet::start(2).await;
    put_config(&fleet, 2, &json!(["elsewhere"]), 0.0);
    fleet.wait_status("/plain/x", "secret", 503).await;
    let received = |fleet: &DirectFleet| -> usize {
        fleet.engines.iter().map(|engine| engine.received.borrow().len()).sum()
    };
    let before = received(&fleet);
    for number in 0..20 {
        let started = Instant::now();
        let reply = fleet.get("/plain/x", &format!("refused-{number}")).await;
        assert_eq!(reply.status, 503);
        assert!(started.elapsed() < PROMPT_REFUSAL, "{:?}", started.elapsed());
        let retry_after = reply.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        assert!(retry_after.is_some_and(|seconds| seconds > 0.0), "{retry_after:?}");
    }
    assert_eq!(received(&fleet), before);
    put_config(&fleet, 3, &json!(["elsewhere", "a"]), 0.0);
    fleet.wait_status("/plain/x", "secret", 200).await;
}

/// Sends requests to an entry, one after the other, until `is_over`.
async fn send_until(fleet: &DirectFleet, entry: usize, is_over: &Cell<bool>) {
    let mut number = 0;
    while !is_over.get() {
        fleet.prompt(entry, "/plain/x", &format!("id-{entry}-{number}"), "").await;
        number += 1;
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

#[actix_rt::test]
async fn entries_together_keep_to_what_a_cold_target_bears_and_use_it() {
    // Guards against a target that crashes just after its start, and against one that is avoided.
    let fleet = DirectFleet::start_entries(1, ENTRIES, VERSION_TIME_MS).await;
    put_config(&fleet, 2, &json!([]), COLD_PER_SECOND);
    actix_rt::time::sleep(SETTLING_TIME).await;
    let is_over = Cell::new(false);
    let senders = join_all((0..ENTRIES).map(|entry| send_until(&fleet, entry, &is_over)));
    let steps = async {
        let engine = &fleet.engines[0];
        let received = || engine.received.borrow().len();
        eventually("the target gets requests", || received() > 50).await;
        engine.count_start();
        let mut registration = engine.registration("ledger", "ready");
        registration["cold_remaining_ms"] = json!(COLD_TIME.as_millis());
        fleet.store.put(&format!("servers/{}", engine.id), &registration);
        // The entries have read it by then.
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        let (started, before) = (Instant::now(), received());
        let mut counts = Vec::new();
        while started.elapsed() < Duration::from_secs(3) {
            counts.push((started.elapsed(), received()));
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        is_over.set(true);
        for (from, first) in &counts {
            let in_second =
                counts.iter().filter(|(time, _)| *time < *from + Duration::from_secs(1));
            let most = in_second.map(|(_, count)| count - first.min(count)).max().unwrap_or(0);
            let allowed = COLD_PER_SECOND * 1.5 + 5.0;
            assert!(most as f64 <= allowed, "{most} of {allowed} from {from:?} on");
        }
        let used = received() - before;
        assert!(used as f64 >= COLD_PER_SECOND * 2.0, "{used}");
    };
    futures_util::future::join(steps, senders).await;
}
