//! Fencing of orders to targets that check fencing tokens and to targets that do not; permits.

use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fence::{
    FenceRow, LEASE_TTL, MAX_ORDER_DELAY, OrderFence, OrderRefusal,
};
use buckthornwharf_core::weights::permit::{SwapStrategy, permit_keys};

const MAX_CALL_TIME: Duration = Duration::from_secs(15);

fn at(seconds: u64) -> MonoTime {
    MonoTime::from_millis(seconds * 1_000)
}

/// A target that applies orders, with or without checking the fencing token.
struct FakeTarget {
    checks_fence: bool,
    highest: u64,
    loaded: Option<&'static str>,
}

impl FakeTarget {
    fn apply(&mut self, fence: u64, version: &'static str) -> bool {
        if self.checks_fence && fence < self.highest {
            return false;
        }
        self.highest = self.highest.max(fence);
        self.loaded = Some(version);
        true
    }
}

fn leased(fence: u64, granted: MonoTime) -> OrderFence {
    let mut order_fence = OrderFence::new(false);
    order_fence.fence_raised(fence);
    order_fence.lease_granted(granted, granted);
    order_fence
}

#[test]
fn no_order_is_allowed_before_the_fencing_token_is_raised() {
    let order_fence = OrderFence::new(true);
    assert_eq!(order_fence.allow(at(1), MAX_CALL_TIME), Err(OrderRefusal::NoFence));
}

#[test]
fn a_target_that_checks_the_token_refuses_an_older_agent() {
    let mut target = FakeTarget { checks_fence: true, highest: 0, loaded: None };
    let (mut old, mut new) = (OrderFence::new(true), OrderFence::new(true));
    let first = FenceRow::raise(None, 7);
    old.fence_raised(first.fence);
    new.fence_raised(FenceRow::raise(Some(first), 8).fence);
    let grant = new.allow(at(1), MAX_CALL_TIME).expect("the newer agent may order");
    assert!(target.apply(grant.fence, "new"));
    let stale =
        old.allow(at(2), MAX_CALL_TIME).expect("the older agent does not know of the newer yet");
    assert!(!target.apply(stale.fence, "old"));
    old.fenced_off();
    assert_eq!(old.allow(at(3), MAX_CALL_TIME), Err(OrderRefusal::Superseded));
    assert_eq!(target.loaded, Some("new"));
}

#[test]
fn the_first_order_waits_until_orders_of_the_previous_agent_have_taken_effect() {
    let order_fence = leased(2, at(10));
    assert_eq!(order_fence.allow(at(10), MAX_CALL_TIME), Err(OrderRefusal::TooEarly));
    assert!(order_fence.allow(at(10) + MAX_ORDER_DELAY, MAX_CALL_TIME).is_ok());
}

#[test]
fn an_order_is_allowed_only_if_the_lease_outlasts_the_whole_call() {
    let order_fence = leased(2, at(0));
    let late = at(0) + LEASE_TTL - MAX_CALL_TIME;
    assert_eq!(order_fence.allow(late, MAX_CALL_TIME), Err(OrderRefusal::NoLease));
    let grant = order_fence.allow(at(5), MAX_CALL_TIME).expect("enough of the lease is left");
    assert!(grant.deadline < at(0) + LEASE_TTL);
}

#[test]
fn an_agent_that_was_paused_past_its_lease_sends_no_order() {
    let mut target = FakeTarget { checks_fence: false, highest: 0, loaded: None };
    let old = leased(1, at(0));
    let resumed = at(0) + LEASE_TTL + Duration::from_secs(1);
    let new = leased(2, resumed);
    let allowed = old.allow(resumed, MAX_CALL_TIME);
    if let Ok(grant) = allowed {
        target.apply(grant.fence, "old");
    }
    assert_eq!(allowed, Err(OrderRefusal::NoLease));
    let grant =
        new.allow(resumed + MAX_ORDER_DELAY, MAX_CALL_TIME).expect("the newer agent may order");
    target.apply(grant.fence, "new");
    assert_eq!(target.loaded, Some("new"));
}

#[test]
fn calls_of_two_agents_never_overlap() {
    for delay_ms in 0..40 {
        let old = leased(1, at(0));
        // The service grants the lease to the next agent only after it has expired.
        let granted = at(0) + LEASE_TTL + Duration::from_millis(delay_ms);
        let new = leased(2, granted);
        let old_end = (0..60)
            .filter_map(|second| old.allow(at(second), MAX_CALL_TIME).ok())
            .map(|grant| grant.deadline)
            .max();
        let new_start = (0..90_000).step_by(100).map(MonoTime::from_millis);
        let new_start = new_start.into_iter().find(|now| new.allow(*now, MAX_CALL_TIME).is_ok());
        assert!(
            old_end.expect("the older agent may order") + MAX_ORDER_DELAY
                <= new_start.expect("the newer agent may order")
        );
    }
}

#[test]
fn a_counter_above_the_own_token_ends_the_right_to_order() {
    let mut order_fence = leased(1, at(0));
    order_fence.counter_read(1);
    assert!(order_fence.allow(at(5), MAX_CALL_TIME).is_ok());
    order_fence.counter_read(2);
    assert_eq!(order_fence.allow(at(5), MAX_CALL_TIME), Err(OrderRefusal::Superseded));
}

#[test]
fn a_renewed_lease_counts_from_the_time_the_renewal_was_sent() {
    let mut order_fence = leased(1, at(0));
    order_fence.lease_renewed(at(20));
    assert!(order_fence.allow(at(30), MAX_CALL_TIME).is_ok());
    assert_eq!(order_fence.allow(at(40), MAX_CALL_TIME), Err(OrderRefusal::NoLease));
    order_fence.lease_lost();
    assert_eq!(order_fence.allow(at(21), MAX_CALL_TIME), Err(OrderRefusal::NoLease));
}

#[test]
fn there_is_one_permit_per_host_that_may_be_out_of_service() {
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
    let strategies = [(1, 0), (2, 1), (1, 1), (2, 2)]
        .map(|(capacity, loaded)| SwapStrategy::choose(capacity, loaded));
    insta::assert_debug_snapshot!(strategies, @r"
    [
        Initial,
        SideBySide,
        InPlace,
        InPlace,
    ]
    ");
}
