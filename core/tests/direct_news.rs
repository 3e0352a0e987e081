//! Which entries an agent hears of versions from, and when it has to watch the store itself.

use buckthornwharf_core::direct::{NewsCoverage, news_sources};
use buckthornwharf_core::prelude::*;
use proptest::prelude::*;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn key(name: &str) -> Arc<str> {
    Arc::from(name)
}

#[test]
fn an_agent_relies_on_entries_for_as_long_as_one_of_them_is_heard() {
    let mut coverage = NewsCoverage::default();
    assert_eq!(coverage.covered_until(at(0)), None);
    coverage.heard(at(0), &key("a"), true);
    coverage.heard(at(1000), &key("b"), true);
    assert_eq!(coverage.covered_until(at(1000)), Some(at(3500)));
    coverage.lost("b");
    assert_eq!(coverage.covered_until(at(1000)), Some(at(2500)));
    assert_eq!(coverage.covered_until(at(2500)), None);
}

#[test]
fn an_entry_that_cannot_watch_the_store_is_not_relied_on() {
    let mut coverage = NewsCoverage::default();
    coverage.heard(at(0), &key("a"), false);
    assert_eq!(coverage.covered_until(at(0)), None);
    coverage.heard(at(10), &key("a"), true);
    assert!(coverage.covered_until(at(10)).is_some());
    coverage.heard(at(20), &key("a"), false);
    assert_eq!(coverage.covered_until(at(20)), None);
}

proptest! {
    #[test]
    fn sources_are_few_and_of_the_own_region_as_far_as_it_has_entries(
        regions in prop::collection::vec(0_u8..4, 0..30),
        host in "[a-z]{1,8}",
    ) {
        let entries: Vec<(Arc<str>, RegionName)> = regions
            .iter()
            .enumerate()
            .map(|(number, region)| (key(&format!("entry-{number}")), format!("r{region}").into()))
            .collect();
        let listed = || entries.iter().map(|(key, region)| (key, region));
        let region = RegionName::from("r0");
        let host = HostName::from(host);
        let sources = news_sources(&host, &region, listed());
        prop_assert_eq!(sources.len(), entries.len().min(3));
        let is_local = |source: &Arc<str>| listed().any(|(key, of)| key == source && *of == region);
        let local = listed().filter(|(_, of)| **of == region).count();
        prop_assert_eq!(sources.iter().filter(|source| is_local(source)).count(), local.min(3));
        prop_assert_eq!(news_sources(&host, &region, listed().rev()), sources);
    }
}
