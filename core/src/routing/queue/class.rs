//! Start-time fair queueing over the organisations of one priority class.

use super::QueueItem;
use super::flow::QueueFlow;
use super::start_tag::StartTag;
use crate::prelude::*;
use std::collections::VecDeque;

/// Number of empty flows above which those behind the virtual time are evicted.
const MAX_IDLE_FLOWS: usize = 256;

/// The queue of one priority class, with a flow per organisation.
#[derive(Debug)]
pub struct QueueClass {
    flows: SortedTable<OrganisationName, QueueFlow>,
    /// Organisations with queued requests, sorted by start tag. A served organisation is usually
    /// reinserted near the end, so few rows are moved.
    ready: VecDeque<(StartTag, OrganisationName)>,
    /// Start tag of the request served last.
    virtual_time: StartTag,
    /// Estimated tokens of the queued requests.
    tokens: u64,
    /// Sum of the weights of organisations with queued requests.
    total_weight: u64,
    /// Tokens that may be served ahead of higher classes.
    credit: f64,
    /// Queue capacity relative to other classes.
    capacity_weight: f64,
}

impl QueueClass {
    /// Creates an empty class with the given queue capacity relative to other classes.
    pub fn new(capacity_weight: f64) -> Self {
        Self {
            flows: SortedTable::new(),
            ready: VecDeque::new(),
            virtual_time: StartTag::default(),
            tokens: 0,
            total_weight: 0,
            credit: 0.0,
            capacity_weight,
        }
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.ready.is_empty()
    }

    /// Estimated tokens of the queued requests.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Queues a request.
    pub fn push(&mut self, item: QueueItem) {
        let organisation = item.organisation.clone();
        self.tokens += u64::from(item.cost_tokens);
        let flow = self.flows.get_or_insert_with(organisation.clone(), QueueFlow::default);
        let was_empty = flow.is_empty();
        flow.push(item);
        if was_empty {
            flow.catch_up(self.virtual_time);
            self.total_weight += flow.weight();
            let tag = flow.start_tag();
            self.insert_ready(tag, organisation);
        }
    }

    /// Takes the next request in fair order.
    pub fn pop(&mut self) -> Option<QueueItem> {
        let (tag, organisation) = self.ready.pop_front()?;
        self.virtual_time = self.virtual_time.max(tag);
        let flow = self.flows.get_mut(&organisation)?;
        let item = flow.pop()?;
        self.tokens -= u64::from(item.cost_tokens);
        self.requeue(organisation);
        Some(item)
    }

    /// Removes a request of `organisation`.
    pub fn remove(&mut self, organisation: &OrganisationName, id: RequestId) -> Option<QueueItem> {
        let flow = self.flows.get_mut(organisation)?;
        let (tag, weight) = (flow.start_tag(), flow.weight());
        let item = flow.remove(id)?;
        self.after_removal(organisation, tag, weight, &item);
        Some(item)
    }

    /// Backlog in tokens of the organisation furthest over its share, divided by its weight and by
    /// the capacity weight of the class.
    pub fn excess(&self) -> f64 {
        self.most_over_share().map_or(0.0, |(excess, _)| excess)
    }

    /// Evicts the newest request of the organisation furthest over its share.
    pub fn evict_newest(&mut self) -> Option<QueueItem> {
        let organisation = self.most_over_share()?.1.clone();
        let flow = self.flows.get_mut(&organisation)?;
        let (tag, weight) = (flow.start_tag(), flow.weight());
        let item = flow.pop_newest()?;
        self.after_removal(&organisation, tag, weight, &item);
        Some(item)
    }

    /// Charges the organisation the difference between actual and estimated cost.
    pub fn adjust_cost(
        &mut self,
        organisation: &OrganisationName,
        item: &QueueItem,
        actual_tokens: u32,
    ) {
        let Some(flow) = self.flows.get_mut(organisation) else { return };
        let old_tag = flow.start_tag();
        flow.adjust_cost(item, actual_tokens);
        let new_tag = flow.start_tag();
        if !flow.is_empty() && old_tag != new_tag {
            self.remove_ready(old_tag, organisation);
            self.insert_ready(new_tag, organisation.clone());
        }
    }

    /// Records that a request waited `waited`, where `predicted` ignored later arrivals.
    pub fn record_wait(
        &mut self,
        organisation: &OrganisationName,
        predicted: Duration,
        waited: Duration,
    ) {
        if let Some(flow) = self.flows.get_mut(organisation) {
            flow.record_wait(predicted, waited);
        }
    }

    /// Recent ratio of actual to predicted waits of `organisation`.
    pub fn wait_ratio(&self, organisation: &OrganisationName) -> f64 {
        self.flows.get(organisation).map_or(1.0, QueueFlow::wait_ratio)
    }

    /// Tokens that would be served before `item` if it were queued now: the backlog of its
    /// organisation and the weighted share of the other organisations in the meantime.
    pub fn tokens_before(&self, item: &QueueItem) -> u64 {
        let flow = self.flows.get(&item.organisation);
        let own = flow.map_or(0, QueueFlow::tokens);
        let weight = u64::from(item.weight.max(1));
        let waiting = flow.is_some_and(|flow| !flow.is_empty());
        let other_weights =
            self.total_weight - if waiting { weight.min(self.total_weight) } else { 0 };
        let share = (own + u64::from(item.cost_tokens)).saturating_mul(other_weights) / weight;
        own + share.min(self.tokens - own)
    }

    /// Whether the credit covers the next request, so that it is served ahead of higher classes.
    pub fn has_credit(&self) -> bool {
        let next = self.ready.front().and_then(|(_, organisation)| self.flows.get(organisation));
        next.is_some_and(|flow| self.credit >= flow.next_cost())
    }

    /// Adds to the credit, unless the class is empty.
    pub fn earn_credit(&mut self, tokens: f64) {
        if !self.is_empty() {
            self.credit += tokens;
        }
    }

    /// Takes from the credit, to zero at least. An empty class keeps no credit.
    pub fn spend_credit(&mut self, tokens: f64) {
        self.credit = if self.is_empty() { 0.0 } else { (self.credit - tokens).max(0.0) };
    }

    fn most_over_share(&self) -> Option<(f64, &OrganisationName)> {
        let waiting = self.ready.iter().filter_map(|(_, name)| {
            let flow = self.flows.get(name)?;
            Some((flow.tokens() as f64 / (flow.weight() as f64 * self.capacity_weight), name))
        });
        waiting.max_by(|left, right| left.0.total_cmp(&right.0))
    }

    /// Reinserts `organisation` after its first request was taken, unless it has no more.
    fn requeue(&mut self, organisation: OrganisationName) {
        let Some(flow) = self.flows.get(&organisation) else { return };
        if flow.is_empty() {
            self.total_weight -= flow.weight();
            self.evict_idle();
        } else {
            let tag = flow.start_tag();
            self.insert_ready(tag, organisation);
        }
    }

    fn after_removal(
        &mut self,
        organisation: &OrganisationName,
        tag: StartTag,
        weight: u64,
        item: &QueueItem,
    ) {
        self.tokens -= u64::from(item.cost_tokens);
        let emptied = self.flows.get(organisation).is_none_or(QueueFlow::is_empty);
        if emptied {
            self.total_weight -= weight;
            self.remove_ready(tag, organisation);
        }
    }

    fn evict_idle(&mut self) {
        if self.flows.len() <= self.ready.len() + MAX_IDLE_FLOWS {
            return;
        }
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| !flow.is_empty() || flow.start_tag() > virtual_time);
    }

    fn insert_ready(&mut self, tag: StartTag, organisation: OrganisationName) {
        let row = (tag, organisation);
        let index = self.ready.partition_point(|other| *other < row);
        self.ready.insert(index, row);
    }

    fn remove_ready(&mut self, tag: StartTag, organisation: &OrganisationName) {
        let found = self
            .ready
            .binary_search_by(|(other_tag, name)| (other_tag, name).cmp(&(&tag, organisation)));
        if let Ok(index) = found {
            self.ready.remove(index);
        }
    }
}
