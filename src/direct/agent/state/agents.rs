//! The other agents, which an agent reads from the store and fetches chunks from.

use super::{AgentState, AgentTable};
use crate::direct::presence::PresenceRecord;
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::StoreItem;

/// Longest time that a fetch waits for the list of the agents of all regions.
const ALL_AGENTS_TIMEOUT: Duration = Duration::from_millis(1500);

impl AgentState {
    /// Replaces the agents of all regions by those in `items`. Returns whether their set has changed.
    pub fn update_agents(&self, items: Vec<StoreItem>) -> bool {
        self.all_agents_known.send_replace(true);
        self.replace_agents(SortedTable::new(), items)
    }

    /// Replaces the agents of the own region by those in `items`. Returns whether their set has changed.
    pub fn update_region_agents(&self, items: Vec<StoreItem>) -> bool {
        let region = self.settings.region();
        let mut others = self.agents.borrow().clone();
        others.retain(|_, agent| agent.region != region);
        self.replace_agents(others, items)
    }

    /// Replaces the agents by `kept` and those in `items`. Returns whether their set has changed.
    fn replace_agents(&self, kept: AgentTable, items: Vec<StoreItem>) -> bool {
        let mut agents = kept;
        for item in items {
            if let Some(record) = PresenceRecord::read(&item.key, &item.value) {
                agents.insert(item.key, record);
            }
        }
        let changed = *self.agents.borrow() != agents;
        self.agents.replace(agents);
        if changed {
            self.agents_changed.notify_waiters();
        }
        changed
    }

    /// Waits until the agents of all regions have been read, at most for [`ALL_AGENTS_TIMEOUT`].
    pub async fn wait_all_agents(&self) {
        let mut known = self.all_agents_known.subscribe();
        if *known.borrow() {
            return;
        }
        self.refresh_agents.notify_one();
        // An error means that the fetch begins with the agents that are known.
        let _ = tokio::time::timeout(ALL_AGENTS_TIMEOUT, known.wait_for(|known| *known)).await;
    }

    /// Returns all registered agents and this one, sorted by host.
    pub fn agents(&self) -> Vec<PresenceRecord> {
        let mut agents: Vec<PresenceRecord> = self.agents.borrow().values().cloned().collect();
        if !agents.iter().any(|agent| agent.host == self.settings.host) {
            agents.push(PresenceRecord::of(&self.settings));
        }
        agents.sort_by(|a, b| a.host.cmp(&b.host));
        agents
    }
}
