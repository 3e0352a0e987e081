//! How many chunks a host sends to others at once.

use crate::prelude::*;

/// Uploads at once of a host that has sent little.
pub const MAX_UPLOADS: u32 = 8;
const LIVE_LOAD_STEP_PERCENT: u32 = 25;

/// Further uploads at once to other regions, which a busy region must not hold up.
pub const EXTRA_CROSS_REGION_UPLOADS: u32 = 4;

/// Who asks for a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UploadClass {
    /// A host of the own region.
    IntraRegion,
    /// A gateway of another region.
    CrossRegion,
}

/// Decides whether a host sends another chunk; one for each version that it holds.
///
/// A host that has sent more than its share takes fewer uploads at once and only some of the
/// requests, so that the asking hosts go to others; it goes on to take some, for it may be the only
/// holder.
#[derive(Debug, Clone, Default)]
pub struct UploadLimiter {
    active: u32,
    sent_bytes: u64,
    version_bytes: u64,
    live_percent: u8,
    requests: u64,
}

impl UploadLimiter {
    /// A limiter for a version of `version_bytes`.
    pub fn new(version_bytes: u64) -> Self {
        Self { version_bytes, ..Self::default() }
    }

    /// Counts anew for another version of `version_bytes`.
    pub fn reset(&mut self, version_bytes: u64) {
        self.sent_bytes = 0;
        self.version_bytes = version_bytes;
    }

    /// Sets how many percent of the host live requests take.
    pub fn set_live_load(&mut self, percent: u8) {
        self.live_percent = percent.min(100);
    }

    /// Takes a place for an upload; false if there is none.
    pub fn start(&mut self, class: UploadClass) -> bool {
        if class == UploadClass::IntraRegion && !self.is_turn() {
            return false;
        }
        let places = match class {
            UploadClass::IntraRegion => self.places(),
            UploadClass::CrossRegion => self.places() + EXTRA_CROSS_REGION_UPLOADS,
        };
        if self.active >= places {
            return false;
        }
        self.active += 1;
        true
    }

    /// Gives the place back after `bytes` were sent.
    pub fn end(&mut self, bytes: u64) {
        self.active = self.active.saturating_sub(1);
        self.sent_bytes += bytes;
    }

    /// Bytes that were sent.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Whether this request is one of the few that a host takes that has sent much.
    fn is_turn(&mut self) -> bool {
        let requests_per_turn = match self.sent_quarters() {
            0..=4 => 1,
            5 => 4,
            6 => 16,
            _ => 64,
        };
        self.requests += 1;
        self.requests.is_multiple_of(requests_per_turn)
    }

    /// Quarters of a copy that were sent.
    fn sent_quarters(&self) -> u64 {
        4 * self.sent_bytes / self.version_bytes.max(1)
    }

    fn places(&self) -> u32 {
        let by_share = match self.sent_quarters() {
            0..=3 => MAX_UPLOADS,
            4 => MAX_UPLOADS / 2,
            5 => MAX_UPLOADS / 4,
            _ => 1,
        };
        let busy_steps = u32::from(self.live_percent) / LIVE_LOAD_STEP_PERCENT;
        (by_share >> busy_steps).max(1)
    }
}

/// Uploads at once of a version that takes seconds.
const SECONDS_UPLOADS: usize = 3;
/// Time after which an upload to a slow host leaves its place to another.
const SLOW_UPLOAD: Duration = Duration::from_millis(400);

/// Names an upload of [`UploadSlots`].
pub type UploadTicket = u64;

/// Decides whether a host sends another chunk of a version that takes seconds.
///
/// The load that this answers: all hosts of a region fetch from each other at once. Where each takes
/// few uploads, the asking hosts spread over all of them, and no link stands idle beside a crowded
/// one. A host with a narrowed link takes what it asked for slowly, and must not hold the places.
#[derive(Debug, Clone)]
pub struct UploadSlots {
    started: Vec<(UploadTicket, MonoTime)>,
    next_ticket: UploadTicket,
    slow_after: Duration,
}

impl Default for UploadSlots {
    fn default() -> Self {
        Self::new(SLOW_UPLOAD)
    }
}

impl UploadSlots {
    /// Places that an upload holds for `slow_after` at most.
    pub fn new(slow_after: Duration) -> Self {
        Self { started: Vec::new(), next_ticket: 0, slow_after }
    }

    /// Takes a place for an upload; none if there is none.
    pub fn start(&mut self, now: MonoTime, class: UploadClass) -> Option<UploadTicket> {
        let places = match class {
            UploadClass::IntraRegion => SECONDS_UPLOADS,
            UploadClass::CrossRegion => SECONDS_UPLOADS + EXTRA_CROSS_REGION_UPLOADS as usize,
        };
        let holds = |(_, at): &&(UploadTicket, MonoTime)| now.since(*at) < self.slow_after;
        if self.started.iter().filter(holds).count() >= places {
            return None;
        }
        self.next_ticket += 1;
        self.started.push((self.next_ticket, now));
        Some(self.next_ticket)
    }

    /// Gives a place back.
    pub fn end(&mut self, ticket: UploadTicket) {
        self.started.retain(|(started, _)| *started != ticket);
    }
}
