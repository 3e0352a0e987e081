//! The targets that an entry believes in, across outages of the registry.

use buckthornwharf_core::direct::{RegisteredTarget, TargetCatalog, TargetPhase};
use buckthornwharf_core::prelude::*;

fn target(id: &str, phase: TargetPhase) -> RegisteredTarget {
    RegisteredTarget {
        id: id.into(),
        service: "ledger".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        site: "a".into(),
        slots: 6,
        phase,
        models: Vec::new(),
        started_unix_ms: 0,
    }
}

fn ids(catalog: &TargetCatalog) -> Vec<String> {
    catalog.iter().map(|record| record.id.to_string()).collect()
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn a_removal_counts_at_once_while_the_registry_is_sound() {
    let mut catalog = TargetCatalog::new();
    catalog.replace(at(0), vec![target("a", TargetPhase::Ready), target("b", TargetPhase::Ready)]);
    assert!(catalog.remove(at(100), "a"));
    assert_eq!(ids(&catalog), ["b"]);
    assert_eq!(catalog.next_expiry(), None);
}

#[test]
fn what_lapsed_in_an_outage_has_two_seconds_to_come_back() {
    let mut catalog = TargetCatalog::new();
    catalog.replace(at(0), vec![target("a", TargetPhase::Ready), target("b", TargetPhase::Ready)]);
    catalog.registry_recovered(at(10_000));
    assert!(!catalog.remove(at(10_050), "a"));
    assert!(!catalog.remove(at(10_060), "b"));
    assert_eq!(catalog.next_expiry(), Some(at(12_000)));
    catalog.put(target("b", TargetPhase::Ready));
    assert!(catalog.expire(at(11_999)).is_empty());
    assert_eq!(catalog.expire(at(12_000)), [Arc::from("a")]);
    assert_eq!(ids(&catalog), ["b"]);
}

#[test]
fn a_list_that_lacks_a_target_removes_it() {
    let mut catalog = TargetCatalog::new();
    catalog.replace(at(0), vec![target("a", TargetPhase::Ready), target("b", TargetPhase::Ready)]);
    catalog.replace(at(10), vec![target("b", TargetPhase::Draining)]);
    assert_eq!(ids(&catalog), ["b"]);
    assert_eq!(catalog.get("b").map(|record| record.phase), Some(TargetPhase::Draining));
}
