//! The concurrency at which the times of a target begin to rise. It is a part of the expected time of the
//! target, and no bound on the requests that are sent to it.

use super::speed::SpeedWindow;
use crate::prelude::*;

/// Elevation of the times above their floor from which the load is too high, as a logarithm: a factor of 1.4.
const CUT_ELEVATION: f64 = 0.336;
/// Elevation below which the limit may rise, as a logarithm: a factor of 1.15. Between the two it stays, so
/// that it settles.
const RISE_ELEVATION: f64 = 0.140;
/// Part of the limit that must be in use for it to rise by a whole step.
const USED_PART: f64 = 0.6;
/// Rise of a limit that is in use, as a part of it, for each window below [`RISE_ELEVATION`].
const USED_RISE: f64 = 0.15;
/// The same for a limit that is not in use. It makes a target that was slow for a while normal again.
const UNUSED_RISE: f64 = 0.04;
/// Rise near the load that was too high, as a part of the usual rise.
const NEAR_CEILING_FACTOR: f64 = 0.2;
/// Time after which the load that was too high is forgotten.
const CEILING_RETENTION: Duration = Duration::from_secs(8);
/// Minimum time between two rises.
const RISE_INTERVAL: Duration = Duration::from_millis(150);
/// Part of the slots below which a limit does not fall.
const MIN_PART: f64 = 1.0 / 6.0;

/// The limit of one target, between a sixth of its slots (at least 1) and all of them.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConcurrencyLimit {
    slots: f64,
    limit: f64,
    /// The lowest recent load that was too high.
    ceiling: Option<f64>,
    cut_at: MonoTime,
    risen_at: MonoTime,
}

impl ConcurrencyLimit {
    /// Creates the limit of a target: `ratio` times its `slots`.
    pub fn new(slots: u32, ratio: f64) -> Self {
        let slots = f64::from(slots.max(1));
        let mut limit = Self {
            slots,
            limit: slots,
            ceiling: None,
            cut_at: MonoTime::ZERO,
            risen_at: MonoTime::ZERO,
        };
        limit.limit = (slots * ratio).clamp(limit.min(), slots);
        limit
    }

    /// Returns the limit as a whole number of requests, at least 1.
    pub fn value(&self) -> u32 {
        self.limit.round().max(1.0) as u32
    }

    /// Returns the ratio of the limit to the slots.
    pub fn ratio(&self) -> f64 {
        self.limit / self.slots
    }

    /// Returns the registered slots, at least 1.
    pub fn slots(&self) -> f64 {
        self.slots
    }

    fn min(&self) -> f64 {
        (self.slots * MIN_PART).max(1.0)
    }

    /// Cuts or raises the limit by the times of a window.
    pub fn on_window(&mut self, now: MonoTime, window: SpeedWindow) {
        // Requests that were sent before the last cut ran at the load from before it.
        if window.begun_at < self.cut_at {
            return;
        }
        if window.elevation > CUT_ELEVATION {
            // Times that are high at the load of the floor, too, have another reason than the load.
            if window.load > window.floor_load + 1.0 {
                self.cut(now, window);
            }
        } else if window.elevation < RISE_ELEVATION && now.since(self.risen_at) >= RISE_INTERVAL {
            self.rise(now, window.load);
        }
    }

    /// Cuts the limit to the load at which the times would be those of the floor: the times of a saturated
    /// target are proportional to its load.
    fn cut(&mut self, now: MonoTime, window: SpeedWindow) {
        let sustainable = window.load * (-window.elevation).exp();
        let limit = sustainable.max(window.floor_load.min(window.load * 0.9)).max(self.min());
        if limit < self.limit {
            self.limit = limit;
            self.ceiling = Some(window.load);
            self.cut_at = now;
        }
    }

    fn rise(&mut self, now: MonoTime, load: f64) {
        let is_forgotten = now.since(self.cut_at) > CEILING_RETENTION;
        if is_forgotten {
            self.ceiling = None;
        }
        let is_used = load >= self.limit * USED_PART;
        let rate = if is_used || is_forgotten { USED_RISE } else { UNUSED_RISE };
        let raised = self.limit * (1.0 + rate);
        let is_near = self.ceiling.is_some_and(|ceiling| raised > ceiling * 0.8);
        let rate = if is_near { rate * NEAR_CEILING_FACTOR } else { rate };
        self.limit = (self.limit * (1.0 + rate)).min(self.slots);
        self.risen_at = now;
    }
}
