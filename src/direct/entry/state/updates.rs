//! Applies updates from the store and from agents to the state of an entry.

use super::EntryState;
use super::speed::log_speed_change;
use crate::clock;
use crate::direct::facts::{self, AgentConfig};
use crate::direct::follow::StoreEvent;
use crate::direct::loads::{AgentMessage, EngineLoad};
use crate::direct::presence::PresenceRecord;
use buckthornwharf_core::direct::{
    DeclaredVersion, LoadedModel, RegisteredTarget, RouteTable, ServingConfig, TargetCatalog,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::{StoreChange, StoreItem, StoreRange, keys, registry, serving};
use log::{info, warn};
use std::rc::Rc;

/// Time before the retirement of an old version from which requests are sent only to the new one. Covers
/// the time until most requests that were sent begin to run.
const REQUIRED_FROM_MARGIN: Duration = Duration::from_millis(650);
/// Time before the retirement of an old version at which attempts that have not begun there are aborted.
/// Covers the delay with which the entry received the declaration, and the time for the abort to reach
/// the target.
const BEGIN_BY_MARGIN: Duration = Duration::from_millis(350);
/// Time after which a version that was declared before the entry started is required.
const STARTUP_VERSION_TIME: Duration = Duration::from_millis(1500);

/// How the entry heard of a declared version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum DeclarationSource {
    /// From the store when the entry started; the version may have been declared long before.
    Startup,
    /// From the store.
    Store,
    /// From an overdue answer of the store, as after the connection had gone silent.
    OverdueStore {
        /// The time after which the version was declared.
        since: MonoTime,
    },
    /// From an agent, which knows since when it has been declared.
    Agent {
        /// When a process first received the declaration.
        declared_at: MonoTime,
    },
}

impl EntryState {
    /// Applies a change of the keys that the operator writes: the configuration, declared versions and
    /// evacuated sites.
    pub fn on_operator_event(&self, event: StoreEvent) {
        let now = clock::now();
        // Before the configuration, with which the entry becomes ready.
        self.on_evacuation_event(now, &event);
        match event {
            StoreEvent::Snapshot(range) => {
                let source = match self.versions_listed.get() {
                    true => DeclarationSource::Store,
                    false => DeclarationSource::Startup,
                };
                range.items.iter().for_each(|item| self.on_operator_item(now, item, source));
                self.versions_listed.set(true);
                self.set_news_current(true);
            }
            StoreEvent::Changes { changes, overdue_since, .. } => {
                let source = overdue_since.map_or(DeclarationSource::Store, |since| {
                    DeclarationSource::OverdueStore { since }
                });
                for change in &changes {
                    if let StoreChange::Put(item) = change {
                        self.on_operator_item(now, item, source);
                    }
                }
            }
            StoreEvent::Lost => self.set_news_current(false),
            StoreEvent::Recovered => {
                self.set_news_current(true);
                self.republish_agent_config();
            }
        }
    }

    fn on_operator_item(&self, now: MonoTime, item: &StoreItem, source: DeclarationSource) {
        if &*item.key == keys::CONFIG {
            match serving::read_config(&item.value) {
                Ok(config) => self.set_config(config, item.revision),
                Err(error) => {
                    warn!("event=bad_config revision={} reason=\"{error}\"", item.revision)
                }
            }
        } else if item.key.starts_with(keys::VERSIONS) {
            match serving::read_version(&item.value) {
                Ok(version) => self.declare_version(now, version, source),
                Err(error) => warn!("event=bad_version key={} reason=\"{error}\"", item.key),
            }
        }
    }

    fn set_config(&self, config: ServingConfig, revision: u64) {
        let mut routes = self.routes.borrow_mut();
        let active_generation = routes.as_ref().map_or(0, |table| table.config().generation);
        if config.generation <= active_generation {
            return;
        }
        let generation = config.generation;
        info!(
            "event=config generation={generation} revision={revision} before={active_generation} \
             routes={}",
            config.routes.len()
        );
        self.scheduler.borrow_mut().set_config(&config);
        self.metrics.generation.set(i64::try_from(generation).unwrap_or(i64::MAX));
        self.publish_agent_config(AgentConfig::of(&config));
        *routes = Some(Rc::new(RouteTable::new(Arc::new(config))));
        drop(routes);
        self.serve_queue();
    }

    /// Writes the configuration for agents again, which the store may have lost.
    fn republish_agent_config(&self) {
        if let Some(config) = self.published_config.borrow().clone() {
            actix_rt::spawn(facts::publish(self.store.clone(), config));
        }
    }

    /// Writes `config` to the store, unless it differs from the one written before only in its
    /// generation.
    fn publish_agent_config(&self, config: AgentConfig) {
        let mut published = self.published_config.borrow_mut();
        if published.as_ref().is_some_and(|published| published.is_equivalent(&config)) {
            return;
        }
        *published = Some(config.clone());
        actix_rt::spawn(facts::publish(self.store.clone(), config));
    }

    /// Applies a message of an agent: the load of its engine, and the declared versions and evacuated sites
    /// that it knows.
    pub fn on_agent_message(&self, now: MonoTime, message: &AgentMessage) {
        if let Some(fields) = &message.evacuated {
            self.on_evacuation_news(now, fields.clone().into());
        }
        for declared in &message.versions {
            let source = DeclarationSource::Agent { declared_at: declared.declared_at(now) };
            self.declare_version(now, declared.version(), source);
        }
        self.on_load(now, message.load(), message.part);
    }

    fn declare_version(&self, now: MonoTime, declared: LoadedModel, source: DeclarationSource) {
        let version_time = self.bounds.borrow().version_time.saturating_sub(REQUIRED_FROM_MARGIN);
        let LoadedModel { model, version } = declared;
        // A process that heard of the version in time is more exact than the bound of an overdue answer.
        let is_known = self.news.borrow().newest(&model) >= Some(version);
        let (declared_at, version_time) = match source {
            DeclarationSource::Startup => (now, STARTUP_VERSION_TIME),
            DeclarationSource::OverdueStore { since } if !is_known => (since, version_time),
            DeclarationSource::Store | DeclarationSource::OverdueStore { .. } => {
                (now, version_time)
            }
            DeclarationSource::Agent { declared_at } => (declared_at, version_time),
        };
        let required_from = declared_at + version_time;
        let begin_by = required_from + (REQUIRED_FROM_MARGIN - BEGIN_BY_MARGIN);
        let declared_version = DeclaredVersion { version, declared_at, required_from, begin_by };
        if self.scheduler.borrow_mut().declare(&model, declared_version) {
            info!(
                "event=version model={model} version={version} source={} age_ms={} required_in_ms={}",
                <&str>::from(source),
                now.since(declared_at).as_millis(),
                required_from.since(now).as_millis()
            );
            self.news.send_if_modified(|news| news.declare(&model, declared_version));
        }
    }

    /// Tells agents whether they may rely on this entry's news of versions.
    fn set_news_current(&self, current: bool) {
        self.news.send_if_modified(|news| std::mem::replace(&mut news.current, current) != current);
    }

    /// Applies a change of the registered targets.
    pub fn on_target_event(&self, now: MonoTime, event: StoreEvent) {
        let mut catalog = self.catalog.borrow_mut();
        let mut cold = Vec::new();
        match event {
            StoreEvent::Lost => {}
            StoreEvent::Recovered => catalog.registry_recovered(now),
            StoreEvent::Snapshot(StoreRange { mut items, .. }) => {
                items.sort_by_key(|item| item.revision);
                catalog.replace(now, items.iter().filter_map(read_target).collect());
                self.targets_listed.set(true);
            }
            StoreEvent::Changes { changes, .. } => {
                for change in changes {
                    cold.extend(on_target_change(&mut catalog, now, change));
                }
            }
        }
        drop(catalog);
        self.refresh_targets();
        // A target may write that it is cold in the same words as before.
        for (id, remaining) in cold {
            self.scheduler.borrow_mut().set_cold_remaining(now, &id, remaining);
        }
        self.report_cold();
    }

    /// Applies the targets of the catalog to the scheduler, the metrics and the open connections.
    pub(super) fn refresh_targets(&self) {
        let catalog = self.catalog.borrow();
        self.metrics.targets.set(catalog.iter().count() as i64);
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.set_targets(catalog.iter());
        scheduler.observe_starts(clock::now());
        drop(scheduler);
        self.pool.borrow_mut().retain(|id| catalog.get(id).is_some());
        drop(catalog);
        self.report_cold();
        // Wakes the queue task: a target that is missing after an outage of the registry has an expiry time.
        self.queue_changed.notify_one();
        self.serve_queue();
    }

    /// Applies an agent's load report on its engine, to all targets at that address: an entry of a target
    /// that is gone may name it too. Reports on unknown targets are ignored.
    fn on_load(&self, now: MonoTime, load: EngineLoad, part: Option<u16>) {
        let catalog = self.catalog.borrow();
        let mut scheduler = self.scheduler.borrow_mut();
        for target in catalog.iter().filter(|target| target.address == load.engine) {
            scheduler.set_load(now, &target.id, load.requests, load.accepting);
            scheduler.set_part(&target.id, part);
            let state = load.engine_state();
            let change = state.and_then(|state| scheduler.set_engine_state(now, &target.id, state));
            log_speed_change(target, change);
        }
        drop((catalog, scheduler));
        self.serve_queue();
    }

    /// Applies a change of the live entries.
    pub fn on_entry_event(&self, event: StoreEvent) {
        let mut entries = self.entries.borrow_mut();
        match event {
            StoreEvent::Recovered | StoreEvent::Lost => return,
            StoreEvent::Snapshot(range) => {
                *entries = SortedTable::new();
                for item in range.items {
                    if let Some(record) = PresenceRecord::read(&item.key, &item.value) {
                        entries.insert(item.key, record);
                    }
                }
            }
            StoreEvent::Changes { changes, .. } => {
                for change in changes {
                    match change {
                        StoreChange::Removed { key, .. } => drop(entries.remove(&key)),
                        StoreChange::Put(item) => {
                            if let Some(record) = PresenceRecord::read(&item.key, &item.value) {
                                entries.insert(item.key, record);
                            }
                        }
                    }
                }
            }
        }
        let others = entries.values().filter(|record| record.host != self.settings.host);
        let mut scheduler = self.scheduler.borrow_mut();
        let others: Vec<&PresenceRecord> = others.collect();
        scheduler.set_other_entries(others.iter().map(|record| &record.region));
        let hosts = others.iter().map(|record| &record.host);
        scheduler.set_entry_hosts(clock::now(), &self.settings.host, hosts);
        let (live, in_region) = (scheduler.regions().entries(), scheduler.regions().in_region());
        info!("event=entries live={live} in_region={in_region}");
        self.metrics.entries.set(i64::from(live));
    }
}

fn read_target(item: &StoreItem) -> Option<RegisteredTarget> {
    match registry::read_target(&item.key, &item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            warn!("event=bad_target key={} reason=\"{error}\"", item.key);
            None
        }
    }
}

/// Applies a change of a target, and returns how long the target remains cold if its registration says so.
fn on_target_change(
    catalog: &mut TargetCatalog,
    now: MonoTime,
    change: StoreChange,
) -> Option<(Arc<str>, Duration)> {
    match change {
        StoreChange::Put(item) => match read_target(&item) {
            Some(record) => {
                info!(
                    "event=target id={} phase={} models={:?} revision={}",
                    record.id,
                    record.phase,
                    record.models.iter().map(|model| model.version).collect::<Vec<u64>>(),
                    item.revision
                );
                let cold = record.cold_remaining.map(|remaining| (record.id.clone(), remaining));
                catalog.put(record);
                cold
            }
            // A target whose record cannot be read must not be used.
            None => {
                registry::target_id(&item.key).map(|id| catalog.remove(now, id));
                None
            }
        },
        StoreChange::Removed { key, revision } => {
            if let Some(id) = registry::target_id(&key) {
                let removed = catalog.remove(now, id);
                info!("event=target_removed id={id} at_once={removed} revision={revision}");
            }
            None
        }
    }
}
