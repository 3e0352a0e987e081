//! The counters of one process.

use super::ring::{BucketRing, BurnBucket, CauseKey};
use super::{
    BurnCause, BurnCounts, BurnWindow, ObjectiveCounts, ObjectiveKind, SeriesCounts, WindowCount,
};
use crate::code::OutcomeClass;
use crate::config::ObjectiveConfig;
use crate::prelude::*;
use strum::IntoEnumIterator;

/// Width of the buckets that windows of up to an hour are made of.
const FINE_WIDTH: Duration = Duration::from_secs(30);
/// Width of the buckets that longer windows are made of.
const COARSE_WIDTH: Duration = Duration::from_secs(5 * 60);
/// Most organisations counted apart, over all services; those beyond count in their service only.
const MAX_ORGANISATION_SERIES: usize = 512;

/// A request that ended, as the process that answered the caller saw it.
#[derive(Debug, Clone)]
pub struct BurnSample<'a> {
    /// The service that was asked.
    pub service: &'a ServiceName,
    /// The organisation that asked.
    pub organisation: &'a OrganisationName,
    /// The site that served the request; the entry's if none did.
    pub site: &'a SiteName,
    /// The result.
    pub code: ResultCode,
    /// Time to the first token or byte; none if there was none.
    pub first_token: Option<Duration>,
    /// Gaps between tokens that kept [`BurnRecorder::gap_limit`].
    pub gaps_on_time: u32,
    /// Gaps between tokens that did not.
    pub gaps_late: u32,
}

/// Events of one service, or of one organisation's use of it.
#[derive(Debug)]
struct BurnSeries {
    fine: BucketRing,
    coarse: BucketRing,
}

/// A series is told by its service and, unless it counts all, its organisation.
type SeriesKey = (ServiceName, Option<OrganisationName>);

/// Counts the good and bad events of one process over sliding windows, in fixed memory.
///
/// Requests refused for the caller's own fault ([`OutcomeClass::Final`] and
/// [`ResultCode::OverLimit`]) and those that the caller gave up do not count.
#[derive(Debug)]
pub struct BurnRecorder {
    started: MonoTime,
    objectives: SortedTable<ServiceName, ObjectiveConfig>,
    series: SortedTable<SeriesKey, BurnSeries>,
    organisation_series: usize,
}

impl BurnRecorder {
    /// An empty ledger of a process that starts now.
    pub fn new(now: MonoTime) -> Self {
        Self {
            started: now,
            objectives: SortedTable::new(),
            series: SortedTable::new(),
            organisation_series: 0,
        }
    }

    /// Replaces the objectives that events are judged by from now on.
    pub fn set_objectives(&mut self, objectives: SortedTable<ServiceName, ObjectiveConfig>) {
        self.objectives = objectives;
    }

    /// The longest gap between two tokens that keeps the objective of `service`.
    pub fn gap_limit(&self, service: &ServiceName) -> Option<Duration> {
        let limit = self.objectives.get(service)?.between_tokens_ms?;
        Some(Duration::from_millis(u64::from(limit)))
    }

    /// Counts a request that ended. Services without objectives are not counted.
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

    /// Counts a version that became live on its host in `site` after `taken`.
    pub fn record_live(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        site: &SiteName,
        taken: Duration,
    ) {
        let limit = self.objectives.get(service).and_then(|config| config.time_to_live_seconds);
        let Some(limit) = limit else { return };
        let late = taken > Duration::from_secs(u64::from(limit));
        let key =
            CauseKey { kind: ObjectiveKind::TimeToLive, code: ResultCode::Ok, site: site.clone() };
        if let Some(series) = self.series_mut(now, service, None) {
            series.add(now, &key, u64::from(!late), u64::from(late));
        }
    }

    /// The counters as they stand, to be given out and merged.
    pub fn counts(&mut self, now: MonoTime) -> BurnCounts {
        let up_seconds = now.since(self.started).as_secs();
        let keys: Vec<SeriesKey> = self.series.keys().cloned().collect();
        let rows = keys.into_iter().zip(self.series.values_mut());
        let series = rows.map(|(key, series)| series.counts(now, key)).collect();
        let windows = BurnWindow::iter();
        let seen_seconds =
            windows.map(|window| (window, up_seconds.min(window.span().as_secs()))).collect();
        BurnCounts { processes: 1, seen_seconds, series }
    }

    fn series_mut(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        organisation: Option<OrganisationName>,
    ) -> Option<&mut BurnSeries> {
        let key = (service.clone(), organisation);
        if key.1.is_some() && !self.series.contains_key(&key) {
            if self.organisation_series >= MAX_ORGANISATION_SERIES {
                return None;
            }
            self.organisation_series += 1;
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

/// Good and bad events of a request, by kind.
fn events_of(
    sample: &BurnSample<'_>,
    objective: &ObjectiveConfig,
) -> Vec<(ObjectiveKind, u64, u64)> {
    let mut events = Vec::new();
    if let Some(good) = is_answered(sample.code) {
        events.push((ObjectiveKind::Availability, u64::from(good), u64::from(!good)));
    }
    if let (Some(taken), Some(limit)) = (sample.first_token, objective.first_token_ms) {
        let late = taken > Duration::from_millis(u64::from(limit));
        events.push((ObjectiveKind::FirstToken, u64::from(!late), u64::from(late)));
    }
    if objective.between_tokens_ms.is_some() && sample.gaps_on_time + sample.gaps_late > 0 {
        let (kept, late) = (u64::from(sample.gaps_on_time), u64::from(sample.gaps_late));
        events.push((ObjectiveKind::BetweenTokens, kept, late));
    }
    events
}

/// Whether a request was answered as it should be; none if that is the caller's own affair.
fn is_answered(code: ResultCode) -> Option<bool> {
    match (code, code.class()) {
        (ResultCode::OverLimit | ResultCode::Cancelled, _) | (_, OutcomeClass::Final) => None,
        (_, class) => Some(class == OutcomeClass::Done),
    }
}
