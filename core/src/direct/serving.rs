//! The operator's serving configuration, as needed by an entry that dispatches directly.

use super::WorkKind;
use crate::prelude::*;
use std::net::SocketAddr;

/// A complete configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingConfig {
    /// Generation number; a configuration with a higher one replaces this one.
    pub generation: u64,
    /// Routes, which map requests to services.
    pub routes: Vec<ServingRoute>,
    /// Services, which answer requests.
    pub services: Vec<ServingService>,
    /// Organisations that may send requests; `None` if no key is needed.
    pub organisations: Option<Vec<OrganisationKeys>>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

/// A route: the requests for one host name and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingRoute {
    /// Name of the route.
    pub name: RouteName,
    /// Host name in the requests.
    pub host: Arc<str>,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may run more than once, and whether they are streams.
    pub kind: WorkKind,
    /// Longest time to the response, or to the end of a stream. Zero if not configured.
    pub timeout: Duration,
    /// Latency objective: time to the response, or to the first event of a stream.
    pub objective: Duration,
    /// Priority of the requests; 0 is served first.
    pub priority: u8,
    /// Services that answer the requests, with their weights; never empty.
    pub services: Vec<(ServiceName, u32)>,
    /// Maximum number of targets that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests without a key are accepted.
    pub anonymous: bool,
    /// Regions in which the requests may be served.
    pub allowed_regions: RegionSet,
}

/// The regions in which requests may be served; all of them if the set is empty.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RegionSet {
    /// Sorted, without duplicates.
    regions: Arc<[RegionName]>,
}

impl RegionSet {
    /// Returns whether requests may be served in `region`. An unknown region is allowed only if all
    /// regions are.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        self.allows_all() || region.is_some_and(|region| self.regions.binary_search(region).is_ok())
    }

    /// Iterates over the regions, in order; there are none if all are allowed.
    pub fn iter(&self) -> impl Iterator<Item = &RegionName> {
        self.regions.iter()
    }

    /// Returns whether requests may be served in any region.
    pub fn allows_all(&self) -> bool {
        self.regions.is_empty()
    }
}

impl FromIterator<RegionName> for RegionSet {
    fn from_iter<I: IntoIterator<Item = RegionName>>(regions: I) -> Self {
        let mut regions: Vec<RegionName> = regions.into_iter().collect();
        regions.sort_unstable();
        regions.dedup();
        Self { regions: regions.into() }
    }
}

/// A service: a set of interchangeable targets.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingService {
    /// Name of the service.
    pub name: ServiceName,
    /// Properties of its targets, if they run models.
    pub engine: Option<EngineSpec>,
    /// The origin, if the service is an origin of weights.
    pub origin: Option<OriginSpec>,
    /// What its targets bear for some time after they start; `None` if there is no limit.
    pub cold_limit: Option<ColdLimit>,
}

/// Limit on the requests to a target that has just started and is still cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Time for which a target is cold after it starts.
    pub start_time: Duration,
    /// Requests per second of all entries together that a cold target bears.
    pub per_second: f64,
}

/// Properties of the engines of a service, that is, of targets that run models.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Number of requests that an engine processes concurrently, as one batch.
    pub slots: u32,
    /// Models that an engine serves.
    pub models: Vec<ModelName>,
    /// Number of chunks in one version of the weights.
    pub chunks: u32,
    /// Size of a chunk in bytes.
    pub chunk_bytes: u64,
    /// Prompt tokens that an engine reads per second (prefill rate), if known.
    pub prompt_tokens_per_second: Option<u32>,
    /// Published processing times, if known.
    pub timing: Option<EngineTiming>,
    /// Tokens of prompts and answers that fit into an engine's memory, if known.
    pub memory_tokens: Option<u64>,
    /// Mean tokens of a prompt and of an answer, if known.
    pub usual_tokens: Option<(u32, u32)>,
}

/// Published processing times of an engine, which works on all its requests in steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineTiming {
    /// Time of a step that produces one token of each answer.
    pub step: Duration,
    /// Additional time of a step for each request that produces tokens.
    pub per_request: Duration,
    /// Additional time of a step for each 1,000 tokens of the context of such a request.
    pub per_context: Duration,
    /// Additional time of prefill for each million pairs of a token and an earlier one.
    pub per_pairs: Duration,
    /// Maximum prompt tokens that are read in a step.
    pub prefill_tokens: u32,
    /// Steps after which new requests are admitted.
    pub stride: u32,
}

/// The origin: the service from which hosts fetch weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginSpec {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Site that it runs in.
    pub site: SiteName,
    /// Bandwidth that all readers share.
    pub bytes_per_second: u64,
}

/// The keys of an organisation.
#[derive(Clone, PartialEq, Eq)]
pub struct OrganisationKeys {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Keys that its callers use; secret, so `Debug` prints only their number.
    pub keys: Vec<Arc<str>>,
    /// Priority of its requests, if it overrides that of the route.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served.
    pub allowed_regions: RegionSet,
}

impl std::fmt::Debug for OrganisationKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OrganisationKeys")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .finish()
    }
}

/// Limits on the size of callers' requests and on the time to read them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request to its last.
    pub read_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            read_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

impl ServingConfig {
    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServingService> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Returns the origin of weights, if a service is one.
    pub fn origin(&self) -> Option<&OriginSpec> {
        self.services.iter().find_map(|service| service.origin.as_ref())
    }
}
