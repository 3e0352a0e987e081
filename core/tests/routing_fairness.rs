//! Tests of the order of service under load: no organisation waits for another's burst, no request
//! is lost or served twice.

use buckthornwharf_core::config::PriorityClass;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::routing::{FairQueue, QueueItem, QueueLimits, RefusedItem};
use proptest::prelude::*;
use std::collections::VecDeque;

const LIMITS: QueueLimits = QueueLimits { max_items: 400, max_tokens: 100_000 };
/// Most tokens of a request in these tests.
const MAX_COST: u32 = 100;
/// Time that a target takes for one token.
const TOKEN_TIME: Duration = Duration::from_millis(10);

/// A target that serves one request at a time, and the queue before it.
struct OneSlotTarget {
    queue: FairQueue,
    now: MonoTime,
    serving: Option<(QueueItem, MonoTime)>,
    started: Vec<(RequestId, MonoTime)>,
}

impl OneSlotTarget {
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

    fn wait_of(&self, id: u128, since: MonoTime) -> Option<Duration> {
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

/// The longest wait of a small organisation's request, whatever others have queued: what is being
/// served ends, then each other organisation is served at most one request ahead of it.
fn wait_bound(others: usize) -> Duration {
    TOKEN_TIME * MAX_COST * (others as u32 + 1)
}

/// Plays bursts of `large` organisations and one request of a small one; how long that one waits.
fn small_wait(bursts: &[Vec<u32>], small_at_ms: u64, small_name: &str) -> Option<Duration> {
    let mut target = OneSlotTarget::new();
    let mut id = 1;
    for (number, burst) in bursts.iter().enumerate() {
        for cost in burst {
            target.push(MonoTime::ZERO, item(id, &format!("large-{number}"), *cost));
            id += 1;
        }
    }
    let small_at = MonoTime::from_millis(small_at_ms);
    target.push(small_at, item(0, small_name, 20));
    target.run_until(MonoTime::from_millis(9_000_000));
    target.wait_of(0, small_at)
}

#[test]
fn without_its_own_queue_a_small_organisation_waits_for_the_burst() {
    let burst = vec![MAX_COST; 200];
    let alone = small_wait(std::slice::from_ref(&burst), 1_500, "small").unwrap();
    let within_burst = small_wait(&[burst], 1_500, "large-0").unwrap();
    assert!(alone <= wait_bound(1), "{alone:?}");
    assert!(within_burst > wait_bound(1) * 50, "{within_burst:?}");
}

proptest! {
    /// However many requests others send and whenever the small organisation asks, its wait is
    /// bounded by one request of each other organisation and the one being served.
    #[test]
    fn bursts_do_not_push_a_small_organisation_beyond_the_bound(
        bursts in prop::collection::vec(prop::collection::vec(1u32..=MAX_COST, 1..60), 1..6),
        small_at_ms in 0u64..40_000,
    ) {
        let wait = small_wait(&bursts, small_at_ms, "small");
        let bound = wait_bound(bursts.len());
        prop_assert!(wait.is_some_and(|wait| wait <= bound), "{wait:?} over {bound:?}");
    }

    /// Organisations that always have work share it by weight, to the size of a request.
    #[test]
    fn busy_organisations_share_by_weight(
        costs in prop::collection::vec((1u32..=MAX_COST, 1u32..=MAX_COST), 50..60),
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
        prop_assert!(gap.abs() <= f64::from(MAX_COST), "light {light} heavy {heavy}");
    }
}

/// Something that happens to a queue.
#[derive(Debug, Clone)]
enum QueueStep {
    Push { organisation: u8, weight: u32, priority: PriorityClass, cost: u32, patience_ms: u64 },
    Pop,
    Done(u32),
    Remove(usize),
    Expire,
    Wait(u64),
}

fn any_step() -> impl Strategy<Value = QueueStep> {
    let classes = [PriorityClass::Low, PriorityClass::Normal, PriorityClass::High];
    let push = (0u8..5, 0u32..4, prop::sample::select(classes.to_vec()), 0u32..50, 0u64..5_000);
    let push = push.prop_map(|(organisation, weight, priority, cost, patience_ms)| {
        QueueStep::Push { organisation, weight, priority, cost, patience_ms }
    });
    prop_oneof![
        8 => push,
        4 => Just(QueueStep::Pop),
        2 => (0u32..100).prop_map(QueueStep::Done),
        1 => (0usize..40).prop_map(QueueStep::Remove),
        1 => Just(QueueStep::Expire),
        2 => (0u64..400).prop_map(QueueStep::Wait),
    ]
}

/// A queue without any order: what waits, and what came out.
#[derive(Default)]
struct NaiveQueue {
    waiting: Vec<QueueItem>,
    gone: Vec<RequestId>,
}

impl NaiveQueue {
    /// Notes that `id` came out; false if it does not wait.
    fn take(&mut self, id: RequestId) -> bool {
        let Some(at) = self.waiting.iter().position(|item| item.id == id) else { return false };
        self.waiting.remove(at);
        self.gone.push(id);
        true
    }

    fn take_refused(&mut self, refused: &[RefusedItem]) -> bool {
        refused.iter().all(|refused| self.take(refused.item.id))
    }
}

proptest! {
    /// Against a naive queue: every request comes out exactly once, as served, refused or removed;
    /// none is served after its time; bounds hold.
    #[test]
    fn every_request_comes_out_once(steps in prop::collection::vec(any_step(), 1..200)) {
        let limits = QueueLimits { max_items: 20, max_tokens: 500 };
        let mut queue = FairQueue::new(limits);
        let mut naive = NaiveQueue::default();
        let mut serving = VecDeque::new();
        let mut now = MonoTime::ZERO;
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                QueueStep::Push { organisation, weight, priority, cost, patience_ms } => {
                    let id = number as u128;
                    let deadline = now + Duration::from_millis(patience_ms);
                    let name = format!("organisation-{organisation}");
                    let pushed = QueueItem { weight, priority, deadline, ..item(id, &name, cost) };
                    naive.waiting.push(pushed.clone());
                    let refused = queue.push(now, pushed);
                    prop_assert!(naive.take_refused(&refused));
                }
                QueueStep::Pop => {
                    let popped = queue.pop(now);
                    prop_assert!(naive.take_refused(&popped.refused));
                    prop_assert!(popped.next.is_some() || naive.waiting.is_empty());
                    if let Some(item) = popped.next {
                        prop_assert!(item.deadline > now);
                        prop_assert!(naive.take(item.id));
                        serving.push_back(item);
                    }
                }
                QueueStep::Done(actual) => {
                    if let Some(item) = serving.pop_front() {
                        queue.on_done(now, &item, actual);
                    }
                }
                QueueStep::Remove(number) => {
                    let id = RequestId(number as u128);
                    prop_assert_eq!(queue.remove(id).is_some(), naive.take(id));
                }
                QueueStep::Expire => {
                    let refused = queue.expire(now);
                    prop_assert!(refused.iter().all(|refused| refused.item.deadline <= now));
                    prop_assert!(naive.take_refused(&refused));
                    prop_assert!(naive.waiting.iter().all(|item| item.deadline > now));
                }
                QueueStep::Wait(millis) => now = now + Duration::from_millis(millis),
            }
            let tokens: u64 = naive.waiting.iter().map(|item| u64::from(item.cost_tokens)).sum();
            prop_assert_eq!((queue.len(), queue.waiting_tokens()), (naive.waiting.len(), tokens));
            prop_assert!(queue.len() <= limits.max_items);
            prop_assert!(tokens <= limits.max_tokens || queue.len() == 1);
        }
    }
}
