//! An entry that dispatches directly, as a process, against the stand-in of the platform.

#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use fleet::{DirectFleet, eventually};
use standin::engine::{Conduct, EVENTS};

#[actix_rt::test]
async fn a_request_reaches_its_target_with_what_the_entry_says_of_it() {
    let fleet = DirectFleet::start(1).await;
    let reply = fleet.get("/plain/x", "id-1").await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-0"));
    assert_eq!(reply.header("server-seal"), Some("seal-1"));
    let seen = fleet.engines[0].seen.borrow()[0].clone();
    assert_eq!(seen.id, "id-1");
    assert!(seen.headers.contains(&"tenant: mill".to_owned()), "{:?}", seen.headers);
    assert!(seen.headers.contains(&"expect-instance: engine-0".to_owned()));
    assert!(!seen.headers.iter().any(|line| line.contains("secret") || line.contains("forged")));
    let deadline = seen.headers.iter().find_map(|line| line.strip_prefix("deadline-ms: "));
    let left: u64 = deadline.and_then(|text| text.parse().ok()).expect("a deadline");
    assert!(left <= 5000, "{left}");
}

#[actix_rt::test]
async fn what_the_configuration_does_not_allow_is_refused() {
    let fleet = DirectFleet::start(1).await;
    assert_eq!(fleet.get("/elsewhere/x", "id-1").await.status, 404);
    assert_eq!(fleet.get_with_key("/plain/x", "id-2", "wrong").await.status, 401);
    assert!(fleet.engines[0].seen.borrow().is_empty());
}

#[actix_rt::test]
async fn a_refusal_of_one_target_is_made_good_by_another() {
    let fleet = DirectFleet::start(2).await;
    fleet.engines[0].conduct.set(Conduct::Shed);
    for number in 0..6 {
        let reply = fleet.post("/once/x", &format!("id-{number}")).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-1"));
    }
    fleet.engines[1].conduct.set(Conduct::Shed);
    let reply = fleet.post("/once/x", "id-last").await;
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
    assert_eq!(fleet.engines[0].runs(), 0);
}

#[actix_rt::test]
async fn work_that_may_run_once_is_never_sent_again_after_a_lost_answer() {
    let fleet = DirectFleet::start(2).await;
    for conduct in [Conduct::Drop, Conduct::Cut, Conduct::Unsealed] {
        fleet.engines.iter().for_each(|engine| engine.conduct.set(conduct));
        let before = fleet.runs();
        let reply = fleet.post("/once/x", &format!("id-{conduct:?}")).await;
        assert_eq!(reply.status, 502, "{conduct:?}");
        assert_eq!(fleet.runs() - before, 1, "{conduct:?}");
        fleet.rest().await;
    }
}

#[actix_rt::test]
async fn work_that_may_be_repeated_is_tried_elsewhere() {
    let fleet = DirectFleet::start(2).await;
    for conduct in [Conduct::Drop, Conduct::Cut, Conduct::Unsealed] {
        fleet.engines[0].conduct.set(conduct);
        for number in 0..4 {
            let reply = fleet.get("/plain/x", &format!("id-{conduct:?}-{number}")).await;
            assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-1"));
        }
        fleet.rest().await;
    }
}

#[actix_rt::test]
async fn a_failure_of_a_target_is_made_good_only_where_work_may_be_repeated() {
    let fleet = DirectFleet::start(2).await;
    fleet.engines[0].conduct.set(Conduct::Fail);
    for number in 0..4 {
        let reply = fleet.get("/plain/x", &format!("id-{number}")).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-1"));
    }
    fleet.engines[1].conduct.set(Conduct::Fail);
    fleet.rest().await;
    let before = fleet.runs();
    let reply = fleet.post("/once/x", "id-once").await;
    assert_eq!((reply.status, reply.body.as_str()), (500, "it failed"));
    assert_eq!(reply.header("server-seal"), Some("seal-1"));
    assert_eq!(fleet.runs() - before, 1);
}

#[actix_rt::test]
async fn an_answer_to_another_request_is_passed_over() {
    let fleet = DirectFleet::start(1).await;
    fleet.engines[0].conduct.set(Conduct::ExtraAnswer);
    for number in 0..3 {
        let reply = fleet.post("/once/x", &format!("id-{number}")).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-0"));
    }
}

#[actix_rt::test]
async fn a_stream_that_breaks_off_goes_on_at_another_target() {
    let fleet = DirectFleet::start(2).await;
    fleet.engines[0].conduct.set(Conduct::Cut);
    let expected: String =
        (1..=EVENTS).map(|event| format!("id: {event}\ndata: token {event}\n\n")).collect();
    for number in 0..4 {
        let reply = fleet.post("/stream/x", &format!("id-{number}")).await;
        assert_eq!((reply.status, reply.body), (200, expected.clone()));
        assert!(reply.whole);
    }
    assert!(fleet.engines[0].runs() > 0, "the first target got none of the streams");
}

#[actix_rt::test]
async fn a_stream_that_no_target_can_go_on_with_does_not_look_whole() {
    let fleet = DirectFleet::start(2).await;
    fleet.engines.iter().for_each(|engine| engine.conduct.set(Conduct::Cut));
    let reply = fleet.post("/stream/x", "id-1").await;
    assert!(!reply.whole);
    assert!(reply.body.ends_with("\n\n"), "only whole events: {:?}", reply.body);
}

#[actix_rt::test]
async fn a_caller_that_leaves_takes_its_request_along() {
    let fleet = DirectFleet::start(1).await;
    fleet.engines[0].conduct.set(Conduct::Hang);
    fleet.leave_early("/plain/x", "id-1").await;
    eventually("the target's connection is closed", || fleet.engines[0].abandoned.get() == 1).await;
}

#[actix_rt::test]
async fn a_revoked_key_and_a_new_route_count_after_an_outage_of_the_store() {
    let fleet = DirectFleet::start(1).await;
    assert_eq!(fleet.get("/plain/x", "id-1").await.status, 200);
    fleet.store.silent.set(true);
    // Calls that were answered before the silence are used up.
    fleet.rest().await;
    assert_eq!(fleet.get("/plain/x", "id-2").await.status, 200, "what is in force stays");
    fleet.put_config(2, "/moved/", "other");
    fleet.store.silent.set(false);
    fleet.until_status("/moved/x", "other", 200).await;
    assert_eq!(fleet.get("/plain/x", "id-3").await.status, 404);
    fleet.store.compact();
    fleet.put_config(3, "/back/", "secret");
    fleet.until_status("/back/x", "secret", 200).await;
}

/// A store that is asked often while it is lost must not send the configuration each time.
#[actix_rt::test]
async fn a_look_whether_the_store_is_there_brings_next_to_nothing() {
    const FEW_BYTES: usize = 400;
    let fleet = DirectFleet::start(1).await;
    eventually("agents are told what they need", || fleet.store.holds("buckthornwharf/facts"))
        .await;
    fleet.store.silent.set(true);
    fleet.rest().await;
    fleet.store.silent.set(false);
    fleet.put_config(2, "/moved/", "other");
    fleet.until_status("/moved/x", "other", 200).await;
    let largest = fleet.store.largest_item.get();
    assert!(largest < FEW_BYTES, "{largest} bytes");
}

#[actix_rt::test]
async fn a_target_that_leaves_gets_nothing_more() {
    let fleet = DirectFleet::start(2).await;
    fleet.set_state(0, "draining");
    fleet.until_untouched(0).await;
    for number in 0..4 {
        let reply = fleet.get("/plain/x", &format!("id-{number}")).await;
        assert_eq!(reply.body, "whole engine-1");
    }
}

#[actix_rt::test]
async fn an_entry_that_is_told_to_leave_finishes_its_requests() {
    let mut fleet = DirectFleet::start(1).await;
    fleet.engines[0].conduct.set(Conduct::Slow);
    let reply = fleet.get_while_leaving("/plain/x", "id-1").await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-0"));
    assert_eq!(reply.header("connection"), Some("close"));
    assert_eq!(fleet.readiness().await, Some(503));
    assert!(fleet.has_ended().await, "it ends by itself");
    eventually("it is no longer registered", || !fleet.store.holds("buckthornwharf/entry/")).await;
}

#[actix_rt::test]
async fn what_a_target_has_not_begun_when_its_version_ends_is_broken_off() {
    let fleet = DirectFleet::start_with(1, 1600).await;
    fleet.engines[0].conduct.set(Conduct::Hang);
    fleet.declare(2).await;
    let reply = fleet.get("/stream/x", "id-1").await;
    assert_eq!(reply.status, 502, "neither a success nor the end of the caller's time");
    let engine = fleet.engines[0].clone();
    eventually("the target's work is stopped", || engine.abandoned.get() == 1).await;
}
