//! An entry process with stand-ins of the store and the targets.

#[path = "calls.rs"]
pub mod calls;

use super::standin::engine::{EngineBehaviour, EngineStandin};
use super::standin::operator::{self, RouteTimes};
use super::standin::script::{AnswerScript, ScriptedAnswer};
use super::standin::store::StoreStandin;
use actix_http::Method;
use buckthornwharf_exchange::{CallClient, OutboundCall};
use buckthornwharf_standin::fleet::FleetProcess;
use bytes::Bytes;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::task::JoinHandle;

/// Timeout for a condition to hold, and for connecting and exiting.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than the time for which an entry accepts connections after SIGTERM.
const ACCEPT_EXPIRY: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longer than the time for which a failed target stays suspect and gets no requests.
const SUSPECT_EXPIRY: Duration = Duration::from_millis(1500);

/// Time after its declaration by which a version must have replaced the older ones.
pub const VERSION_TIME_MS: u64 = 8000;

/// An entry between callers and targets.
pub struct DirectFleet {
    pub store: Rc<StoreStandin>,
    pub engines: Vec<Rc<EngineStandin>>,
    entries: Vec<EntryProcess>,
    folder: TempDir,
    /// What the settings of the entries say of their host.
    host_limits: Value,
    /// File descriptors that an entry may open; `None` for as many as this process.
    descriptors: Option<u32>,
}

/// An entry process and the addresses that it listens on.
struct EntryProcess {
    process: RefCell<FleetProcess>,
    callers: SocketAddr,
    readiness: SocketAddr,
}

/// Waits until `condition` holds.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "condition not met within {CONDITION_TIMEOUT:?}: {what}"
        );
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Registers a target under `state`.
fn register(store: &StoreStandin, engine: &EngineStandin, state: &str) {
    store.put(&format!("servers/{}", engine.id), &engine.registration("ledger", state));
}

impl DirectFleet {
    /// Starts an entry with `targets` targets and waits until it is ready.
    pub async fn start(targets: usize) -> Self {
        Self::start_with(targets, VERSION_TIME_MS).await
    }

    /// Like `start`, with `version_time_ms` as the time by which a declared version must replace
    /// the older ones.
    pub async fn start_with(targets: usize, version_time_ms: u64) -> Self {
        Self::start_entries(targets, 1, version_time_ms).await
    }

    /// Starts several entries with `targets` targets and waits until all are ready.
    pub async fn start_entries(targets: usize, entries: usize, version_time_ms: u64) -> Self {
        Self::start_on(targets, entries, version_time_ms, json!({}), None).await
    }

    /// Like `start_entries`, on hosts whose limits the settings name, and with this number of file descriptors.
    pub async fn start_on(
        targets: usize,
        entries: usize,
        version_time_ms: u64,
        host_limits: Value,
        descriptors: Option<u32>,
    ) -> Self {
        let store = StoreStandin::start().await;
        let mut engines = Vec::new();
        for number in 0..targets {
            let engine = EngineStandin::start(&format!("engine-{number}")).await;
            register(&store, &engine, "ready");
            engines.push(engine);
        }
        let folder = TempDir::new().expect("a temporary directory");
        let mut fleet =
            Self { store, engines, entries: Vec::new(), folder, host_limits, descriptors };
        for number in 0..entries {
            let entry = fleet.start_entry(number, version_time_ms).await;
            fleet.entries.push(entry);
        }
        assert_eq!(
            fleet.readiness().await,
            Some(503),
            "the entry is ready before it has a configuration"
        );
        assert_eq!(fleet.get("/plain/x", "early").await.status, 503);
        fleet.put_config(1, "/plain/", "secret");
        fleet.wait_status("/plain/x", "secret", 200).await;
        assert_eq!(fleet.readiness().await, Some(200));
        for entry in 1..entries {
            fleet.wait_ready(entry).await;
        }
        fleet.engines.iter().for_each(|engine| engine.received.borrow_mut().clear());
        fleet
    }

    async fn start_entry(&self, number: usize, version_time_ms: u64) -> EntryProcess {
        let settings = json!({
            "host": format!("entry-{}", number + 1), "site": "a", "regions": { "a": "a" },
            "store": self.store.address.to_string(),
            "peers": { "ip": "127.0.0.1", "ports": [0, 0] },
            "bounds": {
                "retry_ratio": 0.2, "retry_extra": 100, "retry_window": 10, "grace": 8,
                "version_time": version_time_ms,
            },
            "entry": { "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0" },
            "host_limits": self.host_limits,
        });
        let name = format!("entry-{}", number + 1);
        let path = self.folder.path().join(format!("{name}.yml"));
        std::fs::write(&path, settings.to_string()).expect("the settings can be written");
        let program = Path::new(env!("CARGO_BIN_EXE_buckthornwharf"));
        let path = path.to_str().expect("the path is UTF-8");
        let arguments = ["entry", "--settings", path];
        let folder = self.folder.path();
        let process = match self.descriptors {
            None => FleetProcess::spawn(&name, program, &arguments, folder),
            Some(descriptors) => {
                // The shell is replaced by the entry, so the process is the entry's.
                let script = format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"");
                let program = program.to_str().expect("the path is UTF-8");
                let arguments = [["-c", &script, program].as_slice(), &arguments].concat();
                FleetProcess::spawn(&name, Path::new("/bin/sh"), &arguments, folder)
            }
        };
        let mut process = process.expect("the entry starts");
        let ready = process.wait_ready().await.expect("the entry listens");
        let address = |name: &str| *ready.get(name).expect("an address");
        let (callers, readiness) = (address("callers"), address("readiness"));
        EntryProcess { process: RefCell::new(process), callers, readiness }
    }

    /// Replaces the settings file of an entry that runs.
    pub fn replace_settings(&self, number: usize, text: &str) {
        let path = self.folder.path().join(format!("entry-{}.yml", number + 1));
        std::fs::write(path, text).expect("the settings can be written");
    }

    /// Changes the bounds in the settings file of the first entry, and waits until the entry has read them.
    pub async fn set_bound(&self, bound: &str, value: u64) {
        let path = self.folder.path().join("entry-1.yml");
        let text = std::fs::read_to_string(&path).expect("the settings can be read");
        let mut settings: Value = serde_json::from_str(&text).expect("they are JSON");
        settings["bounds"][bound] = value.into();
        self.replace_settings(0, &settings.to_string());
        eventually("the settings are reloaded", || {
            self.entry_log(0).contains("event=settings_reloaded")
        })
        .await;
    }

    /// Returns what an entry has logged, which goes to its standard output.
    pub fn entry_log(&self, number: usize) -> String {
        self.entries[number].process.borrow().stdout()
    }

    /// Kills an entry and starts it again, without what it knew.
    pub async fn restart_entry(&mut self, number: usize) {
        let process = self.entries[number].process.get_mut();
        process.kill().expect("the entry runs");
        process.wait_exit(CONDITION_TIMEOUT).await.expect("the entry ends");
        self.entries[number] = self.start_entry(number, VERSION_TIME_MS).await;
        self.wait_ready(number).await;
    }

    /// Waits until an entry reports that it is ready.
    async fn wait_ready(&self, entry: usize) {
        let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
        while self.readiness_of(entry).await != Some(200) {
            assert!(tokio::time::Instant::now() < deadline, "entry {entry} does not become ready");
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Writes a configuration with an idempotent route at `prefix`, and a single key.
    pub fn put_config(&self, version: u64, prefix: &str, key: &str) {
        self.put_large_config(version, prefix, key, 0);
    }

    /// Writes a configuration with an idempotent route at `prefix`, a single key, and more routes.
    pub fn put_large_config(&self, version: u64, prefix: &str, key: &str, more_routes: usize) {
        let times = RouteTimes { timeout_ms: 6000, objective_ms: 400 };
        let route = |prefix: &str, kind: &str| operator::route(prefix, kind, "ledger", times);
        let more = (0..more_routes).map(|number| route(&format!("/more-{number}/"), "idempotent"));
        let routes: Vec<Value> = [
            route(prefix, "idempotent"),
            route("/once/", "non_idempotent"),
            route("/stream/", "stream"),
        ]
        .into_iter()
        .chain(more)
        .collect();
        let services = json!([{ "name": "ledger", "max_connections": 100 }]);
        operator::put_config(&self.store, version, &routes, &services, key);
    }

    /// Adds routes of streams: with a third attempt, with a short timeout, and not resumable.
    pub async fn put_stream_routes(&self, version: u64) {
        let route = |prefix: &str, kind: &str, timeout_ms: u64, max_attempts: u64| {
            let times = RouteTimes { timeout_ms, objective_ms: 400 };
            let mut route = operator::route(prefix, kind, "ledger", times);
            route["max_attempts"] = max_attempts.into();
            route
        };
        let mut unresumable = route("/stream/unresumable/", "stream", 6000, 2);
        unresumable["stream_resume"] = false.into();
        let routes = [
            route("/added/", "idempotent", 6000, 2),
            route("/stream/", "stream", 6000, 2),
            route("/stream/thrice/", "stream", 6000, 3),
            route("/stream/short/", "stream", 1000, 3),
            unresumable,
        ];
        let services = json!([{ "name": "ledger", "max_connections": 100 }]);
        operator::put_config(&self.store, version, &routes, &services, "secret");
        self.wait_status("/added/x", "secret", 200).await;
        self.engines.iter().for_each(|engine| engine.received.borrow_mut().clear());
    }

    /// Prescribes the answers to the next streams, whichever target gets them.
    pub fn play(&self, answers: &[ScriptedAnswer]) {
        let script: AnswerScript = Rc::new(RefCell::new(answers.iter().copied().collect()));
        self.engines.iter().for_each(|engine| *engine.script.borrow_mut() = script.clone());
    }

    /// Declares a version of the model that the targets have loaded, and waits until the entry's
    /// watch has received it.
    pub async fn declare_version(&self, version: u64) {
        operator::declare_version(&self.store, version);
        eventually("the entry's watch receives the version", || self.store.is_watch_current("op/"))
            .await;
    }

    /// The id of the process of the first entry.
    pub fn entry_process_id(&self) -> u32 {
        self.entries[0].process.borrow().id()
    }

    /// The peak of the resident memory of the first entry's process, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.entry_process_id()));
        let status = status.expect("the entry runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
        let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().expect("a number");
        kilobytes * 1024
    }

    /// Whether the process of the first entry runs.
    pub fn is_entry_running(&self) -> bool {
        self.entries[0].process.borrow_mut().is_running()
    }

    /// The address at which callers reach the first entry.
    pub fn caller_address(&self) -> SocketAddr {
        self.entries[0].callers
    }

    /// The address of the first entry's readiness endpoint.
    pub fn readiness_address(&self) -> SocketAddr {
        self.entries[0].readiness
    }

    /// The address at which agents reach the first entry.
    pub fn peer_address(&self) -> SocketAddr {
        let records = self.store.values("buckthornwharf/common/entry/");
        let record: Value = serde_json::from_str(&records[0]).expect("valid JSON");
        record["address"].as_str().and_then(|text| text.parse().ok()).expect("an address")
    }

    /// Changes the state under which a target is registered.
    pub fn set_state(&self, number: usize, state: &str) {
        register(&self.store, &self.engines[number], state);
    }

    /// Registers a target at another address.
    pub fn set_address(&self, number: usize, address: SocketAddr) {
        let engine = &self.engines[number];
        let mut registration = engine.registration("ledger", "ready");
        registration["address"] = address.to_string().into();
        self.store.put(&format!("servers/{}", engine.id), &registration);
    }

    /// How many requests the targets ran in total.
    pub fn runs(&self) -> usize {
        self.engines.iter().map(|engine| engine.runs()).sum()
    }

    /// Pauses for `SUSPECT_EXPIRY`, after which failed targets get requests again.
    pub async fn pause(&self) {
        actix_rt::time::sleep(SUSPECT_EXPIRY).await;
    }

    /// Registers each target again when it has started again, until the returned task is aborted.
    pub fn keep_registered(&self) -> JoinHandle<()> {
        let (store, engines) = (self.store.clone(), self.engines.clone());
        actix_rt::spawn(async move {
            let mut known: Vec<u32> = engines.iter().map(|engine| engine.starts()).collect();
            loop {
                for (engine, known) in engines.iter().zip(&mut known) {
                    if engine.starts() != *known {
                        *known = engine.starts();
                        register(&store, engine, "ready");
                    }
                }
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
        })
    }

    /// Sends the first entry SIGTERM.
    pub fn terminate_entry(&self) {
        self.entries[0].process.borrow_mut().terminate().expect("the entry runs");
    }

    /// Suspends the first entry (SIGSTOP).
    pub fn suspend_entry(&self) {
        self.entries[0].process.borrow_mut().suspend().expect("the entry runs");
    }

    /// Resumes the first entry (SIGCONT).
    pub fn resume_entry(&self) {
        self.entries[0].process.borrow_mut().resume().expect("the entry is suspended");
    }

    /// Pauses for longer than an entry accepts connections after SIGTERM.
    pub async fn pause_longer_than_accepting(&self) {
        actix_rt::time::sleep(ACCEPT_EXPIRY).await;
    }

    /// Sends requests until eight in a row went to targets other than `number`.
    pub async fn wait_untouched(&self, number: usize) {
        let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
        let mut requests_elsewhere = 0;
        while requests_elsewhere < 8 {
            assert!(tokio::time::Instant::now() < deadline, "the target still gets requests");
            let before = self.engines[number].runs();
            self.get("/plain/x", "probe").await;
            requests_elsewhere =
                if self.engines[number].runs() == before { requests_elsewhere + 1 } else { 0 };
        }
    }

    /// The status of the entry's readiness endpoint; `None` if it can't be reached.
    pub async fn readiness(&self) -> Option<u16> {
        self.readiness_of(0).await
    }

    async fn readiness_of(&self, entry: usize) -> Option<u16> {
        let call = OutboundCall {
            method: Method::GET,
            path_and_query: "/buckthornwharf/readiness".to_owned(),
            body: Bytes::new(),
            content_type: "",
            head_timeout: CONDITION_TIMEOUT,
            max_answer_bytes: 1000,
        };
        let answer = CallClient::new(self.entries[entry].readiness).call(call).await.ok()?;
        Some(answer.status.as_u16())
    }

    /// Waits for the entry to exit; returns whether it did so with success and in time.
    pub async fn exits_cleanly(&mut self) -> bool {
        self.entries[0]
            .process
            .get_mut()
            .wait_exit(CONDITION_TIMEOUT)
            .await
            .is_ok_and(|status| status.success())
    }
}

impl Drop for DirectFleet {
    fn drop(&mut self) {
        // Hanging connections would delay the shutdown of the test's runtime.
        self.engines.iter().for_each(|engine| engine.behaviour.set(EngineBehaviour::Serve));
    }
}
