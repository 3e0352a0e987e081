//! A sample fleet whose links pass through relays, with run counts read from its stand-ins.

use anyhow::{Context, Result};
use buckthornwharf_core::membership::HostRecord;
use buckthornwharf_core::prelude::*;
use buckthornwharf_standin::engine::EngineCounts;
use buckthornwharf_standin::fleet::{RelayProcess, SampleFleet, wait_until};
use buckthornwharf_standin::runs::RunCounts;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Timeout of waits for conditions that are certain to hold in time.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Fleets that run concurrently.
const MAX_FLEETS: usize = 3;
const MODEL_BYTES: usize = 64 * 1024;
const CHUNK_BYTES: u64 = 32 * 1024;

static FLEET_PERMITS: Semaphore = Semaphore::const_new(MAX_FLEETS);

/// A fleet that serves one version, with a relay in front of each agent.
pub struct RelayedFleet {
    /// The fleet behind the relays.
    pub sample: SampleFleet,
    /// The version that the engines serve.
    pub digest: VersionDigest,
    /// Relays in front of the engines' agents, in the order of the engines.
    pub relays: Vec<RelayProcess>,
    /// Relay in front of the plain service's agent.
    pub plain_relay: RelayProcess,
    _permit: SemaphorePermit<'static>,
}

/// Weights of version `number`, different for each number.
pub fn model(number: u8) -> Vec<u8> {
    (0..MODEL_BYTES).map(|at| (at % 249) as u8 ^ number).collect()
}

impl RelayedFleet {
    /// Starts a fleet of `engines` engines and waits until each entry reaches the targets.
    pub async fn start(engines: usize, engine_options: &[&str]) -> Result<Self> {
        let permit = FLEET_PERMITS.acquire().await?;
        let program = Path::new(env!("CARGO_BIN_EXE_buckthornwharf"));
        let sample = SampleFleet::start(program, engines, engine_options).await?;
        let mut relays = Vec::new();
        for agent in &sample.agents {
            relays.push(relay_link(&sample, &agent.record).await?);
        }
        let plain_relay = relay_link(&sample, &sample.plain_agent.record).await?;
        let digest = sample.publish_and_apply(model(0), CHUNK_BYTES).await?;
        let this = Self { sample, digest, relays, plain_relay, _permit: permit };
        this.wait_live().await?;
        Ok(this)
    }

    async fn wait_live(&self) -> Result<()> {
        if !self.sample.engines.is_empty() {
            return self.sample.wait_live(self.digest, WAIT_TIMEOUT).await;
        }
        for entry in 0..self.sample.entries.len() {
            wait_until("the entry reaches the plain service", WAIT_TIMEOUT, async || {
                self.book(entry, "ready", &[]).await.is_ok_and(|reply| reply.status == 200)
            })
            .await?;
        }
        Ok(())
    }

    /// Address at which entry `number` serves callers.
    pub fn entry(&self, number: usize) -> SocketAddr {
        self.sample.entries[number].http
    }

    /// Sets fault switches of a stand-in.
    pub async fn set_faults(&self, standin: SocketAddr, switches: Value) -> Result<()> {
        self.sample.system.client.set_faults(standin, &switches).await
    }

    /// Sets fault switches of all engines.
    pub async fn set_engine_faults(&self, switches: Value) -> Result<()> {
        for engine in &self.sample.engines {
            self.set_faults(engine.address, switches.clone()).await?;
        }
        Ok(())
    }

    /// Counters of engine `number`.
    pub async fn engine_counts(&self, number: usize) -> Result<EngineCounts> {
        self.sample.system.client.counts(self.sample.engines[number].address).await
    }

    /// How often each engine ran `prompt`, in the order of the engines.
    pub async fn prompt_runs(&self, prompt: &str) -> Result<Vec<u32>> {
        let mut runs = Vec::new();
        for number in 0..self.sample.engines.len() {
            let counts = self.engine_counts(number).await?;
            runs.push(counts.runs.by_text.get(prompt).copied().unwrap_or(0));
        }
        Ok(runs)
    }

    /// Waits until an engine has started the prompt, and returns the engine's number.
    pub async fn wait_prompt_run(&self, prompt: &str) -> Result<usize> {
        let mut found = None;
        wait_until("an engine runs the prompt", WAIT_TIMEOUT, async || {
            let runs = self.prompt_runs(prompt).await.unwrap_or_default();
            found = runs.iter().position(|runs| *runs > 0);
            found.is_some()
        })
        .await?;
        found.context("no engine ran the prompt")
    }

    /// Waits until engine `number` has generated another `tokens` tokens.
    pub async fn wait_tokens(&self, number: usize, tokens: u64) -> Result<()> {
        let start = self.engine_counts(number).await?.tokens;
        wait_until("the engine generates tokens", WAIT_TIMEOUT, async || {
            self.engine_counts(number).await.is_ok_and(|counts| counts.tokens >= start + tokens)
        })
        .await
    }

    /// How often the plain service ran requests with `body`.
    pub async fn body_runs(&self, body: &str) -> Result<u32> {
        let counts: RunCounts = self.sample.system.client.counts(self.sample.plain.address).await?;
        Ok(counts.by_text.get(body).copied().unwrap_or(0))
    }

    /// Waits until the plain service has started a request with `body`.
    pub async fn wait_body_run(&self, body: &str) -> Result<()> {
        wait_until("the plain service runs the request", WAIT_TIMEOUT, async || {
            self.body_runs(body).await.is_ok_and(|runs| runs > 0)
        })
        .await
    }
}

async fn relay_link(sample: &SampleFleet, record: &HostRecord) -> Result<RelayProcess> {
    let link = record.link.context("agent has no link address")?;
    let relay = sample.system.start_relay(&format!("relay-{}", record.name), link).await?;
    let record = HostRecord { link: Some(relay.address), ..record.clone() };
    sample.system.set_host(&record).await?;
    Ok(relay)
}
