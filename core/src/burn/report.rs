//! Evaluates counters against the objectives of the configuration.

use super::{
    BurnCause, BurnCounts, BurnWindow, ObjectiveCounts, ObjectiveKind, SeriesCounts, WindowCount,
};
use crate::config::ObjectiveConfig;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

/// Multi-window alert rules: short window, long window, and the burn rate above which, in both
/// windows, the on-call engineer is to be paged.
const PAGE_RULES: [(BurnWindow, BurnWindow, f64); 2] = [
    (BurnWindow::FiveMinutes, BurnWindow::Hour, 14.4),
    (BurnWindow::HalfHour, BurnWindow::SixHours, 6.0),
];
/// Smallest error budget, as a share of events; a stricter objective is evaluated with this, so that
/// the burn rate stays finite.
const MIN_ERROR_BUDGET: f64 = 1e-6;
/// Most causes reported for one objective; the largest are kept.
const MAX_REPORTED_CAUSES: usize = 8;

/// Burn rates of all services and organisations that have objectives and events.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Whether the alert rules call for a page for any row.
    pub page_due: bool,
    /// Share of each window that the counters cover, between 0 and 1.
    pub seen_share: SortedTable<BurnWindow, f64>,
    /// One row for each objective of each service and organisation.
    pub rows: Vec<BurnRow>,
}

/// Burn rates of one objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The service.
    pub service: ServiceName,
    /// The organisation; `None` for all organisations together.
    pub organisation: Option<OrganisationName>,
    /// Kind of the objective.
    pub kind: ObjectiveKind,
    /// Share of events that must be good, between 0 and 1.
    pub wanted_share: f64,
    /// Share left of the error budget of the longest window; negative once it is exceeded.
    pub budget_left: f64,
    /// Burn rates by window.
    pub windows: Vec<WindowBurn>,
    /// Whether the alert rules call for a page.
    pub page_due: bool,
    /// Largest causes of bad events within the longest window.
    pub causes: Vec<BurnCause>,
}

/// Burn rate within one window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The window.
    pub window: BurnWindow,
    /// Number of events.
    pub events: u64,
    /// Number of bad events.
    pub bad: u64,
    /// Burn rate: share of bad events divided by the error budget; at 1 the budget is used up
    /// exactly at the end of the objective's period.
    pub rate: f64,
}

/// Evaluates `counts` against `objectives`.
pub fn evaluate(
    counts: &BurnCounts,
    objectives: &SortedTable<ServiceName, ObjectiveConfig>,
) -> BurnReport {
    let mut rows = Vec::new();
    for series in &counts.series {
        let Some(config) = objectives.get(&series.service) else { continue };
        for objective in &series.objectives {
            let Some(wanted_share) = objective.kind.wanted_share(config) else { continue };
            rows.push(row_of(series, objective, wanted_share));
        }
    }
    let seen_share = BurnWindow::iter().map(|window| (window, counts.seen_share(window))).collect();
    BurnReport { page_due: rows.iter().any(|row| row.page_due), seen_share, rows }
}

fn row_of(series: &SeriesCounts, objective: &ObjectiveCounts, wanted_share: f64) -> BurnRow {
    let error_budget = (1.0 - wanted_share).max(MIN_ERROR_BUDGET);
    let rate_in = |window| burn_rate(&objective.window(window), error_budget);
    let windows = BurnWindow::iter().map(|window| {
        let count = objective.window(window);
        let events = count.good + count.bad;
        WindowBurn { window, events, bad: count.bad, rate: burn_rate(&count, error_budget) }
    });
    let page_due = PAGE_RULES
        .iter()
        .any(|(short, long, max_rate)| rate_in(*short) > *max_rate && rate_in(*long) > *max_rate);
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

fn burn_rate(count: &WindowCount, error_budget: f64) -> f64 {
    let events = count.good + count.bad;
    if events == 0 { 0.0 } else { count.bad as f64 / events as f64 / error_budget }
}

fn largest_causes(series: &SeriesCounts, kind: ObjectiveKind) -> Vec<BurnCause> {
    let causes = series.causes.iter();
    let matching =
        causes.filter(|cause| cause.kind == kind && cause.window == BurnWindow::SixHours);
    let mut largest: Vec<BurnCause> = matching.cloned().collect();
    largest.sort_by_key(|cause| std::cmp::Reverse(cause.bad));
    largest.truncate(MAX_REPORTED_CAUSES);
    largest
}
