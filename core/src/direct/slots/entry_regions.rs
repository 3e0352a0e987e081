//! Where the live entries are, and how they share the targets.

use crate::prelude::*;

/// Weight of an entry that has targets of the service in its own region, for the limit of a target
/// elsewhere; other entries have the weight 1. It lets the entry notice the end of the limit.
const SPARE_WEIGHT: f64 = 0.05;

/// The live entries by region, this one included, and the region of each site.
#[derive(Debug, Clone)]
pub struct EntryRegions {
    own: RegionName,
    sites: SortedTable<SiteName, RegionName>,
    entries: SortedTable<RegionName, u32>,
}

impl EntryRegions {
    /// Creates the regions with a single entry, in region `own`.
    pub fn new(own: RegionName, sites: SortedTable<SiteName, RegionName>) -> Self {
        let entries = [(own.clone(), 1)].into_iter().collect();
        Self { own, sites, entries }
    }

    /// Replaces the other live entries by those in these regions.
    pub fn set_others<'a>(&mut self, regions: impl Iterator<Item = &'a RegionName>) {
        self.entries = [(self.own.clone(), 1)].into_iter().collect();
        for region in regions {
            *self.entries.get_or_insert_with(region.clone(), || 0) += 1;
        }
    }

    /// Returns the number of live entries.
    pub fn entries(&self) -> u32 {
        self.entries.values().sum()
    }

    /// Returns the number of live entries in this entry's region.
    pub fn in_region(&self) -> u32 {
        self.entries.get(&self.own).copied().unwrap_or(1)
    }

    /// Returns whether the site is in this entry's region.
    pub fn is_local(&self, site: &SiteName) -> bool {
        self.region_of(site) == Some(&self.own)
    }

    /// Returns the region of a site, if it is known.
    pub fn region_of(&self, site: &SiteName) -> Option<&RegionName> {
        self.sites.get(site)
    }

    /// Returns this entry's share, between 0 and 1, of a limit that a target at `site` names for all
    /// entries; `service_regions` are the regions with targets of its service, in order. The entries of
    /// the target's region share the limit with those that have no target in their own one. The shares
    /// of all entries add up to 1.
    pub fn limit_share(&self, site: &SiteName, service_regions: &[RegionName]) -> f64 {
        let target_region = self.region_of(site);
        let weight = |region: &RegionName| {
            let has_others = service_regions.binary_search(region).is_ok();
            if has_others && target_region != Some(region) { SPARE_WEIGHT } else { 1.0 }
        };
        let weights = self.entries.iter().map(|(region, count)| f64::from(*count) * weight(region));
        weight(&self.own) / weights.sum::<f64>()
    }
}
