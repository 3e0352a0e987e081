//! The merged configuration, as it is kept in the platform's key-value service.

use crate::config::units::ByteCount;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::{serde_as, skip_serializing_none};
use strum::{Display, EnumString};

/// Everything that operators declare.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigDocument {
    /// The sites and the region of each.
    pub sites: SortedTable<SiteName, SiteConfig>,
    /// The models and adapters with their versions.
    pub models: SortedTable<ModelName, ModelConfig>,
    /// The services and where each runs.
    pub services: SortedTable<ServiceName, ServiceConfig>,
    /// The organisations, known by their keys.
    pub organisations: SortedTable<OrganisationName, OrganisationConfig>,
    /// Which path leads to which service.
    pub routes: SortedTable<RouteName, RouteConfig>,
    /// What the spread of weights may take of each link.
    pub allowances: AllowanceConfig,
    /// Objectives by service.
    pub objectives: SortedTable<ServiceName, ObjectiveConfig>,
}

/// A site (availability zone).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteConfig {
    /// The region that the site belongs to.
    pub region: RegionName,
}

/// A model or an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// The model that this adapter extends; none for a model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<ModelName>,
    /// The versions by the operators' names.
    pub versions: SortedTable<VersionName, VersionConfig>,
}

/// A version of a model's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionConfig {
    /// The digest of the version's manifest.
    pub digest: VersionDigest,
}

/// What stands behind a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum TargetKind {
    /// Model engines, which need weights.
    Engine,
    /// Plain services.
    Plain,
}

/// A service: interchangeable targets that serve the same thing.
#[skip_serializing_none]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// What stands behind the service.
    pub kind: TargetKind,
    /// The model that the engines serve; engines only.
    pub model: Option<ModelName>,
    /// The version of the model; engines only.
    pub version: Option<VersionName>,
    /// The sites where the service runs; all sites if empty.
    #[serde(default)]
    pub sites: Vec<SiteName>,
    /// How many hosts may be out of service at once while versions are swapped.
    #[serde(default = "ServiceConfig::default_max_out_of_service")]
    pub max_out_of_service: u32,
    /// Order among services when weights compete for a link; higher goes first.
    #[serde(default)]
    pub priority: u8,
}

impl ServiceConfig {
    fn default_max_out_of_service() -> u32 {
        1
    }
}

/// The class by which requests are ordered before fairness within the class applies.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PriorityClass {
    /// Served when nothing else waits.
    Low,
    /// The usual class.
    #[default]
    Normal,
    /// Served before the others.
    High,
}

/// An organisation (customer).
#[serde_as]
#[skip_serializing_none]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationConfig {
    /// The BLAKE3 hash of the organisation's key; the key itself is never kept.
    #[serde_as(as = "Hex")]
    pub key_hash: [u8; 32],
    /// Share of a busy target relative to other organisations.
    #[serde(default = "OrganisationConfig::default_weight")]
    pub weight: u32,
    /// The class of the organisation's requests.
    #[serde(default)]
    pub priority: PriorityClass,
    /// Most requests in flight at one entry; no limit if absent.
    pub max_in_flight: Option<u32>,
    /// Most tokens a second in the whole fleet; no limit if absent.
    pub tokens_per_second: Option<u32>,
}

impl OrganisationConfig {
    fn default_weight() -> u32 {
        1
    }
}

/// A route from a path to a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    /// The prefix of the paths that the route takes; the longest match wins.
    pub path: String,
    /// The service that answers.
    pub service: ServiceName,
    /// The HTTP methods whose calls must not be repeated (not idempotent).
    #[serde(default)]
    pub non_idempotent: Vec<String>,
}

/// What the spread of weights may take of each link, in bytes a second.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AllowanceConfig {
    /// From the origin, over all hosts.
    #[serde_as(as = "ByteCount")]
    pub origin_bytes_per_second: u64,
    /// Up or down one host's link.
    #[serde_as(as = "ByteCount")]
    pub host_bytes_per_second: u64,
    /// One way between two regions, over all hosts.
    #[serde_as(as = "ByteCount")]
    pub region_pair_bytes_per_second: u64,
    /// The region that reads from the origin; the first region by name if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub store_region: Option<RegionName>,
}

impl Default for AllowanceConfig {
    fn default() -> Self {
        Self {
            origin_bytes_per_second: 500_000_000,
            host_bytes_per_second: 250_000_000,
            region_pair_bytes_per_second: 2_000_000,
            store_region: None,
        }
    }
}

/// Objectives of a service, from which burn is reported.
#[skip_serializing_none]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveConfig {
    /// Share of requests to be answered, between 0 and 1.
    pub availability: f64,
    /// Milliseconds to the first token that 95 in 100 requests are to keep.
    pub first_token_ms: Option<u32>,
    /// Milliseconds between tokens that 95 in 100 gaps are to keep.
    pub between_tokens_ms: Option<u32>,
    /// Seconds from acceptance of a version until it is live on all its hosts.
    pub time_to_live_seconds: Option<u32>,
}

impl ConfigDocument {
    /// The digest that hosts of `service` are to serve; none for plain services and for unknown
    /// names.
    pub fn wanted_digest(&self, service: &ServiceName) -> Option<VersionDigest> {
        let service = self.services.get(service)?;
        let model = self.models.get(service.model.as_ref()?)?;
        let version = model.versions.get(service.version.as_ref()?)?;
        Some(version.digest)
    }

    /// The region of `site`; a site that is not declared is a region of its own.
    pub fn region_of(&self, site: &SiteName) -> RegionName {
        match self.sites.get(site) {
            Some(config) => config.region.clone(),
            None => RegionName::from(site.as_str()),
        }
    }

    /// The route with the longest prefix of `path`.
    pub fn route_for(&self, path: &str) -> Option<&RouteConfig> {
        let matching = self.routes.values().filter(|route| path.starts_with(&route.path));
        matching.max_by_key(|route| route.path.len())
    }

    /// The organisation whose key hashes to `key_hash`.
    pub fn organisation_by_key(
        &self,
        key_hash: &[u8; 32],
    ) -> Option<(&OrganisationName, &OrganisationConfig)> {
        self.organisations.iter().find(|(_, organisation)| organisation.key_hash == *key_hash)
    }
}
