//! The targets known to an entry, kept across outages of the registry.

use crate::prelude::*;
use std::net::SocketAddr;

/// Time after the registry recovers during which targets whose registration lapsed in the outage
/// may register again before they are dropped. Required by the operators.
const RECOVERY_GRACE: Duration = Duration::from_secs(2);

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum TargetPhase {
    /// It accepts requests.
    Ready,
    /// It is shutting down and accepts no new requests.
    Draining,
}

/// A version of a model. It names loaded versions, and also declared and wanted ones.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelName,
    /// Version number; higher is newer.
    pub version: u64,
}

impl LoadedModel {
    /// Returns the newest version number of `model` in `loaded`, or 0 if there is none.
    pub fn newest_version(model: &ModelName, loaded: &[LoadedModel]) -> u64 {
        let matching = loaded.iter().filter(|loaded| loaded.model == *model);
        matching.map(|loaded| loaded.version).max().unwrap_or(0)
    }
}

/// A target as it describes itself in the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredTarget {
    /// Unique name; usually a new one at each start.
    pub id: Arc<str>,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Site that it runs in.
    pub site: SiteName,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub phase: TargetPhase,
    /// Model versions that it has loaded; empty for services without models.
    pub models: Vec<LoadedModel>,
    /// Start time in milliseconds since the Unix epoch; distinguishes restarts under the same id.
    pub started_unix_ms: u64,
    /// How long it still was cold when it wrote its registration, if it says so.
    pub cold_remaining: Option<Duration>,
}

/// The targets by id. After the registry recovers from an outage, targets whose registration lapsed
/// meanwhile are kept for a grace period.
#[derive(Debug, Clone, Default)]
pub struct TargetCatalog {
    targets: SortedTable<Arc<str>, Arc<RegisteredTarget>>,
    /// Targets that are no longer registered, with the end of their grace period.
    lapsed: SortedTable<Arc<str>, MonoTime>,
    /// When the registry last recovered from an outage.
    recovered_at: Option<MonoTime>,
}

impl TargetCatalog {
    /// Creates an empty catalog.
    pub fn new() -> Self {
        Self::default()
    }

    /// Iterates over the targets, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<RegisteredTarget>> {
        self.targets.values()
    }

    /// Returns the target with this id.
    pub fn get(&self, id: &str) -> Option<&Arc<RegisteredTarget>> {
        self.targets.get(id)
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Starts the grace period: the registry responds again after an outage.
    pub fn registry_recovered(&mut self, now: MonoTime) {
        self.recovered_at = Some(now);
    }

    /// Inserts or updates a target and returns whether anything changed. A target that drains does so until
    /// its next start, even if an older copy of the registry says otherwise. A target that started later
    /// supersedes those of its service at its address, whose registrations have not lapsed yet.
    pub fn put(&mut self, mut record: RegisteredTarget) -> bool {
        self.drop_superseded(&record);
        self.lapsed.remove(&record.id);
        let known = self.targets.get(&record.id);
        let known = known.filter(|known| known.started_unix_ms == record.started_unix_ms);
        if known.is_some_and(|known| known.phase == TargetPhase::Draining) {
            record.phase = TargetPhase::Draining;
        }
        let unchanged = self.targets.get(&record.id).is_some_and(|known| **known == record);
        if !unchanged {
            self.targets.insert(record.id.clone(), Arc::new(record));
        }
        !unchanged
    }

    /// Drops the targets whose address `record` has taken over.
    fn drop_superseded(&mut self, record: &RegisteredTarget) {
        let is_superseded = |known: &RegisteredTarget| {
            known.address == record.address
                && known.service == record.service
                && known.id != record.id
                && known.started_unix_ms < record.started_unix_ms
        };
        self.targets.retain(|_, known| !is_superseded(known));
        let targets = &self.targets;
        self.lapsed.retain(|id, _| targets.get(id).is_some());
    }

    /// Handles the removal of a target from the registry. Returns whether the target was dropped at
    /// once; during the grace period it is kept until [`TargetCatalog::expire`] drops it.
    pub fn remove(&mut self, now: MonoTime, id: &str) -> bool {
        let Some(grace_end) = self.grace_end(now) else {
            self.lapsed.remove(id);
            return self.targets.remove(id).is_some();
        };
        if let Some(record) = self.targets.get(id) {
            self.lapsed.get_or_insert_with(record.id.clone(), || grace_end);
        }
        false
    }

    /// Applies a complete listing of the registry, in the order in which the records were written: targets
    /// that are not in `records` are removed.
    pub fn replace(&mut self, now: MonoTime, records: Vec<RegisteredTarget>) {
        let mut ids: Vec<Arc<str>> = records.iter().map(|record| record.id.clone()).collect();
        ids.sort_unstable();
        let missing: Vec<Arc<str>> =
            self.targets.keys().filter(|id| ids.binary_search(id).is_err()).cloned().collect();
        for id in missing {
            self.remove(now, &id);
        }
        for record in records {
            self.put(record);
        }
    }

    /// Drops the targets whose grace period has ended and returns their ids.
    pub fn expire(&mut self, now: MonoTime) -> Vec<Arc<str>> {
        let expired_id =
            |(id, grace_end): (&Arc<str>, &MonoTime)| (*grace_end <= now).then(|| id.clone());
        let expired: Vec<Arc<str>> = self.lapsed.iter().filter_map(expired_id).collect();
        for id in &expired {
            self.lapsed.remove(id);
            self.targets.remove(id);
        }
        expired
    }

    /// Returns when [`TargetCatalog::expire`] is due next.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.lapsed.values().min().copied()
    }

    fn grace_end(&self, now: MonoTime) -> Option<MonoTime> {
        let grace_end = self.recovered_at? + RECOVERY_GRACE;
        (now < grace_end).then_some(grace_end)
    }
}
