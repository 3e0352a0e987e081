//! How many chunks a host sends to others at once.

/// Uploads at once of a host that has sent little.
pub const MAX_UPLOADS: u32 = 8;
const LIVE_LOAD_STEP_PERCENT: u32 = 25;

/// Decides whether a host sends another chunk; one for each version that it holds.
///
/// A host that has sent more than its share takes fewer uploads at once, so that the asking hosts
/// go to others; it always takes one, for it may be the only holder.
#[derive(Debug, Clone, Default)]
pub struct UploadLimiter {
    active: u32,
    sent_bytes: u64,
    version_bytes: u64,
    live_percent: u8,
}

impl UploadLimiter {
    /// A limiter for a version of `version_bytes`.
    pub fn new(version_bytes: u64) -> Self {
        Self { version_bytes, ..Self::default() }
    }

    /// Sets how many percent of the host live requests take.
    pub fn set_live_load(&mut self, percent: u8) {
        self.live_percent = percent.min(100);
    }

    /// Takes a place for an upload; false if there is none.
    pub fn start(&mut self) -> bool {
        if self.active >= self.places() {
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

    fn places(&self) -> u32 {
        let quarters = 4 * self.sent_bytes / self.version_bytes.max(1);
        let by_share = match quarters {
            0..=3 => MAX_UPLOADS,
            4 => MAX_UPLOADS / 2,
            5 => MAX_UPLOADS / 4,
            _ => 1,
        };
        let busy_steps = u32::from(self.live_percent) / LIVE_LOAD_STEP_PERCENT;
        (by_share >> busy_steps).max(1)
    }
}
