//! Callers that send requests all the while, and what became of each.

use super::fleet::SoakFleet;
use super::standin::caller::{self, CallerReply};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Callers at once.
const CALLERS: u64 = 6;
/// Pause of a caller between requests.
const PAUSE: Duration = Duration::from_millis(25);

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Any number of runs.
    Idempotent,
    /// One run.
    Once,
    /// A stream that may go on elsewhere.
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

/// A request and what its caller got.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: RequestKind,
    /// What came back.
    pub reply: CallerReply,
}

/// All requests of a run.
#[derive(Default)]
pub struct CallerLedger {
    /// Those that have ended.
    pub sent: RefCell<Vec<SentRequest>>,
    /// Whether callers go on.
    pub stopped: Cell<bool>,
    open: Cell<u64>,
}

impl CallerLedger {
    /// Starts the callers.
    pub fn start(fleet: &Rc<SoakFleet>, seed: u64) -> Rc<Self> {
        let ledger = Rc::new(Self::default());
        for number in 0..CALLERS {
            let (fleet, ledger) = (fleet.clone(), ledger.clone());
            ledger.open.set(ledger.open.get() + 1);
            actix_rt::spawn(async move {
                call_on(&fleet, &ledger, number, seed).await;
                ledger.open.set(ledger.open.get() - 1);
            });
        }
        ledger
    }

    /// Whether all callers have stopped.
    pub fn is_idle(&self) -> bool {
        self.open.get() == 0
    }
}

async fn call_on(fleet: &SoakFleet, ledger: &CallerLedger, number: u64, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ (number << 32));
    let mut count = 0_u32;
    while !ledger.stopped.get() {
        actix_rt::time::sleep(PAUSE).await;
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
        ledger.sent.borrow_mut().push(SentRequest { id, kind, reply });
    }
}
