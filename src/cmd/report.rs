//! `buckthornwharf report`: reports the error budget burn of the fleet.

mod table;

use crate::cmd::ExitStatus;
use crate::cmd::folder::read_folder;
use crate::platform::hosts::HostsClient;
use crate::platform::http::HttpCall;
use crate::platform::kv::KvClient;
use anyhow::{Context, Result, bail};
use awc::http::{Method, StatusCode};
use bpaf::Bpaf;
use buckthornwharf_core::burn::{BurnCounts, BurnReport, evaluate};
use buckthornwharf_core::config::{CONFIG_KEY, ConfigRecord, ObjectiveConfig};
use buckthornwharf_core::membership::HostRecord;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use futures_util::StreamExt;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

const BURN_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_BURN_BYTES: usize = 8 * 1024 * 1024;
const MAX_CONCURRENT_READS: usize = 32;

/// Reports the error budget burn of each service-level objective.
#[derive(Debug, Clone, Bpaf)]
pub struct ReportCommand {
    /// Address of the platform's list of hosts
    #[bpaf(argument("ADDR"))]
    pub hosts: SocketAddr,
    /// Print JSON instead of a table
    pub json: bool,
    /// Source of the objectives.
    #[bpaf(external(objective_source))]
    pub source: ObjectiveSource,
}

/// Source of the objectives.
#[derive(Debug, Clone, Bpaf)]
pub enum ObjectiveSource {
    /// A folder of configuration files.
    Config {
        /// Folder of YAML files with the objectives
        #[bpaf(argument("FOLDER"))]
        config: PathBuf,
    },
    /// The active configuration.
    Kv {
        /// Address of the platform's key-value service, to use the active objectives
        #[bpaf(argument("ADDR"))]
        kv: SocketAddr,
    },
}

/// Error budget burn of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetReport {
    /// Number of processes that were read.
    pub processes: u64,
    /// Processes that could not be read.
    pub unreachable: Vec<UnreachableProcess>,
    /// Burn rates and remaining budgets.
    pub burn: BurnReport,
}

/// A process whose burn counts could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreachableProcess {
    /// The host of the process.
    pub host: HostName,
    /// The site of the host.
    pub site: SiteName,
    /// The error of the read.
    pub error: String,
}

impl ReportCommand {
    /// Reads the burn counts of all processes and prints the report. The exit status is
    /// [`ExitStatus::PageDue`] if a page is due, otherwise [`ExitStatus::Incomplete`] if a process
    /// could not be read.
    ///
    /// # Errors
    ///
    /// The objectives or the list of hosts could not be read.
    pub fn run(self) -> Result<ExitCode> {
        actix_rt::System::new().block_on(self.report())
    }

    async fn report(self) -> Result<ExitCode> {
        let objectives = self.source.read().await?;
        let records = HostsClient::new(self.hosts).list().await;
        let records = records.context(ExitStatus::PlatformDown)?;
        let report = read_fleet(records, &objectives).await;
        if self.json {
            println!("{}", serde_json::to_string_pretty(&report)?);
        } else {
            print!("{}", table::render_report(&report));
        }
        Ok(report.status().into())
    }
}

impl ObjectiveSource {
    async fn read(&self) -> Result<SortedTable<ServiceName, ObjectiveConfig>> {
        match self {
            ObjectiveSource::Config { config } => Ok(read_folder(config)?.document.objectives),
            ObjectiveSource::Kv { kv } => read_active_objectives(*kv).await,
        }
    }
}

async fn read_active_objectives(
    kv: SocketAddr,
) -> Result<SortedTable<ServiceName, ObjectiveConfig>> {
    let row = KvClient::new(kv).get(CONFIG_KEY).await.context(ExitStatus::PlatformDown)?;
    let row = row
        .context("the key-value service has no configuration yet")
        .context(ExitStatus::BadConfig)?;
    let record = ConfigRecord::decode(&row.value).context(ExitStatus::BadConfig)?;
    Ok(record.document.objectives)
}

async fn read_fleet(
    records: Vec<HostRecord>,
    objectives: &SortedTable<ServiceName, ObjectiveConfig>,
) -> FleetReport {
    let mut reads =
        futures_util::stream::iter(records).map(read_process).buffered(MAX_CONCURRENT_READS);
    let mut counts = BurnCounts::default();
    let mut unreachable = Vec::new();
    while let Some((record, answer)) = reads.next().await {
        match answer {
            Ok(process_counts) => counts.merge(process_counts),
            Err(error) => unreachable.push(UnreachableProcess {
                host: record.name,
                site: record.site,
                error: format!("{error:#}"),
            }),
        }
    }
    let burn = evaluate(&counts, objectives);
    FleetReport { processes: counts.processes, unreachable, burn }
}

async fn read_process(record: HostRecord) -> (HostRecord, Result<BurnCounts>) {
    let answer = read_burn(record.admin).await;
    (record, answer)
}

async fn read_burn(admin: SocketAddr) -> Result<BurnCounts> {
    let call = HttpCall {
        method: Method::GET,
        url: format!("http://{admin}/burn"),
        body: Bytes::new(),
        if_none_match: None,
        timeout: BURN_TIMEOUT,
        max_response_bytes: MAX_BURN_BYTES,
    };
    let answer = call.send().await?;
    if answer.status != StatusCode::OK {
        bail!("GET /burn returned status {}", answer.status);
    }
    Ok(serde_json::from_slice(&answer.body)?)
}

impl FleetReport {
    /// Returns the exit status for the report.
    pub fn status(&self) -> ExitStatus {
        if self.burn.page_due {
            ExitStatus::PageDue
        } else if self.unreachable.is_empty() {
            ExitStatus::Done
        } else {
            ExitStatus::Incomplete
        }
    }
}
