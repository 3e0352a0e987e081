//! Individual decisions of the fetch machine.

use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fetch::ChunkFetch;
use buckthornwharf_core::weights::{
    ChunkSet, ChunkSource, CrossRegionMode, DistributionPlan, FetchAction, FetchEvent,
    FetchFailure, FetchLimits, FetchMachine, PlanHost, VersionManifest,
};
use bytes::Bytes;

const CHUNKS: usize = 32;
const CHUNK_BYTES: usize = 16;
/// Time after its declaration within which an urgent version has to be in use.
const MAX_VERSION_TIME: Duration = Duration::from_secs(8);

fn content() -> Bytes {
    (0..CHUNKS * CHUNK_BYTES).map(|index| (index / CHUNK_BYTES) as u8).collect()
}

fn full_set() -> ChunkSet {
    ChunkSet::from_bytes(&[0xff; CHUNKS / 8], CHUNKS)
}

/// The machine of `host-0` among `hosts` hosts of one region, which reads the origin.
fn machine(hosts: usize, held: ChunkSet) -> FetchMachine {
    let manifest = Arc::new(VersionManifest::of_content(&content(), CHUNK_BYTES as u64));
    let region = RegionName::from("region-0");
    let plan_host = |index: usize| PlanHost {
        name: HostName::from(format!("host-{index}")),
        region: region.clone(),
    };
    let plan =
        Arc::new(DistributionPlan::new(&manifest, (0..hosts).map(plan_host).collect(), &region));
    let limits = FetchLimits::new(1_000, 1_000, 100);
    let name = HostName::from("host-0");
    FetchMachine::new(MonoTime::ZERO, manifest, plan, name, limits, held, 1)
}

fn fetches(actions: &[FetchAction]) -> Vec<ChunkFetch> {
    let fetch = |action: &FetchAction| match action {
        FetchAction::Fetch(fetch) => Some(fetch.clone()),
        _ => None,
    };
    actions.iter().filter_map(fetch).collect()
}

fn peer_fetches(actions: &[FetchAction]) -> Vec<ChunkFetch> {
    let fetches = fetches(actions);
    fetches.into_iter().filter(|fetch| fetch.source != ChunkSource::Origin).collect()
}

fn chunk_bytes(chunk: usize) -> Bytes {
    content().slice(chunk * CHUNK_BYTES..(chunk + 1) * CHUNK_BYTES)
}

#[test]
fn a_corrupt_chunk_is_not_requested_from_the_same_host_again() {
    let mut machine = machine(2, ChunkSet::new(CHUNKS));
    let report = FetchEvent::HeldBy(HostName::from("host-1"), full_set());
    let fetch = peer_fetches(&machine.on_event(MonoTime::ZERO, report)).remove(0);
    let corrupt = FetchEvent::Arrived(fetch.id, vec![0xee; CHUNK_BYTES].into());
    let mut actions = machine.on_event(MonoTime::from_millis(10), corrupt);
    assert!(actions.contains(&FetchAction::ReportCorrupt(fetch.source.clone(), fetch.chunk)));
    for second in 1..30 {
        let report = FetchEvent::HeldBy(HostName::from("host-1"), full_set());
        actions.extend(machine.on_event(MonoTime::from_millis(second * 1_000), report));
    }
    let is_repeated =
        |later: &ChunkFetch| later.chunk == fetch.chunk && later.source == fetch.source;
    assert!(!fetches(&actions).iter().any(is_repeated));
}

#[test]
fn held_chunks_are_not_fetched_again_by_a_new_machine() {
    let mut held = ChunkSet::new(CHUNKS);
    (0..CHUNKS - 1).for_each(|chunk| {
        held.insert(chunk);
    });
    let mut machine = machine(1, held);
    let actions = machine.on_event(MonoTime::from_millis(60_000), FetchEvent::Tick);
    let [fetch] = &fetches(&actions)[..] else {
        panic!("one chunk is missing: {actions:?}");
    };
    assert_eq!(fetch.chunk, CHUNKS - 1);
    let arrived = FetchEvent::Arrived(fetch.id, chunk_bytes(fetch.chunk));
    let actions = machine.on_event(MonoTime::from_millis(60_100), arrived);
    assert_eq!(
        actions,
        [FetchAction::Store(CHUNKS - 1, chunk_bytes(CHUNKS - 1)), FetchAction::Complete]
    );
    assert_eq!(machine.next_wake(), None);
}

#[test]
fn concurrent_fetches_are_bounded_and_fewer_under_live_load() {
    let started = |live_load_percent: u8| {
        let mut machine = machine(9, ChunkSet::new(CHUNKS));
        let mut actions = machine.on_event(MonoTime::ZERO, FetchEvent::LiveLoad(live_load_percent));
        for peer in 1..9 {
            let report = FetchEvent::HeldBy(HostName::from(format!("host-{peer}")), full_set());
            actions.extend(machine.on_event(MonoTime::ZERO, report));
        }
        (peer_fetches(&actions).len(), fetches(&actions).len())
    };
    insta::assert_compact_debug_snapshot!([started(0), started(50), started(100)], @"[(6, 7), (3, 4), (1, 2)]");
}

#[test]
fn a_stalled_fetch_is_cancelled_but_not_one_that_makes_progress() {
    let mut machine = machine(2, ChunkSet::new(CHUNKS));
    let report = FetchEvent::HeldBy(HostName::from("host-1"), full_set());
    let first = peer_fetches(&machine.on_event(MonoTime::ZERO, report)).remove(0);
    let is_cancelled = |actions: &[FetchAction]| actions.contains(&FetchAction::Cancel(first.id));
    for second in 1..8 {
        let progress = FetchEvent::Progress(first.id, second);
        assert!(!is_cancelled(&machine.on_event(MonoTime::from_millis(second * 1_000), progress)));
    }
    let stalled = FetchEvent::Progress(first.id, 7);
    assert!(!is_cancelled(&machine.on_event(MonoTime::from_millis(8_000), stalled)));
    assert!(is_cancelled(&machine.on_event(MonoTime::from_millis(9_500), FetchEvent::Tick)));
}

#[test]
fn events_of_an_unknown_fetch_are_ignored() {
    let mut machine = machine(2, ChunkSet::new(CHUNKS));
    machine.on_event(MonoTime::ZERO, FetchEvent::Failed(99, FetchFailure::Cut));
    machine.on_event(MonoTime::ZERO, FetchEvent::Arrived(99, chunk_bytes(0)));
    assert_eq!(machine.held().count(), 0);
}

/// Runs the machine of a host in a region that does not read the origin; no fetch or poll of a peer is
/// answered, and the origin is down until `origin_back`. Returns when it holds everything, within
/// `limit`.
fn held_without_peers(origin_back: MonoTime, limit: MonoTime) -> Option<MonoTime> {
    let manifest = Arc::new(VersionManifest::of_content(&content(), CHUNK_BYTES as u64));
    let plan_host = |index: usize| PlanHost {
        name: HostName::from(format!("host-{index}")),
        region: RegionName::from(format!("region-{}", index % 2)),
    };
    let hosts = (0..4).map(plan_host).collect();
    let plan = DistributionPlan::new(&manifest, hosts, &RegionName::from("region-1"));
    let plan = Arc::new(plan.with_cross_region_mode(CrossRegionMode::Owners));
    let mut limits = FetchLimits::new(10_000, 10_000, 10_000);
    limits.time_scale_percent = FetchLimits::URGENT_TIME_SCALE_PERCENT;
    limits.is_urgent = true;
    let (name, held) = (HostName::from("host-0"), ChunkSet::new(CHUNKS));
    let mut machine = FetchMachine::new(MonoTime::ZERO, manifest, plan, name, limits, held, 1);
    let mut now = MonoTime::ZERO;
    let mut events = vec![FetchEvent::Tick];
    while now < limit {
        let actions: Vec<FetchAction> =
            events.drain(..).flat_map(|event| machine.on_event(now, event)).collect();
        for action in actions {
            match action {
                FetchAction::Complete => return Some(now),
                FetchAction::Poll(peer) => events.push(FetchEvent::PollFailed(peer)),
                FetchAction::Fetch(fetch)
                    if fetch.source == ChunkSource::Origin && now >= origin_back =>
                {
                    events.push(FetchEvent::Arrived(fetch.id, chunk_bytes(fetch.chunk)));
                }
                FetchAction::Fetch(fetch) => {
                    events.push(FetchEvent::Failed(fetch.id, FetchFailure::Unreachable));
                }
                FetchAction::Cancel(_)
                | FetchAction::Store(..)
                | FetchAction::ReportCorrupt(..) => {}
            }
        }
        if events.is_empty() {
            now = now + Duration::from_millis(10);
            events.push(FetchEvent::Tick);
        }
    }
    None
}

#[test]
fn a_host_that_reaches_no_peer_reads_the_origin_as_soon_as_it_is_back() {
    for seconds in [0, 1, 3, 6] {
        let origin_back = MonoTime::from_millis(seconds * 1000);
        let held = held_without_peers(origin_back, origin_back + MAX_VERSION_TIME);
        assert!(held.is_some(), "the origin was back after {seconds} s");
    }
}
