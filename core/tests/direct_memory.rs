//! The budget of memory and connections of a process.

use buckthornwharf_core::direct::memory::{
    BudgetLimits, CONNECTION_BYTES, ConnectionKind, HolderId, HolderPhase, MemoryBudget,
    SMALL_BYTES,
};
use proptest::prelude::*;
use std::net::{IpAddr, Ipv4Addr};

const LARGE: usize = 100_000;

fn source(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

fn budget(large_bytes: usize, callers: usize) -> MemoryBudget {
    MemoryBudget::new(BudgetLimits { large_bytes, callers, services: 8, links: 8 })
}

fn open(budget: &mut MemoryBudget, from: u8) -> HolderId {
    let admitted = budget.open(ConnectionKind::Caller, source(from)).expect("a free connection");
    budget.set_phase(admitted.id, HolderPhase::Reading);
    admitted.id
}

/// Guards against small requests that wait behind large ones.
#[test]
fn small_holders_get_memory_while_large_ones_have_spent_theirs() {
    let mut budget = budget(LARGE, 10);
    let large = open(&mut budget, 1);
    assert!(budget.try_hold(large, LARGE));
    let small = open(&mut budget, 1);
    assert!(budget.try_hold(small, SMALL_BYTES));
    assert!(!budget.try_hold(small, SMALL_BYTES + 1));
    assert_eq!(budget.held_bytes(), LARGE + SMALL_BYTES);
}

/// Guards against a legal request that is refused in calm operation because the host is small.
#[test]
fn a_single_large_request_is_granted_beyond_the_budget() {
    let mut budget = budget(LARGE, 10);
    let only = open(&mut budget, 1);
    assert!(budget.try_hold(only, 10 * LARGE));
    let second = open(&mut budget, 1);
    assert!(!budget.try_hold(second, LARGE));
    budget.close(only);
    assert!(budget.try_hold(second, LARGE));
}

/// Guards against a source, or a key, that keeps the memory from others with stalled requests.
#[test]
fn the_oldest_of_the_heaviest_party_is_evicted() {
    let mut budget = budget(4 * LARGE, 10);
    let other_source = open(&mut budget, 2);
    let other_key = open(&mut budget, 1);
    budget.set_key(other_key, 5);
    let (first, second) = (open(&mut budget, 1), open(&mut budget, 1));
    for holder in [other_source, other_key, first, second] {
        assert!(budget.try_hold(holder, LARGE));
    }
    let new = open(&mut budget, 3);
    assert!(!budget.try_hold(new, LARGE));
    assert_eq!(budget.make_room(new, LARGE), [first]);
    assert_eq!(budget.make_room(new, LARGE), [], "room that becomes free is counted");
    budget.close(first);
    assert!(budget.try_hold(new, LARGE));
}

/// Guards against requests that are aborted while they run.
#[test]
fn a_running_request_is_not_evicted() {
    let mut budget = budget(LARGE, 2);
    let running = open(&mut budget, 1);
    assert!(budget.try_hold(running, LARGE));
    budget.set_phase(running, HolderPhase::Running);
    let new = open(&mut budget, 2);
    assert_eq!(budget.make_room(new, LARGE), []);
    budget.set_phase(new, HolderPhase::Running);
    assert_eq!(budget.open(ConnectionKind::Caller, source(3)), None);
    budget.set_phase(running, HolderPhase::Sending);
    let admitted = budget.open(ConnectionKind::Caller, source(3)).expect("a victim");
    assert_eq!(admitted.victim, Some(running));
}

/// Guards against callers that take the connections of probes and links.
#[test]
fn connections_are_limited_by_kind() {
    let mut budget = budget(LARGE, 3);
    let callers: Vec<HolderId> = (0..3).map(|_| open(&mut budget, 1)).collect();
    let probe = budget.open(ConnectionKind::Service, source(1)).expect("a free connection");
    assert_eq!(probe.victim, None);
    let new = budget.open(ConnectionKind::Caller, source(1)).expect("a victim");
    assert_eq!(new.victim, Some(callers[0]));
}

/// Guards against limits that leave nothing to callers or to targets.
#[test]
fn limits_follow_from_the_host() {
    assert_eq!(BudgetLimits::of_host(None, None), None);
    let small = BudgetLimits::of_host(Some(160), Some(256)).expect("limits");
    assert!(small.callers >= 32 && small.callers <= 256 / 2, "{small:?}");
    assert!(small.large_bytes > 20_000_000, "{small:?}");
    let all_small = small.callers * SMALL_BYTES + small.large_bytes;
    assert!(all_small < 60_000_000, "{small:?}");
    let tiny = BudgetLimits::of_host(Some(1), Some(1)).expect("limits");
    assert!(tiny.callers > 0 && tiny.links > 0 && tiny.services > 0, "{tiny:?}");
}

#[derive(Debug, Clone)]
enum Step {
    Open(u8),
    Close(usize),
    Hold(usize, usize),
    Phase(usize, bool),
    MakeRoom(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    let bytes = 0..4 * LARGE;
    prop_oneof![
        (0..3_u8).prop_map(Step::Open),
        (0..20_usize).prop_map(Step::Close),
        (0..20_usize, bytes.clone()).prop_map(|(holder, bytes)| Step::Hold(holder, bytes)),
        (0..20_usize, any::<bool>()).prop_map(|(holder, runs)| Step::Phase(holder, runs)),
        (0..20_usize, bytes).prop_map(|(holder, bytes)| Step::MakeRoom(holder, bytes)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against sums that drift from what the holders hold, and against a budget that is exceeded.
    #[test]
    fn sums_match_the_holders(steps in prop::collection::vec(step(), 1..200)) {
        let limit = 4 * LARGE;
        let mut budget = budget(limit, 12);
        let mut holders: Vec<(HolderId, usize)> = Vec::new();
        for step in steps {
            match step {
                Step::Open(from) => {
                    if let Some(admitted) = budget.open(ConnectionKind::Caller, source(from)) {
                        holders.retain(|(id, _)| Some(*id) != admitted.victim);
                        admitted.victim.into_iter().for_each(|victim| budget.close(victim));
                        holders.push((admitted.id, CONNECTION_BYTES));
                    }
                }
                Step::Close(number) if number < holders.len() => {
                    budget.close(holders.remove(number).0);
                }
                Step::Hold(number, bytes)
                    if number < holders.len() && budget.try_hold(holders[number].0, bytes) =>
                {
                    holders[number].1 = bytes;
                }
                Step::Phase(number, runs) if number < holders.len() => {
                    let phase = if runs { HolderPhase::Running } else { HolderPhase::Reading };
                    budget.set_phase(holders[number].0, phase);
                }
                Step::MakeRoom(number, bytes) if number < holders.len() => {
                    let victims = budget.make_room(holders[number].0, bytes);
                    holders.retain(|(id, _)| !victims.contains(id));
                    victims.into_iter().for_each(|victim| budget.close(victim));
                }
                _ => {}
            }
            prop_assert!(holders.len() <= 12);
            prop_assert_eq!(budget.connections(), holders.len());
            prop_assert_eq!(budget.held_bytes(), holders.iter().map(|(_, bytes)| bytes).sum::<usize>());
            let large: Vec<usize> =
                holders.iter().map(|(_, bytes)| *bytes).filter(|bytes| *bytes > SMALL_BYTES).collect();
            prop_assert!(large.len() <= 1 || large.iter().sum::<usize>() <= limit);
        }
    }
}
