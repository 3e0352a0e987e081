//! `buckthornwharf report` against real processes: its output and exit code for a healthy service,
//! a failing one and unreachable processes.

use anyhow::{Context, Result, ensure};
use awc::http::Method;
use buckthornwharf::cmd::report::FleetReport;
use buckthornwharf_core::burn::{BurnRow, BurnWindow, ObjectiveKind};
use buckthornwharf_core::prelude::*;
use buckthornwharf_standin::fleet::{
    AgentNode, AgentPlan, CommandOutput, ConfigFile, EntryNode, FleetSystem, ORGANISATION_KEY,
    PLAIN_SERVICE, SAMPLE_SITES, StandinProcess, sample_config, wait_until,
};
use serde_json::{Value, json};
use std::path::Path;

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const REQUESTS: u64 = 20;
// Exit codes of `report`.
const DONE: Option<i32> = Some(0);
const BAD_CONFIG: Option<i32> = Some(3);
const PLATFORM_DOWN: Option<i32> = Some(5);
const INCOMPLETE: Option<i32> = Some(8);
const PAGE_DUE: Option<i32> = Some(9);

/// A plain service at one site with an entry at the other.
struct PlainFleet {
    system: FleetSystem,
    plain: StandinProcess,
    agent: AgentNode,
    entry: EntryNode,
}

fn objectives() -> ConfigFile {
    let text = format!("objectives: {{{PLAIN_SERVICE}: {{availability: 0.99}}}}\n");
    ConfigFile { name: "60-objectives.yaml".to_owned(), text }
}

impl PlainFleet {
    /// Starts the fleet. The objectives are applied only once the service is reachable, so that
    /// failures during the start are not counted.
    async fn start() -> Result<Self> {
        let system = FleetSystem::start(Path::new(env!("CARGO_BIN_EXE_buckthornwharf"))).await?;
        let entry = system.start_entry("entry-1", SAMPLE_SITES[1]).await?;
        let plain = system.start_plain("plain").await?;
        let plan = AgentPlan {
            host: "agent-plain".into(),
            site: SAMPLE_SITES[0].into(),
            service: PLAIN_SERVICE.into(),
            target: plain.address,
            target_checks_fence: false,
            target_holds: 1,
        };
        let agent = system.start_agent(plan).await?;
        let fleet = Self { system, plain, agent, entry };
        let mut files = sample_config(VersionDigest::from_bytes([7; 32]));
        fleet.system.apply(&files).await?;
        let is_reachable = async || matches!(fleet.send_request(Method::GET, "").await, Ok(200));
        wait_until("the service is reachable", WAIT_TIMEOUT, is_reachable).await?;
        files.push(objectives());
        fleet.system.apply(&files).await?;
        let is_active = async || matches!(fleet.generation().await, Ok(Some(2)));
        wait_until("the objectives are active", WAIT_TIMEOUT, is_active).await?;
        Ok(fleet)
    }

    async fn send_request(&self, method: Method, body: &str) -> Result<u16> {
        let key = format!("Bearer {ORGANISATION_KEY}");
        let headers = [("Authorization", key.as_str())];
        let client = &self.system.client;
        let body = body.to_owned();
        let reply = client.send(method, self.entry.http, "/portal/slots", &headers, body).await?;
        Ok(reply.status)
    }

    async fn generation(&self) -> Result<Option<u64>> {
        let admin = self.entry.record.admin;
        let status: Value = self.system.client.get(admin, "/status").await?.ok()?.json()?;
        Ok(status["generation"].as_u64())
    }

    async fn run_report(&self, options: &[&str]) -> Result<CommandOutput> {
        let (hosts, kv) = (self.system.hosts.address.to_string(), self.system.kv.address);
        let kv = kv.to_string();
        let common = ["report", "--hosts", &hosts, "--kv", &kv];
        self.system.run_command(&[&common, options].concat()).await
    }

    async fn json_report(&self) -> Result<(Option<i32>, FleetReport)> {
        let ended = self.run_report(&["--json"]).await?;
        let report = serde_json::from_str(&ended.stdout).with_context(|| format!("{ended:?}"))?;
        Ok((ended.code, report))
    }
}

/// The availability row of the organisation, or of all organisations together.
fn availability_row(report: &FleetReport, organisation: Option<&str>) -> Result<BurnRow> {
    let found = report.burn.rows.iter().find(|row| {
        row.kind == ObjectiveKind::Availability
            && row.organisation.as_ref().map(OrganisationName::as_str) == organisation
    });
    found.cloned().context("report has no such availability row")
}

fn window_counts(row: &BurnRow) -> Vec<(BurnWindow, u64, u64)> {
    row.windows.iter().map(|burn| (burn.window, burn.events, burn.bad)).collect()
}

fn same_in_all_windows(events: u64, bad: u64) -> Vec<(BurnWindow, u64, u64)> {
    let windows =
        [BurnWindow::FiveMinutes, BurnWindow::HalfHour, BurnWindow::Hour, BurnWindow::SixHours];
    windows.map(|window| (window, events, bad)).to_vec()
}

#[actix_rt::test]
async fn a_healthy_service_raises_no_page_and_unreachable_processes_are_listed() -> Result<()> {
    let mut fleet = PlainFleet::start().await?;
    for _ in 0..REQUESTS {
        ensure!(fleet.send_request(Method::GET, "").await? == 200);
    }
    let (code, report) = fleet.json_report().await?;
    assert_eq!(code, DONE);
    assert_eq!((report.processes, report.unreachable.len()), (2, 0));
    let row = availability_row(&report, None)?;
    assert_eq!(window_counts(&row), same_in_all_windows(REQUESTS, 0));
    assert_eq!((row.budget_left, row.causes.len()), (1.0, 0));
    assert!(report.burn.seen_share.get(&BurnWindow::SixHours).is_some_and(|share| *share < 1.0));
    let table = fleet.run_report(&[]).await?;
    assert_eq!(table.code, DONE);
    assert!(table.stdout.ends_with("no page due\n"), "{}", table.stdout);
    fleet.agent.process.kill()?;
    fleet.agent.process.wait_exit(WAIT_TIMEOUT).await?;
    let (code, report) = fleet.json_report().await?;
    assert_eq!((code, report.processes), (INCOMPLETE, 1));
    let unreachable_hosts: Vec<&str> =
        report.unreachable.iter().map(|row| row.host.as_str()).collect();
    assert_eq!(unreachable_hosts, ["agent-plain"]);
    Ok(())
}

#[actix_rt::test]
async fn a_failing_service_raises_a_page_with_code_and_site() -> Result<()> {
    let fleet = PlainFleet::start().await?;
    fleet.system.client.set_faults(fleet.plain.address, &json!({ "drop": "after" })).await?;
    // Each request has a different body: one that is in flight at several crashes is refused.
    for number in 0..REQUESTS {
        ensure!(fleet.send_request(Method::POST, &format!("book slot {number}")).await? == 502);
    }
    let (code, report) = fleet.json_report().await?;
    assert_eq!(code, PAGE_DUE);
    for organisation in [None, Some("tea-packers")] {
        let row = availability_row(&report, organisation)?;
        assert!(row.page_due);
        assert_eq!(window_counts(&row), same_in_all_windows(REQUESTS, REQUESTS));
        assert!(row.budget_left < 0.0);
        let causes: Vec<_> = row.causes.iter().map(|cause| (cause.code, cause.bad)).collect();
        assert_eq!(causes, [(ResultCode::TargetFailed, REQUESTS)]);
        assert_eq!(row.causes[0].site.as_str(), SAMPLE_SITES[0]);
    }
    let table = fleet.run_report(&[]).await?;
    assert_eq!(table.code, PAGE_DUE);
    let cause = format!("{REQUESTS} bad in 6h: 301 target_failed at {}", SAMPLE_SITES[0]);
    assert!(table.stdout.contains(&cause), "{}", table.stdout);
    assert!(table.stdout.ends_with("\npage due\n"), "{}", table.stdout);
    Ok(())
}

#[actix_rt::test]
async fn objectives_come_from_a_folder_or_the_key_value_service_or_the_command_fails() -> Result<()>
{
    let system = FleetSystem::start(Path::new(env!("CARGO_BIN_EXE_buckthornwharf"))).await?;
    let hosts = system.hosts.address.to_string();
    let kv = system.kv.address.to_string();
    let report = ["report", "--hosts", &hosts];
    let without_config = system.run_command(&[&report[..], &["--kv", &kv]].concat()).await?;
    assert_eq!(without_config.code, BAD_CONFIG, "{without_config:?}");
    let mut files = sample_config(VersionDigest::from_bytes([7; 32]));
    files.push(objectives());
    let folder = system.write_config(&files)?.display().to_string();
    let without_processes =
        system.run_command(&[&report[..], &["--config", &folder]].concat()).await?;
    assert_eq!(without_processes.code, DONE, "{without_processes:?}");
    assert!(without_processes.stdout.starts_with("0 processes read; "));
    system.client.set_faults(system.kv.address, &json!({ "down": "refuse" })).await?;
    let in_outage = system.run_command(&[&report[..], &["--kv", &kv]].concat()).await?;
    assert_eq!(in_outage.code, PLATFORM_DOWN, "{in_outage:?}");
    Ok(())
}
