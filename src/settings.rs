//! Settings of a process, read once at the start from a YAML file.

use anyhow::{Context, Result, anyhow, bail};
use buckthornwharf_core::prelude::*;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::Path;

/// Settings of one process: an entry or an agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name of the host, unique in the fleet.
    pub host: HostName,
    /// Site of the host.
    pub site: SiteName,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Secret shared by all processes of the fleet; a link whose peer does not know it is refused.
    pub link_secret: LinkSecret,
    /// Settings of an entry; exactly one of `entry` and `agent` is given.
    #[serde(default)]
    pub entry: Option<EntrySettings>,
    /// Settings of an agent; see `entry`.
    #[serde(default)]
    pub agent: Option<AgentSettings>,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the key-value service.
    pub kv: SocketAddr,
    /// Address of the list of hosts.
    pub hosts: SocketAddr,
    /// Address of the weight store, the origin of all weights.
    pub store: SocketAddr,
}

/// Settings of an entry.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Listen address for callers' requests.
    pub http: SocketAddr,
    /// Listen address for status and metrics.
    pub admin: SocketAddr,
    /// Maximum number of links to agents.
    #[serde(default = "EntrySettings::default_max_links")]
    pub max_links: usize,
    /// Timeout of a request whose caller sets no deadline, in milliseconds.
    #[serde(default = "EntrySettings::default_deadline_ms")]
    pub deadline_ms: u64,
}

impl EntrySettings {
    fn default_max_links() -> usize {
        32
    }

    fn default_deadline_ms() -> u64 {
        60_000
    }
}

/// Settings of an agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Listen address for links from entries.
    pub link: SocketAddr,
    /// Listen address for status, metrics and chunks.
    pub admin: SocketAddr,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address of the target beside the agent.
    pub target: SocketAddr,
    /// Whether the target rejects orders with an outdated fencing token.
    #[serde(default)]
    pub target_checks_fence: bool,
    /// Number of versions that the target can hold at the same time.
    #[serde(default = "AgentSettings::default_target_holds")]
    pub target_holds: u32,
    /// Number of requests that the target processes concurrently.
    #[serde(default = "AgentSettings::default_target_slots")]
    pub target_slots: u32,
}

impl AgentSettings {
    fn default_target_holds() -> u32 {
        1
    }

    fn default_target_slots() -> u32 {
        16
    }
}

/// Shared secret of the links. Its `Debug` output hides the value.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct LinkSecret(Arc<str>);

impl std::fmt::Debug for LinkSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("LinkSecret(..)")
    }
}

impl LinkSecret {
    /// Derives the key for keyed hashes from the secret.
    pub fn key(&self) -> [u8; 32] {
        blake3::derive_key("buckthornwharf link 1", self.0.as_bytes())
    }
}

impl ProcessSettings {
    /// Reads and checks the settings in `path`.
    ///
    /// # Errors
    ///
    /// The file can't be read or its content is invalid; the error names the file, line and field.
    pub fn read(path: &Path) -> Result<Self> {
        read_file(path, Self::parse)
    }

    /// Parses and checks the settings.
    ///
    /// # Errors
    ///
    /// The settings are invalid; the error names the line and field.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = parse_yaml(text)?;
        if settings.entry.is_some() == settings.agent.is_some() {
            bail!("the settings must contain exactly one of `entry` and `agent`");
        }
        Ok(settings)
    }
}

/// Reads the settings file at `path` and parses it with `parse`.
///
/// # Errors
///
/// The file can't be read or `parse` fails; the error names the file.
pub fn read_file<T>(path: &Path, parse: impl Fn(&str) -> Result<T>) -> Result<T> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("can't read settings file {}", path.display()))?;
    parse(&text).with_context(|| format!("invalid settings in {}", path.display()))
}

/// Parses settings from YAML.
///
/// # Errors
///
/// The YAML is invalid. The error names the line and field but does not quote the text, which may
/// contain a secret.
pub fn parse_yaml<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_saphyr::from_str(text).map_err(|error| anyhow!("{}", error.without_snippet()))
}
