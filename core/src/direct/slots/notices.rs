//! What targets have said of themselves in answers to this entry.

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
}

/// The notices of all targets, by id.
#[derive(Debug, Default)]
pub(super) struct NoticeTable {
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

    /// Returns when the target accepts requests again; `None` if it never does before its next start.
    pub fn accepts_from(&self, target: &RegisteredTarget) -> Option<MonoTime> {
        match self.notices.get(&target.id) {
            Some(notice) if notice.started_unix_ms == target.started_unix_ms => {
                (!notice.is_leaving).then_some(notice.paused_until)
            }
            _ => Some(MonoTime::ZERO),
        }
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
        };
        let notice = self.notices.get_or_insert_with(target.id.clone(), || new);
        if notice.started_unix_ms != target.started_unix_ms {
            *notice = new;
        }
        notice.noticed_at = now;
        notice
    }
}
