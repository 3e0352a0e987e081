//! Tests of queue fairness under load: no organisation waits for another's burst, and no request is
//! lost or served twice.

use buckthornwharf_core::config::PriorityClass;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::routing::{FairQueue, QueueItem, QueueLimits, RefusedItem};
use proptest::prelude::*;
use std::collections::VecDeque;

const LIMITS: QueueLimits = QueueLimits { max_items: 400, max_tokens: 100_000 };
/// Maximum cost of a request in these tests.
const MAX_COST_TOKENS: u32 = 100;
/// Processing time per token.
const TOKEN_TIME: Duration = Duration::from_millis(10);

/// A target that serves one request at a time, with its queue.
struct SingleSlotTarget {
    queue: FairQueue,
    now: MonoTime,
    serving: Option<(QueueItem, MonoTime)>,
    started: Vec<(RequestId, MonoTime)>,
}

impl SingleSlotTarget {
    fn new() -> Self {
        let queue = FairQueue::new(LIMITS);
        Self { queue, now: MonoTime::ZERO, serving: None, started: Vec::new() }
    }

    fn push(&mut self, at: MonoTime, item: QueueItem) {
        self.run_until(at);
        self.queue.push(at, item);
        self.start_next();
    }

    fn run_until(&mut self, until: MonoTime) {
        while let Some((item, end)) = self.serving.take() {
            if end > until {
                self.serving = Some((item, end));
                break;
            }
            self.now = end;
            self.queue.on_done(end, &item, item.cost_tokens);
            self.start_next();
        }
        self.now = until;
    }

    fn start_next(&mut self) {
        if self.serving.is_some() {
            return;
        }
        let Some(item) = self.queue.pop(self.now).next else { return };
        self.started.push((item.id, self.now));
        let end = self.now + TOKEN_TIME * item.cost_tokens;
        self.serving = Some((item, end));
    }

    fn wait_since(&self, id: u128, since: MonoTime) -> Option<Duration> {
        let started = self.started.iter().find(|(other, _)| other.0 == id);
        started.map(|(_, at)| at.since(since))
    }
}

fn item(id: u128, organisation: &str, cost_tokens: u32) -> QueueItem {
    QueueItem {
        id: RequestId(id),
        organisation: organisation.into(),
        weight: 1,
        priority: PriorityClass::Normal,
        cost_tokens,
        deadline: MonoTime::from_millis(10_000_000),
    }
}

/// Longest wait of a small organisation's request, whatever the others have queued: the request in
/// service ends, then each other organisation gets at most one request served ahead of it.
fn wait_bound(other_organisations: usize) -> Duration {
    TOKEN_TIME * MAX_COST_TOKENS * (other_organisations as u32 + 1)
}

/// Queues one burst of requests per large organisation and a single request of a small one; returns
/// the wait of the latter.
fn wait_of_small(bursts: &[Vec<u32>], small_arrival_ms: u64, small_name: &str) -> Option<Duration> {
    let mut target = SingleSlotTarget::new();
    let mut id = 1;
    for (index, burst) in bursts.iter().enumerate() {
        for cost in burst {
            target.push(MonoTime::ZERO, item(id, &format!("large-{index}"), *cost));
            id += 1;
        }
    }
    let small_arrival = MonoTime::from_millis(small_arrival_ms);
    target.push(small_arrival, item(0, small_name, 20));
    target.run_until(MonoTime::from_millis(9_000_000));
    target.wait_since(0, small_arrival)
}

#[test]
fn a_small_organisation_does_not_wait_for_the_burst_of_another() {
    let burst = vec![MAX_COST_TOKENS; 200];
    let wait_alone = wait_of_small(std::slice::from_ref(&burst), 1_500, "small").unwrap();
    let wait_in_burst = wait_of_small(&[burst], 1_500, "large-0").unwrap();
    assert!(wait_alone <= wait_bound(1), "{wait_alone:?}");
    assert!(wait_in_burst > wait_bound(1) * 50, "{wait_in_burst:?}");
}

proptest! {
    /// Whatever the other organisations queue and whenever the small organisation's request
    /// arrives, it waits at most for the request in service and one of each other organisation.
    #[test]
    fn bursts_do_not_push_a_small_organisation_beyond_the_bound(
        bursts in prop::collection::vec(prop::collection::vec(1u32..=MAX_COST_TOKENS, 1..60), 1..6),
        small_arrival_ms in 0u64..40_000,
    ) {
        let wait = wait_of_small(&bursts, small_arrival_ms, "small");
        let bound = wait_bound(bursts.len());
        prop_assert!(wait.is_some_and(|wait| wait <= bound), "{wait:?} over {bound:?}");
    }

    /// Organisations with a constant backlog share the target by weight, to within one request.
    #[test]
    fn backlogged_organisations_share_by_weight(
        costs in prop::collection::vec((1u32..=MAX_COST_TOKENS, 1u32..=MAX_COST_TOKENS), 50..60),
        weight in 1u32..6,
    ) {
        let mut queue = FairQueue::new(LIMITS);
        for (at, (light, heavy)) in costs.iter().enumerate() {
            let id = at as u128 * 2;
            queue.push(MonoTime::ZERO, item(id, "light", *light));
            queue.push(MonoTime::ZERO, QueueItem { weight, ..item(id + 1, "heavy", *heavy) });
        }
        let (mut light, mut heavy) = (0u32, 0u32);
        for _ in 0..20 {
            let popped = queue.pop(MonoTime::ZERO).next.unwrap();
            let served = if popped.id.0.is_multiple_of(2) { &mut light } else { &mut heavy };
            *served += popped.cost_tokens;
        }
        let gap = f64::from(light) - f64::from(heavy) / f64::from(weight);
        prop_assert!(gap.abs() <= f64::from(MAX_COST_TOKENS), "light {light} heavy {heavy}");
    }
}

/// One operation on a queue.
#[derive(Debug, Clone)]
enum QueueStep {
    Push { organisation: u8, weight: u32, priority: PriorityClass, cost: u32, timeout_ms: u64 },
    Pop,
    Done(u32),
    Remove(usize),
    Expire,
    Advance(u64),
}

fn any_step() -> impl Strategy<Value = QueueStep> {
    let classes = [PriorityClass::Low, PriorityClass::Normal, PriorityClass::High];
    let push = (0u8..5, 0u32..4, prop::sample::select(classes.to_vec()), 0u32..50, 0u64..5_000);
    let push = push.prop_map(|(organisation, weight, priority, cost, timeout_ms)| {
        QueueStep::Push { organisation, weight, priority, cost, timeout_ms }
    });
    prop_oneof![
        8 => push,
        4 => Just(QueueStep::Pop),
        2 => (0u32..100).prop_map(QueueStep::Done),
        1 => (0usize..40).prop_map(QueueStep::Remove),
        1 => Just(QueueStep::Expire),
        2 => (0u64..400).prop_map(QueueStep::Advance),
    ]
}

/// Reference model of a queue without order: the waiting requests, and the removed ones.
#[derive(Default)]
struct ReferenceQueue {
    waiting: Vec<QueueItem>,
    removed_ids: Vec<RequestId>,
}

impl ReferenceQueue {
    /// Removes `id`; returns `false` if it is not waiting.
    fn remove_waiting(&mut self, id: RequestId) -> bool {
        let Some(at) = self.waiting.iter().position(|item| item.id == id) else { return false };
        self.waiting.remove(at);
        self.removed_ids.push(id);
        true
    }

    fn remove_refused(&mut self, refused: &[RefusedItem]) -> bool {
        refused.iter().all(|refused| self.remove_waiting(refused.item.id))
    }
}

proptest! {
    /// Compared with a reference model, every request leaves the queue exactly once, as served,
    /// refused or removed; none is served after its deadline; the limits hold.
    #[test]
    fn every_request_leaves_exactly_once(steps in prop::collection::vec(any_step(), 1..200)) {
        let limits = QueueLimits { max_items: 20, max_tokens: 500 };
        let mut queue = FairQueue::new(limits);
        let mut model = ReferenceQueue::default();
        let mut serving = VecDeque::new();
        let mut now = MonoTime::ZERO;
        for (index, step) in steps.into_iter().enumerate() {
            match step {
                QueueStep::Push { organisation, weight, priority, cost, timeout_ms } => {
                    let id = index as u128;
                    let deadline = now + Duration::from_millis(timeout_ms);
                    let name = format!("organisation-{organisation}");
                    let pushed = QueueItem { weight, priority, deadline, ..item(id, &name, cost) };
                    model.waiting.push(pushed.clone());
                    let refused = queue.push(now, pushed);
                    prop_assert!(model.remove_refused(&refused));
                }
                QueueStep::Pop => {
                    let popped = queue.pop(now);
                    prop_assert!(model.remove_refused(&popped.refused));
                    prop_assert!(popped.next.is_some() || model.waiting.is_empty());
                    if let Some(item) = popped.next {
                        prop_assert!(item.deadline > now);
                        prop_assert!(model.remove_waiting(item.id));
                        serving.push_back(item);
                    }
                }
                QueueStep::Done(actual) => {
                    if let Some(item) = serving.pop_front() {
                        queue.on_done(now, &item, actual);
                    }
                }
                QueueStep::Remove(index) => {
                    let id = RequestId(index as u128);
                    prop_assert_eq!(queue.remove(id).is_some(), model.remove_waiting(id));
                }
                QueueStep::Expire => {
                    let refused = queue.expire(now);
                    prop_assert!(refused.iter().all(|refused| refused.item.deadline <= now));
                    prop_assert!(model.remove_refused(&refused));
                    prop_assert!(model.waiting.iter().all(|item| item.deadline > now));
                }
                QueueStep::Advance(millis) => now = now + Duration::from_millis(millis),
            }
            let tokens: u64 = model.waiting.iter().map(|item| u64::from(item.cost_tokens)).sum();
            prop_assert_eq!((queue.len(), queue.waiting_tokens()), (model.waiting.len(), tokens));
            prop_assert!(queue.len() <= limits.max_items);
            prop_assert!(tokens <= limits.max_tokens || queue.len() == 1);
        }
    }
}
