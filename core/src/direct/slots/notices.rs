//! What targets have said of themselves in answers to this entry.

use super::rate_limit::RateLimit;
use crate::direct::RegisteredTarget;
use crate::prelude::*;

/// Maximum targets of which notices are kept; the oldest one is dropped first.
const MAX_NOTICES: usize = 1_024;
/// Longest pause that a target may ask for.
pub const MAX_PAUSE: Duration = Duration::from_mins(10);

/// What one start of a target said. It stays valid when the target's registration lapses.
#[derive(Debug, Clone, Copy)]
struct TargetNotice {
    started_unix_ms: u64,
    noticed_at: MonoTime,
    is_leaving: bool,
    paused_until: MonoTime,
    limit: Option<RateLimit>,
}

/// The notices of all targets, by id.
#[derive(Debug, Clone, Default)]
pub(in crate::direct) struct NoticeTable {
    notices: SortedTable<Arc<str>, TargetNotice>,
}

impl NoticeTable {
    /// Records that the target leaves; returns whether that is new.
    pub fn record_leaving(&mut self, now: MonoTime, target: &RegisteredTarget) -> bool {
        let notice = self.notice_mut(now, target);
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// Records that the target wants no requests for `pause`, at most [`MAX_PAUSE`].
    pub fn record_pause(&mut self, now: MonoTime, target: &RegisteredTarget, pause: Duration) {
        let notice = self.notice_mut(now, target);
        notice.paused_until = notice.paused_until.max(now + pause.min(MAX_PAUSE));
    }

    /// Records the limit that the target names in requests per second, or that it names none. `share` is
    /// this entry's share of it. Returns whether the limit has changed.
    pub fn record_limit(
        &mut self,
        now: MonoTime,
        target: &RegisteredTarget,
        per_second: Option<f64>,
        share: f64,
    ) -> bool {
        if per_second.is_none() && self.limit(target).is_none() {
            return false;
        }
        let notice = self.notice_mut(now, target);
        match (&mut notice.limit, per_second) {
            (Some(limit), Some(per_second)) => limit.change(now, per_second, share),
            (limit, per_second) => {
                *limit = per_second.map(|per_second| RateLimit::new(now, per_second));
                true
            }
        }
    }

    /// Counts a request that is sent to the target.
    pub fn count_sent(&mut self, now: MonoTime, target: &RegisteredTarget, share: f64) {
        if let Some(limit) = self.limit_mut(target) {
            limit.count_sent(now, share);
        }
    }

    /// Takes back a request that was counted but not sent.
    pub fn uncount(&mut self, target: &RegisteredTarget) {
        if let Some(limit) = self.limit_mut(target) {
            limit.uncount();
        }
    }

    /// Returns whether the target has said that it leaves.
    pub fn is_leaving(&self, target: &RegisteredTarget) -> bool {
        self.notice(target).is_some_and(|notice| notice.is_leaving)
    }

    /// Returns the end of the target's last pause, which may have passed.
    pub fn paused_until(&self, target: &RegisteredTarget) -> MonoTime {
        self.notice(target).map_or(MonoTime::ZERO, |notice| notice.paused_until)
    }

    /// Returns when the target's limit allows a request; this time may have passed.
    pub fn limited_until(&self, target: &RegisteredTarget, share: f64) -> MonoTime {
        self.limit(target).and_then(|limit| limit.next_at(share)).unwrap_or_default()
    }

    /// Returns how many requests the limit of the target allows until `at`; `None` if it names none.
    pub fn allowed_until(
        &self,
        at: MonoTime,
        target: &RegisteredTarget,
        share: f64,
    ) -> Option<u32> {
        self.limit(target).map(|limit| limit.requests_until(at, share))
    }

    fn limit(&self, target: &RegisteredTarget) -> Option<&RateLimit> {
        self.notice(target)?.limit.as_ref()
    }

    fn limit_mut(&mut self, target: &RegisteredTarget) -> Option<&mut RateLimit> {
        let notice = self.notices.get_mut(&target.id)?;
        notice.limit.as_mut().filter(|_| notice.started_unix_ms == target.started_unix_ms)
    }

    fn notice(&self, target: &RegisteredTarget) -> Option<&TargetNotice> {
        let notice = self.notices.get(&target.id)?;
        (notice.started_unix_ms == target.started_unix_ms).then_some(notice)
    }

    fn notice_mut(&mut self, now: MonoTime, target: &RegisteredTarget) -> &mut TargetNotice {
        if self.notices.len() >= MAX_NOTICES && !self.notices.contains_key(&target.id) {
            let oldest = self.notices.iter().min_by_key(|(_, notice)| notice.noticed_at);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.map(|id| self.notices.remove(&id));
        }
        let new = TargetNotice {
            started_unix_ms: target.started_unix_ms,
            noticed_at: now,
            is_leaving: false,
            paused_until: MonoTime::ZERO,
            limit: None,
        };
        let notice = self.notices.get_or_insert_with(target.id.clone(), || new);
        if notice.started_unix_ms != target.started_unix_ms {
            *notice = new;
        }
        notice.noticed_at = now;
        notice
    }
}
