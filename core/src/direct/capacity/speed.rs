//! Measured times relative to the expected ones, as logarithms of their ratio.

use super::{TargetWork, WorkModel};
use crate::prelude::*;

/// Weight of a sample in the recent time.
const RECENT_WEIGHT: f64 = 0.3;
/// Weight of a sample that is far off the recent time: a target that becomes slow is noticed by the second
/// one.
const JUMP_WEIGHT: f64 = 0.6;
/// Deviation, relative to the usual one, from which a sample is far off.
const JUMP_DEVIATIONS: f64 = 3.0;
/// Weight of a sample in the usual deviation.
const DEVIATION_WEIGHT: f64 = 0.1;
/// Usual deviation of a target that has no samples.
const START_DEVIATION: f64 = 0.3;
/// Samples of a full window.
const WINDOW_SAMPLES: u32 = 8;
/// Samples and length of a window that ends before it is full.
const SHORT_WINDOW: (u32, Duration) = (3, Duration::from_millis(200));
/// Time after which the samples of a window are dropped: the load has changed since.
const MAX_WINDOW: Duration = Duration::from_secs(3);
/// Standard deviations of a window's mean that chance explains.
const CHANCE_DEVIATIONS: f64 = 2.0;
/// Number of windows after the start of a target that only measure its floor.
const LEARNING_WINDOWS: u32 = 4;
/// Weight of a window that is faster than the floor.
const FLOOR_FALL: f64 = 0.5;
/// Weight of a window that is slower than the floor, if its load is not higher than that of the floor.
const FLOOR_RISE: f64 = 0.15;
/// Weight of a window that is slower than the floor at a higher load, which may be the reason.
const LOADED_FLOOR_RISE: f64 = 0.01;
/// Time in seconds after which a deviation from the floor has fallen to a third without samples. A target
/// that is slow for a moment gets no requests that would show that it is quick again.
const RECENT_RETENTION: f64 = 1.5;
/// Time in seconds after which the deviation of a floor from the usual one of its service has fallen to a
/// third without samples.
const FLOOR_RETENTION: f64 = 15.0;
/// Weight of a sample in the values of a service.
const SERVICE_WEIGHT: f64 = 0.02;
/// Time in seconds over which the rate of sent requests is measured.
const RATE_TIME: f64 = 1.0;
/// Weight of an answer in the share of failures of a service.
const SERVICE_FAILURE_WEIGHT: f64 = 0.1;
/// Shortest time to which the times of targets are compared: differences far below it matter to no caller.
const MIN_REFERENCE_MS: f64 = 20.0;
/// Limit of the logarithm of a ratio: a factor of 1000.
const MAX_LOG: f64 = 6.9;

/// Kind of a measured time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TimeKind {
    /// From the request to the first event, or to the complete answer of a plain service.
    Start,
    /// Between two events.
    Pause,
}

/// The mean of consecutive samples.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SpeedWindow {
    /// How far the mean is above the floor, beyond what chance explains.
    pub elevation: f64,
    /// Mean load at the target.
    pub load: f64,
    /// Load at which the floor was measured.
    pub floor_load: f64,
    /// When the first request of the window was sent.
    pub begun_at: MonoTime,
}

/// Measured times of one kind at one target.
#[derive(Debug, Clone, Copy)]
pub(super) struct SpeedTrack {
    floor: f64,
    floor_load: f64,
    recent: f64,
    deviation: f64,
    has_floor: bool,
    /// Windows so far, up to [`LEARNING_WINDOWS`].
    windows: u32,
    measured_at: MonoTime,
    window: OpenWindow,
}

#[derive(Debug, Clone, Copy, Default)]
struct OpenWindow {
    count: u32,
    sum: f64,
    load_sum: f64,
    begun_at: MonoTime,
    opened_at: MonoTime,
}

/// Returns the logarithm of a ratio of times, within bounds.
pub(super) fn log_ratio(measured_ms: f64, expected_ms: f64) -> f64 {
    let ratio = measured_ms.max(0.01) / expected_ms.max(0.01);
    ratio.ln().clamp(-MAX_LOG, MAX_LOG)
}

fn decay(now: MonoTime, since: MonoTime, retention: f64) -> f64 {
    (-now.since(since).as_secs_f64() / retention).exp()
}

impl SpeedTrack {
    /// Creates a track that starts from the value of the service, if there is one.
    pub fn new(service: Option<f64>) -> Self {
        let start = service.unwrap_or(0.0);
        Self {
            floor: start,
            floor_load: 0.0,
            recent: start,
            deviation: START_DEVIATION,
            has_floor: service.is_some(),
            windows: 0,
            measured_at: MonoTime::ZERO,
            window: OpenWindow::default(),
        }
    }

    /// Records a sample of a request that was sent at `sent_at`; returns the window that it completes.
    pub fn record(
        &mut self,
        now: MonoTime,
        sent_at: MonoTime,
        sample: f64,
        load: f64,
    ) -> Option<SpeedWindow> {
        if !self.has_floor {
            (self.floor, self.recent, self.floor_load) = (sample, sample, load);
            self.has_floor = true;
        }
        self.recent = self.floor
            + (self.recent - self.floor) * decay(now, self.measured_at, RECENT_RETENTION);
        let offset = sample - self.recent;
        let is_jump = offset.abs() > JUMP_DEVIATIONS * self.deviation;
        self.recent += offset * if is_jump { JUMP_WEIGHT } else { RECENT_WEIGHT };
        self.deviation += (offset.abs().min(2.0) - self.deviation) * DEVIATION_WEIGHT;
        self.measured_at = now;
        let window = &mut self.window;
        if window.count == 0 || now.since(window.opened_at) > MAX_WINDOW {
            *window = OpenWindow { begun_at: sent_at, opened_at: now, ..OpenWindow::default() };
        }
        window.begun_at = window.begun_at.min(sent_at);
        window.count += 1;
        window.sum += sample;
        window.load_sum += load;
        let (short_count, short_time) = SHORT_WINDOW;
        let is_over = window.count >= short_count && now.since(window.opened_at) >= short_time;
        (is_over || window.count >= WINDOW_SAMPLES).then(|| self.close_window())
    }

    fn close_window(&mut self) -> SpeedWindow {
        let window = std::mem::take(&mut self.window);
        let count = f64::from(window.count);
        let (mean, load) = (window.sum / count, window.load_sum / count);
        let above = mean - self.floor;
        let is_learning = self.windows < LEARNING_WINDOWS;
        self.windows += u32::from(is_learning);
        let (weight, is_floor_load) = match above {
            _ if above <= 0.0 || is_learning => (FLOOR_FALL, true),
            _ if load <= self.floor_load + 0.5 => (FLOOR_RISE, true),
            _ => (LOADED_FLOOR_RISE, false),
        };
        let chance = CHANCE_DEVIATIONS * self.deviation / count.sqrt();
        // Until the floor is that of this target, it may be the published one, which its times never reach.
        let elevation = if is_learning { 0.0 } else { (above - chance).max(0.0) };
        let floor_load = self.floor_load;
        self.floor += above * weight;
        // At the usual times, the load at which they are usual is known as well.
        if is_floor_load || above < chance {
            self.floor_load += (load - self.floor_load) * 0.3;
        }
        SpeedWindow { elevation, load, floor_load, begun_at: window.begun_at }
    }

    /// Returns the recent value, which falls back to the floor, and then to the value of the service, when
    /// nothing is measured.
    pub fn recent(&self, now: MonoTime, service: f64) -> f64 {
        let recent = decay(now, self.measured_at, RECENT_RETENTION) * (self.recent - self.floor);
        self.floor(now, service) + recent
    }

    /// Returns how far the recent value is above the floor.
    pub fn elevation(&self, now: MonoTime) -> f64 {
        decay(now, self.measured_at, RECENT_RETENTION) * (self.recent - self.floor).max(0.0)
    }

    /// Returns the floor.
    pub fn floor(&self, now: MonoTime, service: f64) -> f64 {
        if !self.has_floor {
            return service;
        }
        service + (self.floor - service) * decay(now, self.measured_at, FLOOR_RETENTION)
    }
}

/// The usual values of the targets of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceSpeed {
    model: WorkModel,
    start: Option<f64>,
    pause: Option<f64>,
    /// Usual ratio of a limit to the registered slots.
    limit_ratio: Option<f64>,
    /// Share of failures among the answers.
    failures: f64,
    /// Requests per second that this entry sends, and when it was updated.
    sent_rate: f64,
    sent_at: MonoTime,
    targets: usize,
}

impl ServiceSpeed {
    /// Replaces the published figures. Values that were measured against others are dropped.
    pub fn set_model(&mut self, model: WorkModel) {
        if model != self.model {
            *self = Self { model, targets: self.targets, ..Self::default() };
        }
    }

    /// Returns the times that a target of usual speed needs.
    pub fn model(&self) -> WorkModel {
        self.model
    }

    /// Records a sample of any target.
    pub fn record(&mut self, kind: TimeKind, sample: f64) {
        let value = match kind {
            TimeKind::Start => &mut self.start,
            TimeKind::Pause => &mut self.pause,
        };
        blend(value, sample);
    }

    /// Records the limit of a target relative to its slots.
    pub fn record_limit(&mut self, ratio: f64) {
        blend(&mut self.limit_ratio, ratio);
    }

    /// Returns the value from which a new target starts; `None` if nothing is known.
    pub fn start_value(&self, kind: TimeKind) -> Option<f64> {
        match kind {
            TimeKind::Start => self.start,
            TimeKind::Pause => self.pause,
        }
    }

    /// Returns the usual value; the expected one if nothing is known.
    pub fn usual(&self, kind: TimeKind) -> f64 {
        self.start_value(kind).unwrap_or(0.0)
    }

    /// Records an answer (0) or a failure (1).
    pub fn record_failures(&mut self, share: f64) {
        self.failures += (share - self.failures) * SERVICE_FAILURE_WEIGHT;
    }

    /// Sets the number of targets.
    pub fn set_targets(&mut self, targets: usize) {
        self.targets = targets;
    }

    /// Returns the number of targets, at least 1.
    pub fn targets(&self) -> f64 {
        self.targets.max(1) as f64
    }

    /// Counts a request that this entry sends.
    pub fn count_sent(&mut self, now: MonoTime) {
        self.sent_rate = self.sent_rate(now) + 1.0 / RATE_TIME;
        self.sent_at = now;
    }

    /// Returns the requests per second that this entry sends.
    pub fn sent_rate(&self, now: MonoTime) -> f64 {
        self.sent_rate * decay(now, self.sent_at, RATE_TIME)
    }

    /// Returns the share of failures among the answers.
    pub fn failures(&self) -> f64 {
        self.failures
    }

    /// Returns the usual ratio of a limit to the slots; 1 if nothing is known.
    pub fn limit_ratio(&self) -> f64 {
        self.limit_ratio.unwrap_or(1.0)
    }

    /// Returns the time that a target of usual speed with all of its `slots` in use takes to begin to answer.
    pub fn reference_ms(&self, prompt_tokens: u32, slots: f64) -> f64 {
        let work = TargetWork { requests: slots, other_requests: slots, ..TargetWork::default() };
        let expected = self.model.start_ms(prompt_tokens, work) * self.usual(TimeKind::Start).exp();
        expected.max(MIN_REFERENCE_MS)
    }
}

fn blend(value: &mut Option<f64>, sample: f64) {
    let before = value.unwrap_or(sample);
    *value = Some(before + (sample - before) * SERVICE_WEIGHT);
}
