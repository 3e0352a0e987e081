//! Single decisions of the fetch machine.

use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fetch::ChunkFetch;
use buckthornwharf_core::weights::{
    ChunkSet, ChunkSource, DistributionPlan, FetchAction, FetchEvent, FetchFailure, FetchLimits,
    FetchMachine, PlanHost, VersionManifest,
};
use bytes::Bytes;

const CHUNKS: usize = 32;
const CHUNK_BYTES: usize = 16;

fn content() -> Bytes {
    (0..CHUNKS * CHUNK_BYTES).map(|index| (index / CHUNK_BYTES) as u8).collect()
}

fn full_set() -> ChunkSet {
    ChunkSet::from_bytes(&[0xff; CHUNKS / 8], CHUNKS)
}

/// The machine of `host-0` among `hosts` hosts of one region, which read the origin.
fn machine(hosts: usize, held: ChunkSet) -> FetchMachine {
    let manifest = Arc::new(VersionManifest::of_content(&content(), CHUNK_BYTES as u64));
    let region = RegionName::from("region-0");
    let place = |index: usize| PlanHost {
        name: HostName::from(format!("host-{index}")),
        region: region.clone(),
    };
    let plan = Arc::new(DistributionPlan::new(&manifest, (0..hosts).map(place).collect(), &region));
    let limits = FetchLimits::new(1_000, 1_000, 100);
    let name = HostName::from("host-0");
    FetchMachine::new(MonoTime::ZERO, manifest, plan, name, limits, held, 1)
}

fn orders(actions: &[FetchAction]) -> Vec<ChunkFetch> {
    let order = |action: &FetchAction| match action {
        FetchAction::Fetch(order) => Some(order.clone()),
        _ => None,
    };
    actions.iter().filter_map(order).collect()
}

fn from_peers(actions: &[FetchAction]) -> Vec<ChunkFetch> {
    let orders = orders(actions);
    orders.into_iter().filter(|order| order.source != ChunkSource::Origin).collect()
}

fn chunk_bytes(chunk: usize) -> Bytes {
    content().slice(chunk * CHUNK_BYTES..(chunk + 1) * CHUNK_BYTES)
}

#[test]
fn a_chunk_that_arrived_corrupt_is_not_asked_of_the_same_host_again() {
    let mut machine = machine(2, ChunkSet::new(CHUNKS));
    let told = FetchEvent::HeldBy(HostName::from("host-1"), full_set());
    let order = from_peers(&machine.on_event(MonoTime::ZERO, told)).remove(0);
    let wrong = FetchEvent::Arrived(order.ticket, vec![0xee; CHUNK_BYTES].into());
    let mut actions = machine.on_event(MonoTime::from_millis(10), wrong);
    assert!(actions.contains(&FetchAction::ReportCorrupt(order.source.clone(), order.chunk)));
    for second in 1..30 {
        let tick = FetchEvent::HeldBy(HostName::from("host-1"), full_set());
        actions.extend(machine.on_event(MonoTime::from_millis(second * 1_000), tick));
    }
    let again = |later: &ChunkFetch| later.chunk == order.chunk && later.source == order.source;
    assert!(!orders(&actions).iter().any(again));
}

#[test]
fn kept_chunks_are_not_fetched_again_after_a_cut() {
    let mut held = ChunkSet::new(CHUNKS);
    (0..CHUNKS - 1).for_each(|chunk| {
        held.insert(chunk);
    });
    let mut machine = machine(1, held);
    let actions = machine.on_event(MonoTime::from_millis(60_000), FetchEvent::Tick);
    let [order] = &orders(&actions)[..] else {
        panic!("one chunk is missing: {actions:?}");
    };
    assert_eq!(order.chunk, CHUNKS - 1);
    let arrived = FetchEvent::Arrived(order.ticket, chunk_bytes(order.chunk));
    let actions = machine.on_event(MonoTime::from_millis(60_100), arrived);
    assert_eq!(
        actions,
        [FetchAction::Store(CHUNKS - 1, chunk_bytes(CHUNKS - 1)), FetchAction::Complete]
    );
    assert_eq!(machine.next_wake(), None);
}

#[test]
fn fetches_are_bounded_and_yield_to_live_requests() {
    let started = |live_percent: u8| {
        let mut machine = machine(9, ChunkSet::new(CHUNKS));
        let mut actions = machine.on_event(MonoTime::ZERO, FetchEvent::LiveLoad(live_percent));
        for peer in 1..9 {
            let told = FetchEvent::HeldBy(HostName::from(format!("host-{peer}")), full_set());
            actions.extend(machine.on_event(MonoTime::ZERO, told));
        }
        (from_peers(&actions).len(), orders(&actions).len())
    };
    insta::assert_compact_debug_snapshot!([started(0), started(50), started(100)], @"[(6, 7), (3, 4), (1, 2)]");
}

#[test]
fn a_fetch_that_moves_on_is_not_broken_off_and_one_that_stalls_is() {
    let mut machine = machine(2, ChunkSet::new(CHUNKS));
    let told = FetchEvent::HeldBy(HostName::from("host-1"), full_set());
    let first = from_peers(&machine.on_event(MonoTime::ZERO, told)).remove(0);
    let cancelled = |actions: &[FetchAction]| actions.contains(&FetchAction::Cancel(first.ticket));
    for second in 1..8 {
        let moved = FetchEvent::Progress(first.ticket, second);
        assert!(!cancelled(&machine.on_event(MonoTime::from_millis(second * 1_000), moved)));
    }
    let still = FetchEvent::Progress(first.ticket, 7);
    assert!(!cancelled(&machine.on_event(MonoTime::from_millis(8_000), still)));
    assert!(cancelled(&machine.on_event(MonoTime::from_millis(9_500), FetchEvent::Tick)));
}

#[test]
fn events_of_a_fetch_that_was_broken_off_change_nothing() {
    let mut machine = machine(2, ChunkSet::new(CHUNKS));
    machine.on_event(MonoTime::ZERO, FetchEvent::Failed(99, FetchFailure::Cut));
    machine.on_event(MonoTime::ZERO, FetchEvent::Arrived(99, chunk_bytes(0)));
    assert_eq!(machine.held().count(), 0);
}
