//! Demand of an entry, which it tells agents on their links so that entries share targets by demand.

use super::news::NewsMessage;
use buckthornwharf_core::direct::demand::ClassDemand;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Query of links on which the agent asks for the entry's demand.
pub const DEMAND_QUERY: &str = "demand";
/// Time between two measurements of the demand.
pub const MEASURE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between messages while the demand hardly changes; well within the time after which an agent
/// no longer relies on it.
pub const REPEAT_INTERVAL: Duration = Duration::from_millis(600);
/// Changes of the demand by less than this part are not told at once.
const MIN_CHANGE_DIVISOR: u32 = 4;

/// The demand of an entry on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandMessage {
    /// Cost of the requests that arrived within the last second, by class.
    pub demand: ClassDemand,
}

/// A message of an entry to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(untagged)]
pub enum EntryMessage {
    /// News of declared versions.
    News(NewsMessage),
    /// The entry's demand.
    Demand(DemandMessage),
}

/// Returns whether the demand has changed so much that agents should hear of it at once.
pub fn differs(known: &ClassDemand, demand: &ClassDemand) -> bool {
    let differs =
        |(known, new): (&u32, &u32)| known.abs_diff(*new) > (*known).max(*new) / MIN_CHANGE_DIVISOR;
    known.iter().zip(demand).any(differs)
}
