//! What the store and the agents tell an entry.

use super::EntryState;
use crate::clock;
use crate::direct::facts::{self, AgentConfig};
use crate::direct::follow::StoreEvent;
use crate::direct::loads::LoadMessage;
use crate::direct::presence::PresenceRecord;
use buckthornwharf_core::direct::slots::EntryCounts;
use buckthornwharf_core::direct::{
    DeclaredVersion, LoadedModel, RegisteredTarget, RouteTable, ServingConfig, TargetCatalog,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::{StoreChange, StoreItem, keys, registry, serving};
use log::{info, warn};
use std::rc::Rc;

/// Time before the end of an old version from which requests go only to the new one; covers the
/// time until most requests that were sent begin to run.
const VERSION_MARGIN: Duration = Duration::from_millis(650);
/// Time before the end of an old version at which what has not begun there is broken off; covers the
/// time by which the entry heard of the declaration late, and the way of the notice to the target.
const BEGIN_MARGIN: Duration = Duration::from_millis(350);
/// Time after which a version that was declared before the entry started is the only one used.
const BOOT_VERSION_TIME: Duration = Duration::from_millis(1500);

impl EntryState {
    /// Takes in what the operator wrote.
    pub fn take_operator(&self, event: StoreEvent) {
        let now = clock::now();
        match event {
            StoreEvent::Snapshot(items) => {
                items.iter().for_each(|item| self.take_operator_item(now, item, true));
            }
            StoreEvent::Changes(changes) => {
                for change in &changes {
                    if let StoreChange::Put(item) = change {
                        self.take_operator_item(now, item, false);
                    }
                }
            }
            StoreEvent::Recovered => {}
        }
    }

    fn take_operator_item(&self, now: MonoTime, item: &StoreItem, listed: bool) {
        if &*item.key == keys::CONFIG {
            match serving::read_config(&item.value) {
                Ok(config) => self.set_config(config, item.revision),
                Err(error) => {
                    warn!("event=bad_config revision={} reason=\"{error}\"", item.revision)
                }
            }
        } else if item.key.starts_with(keys::VERSIONS) {
            match serving::read_version(&item.value) {
                Ok(version) => self.set_version(now, version, listed),
                Err(error) => warn!("event=bad_version key={} reason=\"{error}\"", item.key),
            }
        }
    }

    fn set_config(&self, config: ServingConfig, revision: u64) {
        let mut routes = self.routes.borrow_mut();
        let known = routes.as_ref().map_or(0, |table| table.config().generation);
        if config.generation <= known {
            return;
        }
        let generation = config.generation;
        info!(
            "event=config generation={generation} revision={revision} before={known} routes={}",
            config.routes.len()
        );
        let mut scheduler = self.scheduler.borrow_mut();
        for service in &config.services {
            let rate = service.engine.as_ref().and_then(|spec| spec.prompt_tokens_per_second);
            if let Some(rate) = rate {
                scheduler.set_prefill_rate(&service.name, rate);
            }
        }
        drop(scheduler);
        self.metrics.generation.set(i64::try_from(generation).unwrap_or(i64::MAX));
        self.publish_facts(AgentConfig::of(&config));
        *routes = Some(Rc::new(RouteTable::new(Arc::new(config))));
    }

    /// Has the store hold `facts`, unless agents would do the same under those before.
    fn publish_facts(&self, facts: AgentConfig) {
        let mut published = self.facts.borrow_mut();
        if published.as_ref().is_some_and(|published| published.is_equivalent(&facts)) {
            return;
        }
        *published = Some(facts.clone());
        actix_rt::spawn(facts::publish(self.store.clone(), facts));
    }

    fn set_version(&self, now: MonoTime, declared: LoadedModel, listed: bool) {
        let early = listed && now.since(self.started) < BOOT_VERSION_TIME;
        let allowed = match early {
            true => BOOT_VERSION_TIME,
            false => self.bounds.borrow().version_time.saturating_sub(VERSION_MARGIN),
        };
        let version = declared.version;
        let required_from = now + allowed;
        let begin_by = required_from + (VERSION_MARGIN - BEGIN_MARGIN);
        let entry = DeclaredVersion { version, declared_at: now, required_from, begin_by };
        if self.scheduler.borrow_mut().declare(&declared.model, entry) {
            info!("event=version model={} version={version}", declared.model);
        }
    }

    /// Takes in what targets said of themselves.
    pub fn take_targets(&self, now: MonoTime, event: StoreEvent) {
        let mut catalog = self.catalog.borrow_mut();
        match event {
            StoreEvent::Recovered => catalog.registry_recovered(now),
            StoreEvent::Snapshot(items) => {
                catalog.replace(now, items.iter().filter_map(read_target).collect());
                self.targets_known.set(true);
            }
            StoreEvent::Changes(changes) => {
                for change in changes {
                    take_target_change(&mut catalog, now, change);
                }
            }
        }
        drop(catalog);
        self.refresh_targets();
    }

    pub(super) fn refresh_targets(&self) {
        let catalog = self.catalog.borrow();
        self.metrics.targets.set(catalog.iter().count() as i64);
        self.scheduler.borrow_mut().set_targets(catalog.iter());
        self.pool.borrow_mut().retain(|id| catalog.get(id).is_some());
        drop(catalog);
        // A target that may yet come back has a time at which it is gone.
        self.queue_changed.notify_one();
        self.serve_queue();
    }

    /// Takes in what an agent says of the load of its engine.
    pub fn take_load(&self, now: MonoTime, load: LoadMessage) {
        let catalog = self.catalog.borrow();
        let Some(target) = catalog.iter().find(|target| target.address == load.engine) else {
            return;
        };
        self.scheduler.borrow_mut().set_load(now, &target.id, load.requests, load.accepting);
        drop(catalog);
        self.serve_queue();
    }

    /// Takes in which entries are live.
    pub fn take_entries(&self, event: StoreEvent) {
        let mut entries = self.entries.borrow_mut();
        match event {
            StoreEvent::Recovered => {}
            StoreEvent::Snapshot(items) => {
                *entries = SortedTable::new();
                for item in items {
                    if let Some(record) = PresenceRecord::read(&item.key, &item.value) {
                        entries.insert(item.key, record);
                    }
                }
            }
            StoreEvent::Changes(changes) => {
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
        let region = self.settings.region();
        let others = || entries.values().filter(|record| record.host != self.settings.host);
        let near = others().filter(|record| record.region == region).count();
        let share =
            EntryCounts { entries: 1 + others().count() as u32, in_region: 1 + near as u32 };
        info!("event=entries live={} in_region={}", share.entries, share.in_region);
        self.metrics.entries.set(i64::from(share.entries));
        self.scheduler.borrow_mut().set_entry_counts(share);
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

fn take_target_change(catalog: &mut TargetCatalog, now: MonoTime, change: StoreChange) {
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
                catalog.put(record);
            }
            // What cannot be read names no target to use.
            None => drop(registry::target_id(&item.key).map(|id| catalog.remove(now, id))),
        },
        StoreChange::Removed { key, revision } => {
            if let Some(id) = registry::target_id(&key) {
                let gone = catalog.remove(now, id);
                info!("event=target_removed id={id} at_once={gone} revision={revision}");
            }
        }
    }
}
