//! The settings of a process, read once from a YAML file.

use anyhow::{Context, Result, anyhow, bail};
use buckthornwharf_core::prelude::*;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::Path;

/// The settings of one process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// The name of the host, unique in the fleet.
    pub host: HostName,
    /// The site that the host stands in.
    pub site: SiteName,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// Secret that all processes of the system share; links without it are refused.
    pub link_secret: LinkSecret,
    /// Settings of an entry.
    #[serde(default)]
    pub entry: Option<EntrySettings>,
    /// Settings of an agent.
    #[serde(default)]
    pub agent: Option<AgentSettings>,
}

/// Where the platform's services are.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The key-value service, as host and port.
    pub kv: SocketAddr,
    /// The list of hosts.
    pub hosts: SocketAddr,
    /// The store and origin of weights.
    pub store: SocketAddr,
}

/// Settings of an entry.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Where callers are answered.
    pub http: SocketAddr,
    /// Where status and metrics are answered.
    pub admin: SocketAddr,
    /// Most links to agents.
    #[serde(default = "EntrySettings::default_max_links")]
    pub max_links: usize,
    /// Milliseconds that a request may take where the caller names no deadline.
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
    /// Where entries open links.
    pub link: SocketAddr,
    /// Where status, metrics and chunks are answered.
    pub admin: SocketAddr,
    /// The service of the target.
    pub service: ServiceName,
    /// The target beside the agent.
    pub target: SocketAddr,
    /// Whether the target refuses orders with an old fencing number.
    #[serde(default)]
    pub target_checks_fence: bool,
    /// How many versions the target can hold at once.
    #[serde(default = "AgentSettings::default_target_holds")]
    pub target_holds: u32,
    /// Requests that the target works on at once.
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

/// The shared secret of the links; never printed.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct LinkSecret(Arc<str>);

impl std::fmt::Debug for LinkSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("LinkSecret(..)")
    }
}

impl LinkSecret {
    /// The key for keyed hashes under the secret.
    pub fn key(&self) -> [u8; 32] {
        blake3::derive_key("buckthornwharf link 1", self.0.as_bytes())
    }
}

impl ProcessSettings {
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
        Ok(settings)
    }
}

/// Reads the settings in `path` by `parse`.
///
/// # Errors
///
/// Names the file with what `parse` found wrong in it.
pub fn read_file<T>(path: &Path, parse: impl Fn(&str) -> Result<T>) -> Result<T> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("can't read settings {}", path.display()))?;
    parse(&text).with_context(|| format!("bad settings in {}", path.display()))
}

/// Parses settings.
///
/// # Errors
///
/// Names the line and field, without an excerpt of the text, which may hold a secret.
pub fn parse_yaml<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_saphyr::from_str(text).map_err(|error| anyhow!("{}", error.without_snippet()))
}
