//! Decides which entries an agent hears of declared versions from, and when it has to watch the store
//! itself.

use crate::prelude::*;
use crate::routing::hash::{combine_hashes, hash_text};

/// Time without news after which an agent no longer relies on an entry.
const NEWS_TIMEOUT: Duration = Duration::from_millis(2500);
/// Entries that an agent gets news from, so that it misses nothing if one of them stands still.
const SOURCES: usize = 3;

/// The entries that an agent gets news from, with the time of the last news that were current.
#[derive(Debug, Clone, Default)]
pub struct NewsCoverage {
    heard: SortedTable<Arc<str>, MonoTime>,
}

impl NewsCoverage {
    /// Records news from `entry`. Those of an entry that cannot watch the store itself are not `current`.
    pub fn heard(&mut self, now: MonoTime, entry: &Arc<str>, current: bool) {
        match current {
            true => drop(self.heard.insert(entry.clone(), now)),
            false => self.lost(entry),
        }
    }

    /// Records that the link to `entry` has ended.
    pub fn lost(&mut self, entry: &str) {
        self.heard.remove(entry);
    }

    /// Drops the entries that are not among `sources` any more.
    pub fn retain(&mut self, sources: &[Arc<str>]) {
        self.heard.retain(|entry, _| sources.contains(entry));
    }

    /// Returns until when the agent may rely on the news that it has had; `None` if it may not.
    pub fn covered_until(&self, now: MonoTime) -> Option<MonoTime> {
        let last = self.heard.values().max()?;
        Some(*last + NEWS_TIMEOUT).filter(|until| *until > now)
    }
}

/// Returns the keys of the entries that `host` gets news from, of `entries` with their regions. Those of its
/// own `region` come first; hosts of a region spread over its entries.
pub fn news_sources<'a>(
    host: &HostName,
    region: &RegionName,
    entries: impl Iterator<Item = (&'a Arc<str>, &'a RegionName)>,
) -> Vec<Arc<str>> {
    let host_hash = hash_text(host.as_str());
    let rank = |key: &str, entry_region: &RegionName| {
        (entry_region != region, combine_hashes(host_hash, hash_text(key)))
    };
    let mut ranked: Vec<_> =
        entries.map(|(key, entry_region)| (rank(key, entry_region), key.clone())).collect();
    ranked.sort_unstable();
    ranked.into_iter().take(SOURCES).map(|(_, key)| key).collect()
}
