//! Tells a crash of the target from requests that failed alone.

use buckthornwharf_core::prelude::*;

/// Requests whose connections break within this time are taken to break together.
pub const CRASH_WINDOW: Duration = Duration::from_millis(50);

/// What is known of requests whose connections to the target broke.
#[derive(Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Nothing is to be decided now.
    Nothing,
    /// The target lives; these requests failed alone.
    Alive(Vec<RequestId>),
    /// The target crashed under these requests.
    Crashed(Vec<RequestId>),
    /// The target is to be asked whether it still listens, on behalf of this request; then
    /// [`CrashDetector::take_probed`] gives the requests that are concerned.
    Probe(RequestId),
}

/// Collects the requests whose connections broke until it is clear whether the target crashed.
#[derive(Debug, Default)]
pub struct CrashDetector {
    since: Option<MonoTime>,
    broken: Vec<RequestId>,
    awaiting_probe: Vec<RequestId>,
}

impl CrashDetector {
    /// Notes that the connection of a dispatched request broke.
    pub fn record_broken(&mut self, now: MonoTime, id: RequestId) {
        self.since.get_or_insert(now);
        self.broken.push(id);
    }

    /// Decides once the window is over. If only some of the `dispatched` requests broke, the target
    /// lives. An engine holds its connections for as long as it lives; a plain service may close
    /// them for reasons of its own, so it has to be asked.
    pub fn decide<'a>(
        &mut self,
        now: MonoTime,
        mut dispatched: impl Iterator<Item = &'a RequestId>,
        is_engine: bool,
    ) -> CrashVerdict {
        if self.since.is_none_or(|since| now.since(since) < CRASH_WINDOW) {
            return CrashVerdict::Nothing;
        }
        self.since = None;
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

    /// The requests that the target was asked for.
    pub fn take_probed(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.awaiting_probe)
    }
}
