//! A single stand-in without a fleet, for tests of the stand-in itself.

use super::client::FleetClient;
use super::platform::{StandinProcess, StandinProgram};
use anyhow::Result;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use tempfile::TempDir;

/// A running stand-in with its own client and temporary folder.
pub struct SoloStandin {
    /// Client for requests to the stand-in.
    pub client: FleetClient,
    /// The process and its address.
    pub standin: StandinProcess,
    _folder: TempDir,
}

impl SoloStandin {
    /// Starts `program` as `role` and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails with the log of the process if it does not become ready.
    pub async fn start(program: &str, role: &str, options: &[&str]) -> Result<Self> {
        let folder = TempDir::new()?;
        let program = StandinProgram::new(Path::new(program), folder.path());
        let standin = program.start(role, role, options).await?;
        Ok(Self { client: FleetClient::default(), standin, _folder: folder })
    }

    /// HTTP address of the stand-in.
    pub fn address(&self) -> SocketAddr {
        self.standin.address
    }

    /// Sets fault switches; switches that `switches` does not name keep their value.
    ///
    /// # Errors
    ///
    /// Fails if the request fails or the stand-in rejects a switch.
    pub async fn set_faults(&self, switches: &Value) -> Result<()> {
        self.client.set_faults(self.address(), switches).await
    }

    /// Reads the stand-in's counters.
    ///
    /// # Errors
    ///
    /// Fails if the request fails or the counters can't be parsed as `T`.
    pub async fn counts<T: DeserializeOwned>(&self) -> Result<T> {
        self.client.counts(self.address()).await
    }
}
