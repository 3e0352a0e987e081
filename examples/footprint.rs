//! What an idle entry and an idle agent take for each link: memory, processor time and bytes of
//! frames. The other ends of the links are played here.
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

const LINK_COUNTS: [usize; 3] = [0, 16, 32];
const AGENT_LINK_COUNTS: [usize; 3] = [0, 16, 128];
const LIMIT: Duration = Duration::from_secs(60);
/// Time that the processes get to come to rest.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const MEASURED_TIME: Duration = Duration::from_secs(10);

fn main() -> Result<()> {
    actix_rt::System::new().block_on(measure_all())
}

async fn measure_all() -> Result<()> {
    println!("role links rss_kib core_percent in_bytes_per_s out_bytes_per_s out_frames_per_s");
    for links in LINK_COUNTS {
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
    wait_links(&system, &entry.record, links).await?;
    print_usage("entry", links, &entry.process, &traffic).await
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
    let address = agent.record.link.context("no link address")?;
    start_entries(links, address, &traffic).await?;
    wait_links(&system, &agent.record, links).await?;
    print_usage("agent", links, &agent.process, &traffic).await
}

async fn wait_links(system: &FleetSystem, host: &HostRecord, links: usize) -> Result<()> {
    let line = format!("buckthornwharf_links_open {links}\n");
    let are_open = async || {
        let reply = system.client.get(host.admin, "/metrics").await;
        reply.is_ok_and(|reply| reply.text().contains(&line))
    };
    wait_until("the links are open", LIMIT, are_open).await
}

async fn print_usage(
    role: &str,
    links: usize,
    process: &FleetProcess,
    traffic: &PeerTraffic,
) -> Result<()> {
    sleep(SETTLE_TIME).await;
    let before = ProcessUsage::read(process.id())?;
    let (sent, received) = (traffic.sent(), traffic.received());
    sleep(MEASURED_TIME).await;
    let after = ProcessUsage::read(process.id())?;
    let seconds = MEASURED_TIME.as_secs_f64();
    let share = (after.cpu - before.cpu).as_secs_f64() / seconds;
    let bytes_in = (traffic.sent().bytes - sent.bytes) as f64 / seconds;
    let bytes_out = (traffic.received().bytes - received.bytes) as f64 / seconds;
    let frames_out = (traffic.received().frames - received.frames) as f64 / seconds;
    println!(
        "{role} {links} {} {:.2} {bytes_in:.0} {bytes_out:.0} {frames_out:.1}",
        after.rss_kib,
        share * 100.0
    );
    Ok(())
}

fn product_path() -> Result<PathBuf> {
    let example = std::env::current_exe()?;
    let folder = example.parent().and_then(Path::parent).context("no folder of programs")?;
    Ok(folder.join("buckthornwharf"))
}
