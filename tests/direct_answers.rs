//! End-to-end tests of answers that are framed unusually or break off: an entry process against the
//! stand-in of the platform.

#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use fleet::DirectFleet;
use standin::engine::{EngineBehaviour, whole_stream};
use standin::shape::AnswerShape;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

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

/// Starts a target that answers each request with `part` and closes the connection. In the part, `ID` stands for
/// the request's id.
async fn serve_part(part: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("the entry connects");
            let mut request = vec![0; 4096];
            let length = stream.read(&mut request).await.expect("a request");
            let request = String::from_utf8_lossy(&request[..length]).into_owned();
            let id = request.lines().find_map(|line| line.strip_prefix("attempt-id: "));
            let answer = part.replace("ID", id.unwrap_or_default());
            stream.write_all(answer.as_bytes()).await.expect("the entry reads");
        }
    });
    address
}

/// Guards against an answer that is cut in its head and passed on as a complete one with an empty or short body.
#[actix_rt::test]
async fn an_answer_that_is_cut_in_its_head_is_not_passed_on() {
    const PARTS: [&str; 5] = [
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nattempt-id: ID\r\nserver-seal: s\r\n",
        "HTTP/1.1 200 OK\r\nattempt-id: ID\r\nserver-seal: s\r\ncontent-len",
        "HTTP/1.1 200 OK\r\nattempt-id: ID\r\nserver-seal: s\r\ncontent-length: 5\r\n",
        "HTTP/1.1 200 OK\r\nattempt-id: ID\r\nserver-seal: s\r\ntransfer-encoding: chunked\r\n\r",
    ];
    for part in PARTS {
        let fleet = DirectFleet::start(1).await;
        fleet.set_address(0, serve_part(part).await);
        fleet.pause().await;
        for path in ["/once/x", "/stream/x"] {
            let reply = fleet.post(path, path).await;
            assert_eq!((reply.status, reply.body.as_str()), (502, ""), "{path} {part:?}");
            fleet.pause().await;
        }
    }
}

/// Starts a target that answers each request with `head` and then with `repeated` until the entry closes.
async fn serve_endless(head: &'static str, repeated: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let repeated = Rc::new(repeated);
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("the entry connects");
            let repeated = repeated.clone();
            actix_rt::spawn(async move {
                let mut request = vec![0; 4096];
                let length = stream.read(&mut request).await.expect("a request");
                let request = String::from_utf8_lossy(&request[..length]).into_owned();
                let id = request.lines().find_map(|line| line.strip_prefix("attempt-id: "));
                let head = head.replace("ID", id.unwrap_or_default());
                let mut sent = stream.write_all(head.as_bytes()).await;
                while sent.is_ok() {
                    sent = stream.write_all(repeated.as_bytes()).await;
                }
            });
        }
    });
    address
}

/// Guards against bytes without end, in a head or a body, that fill the memory of the entry; its callers read
/// nothing of their answers.
#[actix_rt::test]
async fn an_answer_without_end_does_not_fill_the_memory_of_the_entry() {
    const CALLERS: usize = 4;
    const MAX_BYTES: u64 = 64 * 1024 * 1024;
    let chunk = format!("3e8\r\n{}\r\n", "x".repeat(1000));
    let answers = [
        ("", "no answer ".repeat(100)),
        ("HTTP/1.1 200 OK\r\nattempt-id: ID\r\nserver-seal: ", "s".repeat(1000)),
        ("HTTP/1.1 200 OK\r\nattempt-id: ID\r\nserver-seal: s\r\n\r\n", "x".repeat(1000)),
        (
            "HTTP/1.1 200 OK\r\nattempt-id: ID\r\nserver-seal: s\r\ntransfer-encoding: chunked\r\n\r\n",
            chunk.clone(),
        ),
        (
            "HTTP/1.1 500 Failed\r\nattempt-id: ID\r\nserver-seal: s\r\ntransfer-encoding: chunked\r\n\r\n",
            chunk,
        ),
    ];
    for (head, repeated) in answers {
        let fleet = DirectFleet::start(1).await;
        fleet.set_address(0, serve_endless(head, repeated).await);
        fleet.pause().await;
        let paths = ["/plain/x", "/once/x", "/stream/x"].into_iter().cycle().take(CALLERS);
        let callers =
            paths.enumerate().map(|(number, path)| fleet.post_unread(path, format!("id-{number}")));
        let callers = futures_util::future::join_all(callers).await;
        fleet.pause_longer_than_accepting().await;
        let peak = fleet.peak_memory();
        assert!(peak < MAX_BYTES, "{head:?}: {peak} bytes");
        drop(callers);
        fleet.set_address(0, fleet.engines[0].address);
        fleet.wait_status("/plain/x", "secret", 200).await;
        assert!(fleet.is_entry_running());
    }
}
