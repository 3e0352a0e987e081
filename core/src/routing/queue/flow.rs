//! The requests of one organisation in one class.

use super::QueueItem;
use crate::prelude::*;
use std::collections::VecDeque;

/// Units of virtual time in one token at weight 1.
const UNITS_PER_TOKEN: u64 = 1 << 16;

/// Expected waits below this teach nothing.
const LEAST_TELLING_WAIT: Duration = Duration::from_millis(50);
/// Weight of the newest wait in the ratio of waits.
const RATIO_WEIGHT: f64 = 0.1;
/// Largest ratio of waits.
const MAX_RATIO: f64 = 8.0;

/// The requests of one organisation in one class, first come, first served.
#[derive(Debug)]
pub struct QueueFlow {
    items: VecDeque<QueueItem>,
    tokens: u64,
    weight: u32,
    /// Virtual time at which the next request starts.
    tag: u64,
    wait_ratio: f64,
}

impl Default for QueueFlow {
    fn default() -> Self {
        Self { items: VecDeque::new(), tokens: 0, weight: 1, tag: 0, wait_ratio: 1.0 }
    }
}

impl QueueFlow {
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Estimated tokens that wait.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Weight of the organisation while it waits.
    pub fn weight(&self) -> u64 {
        u64::from(self.weight.max(1))
    }

    /// Virtual time at which the next request starts.
    pub fn start_tag(&self) -> u64 {
        self.tag
    }

    /// Estimated tokens of the next request.
    pub fn next_cost(&self) -> f64 {
        self.items.front().map_or(0.0, |item| f64::from(item.cost_tokens))
    }

    /// An organisation that did not wait starts no earlier than what is served now.
    pub fn catch_up(&mut self, virtual_time: u64) {
        self.tag = self.tag.max(virtual_time);
    }

    /// Queues a request. The weight holds from the first one that waits.
    pub fn push(&mut self, item: QueueItem) {
        if self.items.is_empty() {
            self.weight = item.weight.max(1);
        }
        self.tokens += u64::from(item.cost_tokens);
        self.items.push_back(item);
    }

    /// Takes the next request and charges it.
    pub fn pop(&mut self) -> Option<QueueItem> {
        let item = self.items.pop_front()?;
        self.tokens -= u64::from(item.cost_tokens);
        self.tag += self.virtual_cost(item.cost_tokens.max(1));
        Some(item)
    }

    /// Takes the newest request, without charge.
    pub fn pop_newest(&mut self) -> Option<QueueItem> {
        let item = self.items.pop_back()?;
        self.tokens -= u64::from(item.cost_tokens);
        Some(item)
    }

    /// Takes out a request, without charge.
    pub fn remove(&mut self, id: RequestId) -> Option<QueueItem> {
        let at = self.items.iter().position(|item| item.id == id)?;
        let item = self.items.remove(at)?;
        self.tokens -= u64::from(item.cost_tokens);
        Some(item)
    }

    /// Charges `actual` in place of `item`'s estimate.
    pub fn correct(&mut self, item: &QueueItem, actual: u32) {
        let charged = self.virtual_cost(item.cost_tokens.max(1));
        self.tag = (self.tag + self.virtual_cost(actual)).saturating_sub(charged);
    }

    /// How many times longer than worked out requests waited lately.
    pub fn wait_ratio(&self) -> f64 {
        self.wait_ratio
    }

    /// Learns from a wait.
    pub fn note_wait(&mut self, expected: Duration, waited: Duration) {
        if expected >= LEAST_TELLING_WAIT {
            let seen = (waited.as_secs_f64() / expected.as_secs_f64()).min(MAX_RATIO);
            self.wait_ratio += RATIO_WEIGHT * (seen - self.wait_ratio);
        }
    }

    fn virtual_cost(&self, tokens: u32) -> u64 {
        u64::from(tokens) * UNITS_PER_TOKEN / self.weight()
    }
}
