//! `buckthornwharf agent`: runs an agent process.

use crate::cmd::ExitStatus;
use crate::direct::settings::DirectSettings;
use crate::settings::ProcessSettings;
use anyhow::{Context, Result};
use bpaf::Bpaf;
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs an agent until it receives SIGTERM or SIGINT.
#[derive(Debug, Clone, Bpaf)]
pub struct AgentCommand {
    /// YAML file with the settings of the process
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
}

impl AgentCommand {
    /// Reads the settings and runs the process.
    ///
    /// # Errors
    ///
    /// [`ExitStatus::BadSettings`] if the settings are invalid, otherwise the error that ended the
    /// process.
    pub fn run(self) -> Result<ExitCode> {
        if DirectSettings::is_direct(&self.settings) {
            let settings = DirectSettings::read(&self.settings).context(ExitStatus::BadSettings)?;
            crate::direct::agent::run(self.settings, settings)?;
            return Ok(ExitCode::SUCCESS);
        }
        let settings = ProcessSettings::read(&self.settings).context(ExitStatus::BadSettings)?;
        crate::agent::run(settings)?;
        Ok(ExitCode::SUCCESS)
    }
}
