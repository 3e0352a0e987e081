//! Entries and agents as processes: their settings, addresses and records in the list of hosts.

use super::process::{FleetProcess, ReadyAddresses};
use anyhow::{Context, Result};
use buckthornwharf_core::membership::{HostPhase, HostRecord, HostRole};
use buckthornwharf_core::prelude::*;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Loopback with a port that the system assigns.
const EPHEMERAL_ADDRESS: &str = "127.0.0.1:0";
/// Shared secret with which the processes of a fleet authenticate their links.
const LINK_SECRET: &str = "secret of a fleet on loopback";

/// Host, service and target of an agent to start.
#[derive(Debug, Clone)]
pub struct AgentPlan {
    /// Name of the agent's host.
    pub host: HostName,
    /// Site of the agent's host.
    pub site: SiteName,
    /// The service that the target serves.
    pub service: ServiceName,
    /// HTTP address of the target.
    pub target: SocketAddr,
    /// Whether the target rejects orders with an outdated fencing token.
    pub target_checks_fence: bool,
    /// Number of versions that the target can hold at once.
    pub target_holds: u32,
}

/// A running entry.
#[derive(Debug)]
pub struct EntryNode {
    /// The process.
    pub process: FleetProcess,
    /// Address for the requests of callers.
    pub http: SocketAddr,
    /// The host's record in the list of hosts.
    pub record: HostRecord,
}

/// A running agent.
#[derive(Debug)]
pub struct AgentNode {
    /// The process.
    pub process: FleetProcess,
    /// The host's record in the list of hosts.
    pub record: HostRecord,
}

/// Addresses of the stand-ins for the platform's services.
#[derive(Debug, Clone, Copy)]
pub struct PlatformAddresses {
    /// The key-value service.
    pub kv: SocketAddr,
    /// The list of hosts.
    pub hosts: SocketAddr,
    /// The weight store.
    pub store: SocketAddr,
}

impl PlatformAddresses {
    /// The settings file of an entry, written as JSON, which is valid YAML.
    pub fn entry_settings(&self, host: &HostName, site: &SiteName) -> Value {
        let mut settings = self.common_settings(host, site);
        settings["entry"] = json!({ "http": EPHEMERAL_ADDRESS, "admin": EPHEMERAL_ADDRESS });
        settings
    }

    /// The settings file of an agent, written as JSON, which is valid YAML.
    pub fn agent_settings(&self, plan: &AgentPlan) -> Value {
        let mut settings = self.common_settings(&plan.host, &plan.site);
        settings["agent"] = json!({
            "link": EPHEMERAL_ADDRESS,
            "admin": EPHEMERAL_ADDRESS,
            "service": plan.service,
            "target": plan.target,
            "target_checks_fence": plan.target_checks_fence,
            "target_holds": plan.target_holds,
        });
        settings
    }

    fn common_settings(&self, host: &HostName, site: &SiteName) -> Value {
        json!({
            "host": host,
            "site": site,
            "platform": { "kv": self.kv, "hosts": self.hosts, "store": self.store },
            "link_secret": LINK_SECRET,
        })
    }
}

impl EntryNode {
    /// Waits for the `ready` line of the process and takes its addresses from it.
    ///
    /// # Errors
    ///
    /// Fails with the log of the process if it does not become ready, or if an address is missing.
    pub async fn from_process(
        mut process: FleetProcess,
        host: HostName,
        site: SiteName,
    ) -> Result<Self> {
        let addresses = process.wait_ready().await?;
        let record = HostRecord {
            name: host,
            site,
            role: HostRole::Entry,
            service: None,
            link: None,
            admin: address(&addresses, "admin")?,
            phase: HostPhase::Live,
        };
        Ok(Self { process, http: address(&addresses, "http")?, record })
    }
}

impl AgentNode {
    /// Waits for the `ready` line of the process and takes its addresses from it.
    ///
    /// # Errors
    ///
    /// Fails with the log of the process if it does not become ready, or if an address is missing.
    pub async fn from_process(mut process: FleetProcess, plan: AgentPlan) -> Result<Self> {
        let addresses = process.wait_ready().await?;
        let record = HostRecord {
            name: plan.host,
            site: plan.site,
            role: HostRole::Agent,
            service: Some(plan.service),
            link: Some(address(&addresses, "link")?),
            admin: address(&addresses, "admin")?,
            phase: HostPhase::Live,
        };
        Ok(Self { process, record })
    }
}

fn address(addresses: &ReadyAddresses, name: &str) -> Result<SocketAddr> {
    let address = addresses.get(name).copied();
    address.with_context(|| format!("no {name} address in the ready line"))
}
