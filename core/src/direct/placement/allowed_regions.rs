//! The regions in which a request may be served, by its route and its organisation.

use crate::direct::{RegionSet, ServingConfig, SlotRequest};
use crate::prelude::*;

/// The restricted routes and organisations of the active configuration. Those that are not listed may be
/// served in any region.
#[derive(Debug, Clone, Default)]
pub struct AllowedRegions {
    routes: SortedTable<RouteName, RegionSet>,
    organisations: SortedTable<OrganisationName, RegionSet>,
}

impl AllowedRegions {
    /// Applies a configuration. A route or organisation that it no longer names keeps its restriction, since
    /// requests that were admitted before may still wait, or be retried.
    pub fn set_config(&mut self, config: &ServingConfig) {
        for route in &config.routes {
            set_regions(&mut self.routes, &route.name, &route.allowed_regions);
        }
        for organisation in config.organisations.iter().flatten() {
            let regions = &organisation.allowed_regions;
            set_regions(&mut self.organisations, &organisation.name, regions);
        }
    }

    /// Returns whether no route and no organisation is restricted.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty() && self.organisations.is_empty()
    }

    /// Returns whether `request` may be served in `region`, which is `None` if it is not known.
    pub fn allows(&self, request: &SlotRequest, region: Option<&RegionName>) -> bool {
        self.regions_of(request).all(|regions| regions.allows(region))
    }

    /// Returns the regions in which `request` may be served; `None` if it may be served in all.
    pub fn named_for(&self, request: &SlotRequest) -> Option<RegionSet> {
        let first = self.regions_of(request).next()?;
        Some(first.iter().filter(|region| self.allows(request, Some(region))).cloned().collect())
    }

    fn regions_of(&self, request: &SlotRequest) -> impl Iterator<Item = &RegionSet> {
        let organisation = request.organisation.as_ref();
        let by_organisation = organisation.and_then(|name| self.organisations.get(name));
        self.routes.get(&request.route).into_iter().chain(by_organisation)
    }
}

fn set_regions<K: Ord + Clone>(
    table: &mut SortedTable<K, RegionSet>,
    key: &K,
    regions: &RegionSet,
) {
    match regions.allows_all() {
        true => drop(table.remove(key)),
        false => drop(table.insert(key.clone(), regions.clone())),
    }
}
