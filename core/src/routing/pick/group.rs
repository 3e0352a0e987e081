//! The targets of one service in one site.

use super::PickAffinity;
use super::target::TargetView;
use crate::prelude::*;
use crate::routing::hash::{combine_hashes, hash_text};
use rand::{Rng, RngExt};

/// Points of each target on the ring of hashes.
const RING_POINTS: u64 = 16;
/// Targets that are asked in the order of the ring before affinity is given up.
const RING_STEPS: usize = 4;
/// How far above the mean the score of a target may be for affinity to hold.
const AFFINITY_BOUND: f64 = 1.25;
/// Draws at random before all targets are looked at.
const RANDOM_DRAWS: usize = 8;

/// The targets of one service in one site, by slot.
#[derive(Debug)]
pub struct TargetGroup {
    /// The site.
    pub site: SiteName,
    /// Slots that take new work, sorted.
    open: Vec<u32>,
    /// Slots by their points on the ring of hashes, sorted.
    ring: Vec<(u64, u32)>,
    /// Number of targets.
    len: usize,
    /// Load of all targets.
    load: i64,
}

impl TargetGroup {
    /// A group without targets.
    pub fn new(site: SiteName) -> Self {
        Self { site, open: Vec::new(), ring: Vec::new(), len: 0, load: 0 }
    }

    /// Adds a target.
    pub fn insert(&mut self, slot: u32, host: &HostName) {
        let hash = hash_text(host.as_str());
        self.ring.extend((0..RING_POINTS).map(|point| (combine_hashes(hash, point), slot)));
        self.ring.sort_unstable();
        self.len += 1;
    }

    /// Removes a target.
    pub fn remove(&mut self, slot: u32) {
        self.ring.retain(|point| point.1 != slot);
        self.set_open(slot, false);
        self.len -= 1;
    }

    /// Notes whether the target takes new work.
    pub fn set_open(&mut self, slot: u32, open: bool) {
        match (self.open.binary_search(&slot), open) {
            (Err(at), true) => self.open.insert(at, slot),
            (Ok(at), false) => {
                self.open.remove(at);
            }
            _ => {}
        }
    }

    /// Slots that take new work.
    pub fn open_slots(&self) -> &[u32] {
        &self.open
    }

    /// Adds to the load of all targets.
    pub fn add_load(&mut self, change: i64) {
        self.load += change;
    }

    /// The best target for the request with its score.
    pub fn choose(&self, view: &TargetView<'_>, rng: &mut impl Rng) -> Option<(f64, u32)> {
        let mean = self.mean_load();
        let bound = match view.request.affinity {
            PickAffinity::None => return self.choose_of_two(view, mean, rng),
            PickAffinity::Prefix(hash) => (hash, (mean + 1.0) * AFFINITY_BOUND),
            PickAffinity::Key(hash) => (hash, f64::INFINITY),
        };
        let tied = self.choose_on_ring(view, mean, bound.0, bound.1);
        tied.or_else(|| self.choose_of_two(view, mean, rng))
    }

    /// A target that recent outcomes bar, for want of another.
    pub fn choose_barred(&self, view: &TargetView<'_>, rng: &mut impl Rng) -> Option<u32> {
        let allowed: Vec<u32> =
            self.open.iter().copied().filter(|&slot| view.is_allowed(slot)).collect();
        let at = random_index(allowed.len(), rng)?;
        Some(allowed[at])
    }

    fn mean_load(&self) -> f64 {
        self.load.max(0) as f64 / self.len.max(1) as f64
    }

    fn choose_on_ring(
        &self,
        view: &TargetView<'_>,
        mean: f64,
        hash: u64,
        bound: f64,
    ) -> Option<(f64, u32)> {
        let start = self.ring.partition_point(|point| point.0 < hash);
        let points = self.ring[start..].iter().chain(&self.ring[..start]);
        let usable = points.map(|point| point.1).filter(|&slot| view.is_usable(slot));
        let mut scored = usable.take(RING_STEPS).map(|slot| (view.score(slot, mean), slot));
        scored.find(|(score, _)| *score <= bound)
    }

    /// The better of two usable targets drawn at random.
    fn choose_of_two(
        &self,
        view: &TargetView<'_>,
        mean: f64,
        rng: &mut impl Rng,
    ) -> Option<(f64, u32)> {
        let first = self.draw(view, None, rng)?;
        let first = (view.score(first, mean), first);
        let Some(second) = self.draw(view, Some(first.1), rng) else { return Some(first) };
        let second = (view.score(second, mean), second);
        if second.0 < first.0 { Some(second) } else { Some(first) }
    }

    /// A usable target other than `other`, drawn at random.
    fn draw(&self, view: &TargetView<'_>, other: Option<u32>, rng: &mut impl Rng) -> Option<u32> {
        let fits = |slot: u32| Some(slot) != other && view.is_usable(slot);
        for _ in 0..RANDOM_DRAWS {
            let slot = self.open[random_index(self.open.len(), rng)?];
            if fits(slot) {
                return Some(slot);
            }
        }
        let left: Vec<u32> = self.open.iter().copied().filter(|&slot| fits(slot)).collect();
        let at = random_index(left.len(), rng)?;
        Some(left[at])
    }
}

fn random_index(len: usize, rng: &mut impl Rng) -> Option<usize> {
    (len > 0).then(|| rng.random_range(0..len))
}
