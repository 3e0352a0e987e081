//! The targets that an entry believes in.

use crate::prelude::*;
use std::net::SocketAddr;

/// Time after the registry's return in which entries that lapsed during the outage may come back.
/// Stated by the operators.
const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Whether a target takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum TargetPhase {
    /// It takes requests.
    Ready,
    /// It is leaving.
    Draining,
}

/// A version of a model that a target has loaded.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelName,
    /// The number of the version.
    pub version: u64,
}

impl LoadedModel {
    /// The newest version of `model` among what is `loaded`; 0 for none.
    pub fn newest_of(model: &ModelName, loaded: &[LoadedModel]) -> u64 {
        let of_model = loaded.iter().filter(|loaded| loaded.model == *model);
        of_model.map(|loaded| loaded.version).max().unwrap_or(0)
    }
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Its name, new with most starts.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The site that it stands in.
    pub site: SiteName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub phase: TargetPhase,
    /// What it has loaded; empty for plain services.
    pub models: Vec<LoadedModel>,
    /// When it started, in milliseconds of the Unix clock; tells two starts under one id apart.
    pub born: u64,
}

/// The targets by id, across outages of the registry that names them.
#[derive(Debug, Clone, Default)]
pub struct TargetCatalog {
    targets: SortedTable<Arc<str>, Arc<TargetRecord>>,
    /// Targets that are no longer registered, and until when they may come back.
    lapsed: SortedTable<Arc<str>, MonoTime>,
    returned_at: Option<MonoTime>,
}

impl TargetCatalog {
    /// An empty catalog.
    pub fn new() -> Self {
        Self::default()
    }

    /// The targets, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<TargetRecord>> {
        self.targets.values()
    }

    /// The target called `id`.
    pub fn get(&self, id: &str) -> Option<&Arc<TargetRecord>> {
        self.targets.get(id)
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Takes in that the registry answers again after an outage.
    pub fn registry_returned(&mut self, now: MonoTime) {
        self.returned_at = Some(now);
    }

    /// Takes in a target's record; whether anything changed.
    pub fn put(&mut self, record: TargetRecord) -> bool {
        self.lapsed.remove(&record.id);
        let same = self.targets.get(&record.id).is_some_and(|known| **known == record);
        if !same {
            self.targets.insert(record.id.clone(), Arc::new(record));
        }
        !same
    }

    /// Takes in that a target is no longer registered; whether it is gone at once.
    pub fn remove(&mut self, now: MonoTime, id: &str) -> bool {
        let Some(until) = self.grace_end(now) else {
            self.lapsed.remove(id);
            return self.targets.remove(id).is_some();
        };
        if let Some(record) = self.targets.get(id) {
            self.lapsed.get_or_insert_with(record.id.clone(), || until);
        }
        false
    }

    /// Takes in the whole registry.
    pub fn replace(&mut self, now: MonoTime, records: Vec<TargetRecord>) {
        let mut names: Vec<Arc<str>> = records.iter().map(|record| record.id.clone()).collect();
        names.sort_unstable();
        let missing: Vec<Arc<str>> =
            self.targets.keys().filter(|id| names.binary_search(id).is_err()).cloned().collect();
        for id in missing {
            self.remove(now, &id);
        }
        for record in records {
            self.put(record);
        }
    }

    /// Drops the targets that did not come back in time; their ids.
    pub fn expire(&mut self, now: MonoTime) -> Vec<Arc<str>> {
        let due = |(id, until): (&Arc<str>, &MonoTime)| (*until <= now).then(|| id.clone());
        let gone: Vec<Arc<str>> = self.lapsed.iter().filter_map(due).collect();
        for id in &gone {
            self.lapsed.remove(id);
            self.targets.remove(id);
        }
        gone
    }

    /// When [`TargetCatalog::expire`] is due next.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.lapsed.values().min().copied()
    }

    fn grace_end(&self, now: MonoTime) -> Option<MonoTime> {
        let until = self.returned_at? + RETURN_GRACE;
        (now < until).then_some(until)
    }
}
