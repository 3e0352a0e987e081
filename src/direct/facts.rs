//! The part of the configuration that agents need, in a small store item of its own.
//!
//! A configuration may have thousands of routes. After a power failure, all agents and entries would
//! read it at the same time over the slow links between regions. So an entry writes the few fields that
//! agents need into a separate item, which rarely changes.

use super::presence;
use buckthornwharf_core::direct::{EngineSpec, OriginSpec, ServingConfig};
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::{StoreClient, StoreError, StoreWrite};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Key of the item. It is below the prefix of the entries, so that agents get both by one poll.
pub const KEY: &str = "buckthornwharf/common/facts";
/// Number of attempts to write the item; after them, it stays as it is until the next configuration.
const MAX_ATTEMPTS: u32 = 20;
/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// The part of a configuration that agents need.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AgentConfig {
    /// Generation of the configuration that it was taken from.
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
    /// Extracts the part of `config` that agents need.
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

    /// Parses the item. If it is malformed, logs the error and returns `None`.
    pub fn read(text: &[u8]) -> Option<Self> {
        match serde_json::from_slice(text) {
            Ok(config) => Some(config),
            Err(error) => {
                warn!("event=bad_facts reason=\"{error}\"");
                None
            }
        }
    }

    /// Returns the origin of weights.
    pub fn origin(&self) -> Option<OriginSpec> {
        let origin = self.origin.as_ref()?;
        Some(OriginSpec {
            address: origin.address,
            site: origin.site.clone(),
            bytes_per_second: origin.bytes_per_second,
        })
    }

    /// Returns the engine settings of `service`.
    pub fn engine_spec(&self, service: &ServiceName) -> Option<EngineSpec> {
        let engine = self.engines.iter().find(|engine| engine.service == *service)?;
        Some(EngineSpec {
            slots: engine.slots,
            models: engine.models.clone(),
            chunks: engine.chunks,
            chunk_bytes: engine.chunk_bytes,
            prompt_tokens_per_second: None,
            timing: None,
            memory_tokens: None,
            usual_tokens: None,
        })
    }

    /// Returns whether both are equal apart from the generation.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        self.origin == other.origin && self.engines == other.engines
    }
}

/// Writes `config` to the store, unless the store has an equivalent or newer one.
pub async fn publish(store: StoreClient, config: AgentConfig) {
    for _ in 0..MAX_ATTEMPTS {
        match try_publish(&store, &config).await {
            Ok(()) => return,
            Err(error) => log::debug!("event=facts_not_written reason=\"{error}\""),
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
    warn!("event=facts_not_written generation={}", config.generation);
}

async fn try_publish(store: &StoreClient, config: &AgentConfig) -> Result<(), StoreError> {
    let expected_revision = match store.item(KEY).await {
        Ok(item) => {
            let stored = AgentConfig::read(&item.value);
            let is_current = |stored: &AgentConfig| {
                stored.generation >= config.generation || stored.is_equivalent(config)
            };
            if stored.as_ref().is_some_and(is_current) {
                return Ok(());
            }
            item.revision
        }
        Err(StoreError::Absent) => 0,
        Err(error) => return Err(error),
    };
    debug_assert!(KEY.starts_with(presence::COMMON_PREFIX));
    let value = serde_json::to_vec(config);
    let value = value.map_err(|error| StoreError::Unreadable(error.to_string()))?;
    let write = StoreWrite {
        key: KEY,
        value: &value,
        lease: 0,
        expected_revision: Some(expected_revision),
    };
    store.write(&[write]).await?;
    info!("event=facts_written generation={}", config.generation);
    Ok(())
}
