//! Tests of the choice of links.

use buckthornwharf_core::config::{ConfigDocument, SiteConfig};
use buckthornwharf_core::membership::{HostPhase, HostRecord, HostRole};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::routing::subset::choose_all_links;

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

/// Entries that link to each agent, fewest and most.
fn spread(hosts: &[HostRecord], max_links: usize) -> (usize, usize) {
    let links = choose_all_links(hosts, &document(), max_links);
    assert!(links.values().all(|links| links.len() <= max_links));
    let agents = hosts.iter().filter(|host| host.role == HostRole::Agent);
    let counts = agents.map(|agent| {
        links.values().filter(|links| links.binary_search(&agent.name).is_ok()).count()
    });
    let counts: Vec<usize> = counts.collect();
    (counts.iter().copied().min().unwrap_or(0), counts.iter().copied().max().unwrap_or(0))
}

#[test]
fn a_small_fleet_is_linked_in_full() {
    assert_eq!(spread(&fleet(4, 12), 64), (4, 4));
}

#[test]
fn a_large_fleet_is_linked_evenly() {
    let spreads = [(380, 1_900, 64), (50, 400, 40), (7, 100, 30)]
        .map(|(entries, agents, max_links)| spread(&fleet(entries, agents), max_links));
    insta::assert_snapshot!(format!("{spreads:?}"), @"[(12, 13), (4, 5), (2, 3)]");
}
