//! Callers that send requests continuously and record the answers.

use super::fleet::SoakFleet;
use super::standin::caller::{self, CallerReply};
use super::standin::operator::HOST;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Number of concurrent callers.
const CALLER_COUNT: u64 = 6;
/// Pause of a caller before each request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Number of callers that stop in the middle of their requests.
const STALLING_CALLER_COUNT: usize = 4;
/// Size of their bodies without the last byte.
const STALLED_BYTES: usize = 90_000;
/// Time for which they keep a connection open.
const STALL_TIME: Duration = Duration::from_millis(700);

/// How often a request may run, which its route determines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    Once,
    /// A stream that may be resumed at another target.
    Stream,
}

impl RequestKind {
    fn path(self) -> &'static str {
        match self {
            RequestKind::Idempotent => "/plain/x",
            RequestKind::Once => "/once/x",
            RequestKind::Stream => "/stream/x",
        }
    }
}

/// A request and the answer that its caller got.
#[derive(Debug, Clone)]
pub struct SentRequest {
    pub id: String,
    pub kind: RequestKind,
    /// The answer, or the part received before the deadline.
    pub reply: CallerReply,
}

/// The callers of a soak run and their requests.
#[derive(Default)]
pub struct CallerPool {
    /// Requests that are finished.
    pub sent: RefCell<Vec<SentRequest>>,
    /// Set to make the callers stop after their current request.
    pub stopped: Cell<bool>,
    active: Cell<u64>,
}

impl CallerPool {
    /// Starts the callers.
    pub fn start(fleet: &Rc<SoakFleet>, seed: u64) -> Rc<Self> {
        let pool = Rc::new(Self::default());
        for number in 0..CALLER_COUNT {
            let (fleet, pool) = (fleet.clone(), pool.clone());
            pool.active.set(pool.active.get() + 1);
            actix_rt::spawn(async move {
                send_requests(&fleet, &pool, number, seed).await;
                pool.active.set(pool.active.get() - 1);
            });
        }
        for number in 0..STALLING_CALLER_COUNT {
            actix_rt::spawn(stall(fleet.clone(), pool.clone(), number));
        }
        pool
    }

    /// Whether all callers have stopped.
    pub fn is_idle(&self) -> bool {
        self.active.get() == 0
    }
}

/// Opens connections, sends a body but its last byte on each, and leaves it open for a while.
async fn stall(fleet: Rc<SoakFleet>, pool: Rc<CallerPool>, number: usize) {
    let head = format!(
        "POST /plain/x HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: stalled\r\ncontent-length: {}\r\n\r\n",
        STALLED_BYTES + 1
    );
    while !pool.stopped.get() {
        let entries: Vec<_> = fleet.entries().filter_map(|entry| entry.callers.get()).collect();
        if let Some(entry) = entries.get(number % entries.len().max(1)) {
            let send = async {
                let mut stream = TcpStream::connect(entry).await?;
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(&[b'x'; STALLED_BYTES]).await?;
                stream.read_to_end(&mut Vec::new()).await
            };
            // The entry may refuse the request, close the connection or be gone.
            let _ = tokio::time::timeout(STALL_TIME, send).await;
        }
        actix_rt::time::sleep(REQUEST_INTERVAL).await;
    }
}

async fn send_requests(fleet: &SoakFleet, pool: &CallerPool, number: u64, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ (number << 32));
    let mut count = 0_u32;
    while !pool.stopped.get() {
        actix_rt::time::sleep(REQUEST_INTERVAL).await;
        let entries: Vec<_> = fleet.entries().filter_map(|entry| entry.callers.get()).collect();
        if entries.is_empty() {
            continue;
        }
        let entry = entries[rng.random_range(0..entries.len())];
        let kinds = [RequestKind::Idempotent, RequestKind::Once, RequestKind::Stream];
        let kind = kinds[rng.random_range(0..kinds.len())];
        let id = format!("{number}-{count}");
        count += 1;
        let key = fleet.config.borrow().key.clone();
        let reply = caller::send(entry, kind.path(), &id, &key).await;
        pool.sent.borrow_mut().push(SentRequest { id, kind, reply });
    }
}
