//! Simulates the distribution of one version to a fleet in virtual time and compares it with a naive
//! distribution in which every host reads from the origin. Prints `name value target` lines.

// core/tests/weights_spread.rs shares the model and uses the faults of single sources.
#[allow(dead_code)]
#[path = "burst/model.rs"]
mod model;

use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::{DistributionPlan, FetchLimits, PlanHost, VersionManifest};
use model::{FleetModel, UNIT_BYTES};
use std::time::Instant;

const CHUNKS: usize = 256;
const CHUNK_UNITS: usize = 256;
const VERSION_BYTES: u64 = CHUNKS as u64 * CHUNK_UNITS as u64 * UNIT_BYTES;
const DISTRIBUTION_TARGET_SECONDS: u64 = 300;
const ORIGIN_COPIES: u64 = 4;
const HOST_COPIES: u64 = 2;
const REGION_PAIR_BYTES_PER_SECOND: u64 = 2_000_000;
const RUN_TIMEOUT: Duration = Duration::from_secs(7_200);
const DEAD_PERCENT: usize = 5;

/// Fault injected into a run.
#[derive(Clone, Copy, PartialEq)]
enum BurstFault {
    None,
    DeadHosts,
    CutStorePair,
    CutRemotePair,
}

impl BurstFault {
    const ALL: [Self; 4] = [Self::None, Self::DeadHosts, Self::CutStorePair, Self::CutRemotePair];

    fn name(self) -> &'static str {
        match self {
            Self::None => "whole",
            Self::DeadHosts => "dead",
            Self::CutStorePair => "cut_store",
            Self::CutRemotePair => "cut_remote",
        }
    }
}

fn limits() -> FetchLimits {
    let copies = |count: u64| count * VERSION_BYTES / DISTRIBUTION_TARGET_SECONDS / UNIT_BYTES;
    FetchLimits::new(
        copies(ORIGIN_COPIES),
        copies(HOST_COPIES),
        REGION_PAIR_BYTES_PER_SECOND / UNIT_BYTES,
    )
}

fn plan_hosts(hosts: usize, regions: usize) -> Vec<PlanHost> {
    let plan_host = |index: usize| PlanHost {
        name: HostName::from(format!("host-{index:04}")),
        region: RegionName::from(format!("region-{}", index % regions)),
    };
    (0..hosts).map(plan_host).collect()
}

/// Lower bound of the distribution time in seconds, given by the link rates alone.
fn link_bound_seconds(regions: usize) -> f64 {
    let limits = limits();
    let copy_units = (CHUNKS * CHUNK_UNITS) as f64;
    let pairs = (regions - 1) as f64 * limits.region_pair_bytes_per_second as f64;
    let origin = copy_units / limits.origin_bytes_per_second as f64;
    let host = copy_units / limits.host_bytes_per_second as f64;
    origin.max(host).max(copy_units / pairs)
}

/// Seconds that the distribution takes if every host reads from the origin, all at an equal rate.
fn naive_seconds(hosts: usize, regions: usize) -> f64 {
    let limits = limits();
    let copy_units = (CHUNKS * CHUNK_UNITS) as f64;
    let largest = hosts.div_ceil(regions) as f64;
    let origin = hosts as f64 * copy_units / limits.origin_bytes_per_second as f64;
    origin.max(largest * copy_units / limits.region_pair_bytes_per_second as f64)
}

fn inject_fault(model: &mut FleetModel, fault: BurstFault) {
    match fault {
        BurstFault::None => {}
        BurstFault::DeadHosts => {
            let count = (model.hosts.len() * DEAD_PERCENT).div_ceil(100);
            let stride = model.hosts.len() / count;
            (0..count).for_each(|index| model.kill(index * stride + stride / 2));
        }
        BurstFault::CutStorePair => model.cut_region_link(0, 1),
        BurstFault::CutRemotePair => model.cut_region_link(1, 2),
    }
}

fn run_burst(hosts: usize, regions: usize, fault: BurstFault) {
    let bound_seconds = link_bound_seconds(regions);
    let mut model = FleetModel::new(plan_hosts(hosts, regions), CHUNKS, CHUNK_UNITS, limits());
    let mut is_fault_injected = false;
    let started = Instant::now();
    while !model.is_done() && model.now.since(MonoTime::ZERO) < RUN_TIMEOUT {
        if !is_fault_injected && model.now.since(MonoTime::ZERO).as_secs_f64() > bound_seconds / 2.0
        {
            inject_fault(&mut model, fault);
            is_fault_injected = true;
        }
        model.step();
    }
    print_results(&model, hosts, regions, fault);
    eprintln!("  ({:.1} s of wall-clock time)", started.elapsed().as_secs_f64());
}

fn print_results(model: &FleetModel, hosts: usize, regions: usize, fault: BurstFault) {
    let name = format!("burst.{hosts}x{regions}.{}", fault.name());
    let print_line = |measure: &str, value: f64, target: &str| {
        println!("{name}.{measure} {value:.3} {target}");
    };
    let seconds = model.now.since(MonoTime::ZERO).as_secs_f64();
    let (origin, time) =
        if fault == BurstFault::None { ("<=1.1", "<=1.5") } else { ("<=1.3", "<=2") };
    let copy_units = model.copy_units();
    let max_uploaded_copies =
        model.hosts.iter().map(|host| host.uploaded_units / copy_units).fold(0.0, f64::max);
    print_line("live", f64::from(u8::from(model.is_done())), "=1");
    print_line("origin_copies", model.origin_units / copy_units, origin);
    print_line("host_copies_max", max_uploaded_copies, "<=2");
    print_line("seconds", seconds, "-");
    print_line("bound_ratio", seconds / link_bound_seconds(regions), time);
    print_line("naive_seconds", naive_seconds(hosts, regions), "-");
    print_line("naive_ratio", seconds / naive_seconds(hosts, regions), "<1");
    let mean = |sum: u64| sum as f64 / hosts as f64 / seconds;
    print_line(
        "messages_per_host_second",
        mean(model.hosts.iter().map(|host| host.control_messages).sum()),
        "-",
    );
    let bytes = model.hosts.iter().map(|host| host.control_bytes).sum();
    print_line("control_bytes_per_host_second", mean(bytes), "<=7000");
}

fn print_plan_time() {
    let content = vec![7; CHUNKS * CHUNK_UNITS];
    let manifest = VersionManifest::of_content(&content, CHUNK_UNITS as u64);
    let plan_hosts = plan_hosts(640, 5);
    let started = Instant::now();
    let plan = DistributionPlan::new(&manifest, plan_hosts, &RegionName::from("region-0"));
    let millis = started.elapsed().as_secs_f64() * 1_000.0;
    println!("plan.640x5.cpu_ms {millis:.3} - ({} chunks)", plan.chunk_count());
}

fn main() {
    print_plan_time();
    let name_prefix = std::env::args().nth(1).filter(|argument| !argument.starts_with('-'));
    for hosts in [12, 100, 640] {
        for regions in [3, 5] {
            for fault in BurstFault::ALL {
                let name = format!("{hosts}x{regions}.{}", fault.name());
                if name_prefix
                    .as_ref()
                    .is_none_or(|name_prefix| name.starts_with(name_prefix.as_str()))
                {
                    run_burst(hosts, regions, fault);
                }
            }
        }
    }
}
