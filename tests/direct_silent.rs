//! End-to-end tests of targets whose hosts fall silent: an entry process against the stand-in of the
//! platform, with load reports as agents send them.

#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use buckthornwharf::direct::loads::{AgentReports, EngineLoad, run_link};
use buckthornwharf::direct::news::VersionNews;
use fleet::calls::EntryReply;
use fleet::{DirectFleet, eventually};
use standin::engine::{EngineBehaviour, STREAM_EVENTS};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

/// Slots of a target of the stand-in.
const SLOTS: u32 = 4;
/// Longer than the time after which a silent target's request is sent elsewhere.
const LONG_SILENCE: Duration = Duration::from_millis(2500);
/// Longer than the time after which a load report counts as stale, and shorter than `LONG_SILENCE`.
const SUSPENDED_TIME: Duration = Duration::from_millis(1200);

/// Load reports of targets, sent until a target is silenced.
struct LoadReports {
    engines: Vec<SocketAddr>,
    senders: Vec<Option<watch::Sender<Option<EngineLoad>>>>,
}

impl LoadReports {
    /// Reports that the first target is free and the second one full, and waits until the entry goes by
    /// it.
    async fn start(fleet: &DirectFleet) -> Self {
        let entry = fleet.peer_address();
        let mut reports = Self { engines: Vec::new(), senders: Vec::new() };
        for engine in &fleet.engines {
            let (sender, receiver) = watch::channel(None);
            let news = watch::channel(VersionNews::default()).1;
            let agent = AgentReports { loads: receiver, news };
            actix_rt::spawn(run_link(entry, false, agent, |_| None, |_| {}));
            reports.engines.push(engine.address);
            reports.senders.push(Some(sender));
        }
        reports.report(0, 0);
        reports.report(1, SLOTS);
        fleet.wait_untouched(1).await;
        fleet.engines.iter().for_each(|engine| engine.received.borrow_mut().clear());
        reports
    }

    fn report(&self, number: usize, requests: u32) {
        let load =
            EngineLoad { engine: self.engines[number], requests, accepting: true, details: None };
        let sender = self.senders[number].as_ref().expect("a target that reports");
        sender.send_replace(Some(load));
    }

    fn silence(&mut self, number: usize) {
        self.senders[number] = None;
    }
}

fn all_events() -> String {
    (1..=STREAM_EVENTS).map(|event| format!("id: {event}\ndata: token {event}\n\n")).collect()
}

/// Sends a request to the first target, which falls silent once it has it. The second one is free then
/// if `other_is_free`.
async fn post_to_silent(
    fleet: &DirectFleet,
    reports: &mut LoadReports,
    path: &str,
    other_is_free: bool,
) -> EntryReply {
    let silence = async {
        eventually("the request arrives", || fleet.engines[0].runs() == 1).await;
        reports.silence(0);
        if other_is_free {
            reports.report(1, 0);
        }
    };
    futures_util::future::join(fleet.post(path, "id-1"), silence).await.0
}

#[actix_rt::test]
async fn a_stream_that_a_silent_target_has_not_begun_is_served_by_another() {
    let fleet = DirectFleet::start(2).await;
    let mut reports = LoadReports::start(&fleet).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Hang);
    let reply = post_to_silent(&fleet, &mut reports, "/stream/x", true).await;
    assert_eq!((reply.status, reply.body), (200, all_events()));
    assert_eq!(fleet.engines[1].runs(), 1);
}

#[actix_rt::test]
async fn a_stream_that_stalls_at_a_silent_target_is_resumed_at_another() {
    let fleet = DirectFleet::start(2).await;
    let mut reports = LoadReports::start(&fleet).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Stall);
    let reply = post_to_silent(&fleet, &mut reports, "/stream/x", true).await;
    assert_eq!((reply.status, reply.body, reply.complete), (200, all_events(), true));
}

#[actix_rt::test]
async fn a_slow_stream_goes_on_where_it_runs_when_its_target_only_stops_reporting() {
    let fleet = DirectFleet::start(2).await;
    let mut reports = LoadReports::start(&fleet).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Slow);
    let reply = post_to_silent(&fleet, &mut reports, "/stream/x", true).await;
    assert_eq!((reply.status, reply.body, reply.complete), (200, all_events(), true));
    assert_eq!(fleet.engines[1].runs(), 0);
}

#[actix_rt::test]
async fn a_request_waits_for_a_slow_target_that_reports() {
    let fleet = DirectFleet::start(2).await;
    let reports = LoadReports::start(&fleet).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Slow);
    fleet.engines[0].slow_time.set(LONG_SILENCE);
    let free = async {
        eventually("the request arrives", || fleet.engines[0].runs() == 1).await;
        reports.report(1, 0);
    };
    let (reply, ()) = futures_util::future::join(fleet.get("/plain/x", "id-1"), free).await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-0"));
    assert_eq!(fleet.engines[1].runs(), 0);
}

#[actix_rt::test]
async fn a_request_that_no_other_target_can_serve_waits_for_a_silent_target() {
    let fleet = DirectFleet::start(2).await;
    let mut reports = LoadReports::start(&fleet).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Slow);
    fleet.engines[0].slow_time.set(LONG_SILENCE);
    let reply = post_to_silent(&fleet, &mut reports, "/plain/x", false).await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-0"));
}

#[actix_rt::test]
async fn a_request_that_may_run_once_waits_for_a_silent_target() {
    let fleet = DirectFleet::start(2).await;
    let mut reports = LoadReports::start(&fleet).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Slow);
    fleet.engines[0].slow_time.set(LONG_SILENCE);
    let reply = post_to_silent(&fleet, &mut reports, "/once/x", true).await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-0"));
    assert_eq!(fleet.engines[1].runs(), 0);
}

#[actix_rt::test]
async fn requests_stay_at_targets_that_only_seem_silent_to_an_entry_that_was_suspended() {
    let fleet = DirectFleet::start(2).await;
    let reports = LoadReports::start(&fleet).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Slow);
    fleet.engines[0].slow_time.set(LONG_SILENCE);
    let suspend = async {
        eventually("the request arrives", || fleet.engines[0].runs() == 1).await;
        reports.report(1, 0);
        actix_rt::time::sleep(SUSPENDED_TIME).await;
        fleet.suspend_entry();
        actix_rt::time::sleep(SUSPENDED_TIME).await;
        fleet.resume_entry();
    };
    let (reply, ()) = futures_util::future::join(fleet.get("/plain/x", "id-1"), suspend).await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-0"));
    assert_eq!(fleet.engines[1].runs(), 0);
}
