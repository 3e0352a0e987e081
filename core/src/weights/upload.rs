//! Admission of uploads: how many chunks a host sends to others at the same time.

use crate::prelude::*;

/// Maximum concurrent uploads of a host that has sent little of a version.
pub const MAX_UPLOADS: u32 = 8;
/// Each step of live load halves the upload slots.
const LIVE_LOAD_STEP_PERCENT: u32 = 25;

/// Additional concurrent uploads for other regions, so that a busy region does not block them.
pub const EXTRA_CROSS_REGION_UPLOADS: u32 = 4;

/// Where an upload goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UploadClass {
    /// A host of this region.
    IntraRegion,
    /// A host of another region.
    CrossRegion,
}

/// Admits uploads of one version.
///
/// A host that has sent more than its share admits fewer concurrent uploads and only some of the
/// requests, so that the requesting hosts turn to others. It still admits some, because it may be the
/// only holder of a chunk.
#[derive(Debug, Clone, Default)]
pub struct UploadLimiter {
    active: u32,
    sent_bytes: u64,
    version_bytes: u64,
    live_load_percent: u8,
    requests: u64,
}

impl UploadLimiter {
    /// A limiter for a version of `version_bytes` bytes.
    pub fn new(version_bytes: u64) -> Self {
        Self { version_bytes, ..Self::default() }
    }

    /// Starts counting sent bytes from zero for another version of `version_bytes` bytes.
    pub fn reset(&mut self, version_bytes: u64) {
        self.sent_bytes = 0;
        self.version_bytes = version_bytes;
    }

    /// Sets the percentage of the host's capacity that live requests take.
    pub fn set_live_load(&mut self, percent: u8) {
        self.live_load_percent = percent.min(100);
    }

    /// Takes an upload slot; false if the upload is not admitted.
    pub fn start(&mut self, class: UploadClass) -> bool {
        if class == UploadClass::IntraRegion && !self.admits_next() {
            return false;
        }
        let slots = match class {
            UploadClass::IntraRegion => self.slots(),
            UploadClass::CrossRegion => self.slots() + EXTRA_CROSS_REGION_UPLOADS,
        };
        if self.active >= slots {
            return false;
        }
        self.active += 1;
        true
    }

    /// Releases an upload slot after `bytes` were sent.
    pub fn end(&mut self, bytes: u64) {
        self.active = self.active.saturating_sub(1);
        self.sent_bytes += bytes;
    }

    /// Bytes of the version sent so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Whether this request is admitted: the more a host has sent, the fewer.
    fn admits_next(&mut self) -> bool {
        let requests_per_upload = match self.sent_quarters() {
            0..=4 => 1,
            5 => 4,
            6 => 16,
            _ => 64,
        };
        self.requests += 1;
        self.requests.is_multiple_of(requests_per_upload)
    }

    /// Bytes sent, in quarters of the version's size.
    fn sent_quarters(&self) -> u64 {
        4 * self.sent_bytes / self.version_bytes.max(1)
    }

    fn slots(&self) -> u32 {
        let slots = match self.sent_quarters() {
            0..=3 => MAX_UPLOADS,
            4 => MAX_UPLOADS / 2,
            5 => MAX_UPLOADS / 4,
            _ => 1,
        };
        let busy_steps = u32::from(self.live_load_percent) / LIVE_LOAD_STEP_PERCENT;
        (slots >> busy_steps).max(1)
    }
}

/// Maximum concurrent uploads of an urgent version within the region.
const MAX_URGENT_UPLOADS: usize = 3;
/// Time after which the upload slot of a slow host may be given to another.
const SLOW_UPLOAD_TIME: Duration = Duration::from_millis(400);

/// Identifies an upload of [`UploadSlots`].
pub type UploadTicket = u64;

/// Admits uploads of an urgent version.
///
/// All hosts of a region then fetch from each other at the same time. If each admits few uploads, the
/// requests are distributed over all hosts, and no link is idle while another is congested. A host with
/// a narrowed link receives its chunks slowly and must not occupy the slots.
#[derive(Debug, Clone)]
pub struct UploadSlots {
    started: Vec<(UploadTicket, MonoTime)>,
    next_ticket: UploadTicket,
    slow_after: Duration,
}

impl Default for UploadSlots {
    fn default() -> Self {
        Self::new(SLOW_UPLOAD_TIME)
    }
}

impl UploadSlots {
    /// Slots that an upload occupies for at most `slow_after`.
    pub fn new(slow_after: Duration) -> Self {
        Self { started: Vec::new(), next_ticket: 0, slow_after }
    }

    /// Takes an upload slot; `None` if none is free.
    pub fn start(&mut self, now: MonoTime, class: UploadClass) -> Option<UploadTicket> {
        let slots = match class {
            UploadClass::IntraRegion => MAX_URGENT_UPLOADS,
            UploadClass::CrossRegion => MAX_URGENT_UPLOADS + EXTRA_CROSS_REGION_UPLOADS as usize,
        };
        let is_occupied = |(_, at): &&(UploadTicket, MonoTime)| now.since(*at) < self.slow_after;
        if self.started.iter().filter(is_occupied).count() >= slots {
            return None;
        }
        self.next_ticket += 1;
        self.started.push((self.next_ticket, now));
        Some(self.next_ticket)
    }

    /// Releases the slot of an upload.
    pub fn end(&mut self, ticket: UploadTicket) {
        self.started.retain(|(started, _)| *started != ticket);
    }
}
