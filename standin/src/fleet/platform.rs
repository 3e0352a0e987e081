//! Runs stand-ins as processes.

use super::process::FleetProcess;
use anyhow::{Context, Result};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Starts stand-ins from their program and keeps their output files in one folder.
#[derive(Debug, Clone)]
pub struct StandinProgram {
    program: PathBuf,
    folder: PathBuf,
}

/// A running stand-in.
#[derive(Debug)]
pub struct StandinProcess {
    /// The process.
    pub process: FleetProcess,
    /// HTTP address of the stand-in's service, counters and fault switches.
    pub address: SocketAddr,
}

/// A running relay.
#[derive(Debug)]
pub struct RelayProcess {
    /// The process; its address serves the counters and fault switches.
    pub standin: StandinProcess,
    /// Address of the connections that it relays.
    pub address: SocketAddr,
}

impl StandinProgram {
    /// Runs stand-ins from `program`, with their output files in `folder`.
    pub fn new(program: &Path, folder: &Path) -> Self {
        Self { program: program.to_owned(), folder: folder.to_owned() }
    }

    /// Starts the stand-in for `role` and waits until it is ready; `name` names its output files.
    ///
    /// # Errors
    ///
    /// Fails with the log of the process if it does not become ready.
    pub async fn start(&self, name: &str, role: &str, options: &[&str]) -> Result<StandinProcess> {
        let arguments = [&[role, "--listen", "127.0.0.1:0"], options].concat();
        let mut process = FleetProcess::spawn(name, &self.program, &arguments, &self.folder)?;
        let addresses = process.wait_ready().await?;
        let address =
            addresses.get("http").copied().context("no http address in the ready line")?;
        Ok(StandinProcess { process, address })
    }
}
