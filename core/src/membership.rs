//! Who is in the fleet: the platform's lagging list, and what it says of each host.

pub mod lease;
pub mod merge;

pub use lease::{HeldLease, LeaseExpiredError};
pub use merge::{MembershipEvent, MembershipMerge};

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString};

/// What a host of the system runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HostRole {
    /// Takes callers' requests.
    Entry,
    /// Stands beside a target.
    Agent,
}

/// Whether a host may be given new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HostPhase {
    /// The host takes new work.
    Live,
    /// The host finishes what it has and takes nothing new.
    Leaving,
}

/// A row of the platform's list of hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The host's name.
    pub name: HostName,
    /// The host's site.
    pub site: SiteName,
    /// What the host runs.
    pub role: HostRole,
    /// The service of the host's target; none for entries.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Where the host takes links from other processes; none for entries.
    #[serde(default)]
    pub link: Option<SocketAddr>,
    /// Where the host answers status, metrics and requests for chunks.
    pub admin: SocketAddr,
    /// Whether the host is leaving.
    pub phase: HostPhase,
}

/// Whether `hosts`, sorted by name, say that `host` leaves.
pub fn is_leaving(hosts: &[HostRecord], host: &HostName) -> bool {
    let found = hosts.binary_search_by(|record| record.name.cmp(host));
    found.is_ok_and(|at| hosts[at].phase == HostPhase::Leaving)
}
