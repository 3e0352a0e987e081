//! What agents need of the configuration, in a small item of the store.
//!
//! A configuration may have thousands of routes. After a loss of power, all agents would read it at once
//! over the thin links between regions, and the entries with them. So an entry writes the few fields
//! that agents need into an item of its own, which changes hardly ever.

use super::presence;
use buckthornwharf_core::direct::{EngineSpec, OriginSpec, ServingConfig};
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::{StoreClient, StoreError, StoreWrite};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The item's key. It stands below the keys of processes, so that agents hear of it by the same watch.
pub const KEY: &str = "buckthornwharf/facts";
/// Calls after which an entry leaves it to the next configuration.
const MOST_TRIES: u32 = 20;
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// What agents need of a configuration.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AgentConfig {
    /// The configuration that it was taken from.
    pub generation: u64,
    /// The origin of weights.
    pub origin: Option<OriginFields>,
    /// The services whose targets run a model.
    pub engines: Vec<EngineFields>,
}

/// The origin of weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginFields {
    address: SocketAddr,
    site: SiteName,
    bytes_per_second: u64,
}

/// A service whose targets run a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineFields {
    service: ServiceName,
    models: Vec<ModelName>,
    slots: u32,
    chunks: u32,
    chunk_bytes: u64,
}

impl AgentConfig {
    /// What agents need of `config`.
    pub fn of(config: &ServingConfig) -> Self {
        let origin = config.origin().map(|origin| OriginFields {
            address: origin.address,
            site: origin.site.clone(),
            bytes_per_second: origin.bytes_per_second,
        });
        let engine = |service: &buckthornwharf_core::direct::ServingService| {
            let spec = service.engine.as_ref()?;
            Some(EngineFields {
                service: service.name.clone(),
                models: spec.models.clone(),
                slots: spec.slots,
                chunks: spec.chunks,
                chunk_bytes: spec.chunk_bytes,
            })
        };
        let engines = config.services.iter().filter_map(engine).collect();
        Self { generation: config.generation, origin, engines }
    }

    /// Reads the item; none, with a log line, if it cannot be read.
    pub fn read(text: &[u8]) -> Option<Self> {
        match serde_json::from_slice(text) {
            Ok(facts) => Some(facts),
            Err(error) => {
                warn!("event=bad_facts reason=\"{error}\"");
                None
            }
        }
    }

    /// The origin of weights.
    pub fn origin(&self) -> Option<OriginSpec> {
        let origin = self.origin.as_ref()?;
        Some(OriginSpec {
            address: origin.address,
            site: origin.site.clone(),
            bytes_per_second: origin.bytes_per_second,
        })
    }

    /// The engines of `service`.
    pub fn engine_spec(&self, service: &ServiceName) -> Option<EngineSpec> {
        let engine = self.engines.iter().find(|engine| engine.service == *service)?;
        Some(EngineSpec {
            slots: engine.slots,
            models: engine.models.clone(),
            chunks: engine.chunks,
            chunk_bytes: engine.chunk_bytes,
            prompt_tokens_per_second: None,
        })
    }

    /// Whether agents do the same under both.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        self.origin == other.origin && self.engines == other.engines
    }
}

/// Writes `facts` into the store, unless it holds the same or newer ones.
pub async fn publish(store: StoreClient, facts: AgentConfig) {
    for _ in 0..MOST_TRIES {
        match try_publish(&store, &facts).await {
            Ok(()) => return,
            Err(error) => log::debug!("event=facts_not_written reason=\"{error}\""),
        }
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
    warn!("event=facts_not_written generation={}", facts.generation);
}

async fn try_publish(store: &StoreClient, facts: &AgentConfig) -> Result<(), StoreError> {
    let based_on = match store.item(KEY).await {
        Ok(item) => {
            let known = AgentConfig::read(&item.value);
            let holds = |known: &AgentConfig| {
                known.generation >= facts.generation || known.is_equivalent(facts)
            };
            if known.as_ref().is_some_and(holds) {
                return Ok(());
            }
            item.revision
        }
        Err(StoreError::Absent) => 0,
        Err(error) => return Err(error),
    };
    debug_assert!(KEY.starts_with(presence::PREFIX));
    let value = serde_json::to_vec(facts);
    let value = value.map_err(|error| StoreError::Unreadable(error.to_string()))?;
    let write = StoreWrite { key: KEY, value: &value, lease: 0, based_on: Some(based_on) };
    store.write(&[write]).await?;
    info!("event=facts_written generation={}", facts.generation);
    Ok(())
}
