//! Target selection: load balancing of one entry's requests.
//!
//! An entry feeds the [`TargetPicker`] with the state reports of its linked agents, which are
//! stale by the time they arrive, and with the start and end of its own attempts. The picker
//! prefers the entry's own site. Within a site it uses prefix affinity (consistent hashing) unless
//! that target scores much worse than others, else the better of two random choices.

mod group;
mod health;
mod target;

use crate::frame::TargetState;
use crate::prelude::*;
use group::TargetGroup;
use rand::Rng;
use target::{TargetRecord, TargetView};

/// Factor by which the score of a congested target of a nearer tier must exceed that of a farther
/// tier's best target for the farther one to be picked.
const FARTHER_TIER_SCORE_RATIO: f64 = 2.0;

/// Affinity of a request to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PickAffinity {
    /// No affinity.
    #[default]
    None,
    /// Hash of the prompt's prefix: the same target unless its score is much worse than others'.
    Prefix(u64),
    /// Hash of organisation and idempotency key: the same target whatever its load.
    Key(u64),
}

/// The request to pick a target for.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// The requested service.
    pub service: &'a ServiceName,
    /// The preferred site: the entry's own.
    pub site: &'a SiteName,
    /// Affinity to a target.
    pub affinity: PickAffinity,
    /// Whether the target must serve a digest; true for engines, false for plain services.
    pub needs_digest: bool,
    /// Excluded hosts, such as those of failed attempts.
    pub avoid: &'a [HostName],
}

/// A picked target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PickedTarget {
    /// The host of the target.
    pub host: HostName,
    /// The digest that the target serves, to be sent with the request; none for plain services.
    pub digest: Option<VersionDigest>,
}

/// Chooses targets for the requests of one entry.
///
/// Per link, call [`on_state`](Self::on_state) for each report and
/// [`on_link_lost`](Self::on_link_lost) at the end. Per attempt, call [`pick`](Self::pick),
/// [`on_attempt_start`](Self::on_attempt_start) on submission, and
/// [`on_attempt_end`](Self::on_attempt_end) exactly once, even if the link is lost in between.
#[derive(Debug, Default)]
pub struct TargetPicker {
    regions: SortedTable<SiteName, RegionName>,
    targets: Vec<TargetRecord>,
    free_indices: Vec<u32>,
    index_by_host: SortedTable<HostName, u32>,
    groups_by_service: SortedTable<ServiceName, Vec<TargetGroup>>,
}

impl TargetPicker {
    /// Creates a picker without targets; `regions` maps each site to its region.
    pub fn new(regions: SortedTable<SiteName, RegionName>) -> Self {
        Self { regions, ..Self::default() }
    }

    /// Replaces the map from site to region. An unmapped site is a region of its own.
    pub fn set_regions(&mut self, regions: SortedTable<SiteName, RegionName>) {
        self.regions = regions;
    }

    /// Records a state report of the agent on `host`, in `site`. The first one adds the target.
    pub fn on_state(
        &mut self,
        now: MonoTime,
        host: &HostName,
        site: &SiteName,
        state: &TargetState,
    ) {
        let index = self.find_or_insert(host, site, &state.service);
        let before = self.targets[index as usize].raw_load();
        let target = &mut self.targets[index as usize];
        target.on_state(now, site, state);
        let (open, after) = (target.is_open(), target.raw_load());
        let group = self.group_mut(&state.service, site);
        group.set_open(index, open);
        group.add_load(after - before);
    }

    /// Records the loss of the link to `host`: its target is not picked until its next report. The
    /// record with its health is kept while attempts are in flight and for a retention period.
    pub fn on_link_lost(&mut self, now: MonoTime, host: &HostName) {
        let Some(&index) = self.index_by_host.get(host) else { return };
        let target = &mut self.targets[index as usize];
        target.on_link_lost(now);
        let (service, site) = (target.service.clone(), target.site.clone());
        self.group_mut(&service, &site).set_open(index, false);
        self.evict_unlinked(now);
    }

    /// Records the submission of an attempt to `host`.
    pub fn on_attempt_start(&mut self, _now: MonoTime, host: &HostName) {
        let Some(&index) = self.index_by_host.get(host) else { return };
        self.update_target(index, TargetRecord::on_attempt_start);
    }

    /// Records that an attempt on `host` ended with `code`, `latency` after its submission.
    pub fn on_attempt_end(
        &mut self,
        now: MonoTime,
        host: &HostName,
        code: ResultCode,
        latency: Duration,
    ) {
        let Some(&index) = self.index_by_host.get(host) else { return };
        self.update_target(index, |target| target.on_attempt_end(now, code, latency));
        if code == ResultCode::Ok {
            let target = &self.targets[index as usize];
            let (service, site) = (target.service.clone(), target.site.clone());
            self.group_mut(&service, &site).record_latency(latency);
        }
    }

    /// Picks a target; `None` if no eligible target accepts new work.
    pub fn pick(
        &self,
        now: MonoTime,
        request: &PickRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<PickedTarget> {
        let groups = self.groups_by_service.get(request.service)?;
        let view = TargetView { targets: &self.targets, now, request };
        let index = self.pick_index(groups, &view, rng)?;
        let target = &self.targets[index as usize];
        Some(PickedTarget { host: target.host.clone(), digest: target.digest() })
    }

    /// Picks as [`pick`](Self::pick) does, but returns `None` if requests wait at the target by its
    /// last report. For a retry after a target was overloaded.
    pub fn pick_uncongested(
        &self,
        now: MonoTime,
        request: &PickRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<PickedTarget> {
        let picked = self.pick(now, request, rng)?;
        let index = *self.index_by_host.get(&picked.host)?;
        let view = TargetView { targets: &self.targets, now, request };
        (!view.is_congested(index)).then_some(picked)
    }

    /// Hosts of `service` that accept new work.
    pub fn open_hosts(&self, service: &ServiceName) -> Vec<HostName> {
        let groups = self.groups_by_service.get(service).into_iter().flatten();
        let indices = groups.flat_map(|group| group.open_targets());
        indices.map(|&index| self.targets[index as usize].host.clone()).collect()
    }

    /// Picks from the nearest tier with a target that is not congested. If the best target of a
    /// tier is congested, farther tiers are considered too.
    fn pick_index(
        &self,
        groups: &[TargetGroup],
        view: &TargetView<'_>,
        rng: &mut impl Rng,
    ) -> Option<u32> {
        let mut best: Option<(f64, u32)> = None;
        for tier in SiteTier::ALL {
            let tier_groups = groups.iter().filter(|group| self.tier(view, group) == tier);
            let chosen = tier_groups.filter_map(|group| group.choose(view, rng));
            let Some(chosen) = chosen.min_by(|left, right| left.0.total_cmp(&right.0)) else {
                continue;
            };
            best = match best {
                Some(nearer) if nearer.0 <= chosen.0 * FARTHER_TIER_SCORE_RATIO => Some(nearer),
                _ => Some(chosen),
            };
            let Some((_, index)) = best else { continue };
            if !view.is_congested(index) {
                return Some(index);
            }
        }
        let last_resort =
            || groups.iter().find_map(|group| group.choose_ignoring_health(view, rng));
        best.map(|(_, index)| index).or_else(last_resort)
    }

    fn tier(&self, view: &TargetView<'_>, group: &TargetGroup) -> SiteTier {
        let site = view.request.site;
        if group.site == *site {
            return SiteTier::SameSite;
        }
        match (self.regions.get(site), self.regions.get(&group.site)) {
            (Some(left), Some(right)) if left == right => SiteTier::SameRegion,
            _ => SiteTier::OtherRegion,
        }
    }

    /// Returns the index of `host` in the group of `service` and `site`, adding or moving it if
    /// needed.
    fn find_or_insert(&mut self, host: &HostName, site: &SiteName, service: &ServiceName) -> u32 {
        if let Some(&index) = self.index_by_host.get(host) {
            let target = &self.targets[index as usize];
            if target.service == *service && target.site == *site {
                return index;
            }
            self.remove(index);
        }
        let target = TargetRecord::new(host.clone(), site.clone(), service.clone());
        let index = self.allocate(target);
        self.index_by_host.insert(host.clone(), index);
        self.group_mut(service, site).insert(index, host);
        index
    }

    fn allocate(&mut self, target: TargetRecord) -> u32 {
        match self.free_indices.pop() {
            Some(index) => {
                self.targets[index as usize] = target;
                index
            }
            None => {
                self.targets.push(target);
                (self.targets.len() - 1) as u32
            }
        }
    }

    fn remove(&mut self, index: u32) {
        let target = &self.targets[index as usize];
        let (service, site, host) =
            (target.service.clone(), target.site.clone(), target.host.clone());
        let load = target.raw_load();
        let group = self.group_mut(&service, &site);
        group.remove(index);
        group.add_load(-load);
        self.index_by_host.remove(&host);
        self.free_indices.push(index);
    }

    fn update_target(&mut self, index: u32, update: impl FnOnce(&mut TargetRecord)) {
        let target = &mut self.targets[index as usize];
        let before = target.raw_load();
        update(target);
        let after = target.raw_load();
        let (service, site) = (target.service.clone(), target.site.clone());
        self.group_mut(&service, &site).add_load(after - before);
    }

    fn group_mut(&mut self, service: &ServiceName, site: &SiteName) -> &mut TargetGroup {
        let groups = match self.groups_by_service.contains_key(service) {
            true => self.groups_by_service.get_mut(service).expect("the key was found"),
            false => self.groups_by_service.get_or_insert_with(service.clone(), Vec::new),
        };
        let at = match groups.binary_search_by(|group| group.site.cmp(site)) {
            Ok(at) => at,
            Err(at) => {
                groups.insert(at, TargetGroup::new(site.clone()));
                at
            }
        };
        &mut groups[at]
    }

    fn evict_unlinked(&mut self, now: MonoTime) {
        let indices: Vec<u32> = self.index_by_host.values().copied().collect();
        for index in indices {
            if self.targets[index as usize].is_evictable(now) {
                self.remove(index);
            }
        }
    }
}

/// Distance of a group of targets from the entry, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SiteTier {
    SameSite,
    SameRegion,
    OtherRegion,
}

impl SiteTier {
    const ALL: [SiteTier; 3] = [SiteTier::SameSite, SiteTier::SameRegion, SiteTier::OtherRegion];
}
