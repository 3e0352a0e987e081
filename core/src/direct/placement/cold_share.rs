//! This entry's share of what a cold target bears.
//!
//! All entries have equal shares, since callers are distributed evenly over them, and requests that are
//! restricted to a region arrive everywhere. Each entry may send one request at any time, so only some entries
//! use a target if there are many of them: otherwise these requests alone could exceed what it bears.

use crate::prelude::*;
use crate::routing::hash::{combine_hashes, hash_text};
use std::collections::VecDeque;

/// Time for which an entry keeps to the smallest of its shares. It is the time to live of the entries'
/// registrations, after which an entry that has not heard of a new one notices that it is cut off.
const SETTLING_TIME: Duration = Duration::from_secs(6);
/// Requests per second that all entries may send to a target beyond its limit in some second, as a fraction of
/// the limit and as a constant. Required by the operators.
const TOLERANCE: (f64, f64) = (0.5, 5.0);
/// Part of the tolerance that the entries that share a target may use at once. Twice as much is used while
/// entries that are cut off go by an older list of entries.
const SHARED_TOLERANCE: f64 = 0.4;
/// Smallest share of an entry, and the highest rate that it stands for in requests per second.
const SMALLEST_SHARE: (f64, f64) = (1.0 / 64.0, 0.5);
/// Maximum number of lists of entries that are remembered.
const MAX_LISTS: usize = 32;

/// The live entries, as this entry has known them in the last [`SETTLING_TIME`].
#[derive(Debug, Clone, Default)]
pub struct ColdShares {
    lists: VecDeque<EntryList>,
    /// Until when this entry's registration is valid.
    registered_until: Option<MonoTime>,
    /// Until when other entries may not know this one, or this one may not know others.
    unsettled_until: MonoTime,
}

/// The entries that were live from `since` on.
#[derive(Debug, Clone)]
struct EntryList {
    since: MonoTime,
    own: u64,
    /// Hashes of the names of the other entries.
    others: Vec<u64>,
}

impl EntryList {
    /// Returns this entry's share of target `target_hash` if `sharers` entries share it.
    fn share(&self, target_hash: u64, sharers: usize) -> f64 {
        let rank = |entry: u64| combine_hashes(entry, target_hash);
        let own_rank = rank(self.own);
        let before = self.others.iter().filter(|other| rank(**other) < own_rank).count();
        if before >= sharers { 0.0 } else { 1.0 / sharers.min(self.others.len() + 1) as f64 }
    }
}

impl ColdShares {
    /// Replaces the live entries.
    pub fn set_entries<'a>(
        &mut self,
        now: MonoTime,
        own: &HostName,
        others: impl Iterator<Item = &'a HostName>,
    ) {
        let own = hash_text(own.as_str());
        let mut others: Vec<u64> = others.map(|host| hash_text(host.as_str())).collect();
        others.sort_unstable();
        if self.lists.back().is_some_and(|list| list.own == own && list.others == others) {
            return;
        }
        if self.lists.is_empty() || self.lists.len() == MAX_LISTS {
            self.unsettled_until = self.unsettled_until.max(now + SETTLING_TIME);
        }
        self.lists.push_back(EntryList { since: now, own, others });
        while self.lists.len() > MAX_LISTS
            || self.lists.get(1).is_some_and(|list| now.since(list.since) > SETTLING_TIME)
        {
            self.lists.pop_front();
        }
    }

    /// Records that this entry's registration is valid until `until`.
    pub fn set_registered(&mut self, now: MonoTime, until: MonoTime) {
        if self.registered_until.is_none_or(|until| until <= now) {
            self.unsettled_until = self.unsettled_until.max(now + SETTLING_TIME);
        }
        self.registered_until = self.registered_until.max(Some(until));
    }

    /// Returns the requests per second that this entry may send to target `target_hash`, which bears
    /// `per_second`.
    pub fn rate(&self, now: MonoTime, target_hash: u64, per_second: f64) -> f64 {
        let (fraction, constant) = TOLERANCE;
        let sharers = (per_second * fraction + constant) * SHARED_TOLERANCE;
        let sharers = (sharers as usize).max(1);
        let shares = self.lists.iter().enumerate().filter_map(|(index, list)| {
            let next = self.lists.get(index + 1);
            let counts = next.is_none_or(|next| now.since(next.since) <= SETTLING_TIME);
            counts.then(|| list.share(target_hash, sharers))
        });
        let rate = per_second * shares.fold(1.0, f64::min);
        if self.is_settled(now) {
            return rate;
        }
        let (smallest_share, highest_rate) = SMALLEST_SHARE;
        rate.min(per_second * smallest_share).min(highest_rate)
    }

    fn is_settled(&self, now: MonoTime) -> bool {
        self.unsettled_until <= now && self.registered_until.is_some_and(|until| now < until)
    }
}
