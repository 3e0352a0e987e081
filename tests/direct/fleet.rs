//! An entry as a process, with stand-ins for the store and the targets.

use super::standin::caller::CallerRequest;
use super::standin::engine::{Conduct, EngineStandin};
use super::standin::operator::{self, RouteTimes};
use super::standin::store::StoreStandin;
use actix_http::Method;
use buckthornwharf_exchange::{AnswerHead, OutboundRequest};
use buckthornwharf_exchange::{BodyPart, CallClient, OutboundCall, OutboundConnection};
use buckthornwharf_standin::fleet::FleetProcess;
use bytes::Bytes;
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tempfile::TempDir;

/// Time within which a condition must hold.
const LIMIT: Duration = Duration::from_secs(30);
const PACE: Duration = Duration::from_millis(20);
/// Longer than the time for which a target that failed is passed over.
const REST: Duration = Duration::from_millis(1500);

/// What a caller got.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub body: String,
    /// Whether the answer ended as an answer ends.
    pub whole: bool,
    head: AnswerHead,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Time after which a declared version is the only one in force.
const VERSION_TIME_MS: u64 = 8000;

/// An entry between callers and targets.
pub struct DirectFleet {
    pub store: Rc<StoreStandin>,
    pub engines: Vec<Rc<EngineStandin>>,
    entry: FleetProcess,
    callers: SocketAddr,
    readiness: SocketAddr,
    _folder: TempDir,
}

/// Waits until `condition` holds.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let end = tokio::time::Instant::now() + LIMIT;
    while !condition() {
        assert!(tokio::time::Instant::now() < end, "not within {LIMIT:?}: {what}");
        actix_rt::time::sleep(PACE).await;
    }
}

impl DirectFleet {
    /// Starts an entry with `targets` targets and waits until it is ready.
    pub async fn start(targets: usize) -> Self {
        Self::start_with(targets, VERSION_TIME_MS).await
    }

    /// The same where a declared version has to be in force after `version_time_ms`.
    pub async fn start_with(targets: usize, version_time_ms: u64) -> Self {
        let store = StoreStandin::start().await;
        let mut engines = Vec::new();
        for number in 0..targets {
            let engine = EngineStandin::start(&format!("engine-{number}")).await;
            store.put(&format!("servers/{}", engine.id), &engine.entry("ledger", "ready"));
            engines.push(engine);
        }
        let folder = TempDir::new().expect("a folder");
        let settings = json!({
            "host": "entry-1", "site": "a", "regions": { "a": "a" },
            "store": store.address.to_string(),
            "peers": { "ip": "127.0.0.1", "ports": [0, 0] },
            "bounds": {
                "retry_ratio": 0.2, "retry_extra": 100, "retry_window": 10, "grace": 8,
                "version_time": version_time_ms,
            },
            "entry": { "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0" },
        });
        let path = folder.path().join("settings.yml");
        std::fs::write(&path, settings.to_string()).expect("the folder can be written");
        let program = Path::new(env!("CARGO_BIN_EXE_buckthornwharf"));
        let path = path.to_str().expect("a plain path");
        let arguments = ["entry", "--settings", path];
        let entry = FleetProcess::spawn("entry", program, &arguments, folder.path());
        let mut entry = entry.expect("the entry starts");
        let ready = entry.wait_ready().await.expect("the entry listens");
        let address = |name: &str| *ready.get(name).expect("an address");
        let (callers, readiness) = (address("callers"), address("readiness"));
        let fleet = Self { store, engines, entry, callers, readiness, _folder: folder };
        assert_eq!(fleet.readiness().await, Some(503), "nothing is configured yet");
        assert_eq!(fleet.get("/plain/x", "early").await.status, 503);
        fleet.put_config(1, "/plain/", "secret");
        fleet.until_status("/plain/x", "secret", 200).await;
        assert_eq!(fleet.readiness().await, Some(200));
        fleet.engines.iter().for_each(|engine| engine.seen.borrow_mut().clear());
        fleet
    }

    /// Puts a configuration into force with an idempotent route at `prefix`.
    pub fn put_config(&self, version: u64, prefix: &str, key: &str) {
        let times = RouteTimes { timeout_ms: 6000, objective_ms: 400 };
        let route = |prefix: &str, kind: &str| operator::route(prefix, kind, "ledger", times);
        let routes = [
            route(prefix, "idempotent"),
            route("/once/", "non_idempotent"),
            route("/stream/", "stream"),
        ];
        let services = json!([{ "name": "ledger", "max_connections": 100 }]);
        operator::put_config(&self.store, version, &routes, &services, key);
    }

    /// Declares a version of the model that the targets have loaded, and waits until the entry has
    /// heard of it.
    pub async fn declare(&self, version: u64) {
        operator::declare(&self.store, version);
        eventually("the entry hears of the version", || self.store.is_followed("op/")).await;
    }

    /// Changes the state that a target gives of itself.
    pub fn set_state(&self, number: usize, state: &str) {
        let engine = &self.engines[number];
        self.store.put(&format!("servers/{}", engine.id), &engine.entry("ledger", state));
    }

    pub fn runs(&self) -> usize {
        self.engines.iter().map(|engine| engine.runs()).sum()
    }

    /// Waits until targets that failed are used again.
    pub async fn rest(&self) {
        actix_rt::time::sleep(REST).await;
    }

    pub async fn get(&self, path: &str, id: &str) -> Reply {
        self.get_with_key(path, id, "secret").await
    }

    pub async fn get_with_key(&self, path: &str, id: &str, key: &str) -> Reply {
        self.send(Method::GET, path, id, key, "").await
    }

    pub async fn post(&self, path: &str, id: &str) -> Reply {
        self.send(Method::POST, path, id, "secret", "an order").await
    }

    async fn send(&self, method: Method, path: &str, id: &str, key: &str, body: &str) -> Reply {
        let mut connection = self.connect().await;
        let request = request_of(method, path, id, key, body);
        let head = connection.exchange(request).await.expect("an answer");
        let mut bytes = Vec::new();
        let whole = loop {
            match connection.read_body().await {
                Ok(BodyPart::Data(part)) => bytes.extend_from_slice(&part),
                Ok(BodyPart::End) => break true,
                Err(_) => break false,
            }
        };
        let body = String::from_utf8(bytes).expect("text");
        Reply { status: head.status.as_u16(), body, whole, head }
    }

    async fn connect(&self) -> OutboundConnection {
        OutboundConnection::open(self.callers, LIMIT).await.expect("the entry takes connections")
    }

    /// Sends a request and closes the connection once a target has it.
    pub async fn leave_early(&self, path: &str, id: &str) {
        let mut connection = self.connect().await;
        let exchange = connection.exchange(request_of(Method::GET, path, id, "secret", ""));
        let arrived = eventually("the request arrives", || self.runs() > 0);
        tokio::select! {
            _ = exchange => panic!("the target never answers"),
            () = arrived => {}
        }
    }

    /// Sends a request and tells the entry to leave once a target has it.
    pub async fn get_while_leaving(&mut self, path: &str, id: &str) -> Reply {
        let mut connection = self.connect().await;
        let exchange = connection.exchange(request_of(Method::GET, path, id, "secret", ""));
        let engines = self.engines.clone();
        let entry = &mut self.entry;
        let leave = async move {
            let arrived = || engines.iter().any(|engine| engine.runs() > 0);
            eventually("the request arrives", arrived).await;
            entry.terminate().expect("the entry runs");
        };
        let (head, ()) = tokio::join!(exchange, leave);
        let head = head.expect("an answer");
        let mut body = String::new();
        while let BodyPart::Data(part) = connection.read_body().await.expect("the whole answer") {
            body += std::str::from_utf8(&part).expect("text");
        }
        Reply { status: head.status.as_u16(), body, whole: true, head }
    }

    /// Asks until the status is `status`.
    pub async fn until_status(&self, path: &str, key: &str, status: u16) {
        let end = tokio::time::Instant::now() + LIMIT;
        let mut number = 0;
        while self.get_with_key(path, &format!("until-{path}-{number}"), key).await.status != status
        {
            assert!(tokio::time::Instant::now() < end, "{path} does not answer {status}");
            number += 1;
            actix_rt::time::sleep(PACE).await;
        }
    }

    /// Sends requests until several in a row pass target `number` by.
    pub async fn until_untouched(&self, number: usize) {
        let end = tokio::time::Instant::now() + LIMIT;
        let mut quiet = 0;
        while quiet < 8 {
            assert!(tokio::time::Instant::now() < end, "the target still gets requests");
            let before = self.engines[number].runs();
            self.get("/plain/x", "probe").await;
            quiet = if self.engines[number].runs() == before { quiet + 1 } else { 0 };
        }
    }

    /// The status of the entry's readiness; none if it is gone.
    pub async fn readiness(&self) -> Option<u16> {
        let call = OutboundCall {
            method: Method::GET,
            path_and_query: "/buckthornwharf/readiness".to_owned(),
            body: Bytes::new(),
            content_type: "",
            head_timeout: LIMIT,
            max_answer_bytes: 1000,
        };
        let answer = CallClient::new(self.readiness).call(call).await.ok()?;
        Some(answer.status.as_u16())
    }

    /// Whether the entry ends by itself.
    pub async fn has_ended(&mut self) -> bool {
        self.entry.wait_exit(LIMIT).await.is_ok_and(|status| status.success())
    }
}

impl Drop for DirectFleet {
    fn drop(&mut self) {
        // Connections that hang would hold up the end of the test's runtime.
        self.engines.iter().for_each(|engine| engine.conduct.set(Conduct::Serve));
    }
}

fn request_of(method: Method, path: &str, id: &str, key: &str, body: &str) -> OutboundRequest {
    let body = body.to_owned();
    let (deadline_ms, tokens) = ("5000", "10,10");
    CallerRequest { method, path, id, key, deadline_ms, tokens, body }.outbound()
}
