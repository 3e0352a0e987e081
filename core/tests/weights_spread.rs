//! Distribution of a version under faults, over modelled links, compared with naive distribution, where
//! each host reads all chunks from the origin.

#[allow(dead_code)]
#[path = "../../benches/burst/model.rs"]
mod model;

use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::{ChunkSource, FetchLimits, PlanHost};
use model::{FleetModel, SourceFault};
use proptest::prelude::*;

const CHUNKS: usize = 24;
const CHUNK_UNITS: usize = 64;
const LIMITS: (u64, u64, u64) = (400, 400, 120);
const MAX_RUN_TIME: Duration = Duration::from_secs(900);

fn fleet(hosts: usize, regions: usize) -> FleetModel {
    let plan_host = |index: usize| PlanHost {
        name: HostName::from(format!("host-{index:02}")),
        region: RegionName::from(format!("region-{}", index % regions)),
    };
    let limits = FetchLimits::new(LIMITS.0, LIMITS.1, LIMITS.2);
    FleetModel::new((0..hosts).map(plan_host).collect(), CHUNKS, CHUNK_UNITS, limits)
}

/// Steps until `condition` holds or [`MAX_RUN_TIME`] is over; returns whether it holds.
fn step_until(model: &mut FleetModel, mut condition: impl FnMut(&FleetModel) -> bool) -> bool {
    while !condition(model) {
        if model.now.since(MonoTime::ZERO) > MAX_RUN_TIME {
            return false;
        }
        model.step();
    }
    true
}

/// The chunks of a host, sorted, since their order of arrival does not matter.
fn sorted_chunks(chunks: &[bytes::Bytes]) -> Vec<bytes::Bytes> {
    let mut chunks = chunks.to_vec();
    chunks.sort();
    chunks
}

/// The chunks of a host that reads all of them from the origin.
fn naive_chunks(model: &FleetModel) -> Vec<bytes::Bytes> {
    let chunks: Vec<_> = model.content().chunks(CHUNK_UNITS).collect();
    let copies: Vec<bytes::Bytes> = chunks.into_iter().map(|c| c.to_vec().into()).collect();
    sorted_chunks(&copies)
}

fn assert_all_hold(model: &mut FleetModel) {
    let done = step_until(model, FleetModel::is_done);
    assert!(done, "not held everywhere: {}", describe_missing(model));
    let expected = naive_chunks(model);
    for host in model.hosts.iter().filter(|host| host.alive) {
        assert_eq!(sorted_chunks(&host.stored_chunks), expected, "{}", host.plan_host.name);
    }
}

/// The faults, and the chunks that each live host is missing.
fn describe_missing(model: &FleetModel) -> String {
    let mut text = format!("{:?}", model.faults);
    for host in model.hosts.iter().filter(|host| host.alive && host.completed_at.is_none()) {
        let chunks: Vec<usize> = host.machine.held().missing().collect();
        text += &format!(" {} {} {chunks:?}", host.plan_host.region, host.plan_host.name);
    }
    text
}

fn origin_copies(model: &FleetModel) -> f64 {
    model.origin_units / model.copy_units()
}

#[test]
fn without_faults_all_hosts_hold_all_chunks_after_one_copy_from_the_origin() {
    let mut model = fleet(12, 3);
    assert_all_hold(&mut model);
    assert!(origin_copies(&model) < 1.1, "{} copies", origin_copies(&model));
}

#[test]
fn a_single_host_reads_all_chunks_from_the_origin() {
    let mut model = fleet(1, 1);
    assert_all_hold(&mut model);
}

#[test]
fn a_host_that_dies_after_any_number_of_chunks_does_not_stop_the_others() {
    for chunks in [0, 1, CHUNKS / 2, CHUNKS - 1, CHUNKS] {
        for host in 0..12 {
            let mut model = fleet(12, 3);
            step_until(&mut model, |model| model.hosts[host].machine.held().count() >= chunks);
            model.kill(host);
            assert_all_hold(&mut model);
            assert!(origin_copies(&model) < 1.3, "{} copies", origin_copies(&model));
        }
    }
}

#[test]
fn a_host_with_any_fault_is_bypassed_as_a_source() {
    let faults = [
        SourceFault::Down,
        SourceFault::Stall,
        SourceFault::Cut,
        SourceFault::Corrupt,
        SourceFault::Slow(0.02),
    ];
    for fault in faults {
        for host in 0..9 {
            let mut model = fleet(9, 3);
            model.faults.insert(Some(host), fault);
            assert_all_hold(&mut model);
        }
    }
}

#[test]
fn a_host_that_answers_but_fetches_nothing_is_taken_over_from() {
    for host in 0..9 {
        let mut model = fleet(9, 3);
        model.faults.insert(Some(host), SourceFault::Idle);
        let done = step_until(&mut model, FleetModel::is_done);
        assert!(done, "not held everywhere: {}", describe_missing(&model));
        assert!(origin_copies(&model) < 1.5, "{} copies", origin_copies(&model));
    }
}

#[test]
fn corrupt_chunks_of_a_source_are_counted_and_the_source_is_avoided() {
    let mut model = fleet(6, 1);
    model.faults.insert(Some(2), SourceFault::Corrupt);
    assert_all_hold(&mut model);
    let source = ChunkSource::Peer(HostName::from("host-02"));
    let counts: Vec<u32> =
        model.hosts.iter().map(|host| host.machine.corrupt_count(&source)).collect();
    assert!(counts.iter().any(|count| *count > 0), "{counts:?}");
    // One more fetch may be in flight when the second corrupt chunk arrives.
    assert!(counts.iter().all(|count| *count <= 3), "{counts:?}");
}

#[test]
fn an_origin_with_a_fault_only_delays_the_distribution() {
    let faults = [SourceFault::Down, SourceFault::Stall, SourceFault::Cut, SourceFault::Corrupt];
    for fault in faults {
        let mut model = fleet(9, 3);
        model.faults.insert(None, fault);
        step_until(&mut model, |model| model.now >= MonoTime::from_millis(20_000));
        assert!(model.hosts.iter().all(|host| host.stored_chunks.is_empty()), "{fault:?}");
        model.faults.remove(&None);
        assert_all_hold(&mut model);
    }
    let mut model = fleet(9, 3);
    model.faults.insert(None, SourceFault::Slow(0.1));
    assert_all_hold(&mut model);
    assert!(origin_copies(&model) < 1.3, "{} copies", origin_copies(&model));
}

#[test]
fn a_cut_between_any_two_regions_is_bypassed() {
    for (a, b) in [(0, 1), (0, 2), (1, 2)] {
        let mut model = fleet(12, 3);
        model.cut_region_link(a, b);
        assert_all_hold(&mut model);
    }
}

#[test]
fn a_cut_a_corrupt_source_and_a_dead_host_at_once_are_bypassed() {
    for host in 0..12 {
        let mut model = fleet(12, 3);
        model.cut_region_link(0, 1);
        model.faults.insert(Some((host + 5) % 12), SourceFault::Corrupt);
        step_until(&mut model, |model| model.hosts[host].machine.held().count() >= 3);
        model.kill(host);
        assert_all_hold(&mut model);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn after_the_death_of_any_set_of_hosts_the_others_still_finish(
        dead in proptest::collection::btree_set(0_usize..9, 0..8),
        after_seconds in 0_u64..20,
    ) {
        let mut model = fleet(9, 3);
        step_until(&mut model, |model| model.now >= MonoTime::from_millis(after_seconds * 1_000));
        dead.iter().for_each(|host| model.kill(*host));
        prop_assert!(step_until(&mut model, FleetModel::is_done));
    }
}
