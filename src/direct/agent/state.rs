//! State that the tasks of an agent share: wanted versions, other agents, and the engine's state.

mod agents;
mod evacuation;
mod links;

use super::stage::VersionStage;
use crate::clock;
use crate::direct::facts::AgentConfig;
use crate::direct::follow::StoreEvent;
use crate::direct::loads::{AgentReports, EngineDetails, EngineLoad};
use crate::direct::metrics::DirectAgentMetrics;
use crate::direct::news::VersionNews;
use crate::direct::presence::PresenceRecord;
use crate::direct::settings::{BoundSettings, DirectAgentSettings, DirectSettings};
use buckthornwharf_core::direct::version_choice::{CopyTimes, versions_to_load};
use buckthornwharf_core::direct::{
    DeclaredVersion, EngineSpec, EntryDemands, LoadedModel, NewsCoverage, OriginSpec, StorePosition,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::FetchShare;
use buckthornwharf_platform::{EngineClient, EngineReport, StoreChange, StoreItem, serving};
use links::EntryLink;
use log::{info, warn};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{Notify, watch};

/// Step to which the reported memory is rounded, in percent.
const MEMORY_STEP: u64 = 5;
/// Step to which the reported pace is rounded, in percent.
const PACE_STEP: f64 = 10.0;
/// Highest pace that is reported, in percent.
const MAX_PACE: f64 = 10_000.0;
/// Version that engines load as long as none has been declared.
const FIRST_VERSION: u64 = 1;

/// Agents by their keys in the store.
type AgentTable = SortedTable<Arc<str>, PresenceRecord>;

/// A version that the agent has to load into its engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedModel {
    /// The version.
    pub version: LoadedModel,
    /// When the agent received the declaration; `None` if no version was declared.
    pub declared_at: Option<MonoTime>,
    /// Time from which the version that the engine has loaded must not be used; `None` if there is no
    /// such time.
    pub retire_at: Option<MonoTime>,
    /// Time from which versions older than the loaded one must not be used; `None` if there is no such
    /// time.
    pub previous_retire_at: Option<MonoTime>,
}

impl WantedModel {
    /// Returns the milliseconds since its declaration, 0 if there was none.
    pub fn age_ms(&self) -> u128 {
        self.declared_at.map_or(0, |declared| clock::now().since(declared).as_millis())
    }
}

/// State that the tasks of an agent share.
pub struct AgentState {
    /// Metrics of the agent.
    pub metrics: DirectAgentMetrics,
    /// Settings of the process.
    pub settings: DirectSettings,
    /// The section `agent` of the settings.
    pub agent_settings: DirectAgentSettings,
    /// Time by which a declared version replaces older ones, by the newest settings.
    version_time: Cell<Duration>,
    /// Client for the engine on this host.
    pub engine: EngineClient,
    /// Notified when the wanted versions may have changed.
    pub wanted_changed: Notify,
    /// Notified when the set of registered agents changed.
    pub agents_changed: Notify,
    /// Notified to read the list of agents from the store soon.
    pub refresh_agents: Rc<Notify>,
    /// Newest configuration, by generation.
    config: RefCell<Option<AgentConfig>>,
    /// The declared versions, which are passed on to entries.
    news: watch::Sender<VersionNews>,
    /// Registered agents, by their keys in the store.
    agents: RefCell<AgentTable>,
    /// Whether the agents of all regions have been read.
    all_agents_known: watch::Sender<bool>,
    /// Chunks that the agent holds.
    pub stage: VersionStage,
    report: RefCell<Option<EngineReport>>,
    /// Fencing token for load orders.
    fence: Cell<Option<u64>>,
    /// Whether the engine answers; the agent is registered only while it does.
    engine_up: watch::Sender<bool>,
    /// Whether the agent knows the versions that were declared before it started.
    versions_known: Cell<bool>,
    /// The entries from which the agent hears of declared versions.
    coverage: RefCell<NewsCoverage>,
    /// Notified when `coverage` changed.
    coverage_changed: Notify,
    /// Links to entries by the store keys of the entries.
    links: RefCell<SortedTable<Arc<str>, EntryLink>>,
    loads: watch::Sender<Option<EngineLoad>>,
    /// What entries told of their demand.
    demands: RefCell<EntryDemands>,
    /// Whether the engine was ordered to load a version; it accepts no requests until it has.
    load_ordered: Cell<bool>,
}

impl AgentState {
    /// Creates the state of an agent that has read nothing from the store or its engine.
    pub fn new(
        settings: DirectSettings,
        agent_settings: DirectAgentSettings,
        engine: EngineClient,
        metrics: DirectAgentMetrics,
    ) -> Rc<Self> {
        Rc::new(Self {
            metrics,
            version_time: Cell::new(settings.bounds.version_time),
            settings,
            agent_settings,
            engine,
            wanted_changed: Notify::new(),
            agents_changed: Notify::new(),
            refresh_agents: Rc::default(),
            config: RefCell::default(),
            news: watch::channel(VersionNews::default()).0,
            agents: RefCell::default(),
            all_agents_known: watch::channel(false).0,
            stage: VersionStage::default(),
            report: RefCell::default(),
            fence: Cell::new(None),
            engine_up: watch::channel(false).0,
            versions_known: Cell::new(false),
            coverage: RefCell::default(),
            coverage_changed: Notify::new(),
            links: RefCell::default(),
            loads: watch::channel(None).0,
            demands: RefCell::default(),
            load_ordered: Cell::new(false),
        })
    }

    /// Sets the fencing token: the store's position of the agent's registration. It rises with each
    /// registration, so orders of earlier incarnations are rejected.
    pub fn set_fence(&self, position: StorePosition) {
        self.fence.set(Some(position.fencing_token()));
    }

    /// Subscribes to whether the engine answers. Other agents rely on this one only while it does.
    pub fn subscribe_engine_up(&self) -> watch::Receiver<bool> {
        self.engine_up.subscribe()
    }

    /// Records whether the engine answers.
    pub fn set_engine_up(&self, engine_up: bool) {
        self.engine_up.send_if_modified(|known| std::mem::replace(known, engine_up) != engine_up);
    }

    /// Returns the fencing token for orders; `None` until the agent is registered.
    pub fn fence(&self) -> Option<u64> {
        self.fence.get()
    }

    /// Handles changes of the versions that the operator declares in the store.
    pub fn on_version_event(&self, event: StoreEvent) {
        match event {
            StoreEvent::Snapshot(range) => {
                range.items.iter().for_each(|item| self.apply_version_item(item));
                self.versions_known.set(true);
            }
            StoreEvent::Changes { changes, .. } => {
                for change in &changes {
                    if let StoreChange::Put(item) = change {
                        self.apply_version_item(item);
                    }
                }
            }
            StoreEvent::Lost | StoreEvent::Recovered => {}
        }
    }

    fn apply_version_item(&self, item: &StoreItem) {
        match serving::read_version(&item.value) {
            Ok(version) => self.declare(version, clock::now()),
            Err(error) => warn!("event=bad_version key={} reason=\"{error}\"", item.key),
        }
    }

    fn set_config(&self, config: AgentConfig) {
        let mut current = self.config.borrow_mut();
        if current.as_ref().is_some_and(|current| current.generation >= config.generation) {
            return;
        }
        info!("event=config generation={}", config.generation);
        *current = Some(config);
        self.wanted_changed.notify_one();
    }

    /// Replaces the bounds after the settings were reloaded. Versions declared before keep their times.
    pub fn set_bounds(&self, bounds: &BoundSettings) {
        self.version_time.set(bounds.version_time);
    }

    /// Returns the loads and declared versions to send to an entry.
    fn subscribe_reports(&self) -> AgentReports {
        AgentReports { loads: self.loads.subscribe(), news: self.news.subscribe() }
    }

    /// Records a declaration. A new one calls for the agents of all regions, from which chunks are fetched.
    fn declare(&self, declared: LoadedModel, declared_at: MonoTime) {
        let version = declared.version;
        let required_from = declared_at + self.version_time.get();
        let begin_by = required_from;
        let declaration = DeclaredVersion { version, declared_at, required_from, begin_by };
        let is_newest = self.news.borrow().newest(&declared.model) < Some(version);
        let changed = self.news.send_if_modified(|news| news.declare(&declared.model, declaration));
        if !changed {
            return;
        }
        info!(
            "event=version model={} version={version} age_ms={}",
            declared.model,
            clock::now().since(declared_at).as_millis()
        );
        let known = &self.metrics.declared_version;
        known.set(known.get().max(i64::try_from(version).unwrap_or(i64::MAX)));
        self.wanted_changed.notify_one();
        if is_newest && self.versions_known.get() {
            self.refresh_agents.notify_one();
        }
    }

    /// Returns the engine settings of the agent's service, if the configuration contains them.
    pub fn engine_spec(&self) -> Option<EngineSpec> {
        self.config.borrow().as_ref()?.engine_spec(&self.agent_settings.service)
    }

    /// Returns the origin of weights, if the configuration names one.
    pub fn origin(&self) -> Option<OriginSpec> {
        self.config.borrow().as_ref()?.origin()
    }

    /// Returns the versions that the engine has not loaded and that are worth loading, by model and
    /// oldest first.
    pub fn wanted(&self) -> Vec<WantedModel> {
        let Some(spec) = self.engine_spec() else {
            return Vec::new();
        };
        let models = spec.models.iter();
        models.flat_map(|model| self.wanted_versions(model, &spec)).collect()
    }

    fn wanted_versions(&self, model: &ModelName, spec: &EngineSpec) -> Vec<WantedModel> {
        let now = clock::now();
        let loaded = self.loaded_version(model);
        let of_version = |version| LoadedModel { model: model.clone(), version };
        let news = self.news.borrow();
        let Some(versions) = news.versions.get(model).filter(|known| known.newest().is_some())
        else {
            let first = WantedModel {
                version: of_version(FIRST_VERSION),
                declared_at: None,
                retire_at: None,
                previous_retire_at: None,
            };
            return if loaded >= FIRST_VERSION { Vec::new() } else { vec![first] };
        };
        let times = self.copy_times(spec);
        let time_left = |version| self.stage.time_left(&of_version(version), times);
        let unmet = versions.first_unmet(loaded);
        let met = versions.last_met(loaded);
        let wanted = |declared: DeclaredVersion| WantedModel {
            version: of_version(declared.version),
            declared_at: Some(declared.declared_at),
            retire_at: unmet.map(|unmet| unmet.required_from),
            previous_retire_at: met.map(|met| met.required_from),
        };
        // The chunks of older versions than the staged one are no longer held.
        let staged = self.stage.staged_version(model).unwrap_or(0);
        let declared = versions.deciding(now).iter().copied();
        let is_missing =
            |declared: &DeclaredVersion| declared.version > loaded && declared.version >= staged;
        let missing: Vec<DeclaredVersion> = declared.filter(is_missing).collect();
        versions_to_load(now, &missing, times, time_left).into_iter().map(wanted).collect()
    }

    fn copy_times(&self, spec: &EngineSpec) -> CopyTimes {
        let link = self.agent_settings.link_bytes_per_second();
        let origin = self.origin().map_or(link, |origin| origin.bytes_per_second as f64);
        let bytes = f64::from(spec.chunks) * spec.chunk_bytes as f64;
        let time = |rate: f64| Duration::from_secs_f64(bytes / rate.max(1.0));
        CopyTimes { origin: time(origin), link: time(link) }
    }

    /// Returns which chunks of `version` may be fetched: all, unless an older version of the model that
    /// this host does not hold yet is to be loaded before it.
    pub fn fetch_share(&self, version: &LoadedModel) -> FetchShare {
        let Some(spec) = self.engine_spec() else {
            return FetchShare::ALL;
        };
        let wanted = self.wanted_versions(&version.model, &spec);
        let older = wanted.first().map(|first| &first.version);
        let times = self.copy_times(&spec);
        let is_fetched = |older: &&LoadedModel| {
            older.version < version.version && self.stage.time_left(older, times) > Duration::ZERO
        };
        older
            .filter(is_fetched)
            .map_or(FetchShare::ALL, |older| FetchShare::after(self.stage.missing_in_region(older)))
    }

    /// Returns the last report of the engine.
    pub fn report(&self) -> Option<EngineReport> {
        self.report.borrow().clone()
    }

    /// Records a report of the engine and publishes its load.
    pub fn set_report(&self, report: EngineReport) {
        let before = self.report.borrow().as_ref().map(|before| before.started_unix_ms);
        if before.is_some_and(|before| before != report.started_unix_ms) {
            // The stage is lost with the engine.
            self.stage.forget_staged();
        }
        let loaded = report.models.iter().map(|loaded| loaded.version).max().unwrap_or(0);
        self.metrics.loaded_version.set(i64::try_from(loaded).unwrap_or(i64::MAX));
        self.metrics.engine_requests.set(i64::from(report.requests()));
        self.report.replace(Some(report));
        self.publish_load();
    }

    /// Returns whether the engine was ordered to load a version and has not finished.
    pub fn is_load_ordered(&self) -> bool {
        self.load_ordered.get()
    }

    /// Records whether the engine was ordered to load a version, and publishes that it accepts no
    /// requests meanwhile.
    pub fn set_load_ordered(&self, load_ordered: bool) {
        self.load_ordered.set(load_ordered);
        self.publish_load();
    }

    fn publish_load(&self) {
        let report = self.report.borrow();
        let Some(report) = report.as_ref() else {
            return;
        };
        let load = EngineLoad {
            engine: self.agent_settings.engine,
            requests: report.requests(),
            accepting: !self.load_ordered.get() && !report.loading,
            details: self.settings.learned_limits.then(|| engine_details(report)),
        };
        self.loads.send_if_modified(|known| {
            let changed = *known != Some(load);
            *known = Some(load);
            changed
        });
    }

    /// Returns the newest version of `model` that is loaded according to the last report; 0 for none.
    fn loaded_version(&self, model: &ModelName) -> u64 {
        let report = self.report.borrow();
        report.as_ref().map_or(0, |report| LoadedModel::newest_version(model, &report.models))
    }

    /// Returns whether `version` is loaded according to the last report.
    pub fn is_loaded(&self, version: &LoadedModel) -> bool {
        self.report.borrow().as_ref().is_some_and(|report| report.models.contains(version))
    }
}

/// Returns what entries that learn limits use, rounded.
fn engine_details(report: &EngineReport) -> EngineDetails {
    let pace = report.pace.filter(|pace| pace.is_finite() && *pace > 0.0);
    let rounded = |pace: f64| {
        let steps = (pace * 100.0 / PACE_STEP).round().max(1.0);
        (steps * PACE_STEP).min(MAX_PACE) as u32
    };
    let memory = (report.memory_total > 0).then(|| {
        let percent = u128::from(report.memory_used) * 100 / u128::from(report.memory_total);
        (percent.min(100) as u64).next_multiple_of(MEMORY_STEP) as u32
    });
    EngineDetails { pace: pace.map(rounded), waiting: report.waiting, memory }
}
