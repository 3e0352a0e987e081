//! The store, the operator's configuration and the processes of a small deployment.

use crate::client::{self, HOST, KEY, Outcome};
use crate::json::quoted;
use crate::process::{Addresses, Fields, Process, front_fields, is_ready, wait_until};
use crate::record::Record;
use crate::store::Store;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time within which the entry is ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// What a case returns: whether the rule held, or that it could not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// The parts that all cases use.
pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub store_address: SocketAddr,
    pub folder: PathBuf,
}

impl Fleet {
    /// Starts the store. Logs and settings are written to a temporary folder.
    pub fn start(case_folder: &Path) -> Self {
        let record = Arc::new(Record::create(&case_folder.join("record.txt")));
        let (store, store_address) = Store::start();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        Self { record, store, store_address, folder }
    }

    /// Writes a configuration with these routes and services, and the usual key, as the operator does.
    pub fn configure(&self, version: u64, routes: &[String], services: &str) {
        self.configure_keys(version, routes, services, &[KEY]);
    }

    /// Writes a configuration whose tenant has these keys.
    pub fn configure_keys(&self, version: u64, routes: &[String], services: &str, keys: &[&str]) {
        let keys: Vec<String> = keys.iter().map(|key| quoted(key)).collect();
        let config = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{services}],\
             \"limits\":{{\"header_bytes\":16384,\"max_body_bytes\":4194304,\
             \"header_timeout_ms\":5000,\"idle_timeout_ms\":10000}},\
             \"tenants\":[{{\"name\":\"mill\",\"api_keys\":[{}]}}]}}",
            routes.join(","),
            keys.join(",")
        );
        self.store.put("op/config", &config);
        self.record.line(&format!("operator writes configuration {version}"));
    }

    /// Declares a version of the model.
    pub fn declare(&self, version: u64) {
        let value = format!("{{\"model\":\"m0\",\"version\":{version}}}");
        self.store.put("op/version/m0", &value);
        self.record.line(&format!("operator names version {version} of the weights"));
    }

    /// Starts an entry and waits until it is ready.
    pub fn start_entry(
        &self,
        name: &str,
        fields: &Fields,
        addresses: &Addresses,
    ) -> Option<Process> {
        let entry = Process::start("entry", name, &self.folder, &fields.render());
        let ready = wait_until(START_TIMEOUT, || is_ready(addresses.readiness));
        self.record.line(&format!("{name}: started, ready: {ready}"));
        ready.then_some(entry)
    }

    /// The fields of an entry of the deployment.
    pub fn front(&self, number: u8) -> (Fields, Addresses) {
        front_fields(&format!("front-colombo-a-{number}"), "colombo-a", number, self.store_address)
    }

    /// Sends requests one after the other from `lanes` clients for `time`, with a pause of `gap` after each.
    pub fn load(
        &self,
        address: SocketAddr,
        path: &str,
        label: &str,
        lanes: usize,
        gap: Duration,
        time: Duration,
    ) -> Vec<Outcome> {
        let until = Instant::now() + time;
        let lane = |lane: usize| {
            let (record, path) = (self.record.clone(), path.to_owned());
            let label = format!("{label}{lane}");
            thread::spawn(move || {
                let mut outcomes = Vec::new();
                while Instant::now() < until {
                    let id = format!("{label}x{:03x}", outcomes.len());
                    let deadline = Duration::from_millis(6000);
                    outcomes.push(client::send(address, &path, &id, deadline, &record));
                    thread::sleep(gap);
                }
                outcomes
            })
        };
        let lanes: Vec<_> = (0..lanes).map(lane).collect();
        lanes.into_iter().flat_map(|lane| lane.join().unwrap_or_default()).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            // What is left over is in the temporary folder.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A route of the configuration.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, aim_ms: u64) -> String {
    let (resume, attempts) = match kind {
        "stream" => (true, 2),
        "idempotent" => (false, 2),
        _ => (false, 1),
    };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":{aim_ms},\"priority\":1,\
         \"service\":\"{service}\",\"max_attempts\":{attempts},\"stream_resume\":{resume},\
         \"gap_aim_ms\":300}}"
    )
}
