//! What a simulated fleet consists of, and what happens to it.

use buckthornwharf_core::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// An outage in the middle of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageKind {
    None,
    /// The store cannot be reached.
    Store,
    /// All engines lose power at the same moment.
    Power,
}

/// What crashes engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashingKind {
    /// Parts of prompts that many requests share.
    Part,
    /// Requests that come again and again.
    Request {
        /// Whether they were answered before they turn bad.
        was_answered: bool,
    },
}

/// Size, load and faults of a run.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    pub entries: usize,
    pub engines: usize,
    /// Time from a crash to the restart of an engine.
    pub restart_time: Duration,
    pub crashing_kind: CrashingKind,
    /// Number of different parts, or requests, that crash engines.
    pub crashing_count: u64,
    /// Requests that crash engines, for each of these parts or requests.
    pub crashing_per_s: f64,
    pub sound_per_s: f64,
    /// Crashes of engines for other reasons.
    pub other_crashes_per_s: f64,
    pub outage: OutageKind,
    /// Whether entries restart in turn.
    pub restarts: bool,
    /// Time until what an entry writes reaches the others.
    pub lag: Duration,
}

impl FleetPlan {
    /// Draws a plan.
    pub fn draw(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let outages = [OutageKind::None, OutageKind::Store, OutageKind::Power];
        Self {
            entries: rng.random_range(1..7),
            engines: rng.random_range(4..25),
            restart_time: Duration::from_secs(4),
            crashing_kind: CrashingKind::Part,
            crashing_count: rng.random_range(1..4),
            crashing_per_s: [0.3, 1.0, 4.0, 12.0][rng.random_range(0..4)],
            sound_per_s: [4.0, 20.0, 80.0][rng.random_range(0..3)],
            other_crashes_per_s: [0.0, 0.2, 1.0][rng.random_range(0..3)],
            outage: outages[rng.random_range(0..outages.len())],
            restarts: rng.random(),
            lag: Duration::from_millis(rng.random_range(50..450)),
        }
    }

    /// Draws the plan of a small service, which requests that come again crash.
    pub fn draw_small(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            entries: rng.random_range(1..7),
            engines: rng.random_range(3..9),
            restart_time: Duration::from_millis(rng.random_range(2_000..4_500)),
            crashing_kind: CrashingKind::Request { was_answered: rng.random() },
            crashing_count: rng.random_range(1..3),
            crashing_per_s: [0.3, 1.0, 4.0, 12.0][rng.random_range(0..4)],
            sound_per_s: [0.5, 4.0, 20.0, 80.0][rng.random_range(0..4)],
            other_crashes_per_s: [0.0, 0.0, 0.1][rng.random_range(0..3)],
            outage: [OutageKind::None, OutageKind::Power][rng.random_range(0..2)],
            restarts: rng.random(),
            lag: Duration::from_millis(rng.random_range(50..450)),
        }
    }

    /// Crashes after which the bound on late requests holds.
    pub fn known_crashes(&self) -> usize {
        match self.crashing_kind {
            CrashingKind::Part => 5,
            CrashingKind::Request { .. } => 3,
        }
    }
}
