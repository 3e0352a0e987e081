//! Settings of an entry or agent of the direct path.

mod bounds;

use crate::process;
use crate::settings::{parse_yaml, read_file};
use anyhow::{Result, bail};
use bounds::BoundFields;
use buckthornwharf_core::prelude::*;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::Path;

/// Bytes in a megabit.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// The settings of one process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// The name of the host, unique in the fleet.
    pub host: HostName,
    /// The site of the host.
    pub site: SiteName,
    /// The region of each site.
    pub regions: BTreeMap<SiteName, RegionName>,
    /// Address of the platform's key-value store.
    pub store: SocketAddr,
    /// Address and ports at which other processes of the system reach this one.
    pub peers: PeerSettings,
    /// Port of the metrics, on the address of `peers`; without it, metrics are not served.
    #[serde(default)]
    pub metrics_port: Option<u16>,
    /// Limits that the operators set.
    pub bounds: BoundSettings,
    /// Whether waiting requests are ordered fairly, and entries share targets by their demand.
    #[serde(default)]
    pub fair_queue: bool,
    /// Whether the limit of each target is learned from its response times.
    #[serde(default)]
    pub learned_limits: bool,
    /// What the host offers to the process.
    #[serde(default)]
    pub host_limits: HostLimits,
    /// Settings of an entry; `None` for an agent.
    #[serde(default)]
    pub entry: Option<DirectEntrySettings>,
    /// Settings of an agent; `None` for an entry.
    #[serde(default)]
    pub agent: Option<DirectAgentSettings>,
}

/// Address and ports at which other processes of the system reach this one.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The address.
    pub ip: IpAddr,
    /// First and last port of the range that may be used.
    pub ports: [u16; 2],
}

/// What a host offers to one process. Without a limit the process does not bound itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostLimits {
    /// Memory of the process, in megabytes.
    #[serde(default)]
    pub memory_megabytes: Option<u32>,
    /// File descriptors of the process.
    #[serde(default)]
    pub descriptors: Option<u32>,
}

/// Limits that the operators set. One that is absent takes its default.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(try_from = "BoundFields")]
pub struct BoundSettings {
    /// Maximum ratio of retries to requests.
    pub retry_ratio: f64,
    /// Number of retries allowed in addition, for all entries together; may be a fraction.
    pub retry_extra: f64,
    /// Sliding window over which retries are counted.
    pub retry_window: Duration,
    /// Time from the shutdown signal until the platform kills the process.
    pub grace: Duration,
    /// Time from the declaration of a version to the retirement of the old one.
    pub version_time: Duration,
}

/// Settings of an entry.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectEntrySettings {
    /// Address that listens for callers.
    pub callers: SocketAddr,
    /// Address of the readiness probe of the platform.
    pub readiness: SocketAddr,
}

/// Settings of an agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectAgentSettings {
    /// The service of the engine.
    pub service: ServiceName,
    /// Address of the engine on this host.
    pub engine: SocketAddr,
    /// Bandwidth of the host's link, in megabits per second.
    #[serde(deserialize_with = "bounds::link_megabits")]
    pub link_megabits: f64,
}

impl DirectAgentSettings {
    /// Returns the bandwidth of the host's link, in bytes per second.
    pub fn link_bytes_per_second(&self) -> f64 {
        self.link_megabits * BYTES_PER_MEGABIT
    }
}

impl DirectSettings {
    /// Returns whether the settings in `path` are for a process of the direct path: those have `store`.
    pub fn is_direct(path: &Path) -> bool {
        #[derive(Deserialize)]
        struct Probe {
            #[serde(default)]
            store: Option<String>,
        }
        let text = std::fs::read_to_string(path).unwrap_or_default();
        serde_saphyr::from_str::<Probe>(&text).is_ok_and(|probe| probe.store.is_some())
    }

    /// Reads and validates the settings in `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is invalid; the error names the file, line and field.
    pub fn read(path: &Path) -> Result<Self> {
        read_file(path, Self::parse)
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Fails if the text is invalid; the error names the line and field.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = parse_yaml(text)?;
        if settings.entry.is_some() == settings.agent.is_some() {
            bail!("exactly one of `entry` and `agent` must be given");
        }
        if settings.peers.ports[0] > settings.peers.ports[1] {
            bail!("`peers.ports` must name the lower port first");
        }
        if !settings.regions.contains_key(&settings.site) {
            bail!("`regions` must name the region of site {}", settings.site);
        }
        Ok(settings)
    }

    /// Returns the region of `site`. A site that is not listed is a region of its own.
    pub fn region_of(&self, site: &SiteName) -> RegionName {
        let listed = self.regions.get(site).cloned();
        listed.unwrap_or_else(|| RegionName::from(site.as_str()))
    }

    /// Returns the region of the host.
    pub fn region(&self) -> RegionName {
        self.region_of(&self.site)
    }

    /// Listens on the address for other processes of the system. If its port is 0, the settings take on
    /// the port that the operating system assigns, under which the process then registers.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub fn bind_peer_address(&mut self) -> Result<TcpListener> {
        let listener = process::bind(self.peer_address())?;
        self.peers.ports[0] = listener.local_addr()?.port();
        Ok(listener)
    }

    /// Returns the address at which other processes of the system reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.peers.ip, self.peers.ports[0])
    }
}
