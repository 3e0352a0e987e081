//! What the operating system says of a process.

use anyhow::{Context, Result};
use std::fs::read_to_string;
use std::time::Duration;

/// Length of a clock tick of `/proc`.
const TICK: Duration = Duration::from_millis(10);
/// Fields between the name of the program and its user time in `/proc/PID/stat`.
const FIELDS_BEFORE_TIMES: usize = 11;

/// Memory and processor time of a process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    /// Resident memory in KiB.
    pub rss_kib: u64,
    /// Processor time since the start.
    pub cpu: Duration,
}

impl ProcessUsage {
    /// Reads the usage of the process `id`.
    ///
    /// # Errors
    ///
    /// Fails where the process has ended.
    pub fn read(id: u32) -> Result<Self> {
        let status = read_to_string(format!("/proc/{id}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let rss = line.and_then(|line| line.split_whitespace().next()).context("no VmRSS")?;
        Ok(Self { rss_kib: rss.parse()?, cpu: cpu_time(id)? })
    }
}

fn cpu_time(id: u32) -> Result<Duration> {
    let stat = read_to_string(format!("/proc/{id}/stat"))?;
    let (_, fields) = stat.rsplit_once(") ").context("no name in stat")?;
    let times = fields.split_whitespace().skip(FIELDS_BEFORE_TIMES).take(2);
    let ticks: Result<Vec<u32>, _> = times.map(str::parse::<u32>).collect();
    Ok(TICK * ticks?.into_iter().sum::<u32>())
}
