//! What an agent believes: what is wanted, who the other agents are, and what its engine holds.

use super::stage::VersionStage;
use crate::clock;
use crate::direct::facts::{self, FleetFacts};
use crate::direct::follow::FollowEvent;
use crate::direct::loads::{LoadMessage, send_loads};
use crate::direct::metrics::DirectAgentMetrics;
use crate::direct::presence::{self, PresenceRecord};
use crate::direct::settings::{DirectAgentSettings, DirectSettings};
use actix_rt::task::JoinHandle;
use buckthornwharf_core::direct::{
    DeclaredVersion, DeclaredVersions, EngineSpec, LoadedModel, OriginSpec,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::{EngineClient, EngineReport, StoreChange, StoreItem, serving};
use log::{info, warn};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, watch};

/// The version that engines hold before any is declared.
const FIRST_VERSION: u64 = 1;

/// A version that the agent is to bring into its engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedModel {
    /// The version.
    pub version: LoadedModel,
    /// When the agent heard of it; none if it was not declared.
    pub declared_at: Option<MonoTime>,
    /// From when on the version that the engine holds must not be used; none if it may.
    pub retire_at: Option<MonoTime>,
    /// From when on the versions before the one that the engine holds must not be used.
    pub previous_retire_at: Option<MonoTime>,
}

/// What an agent believes, shared by its tasks.
pub struct AgentState {
    /// What is counted.
    pub metrics: DirectAgentMetrics,
    /// The settings of the process.
    pub settings: DirectSettings,
    /// The settings of the agent.
    pub own: DirectAgentSettings,
    /// The engine beside the agent.
    pub engine: EngineClient,
    /// Told when something is wanted that was not before.
    pub wanted_changed: Notify,
    /// Told when the other agents changed.
    pub agents_changed: Notify,
    /// Told when the list of processes is to be read anew.
    pub processes_wanted: Rc<Notify>,
    facts: RefCell<Option<FleetFacts>>,
    declared: RefCell<SortedTable<ModelName, DeclaredVersions>>,
    agents: RefCell<SortedTable<Arc<str>, PresenceRecord>>,
    /// What is held of versions.
    pub stage: VersionStage,
    report: RefCell<Option<EngineReport>>,
    fence: Cell<Option<u64>>,
    /// Whether the engine answers.
    serving: watch::Sender<bool>,
    links: RefCell<SortedTable<Arc<str>, EntryLink>>,
    loads: watch::Sender<Option<LoadMessage>>,
    /// Whether the engine was ordered to load, and takes no requests before it has.
    closed: Cell<bool>,
}

impl AgentState {
    /// The state of an agent that knows nothing yet.
    pub fn new(
        settings: DirectSettings,
        own: DirectAgentSettings,
        engine: EngineClient,
        metrics: DirectAgentMetrics,
    ) -> Rc<Self> {
        Rc::new(Self {
            metrics,
            settings,
            own,
            engine,
            wanted_changed: Notify::new(),
            agents_changed: Notify::new(),
            processes_wanted: Rc::default(),
            facts: RefCell::default(),
            declared: RefCell::default(),
            agents: RefCell::default(),
            stage: VersionStage::default(),
            report: RefCell::default(),
            fence: Cell::new(None),
            serving: watch::channel(false).0,
            links: RefCell::default(),
            loads: watch::channel(None).0,
            closed: Cell::new(false),
        })
    }

    /// Takes in the number of the store's change that registered the agent: it rises with each
    /// start, so it fences the orders of earlier runs.
    pub fn set_fence(&self, revision: u64) {
        self.fence.set(Some(revision));
    }

    /// Hears whether the engine answers. Other agents count on this one only while it does.
    pub fn serving(&self) -> watch::Receiver<bool> {
        self.serving.subscribe()
    }

    /// Takes in whether the engine answers.
    pub fn set_serving(&self, serving: bool) {
        self.serving.send_if_modified(|known| std::mem::replace(known, serving) != serving);
    }

    /// The fencing number of orders; none before the agent was registered.
    pub fn fence(&self) -> Option<u64> {
        self.fence.get()
    }

    /// Takes in what the operator wrote.
    pub fn take_operator(&self, event: FollowEvent) {
        match event {
            FollowEvent::Listed(items) => items.iter().for_each(|item| self.take_item(item)),
            FollowEvent::Changed(changes) => {
                for change in &changes {
                    if let StoreChange::Put(item) = change {
                        self.take_item(item);
                    }
                }
            }
            FollowEvent::Returned => {}
        }
    }

    fn take_item(&self, item: &StoreItem) {
        match serving::read_version(&item.value) {
            Ok(version) => self.declare(version),
            Err(error) => warn!("event=bad_version key={} reason=\"{error}\"", item.key),
        }
    }

    fn set_facts(&self, facts: FleetFacts) {
        let mut known = self.facts.borrow_mut();
        if known.as_ref().is_some_and(|known| known.generation >= facts.generation) {
            return;
        }
        info!("event=config generation={}", facts.generation);
        *known = Some(facts);
        self.wanted_changed.notify_one();
    }

    fn declare(&self, declared: LoadedModel) {
        let now = clock::now();
        let version = declared.version;
        let required_from = now + self.settings.bounds.version_time;
        let begin_by = required_from;
        let entry = DeclaredVersion { version, declared_at: now, required_from, begin_by };
        let mut known = self.declared.borrow_mut();
        let versions = known.get_or_insert_with(declared.model.clone(), DeclaredVersions::default);
        if versions.declare(entry) {
            info!("event=version model={} version={version}", declared.model);
            self.metrics.declared_version.set(i64::try_from(version).unwrap_or(i64::MAX));
            self.wanted_changed.notify_one();
            self.processes_wanted.notify_one();
        }
    }

    /// Takes in which processes are live; whether they are others than before.
    pub fn take_processes(&self, items: Vec<StoreItem>) -> bool {
        let agents_before = self.agents.replace(SortedTable::new());
        let entries_before = self.linked_entries();
        let listed = |key: &str| items.iter().any(|item| &*item.key == key);
        self.links.borrow_mut().retain(|key, _| listed(key));
        items.into_iter().for_each(|item| self.put_process(item));
        let agents_changed = *self.agents.borrow() != agents_before;
        if agents_changed {
            self.agents_changed.notify_waiters();
        }
        agents_changed || self.linked_entries() != entries_before
    }

    /// The keys of the entries that hear of the engine's load.
    fn linked_entries(&self) -> Vec<Arc<str>> {
        self.links.borrow().iter().map(|(key, _)| key.clone()).collect()
    }

    fn put_process(&self, item: StoreItem) {
        if &*item.key == facts::KEY {
            FleetFacts::read(&item.value).into_iter().for_each(|facts| self.set_facts(facts));
            return;
        }
        let Some(record) = PresenceRecord::read(&item.key, &item.value) else {
            return;
        };
        if item.key.starts_with(presence::AGENTS) {
            self.agents.borrow_mut().insert(item.key, record);
            return;
        }
        let mut links = self.links.borrow_mut();
        if links.get(&item.key).is_none_or(|link| link.address != record.address) {
            let receiver = self.loads.subscribe();
            let task = actix_rt::spawn(send_loads(record.address, receiver));
            links.insert(item.key, EntryLink { address: record.address, task });
        }
    }

    /// The agents, this one included, sorted by host.
    pub fn agents(&self) -> Vec<PresenceRecord> {
        let mut agents: Vec<PresenceRecord> = self.agents.borrow().values().cloned().collect();
        if !agents.iter().any(|agent| agent.host == self.settings.host) {
            agents.push(PresenceRecord::of(&self.settings));
        }
        agents.sort_by(|a, b| a.host.cmp(&b.host));
        agents
    }

    /// The engines of the agent's service, if the configuration names them.
    pub fn engine_spec(&self) -> Option<EngineSpec> {
        self.facts.borrow().as_ref()?.engines_of(&self.own.service)
    }

    /// The origin of weights.
    pub fn origin(&self) -> Option<OriginSpec> {
        self.facts.borrow().as_ref()?.origin()
    }

    /// What the engine is to hold.
    pub fn wanted(&self) -> Vec<WantedModel> {
        let Some(spec) = self.engine_spec() else {
            return Vec::new();
        };
        let declared = self.declared.borrow();
        let wanted = |model: ModelName| {
            let versions = declared.get(&model);
            let newest = versions.and_then(DeclaredVersions::newest);
            let loaded = self.loaded_version(&model);
            let unmet = versions.and_then(|known| known.first_unmet(loaded));
            let met = versions.and_then(|known| known.last_met(loaded));
            WantedModel {
                declared_at: newest.map(|newest| newest.declared_at),
                retire_at: unmet.map(|unmet| unmet.required_from),
                previous_retire_at: met.map(|met| met.required_from),
                version: LoadedModel {
                    version: newest.map_or(FIRST_VERSION, |newest| newest.version),
                    model,
                },
            }
        };
        spec.models.into_iter().map(wanted).collect()
    }

    /// What the engine said last of its state.
    pub fn report(&self) -> Option<EngineReport> {
        self.report.borrow().clone()
    }

    /// Takes in what the engine says of its state.
    pub fn set_report(&self, report: EngineReport) {
        let loaded = report.models.iter().map(|loaded| loaded.version).max().unwrap_or(0);
        self.metrics.loaded_version.set(i64::try_from(loaded).unwrap_or(i64::MAX));
        self.metrics.engine_requests.set(i64::from(report.running + report.waiting));
        self.report.replace(Some(report));
        self.tell_load();
    }

    /// Whether the engine was ordered to load and has not done so yet.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Notes whether the engine is being loaded and takes no requests meanwhile.
    pub fn set_closed(&self, closed: bool) {
        self.closed.set(closed);
        self.tell_load();
    }

    fn tell_load(&self) {
        let report = self.report.borrow();
        let Some(report) = report.as_ref() else {
            return;
        };
        let load = LoadMessage {
            engine: self.own.engine,
            requests: report.running + report.waiting,
            accepting: !self.closed.get() && !report.loading,
        };
        self.loads.send_if_modified(|known| {
            let changed = *known != Some(load);
            *known = Some(load);
            changed
        });
    }

    /// The version of `model` that the engine said last that it has loaded; 0 for none.
    fn loaded_version(&self, model: &ModelName) -> u64 {
        let report = self.report.borrow();
        report.as_ref().map_or(0, |report| LoadedModel::newest_version(model, &report.models))
    }

    /// Whether the engine said last that it has loaded `version`.
    pub fn is_loaded(&self, version: &LoadedModel) -> bool {
        self.report.borrow().as_ref().is_some_and(|report| report.models.contains(version))
    }
}

/// A link to an entry; it ends with the value.
struct EntryLink {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for EntryLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}
