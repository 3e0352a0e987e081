//! Fuzz tests of everything that reads input from outside: whatever it is and however it is divided, it is read
//! or refused.

#[path = "support/link_messages.rs"]
mod link_messages;

use actix_http::Method;
use buckthornwharf::direct::loads::AgentMessage;
use buckthornwharf::direct::news::NewsMessage;
use buckthornwharf::direct::settings::DirectSettings;
use buckthornwharf_core::direct::{AnswerEnd, EventStream};
use buckthornwharf_exchange::{
    BodyPart, InboundConnection, InboundError, InboundLimits, OutboundConnection, OutboundRequest,
};
use buckthornwharf_platform::{registry, serving};
use bytes::Bytes;
use link_messages::{encode, sample_load};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LIMITS: InboundLimits = InboundLimits {
    head_bytes: 2000,
    body_bytes: 500,
    read_timeout: Duration::from_secs(20),
    idle_timeout: Duration::from_secs(20),
};

/// Seed of the cases.
const SEED: u64 = 1;

/// The same cases in each run.
fn seeded(cases: u32) -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::with_cases(cases) }
}

/// Text of which messages consist, in any order and with any repetition.
fn pieces(of: &'static [&'static str]) -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        8 => prop::sample::select(of).prop_map(|text| text.as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 0..4),
    ];
    prop::collection::vec(piece, 0..16).prop_map(|pieces| pieces.concat())
}

/// A valid message with some bytes replaced, removed or repeated.
fn mutated(message: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let change = (any::<prop::sample::Index>(), any::<u8>(), 0..4_u8);
    prop::collection::vec(change, 0..6).prop_map(move |changes| {
        let mut bytes = message.clone();
        for (at, byte, kind) in changes {
            if bytes.is_empty() {
                break;
            }
            let at = at.index(bytes.len());
            match kind {
                0 => bytes[at] = byte,
                1 => drop(bytes.remove(at)),
                2 => bytes.insert(at, byte),
                _ => bytes.truncate(at),
            }
        }
        bytes
    })
}

const REQUEST_PIECES: &[&str] = &[
    "GET / HTTP/1.1\r\nhost: h\r\n",
    "POST /a HTTP/1.1\r\nhost: h\r\n",
    "POST /a HTTP/1.0\r\n",
    "content-length: 3\r\n",
    "content-length: 600\r\n",
    "content-length: 18446744073709551616\r\n",
    "content-length: -1\r\n",
    "transfer-encoding: chunked\r\n",
    "expect: 100-continue\r\n",
    "upgrade: websocket\r\nconnection: upgrade\r\n",
    "a:b\r\n",
    "\r\n",
    "\n",
    "\r\n\r\n",
    "abc",
    "3\r\nabc\r\n",
    "0\r\n\r\n",
    "ffffffffffffffff\r\n",
    "258\r\n",
    ";ext=1\r\n",
];

const ANSWER_PIECES: &[&str] = &[
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.0 503 Busy\r\n",
    "HTTP/1.1 204 Empty\r\n",
    "content-length: 3\r\n",
    "content-length: 18446744073709551616\r\n",
    "transfer-encoding: chunked\r\n",
    "connection: close\r\n",
    "\r\n",
    "\r\n\r\n",
    "abc",
    "3\r\nabc\r\n",
    "0\r\n\r\n",
    "ffffffffffffffff\r\n",
];

fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(async {
        let done = tokio::time::timeout(Duration::from_secs(30), future).await;
        done.expect("the input is read or refused in time")
    })
}

/// Two ends of a connection.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    (near.expect("it connects"), far.expect("it is accepted").0)
}

/// Sends `bytes` in parts of this size and closes the connection.
async fn send(mut stream: TcpStream, bytes: &[u8], part: usize) {
    let _ = stream.set_nodelay(true);
    for part in bytes.chunks(part) {
        if stream.write_all(part).await.is_err() {
            return;
        }
        tokio::task::yield_now().await;
    }
    let _ = stream.shutdown().await;
    let _ =
        tokio::time::timeout(Duration::from_secs(10), stream.read_to_end(&mut Vec::new())).await;
}

/// What is read of requests: their bodies, and how reading ended.
async fn read_requests(bytes: &[u8], part: usize) -> (Vec<(Method, usize, Bytes)>, &'static str) {
    let (near, far) = connection().await;
    let read = async {
        let mut connection = InboundConnection::new(far);
        let mut requests = Vec::new();
        loop {
            let read = async {
                connection.wait_request(LIMITS.idle_timeout).await?;
                connection.read_request(&LIMITS).await
            };
            match read.await {
                Ok(request) => {
                    let parts = (request.method, request.headers.len(), request.body);
                    requests.push(parts);
                }
                Err(error) => {
                    let end = match error {
                        InboundError::Closed | InboundError::Broken(_) => "closed",
                        InboundError::HeadTooLarge | InboundError::BodyTooLarge => "too large",
                        InboundError::Malformed => "malformed",
                        _ => "other",
                    };
                    return (requests, end);
                }
            }
        }
    };
    let (read, ()) = tokio::join!(read, send(near, bytes, part));
    read
}

proptest! {
    #![proptest_config(seeded(96))]

    /// Guards against requests that are understood differently if they arrive in other parts, and against input
    /// that ends the process or is never refused.
    #[test]
    fn requests_are_read_alike_however_they_are_divided(
        bytes in pieces(REQUEST_PIECES), part in 1_usize..40,
    ) {
        let (whole, parts) = block_on(async {
            (read_requests(&bytes, usize::MAX).await, read_requests(&bytes, part).await)
        });
        prop_assert_eq!(&whole.0, &parts.0);
        prop_assert!(whole.0.iter().all(|(_, _, body)| body.len() <= LIMITS.body_bytes));
        prop_assert!(whole.1 != "other" && parts.1 != "other", "{} {}", whole.1, parts.1);
    }

    /// Guards against answers of targets that end the process or are never refused.
    #[test]
    fn answers_are_read_or_refused(bytes in pieces(ANSWER_PIECES), part in 1_usize..40) {
        block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("an address");
            let serve = async {
                let (stream, _) = listener.accept().await.expect("it is accepted");
                send(stream, &bytes, part).await;
            };
            let read = async {
                let open = OutboundConnection::open(address, Duration::from_secs(10)).await;
                let mut connection = open.expect("it connects");
                let request = OutboundRequest {
                    method: Method::GET,
                    uri: "/".parse().expect("a URI"),
                    headers: Default::default(),
                    body: Bytes::new(),
                };
                if connection.exchange(request).await.is_ok() {
                    while let Ok(BodyPart::Data(_)) = connection.read_body().await {}
                }
            };
            tokio::join!(serve, read);
        });
    }
}

proptest! {
    #![proptest_config(seeded(512))]

    /// Guards against events that are lost, repeated or cut if a stream arrives in other parts.
    #[test]
    fn event_streams_are_relayed_alike_however_they_are_divided(
        bytes in pieces(&["id: 1", "id: 2\n", "id", "data: a\n", ":c\n", "\n", "\r", "\r\n", "\n\n", "x"]),
        part in 1_usize..9,
    ) {
        let relay = |part: usize| {
            let mut stream = EventStream::default();
            let mut relayed = Vec::new();
            for part in bytes.chunks(part) {
                let events = stream.push(&Bytes::copy_from_slice(part)).expect("no event is too large");
                relayed.extend_from_slice(&events);
            }
            let end = stream.finish(AnswerEnd::Delimited);
            relayed.extend_from_slice(end.as_deref().unwrap_or_default());
            // An empty line after an event is not an event, and may be held back with an incomplete one.
            let events = relayed.trim_ascii_end().to_vec();
            (events, end.is_ok(), stream.last_id().map(str::to_owned))
        };
        let (whole, parts) = (relay(usize::MAX), relay(part));
        prop_assert!(bytes.starts_with(&whole.0));
        prop_assert_eq!(&whole, &parts);
    }

    /// Guards against messages on links that end the process.
    #[test]
    fn link_messages_are_read_or_refused(
        report in mutated(agent_message()), news in mutated(news_message()),
        noise in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        for bytes in [report, news, noise] {
            let _: Result<AgentMessage, _> = ciborium::from_reader(&bytes[..]);
            let _: Result<NewsMessage, _> = ciborium::from_reader(&bytes[..]);
        }
    }

    /// Guards against settings and items of the store that end the process.
    #[test]
    fn settings_and_items_are_read_or_refused(
        settings in mutated(settings()), config in mutated(config()), target in mutated(target()),
    ) {
        let _ = DirectSettings::parse(&String::from_utf8_lossy(&settings));
        let _ = serving::read_config(&config);
        let _ = serving::read_version(&config);
        let _ = registry::read_target("servers/t", &target);
    }
}

fn agent_message() -> Vec<u8> {
    encode(&AgentMessage::new(sample_load(), Vec::new()))
}

fn news_message() -> Vec<u8> {
    let versions = [json!({ "model": "m", "version": 2, "age": 5 })];
    encode(&json!({ "current": true, "versions": versions }))
}

fn settings() -> Vec<u8> {
    json!({
        "host": "e", "site": "a", "regions": { "a": "a" }, "store": "127.0.0.1:1",
        "peers": { "ip": "127.0.0.1", "ports": [0, 0] }, "bounds": { "retry_ratio": 0.2 },
        "host_limits": { "memory_megabytes": 160, "descriptors": 256 },
        "entry": { "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0" },
    })
    .to_string()
    .into_bytes()
}

fn config() -> Vec<u8> {
    json!({
        "version": 1, "model": "m",
        "routes": [{
            "name": "r", "host": "h", "prefix": "/", "kind": "stream", "timeout_ms": 1000,
            "target_latency_ms": 400, "priority": 1, "service": "s", "max_attempts": 2,
        }],
        "services": [{ "name": "s", "max_connections": 10 }],
        "limits": {
            "header_bytes": 16_000, "max_body_bytes": 100_000, "header_timeout_ms": 5000,
            "idle_timeout_ms": 30_000,
        },
        "tenants": [{ "name": "o", "api_keys": ["k"] }],
    })
    .to_string()
    .into_bytes()
}

fn target() -> Vec<u8> {
    json!({
        "service": "s", "address": "127.0.0.1:1", "zone": "a", "version": "v1", "slots": 4,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        "models": [{ "name": "m", "version": 1, "adapters": [] }], "born": 5,
    })
    .to_string()
    .into_bytes()
}

/// Guards against fuzz tests that start from messages which are refused anyway.
#[test]
fn the_messages_that_are_changed_are_valid() {
    ciborium::from_reader::<AgentMessage, _>(&agent_message()[..]).expect("a valid message");
    ciborium::from_reader::<NewsMessage, _>(&news_message()[..]).expect("valid news");
    DirectSettings::parse(&String::from_utf8_lossy(&settings())).expect("valid settings");
    serving::read_config(&config()).expect("a valid configuration");
    registry::read_target("servers/t", &target()).expect("a valid registration");
}
