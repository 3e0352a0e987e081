//! One process of a fleet.

use super::wait::{POLL_INTERVAL, wait_until};
use anyhow::{Context, Result, bail};
use buckthornwharf_core::prelude::*;
use rustix::process::{Pid, Signal, kill_process};
use std::ffi::OsStr;
use std::fs::{File, read_to_string};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use tokio::time::{Instant, sleep};

/// How long a process may take until it prints its `ready` line.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// The name of a stand-in's only address.
const ONLY_ADDRESS: &str = "http";

/// A process that is killed when this is dropped.
#[derive(Debug)]
pub struct FleetProcess {
    name: String,
    child: Child,
    stdout: PathBuf,
    stderr: PathBuf,
}

/// The addresses in the `ready` line of a process, by name.
pub type ReadyAddresses = SortedTable<String, SocketAddr>;

impl FleetProcess {
    /// Starts `program`; its output goes to files in `folder` that are named after `name`.
    ///
    /// # Errors
    ///
    /// Fails where the program or the files can't be opened.
    pub fn spawn<A: AsRef<OsStr>>(
        name: &str,
        program: &Path,
        arguments: &[A],
        folder: &Path,
    ) -> Result<Self> {
        let (stdout, stderr) =
            (folder.join(format!("{name}.out")), folder.join(format!("{name}.log")));
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(File::create(&stdout)?)
            .stderr(File::create(&stderr)?)
            .spawn()
            .with_context(|| format!("can't start {}", program.display()))?;
        Ok(Self { name: name.to_owned(), child, stdout, stderr })
    }

    /// Waits for the `ready` line and returns its addresses.
    ///
    /// # Errors
    ///
    /// Fails with the log of the process where the line does not come.
    pub async fn wait_ready(&mut self) -> Result<ReadyAddresses> {
        let end = Instant::now() + READY_LIMIT;
        loop {
            if let Some(addresses) = parse_ready(&self.stdout()) {
                return Ok(addresses);
            }
            if self.child.try_wait()?.is_some() || Instant::now() >= end {
                bail!("{} is not ready; its log: {}", self.name, self.log());
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// The name that the process was given.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What the process wrote to its standard output.
    pub fn stdout(&self) -> String {
        read_to_string(&self.stdout).unwrap_or_default()
    }

    /// What the process wrote to its standard error.
    pub fn log(&self) -> String {
        read_to_string(&self.stderr).unwrap_or_default()
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Asks the process to stop (SIGTERM).
    ///
    /// # Errors
    ///
    /// Fails where the process has ended.
    pub fn terminate(&mut self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Ends the process at once (SIGKILL).
    ///
    /// # Errors
    ///
    /// Fails where the process has ended.
    pub fn kill(&mut self) -> Result<()> {
        self.signal(Signal::KILL)
    }

    /// Stops the process in its tracks (SIGSTOP), as a long pause of the machine does.
    ///
    /// # Errors
    ///
    /// Fails where the process has ended.
    pub fn suspend(&mut self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a frozen process go on (SIGCONT).
    ///
    /// # Errors
    ///
    /// Fails where the process has ended.
    pub fn resume(&mut self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails with the log of the process where it does not end within `limit`.
    pub async fn wait_exit(&mut self, limit: Duration) -> Result<ExitStatus> {
        let what = format!("the end of {}", self.name);
        let child = &mut self.child;
        let ended = wait_until(&what, limit, async || !matches!(child.try_wait(), Ok(None))).await;
        ended.with_context(|| format!("its log: {}", self.log()))?;
        Ok(self.child.wait()?)
    }

    /// Signals the process, which can't have been replaced by another one of the same id: it has
    /// not been waited for.
    fn signal(&mut self, signal: Signal) -> Result<()> {
        if !self.is_running() {
            bail!("{} has ended", self.name);
        }
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The addresses in the first whole `ready` line of `stdout`.
fn parse_ready(stdout: &str) -> Option<ReadyAddresses> {
    let (lines, _) = stdout.rsplit_once('\n')?;
    let line = lines.lines().find_map(|line| line.strip_prefix("ready "))?;
    line.split_whitespace().skip(1).map(parse_address).collect()
}

fn parse_address(word: &str) -> Option<(String, SocketAddr)> {
    let (name, address) = word.split_once('=').unwrap_or((ONLY_ADDRESS, word));
    Some((name.to_owned(), address.parse().ok()?))
}
