//! The versions that an engine has loaded and the orders that it received.

use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of orders in the history; the oldest are dropped first.
const MAX_ORDERS: usize = 4096;

/// Kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a version.
    Load,
    /// Unload a version.
    Unload,
}

/// An order to load or unload a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Kind of the order.
    pub kind: OrderKind,
    /// Digest of the version, as given in the order.
    pub digest: VersionDigest,
    /// Fencing token of the order.
    pub fence: Option<u64>,
    /// Status of the response; zero while the order is in progress.
    pub status: u16,
}

/// The latest orders since the start.
#[derive(Debug, Default)]
pub struct OrderHistory {
    first_number: usize,
    orders: VecDeque<EngineOrder>,
}

impl OrderHistory {
    /// Adds an order that is in progress, and returns its number.
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

    /// Iterates over the orders, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &EngineOrder> {
        self.orders.iter()
    }
}

/// A loaded version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadedVersion {
    /// Digest that the load order gave.
    pub ordered_digest: VersionDigest,
    /// Digest of the loaded bytes.
    pub computed_digest: VersionDigest,
}

/// The loaded versions, in the order in which they were loaded.
#[derive(Debug, Default)]
pub struct VersionTable {
    versions: Vec<LoadedVersion>,
}

impl VersionTable {
    /// Adds a version; replaces one with the same ordered digest.
    pub fn put(&mut self, version: LoadedVersion) {
        self.remove(&version.ordered_digest);
        self.versions.push(version);
    }

    /// Removes the version with this digest and returns whether it was loaded.
    pub fn remove(&mut self, ordered_digest: &VersionDigest) -> bool {
        let before = self.versions.len();
        self.versions.retain(|version| version.ordered_digest != *ordered_digest);
        self.versions.len() < before
    }

    /// Removes all versions.
    pub fn clear(&mut self) {
        self.versions.clear();
    }

    /// Returns the version with this ordered digest.
    pub fn get(&self, ordered_digest: &VersionDigest) -> Option<LoadedVersion> {
        self.versions.iter().find(|version| version.ordered_digest == *ordered_digest).copied()
    }

    /// Returns the version that was loaded last.
    pub fn newest(&self) -> Option<LoadedVersion> {
        self.versions.last().copied()
    }

    /// Iterates over the versions in the order in which they were loaded.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &LoadedVersion> {
        self.versions.iter()
    }
}
