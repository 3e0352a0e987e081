//! What a fetch waits for, for logs.

use super::{ChunkSource, FetchMachine};
use crate::prelude::*;
use std::fmt;

/// State of a fetch and its sources at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchStatus {
    /// Chunks held.
    pub held: usize,
    /// The first missing chunk.
    pub next_missing: Option<usize>,
    /// The host that is responsible for it in this region.
    pub next_owner: Option<HostName>,
    /// Fetches in flight, each with its chunk and source.
    pub in_flight: Vec<(usize, ChunkSource)>,
    /// Hosts that failed and are not asked.
    pub suspect: Vec<HostName>,
    /// Hosts that failed to deliver the first missing chunk and are not asked for it.
    pub avoided: Vec<HostName>,
    /// Time until the links to the other regions may be used, in the order of the plan; zero also for
    /// one that is in use.
    pub link_waits: Vec<Duration>,
}

impl FetchMachine {
    /// The state at `now`.
    pub fn status(&self, now: MonoTime) -> FetchStatus {
        let next_missing = self.held.missing().next();
        let hosts = || self.plan.hosts().iter().enumerate();
        let is_suspect = |index: usize| self.sources.is_suspect(index, now);
        let is_avoided = |name: &HostName| {
            next_missing.is_some_and(|chunk| self.in_flight.is_avoided(now, chunk, name))
        };
        let next_owner = next_missing.zip(self.own_index).and_then(|(chunk, own_index)| {
            let region = self.plan.region_of(own_index);
            self.acting_gateway(now, chunk, region, own_index)
        });
        FetchStatus {
            held: self.held.count(),
            next_missing,
            next_owner: next_owner.map(|owner| self.plan.host_name(owner).clone()),
            in_flight: self
                .in_flight
                .iter()
                .map(|fetch| (fetch.chunk, fetch.source.clone()))
                .collect(),
            suspect: hosts()
                .filter(|(index, _)| is_suspect(*index))
                .map(|(_, host)| host.name.clone())
                .collect(),
            avoided: hosts()
                .filter(|(_, host)| is_avoided(&host.name))
                .map(|(_, host)| host.name.clone())
                .collect(),
            link_waits: self.links.waits(now),
        }
    }
}

impl fmt::Display for FetchStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "held={} next_missing={:?} next_owner={:?} in_flight={:?} suspect={:?} avoided={:?} \
             link_waits={:?}",
            self.held,
            self.next_missing,
            self.next_owner,
            self.in_flight,
            self.suspect,
            self.avoided,
            self.link_waits
        )
    }
}
