//! A whole fleet: the platform, and the product's processes and commands.

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

/// The name of the stand-ins' program, which stands beside the product's.
const STANDIN_PROGRAM: &str = "buckthornwharf-standin";
/// How long a command of the product may take.
const COMMAND_LIMIT: Duration = Duration::from_secs(40);

/// The platform's stand-ins, and what is needed to start processes against them.
pub struct FleetSystem {
    /// The client.
    pub client: FleetClient,
    /// The key-value service.
    pub kv: StandinProcess,
    /// The list of hosts.
    pub hosts: StandinProcess,
    /// The weight store.
    pub store: StandinProcess,
    standins: StandinProgram,
    product: PathBuf,
    runs: Cell<u32>,
    folder: TempDir,
}

/// A file of a configuration folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigFile {
    /// Its name.
    pub name: String,
    /// Its YAML.
    pub text: String,
}

/// A command of the product that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandOutput {
    /// The exit code; none if a signal ended it.
    pub code: Option<i32>,
    /// What it wrote to its standard output.
    pub stdout: String,
    /// What it wrote to its standard error.
    pub stderr: String,
}

impl FleetSystem {
    /// Starts the platform's stand-ins for the product's program at `product`.
    ///
    /// # Errors
    ///
    /// Fails with the log of the stand-in that does not get ready.
    pub async fn start(product: &Path) -> Result<Self> {
        let folder = TempDir::new()?;
        let programs = product.parent().context("the product's program is in no folder")?;
        let standins = StandinProgram::new(&programs.join(STANDIN_PROGRAM), folder.path());
        Ok(Self {
            client: FleetClient::default(),
            kv: standins.start("kv", "kv", &[]).await?,
            hosts: standins.start("hosts", "hosts", &[]).await?,
            store: standins.start("store", "store", &[]).await?,
            standins,
            product: product.to_owned(),
            runs: Cell::new(0),
            folder,
        })
    }

    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails with the log of the engine where it does not get ready.
    pub async fn start_engine(&self, name: &str, options: &[&str]) -> Result<StandinProcess> {
        self.standins.start(name, "engine", options).await
    }

    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// Fails with the log of the service where it does not get ready.
    pub async fn start_plain(&self, name: &str) -> Result<StandinProcess> {
        self.standins.start(name, "plain", &[]).await
    }

    /// Starts a relay to `to`.
    ///
    /// # Errors
    ///
    /// Fails with the log of the relay where it does not get ready.
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
    /// Fails with the log of the entry where it does not get ready.
    pub async fn start_entry(&self, host: &str, site: &str) -> Result<EntryNode> {
        let (host, site) = (HostName::from(host), SiteName::from(site));
        let settings = self.places().entry_settings(&host, &site);
        let process = self.spawn_role("entry", &host, &settings)?;
        let entry = EntryNode::from_process(process, host, site).await?;
        self.set_host(&entry.record).await?;
        Ok(entry)
    }

    /// Starts an agent and adds it to the list of hosts.
    ///
    /// # Errors
    ///
    /// Fails with the log of the agent where it does not get ready.
    pub async fn start_agent(&self, plan: AgentPlan) -> Result<AgentNode> {
        let settings = self.places().agent_settings(&plan);
        let process = self.spawn_role("agent", &plan.host, &settings)?;
        let agent = AgentNode::from_process(process, plan).await?;
        self.set_host(&agent.record).await?;
        Ok(agent)
    }

    /// Sets the row of a host in the list.
    ///
    /// # Errors
    ///
    /// Fails where the list does not take it.
    pub async fn set_host(&self, record: &HostRecord) -> Result<()> {
        let path = format!("/v1/hosts/{}", record.name);
        self.client.put_json(self.hosts.address, &path, record).await.map(drop)
    }

    /// Marks a host as leaving in the list.
    ///
    /// # Errors
    ///
    /// Fails where the list does not take it.
    pub async fn mark_leaving(&self, record: &HostRecord) -> Result<()> {
        self.set_host(&HostRecord { phase: HostPhase::Leaving, ..record.clone() }).await
    }

    /// Puts `files` into force by `buckthornwharf apply`.
    ///
    /// # Errors
    ///
    /// Fails with the command's output where it does not succeed.
    pub async fn apply(&self, files: &[ConfigFile]) -> Result<()> {
        let folder = self.write_config(files)?;
        let kv = self.kv.address.to_string();
        let arguments = [OsStr::new("apply"), "--kv".as_ref(), kv.as_ref(), folder.as_os_str()];
        let ended = self.run_command(&arguments).await?;
        if ended.code != Some(0) {
            bail!("apply ended with {:?}: {}{}", ended.code, ended.stdout, ended.stderr);
        }
        Ok(())
    }

    /// Writes `files` into a new folder.
    ///
    /// # Errors
    ///
    /// Fails where they can't be written.
    pub fn write_config(&self, files: &[ConfigFile]) -> Result<PathBuf> {
        let folder = self.folder.path().join(self.next_name("config"));
        create_dir(&folder)?;
        for file in files {
            write(folder.join(&file.name), &file.text)?;
        }
        Ok(folder)
    }

    /// Runs the product with `arguments` to its end.
    ///
    /// # Errors
    ///
    /// Fails where it does not start, or does not end in time.
    pub async fn run_command<A: AsRef<OsStr>>(&self, arguments: &[A]) -> Result<CommandOutput> {
        let name = self.next_name("command");
        let mut process = FleetProcess::spawn(&name, &self.product, arguments, self.folder.path())?;
        let status = process.wait_exit(COMMAND_LIMIT).await?;
        Ok(CommandOutput { code: status.code(), stdout: process.stdout(), stderr: process.log() })
    }

    fn places(&self) -> PlatformAddresses {
        PlatformAddresses {
            kv: self.kv.address,
            hosts: self.hosts.address,
            store: self.store.address,
        }
    }

    fn spawn_role(&self, role: &str, host: &HostName, settings: &Value) -> Result<FleetProcess> {
        let name = self.next_name(host.as_str());
        let path = self.folder.path().join(format!("{name}.yaml"));
        write(&path, serde_json::to_string_pretty(settings)?)?;
        let arguments = [OsStr::new(role), "--settings".as_ref(), path.as_os_str()];
        FleetProcess::spawn(&name, &self.product, &arguments, self.folder.path())
    }

    fn next_name(&self, name: &str) -> String {
        self.runs.set(self.runs.get() + 1);
        format!("{name}-{}", self.runs.get())
    }
}
