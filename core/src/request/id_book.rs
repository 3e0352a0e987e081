//! A bounded memory of ids, by age.

use super::MAX_REQUEST_DEADLINE;
use crate::prelude::*;
use std::collections::VecDeque;

/// Time that ids are remembered at least: no question about a request comes later than its deadline
/// and the time to resolve it.
const MIN_ID_AGE: Duration = Duration::from_mins(2 * MAX_REQUEST_DEADLINE.as_secs() / 60);
const SLICE_AGE: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct IdSlice {
    started: MonoTime,
    ids: Vec<RequestId>,
}

/// Remembers ids for at least twice the longest deadline. Each slice of time has its own sorted
/// vector, so an insertion moves few ids and expiry drops whole slices.
#[derive(Debug)]
pub(super) struct IdBook {
    slices: VecDeque<IdSlice>,
    len: usize,
    capacity: usize,
}

impl IdBook {
    /// An empty book for at most `capacity` ids.
    pub fn new(capacity: usize) -> Self {
        Self { slices: VecDeque::new(), len: 0, capacity }
    }

    /// Whether `id` is remembered.
    pub fn contains(&self, id: RequestId) -> bool {
        self.slices.iter().any(|slice| slice.ids.binary_search(&id).is_ok())
    }

    /// Remembers `id` from now on; `false` if the book is full and the id is not in it.
    #[must_use]
    pub fn insert(&mut self, now: MonoTime, id: RequestId) -> bool {
        if self.contains(id) {
            return true;
        }
        self.expire(now);
        if self.len == self.capacity {
            return false;
        }
        let ids = self.current_slice(now);
        let Err(at) = ids.binary_search(&id) else { return true };
        ids.insert(at, id);
        self.len += 1;
        true
    }

    /// The number of ids.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Drops the ids that are old enough.
    pub fn expire(&mut self, now: MonoTime) {
        let is_old = |slice: &IdSlice| now.since(slice.started) > MIN_ID_AGE + SLICE_AGE;
        while self.slices.front().is_some_and(is_old) {
            self.len -= self.slices.pop_front().map_or(0, |slice| slice.ids.len());
        }
    }

    fn current_slice(&mut self, now: MonoTime) -> &mut Vec<RequestId> {
        let is_current = |slice: &IdSlice| now.since(slice.started) < SLICE_AGE;
        if !self.slices.back().is_some_and(is_current) {
            self.slices.push_back(IdSlice { started: now, ids: Vec::new() });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last].ids
    }
}
