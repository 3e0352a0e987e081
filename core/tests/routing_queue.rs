//! Tests of the fair queue: service order, limits, deadlines and cost accounting.

use buckthornwharf_core::config::PriorityClass;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::routing::{FairQueue, QueueItem, QueueLimits};

const LARGE_LIMITS: QueueLimits = QueueLimits { max_items: 1_000, max_tokens: 1_000_000 };

fn item(id: u128, organisation: &str, cost_tokens: u32) -> QueueItem {
    QueueItem {
        id: RequestId(id),
        organisation: organisation.into(),
        weight: 1,
        priority: PriorityClass::Normal,
        cost_tokens,
        deadline: MonoTime::from_millis(60_000),
    }
}

fn drain(queue: &mut FairQueue) -> Vec<u128> {
    std::iter::from_fn(|| queue.pop(MonoTime::ZERO).next).map(|item| item.id.0).collect()
}

#[test]
fn organisations_share_by_tokens_and_weight() {
    let mut queue = FairQueue::new(LARGE_LIMITS);
    for id in 0..6 {
        assert_eq!(queue.push(MonoTime::ZERO, item(id, "large", 100)), []);
    }
    for id in 10..13 {
        let heavy = QueueItem { weight: 2, ..item(id, "heavy", 100) };
        assert_eq!(queue.push(MonoTime::ZERO, heavy), []);
    }
    assert_eq!(queue.push(MonoTime::ZERO, item(20, "small", 10)), []);
    let order = format!("{:?}", drain(&mut queue));
    insta::assert_snapshot!(order, @"[10, 0, 20, 11, 12, 1, 2, 3, 4, 5]");
}

#[test]
fn higher_classes_go_first_and_reserve_a_share_for_lower_ones() {
    let mut queue = FairQueue::new(LARGE_LIMITS);
    for id in 0..30 {
        let high = QueueItem { priority: PriorityClass::High, ..item(id, "urgent", 10) };
        assert_eq!(queue.push(MonoTime::ZERO, high), []);
    }
    for id in 100..102 {
        let low = QueueItem { priority: PriorityClass::Low, ..item(id, "batch", 10) };
        assert_eq!(queue.push(MonoTime::ZERO, low), []);
    }
    let order = drain(&mut queue);
    let positions = order.iter().enumerate().filter(|(_, id)| **id >= 100);
    let positions = format!("{:?}", positions.collect::<Vec<_>>());
    insta::assert_snapshot!(positions, @"[(10, 100), (21, 101)]");
}

#[test]
fn a_full_queue_refuses_the_organisation_furthest_over_its_share() {
    let mut queue = FairQueue::new(QueueLimits { max_items: 4, ..LARGE_LIMITS });
    for id in 0..4 {
        assert_eq!(queue.push(MonoTime::ZERO, item(id, "large", 10)), []);
    }
    let refused = queue.push(MonoTime::ZERO, item(10, "small", 10));
    assert_eq!(refused.len(), 1);
    assert_eq!((refused[0].item.id.0, refused[0].code), (3, ResultCode::Overloaded));
    let refused = queue.push(MonoTime::ZERO, item(4, "large", 10));
    assert_eq!((refused[0].item.id.0, refused[0].code), (4, ResultCode::Overloaded));
    assert_eq!(drain(&mut queue), [0, 10, 1, 2]);
}

#[test]
fn expired_requests_come_out_as_not_run() {
    let mut queue = FairQueue::new(LARGE_LIMITS);
    let short = QueueItem { deadline: MonoTime::from_millis(50), ..item(1, "large", 10) };
    assert_eq!(queue.push(MonoTime::ZERO, short), []);
    assert_eq!(queue.push(MonoTime::ZERO, item(2, "large", 10)), []);
    assert_eq!(queue.next_expiry(), Some(MonoTime::from_millis(50)));
    let popped = queue.pop(MonoTime::from_millis(50));
    assert_eq!(popped.refused.len(), 1);
    assert_eq!(popped.refused[0].code, ResultCode::DeadlineBefore);
    assert_eq!(popped.next.map(|item| item.id), Some(RequestId(2)));
    assert!(queue.is_empty());
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut queue = FairQueue::new(LARGE_LIMITS);
    for id in 0..40 {
        assert_eq!(queue.push(MonoTime::ZERO, item(id, "large", 100)), []);
    }
    for step in 0..20 {
        let done = queue.pop(MonoTime::from_millis(step * 100)).next.unwrap();
        queue.on_done(MonoTime::from_millis(step * 100), &done, 100);
    }
    let now = MonoTime::from_millis(2_000);
    let short_deadline =
        QueueItem { deadline: MonoTime::from_millis(3_000), ..item(99, "large", 100) };
    let refused = queue.push(now, short_deadline.clone());
    assert_eq!(refused[0].code, ResultCode::Overloaded);
    assert_eq!(queue.push(now, QueueItem { organisation: "small".into(), ..short_deadline }), []);
}

#[test]
fn a_removed_request_is_not_served() {
    let mut queue = FairQueue::new(LARGE_LIMITS);
    assert_eq!(queue.push(MonoTime::ZERO, item(1, "large", 10)), []);
    assert_eq!(queue.push(MonoTime::ZERO, item(2, "large", 10)), []);
    assert!(queue.remove(RequestId(1)).is_some());
    assert!(queue.remove(RequestId(1)).is_none());
    assert_eq!(queue.waiting_tokens(), 10);
    assert_eq!(drain(&mut queue), [2]);
}

#[test]
fn an_idle_organisation_earns_no_credit() {
    let mut queue = FairQueue::new(LARGE_LIMITS);
    for id in 0..20 {
        assert_eq!(queue.push(MonoTime::ZERO, item(id, "busy", 100)), []);
    }
    for _ in 0..10 {
        assert!(queue.pop(MonoTime::ZERO).next.is_some());
    }
    for id in 100..104 {
        assert_eq!(queue.push(MonoTime::ZERO, item(id, "returned", 100)), []);
    }
    let order = format!("{:?}", &drain(&mut queue)[..8]);
    insta::assert_snapshot!(order, @"[100, 10, 101, 11, 102, 12, 103, 13]");
}

#[test]
fn actual_costs_are_charged_instead_of_estimates() {
    let mut queue = FairQueue::new(LARGE_LIMITS);
    for id in 0..8 {
        assert_eq!(queue.push(MonoTime::ZERO, item(id, "dear", 100)), []);
        assert_eq!(queue.push(MonoTime::ZERO, item(id + 100, "fair", 100)), []);
    }
    let mut order = Vec::new();
    for _ in 0..8 {
        let served = queue.pop(MonoTime::ZERO).next.unwrap();
        let actual = if served.id.0 < 100 { 300 } else { 100 };
        queue.on_done(MonoTime::ZERO, &served, actual);
        order.push(served.id.0);
    }
    insta::assert_snapshot!(format!("{order:?}"), @"[0, 100, 101, 102, 1, 103, 104, 105]");
}

#[test]
fn a_wait_beyond_the_limit_is_refused_whatever_the_deadline() {
    let mut queue = FairQueue::new(LARGE_LIMITS).with_max_wait(Duration::from_millis(500));
    let mut refused = 0;
    for step in 0..200 {
        let now = MonoTime::from_millis(step * 100);
        if let Some(served) = queue.pop(now).next {
            let end = now + Duration::from_millis(100);
            queue.on_done(end, &served, 100);
        }
        for id in [step * 2, step * 2 + 1] {
            refused += queue.push(now, item(u128::from(id), "large", 100)).len();
        }
    }
    let waiting = queue.len();
    assert!(waiting <= 10, "{waiting} wait");
    assert!(refused >= 180, "{refused} refused");
}

#[test]
fn a_request_that_would_miss_its_deadline_is_not_started() {
    let mut queue = FairQueue::new(LARGE_LIMITS);
    assert_eq!(queue.push(MonoTime::ZERO, item(0, "large", 100)), []);
    let first = queue.pop(MonoTime::ZERO).next.unwrap();
    let short_deadline =
        QueueItem { deadline: MonoTime::from_millis(2_500), ..item(1, "large", 100) };
    assert_eq!(queue.push(MonoTime::ZERO, short_deadline), []);
    queue.on_done(MonoTime::from_millis(2_000), &first, 100);
    let popped = queue.pop(MonoTime::from_millis(2_000));
    assert_eq!(popped.next, None);
    assert_eq!(popped.refused[0].code, ResultCode::DeadlineBefore);
}
