//! A bounded memory of ids, each until a time of its own.

use crate::prelude::*;

const SLICE_SPAN: Duration = Duration::from_mins(1);

/// Remembers ids at least until a time that is told for each. The ids whose times lie within one
/// slice have a sorted vector of their own, so an insertion moves few ids and expiry drops whole
/// slices.
#[derive(Debug)]
pub(super) struct IdBook {
    /// Ids by the end of their slice.
    slices: SortedTable<MonoTime, Vec<RequestId>>,
    len: usize,
    capacity: usize,
}

impl IdBook {
    /// An empty book for at most `capacity` ids.
    pub fn new(capacity: usize) -> Self {
        Self { slices: SortedTable::new(), len: 0, capacity }
    }

    /// Whether `id` is remembered.
    pub fn contains(&self, id: RequestId) -> bool {
        self.slices.values().any(|ids| ids.binary_search(&id).is_ok())
    }

    /// Remembers `id` until `until`; `false` if the book is full and the id is not in it.
    #[must_use]
    pub fn insert(&mut self, now: MonoTime, id: RequestId, until: MonoTime) -> bool {
        if until <= now || self.contains(id) {
            return true;
        }
        self.expire(now);
        if self.len == self.capacity {
            return false;
        }
        let ids = self.slices.get_or_insert_with(slice_end(until), Vec::new);
        let Err(at) = ids.binary_search(&id) else { return true };
        ids.insert(at, id);
        self.len += 1;
        true
    }

    /// The number of ids.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Drops the ids whose time is over.
    pub fn expire(&mut self, now: MonoTime) {
        self.slices.retain(|end, _| *end > now);
        self.len = self.slices.values().map(Vec::len).sum();
    }
}

fn slice_end(until: MonoTime) -> MonoTime {
    let span = u64::try_from(SLICE_SPAN.as_micros()).unwrap_or(u64::MAX);
    MonoTime::from_micros(until.as_micros().div_ceil(span).saturating_mul(span))
}
