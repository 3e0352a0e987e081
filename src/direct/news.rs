//! News of declared versions and evacuated sites, which entries and agents exchange over the links on which agents report loads.

use super::evacuation::EvacuatedFields;
use buckthornwharf_core::direct::{
    DeclaredVersion, DeclaredVersions, EvacuationState, LoadedModel,
};
use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Time between news while nothing changes; well within the time after which an agent no longer relies on
/// an entry.
pub const NEWS_INTERVAL: Duration = Duration::from_secs(1);

/// The declared versions and evacuated sites that a process knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionNews {
    /// Whether the process hears of new versions at once.
    pub current: bool,
    /// The declared versions of each model.
    pub versions: SortedTable<ModelName, DeclaredVersions>,
    /// The evacuated sites.
    pub evacuation: EvacuationState,
}

/// [`VersionNews`] on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsMessage {
    /// Whether the sender hears of new versions at once.
    pub current: bool,
    /// The versions that still decide which ones may be used.
    pub versions: Vec<DeclaredFields>,
    /// The evacuated sites, or some of them; `None` if the agent has heard of them on this link, or if
    /// there has been no evacuation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuated: Option<EvacuatedFields>,
}

/// A declared version on a link.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredFields {
    model: ModelName,
    version: u64,
    /// Time since the declaration was first received, as far as the sender knows, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    age: Duration,
}

impl VersionNews {
    /// Returns the message with the ages as of `now`, without the evacuated sites.
    pub fn message(&self, now: MonoTime) -> NewsMessage {
        let fields = |(model, versions): (&ModelName, &DeclaredVersions)| {
            let declared = versions.deciding(now).iter();
            let fields = declared.map(|declared| DeclaredFields::new(model, declared, now));
            fields.collect::<Vec<DeclaredFields>>()
        };
        NewsMessage {
            current: self.current,
            versions: self.versions.iter().flat_map(fields).collect(),
            evacuated: None,
        }
    }

    /// Returns the newest declared version of `model`.
    pub fn newest(&self, model: &ModelName) -> Option<u64> {
        Some(self.versions.get(model)?.newest()?.version)
    }

    /// Returns whether the newest version of each model is required at `now`.
    pub fn is_settled(&self, now: MonoTime) -> bool {
        self.versions.values().all(|versions| versions.is_settled(now))
    }

    /// Adds a declared version of `model`, and returns whether it or its times are new.
    pub fn declare(&mut self, model: &ModelName, declared: DeclaredVersion) -> bool {
        let versions = self.versions.get_or_insert_with(model.clone(), DeclaredVersions::default);
        versions.declare(declared)
    }
}

impl DeclaredFields {
    fn new(model: &ModelName, declared: &DeclaredVersion, now: MonoTime) -> Self {
        let age = now.since(declared.declared_at);
        Self { model: model.clone(), version: declared.version, age }
    }

    /// Returns the declared version.
    pub fn version(&self) -> LoadedModel {
        LoadedModel { model: self.model.clone(), version: self.version }
    }

    /// Returns when the declaration was first received, as far as the sender knows.
    pub fn declared_at(&self, now: MonoTime) -> MonoTime {
        now - self.age
    }
}

/// Decides when an agent sends the declared versions on a link: at once, whenever they change, and each
/// [`NEWS_INTERVAL`] until they are required, so that an entry which stood still or was cut off hears how
/// long ago they were declared.
#[derive(Debug, Default)]
pub struct NewsRepeat {
    sent_at: Option<MonoTime>,
    sent: VersionNews,
}

impl NewsRepeat {
    /// Returns the declared versions to send at `now`; none if they are not due.
    pub fn due_versions(&mut self, now: MonoTime, news: &VersionNews) -> Vec<DeclaredFields> {
        let is_over = |sent_at: MonoTime| now.since(sent_at) >= NEWS_INTERVAL;
        let is_repeated = !news.is_settled(now) && self.sent_at.is_none_or(is_over);
        let is_known = self.sent.current == news.current && self.sent.versions == news.versions;
        if self.sent_at.is_some() && is_known && !is_repeated {
            return Vec::new();
        }
        self.sent_at = Some(now);
        self.sent = news.clone();
        news.message(now).versions
    }
}
