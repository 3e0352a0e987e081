//! What would happen to a request if it arrived now, without a change of any state.

use super::queue::Waiter;
use super::{Admission, SlotRequest, SlotScheduler};
use crate::direct::CallerTime;
use crate::direct::placement::TargetVerdict;
use crate::prelude::*;

/// What would happen to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotPreview {
    /// The decision.
    pub admission: Admission,
    /// Number of requests that wait for targets of the service.
    pub waiting: usize,
    /// Number of those that would be served before the request, for the same targets.
    pub ahead: usize,
    /// Slots that this entry can expect to use for the request.
    pub usable_slots: u32,
    /// Expected wait for a slot if none is free; `None` if there is none to wait for.
    pub expected_wait: Option<Duration>,
    /// The targets of the service, in the order of their ids.
    pub targets: Vec<TargetPreview>,
}

/// What one target means for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetPreview {
    /// The verdict.
    pub verdict: TargetVerdict,
    /// Region of the target's site, if it is known.
    pub region: Option<RegionName>,
    /// The learned limit in requests, if limits are learned; it orders the targets, and does not bound their slots.
    pub learned_limit: Option<u32>,
    /// Requests of this entry at it.
    pub in_flight: u32,
}

impl SlotScheduler {
    /// Returns what would happen to `request` of `caller` if it arrived now. It is decided by the code that
    /// decides on requests, on a copy of the state.
    pub fn preview(&self, now: MonoTime, request: &SlotRequest, caller: CallerTime) -> SlotPreview {
        let mut copy = self.clone();
        let caller =
            CallerTime { returned: caller.returned || !request.tried.is_empty(), ..caller };
        let waiter = Waiter::new(now, 0, request.clone(), caller);
        let ahead = copy.ahead_of(&waiter);
        let usable_slots = copy.usable_slots(now, request);
        let expected_wait = copy.expected_wait(now, &waiter, ahead, usable_slots);
        let waiting = copy.queue_mut(&request.service).len();
        SlotPreview {
            admission: copy.request_from(now, request.clone(), caller),
            waiting,
            ahead: ahead.requests,
            usable_slots,
            expected_wait: (usable_slots > 0).then_some(expected_wait),
            targets: self.preview_targets(now, request),
        }
    }

    fn preview_targets(&self, now: MonoTime, request: &SlotRequest) -> Vec<TargetPreview> {
        let limits = self.target_limits(now);
        let preview = |verdict: TargetVerdict| {
            let load = self.targets.get(&verdict.target.id)?;
            let learned = limits.iter().find(|limit| limit.id == verdict.target.id);
            Some(TargetPreview {
                region: self.regions.region_of(&verdict.target.site).cloned(),
                learned_limit: learned.map(|limit| limit.limit),
                in_flight: load.in_flight,
                verdict,
            })
        };
        self.verdicts(now, request).into_iter().filter_map(preview).collect()
    }
}
