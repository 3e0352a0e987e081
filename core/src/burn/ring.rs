//! Counters over a sliding window, in a ring of a fixed number of buckets.

use super::ObjectiveKind;
use crate::prelude::*;

/// Number of [`ObjectiveKind`]s.
const KIND_COUNT: usize = 4;
/// Most distinct causes in one bucket; events of further causes are counted without a cause.
const MAX_BUCKET_CAUSES: usize = 32;

/// Numbers of good and bad events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EventCount {
    /// Number of events that met the objective.
    pub good: u64,
    /// Number of events that missed it.
    pub bad: u64,
}

/// The cause of bad events.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CauseKey {
    /// Kind of the objective that was missed.
    pub kind: ObjectiveKind,
    /// Result code of the request.
    pub code: ResultCode,
    /// The site that served the request; that of the entry if none did.
    pub site: SiteName,
}

/// Events of one time interval, or the sum of several.
#[derive(Debug, Clone, Default)]
pub struct BurnBucket {
    events: [EventCount; KIND_COUNT],
    /// Bad events by cause.
    pub causes: SortedTable<CauseKey, u64>,
}

impl BurnBucket {
    /// The events of one kind.
    pub fn events(&self, kind: ObjectiveKind) -> EventCount {
        self.events[kind as usize]
    }

    /// Counts `good` and `bad` events.
    pub fn add(&mut self, kind: ObjectiveKind, good: u64, bad: u64) {
        let events = &mut self.events[kind as usize];
        events.good += good;
        events.bad += bad;
    }

    /// Attributes `bad` bad events to a cause.
    pub fn add_cause(&mut self, key: &CauseKey, bad: u64) {
        if let Some(count) = self.causes.get_mut(key) {
            *count += bad;
        } else if self.causes.len() < MAX_BUCKET_CAUSES {
            self.causes.insert(key.clone(), bad);
        }
    }

    fn add_bucket(&mut self, other: &BurnBucket) {
        for (events, added) in self.events.iter_mut().zip(&other.events) {
            events.good += added.good;
            events.bad += added.bad;
        }
        for (key, bad) in other.causes.iter() {
            self.add_cause(key, *bad);
        }
    }
}

/// A ring of buckets of equal width, in which the newest overwrites the oldest.
#[derive(Debug)]
pub struct BucketRing {
    width: Duration,
    buckets: Vec<BurnBucket>,
    /// Number of the newest bucket, counted from the start of the clock.
    newest: u64,
}

impl BucketRing {
    /// An empty ring that covers at least the last `span`, in buckets of `width`.
    pub fn new(now: MonoTime, width: Duration, span: Duration) -> Self {
        let len = span.as_micros().div_ceil(width.as_micros()) as usize + 1;
        let mut ring = Self { width, buckets: vec![BurnBucket::default(); len], newest: 0 };
        ring.newest = ring.number_at(now);
        ring
    }

    /// The bucket of `now`; clears the buckets that were passed since the last call.
    pub fn current(&mut self, now: MonoTime) -> &mut BurnBucket {
        let number = self.number_at(now).max(self.newest);
        let passed = (number - self.newest).min(self.buckets.len() as u64);
        for step in 0..passed {
            let index = self.index_of(number - step);
            self.buckets[index] = BurnBucket::default();
        }
        self.newest = number;
        let index = self.index_of(number);
        &mut self.buckets[index]
    }

    /// The sum of the events of the last `span`, with the precision of one bucket width.
    pub fn sum(&mut self, now: MonoTime, span: Duration) -> BurnBucket {
        self.current(now);
        let full_buckets = (span.as_micros() / self.width.as_micros()) as u64;
        let count = (full_buckets + 1).min(self.buckets.len() as u64);
        let first = (self.newest + 1).saturating_sub(count);
        let mut sum = BurnBucket::default();
        for number in first..=self.newest {
            sum.add_bucket(&self.buckets[self.index_of(number)]);
        }
        sum
    }

    fn number_at(&self, now: MonoTime) -> u64 {
        now.as_micros() / self.width.as_micros() as u64
    }

    fn index_of(&self, number: u64) -> usize {
        (number % self.buckets.len() as u64) as usize
    }
}
