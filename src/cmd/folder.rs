//! Reading a folder of configuration.

use crate::cmd::ExitStatus;
use anyhow::{Context, Error, Result, bail};
use buckthornwharf_core::config::{ConfigFile, ConfigIssue, MergedConfig, merge_files};
use std::path::{Path, PathBuf};

/// Reads, merges and checks the YAML files of `folder`. Where more than one thing is wrong, all but
/// the first are printed on standard error, a line each.
///
/// # Errors
///
/// [`ExitStatus::BadConfig`] with the first thing that is wrong.
pub fn read_folder(folder: &Path) -> Result<MergedConfig> {
    let files = read_files(folder).context(ExitStatus::BadConfig)?;
    merge_files(&files).map_err(|issues| report_issues(issues).context(ExitStatus::BadConfig))
}

fn report_issues(issues: Vec<ConfigIssue>) -> Error {
    let mut issues = issues.into_iter();
    let first = issues.next().map(Error::new);
    for issue in issues {
        eprintln!("{issue}");
    }
    first.unwrap_or_else(|| Error::msg("the folder can't be merged"))
}

fn read_files(folder: &Path) -> Result<Vec<ConfigFile>> {
    let mut files = Vec::new();
    for path in list_files(folder)? {
        files.push(read_file(&path)?);
    }
    if files.is_empty() {
        bail!("no file that ends in .yaml or .yml in {}", folder.display());
    }
    Ok(files)
}

fn list_files(folder: &Path) -> Result<Vec<PathBuf>> {
    let unread = || format!("can't read folder {}", folder.display());
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder).with_context(unread)? {
        let path = entry.with_context(unread)?.path();
        let is_yaml = path.extension().is_some_and(|end| end == "yaml" || end == "yml");
        if is_yaml && path.is_file() {
            paths.push(path);
        }
    }
    Ok(paths)
}

fn read_file(path: &Path) -> Result<ConfigFile> {
    let unread = || format!("can't read {}", path.display());
    let text = std::fs::read_to_string(path).with_context(unread)?;
    let name = path.file_name().with_context(unread)?.to_string_lossy();
    Ok(ConfigFile { name: name.as_ref().into(), text })
}
