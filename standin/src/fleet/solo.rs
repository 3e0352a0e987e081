//! One stand-in alone, for tests of its contract.

use super::client::FleetClient;
use super::platform::{StandinProcess, StandinProgram};
use anyhow::Result;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use tempfile::TempDir;

/// A stand-in with a folder and a client of its own.
pub struct SoloStandin {
    /// The client.
    pub client: FleetClient,
    /// The stand-in.
    pub standin: StandinProcess,
    _folder: TempDir,
}

impl SoloStandin {
    /// Starts `program` as `role`.
    ///
    /// # Errors
    ///
    /// Fails with the log of the process where it does not get ready.
    pub async fn start(program: &str, role: &str, options: &[&str]) -> Result<Self> {
        let folder = TempDir::new()?;
        let program = StandinProgram::new(Path::new(program), folder.path());
        let standin = program.start(role, role, options).await?;
        Ok(Self { client: FleetClient::default(), standin, _folder: folder })
    }

    /// Where the stand-in answers.
    pub fn address(&self) -> SocketAddr {
        self.standin.address
    }

    /// Sets switches.
    ///
    /// # Errors
    ///
    /// Fails where the stand-in does not take them.
    pub async fn set_faults(&self, switches: &Value) -> Result<()> {
        self.client.set_faults(self.address(), switches).await
    }

    /// The counters.
    ///
    /// # Errors
    ///
    /// Fails where they do not come or have another shape.
    pub async fn counts<T: DeserializeOwned>(&self) -> Result<T> {
        self.client.counts(self.address()).await
    }
}
