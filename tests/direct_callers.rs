//! End-to-end tests of callers that misbehave: an entry process on a small host stays within its memory and
//! descriptors, and serves ordinary callers meanwhile.

#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use fleet::{DirectFleet, VERSION_TIME_MS, eventually};
use futures_util::future::{join, join_all};
use serde_json::json;
use standin::operator::{self, HOST, RouteTimes};
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Memory of the host. The requests of one attack are several times as large.
const MEMORY_MEGABYTES: u64 = 96;
/// Largest legal body.
const MAX_BODY_BYTES: usize = 1_000_000;
/// Connections of one attack.
const CONNECTIONS: usize = 300;
/// Time for which attackers keep their connections open at most.
const ATTACK_TIME: Duration = Duration::from_millis(1500);
/// Pause of an attacker that sends slowly.
const SLOW_INTERVAL: Duration = Duration::from_millis(50);
const READINESS_PATH: &str = "/buckthornwharf/readiness";

/// What a caller that misbehaves does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attack {
    /// Sends a body but its last byte at once.
    UnfinishedBody,
    /// Sends a body but its last byte in pieces.
    UnfinishedPieces,
    /// Sends a body but its last byte in HTTP chunks.
    UnfinishedChunks,
    /// Declares a body far over the limit, and sends it.
    DeclaredTooLarge,
    /// Sends HTTP chunks without an end.
    EndlessChunks,
    /// Sends very many short header fields.
    ManyFields,
    /// Sends as many header fields as are legal, and no body.
    LegalFields,
    /// Sends requests that the entry refuses, without reading the answers.
    Pipelined,
    /// The same, but reads the answers a byte at a time.
    SlowReader,
    /// Sends requests that a target answers, without reading the answers; on few connections, as the targets' slots
    /// would otherwise be too few for ordinary callers.
    UnreadAnswers,
    /// Sends a head a byte at a time.
    SlowHead,
    /// Sends a body a byte at a time.
    SlowBody,
    /// Stops in the middle of a head.
    UnfinishedHead,
    /// Sends what is no HTTP.
    Garbage,
}

const ATTACKS: [Attack; 14] = [
    Attack::UnfinishedBody,
    Attack::UnfinishedPieces,
    Attack::UnfinishedChunks,
    Attack::DeclaredTooLarge,
    Attack::EndlessChunks,
    Attack::ManyFields,
    Attack::LegalFields,
    Attack::Pipelined,
    Attack::SlowReader,
    Attack::UnreadAnswers,
    Attack::SlowHead,
    Attack::SlowBody,
    Attack::UnfinishedHead,
    Attack::Garbage,
];

fn head(method: &str, path: &str, fields: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer secret\r\n\
         attempt-id: attack\r\ndeadline-ms: 5000\r\n{fields}\r\n"
    )
}

fn short_fields(count: usize) -> String {
    (0..count).map(|number| format!("a{number}: b\r\n")).collect()
}

/// Carries out the attack; ends early if the connection fails.
async fn attack(address: SocketAddr, path: &str, attack: Attack) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    let body = vec![b'x'; MAX_BODY_BYTES - 1];
    let sized = |bytes: u64| head("POST", path, &format!("content-length: {bytes}\r\n"));
    let chunked = head("POST", path, "transfer-encoding: chunked\r\n");
    match attack {
        Attack::UnfinishedBody | Attack::UnfinishedPieces => {
            stream.write_all(sized(MAX_BODY_BYTES as u64).as_bytes()).await?;
            let piece = if attack == Attack::UnfinishedBody { body.len() } else { 10_000 };
            for piece in body.chunks(piece) {
                stream.write_all(piece).await?;
                tokio::task::yield_now().await;
            }
        }
        Attack::UnfinishedChunks | Attack::EndlessChunks => {
            stream.write_all(chunked.as_bytes()).await?;
            let chunks = if attack == Attack::EndlessChunks { 3000 } else { 999 };
            for _ in 0..chunks {
                stream.write_all(b"3e8\r\n").await?;
                stream.write_all(&body[..1000]).await?;
                stream.write_all(b"\r\n").await?;
            }
        }
        Attack::DeclaredTooLarge => {
            stream.write_all(sized(1 << 40).as_bytes()).await?;
            for _ in 0..3 {
                stream.write_all(&body).await?;
            }
        }
        Attack::ManyFields => {
            stream.write_all(head("GET", path, &short_fields(2000)).as_bytes()).await?;
        }
        Attack::LegalFields => {
            let fields = short_fields(85) + "content-length: 1000\r\n";
            stream.write_all(head("POST", path, &fields).as_bytes()).await?;
        }
        Attack::SlowReader => {
            let request = head("GET", path, "").replace("secret", "unknown");
            stream.write_all(request.repeat(200).as_bytes()).await?;
            while stream.read(&mut [0]).await? > 0 {
                tokio::time::sleep(SLOW_INTERVAL).await;
            }
        }
        Attack::Pipelined | Attack::UnreadAnswers => {
            let request = match attack {
                Attack::Pipelined => head("GET", path, "").replace("secret", "unknown"),
                _ => head("GET", path, ""),
            };
            for _ in 0..2000 {
                stream.write_all(request.as_bytes()).await?;
            }
        }
        Attack::SlowHead | Attack::SlowBody => {
            let text = match attack {
                Attack::SlowHead => head("GET", path, &short_fields(20)),
                _ => {
                    stream.write_all(sized(1000).as_bytes()).await?;
                    "x".repeat(1000)
                }
            };
            for byte in text.as_bytes() {
                stream.write_all(&[*byte]).await?;
                tokio::time::sleep(SLOW_INTERVAL).await;
            }
        }
        Attack::UnfinishedHead => {
            stream.write_all(&head("GET", path, "a: b").as_bytes()[..60]).await?;
        }
        Attack::Garbage => stream.write_all(&body[..100_000]).await?,
    }
    if !matches!(attack, Attack::Pipelined | Attack::UnreadAnswers) {
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
    }
    std::future::pending().await
}

/// Carries out the attack on many connections, at all addresses of the entry, on a thread of its own: the callers
/// of the test would otherwise wait for the attackers rather than for the entry.
fn attack_everywhere(fleet: &DirectFleet, kind: Attack) -> JoinHandle<()> {
    let (callers, readiness) = (fleet.caller_address(), fleet.readiness_address());
    let places = [
        (callers, "/plain/x"),
        (callers, "/nowhere/x"),
        (callers, READINESS_PATH),
        (readiness, READINESS_PATH),
        (fleet.peer_address(), "/loads"),
    ];
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async {
            let connections = match kind {
                Attack::UnreadAnswers => 2 * places.len(),
                _ => CONNECTIONS,
            };
            let attackers = (0..connections).map(|number| {
                let (address, path) = places[number % places.len()];
                tokio::time::timeout(ATTACK_TIME, attack(address, path, kind))
            });
            join_all(attackers).await;
        });
    })
}

/// Sends ordinary requests until the attack is over, and returns their number. All have to be served.
async fn call_during(fleet: &DirectFleet, name: &str, attack: &JoinHandle<()>) -> usize {
    let mut number = 0;
    while !attack.is_finished() {
        let id = format!("{name}-{number}");
        let reply = match number % 2 {
            0 => fleet.get("/plain/x", &id).await,
            _ => fleet.prompt(0, "/plain/x", &id, "").await,
        };
        assert_eq!(reply.status, 200, "an ordinary request was refused: {}", reply.body);
        number += 1;
    }
    number
}

fn open_descriptors(fleet: &DirectFleet) -> usize {
    let folder = std::fs::read_dir(format!("/proc/{}/fd", fleet.entry_process_id()));
    folder.expect("the entry runs").count()
}

/// Writes a configuration with the largest legal body of these tests.
async fn put_body_limit(fleet: &DirectFleet) {
    let times = RouteTimes { timeout_ms: 6000, objective_ms: 400 };
    let config = json!({
        "version": 2,
        "routes": [
            operator::route("/plain/", "idempotent", "ledger", times),
            operator::route("/limited/", "idempotent", "ledger", times),
        ],
        "services": [{ "name": "ledger", "max_connections": 100 }],
        "limits": {
            "header_bytes": 16_000, "max_body_bytes": MAX_BODY_BYTES, "header_timeout_ms": 5000,
            "idle_timeout_ms": 30_000,
        },
        "tenants": [{ "name": "mill", "api_keys": ["secret"] }],
    });
    fleet.store.put("op/config", &config);
    fleet.wait_status("/limited/x", "secret", 200).await;
}

/// Sends a request with a body of the largest legal size and returns the status of the answer.
async fn largest_request(fleet: &DirectFleet) -> String {
    let mut stream = TcpStream::connect(fleet.caller_address()).await.expect("it connects");
    let fields = format!("connection: close\r\ncontent-length: {MAX_BODY_BYTES}\r\n");
    stream.write_all(head("POST", "/plain/x", &fields).as_bytes()).await.expect("it is read");
    stream.write_all(&vec![b'x'; MAX_BODY_BYTES]).await.expect("it is read");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("an answer");
    String::from_utf8_lossy(&answer).lines().next().unwrap_or_default().to_owned()
}

/// Guards against a process that is killed for its memory, or that hangs or refuses ordinary callers, because of
/// others.
#[actix_rt::test]
async fn an_entry_stays_within_its_memory_and_serves_ordinary_callers() {
    let limits = json!({ "memory_megabytes": MEMORY_MEGABYTES });
    let fleet = DirectFleet::start_on(2, 1, VERSION_TIME_MS, limits, None).await;
    put_body_limit(&fleet).await;
    assert_eq!(largest_request(&fleet).await, "HTTP/1.1 200 OK");
    for kind in ATTACKS {
        let attack = attack_everywhere(&fleet, kind);
        let callers = join(call_during(&fleet, "a", &attack), call_during(&fleet, "b", &attack));
        let (served, also_served) = callers.await;
        attack.join().expect("the attack is carried out");
        assert!(fleet.is_entry_running(), "{kind:?}: the entry ended");
        let peak = fleet.peak_memory();
        println!("{kind:?}: peak {peak}, served {}", served + also_served);
        assert!(peak < MEMORY_MEGABYTES * 1_000_000, "{kind:?}: {peak} bytes are resident");
        assert_eq!(fleet.readiness().await, Some(200), "{kind:?}");
    }
    // Connections of the attacks may still be closing.
    let deadline = std::time::Instant::now() + Duration::from_secs(30);
    while largest_request(&fleet).await != "HTTP/1.1 200 OK" {
        assert!(std::time::Instant::now() < deadline, "the largest request is not served");
    }
}

/// Guards against callers that take the descriptors of targets, links and the store.
#[actix_rt::test]
async fn idle_callers_leave_descriptors_to_others() {
    const DESCRIPTORS: u32 = 128;
    let limits = json!({ "descriptors": DESCRIPTORS });
    let fleet = DirectFleet::start_on(2, 1, VERSION_TIME_MS, limits, Some(DESCRIPTORS)).await;
    let mut idle = Vec::new();
    for address in [fleet.caller_address(), fleet.readiness_address(), fleet.peer_address()] {
        for _ in 0..CONNECTIONS / 3 {
            idle.push(TcpStream::connect(address).await.expect("it connects"));
        }
        for number in 0..5 {
            assert_eq!(fleet.get("/plain/x", &format!("id-{number}")).await.status, 200);
            assert_eq!(fleet.readiness().await, Some(200));
        }
    }
    eventually("connections are closed", || open_descriptors(&fleet) < DESCRIPTORS as usize).await;
    assert!(!fleet.entry_log(0).contains("accept_failed"), "the descriptors ran out");
}

/// Guards against an entry that accepts no connections any more, or logs each failure, once its descriptors have
/// run out, as the settings do not name their number.
#[actix_rt::test]
async fn an_entry_accepts_connections_again_after_its_descriptors_ran_out() {
    let fleet = DirectFleet::start_on(1, 1, VERSION_TIME_MS, json!({}), Some(64)).await;
    let mut idle = Vec::new();
    for _ in 0..100 {
        idle.push(TcpStream::connect(fleet.caller_address()).await.expect("it connects"));
    }
    let failures = || fleet.entry_log(0).matches("reason=accept_failed").count();
    eventually("a connection is not accepted", || failures() > 0).await;
    drop(idle);
    assert_eq!(fleet.get("/plain/x", "after").await.status, 200);
    assert!(failures() <= 2, "each failure is logged: {}", failures());
}

/// Sends `text` and returns the status line of the answer.
async fn status_of(fleet: &DirectFleet, text: &str) -> String {
    let mut stream = TcpStream::connect(fleet.caller_address()).await.expect("it connects");
    stream.write_all(text.as_bytes()).await.expect("it is read");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("an answer");
    String::from_utf8_lossy(&answer).lines().next().unwrap_or_default().to_owned()
}

/// Guards against bodies that are read, or waited for, although their length is known to be too large, and against
/// a wrong status for too many fields.
#[actix_rt::test]
async fn requests_over_a_limit_are_refused_before_they_are_read() {
    let fleet = DirectFleet::start(1).await;
    let before = fleet.runs();
    for expect in ["", "expect: 100-continue\r\n"] {
        let fields = format!("{expect}content-length: 100001\r\n");
        let status = status_of(&fleet, &head("POST", "/plain/x", &fields)).await;
        assert_eq!(status, "HTTP/1.1 413 Payload Too Large");
    }
    let status = status_of(&fleet, &head("GET", "/plain/x", &short_fields(200))).await;
    assert_eq!(status, "HTTP/1.1 431 Request Header Fields Too Large");
    assert_eq!(fleet.runs(), before, "a refused request was run");
}
