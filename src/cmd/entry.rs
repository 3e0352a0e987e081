//! `buckthornwharf entry`: runs an entry process.

use crate::cmd::ExitStatus;
use crate::direct::settings::DirectSettings;
use crate::settings::ProcessSettings;
use anyhow::{Context, Result};
use bpaf::Bpaf;
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs an entry until it receives SIGTERM or SIGINT.
#[derive(Debug, Clone, Bpaf)]
pub struct EntryCommand {
    /// YAML file with the settings of the process
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
}

impl EntryCommand {
    /// Reads the settings and runs the process.
    ///
    /// # Errors
    ///
    /// [`ExitStatus::BadSettings`] if the settings are invalid, otherwise the error that ended the
    /// process.
    pub fn run(self) -> Result<ExitCode> {
        if DirectSettings::is_direct(&self.settings) {
            let settings = DirectSettings::read(&self.settings).context(ExitStatus::BadSettings)?;
            crate::direct::entry::run(self.settings, settings)?;
            return Ok(ExitCode::SUCCESS);
        }
        let settings = ProcessSettings::read(&self.settings).context(ExitStatus::BadSettings)?;
        crate::entry::run(settings)?;
        Ok(ExitCode::SUCCESS)
    }
}
