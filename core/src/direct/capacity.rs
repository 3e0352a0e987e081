//! The expected time until each target of a service answers, learned from the times of its answers and from
//! what its agent reports.
//!
//! Targets are chosen by this time. The learned limit of a target is a part of it: above the limit, the time
//! is expected to rise with the load. It does not bound the slots, which remain the registered ones.
//!
//! All values are those of one entry. They are a fixed number of fields for each target, are updated by
//! constant work for each event, and are forgotten within seconds.

mod limit;
mod model;
mod pauses;
mod speed;
mod target;

use super::{EngineSpec, RegisteredTarget};
use crate::prelude::*;
use crate::routing::hash::{combine_hashes, hash_text};
pub use model::{TargetWork, WorkModel};
pub use pauses::{PauseMeter, PauseSample};
use speed::ServiceSpeed;
use target::TargetCapacity;
pub use target::{EngineState, SentState, SpeedChange, SpeedSample};

/// Largest random part of the cost of a target, in thousandths of the time of a busy target. Entries that
/// have the same reports would otherwise all choose the same one of several equal targets.
const NOISE_COST: u64 = 60;
/// Part of the cost for the utilisation of a fully used target, in thousandths. It spreads requests over
/// targets that are expected to answer at the same time.
const UTILISATION_COST: f64 = 300.0;
/// Largest cost of the expected time, in thousandths of the time of a busy target.
const MAX_TIME_COST: f64 = 50_000.0;

/// What an operator sees of a target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetLimit {
    /// Id of the target.
    pub id: Arc<str>,
    /// Learned number of concurrent requests above which its times rise; more may be sent.
    pub limit: u32,
    /// Ratio of its times while it is not loaded to the expected ones; in ms for a service without published
    /// figures, whose expected time is 1 ms.
    pub floor: f64,
    /// Requests of all entries at it, as far as they are known.
    pub load: u32,
}

/// The learned limits and speeds of all targets.
#[derive(Debug, Clone)]
pub struct CapacityTable {
    targets: SortedTable<Arc<str>, TargetCapacity>,
    services: SortedTable<ServiceName, ServiceSpeed>,
    seed: u64,
    decisions: u64,
}

impl CapacityTable {
    /// Creates an empty table. Entries must have different seeds.
    pub fn new(seed: u64) -> Self {
        Self { targets: SortedTable::new(), services: SortedTable::new(), seed, decisions: 0 }
    }

    /// Sets the published figures of a service.
    pub fn set_engine(&mut self, service: &ServiceName, engine: Option<&EngineSpec>) {
        let speed = self.services.get_or_insert_with(service.clone(), ServiceSpeed::default);
        speed.set_model(engine.map_or(WorkModel::default(), WorkModel::of));
    }

    /// Adds `target` with the values of its service, or resets it if it has started again.
    pub fn set_target(&mut self, target: &RegisteredTarget) {
        let service =
            self.services.get_or_insert_with(target.service.clone(), ServiceSpeed::default);
        let known = self.targets.get(&target.id);
        if known.is_none_or(|known| !known.is_of(target)) {
            self.targets.insert(target.id.clone(), TargetCapacity::new(target, service));
        }
    }

    /// Removes the targets for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.targets.retain(|id, _| keep(id));
        for (name, service) in self.services.iter_mut() {
            let of_service = self.targets.values().filter(|target| target.service() == name);
            service.set_targets(of_service.count());
        }
    }

    /// Stores what an agent reports of its target, and returns whether the target has become slow or normal
    /// by it.
    pub fn set_engine_state(
        &mut self,
        now: MonoTime,
        id: &str,
        state: EngineState,
    ) -> Option<SpeedChange> {
        let target = self.targets.get_mut(id)?;
        target.set_engine_state(now, state);
        let service = self.services.get(target.service())?;
        target.take_change(now, service)
    }

    /// Returns the learned limit of target `id`, in requests; `None` if it is unknown.
    pub fn limit(&self, id: &str) -> Option<u32> {
        self.targets.get(id).map(TargetCapacity::limit)
    }

    /// Returns the limit and speed of target `id`, at which `load` requests are known.
    pub fn target_limit(&self, now: MonoTime, id: &Arc<str>, load: u32) -> Option<TargetLimit> {
        let (target, service) = self.find(id)?;
        let floor = target.floor(now, service);
        Some(TargetLimit { id: id.clone(), limit: target.limit(), floor, load })
    }

    /// Returns by which factor the target is slower than the published or usual speed of its service.
    pub fn slowness(&self, now: MonoTime, id: &str) -> f64 {
        let found = self.find(id);
        found.map_or(1.0, |(target, service)| target.relative_slowness(now, service))
    }

    /// Returns whether target `id` fails far more requests than the others of its service.
    pub fn is_failing(&self, now: MonoTime, id: &str) -> bool {
        self.find(id).is_some_and(|(target, service)| target.is_failing(now, service))
    }

    /// Returns whether a request with these tokens of prompt and answer fits into the memory of target `id`; true
    /// if its memory is not known. `entries` send to the target, and have the same report.
    pub fn fits_memory(&self, now: MonoTime, id: &str, tokens: (u32, u32), entries: u32) -> bool {
        self.find(id).is_none_or(|(target, service)| {
            target.fits_memory(now, service.model(), tokens, entries)
        })
    }

    /// Records that a request with these tokens of prompt and answer is sent to target `id`, which has `work`.
    /// Returns the state to which its time is compared later.
    pub fn record_sent(
        &mut self,
        now: MonoTime,
        id: &str,
        tokens: (u32, u32),
        work: TargetWork,
    ) -> SentState {
        let Some(target) = self.targets.get_mut(id) else {
            return SentState::default();
        };
        match self.services.get_mut(target.service()) {
            Some(service) => {
                service.count_sent(now);
                target.record_sent(now, service.model(), tokens, work)
            }
            None => SentState::default(),
        }
    }

    /// Records how quickly target `id` answered; `load` requests are at it now.
    pub fn record(
        &mut self,
        now: MonoTime,
        id: &str,
        sample: SpeedSample,
        load: u32,
    ) -> Option<SpeedChange> {
        let target = self.targets.get_mut(id)?;
        let service = self.services.get_mut(target.service())?;
        target.record(now, service, sample, load);
        target.take_change(now, service)
    }

    /// Returns the expected time until target `id`, which has `work`, begins to answer a request that is sent
    /// now.
    pub fn expected_start(
        &self,
        now: MonoTime,
        id: &str,
        prompt_tokens: u32,
        work: TargetWork,
    ) -> Option<Duration> {
        let (target, service) = self.find(id)?;
        let millis = target.expected_start_ms(now, service, prompt_tokens, work);
        Some(Duration::from_secs_f64(millis.clamp(0.0, 1e6) / 1000.0))
    }

    /// Returns the requests per second that this entry sends to each target of the service, on average.
    pub fn sent_rate(&self, now: MonoTime, service: &ServiceName) -> f64 {
        self.services.get(service).map_or(0.0, |speed| speed.sent_rate(now) / speed.targets())
    }

    /// Begins a choice between targets: the costs of one choice have the same random parts.
    pub fn begin_decision(&mut self) {
        self.decisions = self.decisions.wrapping_add(1);
    }

    /// Returns the cost of sending a request to target `id`, which has `work`, in thousandths of the time that
    /// a busy target of usual speed takes. Lower is better.
    /// `arrivals` is the number of requests that other entries are expected to send to a target until its next
    /// report.
    pub fn cost(
        &self,
        now: MonoTime,
        id: &str,
        prompt_tokens: u32,
        mut work: TargetWork,
        arrivals: f64,
    ) -> u64 {
        let Some((target, service)) = self.find(id) else {
            return 0;
        };
        let noise = combine_hashes(combine_hashes(self.seed, self.decisions), hash_text(id));
        let random_part = unit_interval(noise);
        work.requests += random_part * 2.0 * arrivals;
        work.other_requests += random_part * 2.0 * arrivals;
        let expected = target.expected_start_ms(now, service, prompt_tokens, work);
        let reference = service.reference_ms(prompt_tokens, target.slots());
        let time_cost = (expected / reference * 1000.0).min(MAX_TIME_COST);
        let utilisation = (work.requests / f64::from(target.limit())).min(2.0);
        (time_cost + utilisation * UTILISATION_COST) as u64 + noise % NOISE_COST
    }

    fn find(&self, id: &str) -> Option<(&TargetCapacity, &ServiceSpeed)> {
        let target = self.targets.get(id)?;
        Some((target, self.services.get(target.service())?))
    }
}

/// Maps a hash to a number from 0 up to 1.
fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
