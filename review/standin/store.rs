//! Stand-in of the platform's store, as PROTOCOL.md describes it.

use crate::http::{self, Connection, Request};
use crate::json::{self, Json, base64, from_base64, quoted};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which expired leases are looked for.
const LEASE_INTERVAL: Duration = Duration::from_millis(100);
/// Items on a page of a range.
const PAGE_ITEMS: usize = 500;

struct Item {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct Table {
    revision: u64,
    next_lease: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    /// Revision, key, and the new value; none for a removal.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
}

/// The store.
pub struct Store {
    table: Mutex<Table>,
    changed: Condvar,
}

impl Store {
    /// Starts a store and returns it with its address.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let table = Table { revision: 100, ..Table::default() };
        let store = Arc::new(Self { table: Mutex::new(table), changed: Condvar::new() });
        let served = store.clone();
        let address = http::listen(move |connection| served.serve(connection));
        let expired = store.clone();
        thread::spawn(move || expired.expire_leases());
        (store, address)
    }

    /// Writes an item as the operator or an engine does.
    pub fn put(&self, key: &str, value: &str) {
        self.table.lock().expect("no panic").set(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.table.lock().expect("no panic").remove(key);
        self.changed.notify_all();
    }

    fn expire_leases(&self) {
        loop {
            thread::sleep(LEASE_INTERVAL);
            let mut table = self.table.lock().expect("no panic");
            let now = Instant::now();
            let ended = table.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
            let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
            ended.iter().for_each(|id| table.end_lease(*id));
            drop(table);
            if !ended.is_empty() {
                self.changed.notify_all();
            }
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read_request() {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if connection.answer(status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let call = request.path().trim_start_matches("/buckthornwharf/").to_owned();
        let id = call.split('/').nth(1).and_then(|id| id.parse().ok()).unwrap_or(0);
        match call.split('/').next().unwrap_or_default() {
            "kv-key" => self.key(&request.query("key")),
            "kv-range" => self.range(&request.query("prefix"), &request.query("after")),
            "kv-watch" => self.watch(request),
            "kv-txn" => self.transaction(&request.body),
            "kv-lease" => self.open_lease(&request.body),
            "kv-keep" => self.keep_lease(id),
            "kv-lease-end" => {
                self.table.lock().expect("no panic").end_lease(id);
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let table = self.table.lock().expect("no panic");
        match table.items.get(key) {
            Some(item) => {
                let text = item_text(key, Some(&item.value), item.revision, item.lease);
                (200, text.replacen('{', &format!("{{\"current_rev\":{},", table.revision), 1))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let table = self.table.lock().expect("no panic");
        let is_match = |key: &&String| key.starts_with(prefix) && key.as_str() > after;
        let items: Vec<(&String, &Item)> =
            table.items.iter().filter(|(key, _)| is_match(key)).collect();
        let has_more = items.len() > PAGE_ITEMS;
        let texts: Vec<String> = items
            .into_iter()
            .take(PAGE_ITEMS)
            .map(|(key, item)| item_text(key, Some(&item.value), item.revision, item.lease))
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"current_rev\":{}}}",
            texts.join(","),
            table.revision
        );
        (200, body)
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("prefix");
        let number = |name: &str| request.query(name).parse::<u64>().unwrap_or(0);
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
        let deadline = Instant::now() + wait;
        let mut table = self.table.lock().expect("no panic");
        loop {
            if after > table.revision {
                return (410, "{}".to_owned());
            }
            let changes = table.history.iter();
            let changes =
                changes.filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<String> = changes
                .map(|(revision, key, value)| item_text(key, value.as_deref(), *revision, 0))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"current_rev\":{}}}", table.revision),
                );
            }
            table = self.changed.wait_timeout(table, left).expect("no panic").0;
        }
    }

    fn transaction(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let mut table = self.table.lock().expect("no panic");
        for row in body.field("set_keys").list() {
            let key = row.field("key").text();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
            let lease = row.field("lease").count();
            if lease > 0 && !table.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for row in body.field("precondition").list() {
            let current = table.items.get(row.field("key").text()).map_or(0, |item| item.revision);
            if current != row.field("revision").count() {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        for row in body.field("set_keys").list() {
            let value = from_base64(row.field("value").text());
            table.set(row.field("key").text(), value, row.field("lease").count());
        }
        for key in body.field("remove").list() {
            table.remove(key.text());
        }
        let revision = table.revision;
        drop(table);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn open_lease(&self, body: &[u8]) -> (u16, String) {
        let ttl_ms = json::Json::parse(body).map_or(0, |body| body.field("ttl_ms").count());
        let ttl = Duration::from_millis(ttl_ms);
        let mut table = self.table.lock().expect("no panic");
        table.next_lease += 1;
        let id = table.next_lease;
        table.leases.insert(id, Lease { ttl, ends_at: Instant::now() + ttl });
        (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn keep_lease(&self, id: u64) -> (u16, String) {
        match self.table.lock().expect("no panic").leases.get_mut(&id) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                (200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}

impl Table {
    fn set(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        self.history.push((revision, key.to_owned(), Some(value.clone())));
        self.items.insert(key.to_owned(), Item { value, revision, lease });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self.items.iter().filter(|(_, item)| id > 0 && item.lease == id);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

fn item_text(key: &str, value: Option<&[u8]>, revision: u64, lease: u64) -> String {
    let key = quoted(key);
    match value {
        Some(value) => format!(
            "{{\"key\":{key},\"value\":\"{}\",\"revision\":{revision},\"created_at\":{revision},\
             \"lease\":{lease}}}",
            base64(value)
        ),
        None => format!("{{\"key\":{key},\"revision\":{revision},\"tombstone\":true}}"),
    }
}
