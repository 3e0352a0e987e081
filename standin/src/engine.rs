//! A model engine: holds versions, generates answers that can be foretold, and counts its runs.

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

use crate::call::{CallAnswer, CallError, HttpCall, json_ok, unknown_call};
use crate::runs::RunCounts;
use crate::server::{ConnectionTable, StandinRole};
use crate::switches::patch_switches;
use actix_http::{Method, StatusCode};
use buckthornwharf_core::prelude::*;
use chat::ChatLabel;
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
use versions::{OrderHistory, VersionShelf};

/// The exit code of an engine that crashed on a request.
pub const CRASH_EXIT_CODE: i32 = 99;
/// Most bytes of the weights of a version.
const MAX_WEIGHT_BYTES: usize = 1024 * 1024 * 1024;
/// How often the load is sampled.
const SAMPLE_PACE: Duration = Duration::from_millis(50);

/// Counters of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Runs by request and by prompt.
    pub runs: RunCounts,
    /// Runs that generated all their tokens.
    pub completed: u64,
    /// Runs that were cancelled or whose caller went away.
    pub broken_off: u64,
    /// Crashes that the process outlived.
    pub crashes: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Orders, oldest first.
    pub orders: Vec<EngineOrder>,
    /// Digests by which the loaded versions were ordered.
    pub versions: Vec<VersionDigest>,
}

/// A model engine.
pub struct EngineService {
    options: EngineOptions,
    switches: RefCell<EngineSwitches>,
    versions: RefCell<VersionShelf>,
    loading: Cell<usize>,
    highest_fence: Cell<u64>,
    orders: RefCell<OrderHistory>,
    slots: SlotQueue,
    requests: RequestRegistry,
    running: Cell<u32>,
    load: RefCell<LoadHistory>,
    runs: RefCell<RunCounts>,
    tokens: Cell<u64>,
    completed: Cell<u64>,
    broken_off: Cell<u64>,
    crashes: Cell<u64>,
    connections: ConnectionTable,
}

impl EngineService {
    /// An engine without versions, and the task that samples its load.
    pub fn start(
        options: EngineOptions,
        switches: EngineSwitches,
        connections: ConnectionTable,
    ) -> Rc<Self> {
        let engine = Rc::new(Self {
            options,
            switches: RefCell::new(switches),
            versions: RefCell::default(),
            loading: Cell::new(0),
            highest_fence: Cell::new(0),
            orders: RefCell::default(),
            slots: SlotQueue::new(options.slots),
            requests: RequestRegistry::default(),
            running: Cell::new(0),
            load: RefCell::default(),
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
            let waiting = self.slots.waiting() as u32;
            let tokens = self.tokens.get();
            self.load.borrow_mut().push(Instant::now(), self.running.get(), waiting, tokens);
            sleep(SAMPLE_PACE).await;
        }
    }

    async fn chat(self: Rc<Self>, call: &HttpCall) -> Result<CallAnswer, CallError> {
        let request: ChatRequest = call.json()?;
        let tokens = request.answer_tokens()?;
        let priority = call.parsed_header("x-priority")?.unwrap_or_default();
        self.choose_version(&request.model)?;
        let prompt = request.prompt();
        let registered = self.requests.add(call.header("x-request-id"));
        let slots = self.slots.clone();
        let permit = tokio::select! {
            permit = slots.enter(priority) => permit,
            () = registered.cancelled() => return Err(cancelled_error()),
        };
        let version = self.choose_version(&request.model)?;
        self.runs.borrow_mut().add(call.header("x-request-id"), &prompt);
        self.crash_if_poisoned(&prompt).await;
        let label = ChatLabel {
            id: format!("chatcmpl-{:016x}", self.runs.borrow().total),
            model: request.model,
            fingerprint: version.computed,
        };
        let run = AnswerRun::new(self, label, prompt, tokens, registered, permit);
        match request.stream {
            true => Ok(run.answer_streamed()),
            false => run.answer_whole().await,
        }
    }

    fn choose_version(&self, model: &str) -> Result<LoadedVersion, CallError> {
        let versions = self.versions.borrow();
        let chosen = match model.parse::<VersionDigest>() {
            Ok(digest) => versions.get(&digest),
            Err(_) => versions.newest(),
        };
        let unloaded = || CallError::new(StatusCode::SERVICE_UNAVAILABLE, "no version is loaded");
        chosen.ok_or_else(unloaded)
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

    fn models(&self) -> Result<CallAnswer, CallError> {
        let versions = self.versions.borrow();
        let rows: Vec<Value> = versions.iter().map(|held| json!({ "id": held.named })).collect();
        json_ok(&json!({ "data": rows }))
    }

    fn load_report(&self) -> Result<CallAnswer, CallError> {
        let lag = Duration::from_millis(self.switches.borrow().load_lag_ms);
        let now = Instant::now();
        json_ok(&self.load.borrow().report(now.checked_sub(lag).unwrap_or(now)))
    }

    fn cancel(&self, id: &str) -> Result<CallAnswer, CallError> {
        match self.requests.cancel(id) {
            true => json_ok(&Value::Bool(true)),
            false => Err(CallError::absent(format!("no request {id}"))),
        }
    }

    async fn answer_model_call(&self, call: &HttpCall) -> Result<CallAnswer, CallError> {
        if let Some(digest) = call.path.strip_prefix("/v1/models/") {
            return match call.method {
                Method::PUT => self.take_order(OrderKind::Load, digest, call).await,
                Method::DELETE => self.take_order(OrderKind::Unload, digest, call).await,
                _ => Err(unknown_call(call)),
            };
        }
        match call.path.strip_prefix("/v1/requests/") {
            Some(id) if call.method == Method::DELETE => self.cancel(id),
            _ => Err(unknown_call(call)),
        }
    }
}

impl StandinRole for EngineService {
    const NAME: &'static str = "engine";
    const MAX_BODY_BYTES: usize = MAX_WEIGHT_BYTES;

    async fn answer(self: Rc<Self>, call: HttpCall) -> Result<CallAnswer, CallError> {
        let down = self.switches.borrow().down;
        down.pass().await?;
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/v1/chat/completions") => self.chat(&call).await,
            ("GET", "/v1/models") => self.models(),
            ("GET", "/v1/load") => self.load_report(),
            _ => self.answer_model_call(&call).await,
        }
    }

    fn patch_switches(&self, patch: &[u8]) -> Result<(), CallError> {
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
            versions: self.versions.borrow().iter().map(|version| version.named).collect(),
        })
    }
}
