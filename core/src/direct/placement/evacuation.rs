//! Sites that the operator has evacuated: their targets get no requests.

use crate::prelude::*;

/// The evacuated sites, sorted; none before anything is known.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuatedSites {
    sites: Vec<SiteName>,
}

impl EvacuatedSites {
    /// Replaces the evacuated sites, and returns those whose evacuation was withdrawn; `None` if nothing has
    /// changed.
    pub fn replace(&mut self, sites: impl IntoIterator<Item = SiteName>) -> Option<Vec<SiteName>> {
        let mut sites: Vec<SiteName> = sites.into_iter().collect();
        sites.sort_unstable();
        sites.dedup();
        if sites == self.sites {
            return None;
        }
        let mut withdrawn = std::mem::replace(&mut self.sites, sites);
        withdrawn.retain(|site| !self.contains(site));
        Some(withdrawn)
    }

    /// Returns whether the site is evacuated.
    pub fn contains(&self, site: &SiteName) -> bool {
        self.sites.binary_search(site).is_ok()
    }

    /// Returns whether no site is evacuated.
    pub fn is_empty(&self) -> bool {
        self.sites.is_empty()
    }
}
