//! The versions that an engine holds, and the orders that it got.

use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Most orders in the history; the oldest go first.
const MAX_ORDERS: usize = 4096;

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// To load a version.
    Load,
    /// To unload a version.
    Unload,
}

/// An order to load or unload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// What was asked for.
    pub kind: OrderKind,
    /// The digest by which the version was named.
    pub digest: VersionDigest,
    /// The fence of the order.
    pub fence: Option<u64>,
    /// The status of the answer; zero while the order is worked on.
    pub status: u16,
}

/// The orders since the start, up to a limit.
#[derive(Debug, Default)]
pub struct OrderHistory {
    first_number: usize,
    orders: VecDeque<EngineOrder>,
}

impl OrderHistory {
    /// Adds an order that is worked on, and returns its number.
    pub fn push(&mut self, order: EngineOrder) -> usize {
        self.orders.push_back(order);
        if self.orders.len() > MAX_ORDERS {
            self.orders.pop_front();
            self.first_number += 1;
        }
        self.first_number + self.orders.len() - 1
    }

    /// Sets the status of the order with this number.
    pub fn finish(&mut self, number: usize, status: u16) {
        let position = number.checked_sub(self.first_number);
        if let Some(order) = position.and_then(|position| self.orders.get_mut(position)) {
            order.status = status;
        }
    }

    /// The orders, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &EngineOrder> {
        self.orders.iter()
    }
}

/// The weights of one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadedVersion {
    /// The digest by which it was ordered.
    pub ordered_digest: VersionDigest,
    /// The digest of the bytes that were loaded.
    pub computed_digest: VersionDigest,
}

/// The versions that are loaded, in the order of their loading.
#[derive(Debug, Default)]
pub struct VersionTable {
    versions: Vec<LoadedVersion>,
}

impl VersionTable {
    /// Adds a version; one of the same name is replaced.
    pub fn put(&mut self, version: LoadedVersion) {
        self.remove(&version.ordered_digest);
        self.versions.push(version);
    }

    /// Removes the version with this name and tells whether it was there.
    pub fn remove(&mut self, ordered_digest: &VersionDigest) -> bool {
        let before = self.versions.len();
        self.versions.retain(|version| version.ordered_digest != *ordered_digest);
        self.versions.len() < before
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.versions.clear();
    }

    /// The version with this name.
    pub fn get(&self, ordered_digest: &VersionDigest) -> Option<LoadedVersion> {
        self.versions.iter().find(|version| version.ordered_digest == *ordered_digest).copied()
    }

    /// The version that was loaded last.
    pub fn newest(&self) -> Option<LoadedVersion> {
        self.versions.last().copied()
    }

    /// The versions in the order of their loading.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &LoadedVersion> {
        self.versions.iter()
    }
}
