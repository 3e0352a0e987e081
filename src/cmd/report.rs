//! `buckthornwharf report`.

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

const BURN_DEADLINE: Duration = Duration::from_secs(2);
const MAX_BURN_BYTES: usize = 8 * 1024 * 1024;
const READS_AT_ONCE: usize = 32;

/// Reports service-level burn.
#[derive(Debug, Clone, Bpaf)]
pub struct ReportCommand {
    /// Address of the platform's list of hosts
    #[bpaf(argument("ADDR"))]
    pub hosts: SocketAddr,
    /// Print JSON instead of a table
    pub json: bool,
    /// Where the objectives come from.
    #[bpaf(external(objective_source))]
    pub source: ObjectiveSource,
}

/// Where the objectives come from.
#[derive(Debug, Clone, Bpaf)]
pub enum ObjectiveSource {
    /// A folder.
    Config {
        /// Folder of YAML files that holds the objectives
        #[bpaf(argument("FOLDER"))]
        config: PathBuf,
    },
    /// The configuration in force.
    Kv {
        /// Address of the platform's key-value service, for the objectives in force
        #[bpaf(argument("ADDR"))]
        kv: SocketAddr,
    },
}

/// The burn of a fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetReport {
    /// Number of processes that were read.
    pub processes: u64,
    /// Processes that could not be read.
    pub unreachable: Vec<UnreachableProcess>,
    /// The burn.
    pub burn: BurnReport,
}

/// A process that could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreachableProcess {
    /// Its host.
    pub host: HostName,
    /// Its site.
    pub site: SiteName,
    /// Why.
    pub error: String,
}

impl ReportCommand {
    /// Reads the processes and prints the report. It ends with [`ExitStatus::PageDue`] if a page is
    /// due, else with [`ExitStatus::Incomplete`] if a process could not be read.
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
            ObjectiveSource::Kv { kv } => read_in_force(*kv).await,
        }
    }
}

async fn read_in_force(kv: SocketAddr) -> Result<SortedTable<ServiceName, ObjectiveConfig>> {
    let row = KvClient::new(kv).get(CONFIG_KEY).await.context(ExitStatus::PlatformDown)?;
    let row = row.context("no configuration was accepted yet").context(ExitStatus::BadConfig)?;
    let record = ConfigRecord::decode(&row.value).context(ExitStatus::BadConfig)?;
    Ok(record.document.objectives)
}

async fn read_fleet(
    records: Vec<HostRecord>,
    objectives: &SortedTable<ServiceName, ObjectiveConfig>,
) -> FleetReport {
    let mut reads = futures_util::stream::iter(records).map(read_process).buffered(READS_AT_ONCE);
    let mut counts = BurnCounts::default();
    let mut unreachable = Vec::new();
    while let Some((record, answer)) = reads.next().await {
        match answer {
            Ok(found) => counts.merge(found),
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
        timeout: BURN_DEADLINE,
        max_response_bytes: MAX_BURN_BYTES,
    };
    let answer = call.send().await?;
    if answer.status != StatusCode::OK {
        bail!("status {}", answer.status);
    }
    Ok(serde_json::from_slice(&answer.body)?)
}

impl FleetReport {
    /// The exit code that goes with the report.
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
