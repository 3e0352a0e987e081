//! The FIFO queue of one organisation in one priority class.

use super::QueueItem;
use super::start_tag::StartTag;
use crate::prelude::*;
use std::collections::VecDeque;

/// Predicted waits below this are not sampled.
const MIN_WAIT_SAMPLE: Duration = Duration::from_millis(50);
/// Weight of the newest sample in the moving average of the wait ratio.
const WAIT_RATIO_EWMA_WEIGHT: f64 = 0.1;
/// Upper bound of a sampled wait ratio.
const MAX_WAIT_RATIO: f64 = 8.0;

/// The requests of one organisation in one class, in FIFO order.
#[derive(Debug)]
pub struct QueueFlow {
    items: VecDeque<QueueItem>,
    tokens: u64,
    weight: u32,
    /// Virtual start time of the next request.
    start_tag: StartTag,
    wait_ratio: f64,
}

impl Default for QueueFlow {
    fn default() -> Self {
        Self {
            items: VecDeque::new(),
            tokens: 0,
            weight: 1,
            start_tag: StartTag::default(),
            wait_ratio: 1.0,
        }
    }
}

impl QueueFlow {
    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Estimated tokens of the queued requests.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Weight of the organisation, at least 1.
    pub fn weight(&self) -> u64 {
        u64::from(self.weight.max(1))
    }

    /// Virtual start time of the next request.
    pub fn start_tag(&self) -> StartTag {
        self.start_tag
    }

    /// Estimated tokens of the next request.
    pub fn next_cost(&self) -> f64 {
        self.items.front().map_or(0.0, |item| f64::from(item.cost_tokens))
    }

    /// Advances the start tag to the class's virtual time, so that idle time earns no credit.
    pub fn catch_up(&mut self, virtual_time: StartTag) {
        self.start_tag.catch_up(virtual_time);
    }

    /// Queues a request. Its weight takes effect only if the flow was empty.
    pub fn push(&mut self, item: QueueItem) {
        if self.items.is_empty() {
            self.weight = item.weight.max(1);
        }
        self.tokens += u64::from(item.cost_tokens);
        self.items.push_back(item);
    }

    /// Takes the next request and charges its estimated cost.
    pub fn pop(&mut self) -> Option<QueueItem> {
        let item = self.items.pop_front()?;
        self.tokens -= u64::from(item.cost_tokens);
        self.start_tag.charge(item.cost_tokens.max(1), self.weight());
        Some(item)
    }

    /// Removes the newest request without charging it.
    pub fn pop_newest(&mut self) -> Option<QueueItem> {
        let item = self.items.pop_back()?;
        self.tokens -= u64::from(item.cost_tokens);
        Some(item)
    }

    /// Removes a request without charging it.
    pub fn remove(&mut self, id: RequestId) -> Option<QueueItem> {
        let at = self.items.iter().position(|item| item.id == id)?;
        let item = self.items.remove(at)?;
        self.tokens -= u64::from(item.cost_tokens);
        Some(item)
    }

    /// Charges `actual_tokens` instead of `item`'s estimate.
    pub fn adjust_cost(&mut self, item: &QueueItem, actual_tokens: u32) {
        self.start_tag.adjust(item.cost_tokens.max(1), actual_tokens, self.weight());
    }

    /// Recent ratio of actual to predicted waits.
    pub fn wait_ratio(&self) -> f64 {
        self.wait_ratio
    }

    /// Updates the wait ratio, unless the predicted wait is too short to be significant.
    pub fn record_wait(&mut self, predicted: Duration, waited: Duration) {
        if predicted >= MIN_WAIT_SAMPLE {
            let sample = (waited.as_secs_f64() / predicted.as_secs_f64()).min(MAX_WAIT_RATIO);
            self.wait_ratio += WAIT_RATIO_EWMA_WEIGHT * (sample - self.wait_ratio);
        }
    }
}
