//! Reads a folder of configuration files.

use crate::cmd::ExitStatus;
use anyhow::{Context, Error, Result, bail};
use buckthornwharf_core::config::{ConfigFile, ConfigIssue, MergedConfig, merge_files};
use std::path::{Path, PathBuf};

/// Reads, merges and validates the YAML files in `folder`. The first problem found is returned as the
/// error; further ones are printed to standard error, one per line.
///
/// # Errors
///
/// [`ExitStatus::BadConfig`] with the first problem found.
pub fn read_folder(folder: &Path) -> Result<MergedConfig> {
    let files = read_files(folder).context(ExitStatus::BadConfig)?;
    merge_files(&files).map_err(|issues| print_issues(issues).context(ExitStatus::BadConfig))
}

fn print_issues(issues: Vec<ConfigIssue>) -> Error {
    let mut issues = issues.into_iter();
    let first = issues.next().map(Error::new);
    for issue in issues {
        eprintln!("{issue}");
    }
    first.unwrap_or_else(|| Error::msg("configuration files can't be merged"))
}

fn read_files(folder: &Path) -> Result<Vec<ConfigFile>> {
    let mut files = Vec::new();
    for path in list_files(folder)? {
        files.push(read_file(&path)?);
    }
    if files.is_empty() {
        bail!("no .yaml or .yml file in {}", folder.display());
    }
    Ok(files)
}

fn list_files(folder: &Path) -> Result<Vec<PathBuf>> {
    let describe_failure = || format!("can't read folder {}", folder.display());
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder).with_context(describe_failure)? {
        let path = entry.with_context(describe_failure)?.path();
        let has_yaml_extension =
            path.extension().is_some_and(|extension| extension == "yaml" || extension == "yml");
        if has_yaml_extension && path.is_file() {
            paths.push(path);
        }
    }
    Ok(paths)
}

fn read_file(path: &Path) -> Result<ConfigFile> {
    let describe_failure = || format!("can't read {}", path.display());
    let text = std::fs::read_to_string(path).with_context(describe_failure)?;
    let name = path.file_name().with_context(describe_failure)?.to_string_lossy();
    Ok(ConfigFile { name: name.as_ref().into(), text })
}
