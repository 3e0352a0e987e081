//! The merged configuration, as stored in the platform's key-value service.

use crate::config::units::ByteCount;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::{serde_as, skip_serializing_none};
use strum::{Display, EnumString};

/// The whole configuration declared by the operators.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigDocument {
    /// The sites and the region of each.
    pub sites: SortedTable<SiteName, SiteConfig>,
    /// The models and adapters, with their versions.
    pub models: SortedTable<ModelName, ModelConfig>,
    /// The services, and the sites where each runs.
    pub services: SortedTable<ServiceName, ServiceConfig>,
    /// The organisations, which callers authenticate as by API key.
    pub organisations: SortedTable<OrganisationName, OrganisationConfig>,
    /// The routes from path prefixes to services.
    pub routes: SortedTable<RouteName, RouteConfig>,
    /// Bandwidth limits for the distribution of weights.
    pub allowances: AllowanceConfig,
    /// Service-level objectives by service.
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
    /// The versions, by the names that operators give them.
    pub versions: SortedTable<VersionName, VersionConfig>,
}

/// A version of a model's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionConfig {
    /// Digest of the version's manifest.
    pub digest: VersionDigest,
}

/// The kind of targets behind a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum TargetKind {
    /// Model engines, which load weights.
    Engine,
    /// Plain services, which need no weights.
    Plain,
}

/// A service: a set of interchangeable targets.
#[skip_serializing_none]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// The kind of the service's targets.
    pub kind: TargetKind,
    /// The model to serve; required for engines, not allowed otherwise.
    pub model: Option<ModelName>,
    /// The version of the model; required for engines, not allowed otherwise.
    pub version: Option<VersionName>,
    /// The sites where the service runs; all sites if empty.
    #[serde(default)]
    pub sites: Vec<SiteName>,
    /// Most hosts that may be out of service at once during a change of version.
    #[serde(default = "ServiceConfig::default_max_out_of_service")]
    pub max_out_of_service: u32,
    /// Priority among services whose weights compete for a link; higher goes first.
    #[serde(default)]
    pub priority: u8,
}

impl ServiceConfig {
    fn default_max_out_of_service() -> u32 {
        1
    }
}

/// Priority class of requests. Higher classes are served first; fairness between organisations
/// applies within a class.
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
    /// Served when no request of another class waits.
    Low,
    /// The default class.
    #[default]
    Normal,
    /// Served before the other classes.
    High,
}

/// An organisation (customer).
#[serde_as]
#[skip_serializing_none]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationConfig {
    /// BLAKE3 hash of the organisation's API key; the key itself is never stored.
    #[serde_as(as = "Hex")]
    pub key_hash: [u8; 32],
    /// Fair-share weight of the organisation on a busy target.
    #[serde(default = "OrganisationConfig::default_weight")]
    pub weight: u32,
    /// Priority class of the organisation's requests.
    #[serde(default)]
    pub priority: PriorityClass,
    /// Most requests in flight at one entry; unlimited if absent.
    pub max_in_flight: Option<u32>,
    /// Most tokens per second over the whole fleet; unlimited if absent.
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
    /// Path prefix that the route matches; the longest match wins.
    pub path: String,
    /// The service that requests are routed to.
    pub service: ServiceName,
    /// HTTP methods that are not idempotent on this route and must not be repeated.
    #[serde(default)]
    pub non_idempotent: Vec<String>,
}

/// Bandwidth limits for the distribution of weights, in bytes per second.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AllowanceConfig {
    /// From the origin, summed over all hosts.
    #[serde_as(as = "ByteCount")]
    pub origin_bytes_per_second: u64,
    /// Each of upload and download on one host's link.
    #[serde_as(as = "ByteCount")]
    pub host_bytes_per_second: u64,
    /// Each direction between two regions, summed over all hosts.
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

/// Service-level objectives of a service, from which its burn rate is reported.
#[skip_serializing_none]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveConfig {
    /// Share of requests that must be answered, between 0 and 1.
    pub availability: f64,
    /// Limit on the time to first token in milliseconds, for 95% of requests.
    pub first_token_ms: Option<u32>,
    /// Limit on the time between tokens in milliseconds, for 95% of gaps.
    pub between_tokens_ms: Option<u32>,
    /// Limit in seconds from acceptance of a version until a host serves it, for 95% of hosts.
    pub time_to_live_seconds: Option<u32>,
}

impl ConfigDocument {
    /// The manifest digest that the hosts of `service` should serve; `None` for plain services and
    /// unknown names.
    pub fn wanted_digest(&self, service: &ServiceName) -> Option<VersionDigest> {
        let service = self.services.get(service)?;
        let model = self.models.get(service.model.as_ref()?)?;
        let version = model.versions.get(service.version.as_ref()?)?;
        Some(version.digest)
    }

    /// The region of `site`; an undeclared site counts as a region of its own.
    pub fn region_of(&self, site: &SiteName) -> RegionName {
        match self.sites.get(site) {
            Some(config) => config.region.clone(),
            None => RegionName::from(site.as_str()),
        }
    }

    /// The route with the longest prefix that matches `path`.
    pub fn route_for(&self, path: &str) -> Option<&RouteConfig> {
        let matching = self.routes.values().filter(|route| path.starts_with(&route.path));
        matching.max_by_key(|route| route.path.len())
    }

    /// The organisation whose API key has the BLAKE3 hash `key_hash`.
    pub fn organisation_by_key_hash(
        &self,
        key_hash: &[u8; 32],
    ) -> Option<(&OrganisationName, &OrganisationConfig)> {
        self.organisations.iter().find(|(_, organisation)| organisation.key_hash == *key_hash)
    }
}
