//! Counters as processes export them, and how they are merged.

use super::{BurnWindow, ObjectiveKind};
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// The counters of one process, or of several merged.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BurnCounts {
    /// Number of processes merged.
    pub processes: u64,
    /// Seconds of each window that the processes were running, summed over the processes.
    pub seen_seconds: SortedTable<BurnWindow, u64>,
    /// Counters by service and organisation, sorted by these.
    pub series: Vec<SeriesCounts>,
}

/// Counters of a service, or of one organisation's use of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeriesCounts {
    /// The service.
    pub service: ServiceName,
    /// The organisation; `None` for all organisations together.
    pub organisation: Option<OrganisationName>,
    /// Counters by objective.
    pub objectives: Vec<ObjectiveCounts>,
    /// Bad events by cause.
    pub causes: Vec<BurnCause>,
}

/// Counters of one objective.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectiveCounts {
    /// Kind of the objective.
    pub kind: ObjectiveKind,
    /// Counters by window.
    pub windows: Vec<WindowCount>,
}

/// Events within one window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCount {
    /// The window.
    pub window: BurnWindow,
    /// Number of events that met the objective.
    pub good: u64,
    /// Number of events that missed it.
    pub bad: u64,
}

/// Bad events of one cause within one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnCause {
    /// Kind of the objective that was missed.
    pub kind: ObjectiveKind,
    /// The window.
    pub window: BurnWindow,
    /// Result code of the requests.
    pub code: ResultCode,
    /// The site that served the requests; that of the entry if none did.
    pub site: SiteName,
    /// Number of bad events.
    pub bad: u64,
}

impl BurnCounts {
    /// Adds the counters of other processes.
    pub fn merge(&mut self, other: BurnCounts) {
        self.processes += other.processes;
        for (window, seconds) in other.seen_seconds {
            *self.seen_seconds.get_or_insert_with(window, || 0) += seconds;
        }
        for series in other.series {
            let found = self.series.binary_search_by(|own| own.key().cmp(&series.key()));
            match found {
                Ok(index) => self.series[index].merge(series),
                Err(index) => self.series.insert(index, series),
            }
        }
    }

    /// Share of `window` that the counters cover, between 0 and 1; low right after a restart, since
    /// counters do not survive it.
    pub fn seen_share(&self, window: BurnWindow) -> f64 {
        let seen_seconds = self.seen_seconds.get(&window).copied().unwrap_or(0);
        let total_seconds = self.processes * window.span().as_secs();
        if total_seconds == 0 { 0.0 } else { seen_seconds as f64 / total_seconds as f64 }
    }
}

impl SeriesCounts {
    fn key(&self) -> (&ServiceName, &Option<OrganisationName>) {
        (&self.service, &self.organisation)
    }

    fn merge(&mut self, other: SeriesCounts) {
        for objective in other.objectives {
            match self.objectives.iter_mut().find(|own| own.kind == objective.kind) {
                Some(own) => own.merge(&objective),
                None => self.objectives.push(objective),
            }
        }
        self.objectives.sort_by_key(|objective| objective.kind);
        for cause in other.causes {
            match self.causes.iter_mut().find(|own| own.key() == cause.key()) {
                Some(own) => own.bad += cause.bad,
                None => self.causes.push(cause),
            }
        }
    }
}

impl ObjectiveCounts {
    /// Whether no event was counted in any window.
    pub fn is_empty(&self) -> bool {
        self.windows.iter().all(|count| count.good + count.bad == 0)
    }

    /// The events within `window`.
    pub fn window(&self, window: BurnWindow) -> WindowCount {
        let found = self.windows.iter().find(|count| count.window == window);
        found.copied().unwrap_or(WindowCount { window, good: 0, bad: 0 })
    }

    fn merge(&mut self, other: &ObjectiveCounts) {
        for added in &other.windows {
            match self.windows.iter_mut().find(|own| own.window == added.window) {
                Some(own) => {
                    own.good += added.good;
                    own.bad += added.bad;
                }
                None => self.windows.push(*added),
            }
        }
    }
}

impl BurnCause {
    fn key(&self) -> (ObjectiveKind, BurnWindow, ResultCode, &SiteName) {
        (self.kind, self.window, self.code, &self.site)
    }
}
