//! The real programs as processes, between stand-ins of the platform and proxies.

use super::standin::model_engine::{EngineLedger, ModelEngineStandin};
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

/// The sites, each a region of its own.
const SITES: [&str; 2] = ["a", "b"];
/// Time within which a condition must hold.
const LIMIT: Duration = Duration::from_secs(30);
const PACE: Duration = Duration::from_millis(20);
/// Time for which a process that is told to leave may finish its requests.
const GRACE: Duration = Duration::from_secs(8);
/// Time within which a declared version must be in force.
pub const VERSION_TIME: Duration = Duration::from_secs(8);

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakRole {
    /// Answers callers.
    Entry,
    /// Keeps the weights of the engine with this number.
    Agent(usize),
}

/// A process, which is started again wherever it ends.
pub struct SoakProcess {
    /// Its name.
    pub name: String,
    role: SoakRole,
    settings: Value,
    process: RefCell<Option<FleetProcess>>,
    starts: Cell<u32>,
    /// Between the process and the store.
    pub store_relay: Rc<RelayService>,
    /// Where callers reach it; none while it is down.
    pub callers: Cell<Option<SocketAddr>>,
}

/// Everything of one run.
pub struct SoakFleet {
    pub store: Rc<StoreStandin>,
    pub origin: Rc<OriginStandin>,
    pub ledger: Rc<EngineLedger>,
    pub engines: Vec<Rc<ModelEngineStandin>>,
    /// Between entries and agents on one side and each engine on the other.
    pub engine_relays: Vec<Rc<RelayService>>,
    pub processes: Vec<SoakProcess>,
    pub config: RefCell<ModelConfig>,
    folder: TempDir,
}

/// Waits until `condition` holds; whether it does within `limit`.
pub async fn holds_within(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = tokio::time::Instant::now() + limit;
    while !condition() {
        if tokio::time::Instant::now() >= end {
            return false;
        }
        actix_rt::time::sleep(PACE).await;
    }
    true
}

/// Sets switches of a relay.
pub fn switch(relay: &RelayService, switches: &RelaySwitches) {
    let patch = serde_json::to_vec(switches).expect("switches are plain");
    relay.patch_switches(&patch).expect("the relay takes its own switches");
}

impl SoakFleet {
    /// Starts `entries` entries and `engines` engines with their agents, and waits until the entries
    /// answer.
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
            ledger: Rc::default(),
            engines: Vec::new(),
            engine_relays: Vec::new(),
            processes: Vec::new(),
            config: RefCell::new(config),
            folder: TempDir::new().expect("a folder"),
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
        let (store, ledger) = (self.store.clone(), self.ledger.clone());
        let engine = ModelEngineStandin::start(&name, site, store, ledger).await;
        let relay = RelayService::start(engine.address).await.expect("a relay");
        engine.reach_at(address_of(&relay));
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
            "bounds": {
                "retry_ratio": 0.2, "retry_extra": 100, "retry_window": 10,
                "grace": GRACE.as_secs(), "version_time": VERSION_TIME.as_millis() as u64,
            },
        });
        match role {
            SoakRole::Entry => {
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

    /// The folder with the output of all processes.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Keeps the folder with the output of all processes after the end.
    pub fn keep_folder(mut self) -> std::path::PathBuf {
        self.folder.disable_cleanup(true);
        self.folder.path().to_owned()
    }

    /// The process called `name`.
    pub fn process(&self, name: &str) -> &SoakProcess {
        let found = self.processes.iter().find(|process| process.name == name);
        found.expect("a process of the fleet")
    }

    /// The entries.
    pub fn entries(&self) -> impl Iterator<Item = &SoakProcess> {
        self.processes.iter().filter(|process| process.role == SoakRole::Entry)
    }

    /// Puts a changed configuration into force.
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
        std::fs::write(&path, self.settings.to_string()).expect("the folder can be written");
        let program = Path::new(env!("CARGO_BIN_EXE_buckthornwharf"));
        let verb = if self.role == SoakRole::Entry { "entry" } else { "agent" };
        let path = path.to_str().expect("a plain path").to_owned();
        let arguments = [verb, "--settings", &path];
        let process = FleetProcess::spawn(&start, program, &arguments, folder);
        let mut process = process.expect("the process starts");
        let ready = process.wait_ready().await.expect("the process listens");
        self.callers.set(ready.get("callers").copied());
        *self.process.borrow_mut() = Some(process);
    }

    /// Carries out `change` on the running process.
    pub fn with_process(&self, change: impl FnOnce(&mut FleetProcess) -> anyhow::Result<()>) {
        if let Some(process) = self.process.borrow_mut().as_mut() {
            change(process).expect("the process takes signals");
        }
    }

    /// Ends it at once and starts it again after `pause`.
    pub async fn restart(&self, folder: &Path, pause: Duration) {
        // Where another fault is starting it anew, there is nothing to end.
        let Some(mut process) = self.process.take() else {
            return;
        };
        self.callers.set(None);
        process.kill().expect("the process runs");
        process.wait_exit(LIMIT).await.expect("a killed process ends");
        actix_rt::time::sleep(pause).await;
        self.spawn(folder).await;
    }

    /// Tells it to leave, waits for its end and starts it again. Whether it ended in order and in
    /// time.
    pub async fn roll(&self, folder: &Path) -> bool {
        // Callers that know the address still reach it while it leaves.
        let Some(mut process) = self.process.take() else {
            return true;
        };
        process.resume().expect("the process runs");
        process.terminate().expect("the process runs");
        let status = process.wait_exit(GRACE + Duration::from_secs(2)).await;
        drop(process);
        self.spawn(folder).await;
        status.is_ok_and(|status| status.success())
    }

    /// What it wrote to its standard output since its last start.
    pub fn output(&self) -> String {
        self.process.borrow().as_ref().map(FleetProcess::stdout).unwrap_or_default()
    }

    /// Whether it ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut process = self.process.borrow_mut();
        process.as_mut().is_some_and(|process| !process.is_running())
    }
}

fn address_of(relay: &RelayService) -> SocketAddr {
    let address = relay.counts()["address"].as_str().map(str::parse);
    address.expect("relays tell their address").expect("it is one")
}
