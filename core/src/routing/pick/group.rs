//! The targets of one service in one site.

use super::PickAffinity;
use super::target::{GroupBaseline, TargetView};
use crate::prelude::*;
use crate::routing::hash::{combine_hashes, hash_text};
use rand::{Rng, RngExt};

/// Points of each target on the consistent-hash ring.
const RING_POINTS_PER_TARGET: u64 = 64;
/// Combined with a hash before its lookup on the ring, in case the caller's hash is badly mixed.
const RING_SEED: u64 = 0x7269_6e67;
/// Usable targets tried in ring order before affinity is given up.
const MAX_RING_CANDIDATES: usize = 4;
/// Prefix affinity holds while the target's score exceeds that of the better of two random targets
/// by at most this, in requests.
const AFFINITY_SCORE_SLACK: f64 = 2.0;
/// Weight of the newest sample in the group's moving average of latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.02;
/// Random draws before all open targets are scanned for a usable one.
const MAX_RANDOM_DRAWS: usize = 8;

/// The targets of one service in one site, by index in the picker.
#[derive(Debug)]
pub struct TargetGroup {
    /// The site.
    pub site: SiteName,
    /// Indices of targets that accept new work, sorted.
    open_targets: Vec<u32>,
    /// Consistent-hash ring: points with target indices, sorted.
    ring: Vec<(u64, u32)>,
    target_count: usize,
    /// Sum of the targets' loads, in requests.
    total_load: i64,
    /// Moving average of the latency of successful attempts.
    latency_seconds: Option<f64>,
}

impl TargetGroup {
    /// Creates a group without targets.
    pub fn new(site: SiteName) -> Self {
        Self {
            site,
            open_targets: Vec::new(),
            ring: Vec::new(),
            target_count: 0,
            total_load: 0,
            latency_seconds: None,
        }
    }

    /// Adds a target.
    pub fn insert(&mut self, index: u32, host: &HostName) {
        let hash = hash_text(host.as_str());
        self.ring
            .extend((0..RING_POINTS_PER_TARGET).map(|point| (combine_hashes(hash, point), index)));
        self.ring.sort_unstable();
        self.target_count += 1;
    }

    /// Removes a target.
    pub fn remove(&mut self, index: u32) {
        self.ring.retain(|point| point.1 != index);
        self.set_open(index, false);
        self.target_count -= 1;
    }

    /// Records whether the target accepts new work.
    pub fn set_open(&mut self, index: u32, open: bool) {
        match (self.open_targets.binary_search(&index), open) {
            (Err(at), true) => self.open_targets.insert(at, index),
            (Ok(at), false) => {
                self.open_targets.remove(at);
            }
            _ => {}
        }
    }

    /// Indices of targets that accept new work.
    pub fn open_targets(&self) -> &[u32] {
        &self.open_targets
    }

    /// Adds `change` to the sum of the targets' loads.
    pub fn add_load(&mut self, change: i64) {
        self.total_load += change;
    }

    /// Records the latency of a successful attempt.
    pub fn record_latency(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64();
        let old = self.latency_seconds.unwrap_or(sample);
        self.latency_seconds = Some(old + LATENCY_EWMA_WEIGHT * (sample - old));
    }

    /// Chooses a target for the request; returns its score and index.
    pub fn choose(&self, view: &TargetView<'_>, rng: &mut impl Rng) -> Option<(f64, u32)> {
        let baseline = self.baseline();
        match view.request.affinity {
            PickAffinity::None => self.choose_of_two_random(view, baseline, rng),
            PickAffinity::Key(hash) => self.choose_on_ring(view, baseline, hash, f64::INFINITY),
            PickAffinity::Prefix(hash) => {
                let candidate = self.choose_of_two_random(view, baseline, rng)?;
                Some(
                    self.choose_on_ring(view, baseline, hash, candidate.0 + AFFINITY_SCORE_SLACK)
                        .unwrap_or(candidate),
                )
            }
        }
    }

    /// Chooses an allowed target at random, ejected or not: the last resort.
    pub fn choose_ignoring_health(&self, view: &TargetView<'_>, rng: &mut impl Rng) -> Option<u32> {
        let allowed: Vec<u32> =
            self.open_targets.iter().copied().filter(|&index| view.is_allowed(index)).collect();
        let at = random_index(allowed.len(), rng)?;
        Some(allowed[at])
    }

    fn baseline(&self) -> GroupBaseline {
        let mean_load = self.total_load.max(0) as f64 / self.target_count.max(1) as f64;
        GroupBaseline { mean_load, latency_seconds: self.latency_seconds }
    }

    /// The first usable target in ring order from `hash` whose score is at most `bound`.
    fn choose_on_ring(
        &self,
        view: &TargetView<'_>,
        baseline: GroupBaseline,
        hash: u64,
        bound: f64,
    ) -> Option<(f64, u32)> {
        let position = combine_hashes(hash, RING_SEED);
        let start = self.ring.partition_point(|point| point.0 < position);
        let points = self.ring[start..].iter().chain(&self.ring[..start]);
        let usable = points.map(|point| point.1).filter(|&index| view.is_usable(index));
        let mut scored =
            usable.take(MAX_RING_CANDIDATES).map(|index| (view.score(index, baseline), index));
        scored.find(|(score, _)| *score <= bound)
    }

    /// The better of two usable targets drawn at random.
    fn choose_of_two_random(
        &self,
        view: &TargetView<'_>,
        baseline: GroupBaseline,
        rng: &mut impl Rng,
    ) -> Option<(f64, u32)> {
        let first = self.draw(view, None, rng)?;
        let first = (view.score(first, baseline), first);
        let Some(second) = self.draw(view, Some(first.1), rng) else { return Some(first) };
        let second = (view.score(second, baseline), second);
        if second.0 < first.0 { Some(second) } else { Some(first) }
    }

    /// Draws a usable target other than `excluded` at random.
    fn draw(
        &self,
        view: &TargetView<'_>,
        excluded: Option<u32>,
        rng: &mut impl Rng,
    ) -> Option<u32> {
        let is_candidate = |index: u32| Some(index) != excluded && view.is_usable(index);
        for _ in 0..MAX_RANDOM_DRAWS {
            let index = self.open_targets[random_index(self.open_targets.len(), rng)?];
            if is_candidate(index) {
                return Some(index);
            }
        }
        let candidates: Vec<u32> =
            self.open_targets.iter().copied().filter(|&index| is_candidate(index)).collect();
        let at = random_index(candidates.len(), rng)?;
        Some(candidates[at])
    }
}

fn random_index(len: usize, rng: &mut impl Rng) -> Option<usize> {
    (len > 0).then(|| rng.random_range(0..len))
}
