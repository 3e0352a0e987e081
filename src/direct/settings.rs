//! Settings of a process that dispatches directly.

use crate::settings::{parse_yaml, read_file};
use anyhow::{Result, bail};
use buckthornwharf_core::prelude::*;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

/// Bytes a second of a megabit a second.
const MEGABIT_BYTES: f64 = 125_000.0;

/// The settings of one process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// The name of the host, unique in the fleet.
    pub host: HostName,
    /// The site that the host stands in.
    pub site: SiteName,
    /// The region of each site.
    pub regions: BTreeMap<SiteName, RegionName>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Where other processes of the system reach this one.
    pub peers: PeerSettings,
    /// The port of the metrics, on the address of `peers`; none if they are not served.
    #[serde(default)]
    pub metrics_port: Option<u16>,
    /// What the operators ask for.
    pub bounds: BoundSettings,
    /// Settings of an entry.
    #[serde(default)]
    pub entry: Option<DirectEntrySettings>,
    /// Settings of an agent.
    #[serde(default)]
    pub agent: Option<DirectAgentSettings>,
}

/// Where other processes of the system reach this one.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The address.
    pub ip: IpAddr,
    /// The first and the last port that may be used.
    pub ports: [u16; 2],
}

/// What the operators ask for.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Retries as a part of the requests.
    pub retry_ratio: f64,
    /// Further retries of all entries together.
    pub retry_extra: u64,
    /// Time over which retries are counted, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub retry_window: Duration,
    /// Time from the signal to leave until the process is killed, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub grace: Duration,
    /// Time from the declaration of a version to the end of the old one, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub version_time: Duration,
}

/// Settings of an entry.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectEntrySettings {
    /// Where callers are answered.
    pub callers: SocketAddr,
    /// Where the platform asks whether the entry is ready.
    pub readiness: SocketAddr,
}

/// Settings of an agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectAgentSettings {
    /// The service of the engine.
    pub service: ServiceName,
    /// The engine beside the agent.
    pub engine: SocketAddr,
    /// Bits a second of the host's link, in millions.
    pub link_megabits: f64,
}

impl DirectAgentSettings {
    /// Bytes a second of the host's link.
    pub fn link_bytes_per_second(&self) -> f64 {
        self.link_megabits * MEGABIT_BYTES
    }
}

impl DirectSettings {
    /// Whether the settings in `path` are for a process that dispatches directly.
    pub fn is_direct(path: &Path) -> bool {
        #[derive(Deserialize)]
        struct Probe {
            #[serde(default)]
            store: Option<String>,
        }
        let text = std::fs::read_to_string(path).unwrap_or_default();
        serde_saphyr::from_str::<Probe>(&text).is_ok_and(|probe| probe.store.is_some())
    }

    /// Reads and checks the settings in `path`.
    ///
    /// # Errors
    ///
    /// Names the file, and the line and field where something is wrong with its content.
    pub fn read(path: &Path) -> Result<Self> {
        read_file(path, Self::parse)
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Names the line and field where something is wrong.
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

    /// The region of `site`; a site that is not listed is a region of its own.
    pub fn region_of(&self, site: &SiteName) -> RegionName {
        let listed = self.regions.get(site).cloned();
        listed.unwrap_or_else(|| RegionName::from(site.as_str()))
    }

    /// The region of the host.
    pub fn region(&self) -> RegionName {
        self.region_of(&self.site)
    }

    /// The sites of the host's region.
    pub fn region_sites(&self) -> Vec<SiteName> {
        let own = self.region();
        let sites = self.regions.iter().filter(|(_, region)| **region == own);
        sites.map(|(site, _)| site.clone()).collect()
    }

    /// Where other processes of the system reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.peers.ip, self.peers.ports[0])
    }
}
