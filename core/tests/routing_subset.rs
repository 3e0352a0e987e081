//! Tests of the selection of links.

use buckthornwharf_core::config::{ConfigDocument, SiteConfig};
use buckthornwharf_core::membership::{HostPhase, HostRecord, HostRole};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::routing::subset::choose_fleet_links;
use proptest::prelude::*;

const SITES: [(&str, &str); 5] = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c")];

fn document() -> ConfigDocument {
    let sites = SITES.map(|(site, region)| {
        (SiteName::from(site), SiteConfig { region: RegionName::from(region) })
    });
    ConfigDocument { sites: sites.into_iter().collect(), ..ConfigDocument::default() }
}

fn record(role: HostRole, number: usize, service: Option<&str>) -> HostRecord {
    let address = "127.0.0.1:1".parse().unwrap();
    HostRecord {
        name: HostName::from(format!("{role}-{number:04}")),
        site: SITES[number % SITES.len()].0.into(),
        role,
        service: service.map(ServiceName::from),
        link: (role == HostRole::Agent).then_some(address),
        admin: address,
        phase: HostPhase::Live,
    }
}

fn fleet(entries: usize, agents: usize) -> Vec<HostRecord> {
    let entries = (0..entries).map(|number| record(HostRole::Entry, number, None));
    let agents = (0..agents).map(|number| record(HostRole::Agent, number, Some("chat")));
    entries.chain(agents).collect()
}

/// Minimum and maximum over the agents of the number of entries linked to them.
fn entry_count_range(hosts: &[HostRecord], max_links: usize) -> (usize, usize) {
    let links = choose_fleet_links(hosts, &document(), max_links);
    assert!(links.values().all(|links| links.len() <= max_links));
    let agents = hosts.iter().filter(|host| host.role == HostRole::Agent);
    let counts = agents.map(|agent| {
        links.values().filter(|links| links.binary_search(&agent.name).is_ok()).count()
    });
    let counts: Vec<usize> = counts.collect();
    (counts.iter().copied().min().unwrap_or(0), counts.iter().copied().max().unwrap_or(0))
}

#[test]
fn in_a_small_fleet_every_entry_links_to_every_agent() {
    assert_eq!(entry_count_range(&fleet(4, 12), 64), (4, 4));
}

#[test]
fn in_a_large_fleet_links_are_spread_evenly() {
    let entry_count_ranges = [(380, 1_900, 64), (50, 400, 40), (7, 100, 30)]
        .map(|(entries, agents, max_links)| entry_count_range(&fleet(entries, agents), max_links));
    insta::assert_snapshot!(format!("{entry_count_ranges:?}"), @"[(12, 13), (5, 5), (2, 3)]");
}

#[test]
fn entries_prefer_their_own_site_and_keep_some_remote_links() {
    let hosts = fleet(50, 400);
    let links = choose_fleet_links(&hosts, &document(), 40);
    let record_of = |name: &HostName| hosts.iter().find(|host| host.name == *name).unwrap();
    let local = links.iter().map(|(entry, agents)| {
        let site = &record_of(entry).site;
        agents.iter().filter(|agent| record_of(agent).site == *site).count()
    });
    let local: Vec<usize> = local.collect();
    insta::assert_snapshot!(format!("{:?} to {:?} of 40", local.iter().min(), local.iter().max()), @"Some(30) to Some(40) of 40");
}

/// Links of the first fleet that are missing in the second, in percent.
fn moved_percent(before: &[HostRecord], after: &[HostRecord], max_links: usize) -> usize {
    let before = choose_fleet_links(before, &document(), max_links);
    let after = choose_fleet_links(after, &document(), max_links);
    let total: usize = before.values().map(Vec::len).sum();
    let kept = after.iter().map(|(entry, links)| {
        let old = before.get(entry);
        links.iter().filter(|link| old.is_some_and(|old| old.contains(link))).count()
    });
    100 * (total - kept.sum::<usize>()) / total
}

/// The first host removed is an entry, which lowers the mean number of entries per agent from 5 to
/// just below 5 and so moves more links; the others are agents.
#[test]
fn a_small_change_of_the_fleet_moves_few_links() {
    let hosts = fleet(50, 400);
    let without = |number: usize| {
        let mut hosts = hosts.clone();
        hosts.remove(number);
        moved_percent(&fleet(50, 400), &hosts, 40)
    };
    let moved = [without(7), without(60), without(449)];
    insta::assert_snapshot!(format!("{moved:?}"), @"[18, 1, 0]");
}

#[test]
fn leaving_hosts_are_not_linked() {
    let mut hosts = fleet(3, 30);
    hosts[10].phase = HostPhase::Leaving;
    let links = choose_fleet_links(&hosts, &document(), 64);
    assert!(links.values().all(|links| links.len() == 29 && !links.contains(&hosts[10].name)));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// In fleets up to the planned size, no entry exceeds `max_links`, every agent is linked if the
    /// links suffice, and agents deviate from the mean number of entries by at most 10% plus 2.
    #[test]
    fn links_are_bounded_and_even(
        entries in 1usize..=380,
        agents in 1usize..=1_900,
        max_links in 8usize..=96,
        seed in any::<u64>(),
    ) {
        let mut hosts = fleet(entries, agents);
        for (number, host) in hosts.iter_mut().enumerate() {
            let random = (seed.wrapping_mul(2 * number as u64 + 1) >> 33) as usize;
            host.site = SITES[random % SITES.len()].0.into();
        }
        let (min_entries, max_entries) = entry_count_range(&hosts, max_links);
        let quota = max_links.min(agents).max(1);
        let mean = (entries * quota) as f64 / agents as f64;
        if entries * quota >= agents {
            prop_assert!(min_entries >= 1, "an agent has no entry");
        }
        prop_assert!(max_entries as f64 <= mean * 1.1 + 2.0, "{max_entries} of mean {mean}");
        prop_assert!(min_entries as f64 >= mean * 0.9 - 2.0, "{min_entries} of mean {mean}");
    }

    /// Each service gets its minimum of an entry's links.
    #[test]
    fn every_service_is_linked(entries in 2usize..60, agents in 20usize..300) {
        let mut hosts = fleet(entries, agents);
        for (number, host) in hosts.iter_mut().enumerate() {
            let is_rare = number % 11 == 0;
            host.service = host.service.as_ref().map(|_| if is_rare { "ledger" } else { "chat" }.into());
        }
        let links = choose_fleet_links(&hosts, &document(), 48);
        for service in ["ledger", "chat"] {
            let serves = |name: &HostName| {
                hosts.iter().any(|host| host.name == *name && host.service == Some(service.into()))
            };
            let size = hosts.iter().filter(|host| host.service == Some(service.into())).count();
            for links in links.values() {
                prop_assert!(links.len() <= 48);
                let linked = links.iter().filter(|name| serves(name)).count();
                prop_assert!(linked >= size.min(3), "{linked} of {size}");
            }
        }
    }
}
