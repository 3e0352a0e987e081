//! What an operator wants served, as an entry that dispatches directly needs it.

use super::WorkKind;
use crate::prelude::*;
use std::net::SocketAddr;

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingConfig {
    /// Its number; a higher one replaces it.
    pub generation: u64,
    /// Where requests go.
    pub routes: Vec<ServingRoute>,
    /// What can answer them.
    pub services: Vec<ServingService>,
    /// Who may send them; none if no key is needed.
    pub organisations: Option<Vec<OrganisationKeys>>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// Requests of one host name and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingRoute {
    /// Its name.
    pub name: RouteName,
    /// The host name that callers use.
    pub host: Arc<str>,
    /// The prefix of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: WorkKind,
    /// Longest time to the answer, or to the end of a stream.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, that callers aim for.
    pub objective: Duration,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// The services that answer, with their weights; never empty.
    pub services: Vec<(ServiceName, u32)>,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub anonymous: bool,
}

/// Interchangeable targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingService {
    /// Its name.
    pub name: ServiceName,
    /// What its targets are, if they run a model.
    pub engine: Option<EngineShape>,
    /// Where its weights come from, if it is an origin of weights.
    pub origin: Option<OriginShape>,
}

/// The engines of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineShape {
    /// Requests in a batch.
    pub slots: u32,
    /// The models that it serves.
    pub models: Vec<ModelName>,
    /// Pieces of a version of the weights.
    pub chunks: u32,
    /// Bytes of a piece.
    pub chunk_bytes: u64,
    /// Tokens of prompts that it reads in a second, if it is known.
    pub prompt_tokens_per_second: Option<u32>,
}

/// An origin of weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginShape {
    /// Where it listens.
    pub address: SocketAddr,
    /// The site that it stands in.
    pub site: SiteName,
    /// What it sends to all readers together.
    pub bytes_per_second: u64,
}

/// The keys of an organisation.
#[derive(Clone, PartialEq, Eq)]
pub struct OrganisationKeys {
    /// The organisation.
    pub name: OrganisationName,
    /// Its keys.
    pub keys: Vec<Arc<str>>,
    /// The rank of its requests, if it goes before that of the route.
    pub priority: Option<u8>,
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

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Time from the first byte of a request to its last.
    pub read_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits that hold until a configuration is known.
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
    /// The service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServingService> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// The origin of weights.
    pub fn origin(&self) -> Option<&OriginShape> {
        self.services.iter().find_map(|service| service.origin.as_ref())
    }
}
