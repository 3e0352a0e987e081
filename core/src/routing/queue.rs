//! Request scheduling: the queue in front of one target.
//!
//! Priority classes are served in strict order, except for a small share reserved for lower
//! classes. Within a class, organisations share the target in proportion to their weights, measured
//! in tokens (start-time fair queueing). Within an organisation, requests are served in FIFO order.

mod class;
mod flow;
mod rate;
mod start_tag;

use crate::config::PriorityClass;
use crate::prelude::*;
use class::QueueClass;
use rate::TargetThroughput;
pub(crate) use start_tag::StartTag;
use std::collections::BTreeSet;

/// Number of [`PriorityClass`]es.
const CLASS_COUNT: usize = 3;
/// Tokens credited to each lower class per token served of a higher one.
const LOWER_CLASS_SHARE: f64 = 0.1;
/// Relative queue capacity of the classes when the queue is full: low, normal, high.
const CLASS_CAPACITY_WEIGHTS: [f64; CLASS_COUNT] = [1.0, 4.0, 16.0];

/// Number of requests in service from which stale records are pruned.
const SERVING_PRUNE_THRESHOLD: usize = 1_024;
/// Age at which the record of a request in service is stale: its end was never reported.
const MAX_PROCESSING_TIME: Duration = Duration::from_secs(3_600);

/// A queued request. The queue holds no bodies: its owner looks them up by `id`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueItem {
    /// Identifies the request; unique among the queued ones.
    pub id: RequestId,
    /// The requesting organisation.
    pub organisation: OrganisationName,
    /// Weight of the organisation; 0 counts as 1.
    pub weight: u32,
    /// Priority class of the request.
    pub priority: PriorityClass,
    /// Estimated cost in tokens; 0 counts as 1.
    pub cost_tokens: u32,
    /// Time by which the caller needs the complete answer.
    pub deadline: MonoTime,
}

/// A request refused by the queue: it did not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedItem {
    /// The request.
    pub item: QueueItem,
    /// [`ResultCode::Overloaded`] if the queue is full or the wait would be too long,
    /// [`ResultCode::DeadlineBefore`] if the deadline passed or would pass during processing.
    pub code: ResultCode,
}

/// Result of [`FairQueue::pop`].
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PopResult {
    /// The request to serve now; none if the queue is empty.
    pub next: Option<QueueItem>,
    /// Requests whose deadline cannot be met any more: they did not run.
    pub refused: Vec<RefusedItem>,
}

/// Capacity of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of queued requests.
    pub max_items: usize,
    /// Maximum estimated tokens of the queued requests; an empty queue admits any single request.
    pub max_tokens: u64,
}

/// Position of a queued request, and its predicted wait.
#[derive(Debug)]
struct WaitRecord {
    priority: PriorityClass,
    organisation: OrganisationName,
    queued_at: MonoTime,
    /// Wait predicted from the backlog at admission.
    predicted_wait: Duration,
}

/// Schedules the requests queued for one target.
///
/// Every request given to [`push`](Self::push) leaves the queue exactly once: it is returned as the
/// next request by [`pop`](Self::pop), as refused by [`push`](Self::push), [`pop`](Self::pop) or
/// [`expire`](Self::expire), or by [`remove`](Self::remove). Call [`pop`](Self::pop) for each free
/// slot of the target, [`on_done`](Self::on_done) once when a popped request ended, and
/// [`expire`](Self::expire) at [`next_expiry`](Self::next_expiry).
#[derive(Debug)]
pub struct FairQueue {
    limits: QueueLimits,
    classes: [QueueClass; CLASS_COUNT],
    max_wait: Duration,
    waiting: SortedTable<RequestId, WaitRecord>,
    /// Start times of the requests in service.
    serving: SortedTable<RequestId, MonoTime>,
    deadlines: BTreeSet<(MonoTime, RequestId)>,
    tokens: u64,
    throughput: TargetThroughput,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            classes: CLASS_CAPACITY_WEIGHTS.map(QueueClass::new),
            max_wait: Duration::MAX,
            waiting: SortedTable::new(),
            serving: SortedTable::new(),
            deadlines: BTreeSet::new(),
            tokens: 0,
            throughput: TargetThroughput::default(),
        }
    }

    /// Limits the expected wait: a request that would wait longer is refused on admission, whatever
    /// its deadline.
    pub fn with_max_wait(mut self, max_wait: Duration) -> Self {
        self.max_wait = max_wait;
        self
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Estimated tokens of the queued requests.
    pub fn waiting_tokens(&self) -> u64 {
        self.tokens
    }

    /// Queues `item` and returns the requests refused as a result, if any.
    ///
    /// `item` itself is refused if its deadline cannot be met at the observed throughput, if its
    /// expected wait exceeds the limit, or if its id is queued already. If the queue is full, the
    /// newest requests of the organisation furthest over its share are refused, which may include
    /// `item`.
    pub fn push(&mut self, now: MonoTime, item: QueueItem) -> Vec<RefusedItem> {
        if item.deadline <= now {
            return vec![RefusedItem { item, code: ResultCode::DeadlineBefore }];
        }
        let backlog_wait = self.backlog_wait(now, &item);
        if self.waiting.contains_key(&item.id) || !self.can_meet_deadline(now, &item, backlog_wait)
        {
            return vec![RefusedItem { item, code: ResultCode::Overloaded }];
        }
        let id = item.id;
        self.insert(now, item, backlog_wait);
        let mut refused = Vec::new();
        while self.is_over_limits() {
            let Some(item) = self.evict_newest() else { break };
            let is_pushed = item.id == id;
            refused.push(RefusedItem { item, code: ResultCode::Overloaded });
            if is_pushed {
                break;
            }
        }
        refused
    }

    /// Takes the next request for a free slot of the target. Requests whose deadline has passed, or
    /// would pass during processing, are refused instead.
    pub fn pop(&mut self, now: MonoTime) -> PopResult {
        let mut refused = self.expire(now);
        while let Some(item) = self.pop_next(now) {
            if now + self.throughput.processing_time(now, item.cost_tokens) < item.deadline {
                self.record_start(now, &item);
                return PopResult { next: Some(item), refused };
            }
            refused.push(RefusedItem { item, code: ResultCode::DeadlineBefore });
        }
        PopResult { next: None, refused }
    }

    fn pop_next(&mut self, now: MonoTime) -> Option<QueueItem> {
        let class = self.next_class()?;
        let item = self.classes[class].pop()?;
        if let Some(record) = self.unindex(&item) {
            let waited = now.since(record.queued_at);
            self.classes[class].record_wait(&item.organisation, record.predicted_wait, waited);
        }
        self.update_credits(class, item.cost_tokens);
        Some(item)
    }

    /// Removes the requests whose deadline has passed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<RefusedItem> {
        let mut refused = Vec::new();
        while let Some(&(expiry, id)) = self.deadlines.first() {
            if expiry > now {
                break;
            }
            let Some(item) = self.remove(id) else { break };
            refused.push(RefusedItem { item, code: ResultCode::DeadlineBefore });
        }
        refused
    }

    /// The earliest deadline of a queued request.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.deadlines.first().map(|(expiry, _)| *expiry)
    }

    /// Removes a request, such as a cancelled one.
    pub fn remove(&mut self, id: RequestId) -> Option<QueueItem> {
        let record = self.waiting.get(&id)?;
        let item = self.classes[record.priority as usize].remove(&record.organisation, id)?;
        self.unindex(&item);
        Some(item)
    }

    /// Records the end of a popped request, successful or not, after `actual_tokens` tokens; 0 if
    /// it did not run after all. Its organisation is charged the difference to `item`'s estimate.
    pub fn on_done(&mut self, now: MonoTime, item: &QueueItem, actual_tokens: u32) {
        self.classes[item.priority as usize].adjust_cost(&item.organisation, item, actual_tokens);
        if let Some(started) = self.serving.remove(&item.id)
            && actual_tokens > 0
        {
            let processing_time = now.since(started);
            self.throughput.on_done(now, item.cost_tokens, processing_time, !self.is_empty());
        }
    }

    /// Expected wait of a request with the organisation, weight, class and cost of `item` if it
    /// were queued now, at the observed throughput; zero while that is unknown.
    pub fn expected_wait(&self, now: MonoTime, item: &QueueItem) -> Duration {
        self.corrected_wait(item, self.backlog_wait(now, item))
    }

    /// Scales `backlog_wait` by the organisation's recent ratio of actual to predicted waits.
    fn corrected_wait(&self, item: &QueueItem, backlog_wait: Duration) -> Duration {
        let ratio = self.classes[item.priority as usize].wait_ratio(&item.organisation);
        Duration::try_from_secs_f64(backlog_wait.as_secs_f64() * ratio).unwrap_or(Duration::MAX)
    }

    /// Predicted wait of `item` behind the current backlog, if no further requests arrived.
    fn backlog_wait(&self, now: MonoTime, item: &QueueItem) -> Duration {
        let class = item.priority as usize;
        let higher: u64 = self.classes[class + 1..].iter().map(QueueClass::tokens).sum();
        self.throughput.drain_time(now, higher + self.classes[class].tokens_before(item))
    }

    fn can_meet_deadline(&self, now: MonoTime, item: &QueueItem, backlog_wait: Duration) -> bool {
        let wait = self.corrected_wait(item, backlog_wait);
        let processing_time = self.throughput.processing_time(now, item.cost_tokens);
        wait <= self.max_wait && now + wait + processing_time < item.deadline
    }

    fn insert(&mut self, now: MonoTime, item: QueueItem, backlog_wait: Duration) {
        let record = WaitRecord {
            priority: item.priority,
            organisation: item.organisation.clone(),
            queued_at: now,
            predicted_wait: backlog_wait,
        };
        self.waiting.insert(item.id, record);
        self.tokens += u64::from(item.cost_tokens);
        self.deadlines.insert((item.deadline, item.id));
        self.classes[item.priority as usize].push(item);
    }

    fn unindex(&mut self, item: &QueueItem) -> Option<WaitRecord> {
        self.tokens -= u64::from(item.cost_tokens);
        self.deadlines.remove(&(item.deadline, item.id));
        self.waiting.remove(&item.id)
    }

    /// Records that `item` is in service, and prunes stale records.
    fn record_start(&mut self, now: MonoTime, item: &QueueItem) {
        if self.serving.len() >= SERVING_PRUNE_THRESHOLD {
            self.serving.retain(|_, started| now.since(*started) < MAX_PROCESSING_TIME);
        }
        self.serving.insert(item.id, now);
    }

    fn is_over_limits(&self) -> bool {
        let too_many = self.waiting.len() > self.limits.max_items;
        too_many || (self.tokens > self.limits.max_tokens && self.waiting.len() > 1)
    }

    /// Evicts the newest request of the organisation that is furthest over its share.
    fn evict_newest(&mut self) -> Option<QueueItem> {
        let waiting_classes = self.classes.iter_mut().filter(|class| !class.is_empty());
        let class =
            waiting_classes.max_by(|left, right| left.excess().total_cmp(&right.excess()))?;
        let item = class.evict_newest()?;
        self.unindex(&item);
        Some(item)
    }

    /// The highest class with queued requests, or a lower one with enough credit.
    fn next_class(&self) -> Option<usize> {
        let credited = self.classes.iter().position(QueueClass::has_credit);
        credited.or_else(|| self.classes.iter().rposition(|class| !class.is_empty()))
    }

    fn update_credits(&mut self, served: usize, cost_tokens: u32) {
        let cost = f64::from(cost_tokens);
        self.classes[served].spend_credit(cost);
        for class in &mut self.classes[..served] {
            class.earn_credit(cost * LOWER_CLASS_SHARE);
        }
    }
}
