//! Reads the memory and processor time of a process from `/proc`.

use anyhow::{Context, Result};
use std::fs::read_to_string;
use std::time::Duration;

/// Unit of the times in `/proc/PID/stat` (`USER_HZ` = 100).
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Number of fields between the program's name and its user time in `/proc/PID/stat`.
const FIELDS_BEFORE_CPU_TIMES: usize = 11;

/// Memory and processor time of a process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    /// Resident memory (RSS) in KiB.
    pub rss_kib: u64,
    /// User and system time since the process started.
    pub cpu: Duration,
}

impl ProcessUsage {
    /// Reads the usage of the process with the ID `id`.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended or its files in `/proc` can't be parsed.
    pub fn read(id: u32) -> Result<Self> {
        let status = read_to_string(format!("/proc/{id}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let rss = line
            .and_then(|line| line.split_whitespace().next())
            .context("no VmRSS in /proc/PID/status")?;
        Ok(Self { rss_kib: rss.parse()?, cpu: cpu_time(id)? })
    }
}

fn cpu_time(id: u32) -> Result<Duration> {
    let stat = read_to_string(format!("/proc/{id}/stat"))?;
    let (_, fields) = stat.rsplit_once(") ").context("no program name in /proc/PID/stat")?;
    let tick_fields = fields.split_whitespace().skip(FIELDS_BEFORE_CPU_TIMES).take(2);
    let ticks: Result<Vec<u32>, _> = tick_fields.map(str::parse::<u32>).collect();
    Ok(CLOCK_TICK * ticks?.into_iter().sum::<u32>())
}
