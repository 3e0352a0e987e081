//! The distribution plan: agreement between hosts, balance and takeover.

use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::{DistributionPlan, PlanHost, VersionManifest};
use proptest::prelude::*;

const CHUNKS: usize = 64;

fn manifest() -> VersionManifest {
    let content: Vec<u8> = (0..CHUNKS * 8).map(|index| (index / 8) as u8).collect();
    VersionManifest::of_content(&content, 8)
}

fn plan_hosts(numbers: impl IntoIterator<Item = usize>, regions: usize) -> Vec<PlanHost> {
    let plan_host = |index: usize| PlanHost {
        name: HostName::from(format!("host-{index:03}")),
        region: RegionName::from(format!("region-{}", index % regions)),
    };
    numbers.into_iter().map(plan_host).collect()
}

fn plan(plan_hosts: Vec<PlanHost>) -> DistributionPlan {
    DistributionPlan::new(&manifest(), plan_hosts, &RegionName::from("region-0"))
}

#[test]
fn a_manifest_with_endless_chunks_has_sizes() {
    let manifest = VersionManifest::of_sha256(manifest().chunks, u64::MAX);
    assert_eq!((manifest.total_bytes, manifest.chunk_len(0)), (u64::MAX, u64::MAX));
    assert_eq!(manifest.chunk_len(1), 0);
}

#[test]
fn chunks_are_split_evenly_over_links_and_owners() {
    let plan = plan(plan_hosts(0..40, 4));
    let chunk_count = |to: usize, from: usize| {
        (0..CHUNKS).filter(|chunk| plan.source_region(*chunk, to) == Some(from)).count()
    };
    let links: Vec<[usize; 4]> =
        (0..4).map(|to| [0, 1, 2, 3].map(|from| chunk_count(to, from))).collect();
    insta::assert_compact_debug_snapshot!(
        links,
        @"[[0, 0, 0, 0], [22, 0, 21, 21], [21, 22, 0, 21], [21, 22, 21, 0]]"
    );
    for region in 0..4 {
        let owned = |host: usize| {
            (0..CHUNKS).filter(|chunk| plan.owner_candidates(*chunk, region)[0] == host).count()
        };
        let max_owned = plan.members(region).iter().map(|host| owned(*host)).max();
        assert!(max_owned <= Some(CHUNKS.div_ceil(10)), "{max_owned:?}");
    }
}

#[test]
fn the_first_region_reads_the_origin_if_the_store_region_has_no_host() {
    let plan =
        DistributionPlan::new(&manifest(), plan_hosts(0..6, 3), &RegionName::from("elsewhere"));
    assert_eq!(plan.region_name(plan.reader_region()).as_str(), "region-0");
}

#[test]
fn one_host_reads_the_manifest_from_the_origin_first() {
    let hosts = plan_hosts(0..12, 3);
    let (digest, store) = (manifest().digest(), RegionName::from("region-0"));
    let sources =
        |host: &PlanHost| DistributionPlan::manifest_sources(&digest, host, &hosts, &store);
    let readers = hosts.iter().filter(|host| sources(host).is_empty()).count();
    assert_eq!(readers, 1);
    assert!(hosts.iter().all(|host| !sources(host).contains(&host.name)));
}

#[test]
fn three_hosts_of_each_region_read_an_urgent_manifest_and_the_others_ask_different_ones() {
    let hosts = plan_hosts(0..45, 3);
    let digest = VersionDigest::from_bytes([7; 32]);
    let sources =
        |host: &PlanHost| DistributionPlan::urgent_manifest_sources(&digest, host, &hosts);
    for region in 0..3 {
        let region = RegionName::from(format!("region-{region}"));
        let members: Vec<&PlanHost> = hosts.iter().filter(|host| host.region == region).collect();
        let readers = members.iter().filter(|host| sources(host).is_empty()).count();
        assert_eq!(readers, 3, "{region}");
        let mut first_sources: Vec<HostName> =
            members.iter().filter_map(|host| sources(host).first().cloned()).collect();
        assert!(members.iter().all(|host| !sources(host).contains(&host.name)));
        first_sources.sort();
        first_sources.dedup();
        assert_eq!(first_sources.len(), 3, "the hosts of {region} ask only {first_sources:?}");
    }
}

proptest! {
    #[test]
    fn plans_agree_on_equal_lists_in_any_order(
        numbers in proptest::collection::vec(0_usize..60, 1..40),
        regions in 1_usize..5,
    ) {
        let mut reversed = numbers.clone();
        reversed.reverse();
        prop_assert_eq!(plan(plan_hosts(numbers, regions)), plan(plan_hosts(reversed, regions)));
    }

    #[test]
    fn plans_differ_little_while_lists_differ_and_agree_once_they_are_equal(
        numbers in proptest::collection::btree_set(0_usize..60, 2..40),
        missing in 0_usize..40,
    ) {
        let partial = numbers.iter().copied().filter(|number| *number != missing);
        let partial = plan(plan_hosts(partial.collect::<Vec<_>>(), 3));
        let full = plan(plan_hosts(numbers.clone(), 3));
        let changed = (0..CHUNKS).filter(|chunk| {
            let owner = |plan: &DistributionPlan| {
                let region = plan.reader_region();
                plan.owner(*chunk, region, |_| false).map(|host| plan.host_name(host).clone())
            };
            owner(&full) != owner(&partial)
        });
        // One host more or less moves the chunks that it owns, and others because of the limit on the
        // chunks that a host owns.
        let members = full.members(full.reader_region()).len();
        prop_assert!(changed.count() <= CHUNKS.min(4 * CHUNKS.div_ceil(members) + 8 * 4));
        prop_assert_eq!(plan(plan_hosts(numbers.clone(), 3)), full);
    }

    #[test]
    fn every_chunk_has_an_owner_and_a_gateway_while_one_host_is_alive(
        dead in proptest::collection::btree_set(0_usize..12, 0..12),
    ) {
        let plan = plan(plan_hosts(0..12, 3));
        let suspect = |host: usize| dead.contains(&host);
        for region in 0..plan.region_count() {
            let has_live_host = plan.members(region).iter().any(|host| !suspect(*host));
            for chunk in 0..CHUNKS {
                let owner = plan.owner(chunk, region, suspect);
                prop_assert_eq!(owner.is_some(), has_live_host);
                prop_assert!(owner.is_none_or(|host| !suspect(host)));
                let gateway = plan.gateway(chunk, region, suspect);
                prop_assert_eq!(gateway.is_some(), has_live_host);
                prop_assert!(gateway.is_none_or(|host| !suspect(host)));
            }
        }
    }
}
