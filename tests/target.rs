//! The agent's target client against targets that close the connection before or after the end of
//! the body.

#[path = "support/serve_once.rs"]
mod serve_once;

use buckthornwharf::agent::target::{TargetClient, TargetEvent, TargetFailure};
use buckthornwharf_core::config::PriorityClass;
use buckthornwharf_core::frame::SubmitFrame;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use serve_once::serve_once;
use tokio::sync::{mpsc, oneshot};

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
const SIZED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello";
const DIGEST: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\n\r\nhello";

fn plain_request() -> SubmitFrame {
    SubmitFrame {
        id: RequestId(7),
        organisation: "nails".into(),
        weight: 1,
        priority: PriorityClass::Normal,
        service: "ledger".into(),
        digest: None,
        deadline_ms: 5_000,
        idempotent: false,
        idempotency_key: None,
        fingerprint: 0,
        suspect: false,
        cost_tokens: 1,
        method: "GET".into(),
        path: "/".into(),
        content_type: "".into(),
        body: Bytes::new(),
    }
}

fn engine_request() -> SubmitFrame {
    SubmitFrame { digest: Some(DIGEST.parse().expect("a digest")), ..plain_request() }
}

/// The events of an engine's stream without a length: one with content, then the end marker.
fn undelimited_stream() -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n\
         data: {{\"system_fingerprint\":\"{DIGEST}\"}}\n\ndata: [DONE]\n\n"
    )
}

fn undelimited_completion() -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n\
         {{\"system_fingerprint\":\"{DIGEST}\"}}"
    )
}

/// Last event of a request to a plain service that sends `answer`.
fn last_event(answer: &str) -> TargetEvent {
    last_event_of(plain_request(), answer)
}

/// Last event of `request` to a target that sends `answer`.
fn last_event_of(request: SubmitFrame, answer: &str) -> TargetEvent {
    let target = serve_once(answer);
    actix_rt::System::new().block_on(async {
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let (_cancel, cancelled) = oneshot::channel();
        TargetClient::new(target).run(Arc::new(request), cancelled, sender).await;
        let mut last = None;
        while let Some((_, event)) = receiver.recv().await {
            last = Some(event);
        }
        last.expect("an event")
    })
}

#[test]
fn a_body_with_a_marked_end_is_complete() {
    assert_eq!(last_event(&format!("{CHUNKED}0\r\n\r\n")), TargetEvent::Complete);
    assert_eq!(last_event(&format!("{SIZED}world")), TargetEvent::Complete);
}

#[test]
fn a_truncated_body_is_never_complete() {
    let broken = TargetEvent::Failed(TargetFailure::ConnectionLost);
    assert_eq!(last_event(CHUNKED), broken);
    assert_eq!(last_event(SIZED), broken);
}

#[test]
fn a_body_of_unknown_format_without_a_marked_end_is_refused() {
    let refused = TargetEvent::Failed(TargetFailure::InvalidAnswer);
    assert_eq!(last_event(WITHOUT_LENGTH), refused);
    let identity = "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nhello";
    assert_eq!(last_event(identity), refused);
    let refusal = "HTTP/1.1 400 Bad Request\r\n\r\nhello";
    assert_eq!(last_event_of(engine_request(), refusal), refused);
}

#[test]
fn an_engines_answer_without_a_length_is_complete_if_its_format_says_so() {
    for answer in [undelimited_stream(), undelimited_completion()] {
        assert_eq!(last_event_of(engine_request(), &answer), TargetEvent::Complete, "{answer}");
    }
}

#[test]
fn an_engines_answer_without_a_length_that_breaks_off_is_never_complete() {
    let lost = TargetEvent::Failed(TargetFailure::ConnectionLost);
    for answer in [undelimited_stream(), undelimited_completion()] {
        let body = answer.find("\r\n\r\n").expect("a head") + 4;
        for end in body..answer.len() {
            assert_eq!(last_event_of(engine_request(), &answer[..end]), lost, "{}", &answer[..end]);
        }
    }
}
