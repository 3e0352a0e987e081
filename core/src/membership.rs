//! Fleet membership: the hosts, their roles and phases, and leases.

pub mod lease;
pub mod merge;

pub use lease::{HeldLease, LeaseExpiredError};
pub use merge::{MembershipEvent, MembershipMerge};

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString};

/// Role of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HostRole {
    /// Accepts callers' requests.
    Entry,
    /// Runs beside a target and passes requests to it.
    Agent,
}

/// Whether a host accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HostPhase {
    /// The host accepts new work.
    Live,
    /// The host is draining: it finishes its work in progress and accepts no new work.
    Leaving,
}

/// A row of the platform's list of hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host.
    pub name: HostName,
    /// Site of the host.
    pub site: SiteName,
    /// Role of the host.
    pub role: HostRole,
    /// Service of the host's target; none for entries.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Address on which the host accepts links; none for entries.
    #[serde(default)]
    pub link: Option<SocketAddr>,
    /// Address of the host's endpoints for status, metrics and chunks.
    pub admin: SocketAddr,
    /// Whether the host accepts new work.
    pub phase: HostPhase,
}

/// Whether `host` is marked as leaving in `hosts`, which must be sorted by name.
pub fn is_leaving(hosts: &[HostRecord], host: &HostName) -> bool {
    let found = hosts.binary_search_by(|record| record.name.cmp(host));
    found.is_ok_and(|at| hosts[at].phase == HostPhase::Leaving)
}
