//! A fleet of engines with one agent each.

use anyhow::Result;
use buckthornwharf_core::prelude::*;
use buckthornwharf_standin::engine::{EngineCounts, EngineOrder, OrderKind};
use buckthornwharf_standin::fleet::{
    AgentNode, AgentPlan, ConfigFile, ENGINE_SERVICE, FleetSystem, SAMPLE_SITES, StandinProcess,
    sample_config, wait_until,
};
use buckthornwharf_standin::store::StoreCounts;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::path::Path;

/// Timeout for a version to be served by the agents waited for.
pub const LIVE_TIMEOUT: Duration = Duration::from_secs(90);
/// Size of a version.
pub const MODEL_BYTES: usize = 1024 * 1024;
/// Size of a chunk.
pub const CHUNK_BYTES: u64 = 64 * 1024;

/// Properties of the targets of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct TargetTraits {
    /// Whether the target refuses orders with a stale fencing token.
    pub checks_fence: bool,
    /// Number of versions that the target can hold at once.
    pub holds: u32,
}

/// A target that checks fencing tokens and holds one version.
pub const CHECKS_FENCE: TargetTraits = TargetTraits { checks_fence: true, holds: 1 };

/// Engines with one agent each, alternating between the sample sites.
pub struct BurstFleet {
    pub system: FleetSystem,
    pub engines: Vec<StandinProcess>,
    pub plans: Vec<AgentPlan>,
    pub agents: Vec<AgentNode>,
}

impl BurstFleet {
    pub async fn start(engines: usize, traits: TargetTraits) -> Result<Self> {
        let system = FleetSystem::start(Path::new(env!("CARGO_BIN_EXE_buckthornwharf"))).await?;
        let holds = traits.holds.to_string();
        let mut options = vec!["--holds", holds.as_str()];
        if traits.checks_fence {
            options.push("--checks-fence");
        }
        let mut fleet = Self { system, engines: vec![], plans: vec![], agents: vec![] };
        for number in 0..engines {
            let engine = fleet.system.start_engine(&format!("engine-{number}"), &options).await?;
            let plan = AgentPlan {
                host: format!("agent-{number}").into(),
                site: SAMPLE_SITES[number % SAMPLE_SITES.len()].into(),
                service: ENGINE_SERVICE.into(),
                target: engine.address,
                target_checks_fence: traits.checks_fence,
                target_holds: traits.holds,
            };
            fleet.agents.push(fleet.system.start_agent(plan.clone()).await?);
            fleet.engines.push(engine);
            fleet.plans.push(plan);
        }
        Ok(fleet)
    }

    /// Publishes a version of [`MODEL_BYTES`] random bytes, which depend on `seed` only.
    pub async fn publish(&self, seed: u64) -> Result<VersionDigest> {
        let mut content = vec![0; MODEL_BYTES];
        SmallRng::seed_from_u64(seed).fill_bytes(&mut content);
        self.system.client.publish(self.system.store.address, content, CHUNK_BYTES).await
    }

    /// Applies the sample configuration with `digest` as the version to serve.
    pub async fn apply(&self, digest: VersionDigest) -> Result<()> {
        let allowances = "allowances:\n  region_pair_bytes_per_second: 20000000\n";
        let mut files = sample_config(digest);
        files.push(ConfigFile { name: "60-allowances.yaml".into(), text: allowances.into() });
        self.system.apply(&files).await
    }

    pub async fn set_store_faults(&self, switches: Value) -> Result<()> {
        self.system.client.set_faults(self.system.store.address, &switches).await
    }

    pub async fn set_kv_faults(&self, switches: Value) -> Result<()> {
        self.system.client.set_faults(self.system.kv.address, &switches).await
    }

    pub async fn engine_counts(&self, engine: usize) -> Result<EngineCounts> {
        self.system.client.counts(self.engines[engine].address).await
    }

    /// Load orders that the engine received.
    pub async fn loads(&self, engine: usize) -> Result<Vec<EngineOrder>> {
        let orders = self.engine_counts(engine).await?.orders;
        Ok(orders.into_iter().filter(|order| order.kind == OrderKind::Load).collect())
    }

    pub async fn store_counts(&self) -> Result<StoreCounts> {
        self.system.client.counts(self.system.store.address).await
    }

    /// Chunk bytes that the origin store has served.
    pub async fn store_bytes(&self) -> Result<u64> {
        Ok(self.store_counts().await?.chunk_bytes)
    }

    /// Digest of the version that the agent advertises; null if it advertises none or does not answer.
    pub async fn advertised(&self, agent: &AgentNode) -> Value {
        let reply = self.system.client.get(agent.record.admin, "/status").await;
        let status = reply.and_then(|reply| reply.ok()?.json::<Value>());
        status.map_or(Value::Null, |status| status["serving"].clone())
    }

    pub async fn is_live(&self, agent: &AgentNode, digest: VersionDigest) -> bool {
        self.advertised(agent).await == json!(digest)
    }

    /// Waits until the agents advertise the version; prints their logs on a timeout.
    pub async fn wait_live(&self, agents: &[usize], digest: VersionDigest) -> Result<()> {
        let are_live = async || {
            for agent in agents {
                if !self.is_live(&self.agents[*agent], digest).await {
                    return false;
                }
            }
            true
        };
        let waited = wait_until("the agents serve the version", LIVE_TIMEOUT, are_live).await;
        waited.inspect_err(|_| {
            for agent in agents {
                eprintln!("{}", self.agents[*agent].process.log());
            }
        })
    }

    /// Checks that each engine holds only this version and never refused a body whose digest did not
    /// match (422).
    pub async fn check_engines(&self, engines: &[usize], digest: VersionDigest) -> Result<()> {
        for engine in engines {
            let counts = self.engine_counts(*engine).await?;
            assert_eq!(counts.versions, [digest], "engine {engine}");
            assert!(counts.orders.iter().all(|order| order.status != 422), "engine {engine}");
        }
        Ok(())
    }
}
