//! The spread of a version of a few megabytes, within the seconds in which it has to be in force.
//!
//! All times and rates are [`SLOWER`] times as slow as on the links that are modelled, so that the
//! model's steps are short beside the time of a chunk.

#[allow(dead_code)]
#[path = "../../benches/burst/model.rs"]
mod model;

use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::{CrossRegionMode, FetchLimits, PlanHost};
use model::{FleetModel, ModelDistribution, SourceFault};

const SLOWER: u64 = 10;
const CHUNKS: usize = 64;
const CHUNK_UNITS: usize = 64;
/// Units a second of a megabit a second, where a chunk has 32 KiB.
const MEGABIT_UNITS: f64 = 125_000.0 / 32_768.0 * CHUNK_UNITS as f64 / SLOWER as f64;
const ORIGIN_MEGABITS: f64 = 9.9;
const HOST_MEGABITS: f64 = 7.6;
const REGION_MEGABITS: f64 = 26.0;
/// Time after its declaration within which a version has to be in force.
const VERSION_SECONDS: f64 = 8.0;
/// Time in which the hosts put it into their targets, one after the other.
const TURNS_SECONDS: f64 = 3.0;
/// Hosts, and the regions that they stand in.
const FLEETS: [(usize, usize); 4] = [(12, 3), (45, 3), (56, 4), (76, 3)];
const SLOW_UPLOAD: Duration = Duration::from_millis(400 * SLOWER);
const LONGEST_RUN: Duration = Duration::from_secs(30 * SLOWER);

fn fleet(hosts: usize, regions: usize) -> FleetModel {
    let place = |index: usize| PlanHost {
        name: HostName::from(format!("host-{index:02}")),
        region: RegionName::from(format!("region-{}", index % regions)),
    };
    let units = |megabits: f64| (megabits * MEGABIT_UNITS) as u64;
    let mut limits =
        FetchLimits::new(units(ORIGIN_MEGABITS), units(HOST_MEGABITS), units(REGION_MEGABITS));
    limits.time_scale_percent = FetchLimits::URGENT_TIME_SCALE_PERCENT * SLOWER as u32;
    limits.min_stall_timeout *= SLOWER as u32;
    limits.max_peer_fetches = FetchLimits::URGENT_MAX_PEER_FETCHES;
    limits.is_urgent = true;
    let distribution = ModelDistribution {
        cross_region_mode: CrossRegionMode::Owners,
        slow_upload: Some(SLOW_UPLOAD),
        tells_held: true,
    };
    let places = (0..hosts).map(place).collect();
    FleetModel::with_distribution(places, CHUNKS, CHUNK_UNITS, limits, distribution)
}

/// When so many hosts held the version, in seconds of the links that are modelled.
fn held_after(model: &mut FleetModel, hosts: usize) -> f64 {
    let holders =
        |model: &FleetModel| model.hosts.iter().filter(|host| host.complete.is_some()).count();
    while holders(model) < hosts {
        assert!(model.now.since(MonoTime::ZERO) < LONGEST_RUN, "{} hold it", holders(model));
        model.step();
    }
    model.now.since(MonoTime::ZERO).as_secs_f64() / SLOWER as f64
}

/// Seconds of one copy from the origin and one over a host's link, one after the other.
fn copy_bound() -> f64 {
    let copy_megabits = (CHUNKS * 32_768 * 8) as f64 / 1e6;
    copy_megabits / ORIGIN_MEGABITS + copy_megabits / HOST_MEGABITS
}

fn origin_copies(model: &FleetModel) -> f64 {
    model.origin_units / model.copy_units()
}

#[test]
fn all_hold_a_version_in_the_time_of_one_copy_from_the_origin_and_one_over_a_hosts_link() {
    let bound = copy_bound();
    for (hosts, regions) in FLEETS {
        let mut model = fleet(hosts, regions);
        let seconds = held_after(&mut model, hosts);
        assert!(seconds < bound, "{hosts} hosts: {seconds:.2} s of {bound:.2} s");
        assert!(origin_copies(&model) < 1.25, "{hosts} hosts: {:.2}", origin_copies(&model));
    }
}

#[test]
fn an_origin_that_was_away_is_read_as_soon_as_it_is_back() {
    for away in [2.0, 6.0, 10.0] {
        let mut model = fleet(45, 3);
        model.faults.insert(None, SourceFault::Down);
        while model.now.since(MonoTime::ZERO).as_secs_f64() < away * SLOWER as f64 {
            model.step();
        }
        model.faults.remove(&None);
        let seconds = held_after(&mut model, 45);
        let bound = away + copy_bound() + 1.0;
        assert!(seconds < bound, "away for {away} s: {seconds:.2} s of {bound:.2} s");
    }
}

#[test]
fn hosts_with_narrowed_links_leave_the_others_time_to_take_turns() {
    for (hosts, regions) in FLEETS {
        let mut model = fleet(hosts, regions);
        let narrowed = hosts / 8;
        for host in 0..narrowed {
            model.faults.insert(Some(host * 7), SourceFault::Narrow(0.125));
        }
        let seconds = held_after(&mut model, hosts - narrowed);
        let flows = (0..hosts).map(|host| model.flows_to(host));
        let on_narrowed: Vec<usize> = flows.step_by(7).take(narrowed).collect();
        // No more from the own region than on a sound link, and two from elsewhere.
        let most = FetchLimits::URGENT_MAX_PEER_FETCHES + 2;
        assert!(
            on_narrowed.iter().all(|flows| *flows <= most),
            "{on_narrowed:?} chunks on their way"
        );
        let bound = VERSION_SECONDS - TURNS_SECONDS;
        assert!(seconds < bound, "{narrowed} of {hosts} hosts: {seconds:.2} s");
        assert!(origin_copies(&model) < 1.5, "{hosts} hosts: {:.2}", origin_copies(&model));
    }
}
