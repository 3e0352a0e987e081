//! `buckthornwharf check`.

use crate::cmd::ExitStatus;
use crate::cmd::folder::read_folder;
use anyhow::Result;
use bpaf::Bpaf;
use buckthornwharf_core::config::ConfigNode;
use std::path::PathBuf;
use std::process::ExitCode;

/// Merges and checks a folder of configuration.
#[derive(Debug, Clone, Bpaf)]
pub struct CheckCommand {
    /// The folder of YAML files
    #[bpaf(positional("FOLDER"))]
    pub folder: PathBuf,
}

impl CheckCommand {
    /// Prints the merged configuration with the file and line that each value came from.
    ///
    /// # Errors
    ///
    /// [`ExitStatus::BadConfig`] with the first thing that is wrong.
    pub fn run(self) -> Result<ExitCode> {
        let merged = read_folder(&self.folder)?;
        print!("{}", ConfigNode::render(&merged.tree));
        Ok(ExitStatus::Done.into())
    }
}
