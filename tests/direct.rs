//! End-to-end tests of direct dispatch: an entry process against the stand-in of the platform.

#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use buckthornwharf_platform::keys;
use fleet::{DirectFleet, eventually};
use standin::engine::{EngineBehaviour, STREAM_EVENTS};
use standin::shape::AnswerShape;
use standin::store::StoreFault;

#[actix_rt::test]
async fn a_dispatched_request_carries_the_headers_set_by_the_entry() {
    let fleet = DirectFleet::start(1).await;
    let reply = fleet.get("/plain/x", "id-1").await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-0"));
    assert_eq!(reply.header("server-seal"), Some("seal-1"));
    let received = fleet.engines[0].received.borrow()[0].clone();
    assert_eq!(received.id, "id-1");
    assert!(received.headers.contains(&"tenant: mill".to_owned()), "{:?}", received.headers);
    assert!(received.headers.contains(&"expect-instance: engine-0".to_owned()));
    assert!(
        !received.headers.iter().any(|line| line.contains("secret") || line.contains("forged"))
    );
    let deadline = received.headers.iter().find_map(|line| line.strip_prefix("deadline-ms: "));
    let time_left_ms: u64 =
        deadline.and_then(|text| text.parse().ok()).expect("deadline-ms is a number");
    assert!(time_left_ms <= 5000, "{time_left_ms}");
}

#[actix_rt::test]
async fn an_unknown_route_or_key_is_refused_without_a_dispatch() {
    let fleet = DirectFleet::start(1).await;
    assert_eq!(fleet.get("/elsewhere/x", "id-1").await.status, 404);
    assert_eq!(fleet.get_with_key("/plain/x", "id-2", "wrong").await.status, 401);
    assert!(fleet.engines[0].received.borrow().is_empty());
}

#[actix_rt::test]
async fn a_request_refused_by_one_target_is_retried_at_another() {
    let fleet = DirectFleet::start(2).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Shed);
    for number in 0..6 {
        let reply = fleet.post("/once/x", &format!("id-{number}")).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-1"));
    }
    fleet.engines[1].behaviour.set(EngineBehaviour::Shed);
    let reply = fleet.post("/once/x", "id-last").await;
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
    assert_eq!(fleet.engines[0].runs(), 0);
}

#[actix_rt::test]
async fn a_non_idempotent_request_is_not_retried_after_a_lost_answer() {
    let fleet = DirectFleet::start(2).await;
    for behaviour in [
        EngineBehaviour::LostAnswer,
        EngineBehaviour::Shaped(AnswerShape::Truncated),
        EngineBehaviour::Unsealed,
        EngineBehaviour::Nameless,
    ] {
        fleet.engines.iter().for_each(|engine| engine.behaviour.set(behaviour));
        let before = fleet.runs();
        let reply = fleet.post("/once/x", &format!("id-{behaviour:?}")).await;
        assert_eq!(reply.status, 502, "{behaviour:?}");
        assert_eq!(fleet.runs() - before, 1, "{behaviour:?}");
        fleet.pause().await;
    }
}

#[actix_rt::test]
async fn an_idempotent_request_is_retried_at_another_target() {
    let fleet = DirectFleet::start(2).await;
    for behaviour in [
        EngineBehaviour::LostAnswer,
        EngineBehaviour::Shaped(AnswerShape::Truncated),
        EngineBehaviour::Unsealed,
        EngineBehaviour::Nameless,
    ] {
        fleet.engines[0].behaviour.set(behaviour);
        for number in 0..4 {
            let reply = fleet.get("/plain/x", &format!("id-{behaviour:?}-{number}")).await;
            assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-1"));
        }
        fleet.pause().await;
    }
}

#[actix_rt::test]
async fn a_failure_answer_is_retried_only_for_idempotent_requests() {
    let fleet = DirectFleet::start(2).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Fail);
    for number in 0..4 {
        let reply = fleet.get("/plain/x", &format!("id-{number}")).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-1"));
    }
    fleet.engines[1].behaviour.set(EngineBehaviour::Fail);
    fleet.pause().await;
    let before = fleet.runs();
    let reply = fleet.post("/once/x", "id-once").await;
    assert_eq!((reply.status, reply.body.as_str()), (500, "it failed"));
    assert_eq!(reply.header("server-seal"), Some("seal-1"));
    assert_eq!(fleet.runs() - before, 1);
}

#[actix_rt::test]
async fn an_answer_with_the_id_of_another_request_is_skipped() {
    let fleet = DirectFleet::start(1).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::ExtraAnswer);
    for number in 0..3 {
        let reply = fleet.post("/once/x", &format!("id-{number}")).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-0"));
    }
}

#[actix_rt::test]
async fn a_truncated_stream_is_resumed_at_another_target() {
    let fleet = DirectFleet::start(2).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Shaped(AnswerShape::Truncated));
    let expected: String =
        (1..=STREAM_EVENTS).map(|event| format!("id: {event}\ndata: token {event}\n\n")).collect();
    for number in 0..4 {
        let reply = fleet.post("/stream/x", &format!("id-{number}")).await;
        assert_eq!((reply.status, reply.body), (200, expected.clone()));
        assert!(reply.complete);
    }
    assert!(fleet.engines[0].runs() > 0, "the first target got none of the streams");
}

#[actix_rt::test]
async fn a_stream_that_no_target_can_resume_ends_as_incomplete() {
    let fleet = DirectFleet::start(2).await;
    fleet
        .engines
        .iter()
        .for_each(|engine| engine.behaviour.set(EngineBehaviour::Shaped(AnswerShape::Truncated)));
    let reply = fleet.post("/stream/x", "id-1").await;
    assert!(!reply.complete);
    assert!(reply.body.ends_with("\n\n"), "the body ends within an event: {:?}", reply.body);
}

#[actix_rt::test]
async fn a_request_is_cancelled_at_its_target_when_the_caller_disconnects() {
    let fleet = DirectFleet::start(1).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Hang);
    fleet.disconnect_early("/plain/x", "id-1").await;
    eventually("the target's connection is closed", || fleet.engines[0].abandoned.get() == 1).await;
}

#[actix_rt::test]
async fn requests_whose_callers_left_while_the_entry_was_suspended_are_not_sent() {
    let fleet = DirectFleet::start(2).await;
    fleet.suspend_entry();
    for number in 0..20 {
        fleet.send_and_leave("/plain/x", &format!("left-{number}")).await;
    }
    fleet.resume_entry();
    assert_eq!(fleet.get("/plain/x", "after").await.status, 200);
    let received = fleet.engines.iter().flat_map(|engine| engine.received.borrow().clone());
    let left = received.filter(|received| received.id.starts_with("left")).count();
    assert_eq!(left, 0, "requests reached targets after their callers had left");
}

#[actix_rt::test]
async fn a_revoked_key_and_a_new_route_take_effect_after_a_store_outage() {
    let fleet = DirectFleet::start(1).await;
    assert_eq!(fleet.get("/plain/x", "id-1").await.status, 200);
    fleet.store.silent.set(true);
    // Lets the calls end that the store had answered before it became silent.
    fleet.pause().await;
    assert_eq!(
        fleet.get("/plain/x", "id-2").await.status,
        200,
        "the active configuration stays in use"
    );
    fleet.put_config(2, "/moved/", "other");
    fleet.store.silent.set(false);
    fleet.wait_status("/moved/x", "other", 200).await;
    assert_eq!(fleet.get("/plain/x", "id-3").await.status, 404);
    fleet.store.compact();
    fleet.put_config(3, "/back/", "secret");
    fleet.wait_status("/back/x", "secret", 200).await;
}

/// The entry probes an unreachable store often: if each probe read the configuration, it would be
/// transferred at every probe.
#[actix_rt::test]
async fn a_probe_of_the_store_transfers_few_bytes() {
    const MAX_PROBE_BYTES: usize = 400;
    let fleet = DirectFleet::start(1).await;
    eventually("the configuration for agents is written", || {
        fleet.store.contains_prefix("buckthornwharf/common/facts")
    })
    .await;
    fleet.store.silent.set(true);
    fleet.pause().await;
    fleet.store.silent.set(false);
    fleet.put_config(2, "/moved/", "other");
    fleet.wait_status("/moved/x", "other", 200).await;
    let largest = fleet.store.largest_item_bytes.get();
    assert!(largest < MAX_PROBE_BYTES, "the largest item read has {largest} bytes");
}

#[actix_rt::test]
async fn one_task_of_an_entry_asks_a_store_that_does_not_respond() {
    const CALLS: u32 = 12;
    let fleet = DirectFleet::start(1).await;
    fleet.store.fault.set(StoreFault::Busy);
    let refused = || fleet.store.refused_watches.borrow();
    eventually("the entry asks the store", || {
        refused().get(keys::OPERATOR).is_some_and(|calls| *calls >= CALLS)
    })
    .await;
    let refused = refused().clone();
    let others = refused.iter().filter(|(prefix, _)| *prefix != keys::OPERATOR);
    let others: u32 = others.map(|(_, calls)| calls).sum();
    assert!(others < CALLS, "{refused:?}");
    fleet.store.fault.set(StoreFault::None);
    fleet.put_config(2, "/moved/", "secret");
    fleet.wait_status("/moved/x", "secret", 200).await;
}

#[actix_rt::test]
async fn a_draining_target_gets_no_more_requests() {
    let fleet = DirectFleet::start(2).await;
    fleet.set_state(0, "draining");
    fleet.wait_untouched(0).await;
    for number in 0..4 {
        let reply = fleet.get("/plain/x", &format!("id-{number}")).await;
        assert_eq!(reply.body, "whole engine-1");
    }
}

#[actix_rt::test]
async fn an_entry_finishes_its_requests_on_shutdown() {
    let mut fleet = DirectFleet::start(1).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Slow);
    let reply = fleet.get_during_shutdown("/plain/x", "id-1").await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-0"));
    assert_eq!(reply.header("connection"), Some("close"));
    assert_eq!(fleet.readiness().await, Some(503));
    assert!(fleet.exits_cleanly().await, "the entry did not exit");
    eventually("the entry is no longer registered", || {
        !fleet.store.contains_prefix("buckthornwharf/common/entry/")
    })
    .await;
}

#[actix_rt::test]
async fn requests_on_connections_accepted_during_shutdown_are_answered() {
    let fleet = DirectFleet::start(1).await;
    fleet.terminate_entry();
    eventually_unready(&fleet).await;
    for number in 0..10 {
        let reply = fleet.get_on_idle_connection("/plain/x", &format!("id-{number}")).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-0"));
    }
}

#[actix_rt::test]
async fn requests_on_connections_that_wait_to_be_accepted_at_shutdown_are_answered() {
    let fleet = DirectFleet::start(12).await;
    fleet.terminate_entry();
    eventually_unready(&fleet).await;
    fleet.suspend_entry();
    let ids: Vec<String> = (0..20).map(|number| format!("id-{number}")).collect();
    let requests = ids.iter().map(|id| fleet.get("/plain/x", id));
    let resume = async {
        fleet.pause_longer_than_accepting().await;
        fleet.resume_entry();
    };
    let (replies, ()) =
        futures_util::future::join(futures_util::future::join_all(requests), resume).await;
    for reply in replies {
        assert_eq!(reply.status, 200);
    }
}

async fn eventually_unready(fleet: &DirectFleet) {
    while fleet.readiness().await == Some(200) {
        actix_rt::task::yield_now().await;
    }
}

#[actix_rt::test]
async fn an_unanswered_request_is_cancelled_when_its_version_is_retired() {
    let fleet = DirectFleet::start_with(1, 1600).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Hang);
    fleet.declare_version(2).await;
    let reply = fleet.get("/stream/x", "id-1").await;
    assert_eq!(reply.status, 502, "expected neither a success nor the caller's timeout");
    let engine = fleet.engines[0].clone();
    eventually("the request is cancelled at the target", || engine.abandoned.get() == 1).await;
}

#[actix_rt::test]
async fn settings_that_become_invalid_change_nothing_and_are_logged() {
    let fleet = DirectFleet::start(1).await;
    fleet.replace_settings(0, "bounds: { retry_extra: -1 }");
    let is_logged = || fleet.entry_log(0).contains("event=settings_kept");
    eventually("the entry logs that it keeps its settings", is_logged).await;
    assert_eq!(fleet.get("/plain/x", "id-1").await.status, 200);
}
