//! A bounded set of request ids, each with its own expiry time.

use crate::prelude::*;

const BUCKET_SPAN: Duration = Duration::from_mins(1);

/// A set that keeps each id at least until its expiry time. Ids whose expiry times lie in the same
/// bucket share a sorted vector, so that an insertion moves few ids and expiry drops whole buckets.
#[derive(Debug)]
pub(super) struct IdTable {
    /// Ids by the end of the bucket of their expiry time.
    buckets: SortedTable<MonoTime, Vec<RequestId>>,
    len: usize,
    capacity: usize,
}

impl IdTable {
    /// An empty set for at most `capacity` ids.
    pub fn new(capacity: usize) -> Self {
        Self { buckets: SortedTable::new(), len: 0, capacity }
    }

    /// Whether `id` is in the set.
    pub fn contains(&self, id: RequestId) -> bool {
        self.buckets.values().any(|ids| ids.binary_search(&id).is_ok())
    }

    /// Adds `id` until `expires_at`, unless that is past or the id is in the set already; `false` if
    /// the set is full.
    #[must_use]
    pub fn insert(&mut self, now: MonoTime, id: RequestId, expires_at: MonoTime) -> bool {
        if expires_at <= now || self.contains(id) {
            return true;
        }
        self.expire(now);
        if self.len == self.capacity {
            return false;
        }
        let ids = self.buckets.get_or_insert_with(bucket_end(expires_at), Vec::new);
        let Err(index) = ids.binary_search(&id) else { return true };
        ids.insert(index, id);
        self.len += 1;
        true
    }

    /// The number of ids.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Removes expired ids, a whole bucket at a time.
    pub fn expire(&mut self, now: MonoTime) {
        self.buckets.retain(|end, _| *end > now);
        self.len = self.buckets.values().map(Vec::len).sum();
    }
}

fn bucket_end(expires_at: MonoTime) -> MonoTime {
    let span = u64::try_from(BUCKET_SPAN.as_micros()).unwrap_or(u64::MAX);
    MonoTime::from_micros(expires_at.as_micros().div_ceil(span).saturating_mul(span))
}
