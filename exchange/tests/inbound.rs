//! Requests of callers over real TCP connections, within a budget.

use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::header::HeaderMap;
use buckthornwharf_core::direct::memory::{BudgetLimits, ConnectionKind, SMALL_BYTES};
use buckthornwharf_exchange::{
    InboundConnection, InboundError, InboundLimits, InboundRequest, ProcessMemory, limit_buffers,
};
use bytes::Bytes;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const LIMITS: InboundLimits = InboundLimits {
    head_bytes: 16_000,
    body_bytes: 1_000_000,
    read_timeout: Duration::from_secs(60),
    idle_timeout: Duration::from_secs(60),
};
const LARGE: usize = 4 * SMALL_BYTES;

/// A listener whose connections have a budget.
struct Server {
    listener: TcpListener,
    memory: Rc<ProcessMemory>,
}

impl Server {
    /// Starts a server with room for one body of [`LARGE`] bytes.
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        limit_buffers(&listener, 8 * 1024).expect("the buffers are limited");
        let large_bytes = LARGE + LARGE / 2;
        let limits = BudgetLimits { large_bytes, callers: 4, services: 4, links: 4 };
        Self { listener, memory: ProcessMemory::new(Some(limits)) }
    }

    /// Opens a connection, and returns its two ends.
    async fn connect(&self) -> (TcpStream, InboundConnection) {
        let address = self.listener.local_addr().expect("an address");
        let (near, far) = tokio::join!(TcpStream::connect(address), self.listener.accept());
        let (stream, source) = far.expect("it is accepted");
        let memory = self.memory.admit(ConnectionKind::Caller, source.ip()).expect("room for it");
        (near.expect("it connects"), InboundConnection::with_memory(stream, memory))
    }
}

async fn read(connection: &mut InboundConnection) -> Result<InboundRequest, InboundError> {
    connection.wait_request(LIMITS.idle_timeout).await?;
    connection.read_request(&LIMITS).await
}

async fn send(stream: &mut TcpStream, declared_bytes: usize, sent_bytes: usize) {
    let head = format!("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: {declared_bytes}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("the connection is open");
    // A request that is refused is not read further.
    let _ = stream.write_all(&vec![b'x'; sent_bytes]).await;
}

/// Guards against stalled bodies that keep the memory from other requests, and against requests that are refused
/// while there is room.
#[actix_rt::test]
async fn a_stalled_body_makes_room_for_another_one() {
    let server = Server::start().await;
    let (mut stalled, mut first) = server.connect().await;
    let (mut complete, mut second) = server.connect().await;
    let (mut small, mut third) = server.connect().await;
    let stalls = async {
        let (read, ()) = tokio::join!(read(&mut first), send(&mut stalled, LARGE, LARGE - 1));
        read
    };
    let follows = async {
        while server.memory.held_bytes() < LARGE {
            tokio::task::yield_now().await;
        }
        let (read_small, ()) = tokio::join!(read(&mut third), send(&mut small, 1000, 1000));
        assert!(server.memory.held_bytes() >= LARGE, "the stalled body made room for a small one");
        let (read, ()) = tokio::join!(read(&mut second), send(&mut complete, LARGE, LARGE));
        (read_small, read)
    };
    let (stalled, (small, complete)) = tokio::join!(stalls, follows);
    assert!(matches!(stalled, Err(InboundError::NoMemory)), "{stalled:?}");
    assert_eq!(small.expect("a small request").body.len(), 1000);
    assert_eq!(complete.expect("a complete request").body.len(), LARGE);
}

/// Guards against memory that stays counted, so that the budget shrinks with each request.
#[actix_rt::test]
async fn all_is_released_with_the_connections() {
    let server = Server::start().await;
    for _ in 0..20 {
        let (mut caller, mut connection) = server.connect().await;
        let (read, ()) = tokio::join!(read(&mut connection), send(&mut caller, LARGE, LARGE));
        assert_eq!(read.expect("a request").body.len(), LARGE);
    }
    assert_eq!((server.memory.held_bytes(), server.memory.connections()), (0, 0));
}

/// Guards against requests that are handled while their caller reads no answers.
#[actix_rt::test]
async fn a_caller_that_does_not_read_is_given_up() {
    let server = Server::start().await;
    let (_caller, mut connection) = server.connect().await;
    connection.set_write_timeout(Duration::from_millis(50));
    let size = BodySize::Stream;
    let head = connection.put_head(StatusCode::OK, HeaderMap::new(), size, false);
    head.expect("a head");
    connection.put_body(Bytes::from(vec![b'x'; 8_000_000])).expect("a part");
    let sent = connection.flush().await.expect_err("the caller reads nothing");
    assert_eq!(sent.kind(), io::ErrorKind::TimedOut);
}

/// Guards against connections that are refused although idle ones could make room.
#[actix_rt::test]
async fn an_idle_connection_makes_room_for_a_new_one() {
    let server = Server::start().await;
    let (_caller, mut oldest) = server.connect().await;
    let mut others = Vec::new();
    for _ in 0..4 {
        others.push(server.connect().await);
    }
    let evicted = read(&mut oldest).await;
    assert!(matches!(evicted, Err(InboundError::NoMemory)), "{evicted:?}");
    for (caller, connection) in &mut others {
        let (read, ()) = tokio::join!(read(connection), send(caller, 10, 10));
        assert_eq!(read.expect("a request").body.len(), 10);
    }
}

/// Guards against a codec that is asked to parse a long head again with each byte, and against heads whose end is
/// missed when it arrives in parts.
#[actix_rt::test]
async fn a_head_that_arrives_a_byte_at_a_time_is_read() {
    let server = Server::start().await;
    for end in ["\r\n\r\n", "\n\n", "\r\n\n", "\n\r\n"] {
        let (mut caller, mut connection) = server.connect().await;
        caller.set_nodelay(true).expect("an option of the socket");
        let send = async {
            for byte in format!("GET /a HTTP/1.1\r\nhost: h{end}").as_bytes() {
                caller.write_all(&[*byte]).await.expect("the connection is open");
                tokio::task::yield_now().await;
            }
        };
        let (read, ()) = tokio::join!(read(&mut connection), send);
        assert_eq!(read.expect("a request").uri.path(), "/a", "{end:?}");
    }
}
