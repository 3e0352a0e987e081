//! End-to-end tests of targets that write an earlier refusal once more on a kept connection, or refuse
//! without naming the request: an entry process against the stand-in of the platform.

#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use fleet::DirectFleet;
use fleet::calls::EntryReply;
use standin::engine::EngineBehaviour;
use standin::refusal::{RefusalBody, RefusalForm, RefusalRepeat};

const LATE: RefusalForm =
    RefusalForm { repeat: RefusalRepeat::BeforeNextAnswer, ..RefusalForm::SOUND };
const NAMELESS: RefusalForm = RefusalForm { has_id: false, ..RefusalForm::SOUND };

/// Sends requests on `path` until a target has received one, and returns the reply to it.
async fn post_until_received(fleet: &DirectFleet, path: &str, name: &str) -> EntryReply {
    let received = || fleet.engines.iter().map(|engine| engine.received.borrow().len()).sum();
    for number in 0..1000 {
        let before: usize = received();
        let reply = fleet.post(path, &format!("{name}-{number}")).await;
        if received() > before {
            return reply;
        }
    }
    panic!("no target received a request");
}

/// Lets the first target refuse a request in this form; it serves further ones.
async fn refuse_one(fleet: &DirectFleet, form: RefusalForm, name: &str) -> EntryReply {
    let engine = &fleet.engines[0];
    engine.refusal_form.set(form);
    engine.behaviour.set(EngineBehaviour::Shed);
    let reply = post_until_received(fleet, "/once/x", name).await;
    engine.behaviour.set(EngineBehaviour::Serve);
    reply
}

#[actix_rt::test]
async fn a_refusal_that_is_written_once_more_is_not_taken_for_that_of_the_next_request() {
    let fleet = DirectFleet::start(1).await;
    for status in [503, 429, 421] {
        for body in [RefusalBody::Empty, RefusalBody::Sized, RefusalBody::Chunked] {
            for repeat in [RefusalRepeat::AtOnce, RefusalRepeat::BeforeNextAnswer] {
                let form = RefusalForm { status, body, repeat, ..RefusalForm::SOUND };
                let name = format!("{status}-{body:?}-{repeat:?}");
                assert_eq!(refuse_one(&fleet, form, &format!("refused-{name}")).await.status, 503);
                let reply = post_until_received(&fleet, "/once/x", &format!("run-{name}")).await;
                assert_eq!(
                    (reply.status, reply.body.as_str()),
                    (200, "whole engine-0"),
                    "{form:?}"
                );
            }
        }
    }
    // Nine were repeated at once.
    assert!(fleet.engines[0].repeats.get() > 9, "no refusal was repeated when an answer was due");
}

#[actix_rt::test]
async fn a_request_that_ran_is_not_reported_as_refused_after_an_earlier_refusal_without_an_id() {
    let fleet = DirectFleet::start(2).await;
    fleet.set_state(1, "draining");
    fleet.wait_untouched(1).await;
    let form = RefusalForm { repeat: RefusalRepeat::BeforeNextAnswer, ..NAMELESS };
    refuse_one(&fleet, form, "refused").await;
    fleet.set_state(1, "ready");
    for number in 0..8 {
        let before = fleet.runs();
        let reply = post_until_received(&fleet, "/once/x", &format!("run-{number}")).await;
        assert_eq!(fleet.runs() - before, 1, "it ran at two targets");
        assert_ne!(reply.status, 503, "it has run");
    }
}

#[actix_rt::test]
async fn a_refusal_without_an_id_does_not_prove_that_the_request_did_not_run() {
    let fleet = DirectFleet::start(2).await;
    for status in [503, 429, 421] {
        let form = RefusalForm { status, ..NAMELESS };
        for engine in &fleet.engines {
            engine.refusal_form.set(form);
            engine.behaviour.set(EngineBehaviour::Shed);
            engine.received.borrow_mut().clear();
        }
        let reply = post_until_received(&fleet, "/once/x", &format!("once-{status}")).await;
        assert_eq!(reply.status, 502, "{status}");
        let received: usize =
            fleet.engines.iter().map(|engine| engine.received.borrow().len()).sum();
        assert_eq!(received, 1, "{status}: it was sent to both targets");
        fleet.pause().await;
        let reply = post_until_received(&fleet, "/plain/x", &format!("plain-{status}")).await;
        assert_eq!(reply.status, 502, "{status}: an idempotent request may have run, too");
        fleet.pause().await;
        fleet.engines[1].behaviour.set(EngineBehaviour::Serve);
        let reply = post_until_received(&fleet, "/plain/x", &format!("again-{status}")).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-1"), "{status}");
        fleet.pause().await;
    }
}

#[actix_rt::test]
async fn the_pause_of_a_refusal_that_is_written_once_more_is_not_heeded() {
    let fleet = DirectFleet::start(1).await;
    let engine = &fleet.engines[0];
    engine.retry_after.replace(Some("0.2".to_owned()));
    refuse_one(&fleet, LATE, "refused").await;
    let reply = post_until_received(&fleet, "/once/x", "run").await;
    assert_eq!((reply.status, engine.repeats.get()), (200, 1));
    refuse_one(&fleet, NAMELESS, "nameless").await;
    let pauses = fleet.entry_log(0).matches("event=target_paused").count();
    assert_eq!(pauses, 1, "the target asked once for a pause");
}

#[actix_rt::test]
async fn a_request_with_the_id_of_a_refused_one_is_not_answered_by_its_refusal() {
    let fleet = DirectFleet::start(1).await;
    let engine = &fleet.engines[0];
    for number in 0..4 {
        refuse_one(&fleet, LATE, &format!("same-{number}")).await;
        let id = engine.received.borrow().last().expect("a request").id.clone();
        let before = engine.runs();
        let mut reply = fleet.post("/once/x", &id).await;
        while engine.runs() == before {
            reply = fleet.post("/once/x", &id).await;
        }
        assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-0"), "{id}");
    }
}
