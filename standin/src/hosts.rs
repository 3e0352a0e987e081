//! The list of hosts, which can lag behind its changes.

use crate::call::{
    StandinError, StandinRequest, StandinResponse, json_ok, json_with_etag, unknown_route,
};
use crate::outage::OutageMode;
use crate::server::StandinRole;
use crate::switches::patch_switches;
use actix_http::Method;
use buckthornwharf_core::membership::HostRecord;
use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

/// Maximum number of changes kept separately for the lag; all readers see older ones.
const MAX_CHANGES: usize = 1 << 16;
/// Maximum lag; all readers see older changes.
const MAX_LAG: Duration = Duration::from_secs(600);

/// Fault switches of the list of hosts.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostsSwitches {
    /// Outage that affects all reads.
    pub down: OutageMode,
    /// Lag of reads behind changes, in milliseconds; at most ten minutes.
    pub lag_ms: u64,
    /// Whether reads return an empty list.
    pub empty: bool,
}

#[derive(Debug)]
struct HostChange {
    at: Instant,
    name: HostName,
    record: Option<HostRecord>,
}

/// The list of hosts.
#[derive(Debug, Default)]
pub struct HostsService {
    base_hosts: RefCell<SortedTable<HostName, HostRecord>>,
    changes: RefCell<VecDeque<HostChange>>,
    switches: RefCell<HostsSwitches>,
    reads: Cell<u64>,
}

impl HostsService {
    /// Creates a service without hosts.
    pub fn new() -> Rc<Self> {
        Rc::new(Self::default())
    }

    async fn list(&self, request: &StandinRequest) -> Result<StandinResponse, StandinError> {
        self.reads.set(self.reads.get() + 1);
        let switches = self.switches.borrow().clone();
        switches.down.apply().await?;
        if switches.empty {
            return json_ok(&Vec::<HostRecord>::new());
        }
        let lag = Duration::from_millis(switches.lag_ms).min(MAX_LAG);
        let hosts = self.hosts_as_of(Instant::now().checked_sub(lag));
        json_with_etag(request, &hosts.values().collect::<Vec<_>>())
    }

    fn hosts_as_of(&self, until: Option<Instant>) -> SortedTable<HostName, HostRecord> {
        let mut hosts = self.base_hosts.borrow().clone();
        let changes = self.changes.borrow();
        let visible = changes.iter().filter(|change| until.is_some_and(|until| change.at <= until));
        visible.for_each(|change| change.apply(&mut hosts));
        hosts
    }

    fn set(&self, name: &str, record: Option<HostRecord>) {
        let change = HostChange { at: Instant::now(), name: HostName::from(name), record };
        self.changes.borrow_mut().push_back(change);
        self.compact_changes();
    }

    fn compact_changes(&self) {
        let mut changes = self.changes.borrow_mut();
        let mut base_hosts = self.base_hosts.borrow_mut();
        while let Some(change) = changes.front()
            && (changes.len() > MAX_CHANGES || change.at.elapsed() > MAX_LAG)
        {
            change.apply(&mut base_hosts);
            changes.pop_front();
        }
    }
}

impl HostChange {
    fn apply(&self, hosts: &mut SortedTable<HostName, HostRecord>) {
        match &self.record {
            Some(record) => hosts.insert(self.name.clone(), record.clone()),
            None => hosts.remove(&self.name),
        };
    }
}

impl StandinRole for HostsService {
    const NAME: &'static str = "hosts";
    const MAX_BODY_BYTES: usize = 64 * 1024;

    async fn answer(
        self: Rc<Self>,
        request: StandinRequest,
    ) -> Result<StandinResponse, StandinError> {
        if request.path == "/v1/hosts" && request.method == Method::GET {
            return self.list(&request).await;
        }
        let Some(name) = request.path.strip_prefix("/v1/hosts/") else {
            return Err(unknown_route(&request));
        };
        match request.method {
            Method::PUT => {
                let record: HostRecord = request.json()?;
                if record.name.as_str() != name {
                    return Err(StandinError::bad_request(
                        "the name in the record differs from the one in the path",
                    ));
                }
                self.set(name, Some(record));
            }
            Method::DELETE => self.set(name, None),
            _ => return Err(unknown_route(&request)),
        }
        json_ok(&Value::Bool(true))
    }

    fn patch_switches(&self, patch: &[u8]) -> Result<(), StandinError> {
        patch_switches(&mut *self.switches.borrow_mut(), patch)
    }

    fn counts(&self) -> Value {
        json!({ "reads": self.reads.get() })
    }
}
