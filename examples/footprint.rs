//! Measures the memory, processor time and link traffic of an idle entry and an idle agent for
//! several numbers of links. This process simulates the peers of the links.
//!
//! `cargo build --release --workspace && cargo run --release --example footprint`

#[path = "footprint/peers.rs"]
mod peers;
#[path = "footprint/usage.rs"]
mod usage;

use anyhow::{Context, Result};
use buckthornwharf_core::membership::HostRecord;
use buckthornwharf_core::prelude::*;
use buckthornwharf_standin::fleet::{
    AgentPlan, FleetProcess, FleetSystem, PLAIN_SERVICE, SAMPLE_SITES, sample_config, wait_until,
};
use peers::{PeerTraffic, start_agents, start_entries};
use std::path::{Path, PathBuf};
use tokio::time::sleep;
use usage::ProcessUsage;

const ENTRY_LINK_COUNTS: [usize; 3] = [0, 16, 32];
const AGENT_LINK_COUNTS: [usize; 3] = [0, 16, 128];
/// Longest time until all links are open.
const LINKS_OPEN_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between the opening of the links and the measurement, in which start-up work ends.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Length of the measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);

fn main() -> Result<()> {
    actix_rt::System::new().block_on(measure_all())
}

async fn measure_all() -> Result<()> {
    println!("role links rss_kib core_percent in_bytes_per_s out_bytes_per_s out_frames_per_s");
    for links in ENTRY_LINK_COUNTS {
        measure_entry(links).await?;
    }
    for links in AGENT_LINK_COUNTS {
        measure_agent(links).await?;
    }
    Ok(())
}

async fn start_system() -> Result<FleetSystem> {
    let system = FleetSystem::start(&product_path()?).await?;
    system.apply(&sample_config(VersionDigest::from_bytes([7; 32]))).await?;
    Ok(system)
}

async fn measure_entry(links: usize) -> Result<()> {
    let system = start_system().await?;
    let traffic = PeerTraffic::default();
    for record in start_agents(links, &traffic).await? {
        system.set_host(&record).await?;
    }
    let entry = system.start_entry("entry-1", SAMPLE_SITES[0]).await?;
    wait_links_open(&system, &entry.record, links).await?;
    measure_and_print_usage("entry", links, &entry.process, &traffic).await
}

async fn measure_agent(links: usize) -> Result<()> {
    let system = start_system().await?;
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
    let traffic = PeerTraffic::default();
    let address = agent.record.link.context("the agent has no link address")?;
    start_entries(links, address, &traffic).await?;
    wait_links_open(&system, &agent.record, links).await?;
    measure_and_print_usage("agent", links, &agent.process, &traffic).await
}

async fn wait_links_open(system: &FleetSystem, host: &HostRecord, links: usize) -> Result<()> {
    let metric_line = format!("buckthornwharf_links_open {links}\n");
    let are_open = async || {
        let reply = system.client.get(host.admin, "/metrics").await;
        reply.is_ok_and(|reply| reply.text().contains(&metric_line))
    };
    wait_until("the links are open", LINKS_OPEN_TIMEOUT, are_open).await
}

async fn measure_and_print_usage(
    role: &str,
    links: usize,
    process: &FleetProcess,
    traffic: &PeerTraffic,
) -> Result<()> {
    sleep(SETTLE_TIME).await;
    let before = ProcessUsage::read(process.id())?;
    let (sent_before, received_before) = (traffic.sent(), traffic.received());
    sleep(MEASUREMENT_TIME).await;
    let after = ProcessUsage::read(process.id())?;
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    let cpu_cores = (after.cpu - before.cpu).as_secs_f64() / seconds;
    let bytes_in_per_s = (traffic.sent().bytes - sent_before.bytes) as f64 / seconds;
    let bytes_out_per_s = (traffic.received().bytes - received_before.bytes) as f64 / seconds;
    let frames_out_per_s = (traffic.received().frames - received_before.frames) as f64 / seconds;
    println!(
        "{role} {links} {} {:.2} {bytes_in_per_s:.0} {bytes_out_per_s:.0} {frames_out_per_s:.1}",
        after.rss_kib,
        cpu_cores * 100.0
    );
    Ok(())
}

fn product_path() -> Result<PathBuf> {
    let example = std::env::current_exe()?;
    let folder = example
        .parent()
        .and_then(Path::parent)
        .context("the path of this example has no parent folder of programs")?;
    Ok(folder.join("buckthornwharf"))
}
