//! The bounds that a run must keep.

use super::plan::{CrashingKind, OutageKind};
use super::{CrashFleet, OUTAGE};
use buckthornwharf_core::prelude::*;

/// Time for which what crashed `known_crashes` engines may still reach engines without limit.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const MAX_LATE_REQUESTS: usize = 3;
/// Samples from which shares of served requests are compared.
const MIN_SAMPLES: usize = 20;

impl CrashFleet<'_> {
    /// Whether entries were without the store within the stable window before `at`.
    fn is_excused(&self, at: MonoTime) -> bool {
        self.plan.outage == OutageKind::Store && OUTAGE.0 <= at && at < OUTAGE.1 + STABLE_WINDOW
    }

    fn is_without_power(&self, at: MonoTime) -> bool {
        self.plan.outage == OutageKind::Power
            && OUTAGE.0 <= at
            && at < OUTAGE.0 + self.plan.restart_time
    }

    /// The violated bounds.
    pub(super) fn violations(&self) -> Vec<String> {
        let mut violations = self.late_violations();
        violations.extend(self.sound_violation());
        violations
    }

    fn late_violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (number, crashes) in self.crashes.iter().enumerate() {
            let Some(known_at) = crashes.get(self.plan.known_crashes() - 1) else { continue };
            let late = self.arrivals[number].iter().filter(|at| **at > *known_at + STABLE_WINDOW);
            let late = late.filter(|at| !self.is_excused(**at)).count();
            if late > MAX_LATE_REQUESTS {
                let crashes = crashes.len();
                violations.push(format!("{number}: {late} late requests, {crashes} crashes"));
            }
        }
        violations
    }

    fn sound_violation(&self) -> Option<String> {
        let known_crashes = self.plan.known_crashes();
        let known = self.crashes.iter().filter_map(|crashes| crashes.get(known_crashes - 1));
        let (last, required_tenths) = match self.plan.crashing_kind {
            CrashingKind::Part => {
                (self.crashes.iter().filter_map(|crashes| crashes.last()).max(), 5)
            }
            CrashingKind::Request { .. } => (None, 9),
        };
        let known_at = known.chain(last).max()?;
        let after = self
            .sound
            .iter()
            .filter(|(at, _)| *at > *known_at + 2 * STABLE_WINDOW && !self.is_without_power(*at));
        let outcomes: Vec<bool> = after.map(|(_, passed)| *passed).collect();
        let passed = outcomes.iter().filter(|passed| **passed).count();
        let is_violated =
            outcomes.len() >= MIN_SAMPLES && 10 * passed < required_tenths * outcomes.len();
        is_violated.then(|| format!("{passed} of {} sound requests passed", outcomes.len()))
    }
}
