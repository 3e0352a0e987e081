//! Which target takes a request.
//!
//! An entry tells the [`TargetPicker`] all that it learns about the targets behind its links:
//! states that agents report late, requests that it sent, and how they ended. The picker chooses
//! in the entry's own site first, by the prompt's prefix while that target is not much busier than
//! the others, else the less loaded of two drawn at random.

mod group;
mod health;
mod target;

use crate::frame::TargetState;
use crate::prelude::*;
use group::TargetGroup;
use rand::Rng;
use target::{TargetRecord, TargetView};

/// How many times worse the best target of the nearer sites must score before a farther one, while
/// requests wait at the nearer one.
const FARTHER_SCORE_RATIO: f64 = 2.0;

/// What ties a request to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PickAffinity {
    /// Nothing.
    #[default]
    None,
    /// The hash of the prompt's prefix: the same target while its load is in bounds.
    Prefix(u64),
    /// The hash of organisation and idempotency key: the same target whatever its load.
    Key(u64),
}

/// What has to be picked for.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// The service that is to answer.
    pub service: &'a ServiceName,
    /// The site to stay in where possible: the entry's own.
    pub site: &'a SiteName,
    /// What ties the request to a target.
    pub affinity: PickAffinity,
    /// Whether the target must serve a digest; true for engines, false for plain services.
    pub needs_digest: bool,
    /// Hosts that are not to be picked, such as those of failed attempts.
    pub avoid: &'a [HostName],
}

/// The choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PickedTarget {
    /// The host of the target.
    pub host: HostName,
    /// The digest that the target serves, to be asked for; none for plain services.
    pub digest: Option<VersionDigest>,
}

/// Chooses targets for the requests of one entry.
///
/// Calls in the life of a link: [`on_state`](Self::on_state) for each report,
/// [`on_link_lost`](Self::on_link_lost) at the end. Calls in the life of an attempt:
/// [`pick`](Self::pick), [`on_sent`](Self::on_sent) when it is submitted, and exactly one
/// [`on_end`](Self::on_end), also if the link is lost in between.
#[derive(Debug, Default)]
pub struct TargetPicker {
    regions: SortedTable<SiteName, RegionName>,
    targets: Vec<TargetRecord>,
    free: Vec<u32>,
    index: SortedTable<HostName, u32>,
    services: SortedTable<ServiceName, Vec<TargetGroup>>,
}

impl TargetPicker {
    /// A picker without targets; `regions` holds the region of each site.
    pub fn new(regions: SortedTable<SiteName, RegionName>) -> Self {
        Self { regions, ..Self::default() }
    }

    /// Replaces the regions of the sites. A site without one is a region of its own.
    pub fn set_regions(&mut self, regions: SortedTable<SiteName, RegionName>) {
        self.regions = regions;
    }

    /// Takes in a report of the agent on `host`, in `site`. The first one makes the target known.
    pub fn on_state(
        &mut self,
        now: MonoTime,
        host: &HostName,
        site: &SiteName,
        state: &TargetState,
    ) {
        let slot = self.slot_of(host, site, &state.service);
        let before = self.targets[slot as usize].counted_load();
        let target = &mut self.targets[slot as usize];
        target.on_state(now, site, state);
        let (open, after) = (target.is_open(), target.counted_load());
        let group = self.group_mut(&state.service, site);
        group.set_open(slot, open);
        group.add_load(after - before);
    }

    /// The link to `host` was lost: the target is not picked until its next report. What is known
    /// of its health is kept while attempts are in flight, and for a while after.
    pub fn on_link_lost(&mut self, now: MonoTime, host: &HostName) {
        let Some(&slot) = self.index.get(host) else { return };
        let target = &mut self.targets[slot as usize];
        target.on_link_lost(now);
        let (service, site) = (target.service.clone(), target.site.clone());
        self.group_mut(&service, &site).set_open(slot, false);
        self.forget_old(now);
    }

    /// An attempt was submitted to `host`.
    pub fn on_sent(&mut self, _now: MonoTime, host: &HostName) {
        let Some(&slot) = self.index.get(host) else { return };
        self.change(slot, TargetRecord::on_sent);
    }

    /// An attempt on `host` ended with `code`, `latency` after it was submitted.
    pub fn on_end(&mut self, now: MonoTime, host: &HostName, code: ResultCode, latency: Duration) {
        let Some(&slot) = self.index.get(host) else { return };
        self.change(slot, |target| target.on_end(now, code, latency));
        if code == ResultCode::Ok {
            let target = &self.targets[slot as usize];
            let (service, site) = (target.service.clone(), target.site.clone());
            self.group_mut(&service, &site).note_latency(latency);
        }
    }

    /// Chooses a target; none if no target that the request may go to takes new work.
    pub fn pick(
        &self,
        now: MonoTime,
        request: &PickRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<PickedTarget> {
        let groups = self.services.get(request.service)?;
        let view = TargetView { targets: &self.targets, now, request };
        let slot = self.pick_slot(groups, &view, rng)?;
        let target = &self.targets[slot as usize];
        Some(PickedTarget { host: target.host.clone(), digest: target.digest() })
    }

    /// Chooses as [`pick`](Self::pick) does, but only a target where no requests wait by the last
    /// report: for a retry after a refusal for want of room.
    pub fn pick_free(
        &self,
        now: MonoTime,
        request: &PickRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<PickedTarget> {
        let picked = self.pick(now, request, rng)?;
        let slot = *self.index.get(&picked.host)?;
        let view = TargetView { targets: &self.targets, now, request };
        (!view.is_congested(slot)).then_some(picked)
    }

    /// Hosts of `service` that take new work, for reports.
    pub fn open_hosts(&self, service: &ServiceName) -> Vec<HostName> {
        let groups = self.services.get(service).into_iter().flatten();
        let slots = groups.flat_map(|group| group.open_slots());
        slots.map(|&slot| self.targets[slot as usize].host.clone()).collect()
    }

    fn pick_slot(
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
                Some(near) if near.0 <= chosen.0 * FARTHER_SCORE_RATIO => Some(near),
                _ => Some(chosen),
            };
            let Some((_, slot)) = best else { continue };
            if !view.is_congested(slot) {
                return Some(slot);
            }
        }
        let last_resort = || groups.iter().find_map(|group| group.choose_barred(view, rng));
        best.map(|(_, slot)| slot).or_else(last_resort)
    }

    fn tier(&self, view: &TargetView<'_>, group: &TargetGroup) -> SiteTier {
        let site = view.request.site;
        if group.site == *site {
            return SiteTier::Same;
        }
        match (self.regions.get(site), self.regions.get(&group.site)) {
            (Some(left), Some(right)) if left == right => SiteTier::Region,
            _ => SiteTier::Elsewhere,
        }
    }

    /// The slot of `host`, in the group of `service` and `site`.
    fn slot_of(&mut self, host: &HostName, site: &SiteName, service: &ServiceName) -> u32 {
        if let Some(&slot) = self.index.get(host) {
            let target = &self.targets[slot as usize];
            if target.service == *service && target.site == *site {
                return slot;
            }
            self.remove(slot);
        }
        let target = TargetRecord::new(host.clone(), site.clone(), service.clone());
        let slot = self.store(target);
        self.index.insert(host.clone(), slot);
        self.group_mut(service, site).insert(slot, host);
        slot
    }

    fn store(&mut self, target: TargetRecord) -> u32 {
        match self.free.pop() {
            Some(slot) => {
                self.targets[slot as usize] = target;
                slot
            }
            None => {
                self.targets.push(target);
                (self.targets.len() - 1) as u32
            }
        }
    }

    fn remove(&mut self, slot: u32) {
        let target = &self.targets[slot as usize];
        let (service, site, host) =
            (target.service.clone(), target.site.clone(), target.host.clone());
        let load = target.counted_load();
        let group = self.group_mut(&service, &site);
        group.remove(slot);
        group.add_load(-load);
        self.index.remove(&host);
        self.free.push(slot);
    }

    fn change(&mut self, slot: u32, change: impl FnOnce(&mut TargetRecord)) {
        let target = &mut self.targets[slot as usize];
        let before = target.counted_load();
        change(target);
        let after = target.counted_load();
        let (service, site) = (target.service.clone(), target.site.clone());
        self.group_mut(&service, &site).add_load(after - before);
    }

    fn group_mut(&mut self, service: &ServiceName, site: &SiteName) -> &mut TargetGroup {
        let groups = match self.services.contains_key(service) {
            true => self.services.get_mut(service).expect("the key was found"),
            false => self.services.get_or_insert_with(service.clone(), Vec::new),
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

    fn forget_old(&mut self, now: MonoTime) {
        let slots: Vec<u32> = self.index.values().copied().collect();
        for slot in slots {
            if self.targets[slot as usize].is_forgettable(now) {
                self.remove(slot);
            }
        }
    }
}

/// How far a group of targets is from the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SiteTier {
    Same,
    Region,
    Elsewhere,
}

impl SiteTier {
    const ALL: [SiteTier; 3] = [SiteTier::Same, SiteTier::Region, SiteTier::Elsewhere];
}
