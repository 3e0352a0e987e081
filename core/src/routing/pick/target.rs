//! What an entry knows about one target.

use super::PickRequest;
use super::health::TargetHealth;
use crate::frame::TargetState;
use crate::prelude::*;

/// Time after which a report counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time in which a fresh target's share grows to its full size.
const SLOW_START: Duration = Duration::from_secs(10);
/// Smallest share of a fresh target.
const LEAST_START_SHARE: f64 = 0.1;
/// Time that a target without a link is remembered.
const MEMORY_WITHOUT_LINK: Duration = Duration::from_secs(600);

/// What an entry knows about one target.
#[derive(Debug)]
pub struct TargetRecord {
    /// The host of the target.
    pub host: HostName,
    /// The host's site.
    pub site: SiteName,
    /// The target's service.
    pub service: ServiceName,
    linked: bool,
    state: Option<TargetState>,
    /// When the last report came, or when the link was lost.
    heard_at: MonoTime,
    own_in_flight: u32,
    /// Load that others put on the target, by the last report.
    others: u32,
    health: TargetHealth,
}

impl TargetRecord {
    /// A target of which nothing is known yet.
    pub fn new(host: HostName, site: SiteName, service: ServiceName) -> Self {
        Self {
            host,
            site,
            service,
            linked: false,
            state: None,
            heard_at: MonoTime::ZERO,
            own_in_flight: 0,
            others: 0,
            health: TargetHealth::default(),
        }
    }

    /// Takes in a report.
    pub fn on_state(&mut self, now: MonoTime, site: &SiteName, state: &TargetState) {
        self.site = site.clone();
        self.others = (state.running + state.waiting).saturating_sub(self.own_in_flight);
        self.state = Some(state.clone());
        self.heard_at = now;
        self.linked = true;
    }

    /// The link was lost.
    pub fn on_link_lost(&mut self, now: MonoTime) {
        self.linked = false;
        self.heard_at = now;
    }

    /// An attempt was submitted.
    pub fn on_sent(&mut self) {
        self.own_in_flight += 1;
    }

    /// An attempt ended.
    pub fn on_end(&mut self, now: MonoTime, code: ResultCode, _latency: Duration) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.health.on_end(now, code);
    }

    /// Requests on the target as last reported and counted, whatever the report's age.
    pub fn counted_load(&self) -> i64 {
        i64::from(self.own_in_flight) + i64::from(self.others)
    }

    /// Whether the target takes new work.
    pub fn is_open(&self) -> bool {
        self.linked && self.state.as_ref().is_some_and(|state| state.accepting && !state.leaving)
    }

    /// The digest that the target serves.
    pub fn digest(&self) -> Option<VersionDigest> {
        self.state.as_ref().and_then(|state| state.serving)
    }

    /// Whether the record can be dropped.
    pub fn is_forgettable(&self, now: MonoTime) -> bool {
        !self.linked && self.own_in_flight == 0 && now.since(self.heard_at) >= MEMORY_WITHOUT_LINK
    }

    /// Expected load; the report's part fades towards `mean`, the usual load, as it grows old.
    fn load(&self, now: MonoTime, mean: f64) -> f64 {
        let age = now.since(self.heard_at).as_secs_f64();
        let trust = (-age / REPORT_HALF_LIFE.as_secs_f64()).exp2();
        let unknown = mean.max(f64::from(self.others));
        f64::from(self.own_in_flight) + trust * f64::from(self.others) + (1.0 - trust) * unknown
    }

    fn start_share(&self, now: MonoTime) -> f64 {
        let reported = self.state.as_ref().map_or(0, |state| state.serving_for_ms);
        let serving = Duration::from_millis(reported) + now.since(self.heard_at);
        (serving.as_secs_f64() / SLOW_START.as_secs_f64()).clamp(LEAST_START_SHARE, 1.0)
    }

    /// What a further request would meet; the lower, the better.
    fn score(&self, now: MonoTime, mean: f64) -> f64 {
        (self.load(now, mean) + 1.0) * self.health.penalty(now) / self.start_share(now)
    }
}

/// The targets as one request sees them.
pub struct TargetView<'a> {
    /// All targets by slot.
    pub targets: &'a [TargetRecord],
    /// The time of the pick.
    pub now: MonoTime,
    /// What has to be picked for.
    pub request: &'a PickRequest<'a>,
}

impl TargetView<'_> {
    /// Whether the request may go to the target in `slot` at all.
    pub fn is_allowed(&self, slot: u32) -> bool {
        let target = &self.targets[slot as usize];
        target.is_open()
            && (target.digest().is_some() || !self.request.needs_digest)
            && !self.request.avoid.contains(&target.host)
    }

    /// Whether the request may go to the target in `slot`, which recent outcomes do not bar.
    pub fn is_usable(&self, slot: u32) -> bool {
        let target = &self.targets[slot as usize];
        self.is_allowed(slot) && target.health.is_usable(self.now, target.own_in_flight)
    }

    /// The score of the target in `slot`, where targets have a load of `mean` on average.
    pub fn score(&self, slot: u32, mean: f64) -> f64 {
        self.targets[slot as usize].score(self.now, mean)
    }

    /// Whether requests wait at the agent of the target in `slot`.
    pub fn is_congested(&self, slot: u32) -> bool {
        self.targets[slot as usize].state.as_ref().is_some_and(|state| state.waiting > 0)
    }
}
