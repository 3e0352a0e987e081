//! A sample fleet whose links go through relays, with run counts read from its stand-ins.

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

/// How long a condition may take that comes about in any case.
pub const LIMIT: Duration = Duration::from_secs(60);
/// Fleets that run at the same time.
const MAX_FLEETS: usize = 3;
const MODEL_BYTES: usize = 64 * 1024;
const CHUNK_BYTES: u64 = 32 * 1024;

static FLEETS: Semaphore = Semaphore::const_new(MAX_FLEETS);

/// A fleet that serves one version.
pub struct ProofFleet {
    /// The fleet.
    pub fleet: SampleFleet,
    /// The version.
    pub digest: VersionDigest,
    /// The relay before each engine's agent.
    pub relays: Vec<RelayProcess>,
    /// The relay before the plain service's agent.
    pub plain_relay: RelayProcess,
    _permit: SemaphorePermit<'static>,
}

/// The weights of version `number`.
pub fn model(number: u8) -> Vec<u8> {
    (0..MODEL_BYTES).map(|at| (at % 249) as u8 ^ number).collect()
}

impl ProofFleet {
    /// Starts a fleet of `engines` engines and waits until all of it answers.
    pub async fn start(engines: usize, engine_options: &[&str]) -> Result<Self> {
        let permit = FLEETS.acquire().await?;
        let product = Path::new(env!("CARGO_BIN_EXE_buckthornwharf"));
        let fleet = SampleFleet::start(product, engines, engine_options).await?;
        let mut relays = Vec::new();
        for agent in &fleet.agents {
            relays.push(relay_link(&fleet, &agent.record).await?);
        }
        let plain_relay = relay_link(&fleet, &fleet.plain_agent.record).await?;
        let digest = fleet.publish_and_apply(model(0), CHUNK_BYTES).await?;
        let this = Self { fleet, digest, relays, plain_relay, _permit: permit };
        this.wait_live().await?;
        Ok(this)
    }

    async fn wait_live(&self) -> Result<()> {
        if !self.fleet.engines.is_empty() {
            return self.fleet.wait_live(self.digest, LIMIT).await;
        }
        for entry in 0..self.fleet.entries.len() {
            wait_until("the entry reaches the plain service", LIMIT, async || {
                self.book(entry, "ready", &[]).await.is_ok_and(|reply| reply.status == 200)
            })
            .await?;
        }
        Ok(())
    }

    /// Where the entry `number` answers callers.
    pub fn entry(&self, number: usize) -> SocketAddr {
        self.fleet.entries[number].http
    }

    /// Sets switches of a stand-in.
    pub async fn fault(&self, standin: SocketAddr, switches: Value) -> Result<()> {
        self.fleet.system.client.set_faults(standin, &switches).await
    }

    /// Sets switches of all engines.
    pub async fn fault_engines(&self, switches: Value) -> Result<()> {
        for engine in &self.fleet.engines {
            self.fault(engine.address, switches.clone()).await?;
        }
        Ok(())
    }

    /// The counters of an engine.
    pub async fn engine(&self, number: usize) -> Result<EngineCounts> {
        self.fleet.system.client.counts(self.fleet.engines[number].address).await
    }

    /// How often each engine ran a prompt.
    pub async fn prompt_runs(&self, prompt: &str) -> Result<Vec<u32>> {
        let mut runs = Vec::new();
        for number in 0..self.fleet.engines.len() {
            let counts = self.engine(number).await?;
            runs.push(counts.runs.by_text.get(prompt).copied().unwrap_or(0));
        }
        Ok(runs)
    }

    /// Waits until an engine runs the prompt, and returns its number.
    pub async fn wait_prompt(&self, prompt: &str) -> Result<usize> {
        let mut found = None;
        wait_until("an engine runs the prompt", LIMIT, async || {
            let runs = self.prompt_runs(prompt).await.unwrap_or_default();
            found = runs.iter().position(|runs| *runs > 0);
            found.is_some()
        })
        .await?;
        found.context("no engine")
    }

    /// Waits until engine `number` has generated `tokens` more than now.
    pub async fn wait_tokens(&self, number: usize, tokens: u64) -> Result<()> {
        let start = self.engine(number).await?.tokens;
        wait_until("the engine generates tokens", LIMIT, async || {
            self.engine(number).await.is_ok_and(|counts| counts.tokens >= start + tokens)
        })
        .await
    }

    /// How often the plain service ran calls with `body`.
    pub async fn body_runs(&self, body: &str) -> Result<u32> {
        let counts: RunCounts = self.fleet.system.client.counts(self.fleet.plain.address).await?;
        Ok(counts.by_text.get(body).copied().unwrap_or(0))
    }

    /// Waits until the plain service has run calls with `body`.
    pub async fn wait_body(&self, body: &str) -> Result<()> {
        wait_until("the plain service runs the call", LIMIT, async || {
            self.body_runs(body).await.is_ok_and(|runs| runs > 0)
        })
        .await
    }
}

async fn relay_link(fleet: &SampleFleet, record: &HostRecord) -> Result<RelayProcess> {
    let link = record.link.context("an agent has a link")?;
    let relay = fleet.system.start_relay(&format!("relay-{}", record.name), link).await?;
    let record = HostRecord { link: Some(relay.address), ..record.clone() };
    fleet.system.set_host(&record).await?;
    Ok(relay)
}
