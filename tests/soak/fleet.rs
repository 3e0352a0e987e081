//! Entries and agents as processes, connected to stand-ins of the platform through proxies.

use super::standin::caller;
use super::standin::model_engine::{EngineRecorder, ModelEngineStandin};
use super::standin::operator::ModelConfig;
use super::standin::origin::OriginStandin;
use super::standin::store::StoreStandin;
use buckthornwharf_standin::fleet::FleetProcess;
use buckthornwharf_standin::relay::{RelayService, RelaySwitches};
use buckthornwharf_standin::server::StandinRole;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tempfile::TempDir;

/// The sites; each is its own region.
const SITES: [&str; 2] = ["a", "b"];
/// Timeout for a condition to hold, and for a killed process to exit.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a process has to finish its requests after SIGTERM.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(8);
/// Time after its declaration by which a version must have replaced the older ones.
pub const VERSION_TIME: Duration = Duration::from_secs(8);

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakRole {
    /// Serves callers.
    Entry,
    /// Manages the weights of the engine with this index.
    Agent(usize),
}

/// A process that faults may restart.
pub struct SoakProcess {
    pub name: String,
    role: SoakRole,
    settings: Value,
    process: RefCell<Option<FleetProcess>>,
    starts: Cell<u32>,
    /// Proxy between the process and the store.
    pub store_relay: Rc<RelayService>,
    /// Address for callers; `None` for an agent, and while a killed entry is down.
    pub callers: Cell<Option<SocketAddr>>,
}

/// The processes, stand-ins and proxies of one run.
pub struct SoakFleet {
    pub store: Rc<StoreStandin>,
    pub origin: Rc<OriginStandin>,
    pub recorder: Rc<EngineRecorder>,
    pub engines: Vec<Rc<ModelEngineStandin>>,
    /// One proxy per engine, which entries and the agent connect through.
    pub engine_relays: Vec<Rc<RelayService>>,
    pub processes: Vec<SoakProcess>,
    pub config: RefCell<ModelConfig>,
    folder: TempDir,
}

/// Polls `condition` until it holds; returns whether it did within `timeout`.
pub async fn holds_within(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = tokio::time::Instant::now() + timeout;
    while !condition() {
        if tokio::time::Instant::now() >= deadline {
            return false;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    true
}

/// Waits until `condition` holds.
pub async fn eventually(what: &str, condition: impl FnMut() -> bool) {
    assert!(
        holds_within(CONDITION_TIMEOUT, condition).await,
        "condition not met within {CONDITION_TIMEOUT:?}: {what}"
    );
}

/// Sets the fault switches of a relay.
pub fn set_switches(relay: &RelayService, switches: &RelaySwitches) {
    let patch = serde_json::to_vec(switches).expect("switches can be serialised");
    relay.patch_switches(&patch).expect("the relay takes its own switches");
}

impl SoakFleet {
    /// Starts `entries` entries and `engines` engines with their agents, and waits until all
    /// processes listen.
    pub async fn start(entries: usize, engines: usize) -> Self {
        let store = StoreStandin::start().await;
        let origin = OriginStandin::start().await;
        let config = ModelConfig {
            version: 1,
            origin: origin.address,
            key: "key-1".to_owned(),
            extra_prefix: None,
        };
        config.put(&store);
        let mut fleet = Self {
            store,
            origin,
            recorder: Rc::default(),
            engines: Vec::new(),
            engine_relays: Vec::new(),
            processes: Vec::new(),
            config: RefCell::new(config),
            folder: TempDir::new().expect("a temporary directory"),
        };
        for number in 0..engines {
            fleet.add_engine(number).await;
        }
        for number in 0..entries {
            fleet.add_process(format!("entry-{number}"), number, SoakRole::Entry).await;
        }
        for number in 0..engines {
            fleet.add_process(format!("agent-{number}"), number, SoakRole::Agent(number)).await;
        }
        for process in &fleet.processes {
            process.spawn(fleet.folder.path()).await;
        }
        fleet
    }

    async fn add_engine(&mut self, number: usize) {
        let site = SITES[number % SITES.len()];
        let name = format!("engine-{number}");
        let (store, recorder) = (self.store.clone(), self.recorder.clone());
        let engine = ModelEngineStandin::start(&name, site, store, recorder).await;
        let relay = RelayService::start(engine.address).await.expect("a relay");
        engine.advertise(address_of(&relay));
        self.engines.push(engine);
        self.engine_relays.push(relay);
    }

    async fn add_process(&mut self, name: String, number: usize, role: SoakRole) {
        let store_relay = RelayService::start(self.store.address).await.expect("a relay");
        let site = SITES[number % SITES.len()];
        let mut settings = json!({
            "host": name, "site": site, "regions": { "a": "a", "b": "b" },
            "store": address_of(&store_relay).to_string(),
            "peers": { "ip": "127.0.0.1", "ports": [0, 0] },
            "host_limits": { "memory_megabytes": 96, "descriptors": 512 },
            "bounds": {
                "retry_ratio": 0.2, "retry_extra": 100, "retry_window": 10,
                "grace": SHUTDOWN_GRACE.as_secs(), "version_time": VERSION_TIME.as_millis() as u64,
            },
        });
        match role {
            SoakRole::Entry => {
                settings["metrics_port"] = 0.into();
                settings["entry"] = json!({ "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0" });
            }
            SoakRole::Agent(engine) => {
                let engine = address_of(&self.engine_relays[engine]).to_string();
                settings["agent"] = json!({
                    "service": "llm", "engine": engine, "link_megabits": 50.0,
                });
            }
        }
        self.processes.push(SoakProcess {
            name,
            role,
            settings,
            process: RefCell::default(),
            starts: Cell::new(0),
            store_relay,
            callers: Cell::new(None),
        });
    }

    /// The directory with the settings and output of all processes.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Ends the fleet without deleting its directory, and returns the path.
    pub fn keep_folder(mut self) -> std::path::PathBuf {
        self.folder.disable_cleanup(true);
        self.folder.path().to_owned()
    }

    /// The process called `name`; panics if there is none.
    pub fn process(&self, name: &str) -> &SoakProcess {
        let found = self.processes.iter().find(|process| process.name == name);
        found.expect("a process of the fleet")
    }

    pub fn entries(&self) -> impl Iterator<Item = &SoakProcess> {
        self.processes.iter().filter(|process| process.role == SoakRole::Entry)
    }

    /// Sends an idempotent request to `entry` and returns the status of the answer, if there is one.
    pub async fn status(&self, entry: &str, id: &str) -> Option<u16> {
        let address = self.process(entry).callers.get().expect("the entry runs");
        let key = self.config.borrow().key.clone();
        caller::send(address, "/plain/x", id, &key).await.status
    }

    /// Sends requests to `entry` until one is answered with `wanted`.
    pub async fn wait_status(&self, entry: &str, wanted: u16) {
        let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
        for number in 0.. {
            if self.status(entry, &format!("{entry}-{wanted}-{number}")).await == Some(wanted) {
                return;
            }
            assert!(tokio::time::Instant::now() < deadline, "{entry} never answers {wanted}");
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Applies `change` to the configuration and writes it to the store.
    pub fn configure(&self, change: impl FnOnce(&mut ModelConfig)) {
        let mut config = self.config.borrow_mut();
        change(&mut config);
        config.version += 3;
        config.put(&self.store);
    }
}

impl SoakProcess {
    /// Starts it and waits until it listens.
    pub async fn spawn(&self, folder: &Path) {
        self.starts.set(self.starts.get() + 1);
        let start = format!("{}-{}", self.name, self.starts.get());
        let path = folder.join(format!("{start}.yml"));
        std::fs::write(&path, self.settings.to_string()).expect("the settings can be written");
        let program = Path::new(env!("CARGO_BIN_EXE_buckthornwharf"));
        let subcommand = if self.role == SoakRole::Entry { "entry" } else { "agent" };
        let path = path.to_str().expect("the path is UTF-8").to_owned();
        let arguments = [subcommand, "--settings", &path];
        let process = FleetProcess::spawn(&start, program, &arguments, folder);
        let mut process = process.expect("the process starts");
        let ready = process.wait_ready().await.expect("the process listens");
        self.callers.set(ready.get("callers").copied());
        *self.process.borrow_mut() = Some(process);
    }

    /// Applies `change` to the process, if it is running.
    pub fn with_process(&self, change: impl FnOnce(&mut FleetProcess) -> anyhow::Result<()>) {
        if let Some(process) = self.process.borrow_mut().as_mut() {
            change(process).expect("the process takes signals");
        }
    }

    /// Kills it and starts it again after `pause`.
    pub async fn restart(&self, folder: &Path, pause: Duration) {
        // Another fault is already restarting it.
        let Some(mut process) = self.process.take() else {
            return;
        };
        self.callers.set(None);
        process.kill().expect("the process runs");
        process.wait_exit(CONDITION_TIMEOUT).await.expect("a killed process ends");
        actix_rt::time::sleep(pause).await;
        self.spawn(folder).await;
    }

    /// Terminates it (SIGTERM), waits for its exit and starts it again; returns whether it exited
    /// with success and in time.
    pub async fn restart_gracefully(&self, folder: &Path) -> bool {
        // `callers` stays set: callers may connect while it shuts down.
        let Some(mut process) = self.process.take() else {
            return true;
        };
        process.resume().expect("the process runs");
        process.terminate().expect("the process runs");
        let status = process.wait_exit(SHUTDOWN_GRACE + Duration::from_secs(2)).await;
        drop(process);
        self.spawn(folder).await;
        status.is_ok_and(|status| status.success())
    }

    /// Its standard output since its last start.
    pub fn output(&self) -> String {
        self.process.borrow().as_ref().map(FleetProcess::stdout).unwrap_or_default()
    }

    /// Whether it exited without being killed or terminated.
    pub fn has_exited(&self) -> bool {
        let mut process = self.process.borrow_mut();
        process.as_mut().is_some_and(|process| !process.is_running())
    }
}

fn address_of(relay: &RelayService) -> SocketAddr {
    let address = relay.counts()["address"].as_str().map(str::parse);
    address.expect("the counts of a relay hold its address").expect("the address can be parsed")
}
