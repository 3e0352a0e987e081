//! Stand-in of an engine or a plain service, as PROTOCOL.md describes it.

use crate::http::{self, Connection, Request};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::weights::{CHUNK_BYTES, CHUNKS, MODEL, chunk};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval of the writes to the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time to load a version once no request runs.
const WARM_TIME: Duration = Duration::from_millis(300);
/// Time for which a piece that has turned bad is excused.
const ROT_EXCUSE: Duration = Duration::from_secs(3);
/// Interval of checks while something is waited for.
const POLL: Duration = Duration::from_millis(5);

/// What an engine is and how it works.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Whether it runs the model.
    pub has_model: bool,
    /// Events of a stream.
    pub events: u32,
    /// Time before each event, or before the answer of a plain service.
    pub pause: Duration,
}

/// A run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub version: u64,
    pub began_at: Instant,
}

struct State {
    is_down: bool,
    starts: u64,
    born: u64,
    loaded: Option<u64>,
    /// Pieces that were spoilt for longer than excused when the loaded version was taken.
    spoilt_layers: Vec<usize>,
    is_loading: bool,
    orders: u64,
    fence: u64,
    running: u32,
    beats: u64,
    stage: BTreeMap<usize, Vec<u8>>,
    rotten_since: BTreeMap<usize, Instant>,
    whole_broken: u32,
    runs: Vec<Run>,
}

type ReadHook = Box<dyn FnMut(usize) + Send>;

/// An engine.
pub struct Engine {
    options: EngineOptions,
    pub address: SocketAddr,
    store: Arc<Store>,
    record: Arc<Record>,
    state: Mutex<State>,
    /// Called when a staged piece has been sent to the agent.
    pub after_stage_read: Mutex<Option<ReadHook>>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Engine {
    /// Starts an engine. A model engine has version 1 loaded and staged. It registers itself in the store.
    pub fn start(options: EngineOptions, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        let shared: Arc<Mutex<Option<Arc<Self>>>> = Arc::default();
        let served = shared.clone();
        let address = http::listen(move |connection| {
            let engine = served.lock().expect("no panic").clone();
            if let Some(engine) = engine {
                engine.serve(connection);
            }
        });
        let stage = match options.has_model {
            true => (0..CHUNKS).map(|index| (index, chunk(1, index))).collect(),
            false => BTreeMap::new(),
        };
        let state = State {
            is_down: false,
            starts: 1,
            born: unix_ms(),
            loaded: options.has_model.then_some(1),
            spoilt_layers: Vec::new(),
            is_loading: false,
            orders: 0,
            fence: 0,
            running: 0,
            beats: 0,
            stage,
            rotten_since: BTreeMap::new(),
            whole_broken: 0,
            runs: Vec::new(),
        };
        let engine = Arc::new(Self {
            options,
            address,
            store: store.clone(),
            record: record.clone(),
            state: Mutex::new(state),
            after_stage_read: Mutex::new(None),
        });
        *shared.lock().expect("no panic") = Some(engine.clone());
        let beating = engine.clone();
        thread::spawn(move || {
            loop {
                beating.register();
                thread::sleep(HEARTBEAT);
            }
        });
        engine
    }

    /// The id of the present start.
    pub fn id(&self) -> String {
        let starts = self.state.lock().expect("no panic").starts;
        format!("i-{}-{starts}", self.options.name)
    }

    /// The version that is loaded.
    pub fn loaded(&self) -> Option<u64> {
        self.state.lock().expect("no panic").loaded
    }

    /// The runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().expect("no panic").runs.clone()
    }

    /// How many streams had a token that was made with a spoilt layer.
    pub fn whole_broken(&self) -> u32 {
        self.state.lock().expect("no panic").whole_broken
    }

    /// Number of staged pieces that are those of `version`.
    pub fn sound_pieces(&self, version: u64) -> usize {
        let state = self.state.lock().expect("no panic");
        state.stage.iter().filter(|(index, bytes)| **bytes == chunk(version, **index)).count()
    }

    /// Lets a staged piece turn bad.
    pub fn rot(&self, index: usize) {
        let mut state = self.state.lock().expect("no panic");
        if let Some(bytes) = state.stage.get_mut(&index) {
            bytes[100] ^= 4;
            state.rotten_since.insert(index, Instant::now());
            self.record.line(&format!("{}: staged piece {index} turns bad", self.options.name));
        }
    }

    /// The machine loses power: the engine answers nothing, and what it held and knew is gone.
    pub fn power_off(&self) {
        let id = self.id();
        let mut state = self.state.lock().expect("no panic");
        state.is_down = true;
        state.loaded = None;
        state.stage.clear();
        state.rotten_since.clear();
        drop(state);
        self.store.remove(&format!("servers/{id}"));
        self.record.line(&format!("{}: loses power", self.options.name));
    }

    /// It starts again after a loss of power, under a new id.
    pub fn power_on(&self) {
        let mut state = self.state.lock().expect("no panic");
        state.starts += 1;
        state.born = unix_ms();
        state.is_loading = false;
        (state.orders, state.fence, state.running) = (0, 0, 0);
        state.is_down = false;
        drop(state);
        self.record.line(&format!("{}: starts as {}", self.options.name, self.id()));
        self.register();
    }

    fn models(&self, state: &State) -> String {
        let model = |version: u64| {
            format!("{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}")
        };
        state.loaded.map(model).unwrap_or_default()
    }

    fn register(&self) {
        let id = self.id();
        let mut state = self.state.lock().expect("no panic");
        if state.is_down {
            return;
        }
        state.beats += 1;
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{},\
             \"stage\":\"hybrid\",\"models\":[{}],\"born\":{}}}",
            self.options.service,
            self.address,
            self.options.zone,
            self.options.slots,
            state.beats,
            self.models(&state),
            state.born
        );
        drop(state);
        self.store.put(&format!("servers/{id}"), &value);
    }

    fn is_down(&self) -> bool {
        self.state.lock().expect("no panic").is_down
    }

    fn serve(self: &Arc<Self>, mut connection: Connection) {
        loop {
            let Ok(request) = connection.read_request() else { return };
            if self.is_down() {
                while self.is_down() {
                    thread::sleep(POLL);
                }
                return;
            }
            let served = match request.path().strip_prefix("/buckthornwharf/") {
                Some(call) => self.control(&mut connection, &request, call),
                None => self.run(&mut connection, &request),
            };
            if served.is_err() {
                return;
            }
        }
    }

    fn control(
        self: &Arc<Self>,
        connection: &mut Connection,
        request: &Request,
        call: &str,
    ) -> std::io::Result<()> {
        let index = request.query("item_count").parse::<usize>().ok();
        match (call.split('/').next().unwrap_or_default(), index) {
            ("report", _) => {
                let state = self.state.lock().expect("no panic");
                let text = format!(
                    "{{\"stage\":\"hybrid\",\"models\":[{}],\"busy\":{},\"sequence\":{},\
                     \"waiting\":0,\"running\":{},\"kv_used\":0,\"kv_total\":685000,\
                     \"handles\":0,\"pace\":1.0,\"born\":{}}}",
                    self.models(&state),
                    state.is_loading,
                    state.orders,
                    state.running,
                    state.born
                );
                drop(state);
                connection.answer(200, &[("Content-Type", "application/json")], text.as_bytes())
            }
            ("stage-put", Some(index)) => {
                let mut state = self.state.lock().expect("no panic");
                state.stage.insert(index, request.body.clone());
                state.rotten_since.remove(&index);
                drop(state);
                connection.answer(200, &[], b"")
            }
            ("stage-get", Some(index)) => {
                let bytes = self.state.lock().expect("no panic").stage.get(&index).cloned();
                let mut hook = self.after_stage_read.lock().expect("no panic");
                let sent = match bytes {
                    Some(bytes) => connection.answer(200, &[], &bytes),
                    None => connection.answer(404, &[], b""),
                };
                if let Some(hook) = hook.as_mut() {
                    hook(index);
                }
                sent
            }
            ("stage-get", None) => {
                let state = self.state.lock().expect("no panic");
                let held: Vec<String> = state.stage.keys().map(usize::to_string).collect();
                drop(state);
                let text = format!("{{\"held\":[{}]}}", held.join(","));
                connection.answer(200, &[("Content-Type", "application/json")], text.as_bytes())
            }
            ("order", _) => {
                let status = self.order(&request.body);
                connection.answer(status, &[], b"")
            }
            _ => connection.answer(400, &[], b""),
        }
    }

    /// Handles an order to load the staged version, and returns the status of the answer.
    fn order(self: &Arc<Self>, body: &[u8]) -> u16 {
        let Some(order) = Json::parse(body) else { return 400 };
        let version = order.field("version").count();
        if order.field("operation").text() != "start" || version == 0 {
            return 400;
        }
        let mut state = self.state.lock().expect("no panic");
        let fence = order.field("fence_token").count();
        if fence < state.fence {
            return 412;
        }
        state.fence = fence;
        if state.loaded == Some(version) {
            return 200;
        }
        let is_expected = match order.field("precondition") {
            Json::Null => true,
            expected => expected.count() == state.orders,
        };
        if state.is_loading || !is_expected {
            return 409;
        }
        state.orders += 1;
        state.is_loading = true;
        let (mut spoilt, mut excused) = (Vec::new(), Vec::new());
        for index in 0..CHUNKS {
            if state.stage.get(&index) == Some(&chunk(version, index)) {
                continue;
            }
            let since = state.rotten_since.get(&index);
            match since.is_some_and(|since| since.elapsed() <= ROT_EXCUSE) {
                true => excused.push(index),
                false => spoilt.push(index),
            }
        }
        self.record.line(&format!(
            "{}: order to load version {version} accepted; pieces missing, spoilt or of another \
             version for over 3 s: {spoilt:?}, for less: {excused:?}",
            self.options.name
        ));
        state.spoilt_layers = spoilt;
        drop(state);
        let engine = self.clone();
        thread::spawn(move || engine.load(version));
        202
    }

    fn load(&self, version: u64) {
        let starts = self.state.lock().expect("no panic").starts;
        while self.state.lock().expect("no panic").running > 0 {
            thread::sleep(POLL);
        }
        thread::sleep(WARM_TIME);
        let mut state = self.state.lock().expect("no panic");
        if state.starts != starts || state.is_down {
            return;
        }
        state.loaded = Some(version);
        state.is_loading = false;
        drop(state);
        self.record.line(&format!("{}: version {version} is loaded", self.options.name));
        self.register();
    }

    fn run(&self, connection: &mut Connection, request: &Request) -> std::io::Result<()> {
        let id = request.header("attempt-id").to_owned();
        if id.is_empty() {
            return connection.answer(400, &[("Not-Executed", "1")], b"");
        }
        let own_id = self.id();
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != own_id {
            let headers = [("Attempt-Id", id.as_str()), ("Instance-Id", own_id.as_str())];
            return connection.answer(421, &headers, b"");
        }
        let mut state = self.state.lock().expect("no panic");
        let is_empty = self.options.has_model && state.loaded.is_none();
        if is_empty || state.is_loading || state.running >= self.options.slots {
            drop(state);
            let headers = [("Attempt-Id", id.as_str()), ("Not-Executed", "1")];
            return connection.answer(503, &headers, b"");
        }
        state.running += 1;
        let starts = state.starts;
        let version = state.loaded.unwrap_or(0);
        state.runs.push(Run { id: id.clone(), version, began_at: Instant::now() });
        let spoilt = state.spoilt_layers.clone();
        if !spoilt.is_empty() {
            state.whole_broken += 1;
        }
        drop(state);
        self.record.line(&format!("{}: runs {id} on version {version}", self.options.name));
        if !spoilt.is_empty() {
            self.record.line(&format!(
                "{}: makes the tokens of {id} with layers from the spoilt pieces {spoilt:?}",
                self.options.name
            ));
        }
        let sent = match self.options.events {
            0 => self.send_body(connection, &id),
            _ => self.send_stream(connection, request, &id, starts),
        };
        let mut state = self.state.lock().expect("no panic");
        if state.starts == starts {
            state.running = state.running.saturating_sub(1);
        }
        drop(state);
        let how = if sent.is_ok() { "to its end" } else { "cut: the connection was closed" };
        self.record.line(&format!("{}: run of {id} {how}", self.options.name));
        sent
    }

    fn send_body(&self, connection: &mut Connection, id: &str) -> std::io::Result<()> {
        thread::sleep(self.options.pause);
        let headers = [("Attempt-Id", id), ("Server-Seal", "seal")];
        connection.answer(200, &headers, format!("answer to {id}").as_bytes())
    }

    fn send_stream(
        &self,
        connection: &mut Connection,
        request: &Request,
        id: &str,
        starts: u64,
    ) -> std::io::Result<()> {
        let first = request.header("last-event-id").parse::<u32>().unwrap_or(0) + 1;
        let headers =
            [("Attempt-Id", id), ("Server-Seal", "seal"), ("Content-Type", "text/event-stream")];
        connection.begin_chunks(200, &headers)?;
        for event in first..=self.options.events {
            thread::sleep(self.options.pause);
            let state = self.state.lock().expect("no panic");
            let is_gone = state.is_down || state.starts != starts;
            drop(state);
            if is_gone {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            connection.send_chunk(format!("id: {event}\ndata: token {event}\n\n").as_bytes())?;
        }
        connection.send_chunk(b"")
    }
}

/// The service of model engines in a configuration, with its origin of weights.
pub fn model_services(service: &str, slots: u32, origin: SocketAddr, zone: &str) -> String {
    format!(
        "{{\"name\":\"{service}\",\"max_connections\":264,\"health_path\":\"/health\",\"engine\":\
         {{\"slots\":{slots},\"models\":[{{\"name\":\"{MODEL}\"}}],\"layers\":16,\
         \"chunks\":{CHUNKS},\"chunk_bytes\":{CHUNK_BYTES},\"read_per_s\":31900.0}}}},\
         {{\"name\":\"portal\",\"origin\":\"{origin}\",\"zone\":\"{zone}\",\"link_mbps\":9.9,\
         \"max_connections\":48}}"
    )
}
