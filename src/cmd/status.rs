//! `buckthornwharf status`: shows the active configuration generation of each process and site.

use crate::admin::ProcessStatus;
use crate::cmd::ExitStatus;
use crate::platform::hosts::HostsClient;
use crate::platform::http::{HttpCall, HttpError};
use anyhow::{Context, Result};
use awc::http::Method;
use bpaf::Bpaf;
use buckthornwharf_core::membership::HostRecord;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use futures_util::StreamExt;
use std::net::SocketAddr;
use std::process::ExitCode;

const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_STATUS_BYTES: usize = 64 * 1024;
const MAX_CONCURRENT_READS: usize = 32;

/// Shows the active configuration generation of each process.
#[derive(Debug, Clone, Bpaf)]
pub struct StatusCommand {
    /// Address of the platform's list of hosts
    #[bpaf(argument("ADDR"))]
    pub hosts: SocketAddr,
}

/// A record of the list of hosts with the status that its process returned, or the error.
struct StatusRow {
    record: HostRecord,
    answer: Result<ProcessStatus, String>,
}

impl StatusCommand {
    /// Prints one line for each process, then one for each site.
    ///
    /// # Errors
    ///
    /// The list of hosts could not be read.
    pub fn run(self) -> Result<ExitCode> {
        actix_rt::System::new().block_on(self.show())
    }

    async fn show(self) -> Result<ExitCode> {
        let client = HostsClient::new(self.hosts);
        let records = client.list().await.context(ExitStatus::PlatformDown)?;
        let reads = futures_util::stream::iter(records).map(read_status);
        let rows: Vec<StatusRow> = reads.buffered(MAX_CONCURRENT_READS).collect().await;
        print_processes(&rows);
        print_sites(&rows);
        let is_complete = rows.iter().all(|row| row.answer.is_ok());
        let status = if is_complete { ExitStatus::Done } else { ExitStatus::Incomplete };
        Ok(status.into())
    }
}

async fn read_status(record: HostRecord) -> StatusRow {
    let call = HttpCall {
        method: Method::GET,
        url: format!("http://{}/status", record.admin),
        body: Bytes::new(),
        if_none_match: None,
        timeout: STATUS_TIMEOUT,
        max_response_bytes: MAX_STATUS_BYTES,
    };
    let answer = call.send().await;
    StatusRow { record, answer: parse_status(answer.map(|answer| answer.body)) }
}

fn parse_status(body: Result<Bytes, HttpError>) -> Result<ProcessStatus, String> {
    let body = body.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

fn print_processes(rows: &[StatusRow]) {
    println!(
        "{:<24} {:<14} {:<6} {:>10} {:<8} serving",
        "host", "site", "role", "generation", "phase"
    );
    for row in rows {
        match &row.answer {
            Ok(status) => print_process(status),
            Err(error) => println!("{:<24} {:<14} {error}", row.record.name, row.record.site),
        }
    }
}

fn print_process(status: &ProcessStatus) {
    let generation = status.generation.map_or("-".to_owned(), |generation| generation.to_string());
    let serving = status.serving.map_or("-".to_owned(), |digest| digest.to_string());
    println!(
        "{:<24} {:<14} {:<6} {generation:>10} {:<8} {serving}",
        status.host, status.site, status.role, status.phase
    );
}

fn print_sites(rows: &[StatusRow]) {
    let mut sites: SortedTable<SiteName, SiteGenerations> = SortedTable::new();
    for row in rows {
        let site = sites.get_or_insert_with(row.record.site.clone(), SiteGenerations::default);
        site.add(row);
    }
    for (name, site) in sites.iter() {
        println!("{}", site.render(name));
    }
}

/// Range of the active generations of one site's processes.
#[derive(Default)]
struct SiteGenerations {
    processes: usize,
    unreachable: usize,
    lowest: Option<ConfigGeneration>,
    highest: Option<ConfigGeneration>,
}

impl SiteGenerations {
    fn add(&mut self, row: &StatusRow) {
        self.processes += 1;
        let Ok(status) = &row.answer else {
            self.unreachable += 1;
            return;
        };
        let generation = status.generation.unwrap_or_default();
        self.lowest = Some(self.lowest.map_or(generation, |lowest| lowest.min(generation)));
        self.highest = self.highest.max(Some(generation));
    }

    fn render(&self, name: &SiteName) -> String {
        let lowest = self.lowest.unwrap_or_default();
        let highest = self.highest.unwrap_or_default();
        let range =
            if lowest == highest { highest.to_string() } else { format!("{lowest}..{highest}") };
        format!(
            "site {name}: generation {range}, {} processes, {} silent",
            self.processes, self.unreachable
        )
    }
}
