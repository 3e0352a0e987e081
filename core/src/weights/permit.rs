//! Permits to take a host out of service while its target swaps versions.
//!
//! A service has one permit for each host that may be out of service at the same time. A permit is a
//! key in the key-value service that at most one agent holds.

use crate::prelude::*;
use crate::weights::plan::mix;

/// The keys of a service's permits, in the order in which `host` tries them.
pub fn permit_keys(service: &ServiceName, host: &HostName, max_out_of_service: u32) -> Vec<String> {
    let hash = blake3::hash(host.as_str().as_bytes());
    let bytes = hash.as_bytes();
    let start = mix(u64::from(u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])));
    let count = u64::from(max_out_of_service);
    let key = |offset: u64| format!("permit/{service}/{}", (start + offset) % count);
    (0..count).map(key).collect()
}

/// How a held version is loaded into the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapStrategy {
    /// The target has nothing loaded: load at once.
    Initial,
    /// The target has room: load beside what it serves, then switch requests over.
    SideBySide,
    /// The target is full: take the host out of service under a permit, unload, load.
    InPlace,
}

impl SwapStrategy {
    /// The strategy for a target that holds at most `capacity` versions and has `loaded` of them.
    pub fn choose(capacity: u32, loaded: usize) -> Self {
        match loaded {
            0 => SwapStrategy::Initial,
            _ if loaded < capacity as usize => SwapStrategy::SideBySide,
            _ => SwapStrategy::InPlace,
        }
    }
}
