//! The target catalog of an entry, across outages of the registry.

use buckthornwharf_core::direct::{RegisteredTarget, TargetCatalog, TargetPhase};
use buckthornwharf_core::prelude::*;
use std::net::SocketAddr;

fn target(id: &str, phase: TargetPhase) -> RegisteredTarget {
    RegisteredTarget {
        id: id.into(),
        service: "ledger".into(),
        address: address(id.as_bytes()[0]),
        site: "a".into(),
        slots: 6,
        phase,
        models: Vec::new(),
        started_unix_ms: 0,
        cold_remaining: None,
    }
}

/// The address of the targets whose ids begin with `letter`.
fn address(letter: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::from(letter)))
}

fn started(id: &str, started_unix_ms: u64) -> RegisteredTarget {
    RegisteredTarget { started_unix_ms, ..target(id, TargetPhase::Ready) }
}

fn ids(catalog: &TargetCatalog) -> Vec<String> {
    catalog.iter().map(|record| record.id.to_string()).collect()
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn a_removal_takes_effect_at_once_without_an_outage() {
    let mut catalog = TargetCatalog::new();
    catalog.replace(at(0), vec![target("a", TargetPhase::Ready), target("b", TargetPhase::Ready)]);
    assert!(catalog.remove(at(100), "a"));
    assert_eq!(ids(&catalog), ["b"]);
    assert_eq!(catalog.next_expiry(), None);
}

#[test]
fn targets_killed_at_once_are_superseded_by_their_restarts_at_the_same_addresses() {
    let mut catalog = TargetCatalog::new();
    let earlier = ["a1", "b1", "c1"].map(|id| started(id, 1000));
    let restarted = ["a2", "b2"].map(|id| started(id, 2000));
    catalog.replace(at(0), earlier.into_iter().chain(restarted).collect());
    assert_eq!(ids(&catalog), ["a2", "b2", "c1"]);
    catalog.put(started("c2", 3000));
    assert_eq!(ids(&catalog), ["a2", "b2", "c2"]);
}

#[test]
fn a_target_whose_clock_was_set_back_before_its_restart_supersedes_none() {
    let mut catalog = TargetCatalog::new();
    catalog.put(started("a1", 2000));
    catalog.put(started("a2", 1000));
    assert_eq!(ids(&catalog), ["a1", "a2"]);
}

#[test]
fn a_registration_for_another_service_supersedes_no_target_at_its_address() {
    let mut catalog = TargetCatalog::new();
    catalog.put(started("a1", 1000));
    catalog.put(RegisteredTarget { service: "unknown".into(), ..started("a2", 2000) });
    assert_eq!(ids(&catalog), ["a1", "a2"]);
}

#[test]
fn a_superseded_target_that_lapsed_in_an_outage_expires_without_effect() {
    let mut catalog = TargetCatalog::new();
    catalog.put(started("a1", 1000));
    catalog.registry_recovered(at(0));
    catalog.remove(at(10), "a1");
    catalog.put(started("a2", 2000));
    assert_eq!(ids(&catalog), ["a2"]);
    assert_eq!(catalog.next_expiry(), None);
}

#[test]
fn targets_that_lapsed_in_an_outage_are_kept_for_two_seconds() {
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
fn a_listing_without_a_target_removes_it() {
    let mut catalog = TargetCatalog::new();
    catalog.replace(at(0), vec![target("a", TargetPhase::Ready), target("b", TargetPhase::Ready)]);
    catalog.replace(at(10), vec![target("b", TargetPhase::Draining)]);
    assert_eq!(ids(&catalog), ["b"]);
    assert_eq!(catalog.get("b").map(|record| record.phase), Some(TargetPhase::Draining));
}
