//! Records the good and bad events of one process.

use super::ring::{BucketRing, BurnBucket, CauseKey};
use super::{
    BurnCause, BurnCounts, BurnWindow, ObjectiveCounts, ObjectiveKind, SeriesCounts, WindowCount,
};
use crate::code::OutcomeClass;
use crate::config::ObjectiveConfig;
use crate::prelude::*;
use strum::IntoEnumIterator;

/// Bucket width for windows of up to an hour.
const FINE_WIDTH: Duration = Duration::from_secs(30);
/// Bucket width for longer windows.
const COARSE_WIDTH: Duration = Duration::from_secs(5 * 60);
/// Most series of single organisations, summed over all services; organisations beyond that are
/// counted only in the totals of their service.
const MAX_ORGANISATION_SERIES: usize = 512;

/// A finished request, as seen by the process that answered the caller.
#[derive(Debug, Clone)]
pub struct BurnSample<'a> {
    /// The service that the request was for.
    pub service: &'a ServiceName,
    /// The organisation of the caller.
    pub organisation: &'a OrganisationName,
    /// The site that served the request; that of the entry if none did.
    pub site: &'a SiteName,
    /// Result code of the request.
    pub code: ResultCode,
    /// Time to the first token or byte; `None` if there was none.
    pub first_token: Option<Duration>,
    /// Number of gaps between tokens within [`BurnRecorder::gap_limit`].
    pub gaps_on_time: u32,
    /// Number of longer gaps.
    pub gaps_late: u32,
}

/// Events of one service, or of one organisation's use of it.
#[derive(Debug)]
struct BurnSeries {
    fine: BucketRing,
    coarse: BucketRing,
}

/// Service and organisation of a series; without an organisation, the totals of the service.
type SeriesKey = (ServiceName, Option<OrganisationName>);

/// Counts the good and bad events of one process over sliding windows, in fixed memory.
///
/// Requests that were rejected because of an error of the caller ([`OutcomeClass::Final`] and
/// [`ResultCode::OverLimit`]) or cancelled by the caller are not counted for availability.
#[derive(Debug)]
pub struct BurnRecorder {
    started_at: MonoTime,
    objectives: SortedTable<ServiceName, ObjectiveConfig>,
    series: SortedTable<SeriesKey, BurnSeries>,
    organisation_series_count: usize,
}

impl BurnRecorder {
    /// An empty recorder of a process that starts now.
    pub fn new(now: MonoTime) -> Self {
        Self {
            started_at: now,
            objectives: SortedTable::new(),
            series: SortedTable::new(),
            organisation_series_count: 0,
        }
    }

    /// Replaces the objectives by which later events count as good or bad.
    pub fn set_objectives(&mut self, objectives: SortedTable<ServiceName, ObjectiveConfig>) {
        self.objectives = objectives;
    }

    /// The longest gap between two tokens that meets the objective of `service`; `None` if it has no
    /// such objective.
    pub fn gap_limit(&self, service: &ServiceName) -> Option<Duration> {
        let limit_ms = self.objectives.get(service)?.between_tokens_ms?;
        Some(Duration::from_millis(u64::from(limit_ms)))
    }

    /// Counts a finished request. Services without objectives are not counted.
    pub fn record(&mut self, now: MonoTime, sample: &BurnSample<'_>) {
        let Some(objective) = self.objectives.get(sample.service) else { return };
        let events = events_of(sample, objective);
        let keys = [None, Some(sample.organisation.clone())];
        for organisation in keys {
            let Some(series) = self.series_mut(now, sample.service, organisation) else { continue };
            for (kind, good, bad) in &events {
                let key = CauseKey { kind: *kind, code: sample.code, site: sample.site.clone() };
                series.add(now, &key, *good, *bad);
            }
        }
    }

    /// Counts a version change after which a host in `site` serves the new version, and the time
    /// that it took.
    pub fn record_live(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        site: &SiteName,
        elapsed: Duration,
    ) {
        let limit_seconds =
            self.objectives.get(service).and_then(|config| config.time_to_live_seconds);
        let Some(limit_seconds) = limit_seconds else { return };
        let is_late = elapsed > Duration::from_secs(u64::from(limit_seconds));
        let key =
            CauseKey { kind: ObjectiveKind::TimeToLive, code: ResultCode::Ok, site: site.clone() };
        if let Some(series) = self.series_mut(now, service, None) {
            series.add(now, &key, u64::from(!is_late), u64::from(is_late));
        }
    }

    /// The current counters, to be exported and merged.
    pub fn counts(&mut self, now: MonoTime) -> BurnCounts {
        let uptime_seconds = now.since(self.started_at).as_secs();
        let keys: Vec<SeriesKey> = self.series.keys().cloned().collect();
        let rows = keys.into_iter().zip(self.series.values_mut());
        let series = rows.map(|(key, series)| series.counts(now, key)).collect();
        let windows = BurnWindow::iter();
        let seen_seconds =
            windows.map(|window| (window, uptime_seconds.min(window.span().as_secs()))).collect();
        BurnCounts { processes: 1, seen_seconds, series }
    }

    /// The series of `service` and `organisation`, created if absent; `None` if
    /// [`MAX_ORGANISATION_SERIES`] is reached.
    fn series_mut(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        organisation: Option<OrganisationName>,
    ) -> Option<&mut BurnSeries> {
        let key = (service.clone(), organisation);
        if key.1.is_some() && !self.series.contains_key(&key) {
            if self.organisation_series_count >= MAX_ORGANISATION_SERIES {
                return None;
            }
            self.organisation_series_count += 1;
        }
        Some(self.series.get_or_insert_with(key, || BurnSeries::new(now)))
    }
}

impl BurnSeries {
    fn new(now: MonoTime) -> Self {
        Self {
            fine: BucketRing::new(now, FINE_WIDTH, BurnWindow::Hour.span()),
            coarse: BucketRing::new(now, COARSE_WIDTH, BurnWindow::SixHours.span()),
        }
    }

    fn add(&mut self, now: MonoTime, key: &CauseKey, good: u64, bad: u64) {
        for bucket in [self.fine.current(now), self.coarse.current(now)] {
            bucket.add(key.kind, good, bad);
            if bad > 0 {
                bucket.add_cause(key, bad);
            }
        }
    }

    fn sum(&mut self, now: MonoTime, window: BurnWindow) -> BurnBucket {
        match window {
            BurnWindow::SixHours => self.coarse.sum(now, window.span()),
            _ => self.fine.sum(now, window.span()),
        }
    }

    fn counts(&mut self, now: MonoTime, (service, organisation): SeriesKey) -> SeriesCounts {
        let sums: Vec<(BurnWindow, BurnBucket)> =
            BurnWindow::iter().map(|window| (window, self.sum(now, window))).collect();
        let objectives = ObjectiveKind::iter().map(|kind| {
            let windows = sums.iter().map(|(window, sum)| {
                let events = sum.events(kind);
                WindowCount { window: *window, good: events.good, bad: events.bad }
            });
            ObjectiveCounts { kind, windows: windows.collect() }
        });
        let objectives = objectives.filter(|objective| !objective.is_empty()).collect();
        SeriesCounts { service, organisation, objectives, causes: causes_of(&sums) }
    }
}

/// Bad events of each window by cause.
fn causes_of(sums: &[(BurnWindow, BurnBucket)]) -> Vec<BurnCause> {
    let causes = sums.iter().flat_map(|(window, sum)| {
        sum.causes.iter().map(|(key, bad)| BurnCause {
            kind: key.kind,
            window: *window,
            code: key.code,
            site: key.site.clone(),
            bad: *bad,
        })
    });
    causes.collect()
}

/// Kind, good events and bad events of a request.
fn events_of(
    sample: &BurnSample<'_>,
    objective: &ObjectiveConfig,
) -> Vec<(ObjectiveKind, u64, u64)> {
    let mut events = Vec::new();
    if let Some(is_good) = is_answered(sample.code) {
        events.push((ObjectiveKind::Availability, u64::from(is_good), u64::from(!is_good)));
    }
    if let (Some(first_token), Some(limit_ms)) = (sample.first_token, objective.first_token_ms) {
        let is_late = first_token > Duration::from_millis(u64::from(limit_ms));
        events.push((ObjectiveKind::FirstToken, u64::from(!is_late), u64::from(is_late)));
    }
    if objective.between_tokens_ms.is_some() && sample.gaps_on_time + sample.gaps_late > 0 {
        let (on_time, late) = (u64::from(sample.gaps_on_time), u64::from(sample.gaps_late));
        events.push((ObjectiveKind::BetweenTokens, on_time, late));
    }
    events
}

/// Whether a request counts as good for availability; `None` if it does not count, because the
/// caller made an error, exceeded a limit or cancelled.
fn is_answered(code: ResultCode) -> Option<bool> {
    match (code, code.class()) {
        (ResultCode::OverLimit | ResultCode::Cancelled, _) | (_, OutcomeClass::Final) => None,
        (_, class) => Some(class == OutcomeClass::Done),
    }
}
