//! News of declared versions: entries send them to agents over the links on which agents report loads.

use buckthornwharf_core::direct::{DeclaredVersion, LoadedModel};
use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The declared versions that an entry knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionNews {
    /// Whether the entry's watch of them works.
    pub current: bool,
    /// The newest version of each model.
    pub versions: SortedTable<ModelName, DeclaredVersion>,
}

/// [`VersionNews`] on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsMessage {
    /// Whether the entry's watch of the versions works.
    pub current: bool,
    /// The newest version of each model.
    pub versions: Vec<DeclaredFields>,
}

/// A declared version on a link.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredFields {
    model: ModelName,
    version: u64,
    /// Time since the entry received the declaration, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    age: Duration,
}

impl VersionNews {
    /// Returns the message with the ages as of `now`.
    pub fn message(&self, now: MonoTime) -> NewsMessage {
        let fields = |(model, declared): (&ModelName, &DeclaredVersion)| {
            let age = now.since(declared.declared_at);
            DeclaredFields { model: model.clone(), version: declared.version, age }
        };
        NewsMessage { current: self.current, versions: self.versions.iter().map(fields).collect() }
    }
}

impl DeclaredFields {
    /// Returns the declared version.
    pub fn version(&self) -> LoadedModel {
        LoadedModel { model: self.model.clone(), version: self.version }
    }

    /// Returns when the entry received the declaration.
    pub fn declared_at(&self, now: MonoTime) -> MonoTime {
        now - self.age
    }
}
