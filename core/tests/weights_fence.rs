//! The right to give orders, against targets that check fencing numbers and targets that do not.

use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fence::{
    FenceRow, LEASE_TTL, MAX_ORDER_DELAY, OrderFence, OrderRefusal,
};
use buckthornwharf_core::weights::permit::{SwapStrategy, permit_keys};

const CALL: Duration = Duration::from_secs(15);

fn at(seconds: u64) -> MonoTime {
    MonoTime::from_millis(seconds * 1_000)
}

/// A target that applies orders, with or without a look at the number.
struct FakeTarget {
    checks: bool,
    highest: u64,
    loaded: Option<&'static str>,
}

impl FakeTarget {
    fn order(&mut self, fence: u64, version: &'static str) -> bool {
        if self.checks && fence < self.highest {
            return false;
        }
        self.highest = self.highest.max(fence);
        self.loaded = Some(version);
        true
    }
}

fn leased(fence: u64, granted: MonoTime) -> OrderFence {
    let mut right = OrderFence::new(false);
    right.fence_raised(fence);
    right.lease_granted(granted, granted);
    right
}

#[test]
fn no_order_without_a_raised_number() {
    let right = OrderFence::new(true);
    assert_eq!(right.allow(at(1), CALL), Err(OrderRefusal::NoFence));
}

#[test]
fn an_old_agent_is_refused_by_a_target_that_checks() {
    let mut target = FakeTarget { checks: true, highest: 0, loaded: None };
    let (mut old, mut new) = (OrderFence::new(true), OrderFence::new(true));
    let first = FenceRow::raise(None, 7);
    old.fence_raised(first.fence);
    new.fence_raised(FenceRow::raise(Some(first), 8).fence);
    let grant = new.allow(at(1), CALL).expect("the newer agent may order");
    assert!(target.order(grant.fence, "new"));
    let stale = old.allow(at(2), CALL).expect("the older agent does not know yet");
    assert!(!target.order(stale.fence, "old"));
    old.fenced_off();
    assert_eq!(old.allow(at(3), CALL), Err(OrderRefusal::Superseded));
    assert_eq!(target.loaded, Some("new"));
}

#[test]
fn the_first_order_waits_for_orders_of_the_agent_before() {
    let right = leased(2, at(10));
    assert_eq!(right.allow(at(10), CALL), Err(OrderRefusal::TooEarly));
    assert!(right.allow(at(10) + MAX_ORDER_DELAY, CALL).is_ok());
}

#[test]
fn an_order_needs_lease_time_for_the_whole_call() {
    let right = leased(2, at(0));
    let late = at(0) + LEASE_TTL - CALL;
    assert_eq!(right.allow(late, CALL), Err(OrderRefusal::NoLease));
    let grant = right.allow(at(5), CALL).expect("enough of the lease is left");
    assert!(grant.deadline < at(0) + LEASE_TTL);
}

#[test]
fn a_paused_holder_orders_nothing_after_its_lease() {
    let mut target = FakeTarget { checks: false, highest: 0, loaded: None };
    let old = leased(1, at(0));
    let woken = at(0) + LEASE_TTL + Duration::from_secs(1);
    let new = leased(2, woken);
    let allowed = old.allow(woken, CALL);
    if let Ok(grant) = allowed {
        target.order(grant.fence, "old");
    }
    assert_eq!(allowed, Err(OrderRefusal::NoLease));
    let grant = new.allow(woken + MAX_ORDER_DELAY, CALL).expect("the newer agent may order");
    target.order(grant.fence, "new");
    assert_eq!(target.loaded, Some("new"));
}

#[test]
fn no_two_agents_ever_have_overlapping_calls() {
    for taken_over in 0..40 {
        let old = leased(1, at(0));
        // The service grants the lease to the next agent only after it has lapsed.
        let granted = at(0) + LEASE_TTL + Duration::from_millis(taken_over);
        let new = leased(2, granted);
        let old_end = (0..60).filter_map(|s| old.allow(at(s), CALL).ok()).map(|s| s.deadline).max();
        let new_start = (0..90_000).step_by(100).map(MonoTime::from_millis);
        let new_start = new_start.into_iter().find(|now| new.allow(*now, CALL).is_ok());
        assert!(old_end.expect("it ordered") + MAX_ORDER_DELAY <= new_start.expect("it orders"));
    }
}

#[test]
fn a_higher_counter_ends_the_right() {
    let mut right = leased(1, at(0));
    right.counter_read(1);
    assert!(right.allow(at(5), CALL).is_ok());
    right.counter_read(2);
    assert_eq!(right.allow(at(5), CALL), Err(OrderRefusal::Superseded));
}

#[test]
fn a_renewal_counts_from_when_it_was_sent() {
    let mut right = leased(1, at(0));
    right.lease_renewed(at(20));
    assert!(right.allow(at(30), CALL).is_ok());
    assert_eq!(right.allow(at(40), CALL), Err(OrderRefusal::NoLease));
    right.lease_lost();
    assert_eq!(right.allow(at(21), CALL), Err(OrderRefusal::NoLease));
}

#[test]
fn permits_are_as_many_as_hosts_may_be_out() {
    let (service, host) = (ServiceName::from("grant-llm"), HostName::from("engine-3"));
    let mut keys = permit_keys(&service, &host, 3);
    keys.sort();
    insta::assert_debug_snapshot!(keys, @r#"
    [
        "permit/grant-llm/0",
        "permit/grant-llm/1",
        "permit/grant-llm/2",
    ]
    "#);
    assert!(permit_keys(&service, &host, 0).is_empty());
}

#[test]
fn only_a_full_target_is_taken_out_of_service() {
    let ways =
        [(1, 0), (2, 1), (1, 1), (2, 2)].map(|(holds, has)| SwapStrategy::choose(holds, has));
    insta::assert_debug_snapshot!(ways, @r"
    [
        Initial,
        SideBySide,
        InPlace,
        InPlace,
    ]
    ");
}
