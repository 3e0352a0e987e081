//! Decides whether a whole request is refused, by the crashes at which it was in flight.
//!
//! A whole request, unlike a part of a prompt, is shared by no other request. So neither its earlier
//! answers nor those to other requests speak for it; only an answer after the crashes does.

use super::record::CauseRecord;
use crate::prelude::*;

/// Crashes from which a request is refused.
pub(super) const REFUSED_CRASHES: usize = 3;
/// Time from the last crash until a refused request is let through once.
const TRIAL_DELAY: Duration = Duration::from_secs(8);
/// The same if all its crashes came at one moment, as in a power failure.
const SAME_MOMENT_TRIAL_DELAY: Duration = Duration::from_secs(3);
/// The same after more crashes, at [`MANY_MOMENTS`] or more.
const LAST_TRIAL_DELAY: Duration = Duration::from_secs(40);
/// Moments of crashes that a request is hardly in flight at by chance.
const MANY_MOMENTS: u32 = 3;
/// Crashes, at [`MANY_MOMENTS`] or more, from which a request is no longer let through while they are kept.
const FINAL_CRASHES: usize = 5;
/// Part of the delay by which the processes' trials are spread, so that a crash is known before the next.
const TRIAL_SPREAD: u32 = 2;

/// Returns whether the request with this record is refused, apart from trials.
pub(super) fn is_refused(record: &CauseRecord) -> bool {
    record.counting().len() >= REFUSED_CRASHES
}

/// Returns for how long the request with this record is refused; `None` if it is not. With a higher
/// `jitter` it is let through later, by up to [`TRIAL_SPREAD`] delays.
pub(super) fn refusal(now: MonoTime, record: &CauseRecord, jitter: u8) -> Option<Duration> {
    if !is_refused(record) {
        return None;
    }
    let tried_at =
        trial_delay(record).map(|delay| record.trial_time(delay, TRIAL_SPREAD * delay, jitter));
    let expires_at = record.expires_at();
    let until = tried_at.map_or(expires_at, |tried_at| tried_at.min(expires_at));
    (now < until).then(|| until.since(now))
}

/// Returns the time from the last crash until the request is let through once; `None` if it never is.
fn trial_delay(record: &CauseRecord) -> Option<Duration> {
    let crashes = record.counting();
    match record.moments(&crashes) {
        0 | 1 => Some(SAME_MOMENT_TRIAL_DELAY),
        MANY_MOMENTS.. if crashes.len() >= FINAL_CRASHES => None,
        MANY_MOMENTS.. if crashes.len() > REFUSED_CRASHES => Some(LAST_TRIAL_DELAY),
        _ => Some(TRIAL_DELAY),
    }
}
