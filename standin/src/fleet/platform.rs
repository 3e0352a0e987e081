//! Stand-ins as processes.

use super::process::FleetProcess;
use anyhow::{Context, Result};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The program of the stand-ins and the folder for their output.
#[derive(Debug, Clone)]
pub struct StandinProgram {
    program: PathBuf,
    folder: PathBuf,
}

/// A stand-in that runs.
#[derive(Debug)]
pub struct StandinProcess {
    /// The process.
    pub process: FleetProcess,
    /// Where it answers.
    pub address: SocketAddr,
}

/// A relay that runs.
#[derive(Debug)]
pub struct RelayProcess {
    /// The stand-in, whose address takes the switches.
    pub standin: StandinProcess,
    /// Where it takes connections.
    pub address: SocketAddr,
}

impl StandinProgram {
    /// The stand-ins of `program`, with their output in `folder`.
    pub fn new(program: &Path, folder: &Path) -> Self {
        Self { program: program.to_owned(), folder: folder.to_owned() }
    }

    /// Starts the stand-in for `role` under `name` and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails with the log of the process where it does not get ready.
    pub async fn start(&self, name: &str, role: &str, options: &[&str]) -> Result<StandinProcess> {
        let arguments = [&[role, "--listen", "127.0.0.1:0"], options].concat();
        let mut process = FleetProcess::spawn(name, &self.program, &arguments, &self.folder)?;
        let addresses = process.wait_ready().await?;
        let address = addresses.get("http").copied().context("no address in the ready line")?;
        Ok(StandinProcess { process, address })
    }
}
