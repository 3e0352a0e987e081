//! End-to-end tests of an entry's shutdown: an entry process against the stand-in of the platform.
//!
//! Each test guards against a planned stop that cuts requests which the entry has taken.

#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use fleet::DirectFleet;
use standin::engine::EngineBehaviour;
use standin::operator::HOST;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time for which callers wait; they are still waiting when the grace period of 8 s ends.
const DEADLINE_MS: u64 = 6000;
/// Time after which a request that may be repeated probably does not end within the grace period any more,
/// counted from when entries stop taking others that may outlast it.
const REPEATABLE_ACCEPT_TIME: Duration = Duration::from_millis(1700);
/// Timeout for the end of a connection.
const END_TIMEOUT: Duration = Duration::from_secs(30);
const BODY: &str = "an order";

/// A request on a connection of its own, of which the body has not been sent.
struct HalfSentRequest {
    stream: TcpStream,
}

impl HalfSentRequest {
    async fn send(fleet: &DirectFleet, path: &str, id: &str) -> Self {
        let mut stream = TcpStream::connect(fleet.caller_address()).await.expect("it connects");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer secret\r\n\
             attempt-id: {id}\r\ndeadline-ms: {DEADLINE_MS}\r\ncontent-length: {}\r\n\r\n",
            BODY.len()
        );
        stream.write_all(head.as_bytes()).await.expect("the connection is open");
        Self { stream }
    }

    /// Sends the body, and returns the first line of the answer and whether its head is complete.
    async fn finish(mut self) -> (String, bool) {
        self.stream.write_all(BODY.as_bytes()).await.expect("the connection is open");
        let mut bytes = Vec::new();
        // A reset ends the connection like a close: what arrived before it counts.
        let end = tokio::time::timeout(END_TIMEOUT, self.stream.read_to_end(&mut bytes)).await;
        assert!(end.is_ok(), "the connection does not end");
        let text = String::from_utf8(bytes).expect("text");
        (text.lines().next().unwrap_or_default().to_owned(), text.contains("\r\n\r\n"))
    }
}

#[actix_rt::test]
async fn a_request_that_is_read_late_in_a_shutdown_and_may_outlast_it_is_not_sent() {
    let mut fleet = DirectFleet::start(1).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Hang);
    let once = HalfSentRequest::send(&fleet, "/once/x", "id-1").await;
    let stream = HalfSentRequest::send(&fleet, "/stream/x", "id-2").await;
    let repeatable = HalfSentRequest::send(&fleet, "/plain/x", "id-3").await;
    fleet.terminate_entry();
    fleet.pause_longer_than_accepting().await;
    let (once, stream) = tokio::join!(once.finish(), stream.finish());
    assert_eq!(once, ("HTTP/1.1 503 Service Unavailable".to_owned(), true));
    assert_eq!(stream, ("HTTP/1.1 503 Service Unavailable".to_owned(), true));
    actix_rt::time::sleep(REPEATABLE_ACCEPT_TIME).await;
    assert_eq!(repeatable.finish().await, ("HTTP/1.1 503 Service Unavailable".to_owned(), true));
    assert_eq!(fleet.runs(), 0, "a request that was refused has run");
    assert!(fleet.exits_cleanly().await);
}

#[actix_rt::test]
async fn a_request_that_may_not_be_repeated_and_may_outlast_a_shutdown_is_not_sent() {
    let mut fleet = DirectFleet::start(1).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Hang);
    let once = HalfSentRequest::send(&fleet, "/once/x", "id-1").await;
    fleet.terminate_entry();
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(once.finish().await, ("HTTP/1.1 503 Service Unavailable".to_owned(), true));
    assert_eq!(fleet.runs(), 0, "a request that was refused has run");
    assert!(fleet.exits_cleanly().await);
}

#[actix_rt::test]
async fn requests_that_are_open_at_the_end_of_a_shutdown_are_answered() {
    let mut fleet = DirectFleet::start(1).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Hang);
    let request = HalfSentRequest::send(&fleet, "/plain/x", "id-1").await;
    fleet.terminate_entry();
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(request.finish().await, ("HTTP/1.1 502 Bad Gateway".to_owned(), true));
    assert_eq!(fleet.runs(), 1);
    assert!(fleet.exits_cleanly().await);
}

/// Guards against a shutdown that ends by the grace period of the start, although it was raised since (review/2).
#[actix_rt::test]
async fn a_shutdown_lasts_for_the_grace_period_of_the_newest_settings() {
    const GRACE_SECONDS: u64 = 16;
    let mut fleet = DirectFleet::start(1).await;
    fleet.engines[0].behaviour.set(EngineBehaviour::Slow);
    // With the pause before, longer than the grace period of the start.
    fleet.engines[0].slow_time.set(Duration::from_millis(5700));
    fleet.set_bound("grace", GRACE_SECONDS).await;
    let request = HalfSentRequest::send(&fleet, "/plain/x", "id-1").await;
    fleet.terminate_entry();
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(request.finish().await, ("HTTP/1.1 200 OK".to_owned(), true));
    assert!(fleet.exits_cleanly().await);
}
