//! The evacuated sites in messages of bounded size.

use super::{EvacuatedSites, EvacuationState};
use crate::direct::StorePosition;
use crate::prelude::*;

/// Maximum size of the names in a part, each with [`NAME_OVERHEAD_BYTES`]. One part is repeated per second
/// on each link: 16 entries get at most 0.3 Mbit/s from an agent, of the 7.6 Mbit/s of its link.
pub const MAX_PART_BYTES: usize = 2048;
/// Bytes that the encoding adds to a name at most.
const NAME_OVERHEAD_BYTES: usize = 3;
/// Maximum number of parts of a value. An agent sends one part each 0.1 s, so all of them arrive within
/// 3.2 s of the 5 s that a process has.
pub const MAX_PARTS: usize = 32;
/// Time between parts while nothing changes.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Some of the evacuated sites as of a position of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuatedPart {
    /// Position at which the value was read.
    pub position: StorePosition,
    /// Number of the part, from 0.
    pub index: u32,
    /// Number of parts of the value.
    pub count: u32,
    /// The sites of the part.
    pub sites: Vec<SiteName>,
}

impl EvacuatedSites {
    /// Splits the value into parts of bounded size; at least one. `None` if there would be too many, or if a
    /// name exceeds the size of a part.
    pub fn parts(&self) -> Option<Vec<EvacuatedPart>> {
        let mut parts: Vec<Vec<SiteName>> = vec![Vec::new()];
        let mut part_bytes = 0;
        for site in self.sites() {
            let bytes = site.as_str().len() + NAME_OVERHEAD_BYTES;
            if bytes > MAX_PART_BYTES {
                return None;
            }
            if part_bytes + bytes > MAX_PART_BYTES {
                parts.push(Vec::new());
                part_bytes = 0;
            }
            part_bytes += bytes;
            parts.last_mut()?.push(site.clone());
        }
        if parts.len() > MAX_PARTS {
            return None;
        }
        let count = parts.len() as u32;
        let part =
            |(index, sites)| EvacuatedPart { position: self.position(), index, count, sites };
        Some((0..count).zip(parts).map(part).collect())
    }
}

/// Collects the parts of one value.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct PartCollector {
    position: StorePosition,
    /// The parts that have been received; empty if there is none.
    parts: Vec<Option<Vec<SiteName>>>,
}

impl PartCollector {
    /// Adds a part and returns its value if that is complete. A part of another value replaces those of
    /// an earlier one and is ignored if it is older.
    pub fn add(&mut self, part: EvacuatedPart) -> Option<EvacuatedSites> {
        let EvacuatedPart { position, index, count, sites } = part;
        let (index, count) = (index as usize, count as usize);
        if index >= count || count > MAX_PARTS {
            return None;
        }
        if count == 1 {
            return Some(EvacuatedSites::new(position, sites));
        }
        if self.parts.is_empty() || self.position < position {
            self.position = position;
            self.parts = vec![None; count];
        }
        if self.position != position || self.parts.len() != count {
            return None;
        }
        self.parts[index] = Some(sites);
        if self.parts.iter().any(Option::is_none) {
            return None;
        }
        let parts = std::mem::take(&mut self.parts);
        Some(EvacuatedSites::new(position, parts.into_iter().flatten().flatten()))
    }
}

/// Decides which part goes into the next message on a link: all of them when the value has changed or the
/// link is new, then one after the other each [`REPEAT_INTERVAL`] while any site is evacuated.
#[derive(Debug, Default)]
pub struct EvacuationRepeat {
    sent: Option<EvacuatedSites>,
    parts: Vec<EvacuatedPart>,
    next_part: usize,
    /// Parts of the value that have not been sent.
    unsent: usize,
    sent_at: MonoTime,
}

impl EvacuationRepeat {
    /// Returns the part for a message that is sent at `now`, if one is due.
    pub fn due_part(&mut self, now: MonoTime, state: &EvacuationState) -> Option<EvacuatedPart> {
        let value = state.passed_on()?;
        if self.sent.as_ref() != Some(value) {
            self.sent = Some(value.clone());
            self.parts = value.parts().unwrap_or_default();
            self.next_part = 0;
            self.unsent = self.parts.len();
        }
        let is_repeated = !value.sites().is_empty() && now.since(self.sent_at) >= REPEAT_INTERVAL;
        if self.unsent == 0 && !is_repeated {
            return None;
        }
        let part = self.parts.get(self.next_part)?.clone();
        self.next_part = (self.next_part + 1) % self.parts.len();
        self.unsent = self.unsent.saturating_sub(1);
        self.sent_at = now;
        Some(part)
    }

    /// Returns whether parts of the value have not been sent yet.
    pub fn has_unsent(&self) -> bool {
        self.unsent > 0
    }
}
