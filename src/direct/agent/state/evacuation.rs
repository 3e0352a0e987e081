//! Evacuated sites: an agent does not act on them, and passes them on to entries.

use super::AgentState;
use crate::direct::evacuation::{self, EvacuationSource};
use crate::direct::follow::StoreEvent;
use buckthornwharf_core::direct::{EvacuatedPart, EvacuationReader, EvacuationState};

impl AgentState {
    /// Applies an event of the agent's own watch of the evacuated sites.
    pub fn on_evacuation_event(&self, reader: &mut EvacuationReader, event: &StoreEvent) {
        if let Some(value) = evacuation::read_event(reader, event) {
            self.change_evacuation(EvacuationSource::Store, |state| state.merge(&value));
        }
    }

    /// Applies the evacuated sites in a message of an entry.
    pub(super) fn on_evacuation_news(&self, part: EvacuatedPart) {
        self.change_evacuation(EvacuationSource::Link, |state| state.merge_part(part));
    }

    fn change_evacuation(
        &self,
        source: EvacuationSource,
        change: impl FnOnce(&mut EvacuationState) -> bool,
    ) {
        let before = self.news.borrow().evacuation.newest().clone();
        self.news.send_if_modified(|news| change(&mut news.evacuation));
        let news = self.news.borrow();
        let value = news.evacuation.newest();
        if value.sites() != before.sites() {
            evacuation::log_change(value, source);
            self.metrics.evacuated_sites.set(value.sites().len() as i64);
        }
    }
}
