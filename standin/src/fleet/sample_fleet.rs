//! A small fleet for tests, benches and the demo: an entry and engines on each site, and a plain
//! service on the first.

use super::client::HttpReply;
use super::node::{AgentNode, AgentPlan, EntryNode};
use super::platform::StandinProcess;
use super::process::FleetProcess;
use super::sample::{
    CHAT_PATH, ENGINE_SERVICE, ORGANISATION_KEY, PLAIN_SERVICE, SAMPLE_SITES, sample_config,
};
use super::system::FleetSystem;
use super::wait::wait_until;
use anyhow::{Result, ensure};
use awc::http::Method;
use buckthornwharf_core::membership::HostRecord;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;

/// Longest time from SIGTERM to the end of a process.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// A running fleet for the sample configuration.
pub struct SampleFleet {
    /// The platform's stand-ins, with the client and the programs.
    pub system: FleetSystem,
    /// One entry on each site.
    pub entries: Vec<EntryNode>,
    /// The engines, distributed over the sites in rotation.
    pub engines: Vec<StandinProcess>,
    /// The agents of the engines, in the same order.
    pub agents: Vec<AgentNode>,
    /// The target of the plain service.
    pub plain: StandinProcess,
    /// The agent of the plain service's target.
    pub plain_agent: AgentNode,
}

impl SampleFleet {
    /// Starts the platform's stand-ins, an entry on each site, `engines` engines with
    /// `engine_options`, a target of the plain service, and an agent for each target.
    ///
    /// # Errors
    ///
    /// Fails with the log of the first process that does not become ready.
    pub async fn start(product: &Path, engines: usize, engine_options: &[&str]) -> Result<Self> {
        let system = FleetSystem::start(product).await?;
        let mut entries = Vec::new();
        for site in SAMPLE_SITES {
            entries.push(system.start_entry(&format!("entry-{site}"), site).await?);
        }
        let (mut targets, mut agents) = (Vec::new(), Vec::new());
        for number in 0..engines {
            let target = system.start_engine(&format!("engine-{number}"), engine_options).await?;
            let plan = engine_plan(number, target.address);
            agents.push(system.start_agent(plan).await?);
            targets.push(target);
        }
        let plain = system.start_plain("plain").await?;
        let plain_agent = system.start_agent(plain_plan(plain.address)).await?;
        Ok(Self { system, entries, engines: targets, agents, plain, plain_agent })
    }

    /// Publishes `content` as a version in chunks of `chunk_bytes`, and activates the configuration
    /// that serves it. Returns its digest; the agents load it afterwards.
    ///
    /// # Errors
    ///
    /// Fails if the store rejects the content or `buckthornwharf apply` fails.
    pub async fn publish_and_apply(
        &self,
        content: Vec<u8>,
        chunk_bytes: u64,
    ) -> Result<VersionDigest> {
        let store = self.system.store.address;
        let digest = self.system.client.publish(store, content, chunk_bytes).await?;
        self.system.apply(&sample_config(digest)).await?;
        Ok(digest)
    }

    /// Number of engine agents that serve the version; an agent that does not respond counts as not
    /// serving.
    pub async fn live_replicas(&self, digest: VersionDigest) -> usize {
        let mut live = 0;
        for agent in &self.agents {
            let serving = self.serving(&agent.record).await.unwrap_or_default();
            live += usize::from(serving == json!(digest));
        }
        live
    }

    async fn serving(&self, host: &HostRecord) -> Result<Value> {
        let status: Value = self.system.client.get(host.admin, "/status").await?.ok()?.json()?;
        Ok(status["serving"].clone())
    }

    /// Waits until every engine agent serves the version, and every entry answers requests to both
    /// services. Each of these conditions may take `time_limit`.
    ///
    /// # Errors
    ///
    /// Names the condition that timed out.
    pub async fn wait_live(&self, digest: VersionDigest, time_limit: Duration) -> Result<()> {
        let all_live = async || self.live_replicas(digest).await == self.agents.len();
        wait_until("every engine agent serves the version", time_limit, all_live).await?;
        for entry in &self.entries {
            let chat_ok = async || is_ok(self.chat(entry.http, "are you there", 1, false).await);
            wait_until("the entry answers a chat completion", time_limit, chat_ok).await?;
            let plain_ok = async || {
                let path = "/portal/ready";
                is_ok(self.send_request(Method::GET, entry.http, path, "").await)
            };
            wait_until("the entry answers a request to the plain service", time_limit, plain_ok)
                .await?;
        }
        Ok(())
    }

    /// Sends a chat completion request to the entry at the address `entry`.
    ///
    /// # Errors
    ///
    /// As [`FleetClient::send`](super::client::FleetClient::send).
    pub async fn chat(
        &self,
        entry: SocketAddr,
        prompt: &str,
        max_tokens: u32,
        stream: bool,
    ) -> Result<HttpReply> {
        let body = json!({
            "model": ENGINE_SERVICE,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": max_tokens,
            "stream": stream,
        });
        self.send_request(Method::POST, entry, CHAT_PATH, body.to_string()).await
    }

    /// Sends a request with the organisation's key to the entry at the address `entry`.
    ///
    /// # Errors
    ///
    /// As [`FleetClient::send`](super::client::FleetClient::send).
    pub async fn send_request(
        &self,
        method: Method,
        entry: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<HttpReply> {
        let key = format!("Bearer {ORGANISATION_KEY}");
        let headers = [("Authorization", key.as_str()), ("Content-Type", "application/json")];
        self.system.client.send(method, entry, path, &headers, body).await
    }

    /// Shuts down all processes of the product: first the entries, then the agents.
    ///
    /// # Errors
    ///
    /// Fails with the log of the first process that does not end with exit code 0 in time.
    pub async fn stop(&mut self) -> Result<()> {
        stop_processes(self.entries.iter_mut().map(|entry| &mut entry.process)).await?;
        let agents = self.agents.iter_mut().chain(std::iter::once(&mut self.plain_agent));
        stop_processes(agents.map(|agent| &mut agent.process)).await
    }
}

async fn stop_processes<'a>(processes: impl Iterator<Item = &'a mut FleetProcess>) -> Result<()> {
    let mut processes: Vec<&mut FleetProcess> = processes.collect();
    for process in &mut processes {
        process.terminate()?;
    }
    for process in processes {
        let status = process.wait_exit(SHUTDOWN_TIMEOUT).await?;
        ensure!(
            status.success(),
            "{} ended with {status}; its log: {}",
            process.name(),
            process.log()
        );
    }
    Ok(())
}

fn is_ok(reply: Result<HttpReply>) -> bool {
    reply.is_ok_and(|reply| reply.status == 200)
}

fn engine_plan(number: usize, target: SocketAddr) -> AgentPlan {
    AgentPlan {
        host: format!("agent-{number}").into(),
        site: SAMPLE_SITES[number % SAMPLE_SITES.len()].into(),
        service: ENGINE_SERVICE.into(),
        target,
        target_checks_fence: false,
        target_holds: 1,
    }
}

fn plain_plan(target: SocketAddr) -> AgentPlan {
    AgentPlan {
        host: "agent-plain".into(),
        site: SAMPLE_SITES[0].into(),
        service: PLAIN_SERVICE.into(),
        target,
        target_checks_fence: false,
        target_holds: 1,
    }
}
