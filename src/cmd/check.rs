//! `buckthornwharf check`: validates a folder of configuration files.

use crate::cmd::ExitStatus;
use crate::cmd::folder::read_folder;
use anyhow::Result;
use bpaf::Bpaf;
use buckthornwharf_core::config::ConfigNode;
use std::path::PathBuf;
use std::process::ExitCode;

/// Merges and validates a folder of configuration files.
#[derive(Debug, Clone, Bpaf)]
pub struct CheckCommand {
    /// Folder of YAML files
    #[bpaf(positional("FOLDER"))]
    pub folder: PathBuf,
}

impl CheckCommand {
    /// Prints the merged configuration with the file and line that each value comes from.
    ///
    /// # Errors
    ///
    /// [`ExitStatus::BadConfig`] with the first problem found.
    pub fn run(self) -> Result<ExitCode> {
        let merged = read_folder(&self.folder)?;
        print!("{}", ConfigNode::render(&merged.tree));
        Ok(ExitStatus::Done.into())
    }
}
