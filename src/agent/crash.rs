//! Distinguishes a crash of the target from connections that broke individually.

use buckthornwharf_core::prelude::*;

/// Connections that break within this time are judged together.
pub const CRASH_WINDOW: Duration = Duration::from_millis(50);

/// The decision about requests whose connections to the target broke.
#[derive(Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// There is nothing to decide now.
    Nothing,
    /// The target is alive; only these requests failed.
    Alive(Vec<RequestId>),
    /// The target crashed while it ran these requests.
    Crashed(Vec<RequestId>),
    /// Probe whether the target still accepts connections, and report the result under this request
    /// id; [`CrashDetector::take_probed`] then returns the affected requests.
    Probe(RequestId),
}

/// Collects requests whose connections broke until it can decide whether the target crashed.
#[derive(Debug, Default)]
pub struct CrashDetector {
    first_broken_at: Option<MonoTime>,
    broken: Vec<RequestId>,
    awaiting_probe: Vec<RequestId>,
}

impl CrashDetector {
    /// Records that the connection of a dispatched request broke.
    pub fn record_broken(&mut self, now: MonoTime, id: RequestId) {
        self.first_broken_at.get_or_insert(now);
        self.broken.push(id);
    }

    /// Decides [`CRASH_WINDOW`] after the first connection broke. If only some of the `dispatched`
    /// requests broke, the target is alive. An engine keeps its connections open while it is alive,
    /// so if all broke, it crashed. A plain service may close them for other reasons, so it is
    /// probed.
    pub fn decide<'a>(
        &mut self,
        now: MonoTime,
        mut dispatched: impl Iterator<Item = &'a RequestId>,
        is_engine: bool,
    ) -> CrashVerdict {
        if self.first_broken_at.is_none_or(|broken_at| now.since(broken_at) < CRASH_WINDOW) {
            return CrashVerdict::Nothing;
        }
        self.first_broken_at = None;
        let broken = std::mem::take(&mut self.broken);
        let all_broke = dispatched.all(|id| broken.contains(id));
        let Some(&first) = broken.first() else { return CrashVerdict::Nothing };
        match (all_broke, is_engine) {
            (false, _) => CrashVerdict::Alive(broken),
            (true, true) => CrashVerdict::Crashed(broken),
            (true, false) => {
                self.awaiting_probe.extend(broken);
                CrashVerdict::Probe(first)
            }
        }
    }

    /// Removes and returns the requests that wait for the result of the probe.
    pub fn take_probed(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.awaiting_probe)
    }
}
