//! End-to-end tests of one request that comes again and crashes each target of a small service.

#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use actix_http::Method;
use fleet::{DirectFleet, VERSION_TIME_MS};
use std::time::{Duration, Instant};

const ENTRIES: usize = 3;
/// Crashes after which the request may reach targets only `MAX_LATE_REQUESTS` more times, once the entries
/// have had `KNOWN_WITHIN` to learn of it.
const KNOWN_CRASHES: u32 = 3;
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
const MAX_LATE_REQUESTS: u32 = 3;
/// Time for which the request comes again after that: some restarts of the targets.
const REPEAT_TIME: Duration = Duration::from_secs(8);
const REPEAT_INTERVAL: Duration = Duration::from_millis(60);
/// Time for which a target is down after a crash.
const RESTART_TIME: Duration = Duration::from_millis(3250);

/// The request that crashes targets.
#[derive(Debug, Clone)]
struct CrashingRequest {
    method: Method,
    path: &'static str,
}

const READ: CrashingRequest = CrashingRequest { method: Method::GET, path: "/plain/bad" };
const ORDER: CrashingRequest = CrashingRequest { method: Method::POST, path: "/once/bad" };

struct CrashTest {
    fleet: DirectFleet,
    request: CrashingRequest,
    sent: usize,
}

impl CrashTest {
    async fn start(targets: usize, request: CrashingRequest) -> Self {
        let fleet = DirectFleet::start_entries(targets, ENTRIES, VERSION_TIME_MS).await;
        fleet.engines.iter().for_each(|engine| engine.restart_delay.set(RESTART_TIME));
        Self { fleet, request, sent: 0 }
    }

    fn turn_bad(&self) {
        for engine in &self.fleet.engines {
            engine.crashing_paths.borrow_mut().push(self.request.path.to_owned());
        }
    }

    fn crashes(&self) -> u32 {
        self.fleet.engines.iter().map(|engine| engine.crashes.get()).sum()
    }

    /// Sends the request to the next entry; returns the status.
    async fn send(&mut self) -> u16 {
        self.sent += 1;
        let method = self.request.method.clone();
        let id = format!("repeated-{}", self.sent);
        self.fleet.request(self.sent % ENTRIES, method, self.request.path, &id).await.status
    }

    async fn send_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.send().await;
            actix_rt::time::sleep(REPEAT_INTERVAL).await;
        }
    }

    /// Asserts that the request stops reaching targets, and that others are served.
    async fn assert_stopped(mut self) {
        let registrations = self.fleet.keep_registered();
        self.turn_bad();
        while self.crashes() < KNOWN_CRASHES {
            self.send_for(REPEAT_INTERVAL).await;
        }
        self.send_for(KNOWN_WITHIN).await;
        let before = self.crashes();
        self.send_for(REPEAT_TIME).await;
        let late = self.crashes() - before;
        assert!(late <= MAX_LATE_REQUESTS, "{late} more targets crashed after {before}");
        for number in 0..4 * ENTRIES {
            let path = format!("/plain/sound-{number}");
            let reply = self.fleet.request(number % ENTRIES, Method::GET, &path, &path[1..]).await;
            assert_eq!(reply.status, 200, "{path}");
        }
        registrations.abort();
    }
}

#[actix_rt::test]
async fn a_request_that_crashed_all_targets_of_a_service_stops_reaching_them() {
    CrashTest::start(3, READ).await.assert_stopped().await;
}

#[actix_rt::test]
async fn a_request_that_may_run_once_and_crashed_all_targets_stops_reaching_them() {
    CrashTest::start(3, ORDER).await.assert_stopped().await;
}

#[actix_rt::test]
async fn a_request_that_crashes_some_of_many_targets_stops_reaching_them() {
    CrashTest::start(8, READ).await.assert_stopped().await;
}

#[actix_rt::test]
async fn a_request_that_was_answered_and_then_crashed_all_targets_stops_reaching_them() {
    let mut test = CrashTest::start(3, READ).await;
    for _ in 0..2 * ENTRIES {
        assert_eq!(test.send().await, 200);
    }
    test.assert_stopped().await;
}
