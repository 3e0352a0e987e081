//! The declared versions of a model, and which of them may still be used.
//!
//! A process may hear of a declaration late, or of a newer one first. Processes exchange how long ago they
//! heard of it, so that all of them retire the older versions as early as the first one.

use crate::prelude::*;

/// Smallest difference for which a time is corrected; smaller ones come from transit and rounding.
const MIN_CORRECTION: Duration = Duration::from_millis(20);

/// Declared versions of one model, oldest first. Each keeps its own time from which older versions
/// must not be used, even if a newer version is declared before that.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DeclaredVersions {
    versions: Vec<DeclaredVersion>,
}

/// A declared version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeclaredVersion {
    /// Version number.
    pub version: u64,
    /// Earliest time at which a process is known to have received the declaration.
    pub declared_at: MonoTime,
    /// From this time on, requests must not be sent to older versions.
    pub required_from: MonoTime,
    /// By this time, requests that were sent to older versions must have begun to run.
    pub begin_by: MonoTime,
}

impl DeclaredVersion {
    /// Returns this version with the earlier ones of its times and those of `other`.
    fn min_times(self, other: DeclaredVersion) -> Self {
        Self {
            version: self.version,
            declared_at: self.declared_at.min(other.declared_at),
            required_from: self.required_from.min(other.required_from),
            begin_by: self.begin_by.min(other.begin_by),
        }
    }

    /// Returns whether a time of `earlier` is earlier by at least [`MIN_CORRECTION`].
    fn differs(self, earlier: DeclaredVersion) -> bool {
        let corrections = [
            self.declared_at.since(earlier.declared_at),
            self.required_from.since(earlier.required_from),
            self.begin_by.since(earlier.begin_by),
        ];
        corrections.iter().any(|correction| *correction >= MIN_CORRECTION)
    }
}

impl DeclaredVersions {
    /// Adds a declaration, or moves one that is known to its earlier times. A version is declared after
    /// all older ones, so these get the earlier times, too. Returns whether anything has changed.
    pub fn declare(&mut self, declared: DeclaredVersion) -> bool {
        let found = self.versions.binary_search_by_key(&declared.version, |known| known.version);
        if let Err(index) = found {
            let later = self.versions.get(index).copied();
            self.versions.insert(index, later.map_or(declared, |later| declared.min_times(later)));
        }
        let mut changed = found.is_err();
        for known in self.versions.iter_mut().filter(|known| known.version <= declared.version) {
            let earlier = known.min_times(declared);
            if known.differs(earlier) {
                *known = earlier;
                changed = true;
            }
        }
        changed
    }

    /// Returns the declarations that still decide which version may be used at `now` or later.
    pub fn deciding(&self, now: MonoTime) -> &[DeclaredVersion] {
        let required = self.required(now).unwrap_or(0);
        let first = self.versions.partition_point(|known| known.version < required);
        &self.versions[first..]
    }

    /// Returns whether the newest version is required at `now`, or none is declared.
    pub fn is_settled(&self, now: MonoTime) -> bool {
        self.newest().is_none_or(|newest| newest.required_from <= now)
    }

    /// Returns the newest declaration.
    pub fn newest(&self) -> Option<DeclaredVersion> {
        self.versions.last().copied()
    }

    /// Returns the oldest version that may be used at `now`, or `None` if any version may.
    pub fn required(&self, now: MonoTime) -> Option<u64> {
        let required = self.versions.iter().rev().find(|declared| declared.required_from <= now);
        required.map(|declared| declared.version)
    }

    /// Returns the newest declaration that a target with version `loaded` satisfies.
    pub fn last_met(&self, loaded: u64) -> Option<DeclaredVersion> {
        self.versions.iter().rev().find(|declared| declared.version <= loaded).copied()
    }

    /// Returns the oldest declaration that a target with version `loaded` does not satisfy.
    pub fn first_unmet(&self, loaded: u64) -> Option<DeclaredVersion> {
        self.versions.iter().find(|declared| declared.version > loaded).copied()
    }
}
