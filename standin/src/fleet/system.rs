//! Runs the platform's stand-ins, and entries, agents and commands of the product against them.

use super::client::FleetClient;
use super::node::{AgentNode, AgentPlan, EntryNode, PlatformAddresses};
use super::platform::{RelayProcess, StandinProcess, StandinProgram};
use super::process::FleetProcess;
use crate::relay::RelayCounts;
use anyhow::{Context, Result, bail};
use buckthornwharf_core::membership::{HostPhase, HostRecord};
use buckthornwharf_core::prelude::*;
use serde_json::Value;
use std::cell::Cell;
use std::ffi::OsStr;
use std::fs::{create_dir, write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// File name of the stand-ins' program, which is in the same folder as the product's.
const STANDIN_PROGRAM: &str = "buckthornwharf-standin";
/// Longest time that a command of the product may run.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(40);

/// The platform's running stand-ins, with the programs and the temporary folder for starting more
/// processes.
pub struct FleetSystem {
    /// HTTP client for requests to the stand-ins and the product.
    pub client: FleetClient,
    /// The key-value service.
    pub kv: StandinProcess,
    /// The list of hosts.
    pub hosts: StandinProcess,
    /// The weight store.
    pub store: StandinProcess,
    standins: StandinProgram,
    product: PathBuf,
    last_name_number: Cell<u32>,
    folder: TempDir,
}

/// A file of the product's configuration folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigFile {
    /// File name.
    pub name: String,
    /// Content in YAML.
    pub text: String,
}

/// Exit code and output of a finished command of the product.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandOutput {
    /// The exit code; `None` if a signal ended the command.
    pub code: Option<i32>,
    /// The standard output.
    pub stdout: String,
    /// The standard error.
    pub stderr: String,
}

impl FleetSystem {
    /// Starts the platform's stand-ins; `product` is the path of the product's program.
    ///
    /// # Errors
    ///
    /// Fails with the log of the first stand-in that does not become ready.
    pub async fn start(product: &Path) -> Result<Self> {
        let folder = TempDir::new()?;
        let program_folder =
            product.parent().context("the path of the product's program has no parent folder")?;
        let standins = StandinProgram::new(&program_folder.join(STANDIN_PROGRAM), folder.path());
        Ok(Self {
            client: FleetClient::default(),
            kv: standins.start("kv", "kv", &[]).await?,
            hosts: standins.start("hosts", "hosts", &[]).await?,
            store: standins.start("store", "store", &[]).await?,
            standins,
            product: product.to_owned(),
            last_name_number: Cell::new(0),
            folder,
        })
    }

    /// Starts an engine; `name` names its output files.
    ///
    /// # Errors
    ///
    /// Fails with the log of the engine if it does not become ready.
    pub async fn start_engine(&self, name: &str, options: &[&str]) -> Result<StandinProcess> {
        self.standins.start(name, "engine", options).await
    }

    /// Starts a plain service; `name` names its output files.
    ///
    /// # Errors
    ///
    /// Fails with the log of the service if it does not become ready.
    pub async fn start_plain(&self, name: &str) -> Result<StandinProcess> {
        self.standins.start(name, "plain", &[]).await
    }

    /// Starts a relay that forwards connections to the address `to`.
    ///
    /// # Errors
    ///
    /// Fails with the log of the relay if it does not become ready.
    pub async fn start_relay(&self, name: &str, to: SocketAddr) -> Result<RelayProcess> {
        let target = to.to_string();
        let standin = self.standins.start(name, "relay", &["--to", &target]).await?;
        let counts: RelayCounts = self.client.counts(standin.address).await?;
        Ok(RelayProcess { standin, address: counts.address })
    }

    /// Starts an entry and adds it to the list of hosts.
    ///
    /// # Errors
    ///
    /// Fails with the log of the entry if it does not become ready.
    pub async fn start_entry(&self, host: &str, site: &str) -> Result<EntryNode> {
        let (host, site) = (HostName::from(host), SiteName::from(site));
        let settings = self.platform_addresses().entry_settings(&host, &site);
        let process = self.spawn_role("entry", &host, &settings)?;
        let entry = EntryNode::from_process(process, host, site).await?;
        self.set_host(&entry.record).await?;
        Ok(entry)
    }

    /// Starts an agent and adds it to the list of hosts.
    ///
    /// # Errors
    ///
    /// Fails with the log of the agent if it does not become ready.
    pub async fn start_agent(&self, plan: AgentPlan) -> Result<AgentNode> {
        let settings = self.platform_addresses().agent_settings(&plan);
        let process = self.spawn_role("agent", &plan.host, &settings)?;
        let agent = AgentNode::from_process(process, plan).await?;
        self.set_host(&agent.record).await?;
        Ok(agent)
    }

    /// Adds or replaces the record of a host in the list of hosts.
    ///
    /// # Errors
    ///
    /// Fails if the request fails or the list of hosts rejects the record.
    pub async fn set_host(&self, record: &HostRecord) -> Result<()> {
        let path = format!("/v1/hosts/{}", record.name);
        self.client.put_json(self.hosts.address, &path, record).await.map(drop)
    }

    /// Sets the phase of a host to leaving in the list of hosts.
    ///
    /// # Errors
    ///
    /// Fails if the request fails or the list of hosts rejects the record.
    pub async fn mark_leaving(&self, record: &HostRecord) -> Result<()> {
        self.set_host(&HostRecord { phase: HostPhase::Leaving, ..record.clone() }).await
    }

    /// Activates the configuration in `files` with `buckthornwharf apply`.
    ///
    /// # Errors
    ///
    /// Fails with the command's output if its exit code is not 0.
    pub async fn apply(&self, files: &[ConfigFile]) -> Result<()> {
        let folder = self.write_config(files)?;
        let kv = self.kv.address.to_string();
        let arguments = [OsStr::new("apply"), "--kv".as_ref(), kv.as_ref(), folder.as_os_str()];
        let output = self.run_command(&arguments).await?;
        if output.code != Some(0) {
            bail!(
                "apply failed with exit code {:?}: {}{}",
                output.code,
                output.stdout,
                output.stderr
            );
        }
        Ok(())
    }

    /// Writes `files` to a new configuration folder and returns its path.
    ///
    /// # Errors
    ///
    /// Fails if the folder or a file can't be written.
    pub fn write_config(&self, files: &[ConfigFile]) -> Result<PathBuf> {
        let folder = self.folder.path().join(self.unique_name("config"));
        create_dir(&folder)?;
        for file in files {
            write(folder.join(&file.name), &file.text)?;
        }
        Ok(folder)
    }

    /// Runs the product with `arguments` until it ends; any exit code counts as success.
    ///
    /// # Errors
    ///
    /// Fails if the command can't be started, or does not end within [`COMMAND_TIMEOUT`].
    pub async fn run_command<A: AsRef<OsStr>>(&self, arguments: &[A]) -> Result<CommandOutput> {
        let name = self.unique_name("command");
        let mut process = FleetProcess::spawn(&name, &self.product, arguments, self.folder.path())?;
        let status = process.wait_exit(COMMAND_TIMEOUT).await?;
        Ok(CommandOutput { code: status.code(), stdout: process.stdout(), stderr: process.log() })
    }

    fn platform_addresses(&self) -> PlatformAddresses {
        PlatformAddresses {
            kv: self.kv.address,
            hosts: self.hosts.address,
            store: self.store.address,
        }
    }

    fn spawn_role(&self, role: &str, host: &HostName, settings: &Value) -> Result<FleetProcess> {
        let name = self.unique_name(host.as_str());
        let path = self.folder.path().join(format!("{name}.yaml"));
        write(&path, serde_json::to_string_pretty(settings)?)?;
        let arguments = [OsStr::new(role), "--settings".as_ref(), path.as_os_str()];
        FleetProcess::spawn(&name, &self.product, &arguments, self.folder.path())
    }

    fn unique_name(&self, name: &str) -> String {
        self.last_name_number.set(self.last_name_number.get() + 1);
        format!("{name}-{}", self.last_name_number.get())
    }
}
