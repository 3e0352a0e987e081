//! Stand-in of the platform's metadata store: items, watches, leases, transactions, and the faults that the pages
//! name. The operator and the engines write through methods.

use crate::http::{Connection, Head, now_ms};
use crate::json::{Json, base64};
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    at_ms: f64,
    revision: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Clone)]
struct Lease {
    ttl_ms: f64,
    ends_ms: f64,
    opened_ms: f64,
}

#[derive(Default)]
struct State {
    era: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    is_away: bool,
    connections: Vec<(u64, TcpStream)>,
    waiting: Vec<u64>,
    /// Connections whose watch was cut.
    cut: Vec<u64>,
    next_connection: u64,
    lost: Option<LostAnswers>,
    log: Vec<String>,
}

/// Some of the writes are done later, and not answered.
struct LostAnswers {
    /// Prefix of the keys of these writes; the first write of each key is one.
    prefix: &'static str,
    late_ms: f64,
    keys: Vec<String>,
    writes: u32,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created_at":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

impl State {
    fn set(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        let change = Change { at_ms: now_ms(), revision, key: key.to_owned(), item: Some(item) };
        self.history.push(change);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let (at_ms, revision) = (now_ms(), self.revision);
            self.history.push(Change { at_ms, revision, key: key.to_owned(), item: None });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease && lease > 0)
            .map(|(key, _)| key.clone())
            .collect();
        held.iter().for_each(|key| self.remove(key));
    }

    fn count_write(&mut self) {
        if let Some(lost) = &mut self.lost {
            lost.writes += 1;
        }
    }

    /// Counts a transaction, and returns after which time it is done if its answer is lost.
    fn loses(&mut self, puts: &[Json]) -> Option<f64> {
        self.count_write();
        let lost = self.lost.as_mut()?;
        let key = puts.first()?.text("key");
        if !key.starts_with(lost.prefix) || lost.keys.contains(&key) {
            return None;
        }
        lost.keys.push(key.clone());
        let late_ms = lost.late_ms;
        self.note(format!("does not answer the write of {key}, which it does {late_ms} ms later"));
        Some(late_ms)
    }

    fn note(&mut self, text: String) {
        self.log.push(format!("{:.1} store {text}", now_ms()));
    }
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let state = State { era: 1, revision: 100, next_lease: 7000, ..State::default() };
        let store = Self { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                let mut state = store.lock();
                if state.is_away {
                    let _ = stream.shutdown(Shutdown::Both);
                    continue;
                }
                state.next_connection += 1;
                let id = state.next_connection;
                if let Ok(copy) = stream.try_clone() {
                    state.connections.push((id, copy));
                }
                drop(state);
                thread::spawn(move || {
                    store.serve(id, Connection::new(stream));
                    store.lock().connections.retain(|(other, _)| *other != id);
                });
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                let mut state = expiring.lock();
                let now = now_ms();
                let ended = state.leases.iter().filter(|(_, lease)| lease.ends_ms <= now);
                let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
                if !state.is_away && !ended.is_empty() {
                    for lease in ended {
                        state.note(format!("lease {lease} has run out"));
                        state.end_lease(lease);
                    }
                    expiring.state.1.notify_all();
                }
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics")
    }

    /// Writes an item, as the operator or an engine does; returns when it was acknowledged.
    pub fn put(&self, key: &str, value: &str) -> f64 {
        let mut state = self.lock();
        state.set(key, base64(value), 0);
        let revision = state.revision;
        state.note(format!("accepts {key} revision={revision} {value}"));
        self.state.1.notify_all();
        now_ms()
    }

    /// Removes an item; returns when that was acknowledged.
    pub fn delete(&self, key: &str) -> f64 {
        let mut state = self.lock();
        state.remove(key);
        let revision = state.revision;
        state.note(format!("accepts the removal of {key} revision={revision}"));
        self.state.1.notify_all();
        now_ms()
    }

    /// Returns how many items have a key that begins with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        self.lock().items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// Cuts the connections on which a watch waits.
    pub fn cut_watches(&self) {
        let mut state = self.lock();
        let cut: Vec<u64> = state.waiting.clone();
        for (id, stream) in &state.connections {
            if cut.contains(id) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        state.note(format!("cuts {} waiting watches", cut.len()));
        state.cut.extend(cut);
        self.state.1.notify_all();
    }

    /// The store is away from now on: it closes all connections, and new ones at once.
    pub fn go_away(&self) {
        let mut state = self.lock();
        state.is_away = true;
        for (_, stream) in &state.connections {
            let _ = stream.shutdown(Shutdown::Both);
        }
        state.note("is away".to_owned());
        self.state.1.notify_all();
    }

    /// The store is back, from a copy as of `copy_ms`. What was written since is gone, leases too.
    pub fn return_from_copy(&self, copy_ms: f64) -> f64 {
        let mut state = self.lock();
        state.history.retain(|change| change.at_ms <= copy_ms);
        let mut items = BTreeMap::new();
        for change in &state.history {
            match &change.item {
                Some(item) => drop(items.insert(change.key.clone(), item.clone())),
                None => drop(items.remove(&change.key)),
            }
        }
        state.items = items;
        state.revision = state.history.last().map_or(100, |change| change.revision);
        let now = now_ms();
        state.leases.retain(|_, lease| lease.opened_ms <= copy_ms);
        state.leases.values_mut().for_each(|lease| lease.ends_ms = now + lease.ttl_ms);
        state.era += 1;
        state.is_away = false;
        let (era, revision) = (state.era, state.revision);
        state.note(format!(
            "is back from a copy {:.0} ms old, era={era} revision={revision}",
            now - copy_ms
        ));
        self.state.1.notify_all();
        now
    }

    /// Loses answers from now on: the first write of each key below `prefix` is done `late_ms` later.
    pub fn lose_answers(&self, prefix: &'static str, late_ms: f64) {
        let mut state = self.lock();
        state.lost = Some(LostAnswers { prefix, late_ms, keys: Vec::new(), writes: 0 });
        state.note("begins to lose answers".to_owned());
    }

    /// Loses no more answers; returns how many writes there were meanwhile, and how many of these were lost.
    pub fn answer_all(&self) -> (u32, usize) {
        let mut state = self.lock();
        let lost = state.lost.take();
        let counts = lost.map_or((0, 0), |lost| (lost.writes, lost.keys.len()));
        state.note(format!("loses no more answers; {} of {} writes were lost", counts.1, counts.0));
        counts
    }

    /// Takes the lines of the log.
    pub fn take_log(&self) -> Vec<String> {
        std::mem::take(&mut self.lock().log)
    }

    fn serve(&self, id: u64, mut connection: Connection) {
        while let Ok(Some(head)) = connection.head() {
            let Ok(body) = connection.body(&head) else { return };
            let body = String::from_utf8_lossy(&body).into_owned();
            if self.lock().is_away {
                return;
            }
            let Some((status, answer)) = self.answer(id, &head, &body) else { return };
            let era = self.lock().era;
            let text = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if connection.send(&text).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a call; `None` if the connection is cut instead.
    fn answer(&self, id: u64, head: &Head, body: &str) -> Option<(u16, String)> {
        let path = head.path().trim_start_matches("/buckthornwharf/").to_owned();
        let text = |name: &str| head.query(name).unwrap_or_default();
        if path == "kv-watch" {
            return self.watch(id, head);
        }
        let mut state = self.lock();
        Some(match path.as_str() {
            "kv-key" => {
                let key = text("key");
                match state.items.get(&key) {
                    Some(item) => (200, item_json(&key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            "kv-range" => {
                let (prefix, after) = (text("prefix"), text("after"));
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let answer = format!(
                    r#"{{"items":[{}],"has_more":false,"current_rev":{}}}"#,
                    items.join(","),
                    state.revision
                );
                (200, answer)
            }
            "kv-txn" => {
                let body = Json::parse(body)?;
                let current = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
                let holds = |row: &Json| current(&row.text("key")) == row.number("revision");
                if !body.list("precondition").iter().all(holds) {
                    return Some((412, r#"{"items":[]}"#.to_owned()));
                }
                let puts = body.list("set_keys");
                if let Some(late_ms) = state.loses(&puts) {
                    drop(state);
                    self.write_late(&puts, late_ms);
                    return None;
                }
                let has_lease = |row: &Json| {
                    let lease = row.number("lease");
                    lease == 0 || state.leases.contains_key(&lease)
                };
                if !puts.iter().all(has_lease) {
                    return Some((404, "{}".to_owned()));
                }
                for row in puts {
                    state.set(&row.text("key"), row.text("value"), row.number("lease"));
                    let revision = state.revision;
                    state.note(format!(
                        "takes {} revision={revision} lease={}",
                        row.text("key"),
                        row.number("lease")
                    ));
                }
                self.state.1.notify_all();
                (200, format!(r#"{{"revision":{}}}"#, state.revision))
            }
            "kv-lease" => {
                state.count_write();
                let ttl_ms = Json::parse(body)?.number("ttl_ms") as f64;
                state.next_lease += 1;
                let (lease, now) = (state.next_lease, now_ms());
                let opened = Lease { ttl_ms, ends_ms: now + ttl_ms, opened_ms: now };
                state.leases.insert(lease, opened);
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl_ms}}}"#))
            }
            other => match other.rsplit_once('/') {
                Some(("kv-keep", lease)) => {
                    let lease = lease.parse().ok().and_then(|id: u64| state.leases.get_mut(&id));
                    match lease {
                        Some(lease) => {
                            lease.ends_ms = now_ms() + lease.ttl_ms;
                            (200, format!(r#"{{"ttl_ms":{}}}"#, lease.ttl_ms))
                        }
                        None => (404, "{}".to_owned()),
                    }
                }
                Some(("kv-lease-end", lease)) => {
                    state.count_write();
                    state.end_lease(lease.parse().unwrap_or(0));
                    self.state.1.notify_all();
                    (200, "{}".to_owned())
                }
                _ => (400, "{}".to_owned()),
            },
        })
    }

    /// Does a write later. Its connection returns nothing further.
    fn write_late(&self, puts: &[Json], late_ms: f64) {
        thread::sleep(Duration::from_secs_f64(late_ms / 1000.0));
        let mut state = self.lock();
        for row in puts {
            let (key, lease) = (row.text("key"), row.number("lease"));
            if lease == 0 || state.leases.contains_key(&lease) {
                state.set(&key, row.text("value"), lease);
                state.note(format!("does the late write of {key}, lease={lease}"));
            }
        }
        self.state.1.notify_all();
    }

    fn watch(&self, id: u64, head: &Head) -> Option<(u16, String)> {
        let prefix = head.query("prefix").unwrap_or_default();
        let number = |name: &str| head.query(name).and_then(|text| text.parse::<u64>().ok());
        let (after, wait_ms) = (number("after")?, number("wait_ms")?);
        let until = now_ms() + wait_ms as f64;
        let mut state = self.lock();
        let era = state.era;
        state.waiting.push(id);
        let answer = loop {
            if state.is_away || state.cut.contains(&id) {
                break None;
            }
            if after > state.revision || era != state.era {
                break Some((410, "{}".to_owned()));
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .map(|change| match &change.item {
                    Some(item) => item_json(&change.key, item),
                    None => format!(
                        r#"{{"key":"{}","revision":{},"tombstone":true}}"#,
                        change.key, change.revision
                    ),
                })
                .collect();
            let left = until - now_ms();
            if !events.is_empty() || left <= 0.0 {
                let events = events.join(",");
                let answer = format!(r#"{{"events":[{events}],"current_rev":{}}}"#, state.revision);
                break Some((200, answer));
            }
            let left = Duration::from_secs_f64(left / 1000.0);
            state = self.state.1.wait_timeout(state, left).expect("no thread panics").0;
        };
        state.waiting.retain(|other| *other != id);
        answer
    }
}
