//! The targets of one service in one site.

use super::PickAffinity;
use super::target::{TargetView, UsualTarget};
use crate::prelude::*;
use crate::routing::hash::{combine_hashes, hash_text};
use rand::{Rng, RngExt};

/// Points of each target on the ring of hashes.
const RING_POINTS: u64 = 64;
/// Mixed into hashes before they are looked up on the ring, since callers may mix theirs badly.
const RING_SEED: u64 = 0x7269_6e67;
/// Targets that are asked in the order of the ring before affinity is given up.
const RING_STEPS: usize = 4;
/// How much worse than the better of two others the score of a target may be for affinity to
/// hold, in requests.
const AFFINITY_WORTH: f64 = 2.0;
/// Weight of the newest answer in the usual latency.
const LATENCY_WEIGHT: f64 = 0.02;
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
    /// Usual latency of answers, in seconds.
    latency: Option<f64>,
}

impl TargetGroup {
    /// A group without targets.
    pub fn new(site: SiteName) -> Self {
        Self { site, open: Vec::new(), ring: Vec::new(), len: 0, load: 0, latency: None }
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

    /// Notes the latency of an answer.
    pub fn note_latency(&mut self, latency: Duration) {
        let seen = latency.as_secs_f64();
        let old = self.latency.unwrap_or(seen);
        self.latency = Some(old + LATENCY_WEIGHT * (seen - old));
    }

    /// The best target for the request with its score.
    pub fn choose(&self, view: &TargetView<'_>, rng: &mut impl Rng) -> Option<(f64, u32)> {
        let usual = self.usual();
        match view.request.affinity {
            PickAffinity::None => self.choose_of_two(view, usual, rng),
            PickAffinity::Key(hash) => self.choose_on_ring(view, usual, hash, f64::INFINITY),
            PickAffinity::Prefix(hash) => {
                let free = self.choose_of_two(view, usual, rng)?;
                Some(
                    self.choose_on_ring(view, usual, hash, free.0 + AFFINITY_WORTH).unwrap_or(free),
                )
            }
        }
    }

    /// A target that recent outcomes bar, for want of another.
    pub fn choose_barred(&self, view: &TargetView<'_>, rng: &mut impl Rng) -> Option<u32> {
        let allowed: Vec<u32> =
            self.open.iter().copied().filter(|&slot| view.is_allowed(slot)).collect();
        let at = random_index(allowed.len(), rng)?;
        Some(allowed[at])
    }

    fn usual(&self) -> UsualTarget {
        let load = self.load.max(0) as f64 / self.len.max(1) as f64;
        UsualTarget { load, latency: self.latency }
    }

    fn choose_on_ring(
        &self,
        view: &TargetView<'_>,
        usual: UsualTarget,
        hash: u64,
        bound: f64,
    ) -> Option<(f64, u32)> {
        let place = combine_hashes(hash, RING_SEED);
        let start = self.ring.partition_point(|point| point.0 < place);
        let points = self.ring[start..].iter().chain(&self.ring[..start]);
        let usable = points.map(|point| point.1).filter(|&slot| view.is_usable(slot));
        let mut scored = usable.take(RING_STEPS).map(|slot| (view.score(slot, usual), slot));
        scored.find(|(score, _)| *score <= bound)
    }

    /// The better of two usable targets drawn at random.
    fn choose_of_two(
        &self,
        view: &TargetView<'_>,
        usual: UsualTarget,
        rng: &mut impl Rng,
    ) -> Option<(f64, u32)> {
        let first = self.draw(view, None, rng)?;
        let first = (view.score(first, usual), first);
        let Some(second) = self.draw(view, Some(first.1), rng) else { return Some(first) };
        let second = (view.score(second, usual), second);
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
