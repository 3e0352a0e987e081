//! Evacuated sites in events of the store, in messages on links, and in log lines.

use super::follow::StoreEvent;
use buckthornwharf_core::direct::{
    EvacuatedPart, EvacuatedSites, EvacuationReader, StoreEra, StorePosition,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::{StoreChange, registry};
use log::{info, warn};
use serde::{Deserialize, Serialize};

/// Maximum number of sites that a log line names.
const MAX_LOGGED_SITES: usize = 8;

/// Evacuated sites on a link: all of them, or a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedFields {
    era: u64,
    revision: u64,
    sites: Vec<SiteName>,
    /// Number of this part, from 0.
    #[serde(default, skip_serializing_if = "is_zero")]
    part: u32,
    /// Number of parts after the first one.
    #[serde(default, skip_serializing_if = "is_zero")]
    more_parts: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl From<EvacuatedPart> for EvacuatedFields {
    fn from(part: EvacuatedPart) -> Self {
        let EvacuatedPart { position, index, count, sites } = part;
        Self {
            era: position.era.number(),
            revision: position.revision,
            sites,
            part: index,
            more_parts: count.saturating_sub(1),
        }
    }
}

impl From<EvacuatedFields> for EvacuatedPart {
    fn from(fields: EvacuatedFields) -> Self {
        let EvacuatedFields { era, revision, sites, part, more_parts } = fields;
        let position = StorePosition { era: StoreEra::new(era), revision };
        Self { position, index: part, count: more_parts.saturating_add(1), sites }
    }
}

/// Applies an event of a watch that includes the evacuated sites to `reader`, and returns the value if the
/// event says what it is.
pub fn read_event(reader: &mut EvacuationReader, event: &StoreEvent) -> Option<EvacuatedSites> {
    match event {
        StoreEvent::Snapshot(range) => {
            let sites = range.items.iter().filter_map(|item| registry::evacuated_site(&item.key));
            Some(reader.replace(range.position, sites))
        }
        StoreEvent::Changes { changes, position, .. } => {
            let site_change = |change: &StoreChange| match change {
                StoreChange::Put(item) => Some((registry::evacuated_site(&item.key)?, true)),
                StoreChange::Removed { key, .. } => Some((registry::evacuated_site(key)?, false)),
            };
            reader.apply(*position, changes.iter().filter_map(site_change))
        }
        StoreEvent::Lost | StoreEvent::Recovered => None,
    }
}

/// How a process heard of evacuated sites.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum EvacuationSource {
    /// From its own watch of the store.
    Store,
    /// From another process, on a link.
    Link,
}

/// Logs that the evacuated sites have changed.
pub fn log_change(value: &EvacuatedSites, source: EvacuationSource) {
    let sites = value.sites();
    let named = sites.iter().take(MAX_LOGGED_SITES).map(SiteName::as_str);
    let StorePosition { era, revision } = value.position();
    info!(
        "event=evacuated_sites count={} sites={:?} source={source} era={} revision={revision}",
        sites.len(),
        named.collect::<Vec<&str>>(),
        era.number()
    );
    if value.parts().is_none() {
        // A process that the store turns away does not hear of the change.
        warn!("event=evacuated_sites_not_passed_on reason=too_large count={}", sites.len());
    }
}
