//! Evacuated sites: what the entry hears of them from the store and from agents.

use super::EntryState;
use crate::direct::evacuation::{self, EvacuationSource};
use crate::direct::follow::StoreEvent;
use buckthornwharf_core::direct::{EvacuatedPart, EvacuationState};
use buckthornwharf_core::prelude::*;

/// When what the entry knows of evacuated sites was confirmed last.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EvacuationAge {
    /// Whether the entry's watch of the store hears of changes at once.
    is_watched: bool,
    /// When a value that is not older was last received, or when the watch was lost.
    confirmed_at: MonoTime,
}

impl EntryState {
    /// Applies an event of the watch of the keys that the operator writes.
    pub(super) fn on_evacuation_event(&self, now: MonoTime, event: &StoreEvent) {
        let is_watched = match event {
            StoreEvent::Lost => false,
            // The items are read anew if the store was set back.
            StoreEvent::Recovered | StoreEvent::Snapshot(_) | StoreEvent::Changes { .. } => true,
        };
        self.evacuation_age.set(EvacuationAge { is_watched, confirmed_at: now });
        let value = evacuation::read_event(&mut self.evacuation_reader.borrow_mut(), event);
        if let Some(value) = value {
            self.change_evacuation(now, EvacuationSource::Store, |state| state.merge(&value));
        }
    }

    /// Applies the evacuated sites in a message of an agent.
    pub(super) fn on_evacuation_news(&self, now: MonoTime, part: EvacuatedPart) {
        let position = part.position;
        self.change_evacuation(now, EvacuationSource::Link, |state| state.merge_part(part));
        if position >= self.news.borrow().evacuation.newest().position() {
            let is_watched = self.evacuation_age.get().is_watched;
            self.evacuation_age.set(EvacuationAge { is_watched, confirmed_at: now });
        }
    }

    fn change_evacuation(
        &self,
        now: MonoTime,
        source: EvacuationSource,
        change: impl FnOnce(&mut EvacuationState) -> bool,
    ) {
        let before = self.news.borrow().evacuation.newest().clone();
        self.news.send_if_modified(|news| change(&mut news.evacuation));
        let value = self.news.borrow().evacuation.newest().clone();
        if value.sites() == before.sites() {
            return;
        }
        evacuation::log_change(&value, source);
        self.set_evacuated(now, value.sites());
        self.update_evacuation_metrics(now);
    }

    pub(super) fn update_evacuation_metrics(&self, now: MonoTime) {
        let news = self.news.borrow();
        let sites = news.evacuation.newest().sites();
        self.metrics.evacuated_sites.set(sites.len() as i64);
        let EvacuationAge { is_watched, confirmed_at } = self.evacuation_age.get();
        let age = if is_watched { Duration::ZERO } else { now.since(confirmed_at) };
        self.metrics.evacuation_age.set(age.as_millis() as i64);
        let requests = self.scheduler.borrow().in_flight_at(sites);
        self.metrics.evacuated_requests.set(i64::from(requests));
    }
}
