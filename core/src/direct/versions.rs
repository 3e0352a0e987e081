//! The declared versions of a model, and which of them may still be used.

use crate::prelude::*;

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
    /// When this process received the declaration.
    pub declared_at: MonoTime,
    /// From this time on, requests must not be sent to older versions.
    pub required_from: MonoTime,
    /// By this time, requests that were sent to older versions must have begun to run.
    pub begin_by: MonoTime,
}

impl DeclaredVersions {
    /// Adds a declaration unless it is older than, or the same as, the newest one. Returns whether
    /// it was added.
    pub fn declare(&mut self, declared: DeclaredVersion) -> bool {
        if self.newest().is_some_and(|newest| newest.version >= declared.version) {
            return false;
        }
        self.versions.push(declared);
        true
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
