//! Demand of the entries for a target, and the part of its free slots that each one takes.

use crate::prelude::*;

/// Number of classes by which demand is told: priorities 0 to 2, and all others with late requests.
pub const DEMAND_CLASSES: usize = 4;
/// Age from which an entry's demand no longer counts; the entry then takes an equal part.
const MAX_DEMAND_AGE: Duration = Duration::from_secs(1);
/// Weights of the classes: an answer of each class is worth about half of one of the class before.
const CLASS_WEIGHTS: [f64; DEMAND_CLASSES] = [8.0, 4.0, 2.0, 1.0];
/// Part of the mean demand that each entry has in addition, so that one without demand can serve the
/// first request that arrives.
const MIN_DEMAND: f64 = 0.1;
/// Parts are told in thousandths.
pub const WHOLE_PART: u16 = 1_000;

/// Cost of the requests that arrived at an entry within a second, by class.
pub type ClassDemand = [u32; DEMAND_CLASSES];

/// Returns the index in [`ClassDemand`] of a request.
pub fn demand_class(late: bool, priority: u8) -> usize {
    if late { DEMAND_CLASSES - 1 } else { usize::from(priority).min(DEMAND_CLASSES - 1) }
}

/// The demands that an agent has heard of, by the key of the entry.
#[derive(Debug, Clone, Default)]
pub struct EntryDemands {
    heard: SortedTable<Arc<str>, (MonoTime, f64)>,
}

impl EntryDemands {
    /// Records the demand of an entry.
    pub fn record(&mut self, now: MonoTime, entry: &Arc<str>, demand: &ClassDemand) {
        let weighted =
            demand.iter().zip(CLASS_WEIGHTS).map(|(cost, weight)| f64::from(*cost) * weight);
        self.heard.insert(entry.clone(), (now, weighted.sum()));
    }

    /// Drops the demand of an entry whose link has ended.
    pub fn remove(&mut self, entry: &str) {
        self.heard.remove(entry);
    }

    /// Returns the part of `entry`, in thousandths, of what it shares with the others of `group`, which
    /// includes it; `None` if it takes an equal part. One that was not heard of counts as the mean, so
    /// that the parts of all add up to one.
    pub fn part<'a>(
        &self,
        now: MonoTime,
        entry: &str,
        group: impl Iterator<Item = &'a Arc<str>>,
    ) -> Option<u16> {
        let own = self.fresh(now, entry)?;
        let (mut entries, mut heard, mut total) = (0.0, 0.0, 0.0);
        for other in group {
            entries += 1.0;
            if let Some(demand) = self.fresh(now, other) {
                heard += 1.0;
                total += demand;
            }
        }
        let mean = total / heard;
        if total <= 0.0 || heard <= 0.0 {
            return None;
        }
        let part = (own + mean * MIN_DEMAND) / (mean * entries * (1.0 + MIN_DEMAND));
        Some((part * f64::from(WHOLE_PART)) as u16)
    }

    fn fresh(&self, now: MonoTime, entry: &str) -> Option<f64> {
        let (at, demand) = self.heard.get(entry)?;
        (now.since(*at) < MAX_DEMAND_AGE).then_some(*demand)
    }
}
