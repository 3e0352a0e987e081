//! The key-value service: compare-and-swap, sessions and watches, modelled on Consul's HTTP API.

mod counts;
mod table;

pub use counts::KvCounts;
pub use table::{KvRow, KvTable, ReadView, SessionBehavior};

use crate::call::{
    StandinError, StandinRequest, StandinResponse, json_ok, json_response, unknown_route,
};
use crate::outage::OutageMode;
use crate::server::{ConnectionTable, StandinRole};
use crate::switches::patch_switches;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, StatusCode};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::future::pending;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Largest accepted value.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Wait of a watch that sends no `wait` parameter.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);
/// Upper limit on the wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(600);
/// Interval at which expired sessions are removed.
const SESSION_EXPIRY_INTERVAL: Duration = Duration::from_millis(20);
const INDEX_HEADER: HeaderName = HeaderName::from_static("x-consul-index");

/// What the service does with the connection in place of sending a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LossMode {
    /// Closes the connection.
    #[default]
    Close,
    /// Keeps the connection open and sends nothing.
    Stall,
}

/// Fault switches of the key-value service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KvSwitches {
    /// Outage that affects all requests.
    pub down: OutageMode,
    /// Delay of each request before it takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Number of upcoming writes that take effect but get no response.
    pub lose_answers: u32,
    /// How the responses to these writes are lost.
    pub loss: LossMode,
    /// Whether reads return each key's state before its last write.
    pub stale_reads: bool,
}

/// The key-value service.
pub struct KvService {
    table: RefCell<KvTable>,
    switches: RefCell<KvSwitches>,
    counts: RefCell<KvCounts>,
    changed: watch::Sender<()>,
    connections: ConnectionTable,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct SessionRequest {
    #[serde(rename = "TTL")]
    ttl: Option<String>,
    behavior: Option<String>,
}

impl KvService {
    /// Creates an empty service and spawns the task that expires its sessions.
    pub fn start(connections: ConnectionTable) -> Rc<Self> {
        let service = Rc::new(Self {
            table: RefCell::default(),
            switches: RefCell::default(),
            counts: RefCell::default(),
            changed: watch::Sender::new(()),
            connections,
        });
        actix_rt::spawn(service.clone().expire_sessions());
        service
    }

    async fn expire_sessions(self: Rc<Self>) {
        loop {
            sleep(SESSION_EXPIRY_INTERVAL).await;
            self.expire_sessions_now();
        }
    }

    fn expire_sessions_now(&self) {
        let expired = self.table.borrow_mut().expire_sessions(Instant::now());
        if expired > 0 {
            self.counts.borrow_mut().session_lapsed += expired as u64;
            self.changed.send_replace(());
        }
    }

    async fn apply_faults(&self) -> Result<(), StandinError> {
        let down = self.switches.borrow().down;
        down.apply().await?;
        let slow_ms = self.switches.borrow().slow_ms;
        if slow_ms > 0 {
            sleep(Duration::from_millis(slow_ms)).await;
        }
        self.expire_sessions_now();
        Ok(())
    }

    fn view(&self) -> ReadView {
        match self.switches.borrow().stale_reads {
            true => ReadView::Previous,
            false => ReadView::Current,
        }
    }

    async fn read(
        &self,
        key: &str,
        request: &StandinRequest,
    ) -> Result<StandinResponse, StandinError> {
        let is_list = request.query.contains_key("recurse");
        let index: Option<u64> = request.parsed_query("index")?;
        self.count_read(is_list, index.is_some());
        self.apply_faults().await?;
        if let Some(index) = index.filter(|index| *index > 0) {
            self.wait_for_newer_index(key, is_list, index, read_wait(request)?).await;
            let down = self.switches.borrow().down;
            down.apply().await?;
        }
        self.answer_read(key, is_list)
    }

    fn count_read(&self, is_list: bool, is_watch: bool) {
        let mut counts = self.counts.borrow_mut();
        counts.total += 1;
        match (is_watch, is_list) {
            (true, _) => counts.watch += 1,
            (false, true) => counts.list += 1,
            (false, false) => counts.get += 1,
        }
    }

    async fn wait_for_newer_index(&self, key: &str, is_list: bool, index: u64, wait: Duration) {
        let _guard = WaitingWatchGuard::new(&self.counts);
        let mut changed = self.changed.subscribe();
        let index_passed = async {
            while self.is_up() && self.read_index(key, is_list) <= index {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = timeout(wait, index_passed).await;
    }

    fn is_up(&self) -> bool {
        self.switches.borrow().down == OutageMode::Off
    }

    fn read_index(&self, key: &str, is_list: bool) -> u64 {
        let table = self.table.borrow();
        match is_list {
            true => table.list(key, self.view()).1,
            false => table.get(key, self.view()).1,
        }
    }

    fn answer_read(&self, key: &str, is_list: bool) -> Result<StandinResponse, StandinError> {
        let table = self.table.borrow();
        let (rows, index) = match is_list {
            true => table.list(key, self.view()),
            false => {
                let (row, index) = table.get(key, self.view());
                (row.map(|row| (key, row)).into_iter().collect(), index)
            }
        };
        let status = if rows.is_empty() { StatusCode::NOT_FOUND } else { StatusCode::OK };
        let rows: Vec<Value> = rows.into_iter().map(|(key, row)| encode_row(key, row)).collect();
        let mut answer = json_response(status, &rows);
        answer.headers_mut().insert(INDEX_HEADER, HeaderValue::from(index));
        Ok(answer)
    }

    async fn write(
        &self,
        request: &StandinRequest,
        write: impl FnOnce(&mut KvTable) -> Value,
    ) -> Result<StandinResponse, StandinError> {
        self.counts.borrow_mut().total += 1;
        self.apply_faults().await?;
        let result = write(&mut self.table.borrow_mut());
        self.changed.send_replace(());
        if let Some(loss) = self.take_loss_mode() {
            self.lose_answer(request, loss).await;
        }
        json_ok(&result)
    }

    fn take_loss_mode(&self) -> Option<LossMode> {
        let mut switches = self.switches.borrow_mut();
        switches.lose_answers = switches.lose_answers.checked_sub(1)?;
        self.counts.borrow_mut().lost_answers += 1;
        Some(switches.loss)
    }

    async fn lose_answer(&self, request: &StandinRequest, loss: LossMode) {
        match loss {
            LossMode::Close => {
                self.connections.cut(request).await;
            }
            LossMode::Stall => pending().await,
        }
    }

    async fn put(
        &self,
        key: &str,
        request: &StandinRequest,
    ) -> Result<StandinResponse, StandinError> {
        let value = request.body.clone();
        if let Some(session) = request.query.get("acquire") {
            self.counts.borrow_mut().acquire += 1;
            return self.write(request, |table| table.acquire(key, value, session).into()).await;
        }
        if let Some(session) = request.query.get("release") {
            self.counts.borrow_mut().release += 1;
            return self.write(request, |table| table.release(key, session).into()).await;
        }
        let cas: Option<u64> = request.parsed_query("cas")?;
        self.count_put(cas.is_some());
        self.write(request, |table| table.put(key, value, cas).into()).await
    }

    fn count_put(&self, is_cas: bool) {
        let mut counts = self.counts.borrow_mut();
        match is_cas {
            true => counts.cas += 1,
            false => counts.put += 1,
        }
    }

    async fn delete(
        &self,
        key: &str,
        request: &StandinRequest,
    ) -> Result<StandinResponse, StandinError> {
        let cas: Option<u64> = request.parsed_query("cas")?;
        self.counts.borrow_mut().delete += 1;
        self.write(request, |table| table.delete(key, cas).into()).await
    }

    async fn create_session(
        &self,
        request: &StandinRequest,
    ) -> Result<StandinResponse, StandinError> {
        let session: SessionRequest = match request.body.is_empty() {
            true => SessionRequest { ttl: None, behavior: None },
            false => request.json()?,
        };
        let ttl = session.ttl.as_deref().map(parse_duration).transpose()?;
        let behavior = parse_behavior(session.behavior.as_deref())?;
        self.counts.borrow_mut().session_create += 1;
        let id = format!("{:032x}", rand::random::<u128>());
        self.write(request, |table| {
            table.open_session(id.clone(), ttl, behavior, Instant::now());
            json!({ "ID": id })
        })
        .await
    }

    async fn renew_session(
        &self,
        id: &str,
        request: &StandinRequest,
    ) -> Result<StandinResponse, StandinError> {
        self.counts.borrow_mut().session_renew += 1;
        let mut is_known = false;
        let answer = self
            .write(request, |table| {
                is_known = table.renew_session(id, Instant::now());
                json!([{ "ID": id }])
            })
            .await?;
        match is_known {
            true => Ok(answer),
            false => Err(StandinError::not_found(format!("session {id} does not exist"))),
        }
    }

    async fn destroy_session(
        &self,
        id: &str,
        request: &StandinRequest,
    ) -> Result<StandinResponse, StandinError> {
        self.counts.borrow_mut().session_destroy += 1;
        self.write(request, |table| {
            table.close_session(id);
            Value::Bool(true)
        })
        .await
    }
}

impl StandinRole for KvService {
    const NAME: &'static str = "kv";
    const MAX_BODY_BYTES: usize = MAX_VALUE_BYTES;

    async fn answer(
        self: Rc<Self>,
        request: StandinRequest,
    ) -> Result<StandinResponse, StandinError> {
        if let Some(key) = request.path.strip_prefix("/v1/kv/") {
            return match request.method {
                Method::GET => self.read(key, &request).await,
                Method::PUT => self.put(key, &request).await,
                Method::DELETE => self.delete(key, &request).await,
                _ => Err(unknown_route(&request)),
            };
        }
        let Some(operation) = request.path.strip_prefix("/v1/session/") else {
            return Err(unknown_route(&request));
        };
        match operation.split_once('/').unwrap_or((operation, "")) {
            _ if request.method != Method::PUT => Err(unknown_route(&request)),
            ("create", "") => self.create_session(&request).await,
            ("renew", id) => self.renew_session(id, &request).await,
            ("destroy", id) => self.destroy_session(id, &request).await,
            _ => Err(unknown_route(&request)),
        }
    }

    fn patch_switches(&self, patch: &[u8]) -> Result<(), StandinError> {
        patch_switches(&mut *self.switches.borrow_mut(), patch)?;
        self.changed.send_replace(());
        Ok(())
    }

    fn counts(&self) -> Value {
        let mut counts = self.counts.borrow().clone();
        counts.open_sessions = self.table.borrow().session_count() as u64;
        json!(counts)
    }
}

/// Counts a watch as waiting until it is dropped, including when its request is cancelled.
struct WaitingWatchGuard<'a> {
    counts: &'a RefCell<KvCounts>,
}

impl<'a> WaitingWatchGuard<'a> {
    fn new(counts: &'a RefCell<KvCounts>) -> Self {
        counts.borrow_mut().waiting_watches += 1;
        Self { counts }
    }
}

impl Drop for WaitingWatchGuard<'_> {
    fn drop(&mut self) {
        self.counts.borrow_mut().waiting_watches -= 1;
    }
}

fn encode_row(key: &str, row: &KvRow) -> Value {
    json!({
        "Key": key,
        "Value": STANDARD.encode::<&Bytes>(&row.value),
        "CreateIndex": row.create_index,
        "ModifyIndex": row.modify_index,
        "Session": row.session,
    })
}

fn read_wait(request: &StandinRequest) -> Result<Duration, StandinError> {
    let Some(text) = request.query.get("wait") else { return Ok(DEFAULT_WAIT) };
    Ok(parse_duration(text)?.min(MAX_WAIT))
}

/// Parses a duration such as `10s`, `250ms` or `5m`.
fn parse_duration(text: &str) -> Result<Duration, StandinError> {
    let invalid = || {
        StandinError::bad_request(format!(
            "invalid duration {text:?}: expected a whole number followed by ms, s or m"
        ))
    };
    let unit_start = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(invalid)?;
    let number: u32 = text[..unit_start].parse().map_err(|_| invalid())?;
    match &text[unit_start..] {
        "ms" => Ok(Duration::from_millis(number.into())),
        "s" => Ok(Duration::from_secs(number.into())),
        "m" => Ok(Duration::from_secs(u64::from(number) * 60)),
        _ => Err(invalid()),
    }
}

fn parse_behavior(text: Option<&str>) -> Result<SessionBehavior, StandinError> {
    match text {
        None | Some("release") => Ok(SessionBehavior::Release),
        Some("delete") => Ok(SessionBehavior::Delete),
        Some(other) => Err(StandinError::bad_request(format!(
            "invalid Behavior {other:?}: expected release or delete"
        ))),
    }
}
