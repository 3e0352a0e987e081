//! The decision where a request may be sent: for each target whether it may get the request now, and if not,
//! why, and until when.
//!
//! Each rule is a file of its own. All attempts ask for the same verdict: first ones, retries, resumed streams
//! and moves from silent targets.

mod allowed_regions;
mod cold;
mod cold_share;
mod evacuation;
mod learned_capacity;
mod model_version;
mod target_state;

pub(in crate::direct) use allowed_regions::AllowedRegions;
pub use cold::ColdReason;
pub(in crate::direct) use cold::ColdTargets;
pub(in crate::direct) use evacuation::EvacuatedSites;
pub(in crate::direct) use learned_capacity::{LearnedPlacement, OTHER_ENTRY_RATIO};

use super::slots::{EntryRegions, NoticeTable, Reservation, TargetLoad};
use super::{DeclaredVersions, RegisteredTarget, SlotRequest, WaitTicket};
use crate::prelude::*;
use strum::VariantArray;

/// Why a request may not be sent to a target now; the strongest reason comes first.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::Display,
    strum::IntoStaticStr,
    strum::VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum PlacementObstacle {
    /// The target is no longer registered.
    Unregistered,
    /// It is shutting down.
    Draining,
    /// Its region is not allowed for the route or the organisation.
    Region,
    /// Its site is evacuated.
    Evacuated,
    /// It has said that it leaves.
    Leaving,
    /// It has not loaded a version of the model that may be used.
    Version,
    /// It reports that it accepts no requests, as while it loads a version.
    NotAccepting,
    /// It has asked for a pause.
    Paused,
    /// It has named a limit of its request rate, of which this entry's share is used up.
    Limited,
    /// It has just started, and this entry's share of what it bears is used up.
    Cold,
    /// It failed, or was full, a short time ago.
    CoolingDown,
    /// A request has waited for its first byte for too long.
    Stuck,
    /// It fails far more requests than others.
    Failing,
    /// It has been tried.
    Tried,
    /// This entry has no free slot there.
    NoSlot,
    /// It is reserved for a large prompt that waits.
    Reserved,
    /// It has too much unread prompt of this entry.
    Prefill,
    /// The request does not fit into its memory.
    Memory,
    /// The request would not begin before the loaded version is retired.
    Retiring,
}

impl PlacementObstacle {
    /// Returns whether the obstacle is a time or rate that the target requires between requests.
    fn is_timed(self) -> bool {
        use PlacementObstacle::{Cold, Limited, Paused};
        matches!(self, Paused | Limited | Cold)
    }
}

/// Whether a request may be sent to a target now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementVerdict {
    /// It may.
    Allowed {
        /// Cost of the target; the request is sent to the one with the lowest.
        cost: u64,
    },
    /// It may not.
    Blocked {
        /// The strongest reason.
        obstacle: PlacementObstacle,
        /// When the obstacle ends, if known.
        until: Option<MonoTime>,
    },
}

/// The verdict on one target of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetVerdict {
    /// The target.
    pub target: Arc<RegisteredTarget>,
    /// The verdict.
    pub verdict: PlacementVerdict,
}

/// What the rules know besides the load of the targets and what these have said.
#[derive(Debug, Clone, Default)]
pub(in crate::direct) struct PlacementRules {
    pub allowed_regions: AllowedRegions,
    pub evacuated: EvacuatedSites,
    pub cold: ColdTargets,
}

impl PlacementRules {
    /// Returns whether targets of `site` may serve `request`, now or later.
    pub fn allows_site(
        &self,
        entries: &EntryRegions,
        request: &SlotRequest,
        site: &SiteName,
    ) -> bool {
        !self.evacuated.contains(site) && self.allows_region(entries, request, site)
    }

    /// Returns whether `request` may be served in the region of `site`.
    fn allows_region(
        &self,
        entries: &EntryRegions,
        request: &SlotRequest,
        site: &SiteName,
    ) -> bool {
        // Most deployments restrict nothing, and need no lookup of the region.
        let regions = &self.allowed_regions;
        regions.is_empty() || regions.allows(request, entries.region_of(site))
    }

    /// Returns whether every request may be served at every site.
    pub fn allow_all_sites(&self) -> bool {
        self.evacuated.is_empty() && self.allowed_regions.is_empty()
    }
}

/// One request, with what its verdicts depend on.
pub(in crate::direct) struct PlacementCheck<'a> {
    pub now: MonoTime,
    pub request: &'a SlotRequest,
    /// Ticket of the request; 0 if it does not wait.
    pub ticket: WaitTicket,
    /// The target reserved for a large prompt of the service, if there is one.
    pub reservation: Option<&'a Reservation>,
    /// Declared versions of the request's model.
    pub versions: Option<&'a DeclaredVersions>,
    /// Oldest version that may be used; `None` if any may.
    pub required: Option<u64>,
    /// Maximum unread prompt tokens of this entry at a target, if the entries take equal parts.
    pub max_prefill_tokens: u32,
    pub entries: &'a EntryRegions,
    pub notices: &'a NoticeTable,
    pub rules: &'a PlacementRules,
    /// The learned values of the targets; `None` if limits are not learned.
    pub learned: Option<LearnedPlacement<'a>>,
}

impl PlacementCheck<'_> {
    /// Returns the verdict on a target of the request's service.
    pub fn verdict(&self, load: &TargetLoad) -> PlacementVerdict {
        match self.find_obstacle(load, PlacementObstacle::Retiring, |_, _| true) {
            Some((obstacle, until)) => PlacementVerdict::Blocked { obstacle, until },
            None => PlacementVerdict::Allowed { cost: self.cost(load) },
        }
    }

    fn cost(&self, load: &TargetLoad) -> u64 {
        match &self.learned {
            Some(learned) => learned.cost(self, load),
            None => load.cost(self.now, self.entries),
        }
    }

    /// Returns the cost of the target if the request may be sent there now. Under overload most targets have no
    /// room. Their verdicts would cost more than the rest of the choice, so their load is checked first.
    pub fn allowed_cost(&self, load: &TargetLoad) -> Option<u64> {
        if !load.has_room(self.now, self.entries) {
            return None;
        }
        match self.verdict(load) {
            PlacementVerdict::Allowed { cost } => Some(cost),
            PlacementVerdict::Blocked { .. } => None,
        }
    }

    /// Returns the strongest obstacle, of those that are at least as strong as `weakest`, for which `is_relevant`
    /// returns true, with its end if known.
    pub fn find_obstacle(
        &self,
        load: &TargetLoad,
        weakest: PlacementObstacle,
        is_relevant: impl Fn(PlacementObstacle, Option<MonoTime>) -> bool,
    ) -> Option<(PlacementObstacle, Option<MonoTime>)> {
        let obstacles = PlacementObstacle::VARIANTS.iter();
        obstacles.take_while(|obstacle| **obstacle <= weakest).find_map(|obstacle| {
            let until = self.check(*obstacle, load)?;
            is_relevant(*obstacle, until).then_some((*obstacle, until))
        })
    }

    /// Returns whether the request belongs to the target's service and nothing lasting keeps it from being sent
    /// there.
    pub fn is_candidate(&self, load: &TargetLoad) -> bool {
        load.record.service == self.request.service
            && self.find_obstacle(load, PlacementObstacle::Version, |_, _| true).is_none()
    }

    /// Returns whether the request can expect to get a slot at the target until `until`. A request that can
    /// still meet its latency objective expects one only where requests are accepted now.
    pub fn is_usable_until(&self, load: &TargetLoad, until: MonoTime) -> bool {
        let remains = |obstacle: PlacementObstacle, end: Option<MonoTime>| match obstacle {
            PlacementObstacle::NotAccepting => !self.request.wait.late,
            obstacle if obstacle.is_timed() => !ends_until(end, until),
            _ => true,
        };
        load.record.service == self.request.service
            && self.find_obstacle(load, PlacementObstacle::Cold, remains).is_none()
    }

    /// Returns whether only a pause or a limit that ends until `until` keeps the request from getting a free
    /// slot of the target.
    pub fn has_free_slot_until(&self, load: &TargetLoad, until: MonoTime) -> bool {
        let remains = |obstacle: PlacementObstacle, end: Option<MonoTime>| {
            !(obstacle.is_timed() && ends_until(end, until))
        };
        load.record.service == self.request.service
            && self.find_obstacle(load, PlacementObstacle::NoSlot, remains).is_none()
    }

    /// Returns how many requests the limits of the target allow until `until`; `None` if it has none.
    pub fn allowed_until(&self, load: &TargetLoad, until: MonoTime) -> Option<u32> {
        let limited = self.notices.allowed_until(until, &load.record, load.limit_share);
        let cold = self.rules.cold.allowed_until(self.now, until, &load.record);
        limited.into_iter().chain(cold).min()
    }

    /// Returns when the target's pauses and limits allow a request; this time may have passed.
    pub fn allowed_from(&self, load: &TargetLoad) -> MonoTime {
        let timed = PlacementObstacle::VARIANTS.iter().filter(|obstacle| obstacle.is_timed());
        timed.filter_map(|obstacle| self.check(*obstacle, load)?).max().unwrap_or(self.now)
    }

    /// Returns the maximum unread prompt tokens of this entry at the target.
    fn prefill_limit(&self, load: &TargetLoad) -> u32 {
        load.prefill_limit(self.max_prefill_tokens, self.entries)
    }

    /// Returns by when the target must have begun to run the request.
    pub fn begin_by(&self, load: &TargetLoad) -> Option<MonoTime> {
        model_version::begin_by(self.request, self.versions, load)
    }

    /// Returns whether `obstacle` exists; if so, the inner value is when it ends, if known.
    fn check(&self, obstacle: PlacementObstacle, load: &TargetLoad) -> Option<Option<MonoTime>> {
        // The end of an obstacle of the first kind is not known.
        let unless = |fits: bool| (!fits).then_some(None);
        let from = |at: MonoTime| (at > self.now).then_some(Some(at));
        let Self { now, request, notices, rules, .. } = self;
        let record = &load.record;
        match obstacle {
            PlacementObstacle::Unregistered => unless(load.registered),
            PlacementObstacle::Draining => unless(target_state::is_ready(record)),
            PlacementObstacle::Region => {
                unless(rules.allows_region(self.entries, request, &record.site))
            }
            PlacementObstacle::Evacuated => unless(!rules.evacuated.contains(&record.site)),
            PlacementObstacle::Leaving => unless(!notices.is_leaving(record)),
            PlacementObstacle::Version => {
                unless(model_version::is_usable(request, self.required, record))
            }
            PlacementObstacle::NotAccepting => unless(load.is_accepting(*now)),
            PlacementObstacle::Paused => from(notices.paused_until(record)),
            PlacementObstacle::Limited => from(notices.limited_until(record, load.limit_share)),
            PlacementObstacle::Cold => rules.cold.blocked_until(*now, record).map(Some),
            PlacementObstacle::CoolingDown => from(load.cooldown_until().unwrap_or_default()),
            PlacementObstacle::Stuck => unless(!load.is_stuck(*now)),
            PlacementObstacle::Failing => {
                let learned = self.learned.as_ref();
                let is_failing = learned.is_some_and(|learned| learned.is_failing(self, load));
                unless(!is_failing)
            }
            PlacementObstacle::Tried => unless(!request.tried.contains(&record.id)),
            PlacementObstacle::NoSlot => unless(load.available_slots(*now, self.entries) > 0),
            PlacementObstacle::Reserved => {
                let held = self.reservation?;
                held.excludes(*now, &record.id, self.ticket).then_some(Some(held.until))
            }
            PlacementObstacle::Prefill => {
                let (tokens, max_tokens) = (request.prompt_tokens, self.prefill_limit(load));
                unless(match &self.learned {
                    Some(learned) => learned.reads_in_time(self, load),
                    None => load.has_prefill_capacity(tokens, max_tokens),
                })
            }
            PlacementObstacle::Memory => {
                let learned = self.learned.as_ref();
                unless(learned.is_none_or(|learned| learned.fits_memory(self, load)))
            }
            PlacementObstacle::Retiring => {
                let begin_by = self.begin_by(load);
                unless(begin_by.is_none_or(|begin_by| load.will_begin_by(*now, begin_by)))
            }
        }
    }
}

fn ends_until(end: Option<MonoTime>, until: MonoTime) -> bool {
    end.is_some_and(|end| end <= until)
}
