//! Learned limits and expected times of the targets, while they are enabled. They order the targets, and do not
//! change their slots.

use super::load::TargetLoad;
use super::{SlotGrant, SlotRequest, SlotScheduler};
use crate::direct::capacity::{
    CapacityTable, EngineState, SentState, SpeedChange, SpeedSample, TargetLimit, TargetWork,
};
use crate::direct::placement::{LearnedPlacement, OTHER_ENTRY_RATIO};
use crate::prelude::*;

impl SlotScheduler {
    /// Enables learned limits. Entries must have different seeds.
    pub fn enable_learned_limits(&mut self, seed: u64) {
        let mut table = CapacityTable::new(seed);
        for load in self.targets.values() {
            table.set_target(&load.record);
        }
        self.capacity = Some(table);
    }

    /// Stores what the agent of target `id` reports besides its load.
    pub fn set_engine_state(
        &mut self,
        now: MonoTime,
        id: &str,
        state: EngineState,
    ) -> Option<SpeedChange> {
        self.capacity.as_mut()?.set_engine_state(now, id, state)
    }

    /// Records how quickly the target of `grant` answers, and returns whether it has become slow or normal by it.
    pub fn record_speed(
        &mut self,
        now: MonoTime,
        grant: &SlotGrant,
        sample: SpeedSample,
    ) -> Option<SpeedChange> {
        let table = self.capacity.as_mut()?;
        let load = self.targets.get(&grant.target.id)?;
        let work = load.work(now, &self.regions, 0.0);
        table.record(now, &grant.target.id, sample, work.requests.round() as u32)
    }

    /// Returns the learned limits of the registered targets; empty if they are not enabled.
    pub fn target_limits(&self, now: MonoTime) -> Vec<TargetLimit> {
        let Some(table) = &self.capacity else {
            return Vec::new();
        };
        let limit_of = |load: &TargetLoad| {
            let requests = load.work(now, &self.regions, 0.0).requests.round() as u32;
            table.target_limit(now, &load.record.id, requests)
        };
        self.registered_targets().filter_map(limit_of).collect()
    }

    /// Returns the expected time until target `id` begins to answer `request` if it were sent now; `None` if
    /// learned limits are not enabled or the target is unknown.
    pub fn expected_start(
        &self,
        now: MonoTime,
        id: &str,
        request: &SlotRequest,
    ) -> Option<Duration> {
        let load = self.targets.get(id)?;
        self.capacity.as_ref()?.expected_start(now, id, request.prompt_tokens, self.work(now, load))
    }

    /// Adds and removes learned values after a change of the targets.
    pub(super) fn update_learned_targets(&mut self) {
        let Some(table) = &mut self.capacity else {
            return;
        };
        for load in self.targets.values() {
            table.set_target(&load.record);
        }
        let targets = &self.targets;
        table.retain(|id| targets.contains_key(id));
    }

    /// Returns what the target has to do, with what the other entries are expected to have sent.
    fn work(&self, now: MonoTime, load: &TargetLoad) -> TargetWork {
        load.work(now, &self.regions, OTHER_ENTRY_RATIO)
    }

    /// Returns what the placement of requests takes into account; `None` if limits are not learned.
    pub(super) fn learned_placement(&self) -> Option<LearnedPlacement<'_>> {
        self.capacity.as_ref().map(LearnedPlacement::new)
    }

    /// Returns whether limits are learned.
    pub(super) fn learns_limits(&self) -> bool {
        self.capacity.is_some()
    }

    /// Begins a choice of a target.
    pub(super) fn begin_choice(&mut self) {
        if let Some(table) = &mut self.capacity {
            table.begin_decision();
        }
    }

    /// Records that `request` is sent to target `id`.
    pub(super) fn record_sent(
        &mut self,
        now: MonoTime,
        id: &str,
        request: &SlotRequest,
    ) -> SentState {
        let Some((table, load)) = self.capacity.as_mut().zip(self.targets.get(id)) else {
            return SentState::default();
        };
        let work = load.work(now, &self.regions, OTHER_ENTRY_RATIO);
        table.record_sent(now, id, (request.prompt_tokens, request.answer_tokens), work)
    }
}
