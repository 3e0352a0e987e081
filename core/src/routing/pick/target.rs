//! What an entry knows about one target.

use super::PickRequest;
use super::health::TargetHealth;
use crate::frame::TargetState;
use crate::prelude::*;

/// Time after which a report counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Ratio to the usual load that an unknown load counts as.
const UNKNOWN_LOAD_RATIO: f64 = 1.5;
/// Time in which a fresh target's share grows to its full size.
const SLOW_START: Duration = Duration::from_secs(10);
/// Smallest share of a fresh target.
const LEAST_START_SHARE: f64 = 0.1;
/// Weight of the newest answer in the latency of a target.
const LATENCY_WEIGHT: f64 = 0.1;
/// Time after the last answer for which its latency counts.
const LATENCY_LIFETIME: Duration = Duration::from_secs(15);
/// Ratio to the usual latency from which a target counts as slow.
const NOTABLE_SLOWNESS: f64 = 1.5;
/// Largest ratio that counts.
const MAX_SLOWNESS: f64 = 8.0;
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
    /// Latency of recent answers, in seconds.
    latency: Option<f64>,
    latency_at: MonoTime,
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
            latency: None,
            latency_at: MonoTime::ZERO,
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
    pub fn on_end(&mut self, now: MonoTime, code: ResultCode, latency: Duration) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.health.on_end(now, code);
        if code == ResultCode::Ok {
            self.note_latency(now, latency);
        }
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

    fn note_latency(&mut self, now: MonoTime, latency: Duration) {
        let seen = latency.as_secs_f64();
        let old = self.latency.unwrap_or(seen);
        self.latency = Some(old + LATENCY_WEIGHT * (seen - old));
        self.latency_at = now;
    }

    /// How many times slower than usual the target answers; 1 if it is not notably slower, or if
    /// that is long ago.
    fn slowness(&self, now: MonoTime, usual: UsualTarget) -> f64 {
        let (Some(own), Some(usual)) = (self.latency, usual.latency) else { return 1.0 };
        if usual <= 0.0 || now.since(self.latency_at) > LATENCY_LIFETIME {
            return 1.0;
        }
        let ratio = own / usual;
        if ratio < NOTABLE_SLOWNESS { 1.0 } else { ratio.min(MAX_SLOWNESS) }
    }

    /// Expected load; the report's part fades towards a load above the usual one as it grows
    /// old.
    fn load(&self, now: MonoTime, usual: UsualTarget) -> f64 {
        let age = now.since(self.heard_at).as_secs_f64();
        let trust = (-age / REPORT_HALF_LIFE.as_secs_f64()).exp2();
        let unknown = (usual.load * UNKNOWN_LOAD_RATIO).max(f64::from(self.others));
        f64::from(self.own_in_flight) + trust * f64::from(self.others) + (1.0 - trust) * unknown
    }

    fn start_share(&self, now: MonoTime) -> f64 {
        let reported = self.state.as_ref().map_or(0, |state| state.serving_for_ms);
        let serving = Duration::from_millis(reported) + now.since(self.heard_at);
        (serving.as_secs_f64() / SLOW_START.as_secs_f64()).clamp(LEAST_START_SHARE, 1.0)
    }

    /// What a further request would meet; the lower, the better.
    fn score(&self, now: MonoTime, usual: UsualTarget) -> f64 {
        let load = self.load(now, usual) + 1.0;
        load * self.slowness(now, usual) * self.health.penalty(now) / self.start_share(now)
    }
}

/// What is usual among the targets of a group.
#[derive(Debug, Clone, Copy)]
pub struct UsualTarget {
    /// Mean load in requests.
    pub load: f64,
    /// Usual latency of answers, in seconds; none before the first.
    pub latency: Option<f64>,
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

    /// The score of the target in `slot`, beside what is `usual`.
    pub fn score(&self, slot: u32, usual: UsualTarget) -> f64 {
        self.targets[slot as usize].score(self.now, usual)
    }

    /// Whether requests wait at the agent of the target in `slot`.
    pub fn is_congested(&self, slot: u32) -> bool {
        self.targets[slot as usize].state.as_ref().is_some_and(|state| state.waiting > 0)
    }
}
