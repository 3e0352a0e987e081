//! Counters judged by objectives.

use super::{
    BurnCause, BurnCounts, BurnWindow, ObjectiveCounts, ObjectiveKind, SeriesCounts, WindowCount,
};
use crate::config::ObjectiveConfig;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

/// Pairs of windows with the burn rate above which, in both of them, a page is due.
const PAGE_RULES: [(BurnWindow, BurnWindow, f64); 2] = [
    (BurnWindow::FiveMinutes, BurnWindow::Hour, 14.4),
    (BurnWindow::HalfHour, BurnWindow::SixHours, 6.0),
];
/// Smallest share of events that an objective allows to be bad; a stricter one counts as this.
const LEAST_BUDGET: f64 = 1e-6;
/// Most causes reported for one objective, largest first.
const MAX_REPORTED_CAUSES: usize = 8;

/// Burn of all services and organisations that have objectives and events.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Whether a page is due for any row.
    pub page_due: bool,
    /// Share of each window that was seen, between 0 and 1.
    pub seen_share: SortedTable<BurnWindow, f64>,
    /// A row for each objective of each service and organisation.
    pub rows: Vec<BurnRow>,
}

/// Burn of one objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The service.
    pub service: ServiceName,
    /// The organisation; none if all are counted.
    pub organisation: Option<OrganisationName>,
    /// What the objective is about.
    pub kind: ObjectiveKind,
    /// Share of events that has to be good.
    pub wanted_share: f64,
    /// Share left of what the longest window allows to be bad; negative once it is overdrawn.
    pub budget_left: f64,
    /// Burn by window.
    pub windows: Vec<WindowBurn>,
    /// Whether a page is due.
    pub page_due: bool,
    /// What burns most, within the longest window.
    pub causes: Vec<BurnCause>,
}

/// Burn within one window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The window.
    pub window: BurnWindow,
    /// Number of events.
    pub events: u64,
    /// Number of bad events.
    pub bad: u64,
    /// Share of bad events relative to what is allowed; 1 uses up the budget just at the end of
    /// the objective's period.
    pub rate: f64,
}

/// Judges `counts` by `objectives`.
pub fn evaluate(
    counts: &BurnCounts,
    objectives: &SortedTable<ServiceName, ObjectiveConfig>,
) -> BurnReport {
    let mut rows = Vec::new();
    for series in &counts.series {
        let Some(config) = objectives.get(&series.service) else { continue };
        for objective in &series.objectives {
            let Some(wanted) = objective.kind.wanted_share(config) else { continue };
            rows.push(row_of(series, objective, wanted));
        }
    }
    let seen_share = BurnWindow::iter().map(|window| (window, counts.seen_share(window))).collect();
    BurnReport { page_due: rows.iter().any(|row| row.page_due), seen_share, rows }
}

fn row_of(series: &SeriesCounts, objective: &ObjectiveCounts, wanted_share: f64) -> BurnRow {
    let budget = (1.0 - wanted_share).max(LEAST_BUDGET);
    let rate_in = |window| rate_of(&objective.window(window), budget);
    let windows = BurnWindow::iter().map(|window| {
        let count = objective.window(window);
        let events = count.good + count.bad;
        WindowBurn { window, events, bad: count.bad, rate: rate_of(&count, budget) }
    });
    let page_due = PAGE_RULES
        .iter()
        .any(|(short, long, limit)| rate_in(*short) > *limit && rate_in(*long) > *limit);
    BurnRow {
        service: series.service.clone(),
        organisation: series.organisation.clone(),
        kind: objective.kind,
        wanted_share,
        budget_left: 1.0 - rate_in(BurnWindow::SixHours),
        windows: windows.collect(),
        page_due,
        causes: largest_causes(series, objective.kind),
    }
}

fn rate_of(count: &WindowCount, budget: f64) -> f64 {
    let events = count.good + count.bad;
    if events == 0 { 0.0 } else { count.bad as f64 / events as f64 / budget }
}

fn largest_causes(series: &SeriesCounts, kind: ObjectiveKind) -> Vec<BurnCause> {
    let causes = series.causes.iter();
    let wanted = causes.filter(|cause| cause.kind == kind && cause.window == BurnWindow::SixHours);
    let mut largest: Vec<BurnCause> = wanted.cloned().collect();
    largest.sort_by_key(|cause| std::cmp::Reverse(cause.bad));
    largest.truncate(MAX_REPORTED_CAUSES);
    largest
}
