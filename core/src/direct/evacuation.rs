//! The sites that the operator has evacuated.
//!
//! The set is one value with the position of the store at which it was read. Processes exchange it, and
//! the value with the later position replaces the other, so that all of them end up with the newest one in
//! whatever order they hear of it.

mod link_parts;

use super::StorePosition;
use crate::prelude::*;
use link_parts::PartCollector;
pub use link_parts::{EvacuatedPart, EvacuationRepeat, MAX_PART_BYTES, MAX_PARTS};

/// The evacuated sites as of a position of the store. The default is the value before anything is known.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuatedSites {
    /// The sites in order, without duplicates.
    sites: Arc<[SiteName]>,
    position: StorePosition,
}

impl EvacuatedSites {
    /// Creates the value that was read at `position`.
    pub fn new(position: StorePosition, sites: impl IntoIterator<Item = SiteName>) -> Self {
        let mut sites: Vec<SiteName> = sites.into_iter().collect();
        sites.sort_unstable();
        sites.dedup();
        Self { sites: sites.into(), position }
    }

    /// Returns the sites, in order.
    pub fn sites(&self) -> &[SiteName] {
        &self.sites
    }

    /// Returns the position at which the value was read.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Replaces this value by `other` if that has a later position; returns whether it did.
    pub fn merge(&mut self, other: &EvacuatedSites) -> bool {
        let is_later = self.position < other.position;
        if is_later {
            *self = other.clone();
        }
        is_later
    }
}

/// What a process knows of evacuated sites, from the store and from other processes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationState {
    newest: EvacuatedSites,
    /// Whether the process has heard of an evacuation since it started, in force or withdrawn.
    heard_of_any: bool,
    collector: PartCollector,
}

impl EvacuationState {
    /// Returns the newest value that is known.
    pub fn newest(&self) -> &EvacuatedSites {
        &self.newest
    }

    /// Returns the value to pass on. `None` while no evacuation has been heard of, so that messages stay as
    /// small as they are without evacuations. After one has been withdrawn, the empty set is passed on
    /// to those that have not heard of that.
    pub fn passed_on(&self) -> Option<&EvacuatedSites> {
        self.heard_of_any.then_some(&self.newest)
    }

    /// Adds a value that was read from the store or received. Returns whether the value to pass on has
    /// changed.
    pub fn merge(&mut self, value: &EvacuatedSites) -> bool {
        let is_later = self.newest.merge(value);
        let is_first = !self.heard_of_any && !value.sites.is_empty();
        self.heard_of_any |= is_first;
        is_first || (is_later && self.heard_of_any)
    }

    /// Adds a part that was received, and its value as soon as all parts are there. Returns whether the
    /// value to pass on has changed.
    pub fn merge_part(&mut self, part: EvacuatedPart) -> bool {
        let value = self.collector.add(part);
        value.is_some_and(|value| self.merge(&value))
    }
}

/// The evacuated sites as read by one watch of the store. Changes apply to what this watch has read before,
/// not to a value that was received and may be later.
#[derive(Debug, Clone, Default)]
pub struct EvacuationReader {
    sites: SortedTable<SiteName, ()>,
}

impl EvacuationReader {
    /// Replaces the sites by those of a complete read at `position`.
    pub fn replace(
        &mut self,
        position: StorePosition,
        sites: impl IntoIterator<Item = SiteName>,
    ) -> EvacuatedSites {
        self.sites = sites.into_iter().map(|site| (site, ())).collect();
        self.value(position)
    }

    /// Applies changes, in order, which the store returned up to `position`: each site, and whether it is
    /// evacuated now. Returns `None` if there is none.
    pub fn apply(
        &mut self,
        position: StorePosition,
        changes: impl IntoIterator<Item = (SiteName, bool)>,
    ) -> Option<EvacuatedSites> {
        let mut changed = false;
        for (site, is_evacuated) in changes {
            changed = true;
            match is_evacuated {
                true => drop(self.sites.insert(site, ())),
                false => drop(self.sites.remove(&site)),
            }
        }
        changed.then(|| self.value(position))
    }

    fn value(&self, position: StorePosition) -> EvacuatedSites {
        EvacuatedSites::new(position, self.sites.keys().cloned())
    }
}
