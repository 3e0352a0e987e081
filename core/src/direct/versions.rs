//! The versions of a model that were declared, and which of them may still be used.

use crate::prelude::*;

/// Declared versions of one model, oldest first. Each has a time of its own from which older ones
/// must not be used, also when a newer one is declared meanwhile.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DeclaredVersions {
    versions: Vec<DeclaredVersion>,
}

/// A declared version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeclaredVersion {
    /// Its number.
    pub version: u64,
    /// When the process heard of it.
    pub declared_at: MonoTime,
    /// From when on requests must not be sent to older versions.
    pub only_from: MonoTime,
    /// Until when what was sent to older versions must have begun to run.
    pub begin_by: MonoTime,
}

impl DeclaredVersions {
    /// Takes in a declaration; whether it is newer than all before.
    pub fn declare(&mut self, declared: DeclaredVersion) -> bool {
        if self.newest().is_some_and(|newest| newest.version >= declared.version) {
            return false;
        }
        self.versions.push(declared);
        true
    }

    /// The newest version.
    pub fn newest(&self) -> Option<DeclaredVersion> {
        self.versions.last().copied()
    }

    /// The oldest version that may be used at `now`; none if any may.
    pub fn required(&self, now: MonoTime) -> Option<u64> {
        let due = self.versions.iter().rev().find(|declared| declared.only_from <= now);
        due.map(|declared| declared.version)
    }

    /// The last declaration that a target with version `loaded` meets.
    pub fn last_met(&self, loaded: u64) -> Option<DeclaredVersion> {
        self.versions.iter().rev().find(|declared| declared.version <= loaded).copied()
    }

    /// The first declaration that a target with version `loaded` does not meet.
    pub fn first_unmet(&self, loaded: u64) -> Option<DeclaredVersion> {
        self.versions.iter().find(|declared| declared.version > loaded).copied()
    }
}
