//! Pauses between the events of a stream.

use crate::prelude::*;

/// Pauses after which their mean is recorded.
const PAUSES_OF_SAMPLE: u32 = 8;
/// Time after which the mean of fewer pauses is recorded.
const SAMPLE_TIME: Duration = Duration::from_millis(150);

/// The mean of some consecutive pauses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PauseSample {
    /// Number of pauses.
    pub count: u32,
    /// The mean pause.
    pub mean: Duration,
}

/// Measures the pauses of one stream and combines several into a sample, since streams have far more events
/// than there are requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct PauseMeter {
    first_at: Option<MonoTime>,
    count: u32,
}

impl PauseMeter {
    /// Records that `events` arrived, and returns a sample if one is complete.
    pub fn on_events(&mut self, now: MonoTime, events: u32) -> Option<PauseSample> {
        let Some(first_at) = self.first_at else {
            self.first_at = (events > 0).then_some(now);
            return None;
        };
        self.count += events;
        let time = now.since(first_at);
        if self.count == 0 || (self.count < PAUSES_OF_SAMPLE && time < SAMPLE_TIME) {
            return None;
        }
        let sample = PauseSample { count: self.count, mean: time / self.count };
        *self = Self { first_at: Some(now), count: 0 };
        Some(sample)
    }
}
