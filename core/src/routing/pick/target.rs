//! The state and score of one target, as an entry sees it.

use super::PickRequest;
use super::health::TargetHealth;
use crate::frame::TargetState;
use crate::prelude::*;

/// Staleness at which a report's load counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Load assumed for a target whose report is stale, as a multiple of the group's mean load.
const STALE_LOAD_RATIO: f64 = 1.5;
/// Time over which the traffic share of a new target ramps up.
const SLOW_START_PERIOD: Duration = Duration::from_secs(10);
/// Initial traffic share of a new target, as a fraction.
const MIN_SLOW_START_FACTOR: f64 = 0.1;
/// Weight of the newest sample in the target's moving average of latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;
/// Age of the last sample beyond which the latency is ignored.
const LATENCY_MAX_AGE: Duration = Duration::from_secs(15);
/// Ratio to the group's latency below which a target does not count as slow.
const MIN_SLOWNESS: f64 = 1.5;
/// Upper bound of that ratio.
const MAX_SLOWNESS: f64 = 8.0;
/// Time for which the record of a target without a link is kept.
const UNLINKED_RETENTION: Duration = Duration::from_secs(600);

/// The state of one target, as an entry sees it.
#[derive(Debug)]
pub struct TargetRecord {
    /// The host of the target.
    pub host: HostName,
    /// The host's site.
    pub site: SiteName,
    /// The target's service.
    pub service: ServiceName,
    is_linked: bool,
    state: Option<TargetState>,
    /// Time of the last report, or of the loss of the link.
    updated_at: MonoTime,
    own_in_flight: u32,
    /// Requests of other entries on the target, by the last report.
    other_load: u32,
    health: TargetHealth,
    /// Moving average of the latency of successful attempts.
    latency_seconds: Option<f64>,
    latency_at: MonoTime,
}

impl TargetRecord {
    /// Creates the record of a target without any report.
    pub fn new(host: HostName, site: SiteName, service: ServiceName) -> Self {
        Self {
            host,
            site,
            service,
            is_linked: false,
            state: None,
            updated_at: MonoTime::ZERO,
            own_in_flight: 0,
            other_load: 0,
            health: TargetHealth::default(),
            latency_seconds: None,
            latency_at: MonoTime::ZERO,
        }
    }

    /// Records a state report.
    pub fn on_state(&mut self, now: MonoTime, site: &SiteName, state: &TargetState) {
        self.site = site.clone();
        self.other_load = (state.running + state.waiting).saturating_sub(self.own_in_flight);
        self.state = Some(state.clone());
        self.updated_at = now;
        self.is_linked = true;
    }

    /// Records the loss of the link.
    pub fn on_link_lost(&mut self, now: MonoTime) {
        self.is_linked = false;
        self.updated_at = now;
    }

    /// Records the submission of an attempt.
    pub fn on_attempt_start(&mut self) {
        self.own_in_flight += 1;
    }

    /// Records the end of an attempt.
    pub fn on_attempt_end(&mut self, now: MonoTime, code: ResultCode, latency: Duration) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.health.on_attempt_end(now, code);
        if code == ResultCode::Ok {
            self.record_latency(now, latency);
        }
    }

    /// Requests on the target: own in-flight and last reported ones, regardless of staleness.
    pub fn raw_load(&self) -> i64 {
        i64::from(self.own_in_flight) + i64::from(self.other_load)
    }

    /// Whether the target accepts new work.
    pub fn is_open(&self) -> bool {
        self.is_linked && self.state.as_ref().is_some_and(|state| state.accepting && !state.leaving)
    }

    /// The digest that the target serves.
    pub fn digest(&self) -> Option<VersionDigest> {
        self.state.as_ref().and_then(|state| state.serving)
    }

    /// Whether the record can be evicted.
    pub fn is_evictable(&self, now: MonoTime) -> bool {
        !self.is_linked
            && self.own_in_flight == 0
            && now.since(self.updated_at) >= UNLINKED_RETENTION
    }

    fn record_latency(&mut self, now: MonoTime, latency: Duration) {
        let sample = latency.as_secs_f64();
        let old = self.latency_seconds.unwrap_or(sample);
        self.latency_seconds = Some(old + LATENCY_EWMA_WEIGHT * (sample - old));
        self.latency_at = now;
    }

    /// Ratio of the target's latency to the group's, capped; 1 if it is below [`MIN_SLOWNESS`] or
    /// the last sample is too old.
    fn slowness(&self, now: MonoTime, baseline: GroupBaseline) -> f64 {
        let (Some(own), Some(baseline)) = (self.latency_seconds, baseline.latency_seconds) else {
            return 1.0;
        };
        if baseline <= 0.0 || now.since(self.latency_at) > LATENCY_MAX_AGE {
            return 1.0;
        }
        let ratio = own / baseline;
        if ratio < MIN_SLOWNESS { 1.0 } else { ratio.min(MAX_SLOWNESS) }
    }

    /// Expected load in requests. As the report becomes stale, its part decays towards an assumed
    /// load above the group's mean, so that a stale report of little load attracts no traffic.
    fn expected_load(&self, now: MonoTime, baseline: GroupBaseline) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        let freshness = (-age / REPORT_HALF_LIFE.as_secs_f64()).exp2();
        let stale_load = (baseline.mean_load * STALE_LOAD_RATIO).max(f64::from(self.other_load));
        f64::from(self.own_in_flight)
            + freshness * f64::from(self.other_load)
            + (1.0 - freshness) * stale_load
    }

    /// Fraction of its full traffic share that the target gets while it ramps up.
    fn slow_start_factor(&self, now: MonoTime) -> f64 {
        let reported = self.state.as_ref().map_or(0, |state| state.serving_for_ms);
        let serving = Duration::from_millis(reported) + now.since(self.updated_at);
        (serving.as_secs_f64() / SLOW_START_PERIOD.as_secs_f64()).clamp(MIN_SLOW_START_FACTOR, 1.0)
    }

    /// Cost of sending one more request to the target, in requests; lower is better.
    fn score(&self, now: MonoTime, baseline: GroupBaseline) -> f64 {
        let load = self.expected_load(now, baseline) + 1.0;
        load * self.slowness(now, baseline) * self.health.penalty(now) / self.slow_start_factor(now)
    }
}

/// Averages over the targets of a group, to which a single target is compared.
#[derive(Debug, Clone, Copy)]
pub struct GroupBaseline {
    /// Mean load in requests.
    pub mean_load: f64,
    /// Moving average of the latency of successful attempts; none before the first.
    pub latency_seconds: Option<f64>,
}

/// The targets, evaluated for one request.
pub struct TargetView<'a> {
    /// All targets of the picker.
    pub targets: &'a [TargetRecord],
    /// The time of the pick.
    pub now: MonoTime,
    /// The request to pick a target for.
    pub request: &'a PickRequest<'a>,
}

impl TargetView<'_> {
    /// Whether the request may go to the target at `index`, regardless of its health.
    pub fn is_allowed(&self, index: u32) -> bool {
        let target = &self.targets[index as usize];
        target.is_open()
            && (target.digest().is_some() || !self.request.needs_digest)
            && !self.request.avoid.contains(&target.host)
    }

    /// Whether the request may go to the target at `index` and its health admits an attempt.
    pub fn is_usable(&self, index: u32) -> bool {
        let target = &self.targets[index as usize];
        self.is_allowed(index) && target.health.is_usable(self.now, target.own_in_flight)
    }

    /// The score of the target at `index`, relative to the `baseline` of its group.
    pub fn score(&self, index: u32, baseline: GroupBaseline) -> f64 {
        self.targets[index as usize].score(self.now, baseline)
    }

    /// Whether requests wait at the agent of the target at `index`, by its last report.
    pub fn is_congested(&self, index: u32) -> bool {
        self.targets[index as usize].state.as_ref().is_some_and(|state| state.waiting > 0)
    }
}
