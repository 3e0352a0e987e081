//! The organisations of one priority class.

use super::QueueItem;
use super::flow::QueueFlow;
use crate::prelude::*;
use std::collections::VecDeque;

/// Flows of organisations that do not wait are dropped above this number.
const MAX_IDLE_FLOWS: usize = 256;

/// The organisations of one priority class, in start-time fair queueing.
#[derive(Debug)]
pub struct QueueClass {
    flows: SortedTable<OrganisationName, QueueFlow>,
    /// Waiting organisations sorted by start tag. Those served go back near the end, which moves
    /// few rows.
    ready: VecDeque<(u64, OrganisationName)>,
    /// Start tag of the request served last.
    virtual_time: u64,
    /// Estimated tokens that wait.
    tokens: u64,
    /// Weights of the organisations that wait.
    weights: u64,
    /// Tokens that may be served before a higher class.
    credit: f64,
    /// Room relative to other classes.
    room: f64,
}

impl QueueClass {
    /// An empty class with `room` relative to other classes.
    pub fn new(room: f64) -> Self {
        Self {
            flows: SortedTable::new(),
            ready: VecDeque::new(),
            virtual_time: 0,
            tokens: 0,
            weights: 0,
            credit: 0.0,
            room,
        }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.ready.is_empty()
    }

    /// Estimated tokens that wait.
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
            self.weights += flow.weight();
            let tag = flow.start_tag();
            self.set_ready(tag, organisation);
        }
    }

    /// The next request in fair order.
    pub fn pop(&mut self) -> Option<QueueItem> {
        let (tag, organisation) = self.ready.pop_front()?;
        self.virtual_time = self.virtual_time.max(tag);
        let flow = self.flows.get_mut(&organisation)?;
        let item = flow.pop()?;
        self.tokens -= u64::from(item.cost_tokens);
        self.requeue(organisation);
        Some(item)
    }

    /// Takes out a request of `organisation`.
    pub fn remove(&mut self, organisation: &OrganisationName, id: RequestId) -> Option<QueueItem> {
        let flow = self.flows.get_mut(organisation)?;
        let (tag, weight) = (flow.start_tag(), flow.weight());
        let item = flow.remove(id)?;
        self.settle_removal(organisation, tag, weight, &item);
        Some(item)
    }

    /// The backlog of the organisation that is furthest over its share, relative to its weight and
    /// to the room of the class.
    pub fn excess(&self) -> f64 {
        self.largest().map_or(0.0, |(excess, _)| excess)
    }

    /// Takes out the newest request of the organisation that is furthest over its share.
    pub fn pop_newest_of_largest(&mut self) -> Option<QueueItem> {
        let organisation = self.largest()?.1.clone();
        let flow = self.flows.get_mut(&organisation)?;
        let (tag, weight) = (flow.start_tag(), flow.weight());
        let item = flow.pop_newest()?;
        self.settle_removal(&organisation, tag, weight, &item);
        Some(item)
    }

    /// Puts the difference between estimate and actual cost on the account of the organisation.
    pub fn correct(&mut self, organisation: &OrganisationName, item: &QueueItem, actual: u32) {
        let Some(flow) = self.flows.get_mut(organisation) else { return };
        let before = flow.start_tag();
        flow.correct(item, actual);
        let after = flow.start_tag();
        if !flow.is_empty() && before != after {
            self.clear_ready(before, organisation);
            self.set_ready(after, organisation.clone());
        }
    }

    /// Learns from a wait of `waited` where `expected` was worked out without regard to requests
    /// that came later.
    pub fn note_wait(
        &mut self,
        organisation: &OrganisationName,
        expected: Duration,
        waited: Duration,
    ) {
        if let Some(flow) = self.flows.get_mut(organisation) {
            flow.note_wait(expected, waited);
        }
    }

    /// How many times longer than worked out requests of `organisation` waited lately.
    pub fn wait_ratio(&self, organisation: &OrganisationName) -> f64 {
        self.flows.get(organisation).map_or(1.0, QueueFlow::wait_ratio)
    }

    /// Tokens that would be served before `item` if it were queued now: its organisation's own, and
    /// of the others as much as their weights allow in the meantime.
    pub fn tokens_before(&self, item: &QueueItem) -> u64 {
        let flow = self.flows.get(&item.organisation);
        let own = flow.map_or(0, QueueFlow::tokens);
        let weight = u64::from(item.weight.max(1));
        let waiting = flow.is_some_and(|flow| !flow.is_empty());
        let others = self.weights - if waiting { weight.min(self.weights) } else { 0 };
        let share = (own + u64::from(item.cost_tokens)).saturating_mul(others) / weight;
        own + share.min(self.tokens - own)
    }

    /// Whether the class has saved up enough credit to be served before a higher one.
    pub fn is_due(&self) -> bool {
        let next = self.ready.front().and_then(|(_, organisation)| self.flows.get(organisation));
        next.is_some_and(|flow| self.credit >= flow.next_cost())
    }

    /// Adds to the credit while something waits.
    pub fn earn_credit(&mut self, tokens: f64) {
        if !self.is_empty() {
            self.credit += tokens;
        }
    }

    /// Takes from the credit; it does not fall below zero, nor is it kept while nothing waits.
    pub fn spend_credit(&mut self, tokens: f64) {
        self.credit = if self.is_empty() { 0.0 } else { (self.credit - tokens).max(0.0) };
    }

    fn largest(&self) -> Option<(f64, &OrganisationName)> {
        let waiting = self.ready.iter().filter_map(|(_, name)| {
            let flow = self.flows.get(name)?;
            Some((flow.tokens() as f64 / (flow.weight() as f64 * self.room), name))
        });
        waiting.max_by(|left, right| left.0.total_cmp(&right.0))
    }

    /// After a request left from the head: back into the order, or idle.
    fn requeue(&mut self, organisation: OrganisationName) {
        let Some(flow) = self.flows.get(&organisation) else { return };
        if flow.is_empty() {
            self.weights -= flow.weight();
            self.drop_idle();
        } else {
            let tag = flow.start_tag();
            self.set_ready(tag, organisation);
        }
    }

    fn settle_removal(
        &mut self,
        organisation: &OrganisationName,
        tag: u64,
        weight: u64,
        item: &QueueItem,
    ) {
        self.tokens -= u64::from(item.cost_tokens);
        let emptied = self.flows.get(organisation).is_none_or(QueueFlow::is_empty);
        if emptied {
            self.weights -= weight;
            self.clear_ready(tag, organisation);
        }
    }

    fn drop_idle(&mut self) {
        if self.flows.len() <= self.ready.len() + MAX_IDLE_FLOWS {
            return;
        }
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| !flow.is_empty() || flow.start_tag() > virtual_time);
    }

    fn set_ready(&mut self, tag: u64, organisation: OrganisationName) {
        let row = (tag, organisation);
        let at = self.ready.partition_point(|other| *other < row);
        self.ready.insert(at, row);
    }

    fn clear_ready(&mut self, tag: u64, organisation: &OrganisationName) {
        let found = self
            .ready
            .binary_search_by(|(other_tag, name)| (other_tag, name).cmp(&(&tag, organisation)));
        if let Ok(at) = found {
            self.ready.remove(at);
        }
    }
}
