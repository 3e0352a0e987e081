//! The agent's target client against targets that close the connection before or after the end of
//! the body.

#[path = "support/serve_once.rs"]
mod serve_once;

use buckthornwharf::agent::target::{
    ANSWER_WINDOW_BYTES, TargetClient, TargetEvent, TargetFailure,
};
use buckthornwharf_core::config::PriorityClass;
use buckthornwharf_core::frame::SubmitFrame;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use serve_once::serve_once;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

/// Timeout for the end of an answer.
const END_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without a part after which the agent counts as waiting.
const PAUSE_TIME: Duration = Duration::from_secs(1);

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

/// Guards against an answer that is cut in its head and taken for a complete one.
#[test]
fn an_answer_that_is_cut_in_its_head_is_never_complete() {
    let lost = TargetEvent::Failed(TargetFailure::ConnectionLost);
    for answer in [CHUNKED, SIZED, WITHOUT_LENGTH] {
        let body = answer.find("\r\n\r\n").expect("a head") + 4;
        for end in 0..body {
            assert_eq!(last_event(&answer[..end]), lost, "{:?}", &answer[..end]);
        }
    }
}

/// A chunk of some kilobytes that consists of `text`.
fn chunk_of(text: &str) -> String {
    let bytes = text.repeat(1000);
    format!("{:x}\r\n{bytes}\r\n", bytes.len())
}

/// Starts a target that answers a request with `head` and then with `repeated`, without end.
async fn serve_endless(head: &'static str, repeated: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the agent connects");
        let mut request = vec![0; 4096];
        assert!(stream.read(&mut request).await.expect("a request") > 0);
        stream.write_all(head.as_bytes()).await.expect("the agent reads");
        while stream.write_all(repeated.as_bytes()).await.is_ok() {}
    });
    address
}

/// Guards against bytes without end, in a head or a body, that fill the memory of the agent.
#[actix_rt::test]
async fn an_answer_without_end_is_given_up() {
    let chunk = || chunk_of("hello");
    for (head, repeated) in [
        ("", "no answer ".to_owned()),
        ("HTTP/1.1 200 OK\r\n", "x-header: value\r\n".to_owned()),
        ("HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n", "hello".repeat(1000)),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", chunk()),
        ("HTTP/1.1 503 Service Unavailable\r\ntransfer-encoding: chunked\r\n\r\n", chunk()),
    ] {
        let target = serve_endless(head, repeated).await;
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let (_cancel, cancelled) = oneshot::channel();
        let run = TargetClient::new(target).run(Arc::new(plain_request()), cancelled, sender);
        let events = async {
            let mut last = None;
            while let Some((_, event)) = receiver.recv().await {
                last = Some(event);
            }
            last
        };
        let both = futures_util::future::join(run, events);
        let ended = tokio::time::timeout(END_TIMEOUT, both).await;
        let last = ended.map(|((), last)| last).unwrap_or_else(|_| panic!("{head:?} goes on"));
        assert!(matches!(last, Some(TargetEvent::Failed(_))), "{head:?}: {last:?}");
    }
}

/// Guards against a stream without end that fills the memory of the agent, as its entry reads slowly.
#[actix_rt::test]
async fn a_stream_is_not_read_ahead_of_the_links_without_end() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                        transfer-encoding: chunked\r\n\r\n";
    let target = serve_endless(HEAD, chunk_of("data: 1\n\n")).await;
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let (_cancel, cancelled) = oneshot::channel();
    let run = TargetClient::new(target).run(Arc::new(plain_request()), cancelled, sender);
    let run = actix_rt::spawn(run);
    let mut held = Vec::new();
    let mut held_bytes = 0;
    while let Ok(event) = tokio::time::timeout(PAUSE_TIME, receiver.recv()).await {
        if let Some((_, TargetEvent::Body(bytes))) = event {
            held_bytes += bytes.len();
            held.push(bytes);
        }
        assert!(held_bytes <= ANSWER_WINDOW_BYTES, "{held_bytes} bytes are held");
    }
    held.clear();
    receiver.recv().await.expect("the answer goes on");
    run.abort();
}
