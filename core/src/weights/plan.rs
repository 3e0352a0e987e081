//! The plan of which host fetches which chunk from where. Every host computes the same plan.
//!
//! The reader region reads each chunk from the origin once. Each remote region fetches an equal share
//! of the chunks from the reader region and the others from the other remote regions. Within a region,
//! rendezvous hashing gives each chunk an owner and the order in which other hosts take over.

use crate::prelude::*;
use crate::weights::VersionManifest;

/// Gateways of a region that fetch from other regions at the same time.
pub const GATEWAYS_PER_REGION: usize = 2;
/// Number of hosts per chunk and region whose order of takeover is computed in advance.
pub const OWNER_CANDIDATES: usize = 3;

/// Index of a host in the plan's sorted list.
pub type HostIndex = usize;
/// Index of a region in the plan's sorted list.
pub type RegionIndex = usize;

/// A host that wants the version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanHost {
    /// Name of the host.
    pub name: HostName,
    /// Region of the host.
    pub region: RegionName,
}

/// The plan for distributing one version; equal inputs give equal plans.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DistributionPlan {
    hosts: Vec<PlanHost>,
    host_keys: Vec<u64>,
    host_regions: Vec<RegionIndex>,
    regions: Vec<RegionPlan>,
    reader_region: RegionIndex,
    remote_regions: Vec<RegionIndex>,
    chunk_keys: Vec<u64>,
    cross_region_mode: CrossRegionMode,
}

/// Which hosts of a region fetch chunks from other regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CrossRegionMode {
    /// A few gateways, so that few connections share a slow link.
    #[default]
    Gateways,
    /// The owner of each chunk: one hop less, and no host uploads more than the others.
    Owners,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct RegionPlan {
    name: RegionName,
    members: Vec<HostIndex>,
    gateways: Vec<HostIndex>,
    owner_candidates: Vec<[HostIndex; OWNER_CANDIDATES]>,
}

impl DistributionPlan {
    /// Plans the distribution of `manifest` to `hosts`, in any order. `store_region` reads the origin, or
    /// the first region by name if no host in `store_region` wants the version.
    pub fn new(
        manifest: &VersionManifest,
        mut hosts: Vec<PlanHost>,
        store_region: &RegionName,
    ) -> Self {
        hosts.sort_unstable();
        hosts.dedup_by(|a, b| a.name == b.name);
        let chunk_keys: Vec<u64> = manifest.chunks.iter().map(|c| hash_key(c.as_bytes())).collect();
        let host_keys: Vec<u64> = hosts.iter().map(|host| name_key(host.name.as_str())).collect();
        let mut names: Vec<RegionName> = hosts.iter().map(|host| host.region.clone()).collect();
        names.sort_unstable();
        names.dedup();
        let region_index = |name: &RegionName| names.partition_point(|other| other < name);
        let host_regions: Vec<RegionIndex> =
            hosts.iter().map(|host| region_index(&host.region)).collect();
        let digest_key = hash_key(manifest.digest().as_bytes());
        let build = |(index, name): (RegionIndex, &RegionName)| {
            let members: Vec<HostIndex> =
                (0..hosts.len()).filter(|host| host_regions[*host] == index).collect();
            RegionPlan::new(name.clone(), members, &host_keys, &chunk_keys, digest_key)
        };
        let regions: Vec<RegionPlan> = names.iter().enumerate().map(build).collect();
        let reader_region = names.binary_search(store_region).unwrap_or(0);
        let remote_regions = (0..regions.len()).filter(|index| *index != reader_region).collect();
        let cross_region_mode = CrossRegionMode::default();
        Self {
            hosts,
            host_keys,
            host_regions,
            regions,
            reader_region,
            remote_regions,
            chunk_keys,
            cross_region_mode,
        }
    }

    /// The same plan with another cross-region mode.
    pub fn with_cross_region_mode(mut self, cross_region_mode: CrossRegionMode) -> Self {
        self.cross_region_mode = cross_region_mode;
        self
    }

    /// Whether the owner of a chunk fetches it from other regions itself.
    pub fn owners_cross_regions(&self) -> bool {
        self.cross_region_mode == CrossRegionMode::Owners
    }

    /// Whether the host at `index` fetches chunks from other regions for the hosts of its own, and so
    /// uploads more than they do.
    pub fn is_gateway(&self, index: HostIndex) -> bool {
        let region = self.region_of(index);
        self.cross_region_mode == CrossRegionMode::Gateways
            && region != self.reader_region
            && self.gateways(region).contains(&index)
    }

    /// The hosts, sorted by name.
    pub fn hosts(&self) -> &[PlanHost] {
        &self.hosts
    }

    /// The index of the host `name`.
    pub fn index_of(&self, name: &HostName) -> Option<HostIndex> {
        self.hosts.binary_search_by(|host| host.name.cmp(name)).ok()
    }

    /// The name of the host at `index`.
    pub fn host_name(&self, index: HostIndex) -> &HostName {
        &self.hosts[index].name
    }

    /// The region of the host at `index`.
    pub fn region_of(&self, index: HostIndex) -> RegionIndex {
        self.host_regions[index]
    }

    /// The name of a region.
    pub fn region_name(&self, region: RegionIndex) -> &RegionName {
        &self.regions[region].name
    }

    /// The number of regions.
    pub fn region_count(&self) -> usize {
        self.regions.len()
    }

    /// Whether both plans have the same regions.
    pub fn has_same_regions(&self, other: &DistributionPlan) -> bool {
        let names = |plan: &DistributionPlan| -> Vec<RegionName> {
            plan.regions.iter().map(|region| region.name.clone()).collect()
        };
        names(self) == names(other)
    }

    /// The region that reads from the origin.
    pub fn reader_region(&self) -> RegionIndex {
        self.reader_region
    }

    /// The number of chunks.
    pub fn chunk_count(&self) -> usize {
        self.chunk_keys.len()
    }

    /// The hosts of a region, sorted by name.
    pub fn members(&self, region: RegionIndex) -> &[HostIndex] {
        &self.regions[region].members
    }

    /// The region from which `region` fetches `chunk`; `None` if it reads the origin.
    pub fn source_region(&self, chunk: usize, region: RegionIndex) -> Option<RegionIndex> {
        if region == self.reader_region {
            return None;
        }
        let first_remote = self.remote_regions[chunk % self.remote_regions.len()];
        Some(if first_remote == region { self.reader_region } else { first_remote })
    }

    /// Number of hosts of `region` that fetch from other regions at the same time.
    pub fn gateway_count(&self, region: RegionIndex) -> usize {
        let members = self.regions[region].members.len();
        match self.cross_region_mode {
            CrossRegionMode::Gateways => members.min(GATEWAYS_PER_REGION),
            CrossRegionMode::Owners => members,
        }
    }

    /// The hosts of `region` that fetch from other regions while none has failed.
    pub fn gateways(&self, region: RegionIndex) -> &[HostIndex] {
        &self.regions[region].gateways[..self.gateway_count(region)]
    }

    /// The host that fetches `chunk` into `region` from another one: the first in the order of takeover
    /// that is not `suspect`; `None` if all are.
    pub fn gateway(
        &self,
        chunk: usize,
        region: RegionIndex,
        suspect: impl Fn(HostIndex) -> bool,
    ) -> Option<HostIndex> {
        if self.cross_region_mode == CrossRegionMode::Owners {
            return self.owner(chunk, region, suspect);
        }
        let gateways = &self.regions[region].gateways;
        let count = self.gateway_count(region);
        if count == 0 {
            return None;
        }
        let first_rank = (chunk / self.remote_regions.len().max(1)) % count;
        let first =
            gateways.iter().skip(first_rank).step_by(count).copied().find(|host| !suspect(*host));
        first.or_else(|| gateways.iter().copied().find(|host| !suspect(*host)))
    }

    /// The first hosts of `region` in the order of takeover of `chunk`, its owner first. If the region
    /// has fewer hosts, its first member fills the rest.
    pub fn owner_candidates(
        &self,
        chunk: usize,
        region: RegionIndex,
    ) -> &[HostIndex; OWNER_CANDIDATES] {
        &self.regions[region].owner_candidates[chunk]
    }

    /// The host responsible for `chunk` in `region`: the first in the order of takeover that is not
    /// `suspect`; `None` if all are.
    pub fn owner(
        &self,
        chunk: usize,
        region: RegionIndex,
        suspect: impl Fn(HostIndex) -> bool,
    ) -> Option<HostIndex> {
        if let Some(host) =
            self.owner_candidates(chunk, region).iter().find(|host| !suspect(**host))
        {
            return Some(*host);
        }
        let members = self.regions[region].members.iter().copied();
        let healthy = members.filter(|host| !suspect(*host));
        healthy.max_by_key(|host| mix(self.host_keys[*host] ^ self.chunk_keys[chunk]))
    }

    /// The hosts to ask for the manifest before the origin, in order. Empty for the host that reads it
    /// from the origin first.
    pub fn manifest_sources(
        digest: &VersionDigest,
        own: &PlanHost,
        hosts: &[PlanHost],
        store_region: &RegionName,
    ) -> Vec<HostName> {
        let readers = |region| manifest_readers(digest, hosts, region);
        let own_readers = readers(&own.region);
        let preceding: Vec<&HostName> =
            own_readers.into_iter().take_while(|name| **name != own.name).collect();
        let mut sources: Vec<HostName> = preceding.into_iter().cloned().collect();
        if own.region != *store_region {
            sources.extend(readers(store_region).into_iter().cloned());
        }
        sources
    }
}

impl DistributionPlan {
    /// The hosts to ask for the manifest of an urgent version, in an order that differs between hosts.
    /// Empty for the few hosts of each region that read it from the origin at once: several, because a
    /// single reader may have a narrowed link.
    pub fn urgent_manifest_sources(
        digest: &VersionDigest,
        own: &PlanHost,
        hosts: &[PlanHost],
    ) -> Vec<HostName> {
        let mut readers = manifest_readers(digest, hosts, &own.region);
        if readers.contains(&&own.name) {
            return Vec::new();
        }
        let first = name_key(own.name.as_str()) as usize % readers.len().max(1);
        readers.rotate_left(first);
        readers.into_iter().cloned().collect()
    }
}

/// The hosts of `region` that read the manifest before the others, in order.
fn manifest_readers<'a>(
    digest: &VersionDigest,
    hosts: &'a [PlanHost],
    region: &RegionName,
) -> Vec<&'a HostName> {
    let key = hash_key(digest.as_bytes());
    let mut names: Vec<&HostName> =
        hosts.iter().filter(|host| host.region == *region).map(|host| &host.name).collect();
    names.sort_by_key(|name| std::cmp::Reverse(mix(name_key(name.as_str()) ^ key)));
    names.truncate(OWNER_CANDIDATES);
    names
}

impl RegionPlan {
    fn new(
        name: RegionName,
        members: Vec<HostIndex>,
        host_keys: &[u64],
        chunk_keys: &[u64],
        digest_key: u64,
    ) -> Self {
        let mut gateways = members.clone();
        gateways.sort_by_key(|host| std::cmp::Reverse(mix(host_keys[*host] ^ digest_key)));
        let max_owned = chunk_keys.len().div_ceil(members.len().max(1));
        let mut owned_counts = vec![0; host_keys.len()];
        let candidates = |key: &u64| {
            let best = best_candidates(&members, host_keys, *key);
            with_balanced_owner(best, &members, host_keys, *key, &mut owned_counts, max_owned)
        };
        let owner_candidates = chunk_keys.iter().map(candidates).collect();
        Self { name, members, gateways, owner_candidates }
    }
}

/// The hosts with the highest rendezvous scores for `key`, best first.
fn best_candidates(
    members: &[HostIndex],
    host_keys: &[u64],
    key: u64,
) -> [HostIndex; OWNER_CANDIDATES] {
    let mut best = [(0, members[0]); OWNER_CANDIDATES];
    for host in members {
        let score = mix(host_keys[*host] ^ key);
        let rank = best.partition_point(|(other, _)| *other >= score);
        if rank < OWNER_CANDIDATES {
            best[rank..].rotate_right(1);
            best[rank] = (score, *host);
        }
    }
    best.map(|(_, host)| host)
}

/// Moves the best host that owns fewer than `max_owned` chunks to the front of `candidates`.
fn with_balanced_owner(
    mut candidates: [HostIndex; OWNER_CANDIDATES],
    members: &[HostIndex],
    host_keys: &[u64],
    key: u64,
    owned_counts: &mut [usize],
    max_owned: usize,
) -> [HostIndex; OWNER_CANDIDATES] {
    let has_room = |host: &&HostIndex| owned_counts[**host] < max_owned;
    let owner = candidates.iter().find(has_room).or_else(|| {
        members.iter().filter(has_room).max_by_key(|host| mix(host_keys[**host] ^ key))
    });
    let owner = owner.copied().unwrap_or(candidates[0]);
    owned_counts[owner] += 1;
    let rank = candidates.iter().position(|host| *host == owner).unwrap_or(OWNER_CANDIDATES - 1);
    candidates[..=rank].rotate_right(1);
    candidates[0] = owner;
    candidates
}

fn name_key(name: &str) -> u64 {
    hash_key(blake3::hash(name.as_bytes()).as_bytes())
}

fn hash_key(bytes: &[u8; 32]) -> u64 {
    u64::from_le_bytes([
        bytes[0], bytes[1], bytes[2], bytes[3], bytes[4], bytes[5], bytes[6], bytes[7],
    ])
}

/// Hashes a key to 64 bits (the finaliser of SplitMix64).
pub(super) fn mix(key: u64) -> u64 {
    let key = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let key = (key ^ (key >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    key ^ (key >> 31)
}
