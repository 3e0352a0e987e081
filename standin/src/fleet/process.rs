//! Starts, signals and stops one process of a fleet, and reads its output.

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

/// Longest time from the start of a process to its `ready` line.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// The name given to an address that the `ready` line prints without one, as stand-ins with a
/// single address do.
const DEFAULT_ADDRESS_NAME: &str = "http";

/// A child process, killed on drop.
#[derive(Debug)]
pub struct FleetProcess {
    name: String,
    child: Child,
    stdout_path: PathBuf,
    stderr_path: PathBuf,
}

/// The addresses in the `ready` line of a process, by name.
pub type ReadyAddresses = SortedTable<String, SocketAddr>;

impl FleetProcess {
    /// Starts `program`. Its standard output goes to `name.out` and its standard error to
    /// `name.log` in `folder`.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started or the files can't be created.
    pub fn spawn<A: AsRef<OsStr>>(
        name: &str,
        program: &Path,
        arguments: &[A],
        folder: &Path,
    ) -> Result<Self> {
        let (stdout_path, stderr_path) =
            (folder.join(format!("{name}.out")), folder.join(format!("{name}.log")));
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(File::create(&stdout_path)?)
            .stderr(File::create(&stderr_path)?)
            .spawn()
            .with_context(|| format!("can't start {}", program.display()))?;
        Ok(Self { name: name.to_owned(), child, stdout_path, stderr_path })
    }

    /// Waits for the `ready` line and returns its addresses.
    ///
    /// # Errors
    ///
    /// Fails with the log of the process if it ends or times out before it prints the line.
    pub async fn wait_ready(&mut self) -> Result<ReadyAddresses> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            if let Some(addresses) = parse_ready(&self.stdout()) {
                return Ok(addresses);
            }
            if self.child.try_wait()?.is_some() || Instant::now() >= deadline {
                bail!(
                    "{} ended or timed out before its ready line; its log: {}",
                    self.name,
                    self.log()
                );
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// The name that was passed to [`FleetProcess::spawn`].
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The standard output so far; empty if it can't be read.
    pub fn stdout(&self) -> String {
        read_to_string(&self.stdout_path).unwrap_or_default()
    }

    /// The standard error so far; empty if it can't be read.
    pub fn log(&self) -> String {
        read_to_string(&self.stderr_path).unwrap_or_default()
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Requests a graceful shutdown (SIGTERM).
    ///
    /// # Errors
    ///
    /// Fails if the process has already ended.
    pub fn terminate(&mut self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Kills the process without a shutdown (SIGKILL).
    ///
    /// # Errors
    ///
    /// Fails if the process has already ended.
    pub fn kill(&mut self) -> Result<()> {
        self.signal(Signal::KILL)
    }

    /// Suspends the process (SIGSTOP) to simulate a long pause of its host.
    ///
    /// # Errors
    ///
    /// Fails if the process has already ended.
    pub fn suspend(&mut self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a suspended process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Fails if the process has already ended.
    pub fn resume(&mut self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits until the process ends and returns its exit status.
    ///
    /// # Errors
    ///
    /// Fails with the log of the process if it does not end within `time_limit`.
    pub async fn wait_exit(&mut self, time_limit: Duration) -> Result<ExitStatus> {
        let description = format!("{} ends", self.name);
        let child = &mut self.child;
        let ended =
            wait_until(&description, time_limit, async || !matches!(child.try_wait(), Ok(None)))
                .await;
        ended.with_context(|| format!("its log: {}", self.log()))?;
        Ok(self.child.wait()?)
    }

    /// Sends a signal. The process ID can't have been reused by another process, because the exit
    /// status of a running child has not been collected.
    fn signal(&mut self, signal: Signal) -> Result<()> {
        if let Some(status) = self.child.try_wait()? {
            bail!(
                "can't signal {}: the process has ended with {status}; its log: {}{}",
                self.name,
                self.stdout(),
                self.log()
            );
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

/// The addresses in the first `ready` line of `stdout` that is terminated by a newline.
fn parse_ready(stdout: &str) -> Option<ReadyAddresses> {
    let (complete_lines, _) = stdout.rsplit_once('\n')?;
    let line = complete_lines.lines().find_map(|line| line.strip_prefix("ready "))?;
    line.split_whitespace().skip(1).map(parse_address).collect()
}

fn parse_address(word: &str) -> Option<(String, SocketAddr)> {
    let (name, address) = word.split_once('=').unwrap_or((DEFAULT_ADDRESS_NAME, word));
    Some((name.to_owned(), address.parse().ok()?))
}
