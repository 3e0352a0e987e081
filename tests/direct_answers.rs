//! End-to-end tests of answers that are framed unusually or break off: an entry process against the
//! stand-in of the platform.

#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use fleet::DirectFleet;
use standin::engine::{EngineBehaviour, STREAM_EVENTS};
use standin::shape::AnswerShape;

fn whole_stream() -> String {
    (1..=STREAM_EVENTS).map(|event| format!("id: {event}\ndata: token {event}\n\n")).collect()
}

#[actix_rt::test]
async fn an_answer_without_a_length_is_passed_on_whole() {
    let fleet = DirectFleet::start(1).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Shaped(AnswerShape::Undelimited));
    for number in 0..3 {
        let reply = fleet.post("/stream/x", &format!("stream-{number}")).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, whole_stream().as_str()));
        assert!(reply.complete);
        let reply = fleet.post("/once/x", &format!("once-{number}")).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-0"));
    }
}

#[actix_rt::test]
async fn a_stream_that_ends_within_an_event_is_not_passed_on_as_complete() {
    for shape in [AnswerShape::UndelimitedCut, AnswerShape::EndedWithinEvent] {
        let behaviour = EngineBehaviour::Shaped(shape);
        let fleet = DirectFleet::start(2).await;
        fleet.engines.iter().for_each(|engine| engine.behaviour.set(behaviour));
        let reply = fleet.post("/stream/x", "id-1").await;
        assert!(!reply.complete, "{behaviour:?}: {:?} is framed as complete", reply.body);
        assert!(reply.body.ends_with("\n\n"), "{behaviour:?}: {:?}", reply.body);
    }
}

#[actix_rt::test]
async fn a_stream_that_ends_within_an_event_is_resumed_at_another_target() {
    for shape in [AnswerShape::UndelimitedCut, AnswerShape::EndedWithinEvent] {
        let behaviour = EngineBehaviour::Shaped(shape);
        let fleet = DirectFleet::start(2).await;
        fleet.engines[0].behaviour.set(behaviour);
        for number in 0..4 {
            let reply = fleet.post("/stream/x", &format!("id-{number}")).await;
            assert_eq!((reply.status, reply.body), (200, whole_stream()), "{behaviour:?}");
            assert!(reply.complete);
        }
        assert!(fleet.engines[0].runs() > 0, "the first target got none of the streams");
    }
}

#[actix_rt::test]
async fn a_stream_that_closes_before_its_first_event_is_not_passed_on_as_complete() {
    let fleet = DirectFleet::start(2).await;
    fleet.engines.iter().for_each(|engine| {
        engine.behaviour.set(EngineBehaviour::Shaped(AnswerShape::UndelimitedEmpty))
    });
    let reply = fleet.post("/stream/x", "id-1").await;
    assert_eq!(reply.status, 502);
}

#[actix_rt::test]
async fn a_reset_answer_without_a_length_is_not_passed_on_as_complete() {
    let fleet = DirectFleet::start(2).await;
    fleet.engines.iter().for_each(|engine| {
        engine.behaviour.set(EngineBehaviour::Shaped(AnswerShape::UndelimitedReset))
    });
    let reply = fleet.post("/stream/x", "id-1").await;
    assert!(!reply.complete, "{:?} is framed as complete", reply.body);
    fleet.pause().await;
    assert_eq!(fleet.post("/once/x", "id-2").await.status, 502);
}

#[actix_rt::test]
async fn a_stream_with_an_event_without_end_is_resumed_at_another_target() {
    let fleet = DirectFleet::start(2).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Shaped(AnswerShape::EndlessEvent));
    for number in 0..4 {
        let reply = fleet.post("/stream/x", &format!("id-{number}")).await;
        assert_eq!((reply.status, reply.body), (200, whole_stream()));
        assert!(reply.complete);
    }
    assert!(fleet.engines[0].runs() > 0, "the first target got none of the streams");
}

#[actix_rt::test]
async fn an_extra_answer_without_end_does_not_use_up_the_deadline() {
    let fleet = DirectFleet::start(2).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::EndlessExtraAnswer);
    for number in 0..4 {
        let reply = fleet.get("/plain/x", &format!("id-{number}")).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "whole engine-1"));
    }
    assert!(fleet.engines[0].runs() > 0, "the first target got none of the requests");
}
