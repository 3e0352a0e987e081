//! `buckthornwharf report`.

use anyhow::{Result, bail};
use bpaf::Bpaf;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Reports service-level burn.
#[derive(Debug, Clone, Bpaf)]
pub struct ReportCommand {
    /// Address of the platform's list of hosts
    #[bpaf(argument("ADDR"))]
    pub hosts: SocketAddr,
}

impl ReportCommand {
    /// Reads the processes and prints the report.
    ///
    /// # Errors
    ///
    /// What could not be read.
    pub fn run(self) -> Result<ExitCode> {
        bail!("not built yet")
    }
}
