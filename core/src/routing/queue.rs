//! The order in which requests are served at one target.
//!
//! Classes go by priority, with a small share kept for the lower ones; within a class,
//! organisations share the target in proportion to their weights, counted in tokens (start-time
//! fair queueing); within an organisation, first come, first served.

mod class;
mod flow;
mod rate;

use crate::config::PriorityClass;
use crate::prelude::*;
use class::QueueClass;
use rate::ServiceRate;
use std::collections::BTreeSet;

/// Number of [`PriorityClass`]es.
const CLASS_COUNT: usize = 3;
/// Share of the work given to the lower classes while they and a higher one wait.
const LOWER_CLASS_SHARE: f64 = 0.1;
/// Room of each class relative to the others when the queue is full: low, normal, high.
const CLASS_ROOM: [f64; CLASS_COUNT] = [1.0, 4.0, 16.0];

/// Number of requests being served above which those without an end are looked for.
const MAX_SERVING: usize = 1_024;
/// Time after which the end of a work is no longer waited for.
const LONGEST_WORK: Duration = Duration::from_secs(3_600);

/// A request that waits. The queue keeps no bodies: whoever owns it finds them by `id`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueItem {
    /// Identifies the request; unique among those that wait.
    pub id: RequestId,
    /// The organisation that asks.
    pub organisation: OrganisationName,
    /// Weight of the organisation; 0 counts as 1.
    pub weight: u32,
    /// Class of the request.
    pub priority: PriorityClass,
    /// Estimated cost in tokens; 0 counts as 1.
    pub cost_tokens: u32,
    /// When the caller needs the whole answer.
    pub deadline: MonoTime,
}

/// A request that left the queue without being served: it did not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedItem {
    /// The request.
    pub item: QueueItem,
    /// [`ResultCode::Overloaded`] if there is no room or the wait would be too long,
    /// [`ResultCode::DeadlineBefore`] if its time has passed.
    pub code: ResultCode,
}

/// What comes out of a queue for a free slot.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PoppedItems {
    /// The request to serve now; none if nothing waits.
    pub next: Option<QueueItem>,
    /// Requests whose time has passed: they did not run.
    pub refused: Vec<RefusedItem>,
}

/// Bounds of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Most requests that wait.
    pub max_items: usize,
    /// Most tokens that wait, estimated; a single request of any size fits an empty queue.
    pub max_tokens: u64,
}

/// Where a waiting request is, and what was expected of its wait.
#[derive(Debug)]
struct WaitRecord {
    priority: PriorityClass,
    organisation: OrganisationName,
    queued_at: MonoTime,
    expected_wait: Duration,
}

/// Orders the requests that wait for one target.
///
/// Calls in the life of a request: [`push`](Self::push); then either it comes out of
/// [`pop`](Self::pop), or out of [`push`](Self::push) or [`expire`](Self::expire) as refused, or
/// [`remove`](Self::remove) takes it out. After it was popped and its work ended:
/// [`on_done`](Self::on_done), once. Pop as often as slots of the target are free, and call
/// [`expire`](Self::expire) at [`next_expiry`](Self::next_expiry). Every request comes out exactly
/// once, in one of these ways.
#[derive(Debug)]
pub struct FairQueue {
    limits: QueueLimits,
    classes: [QueueClass; CLASS_COUNT],
    max_wait: Duration,
    index: SortedTable<RequestId, WaitRecord>,
    /// When requests were taken out to be served.
    serving: SortedTable<RequestId, MonoTime>,
    expiries: BTreeSet<(MonoTime, RequestId)>,
    tokens: u64,
    rate: ServiceRate,
}

impl FairQueue {
    /// An empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            classes: CLASS_ROOM.map(QueueClass::new),
            max_wait: Duration::MAX,
            index: SortedTable::new(),
            serving: SortedTable::new(),
            expiries: BTreeSet::new(),
            tokens: 0,
            rate: ServiceRate::default(),
        }
    }

    /// Refuses at once whatever would be expected to wait longer than `max_wait`, whatever its
    /// deadline.
    pub fn with_max_wait(mut self, max_wait: Duration) -> Self {
        self.max_wait = max_wait;
        self
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Estimated tokens of the requests that wait.
    pub fn waiting_tokens(&self) -> u64 {
        self.tokens
    }

    /// Takes in a request and returns those that are refused at once: empty if `item` was queued
    /// and nothing had to give way. `item` itself is refused if its deadline cannot be met at the
    /// observed rate or its wait would exceed the bound, if its id waits already, or if the queue is full and no other organisation
    /// is further over its share; else the newest requests of the one furthest over give way.
    pub fn push(&mut self, now: MonoTime, item: QueueItem) -> Vec<RefusedItem> {
        if item.deadline <= now {
            return vec![RefusedItem { item, code: ResultCode::DeadlineBefore }];
        }
        let fluid_wait = self.fluid_wait(now, &item);
        if self.index.contains_key(&item.id) || !self.can_meet(now, &item, fluid_wait) {
            return vec![RefusedItem { item, code: ResultCode::Overloaded }];
        }
        let id = item.id;
        self.insert(now, item, fluid_wait);
        let mut refused = Vec::new();
        while self.is_over_limits() {
            let Some(item) = self.take_victim() else { break };
            let is_pushed = item.id == id;
            refused.push(RefusedItem { item, code: ResultCode::Overloaded });
            if is_pushed {
                break;
            }
        }
        refused
    }

    /// The next request to be served, for a free slot of the target; requests whose time has
    /// passed, or would pass before their work ends, come out beside it as refused.
    pub fn pop(&mut self, now: MonoTime) -> PoppedItems {
        let mut refused = self.expire(now);
        while let Some(item) = self.pop_next(now) {
            if now + self.rate.work_time(now, item.cost_tokens) < item.deadline {
                self.note_served(now, &item);
                return PoppedItems { next: Some(item), refused };
            }
            refused.push(RefusedItem { item, code: ResultCode::DeadlineBefore });
        }
        PoppedItems { next: None, refused }
    }

    fn pop_next(&mut self, now: MonoTime) -> Option<QueueItem> {
        let class = self.next_class()?;
        let item = self.classes[class].pop()?;
        if let Some(record) = self.drop_index(&item) {
            let waited = now.since(record.queued_at);
            self.classes[class].note_wait(&item.organisation, record.expected_wait, waited);
        }
        self.settle_credit(class, item.cost_tokens);
        Some(item)
    }

    /// Takes out the requests whose time has passed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<RefusedItem> {
        let mut refused = Vec::new();
        while let Some(&(expiry, id)) = self.expiries.first() {
            if expiry > now {
                break;
            }
            let Some(item) = self.remove(id) else { break };
            refused.push(RefusedItem { item, code: ResultCode::DeadlineBefore });
        }
        refused
    }

    /// When the next waiting request expires.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.expiries.first().map(|(expiry, _)| *expiry)
    }

    /// Takes out a request, such as a cancelled one.
    pub fn remove(&mut self, id: RequestId) -> Option<QueueItem> {
        let record = self.index.get(&id)?;
        let item = self.classes[record.priority as usize].remove(&record.organisation, id)?;
        self.drop_index(&item);
        Some(item)
    }

    /// The work of a popped request ended, whole or not, after `actual` tokens; 0 if it was not run
    /// after all. The difference to `item`'s estimate is put on the account of its organisation.
    pub fn on_done(&mut self, now: MonoTime, item: &QueueItem, actual: u32) {
        self.classes[item.priority as usize].correct(&item.organisation, item, actual);
        if let Some(started) = self.serving.remove(&item.id)
            && actual > 0
        {
            let took = now.since(started);
            self.rate.on_done(now, item.cost_tokens, took, !self.is_empty());
        }
    }

    /// How long a request of this organisation, weight, class and cost would wait, at the rate
    /// observed lately; zero while no rate is known.
    pub fn expected_wait(&self, now: MonoTime, item: &QueueItem) -> Duration {
        self.corrected_wait(item, self.fluid_wait(now, item))
    }

    fn corrected_wait(&self, item: &QueueItem, fluid_wait: Duration) -> Duration {
        let ratio = self.classes[item.priority as usize].wait_ratio(&item.organisation);
        Duration::try_from_secs_f64(fluid_wait.as_secs_f64() * ratio).unwrap_or(Duration::MAX)
    }

    /// The wait if nothing further came.
    fn fluid_wait(&self, now: MonoTime, item: &QueueItem) -> Duration {
        let class = item.priority as usize;
        let higher: u64 = self.classes[class + 1..].iter().map(QueueClass::tokens).sum();
        self.rate.wait_time(now, higher + self.classes[class].tokens_before(item))
    }

    fn can_meet(&self, now: MonoTime, item: &QueueItem, fluid_wait: Duration) -> bool {
        let wait = self.corrected_wait(item, fluid_wait);
        let work = self.rate.work_time(now, item.cost_tokens);
        wait <= self.max_wait && now + wait + work < item.deadline
    }

    fn insert(&mut self, now: MonoTime, item: QueueItem, fluid_wait: Duration) {
        let record = WaitRecord {
            priority: item.priority,
            organisation: item.organisation.clone(),
            queued_at: now,
            expected_wait: fluid_wait,
        };
        self.index.insert(item.id, record);
        self.tokens += u64::from(item.cost_tokens);
        self.expiries.insert((item.deadline, item.id));
        self.classes[item.priority as usize].push(item);
    }

    fn drop_index(&mut self, item: &QueueItem) -> Option<WaitRecord> {
        self.tokens -= u64::from(item.cost_tokens);
        self.expiries.remove(&(item.deadline, item.id));
        self.index.remove(&item.id)
    }

    /// Notes the start of `item`'s work; starts whose end was never told are forgotten.
    fn note_served(&mut self, now: MonoTime, item: &QueueItem) {
        if self.serving.len() >= MAX_SERVING {
            self.serving.retain(|_, started| now.since(*started) < LONGEST_WORK);
        }
        self.serving.insert(item.id, now);
    }

    fn is_over_limits(&self) -> bool {
        let too_many = self.index.len() > self.limits.max_items;
        too_many || (self.tokens > self.limits.max_tokens && self.index.len() > 1)
    }

    /// The newest request of the organisation that is furthest over its share.
    fn take_victim(&mut self) -> Option<QueueItem> {
        let fullest = self.classes.iter_mut().filter(|class| !class.is_empty());
        let class = fullest.max_by(|left, right| left.excess().total_cmp(&right.excess()))?;
        let item = class.pop_newest_of_largest()?;
        self.drop_index(&item);
        Some(item)
    }

    /// The highest class that waits, or a lower one that has saved up enough credit.
    fn next_class(&self) -> Option<usize> {
        let due = self.classes.iter().position(QueueClass::is_due);
        due.or_else(|| self.classes.iter().rposition(|class| !class.is_empty()))
    }

    fn settle_credit(&mut self, served: usize, cost_tokens: u32) {
        let cost = f64::from(cost_tokens);
        self.classes[served].spend_credit(cost);
        for class in &mut self.classes[..served] {
            class.earn_credit(cost * LOWER_CLASS_SHARE);
        }
    }
}
