//! A model engine: holds versions, generates deterministic answers and counts its runs.

mod answer;
mod chat;
mod load;
mod orders;
mod registry;
mod run;
mod slots;
mod switches;
mod versions;

pub use answer::{expected_answer, token_text};
pub use chat::{ChatMessage, ChatRequest};
pub use load::LoadReport;
pub use switches::{CrashMode, EngineOptions, EngineSwitches};
pub use versions::{EngineOrder, LoadedVersion, OrderKind};

use crate::call::{StandinError, StandinRequest, StandinResponse, json_ok, unknown_route};
use crate::runs::RunCounts;
use crate::server::{ConnectionTable, StandinRole};
use crate::switches::patch_switches;
use actix_http::{Method, StatusCode};
use buckthornwharf_core::prelude::*;
use chat::ChatMetadata;
use load::LoadHistory;
use registry::RequestRegistry;
use run::{AnswerRun, cancelled_error};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use slots::SlotQueue;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::rc::Rc;
use std::time::Instant;
use tokio::time::sleep;
use versions::{OrderHistory, VersionTable};

/// Exit code of an engine that a request crashed.
pub const CRASH_EXIT_CODE: i32 = 99;
/// Largest accepted weights of one version.
const MAX_WEIGHT_BYTES: usize = 1024 * 1024 * 1024;
/// Interval between samples of the load.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Counters of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Runs by request id and by prompt.
    pub runs: RunCounts,
    /// Runs that generated all their tokens.
    pub completed: u64,
    /// Runs that were cancelled or whose client disconnected.
    pub broken_off: u64,
    /// Crashes that reset the engine without ending the process.
    pub crashes: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Load and unload orders, oldest first.
    pub orders: Vec<EngineOrder>,
    /// Digests of the loaded versions, as given in their orders.
    pub versions: Vec<VersionDigest>,
}

/// A model engine.
pub struct EngineService {
    options: EngineOptions,
    switches: RefCell<EngineSwitches>,
    versions: RefCell<VersionTable>,
    loads_in_progress: Cell<usize>,
    highest_fence: Cell<u64>,
    orders: RefCell<OrderHistory>,
    slots: SlotQueue,
    requests: RequestRegistry,
    running_count: Cell<u32>,
    load_history: RefCell<LoadHistory>,
    runs: RefCell<RunCounts>,
    tokens: Cell<u64>,
    completed: Cell<u64>,
    broken_off: Cell<u64>,
    crashes: Cell<u64>,
    connections: ConnectionTable,
}

impl EngineService {
    /// Creates an engine without versions and spawns the task that samples its load.
    pub fn start(
        options: EngineOptions,
        switches: EngineSwitches,
        connections: ConnectionTable,
    ) -> Rc<Self> {
        let engine = Rc::new(Self {
            options,
            switches: RefCell::new(switches),
            versions: RefCell::default(),
            loads_in_progress: Cell::new(0),
            highest_fence: Cell::new(0),
            orders: RefCell::default(),
            slots: SlotQueue::new(options.slots),
            requests: RequestRegistry::default(),
            running_count: Cell::new(0),
            load_history: RefCell::default(),
            runs: RefCell::default(),
            tokens: Cell::new(0),
            completed: Cell::new(0),
            broken_off: Cell::new(0),
            crashes: Cell::new(0),
            connections,
        });
        actix_rt::spawn(engine.clone().sample_load());
        engine
    }

    async fn sample_load(self: Rc<Self>) {
        loop {
            let waiting = self.slots.waiting_count() as u32;
            let tokens = self.tokens.get();
            self.load_history.borrow_mut().push(
                Instant::now(),
                self.running_count.get(),
                waiting,
                tokens,
            );
            sleep(LOAD_SAMPLE_INTERVAL).await;
        }
    }

    async fn chat(
        self: Rc<Self>,
        request: &StandinRequest,
    ) -> Result<StandinResponse, StandinError> {
        let chat: ChatRequest = request.json()?;
        let tokens = chat.answer_tokens()?;
        let priority = request.parsed_header("x-priority")?.unwrap_or_default();
        self.choose_version(&chat.model)?;
        let prompt = chat.prompt();
        let registered = self.requests.add(request.header("x-request-id"));
        let slots = self.slots.clone();
        let permit = tokio::select! {
            permit = slots.acquire(priority) => permit,
            () = registered.cancelled() => return Err(cancelled_error()),
        };
        let version = self.choose_version(&chat.model)?;
        self.runs.borrow_mut().add(request.header("x-request-id"), &prompt);
        self.crash_if_poisoned(&prompt).await;
        let metadata = ChatMetadata {
            id: format!("chatcmpl-{:016x}", self.runs.borrow().total),
            model: chat.model,
            fingerprint: version.computed_digest,
        };
        let run = AnswerRun::new(self, metadata, prompt, tokens, registered, permit);
        match chat.stream {
            true => Ok(run.answer_streamed()),
            false => run.answer_whole().await,
        }
    }

    fn choose_version(&self, model: &str) -> Result<LoadedVersion, StandinError> {
        let versions = self.versions.borrow();
        let chosen = match model.parse::<VersionDigest>() {
            Ok(digest) => versions.get(&digest),
            Err(_) => versions.newest(),
        };
        let not_loaded =
            || StandinError::new(StatusCode::SERVICE_UNAVAILABLE, "no matching version is loaded");
        chosen.ok_or_else(not_loaded)
    }

    async fn crash_if_poisoned(&self, prompt: &str) {
        let (is_poison, mode) = {
            let switches = self.switches.borrow();
            (switches.is_poison(prompt), switches.crash_mode)
        };
        if !is_poison {
            return;
        }
        match mode {
            CrashMode::Exit => std::process::exit(CRASH_EXIT_CODE),
            CrashMode::Reset => self.reset().await,
        }
    }

    async fn reset(&self) {
        self.crashes.set(self.crashes.get() + 1);
        self.versions.borrow_mut().clear();
        self.highest_fence.set(0);
        self.connections.cut_all();
        pending::<()>().await;
    }

    fn models(&self) -> Result<StandinResponse, StandinError> {
        let versions = self.versions.borrow();
        let rows: Vec<Value> =
            versions.iter().map(|version| json!({ "id": version.ordered_digest })).collect();
        json_ok(&json!({ "data": rows }))
    }

    fn load_report(&self) -> Result<StandinResponse, StandinError> {
        let lag = Duration::from_millis(self.switches.borrow().load_lag_ms);
        let now = Instant::now();
        json_ok(&self.load_history.borrow().report(now.checked_sub(lag).unwrap_or(now)))
    }

    fn cancel(&self, id: &str) -> Result<StandinResponse, StandinError> {
        match self.requests.cancel(id) {
            true => json_ok(&Value::Bool(true)),
            false => {
                Err(StandinError::not_found(format!("request {id} is neither waiting nor running")))
            }
        }
    }

    async fn answer_model_request(
        &self,
        request: &StandinRequest,
    ) -> Result<StandinResponse, StandinError> {
        if let Some(digest) = request.path.strip_prefix("/v1/models/") {
            return match request.method {
                Method::PUT => self.execute_order(OrderKind::Load, digest, request).await,
                Method::DELETE => self.execute_order(OrderKind::Unload, digest, request).await,
                _ => Err(unknown_route(request)),
            };
        }
        match request.path.strip_prefix("/v1/requests/") {
            Some(id) if request.method == Method::DELETE => self.cancel(id),
            _ => Err(unknown_route(request)),
        }
    }
}

impl StandinRole for EngineService {
    const NAME: &'static str = "engine";
    const MAX_BODY_BYTES: usize = MAX_WEIGHT_BYTES;

    async fn answer(
        self: Rc<Self>,
        request: StandinRequest,
    ) -> Result<StandinResponse, StandinError> {
        let down = self.switches.borrow().down;
        down.apply().await?;
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/chat/completions") => self.chat(&request).await,
            ("GET", "/v1/models") => self.models(),
            ("GET", "/v1/load") => self.load_report(),
            _ => self.answer_model_request(&request).await,
        }
    }

    fn patch_switches(&self, patch: &[u8]) -> Result<(), StandinError> {
        patch_switches(&mut *self.switches.borrow_mut(), patch)
    }

    fn counts(&self) -> Value {
        json!(EngineCounts {
            runs: self.runs.borrow().clone(),
            completed: self.completed.get(),
            broken_off: self.broken_off.get(),
            crashes: self.crashes.get(),
            tokens: self.tokens.get(),
            orders: self.orders.borrow().iter().cloned().collect(),
            versions: self.versions.borrow().iter().map(|version| version.ordered_digest).collect(),
        })
    }
}
