//! The spread of one version in virtual time, beside the spread in which every host reads the
//! origin. Prints `name value target` lines.

// Faults of single sources are used by core/tests/weights_spread.rs, which shares the model.
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
const WANTED_SECONDS: u64 = 300;
const ORIGIN_COPIES: u64 = 4;
const HOST_COPIES: u64 = 2;
const REGION_PAIR_BYTES_PER_SECOND: u64 = 2_000_000;
const LONGEST_RUN: Duration = Duration::from_secs(7_200);
const DEAD_PERCENT: usize = 5;

/// What goes wrong in a run.
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
    let copies = |count: u64| count * VERSION_BYTES / WANTED_SECONDS / UNIT_BYTES;
    FetchLimits::new(
        copies(ORIGIN_COPIES),
        copies(HOST_COPIES),
        REGION_PAIR_BYTES_PER_SECOND / UNIT_BYTES,
    )
}

fn places(hosts: usize, regions: usize) -> Vec<PlanHost> {
    let place = |index: usize| PlanHost {
        name: HostName::from(format!("host-{index:04}")),
        region: RegionName::from(format!("region-{}", index % regions)),
    };
    (0..hosts).map(place).collect()
}

/// Seconds that the links alone ask for.
fn link_bound(regions: usize) -> f64 {
    let limits = limits();
    let copy = (CHUNKS * CHUNK_UNITS) as f64;
    let pairs = (regions - 1) as f64 * limits.region_pair_bytes_per_second as f64;
    let origin = copy / limits.origin_bytes_per_second as f64;
    let host = copy / limits.host_bytes_per_second as f64;
    origin.max(host).max(copy / pairs)
}

/// Seconds of the spread in which every host reads the origin, all at an equal rate.
fn naive_seconds(hosts: usize, regions: usize) -> f64 {
    let limits = limits();
    let copy = (CHUNKS * CHUNK_UNITS) as f64;
    let largest = hosts.div_ceil(regions) as f64;
    let origin = hosts as f64 * copy / limits.origin_bytes_per_second as f64;
    origin.max(largest * copy / limits.region_pair_bytes_per_second as f64)
}

fn strike(model: &mut FleetModel, fault: BurstFault) {
    match fault {
        BurstFault::None => {}
        BurstFault::DeadHosts => {
            let count = (model.hosts.len() * DEAD_PERCENT).div_ceil(100);
            let stride = model.hosts.len() / count;
            (0..count).for_each(|index| model.kill(index * stride + stride / 2));
        }
        BurstFault::CutStorePair => model.cut(0, 1),
        BurstFault::CutRemotePair => model.cut(1, 2),
    }
}

fn run(hosts: usize, regions: usize, fault: BurstFault) {
    let bound = link_bound(regions);
    let mut model = FleetModel::new(places(hosts, regions), CHUNKS, CHUNK_UNITS, limits());
    let mut struck = false;
    let started = Instant::now();
    while !model.is_done() && model.now.since(MonoTime::ZERO) < LONGEST_RUN {
        if !struck && model.now.since(MonoTime::ZERO).as_secs_f64() > bound / 2.0 {
            strike(&mut model, fault);
            struck = true;
        }
        model.step();
    }
    report(&model, hosts, regions, fault);
    eprintln!("  ({:.1} s of processor time)", started.elapsed().as_secs_f64());
}

fn report(model: &FleetModel, hosts: usize, regions: usize, fault: BurstFault) {
    let name = format!("burst.{hosts}x{regions}.{}", fault.name());
    let line = |measure: &str, value: f64, target: &str| {
        println!("{name}.{measure} {value:.3} {target}");
    };
    let seconds = model.now.since(MonoTime::ZERO).as_secs_f64();
    let (origin, time) =
        if fault == BurstFault::None { ("<=1.1", "<=1.5") } else { ("<=1.3", "<=2") };
    let copy = model.copy_units();
    let uploaded = model.hosts.iter().map(|host| host.uploaded / copy).fold(0.0, f64::max);
    line("live", f64::from(u8::from(model.is_done())), "=1");
    line("origin_copies", model.origin_units / copy, origin);
    line("host_copies_max", uploaded, "<=2");
    line("seconds", seconds, "-");
    line("bound_ratio", seconds / link_bound(regions), time);
    line("naive_seconds", naive_seconds(hosts, regions), "-");
    line("naive_ratio", seconds / naive_seconds(hosts, regions), "<1");
    let mean = |sum: u64| sum as f64 / hosts as f64 / seconds;
    line("messages_per_host_second", mean(model.hosts.iter().map(|host| host.messages).sum()), "-");
    let bytes = model.hosts.iter().map(|host| host.control_bytes).sum();
    line("control_bytes_per_host_second", mean(bytes), "<=7000");
}

fn plan_time() {
    let content = vec![7; CHUNKS * CHUNK_UNITS];
    let manifest = VersionManifest::of_content(&content, CHUNK_UNITS as u64);
    let places = places(640, 5);
    let started = Instant::now();
    let plan = DistributionPlan::new(&manifest, places, &RegionName::from("region-0"));
    let millis = started.elapsed().as_secs_f64() * 1_000.0;
    println!("plan.640x5.cpu_ms {millis:.3} - ({} chunks)", plan.chunk_count());
}

fn main() {
    plan_time();
    let only = std::env::args().nth(1).filter(|argument| !argument.starts_with('-'));
    for hosts in [12, 100, 640] {
        for regions in [3, 5] {
            for fault in BurstFault::ALL {
                let name = format!("{hosts}x{regions}.{}", fault.name());
                if only.as_ref().is_none_or(|only| name.starts_with(only.as_str())) {
                    run(hosts, regions, fault);
                }
            }
        }
    }
}
