//! The plan of the spread: agreement, balance and takeover.

use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::{DistributionPlan, PlanHost, VersionManifest};
use proptest::prelude::*;

const CHUNKS: usize = 64;

fn manifest() -> VersionManifest {
    let content: Vec<u8> = (0..CHUNKS * 8).map(|index| (index / 8) as u8).collect();
    VersionManifest::of_content(&content, 8)
}

fn places(numbers: impl IntoIterator<Item = usize>, regions: usize) -> Vec<PlanHost> {
    let place = |index: usize| PlanHost {
        name: HostName::from(format!("host-{index:03}")),
        region: RegionName::from(format!("region-{}", index % regions)),
    };
    numbers.into_iter().map(place).collect()
}

fn plan(places: Vec<PlanHost>) -> DistributionPlan {
    DistributionPlan::new(&manifest(), places, &RegionName::from("region-0"))
}

#[test]
fn chunks_are_split_evenly_over_links_and_homes() {
    let plan = plan(places(0..40, 4));
    let from = |to: usize, from: usize| {
        (0..CHUNKS).filter(|chunk| plan.source_region(*chunk, to) == Some(from)).count()
    };
    let links: Vec<[usize; 4]> = (0..4).map(|to| [0, 1, 2, 3].map(|r| from(to, r))).collect();
    insta::assert_compact_debug_snapshot!(
        links,
        @"[[0, 0, 0, 0], [22, 0, 21, 21], [21, 22, 0, 21], [21, 22, 21, 0]]"
    );
    for region in 0..4 {
        let owner_candidates = |host: usize| {
            (0..CHUNKS).filter(|chunk| plan.owner_candidates(*chunk, region)[0] == host).count()
        };
        let most = plan.members(region).iter().map(|host| owner_candidates(*host)).max();
        assert!(most <= Some(CHUNKS.div_ceil(10)), "{most:?}");
    }
}

#[test]
fn the_reader_is_the_first_region_if_the_stores_has_no_host() {
    let plan = DistributionPlan::new(&manifest(), places(0..6, 3), &RegionName::from("elsewhere"));
    assert_eq!(plan.region_name(plan.reader_region()).as_str(), "region-0");
}

#[test]
fn the_manifest_is_asked_of_the_origin_by_one_host_first() {
    let hosts = places(0..12, 3);
    let (digest, store) = (manifest().digest(), RegionName::from("region-0"));
    let sources = |me: &PlanHost| DistributionPlan::manifest_sources(&digest, me, &hosts, &store);
    let first = hosts.iter().filter(|me| sources(me).is_empty()).count();
    assert_eq!(first, 1);
    assert!(hosts.iter().all(|me| !sources(me).contains(&me.name)));
}

#[test]
fn a_few_hosts_of_each_region_read_a_timely_manifest_and_the_others_spread_over_them() {
    let hosts = places(0..45, 3);
    let digest = VersionDigest::from_bytes([7; 32]);
    let sources = |me: &PlanHost| DistributionPlan::urgent_manifest_sources(&digest, me, &hosts);
    for region in 0..3 {
        let region = RegionName::from(format!("region-{region}"));
        let members: Vec<&PlanHost> = hosts.iter().filter(|host| host.region == region).collect();
        let readers = members.iter().filter(|me| sources(me).is_empty()).count();
        assert_eq!(readers, 3, "{region}");
        let mut firsts: Vec<HostName> =
            members.iter().filter_map(|me| sources(me).first().cloned()).collect();
        assert!(members.iter().all(|me| !sources(me).contains(&me.name)));
        firsts.sort();
        firsts.dedup();
        assert_eq!(firsts.len(), 3, "all of {region} ask {firsts:?}");
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
        prop_assert_eq!(plan(places(numbers, regions)), plan(places(reversed, regions)));
    }

    #[test]
    fn plans_converge_once_the_lists_are_equal(
        numbers in proptest::collection::btree_set(0_usize..60, 2..40),
        missing in 0_usize..40,
    ) {
        let late = numbers.iter().copied().filter(|number| *number != missing);
        let late = plan(places(late.collect::<Vec<_>>(), 3));
        let own = plan(places(numbers.clone(), 3));
        let changed = (0..CHUNKS).filter(|chunk| {
            let owner = |plan: &DistributionPlan| {
                let region = plan.reader_region();
                plan.owner(*chunk, region, |_| false).map(|host| plan.host_name(host).clone())
            };
            owner(&own) != owner(&late)
        });
        // A host more or less moves its own chunks and those that the bound on loads pushes on.
        let members = own.members(own.reader_region()).len();
        prop_assert!(changed.count() <= CHUNKS.min(4 * CHUNKS.div_ceil(members) + 8 * 4));
        prop_assert_eq!(plan(places(numbers.clone(), 3)), own);
    }

    #[test]
    fn every_chunk_has_a_home_and_a_gateway_while_one_host_lives(
        dead in proptest::collection::btree_set(0_usize..12, 0..12),
    ) {
        let plan = plan(places(0..12, 3));
        let suspect = |host: usize| dead.contains(&host);
        for region in 0..plan.region_count() {
            let lives = plan.members(region).iter().any(|host| !suspect(*host));
            for chunk in 0..CHUNKS {
                let owner = plan.owner(chunk, region, suspect);
                prop_assert_eq!(owner.is_some(), lives);
                prop_assert!(owner.is_none_or(|host| !suspect(host)));
                let gateway = plan.gateway(chunk, region, suspect);
                prop_assert_eq!(gateway.is_some(), lives);
                prop_assert!(gateway.is_none_or(|host| !suspect(host)));
            }
        }
    }
}
