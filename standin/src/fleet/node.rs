//! Processes of the product.

use super::process::{FleetProcess, ReadyAddresses};
use anyhow::{Context, Result};
use buckthornwharf_core::membership::{HostPhase, HostRecord, HostRole};
use buckthornwharf_core::prelude::*;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Any free port of loopback.
const FREE_ADDRESS: &str = "127.0.0.1:0";
/// The secret that the processes of a fleet share.
const LINK_SECRET: &str = "secret of a fleet on loopback";

/// What an agent is started with.
#[derive(Debug, Clone)]
pub struct AgentPlan {
    /// The host's name.
    pub host: HostName,
    /// The host's site.
    pub site: SiteName,
    /// The service of the target.
    pub service: ServiceName,
    /// The target.
    pub target: SocketAddr,
    /// Whether the target refuses orders with an old fence.
    pub target_checks_fence: bool,
    /// Versions that the target holds at once.
    pub target_holds: u32,
}

/// An entry that runs.
#[derive(Debug)]
pub struct EntryNode {
    /// The process.
    pub process: FleetProcess,
    /// Where callers are answered.
    pub http: SocketAddr,
    /// The host's row in the list.
    pub record: HostRecord,
}

/// An agent that runs.
#[derive(Debug)]
pub struct AgentNode {
    /// The process.
    pub process: FleetProcess,
    /// The host's row in the list.
    pub record: HostRecord,
}

/// Where the stand-ins of a fleet's platform are.
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
    /// The settings of an entry, as YAML in its JSON form.
    pub fn entry_settings(&self, host: &HostName, site: &SiteName) -> Value {
        let mut settings = self.common_settings(host, site);
        settings["entry"] = json!({ "http": FREE_ADDRESS, "admin": FREE_ADDRESS });
        settings
    }

    /// The settings of an agent, as YAML in its JSON form.
    pub fn agent_settings(&self, plan: &AgentPlan) -> Value {
        let mut settings = self.common_settings(&plan.host, &plan.site);
        settings["agent"] = json!({
            "link": FREE_ADDRESS,
            "admin": FREE_ADDRESS,
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
    /// Waits until the process is ready.
    ///
    /// # Errors
    ///
    /// Fails with the log of the process where it does not get ready.
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
    /// Waits until the process is ready.
    ///
    /// # Errors
    ///
    /// Fails with the log of the process where it does not get ready.
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
