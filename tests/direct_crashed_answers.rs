//! End-to-end tests of targets that crash between two events of an answer without framing, so that the answer
//! looks complete: an entry process against the stand-in of the platform.

#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use fleet::DirectFleet;
use standin::engine::{EngineStandin, whole_stream};
use std::rc::Rc;
use std::time::Duration;

/// Time after a crash until the target's listener is closed, too.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(15);
const FIRST_EVENT: &str = "id: 1\ndata: token 1\n\n";
/// Time for which a target is down after a crash: for the rest of the test.
const DOWN_TIME: Duration = Duration::from_secs(600);

/// Has `engine` crash after the first event of each answer to a request to `path`.
fn crash_on(engine: &Rc<EngineStandin>, path: &str) {
    engine.crashing_paths.borrow_mut().push(path.to_owned());
    engine.crashes_after_event.set(true);
    engine.listener_close_delay.set(LISTENER_CLOSE_DELAY);
    engine.restart_delay.set(DOWN_TIME);
}

/// Sends requests to `path` until the first engine has crashed, and checks that each is answered with `wanted`
/// from the second engine at the latest.
async fn assert_answered_despite_crash(path: &str, wanted: &str) {
    let fleet = DirectFleet::start(2).await;
    crash_on(&fleet.engines[0], path);
    let mut number = 0;
    while fleet.engines[0].crashes.get() == 0 {
        number += 1;
        let id = format!("id-{number}");
        let reply = match path.starts_with("/plain/") {
            true => fleet.get(path, &id).await,
            false => fleet.post(path, &id).await,
        };
        assert_eq!(reply.status, 200);
        assert!(reply.complete);
        assert!(reply.body == wanted || reply.body == "whole engine-0", "{:?}", reply.body);
    }
}

// Guards against a stream that ends as complete when its target crashes between two events.
#[actix_rt::test]
async fn a_stream_whose_target_crashes_between_events_is_resumed_at_another_target() {
    assert_answered_despite_crash("/stream/x", &whole_stream()).await;
}

// Guards against a short answer that passes for a whole one when its target crashes.
#[actix_rt::test]
async fn an_answer_without_framing_whose_target_crashes_is_asked_of_another_target() {
    assert_answered_despite_crash("/plain/x", "whole engine-1").await;
}

// As above, for requests that may not run again: their callers must see that the answer is cut.
#[actix_rt::test]
async fn an_answer_without_framing_whose_target_crashes_never_looks_complete() {
    let fleet = DirectFleet::start(3).await;
    fleet.engines.iter().for_each(|engine| crash_on(engine, "/stream/x"));
    let reply = fleet.post("/stream/x", "stream").await;
    assert!(!reply.complete, "{:?} is framed as complete", reply.body);
    let fleet = DirectFleet::start(1).await;
    crash_on(&fleet.engines[0], "/once/x");
    let reply = fleet.post("/once/x", "once").await;
    assert_eq!((reply.status, fleet.engines[0].crashes.get()), (502, 1), "{:?}", reply.body);
}

// A target that says that it leaves may end right after its answer.
#[actix_rt::test]
async fn an_answer_without_framing_of_a_target_that_leaves_is_complete() {
    let fleet = DirectFleet::start(1).await;
    crash_on(&fleet.engines[0], "/stream/x");
    fleet.engines[0].is_leaving.set(true);
    let reply = fleet.post("/stream/x", "id-1").await;
    assert_eq!((reply.status, reply.body.as_str()), (200, FIRST_EVENT));
    assert!(reply.complete);
}
