//! Tests of the choice of a target.

use buckthornwharf_core::frame::TargetState;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::routing::{PickAffinity, PickRequest, TargetPicker};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A picker with its service, driven by host numbers.
struct PickerHarness {
    picker: TargetPicker,
    service: ServiceName,
    rng: StdRng,
}

impl PickerHarness {
    fn new() -> Self {
        let sites = [("a1", "a"), ("a2", "a"), ("b1", "b")];
        let regions = sites.map(|(site, region)| (SiteName::from(site), RegionName::from(region)));
        let picker = TargetPicker::new(regions.into_iter().collect());
        Self { picker, service: "chat".into(), rng: StdRng::seed_from_u64(7) }
    }

    fn with_targets(site: &str, count: usize) -> Self {
        let mut harness = Self::new();
        for number in 0..count {
            harness.report(0, &host(number), site, idle());
        }
        harness
    }

    fn report(&mut self, at_ms: u64, host: &HostName, site: &str, state: TargetState) {
        self.picker.on_state(MonoTime::from_millis(at_ms), host, &site.into(), &state);
    }

    fn pick(&mut self, at_ms: u64, affinity: PickAffinity, avoid: &[HostName]) -> Option<HostName> {
        let request = PickRequest {
            service: &self.service,
            site: &"a1".into(),
            affinity,
            needs_digest: true,
            avoid,
        };
        let picked = self.picker.pick(MonoTime::from_millis(at_ms), &request, &mut self.rng);
        picked.map(|picked| picked.host)
    }

    fn send(&mut self, at_ms: u64, host: &HostName) {
        self.picker.on_sent(MonoTime::from_millis(at_ms), host);
    }

    fn end(&mut self, at_ms: u64, host: &HostName, code: ResultCode) {
        let latency = Duration::from_millis(5);
        self.picker.on_end(MonoTime::from_millis(at_ms), host, code, latency);
    }
}

fn host(number: usize) -> HostName {
    HostName::from(format!("agent-{number:03}"))
}

fn idle() -> TargetState {
    TargetState {
        service: "chat".into(),
        serving: Some(VersionDigest::from_bytes([1; 32])),
        accepting: true,
        leaving: false,
        running: 0,
        waiting: 0,
        waiting_tokens: 0,
        serving_for_ms: 600_000,
    }
}

#[test]
fn closed_leaving_avoided_and_empty_targets_are_never_picked() {
    let mut harness = PickerHarness::with_targets("a1", 5);
    harness.report(1, &host(0), "a1", TargetState { accepting: false, ..idle() });
    harness.report(1, &host(1), "a1", TargetState { leaving: true, ..idle() });
    harness.report(1, &host(2), "a1", TargetState { serving: None, ..idle() });
    for _ in 0..200 {
        assert_eq!(harness.pick(2, PickAffinity::None, &[host(3)]), Some(host(4)));
        assert_eq!(harness.pick(2, PickAffinity::Prefix(9), &[host(3)]), Some(host(4)));
    }
    harness.picker.on_link_lost(MonoTime::from_millis(3), &host(4));
    assert_eq!(harness.pick(4, PickAffinity::None, &[host(3)]), None);
}

#[test]
fn each_target_is_asked_for_the_digest_that_it_serves() {
    let mut harness = PickerHarness::with_targets("a1", 1);
    let other = VersionDigest::from_bytes([2; 32]);
    harness.report(0, &host(1), "a1", TargetState { serving: Some(other), ..idle() });
    let request = PickRequest {
        service: &"chat".into(),
        site: &"a1".into(),
        affinity: PickAffinity::None,
        needs_digest: true,
        avoid: &[host(0)],
    };
    let picked = harness.picker.pick(MonoTime::ZERO, &request, &mut harness.rng).unwrap();
    assert_eq!((picked.host, picked.digest), (host(1), Some(other)));
}

#[test]
fn the_own_site_goes_first_then_its_region() {
    let mut harness = PickerHarness::new();
    harness.report(0, &host(0), "b1", idle());
    assert_eq!(harness.pick(0, PickAffinity::None, &[]), Some(host(0)));
    harness.report(0, &host(1), "a2", idle());
    assert_eq!(harness.pick(0, PickAffinity::None, &[]), Some(host(1)));
    harness.report(0, &host(2), "a1", idle());
    assert_eq!(harness.pick(0, PickAffinity::None, &[]), Some(host(2)));
    let busy = TargetState { running: 8, waiting: 20, ..idle() };
    harness.report(0, &host(2), "a1", busy);
    assert_eq!(harness.pick(0, PickAffinity::None, &[]), Some(host(1)));
}

#[test]
fn a_prefix_stays_with_its_target_until_the_target_is_busier_than_others() {
    let mut harness = PickerHarness::with_targets("a1", 10);
    let first = harness.pick(0, PickAffinity::Prefix(42), &[]).unwrap();
    for _ in 0..20 {
        assert_eq!(harness.pick(0, PickAffinity::Prefix(42), &[]).as_ref(), Some(&first));
    }
    let busy = TargetState { running: 30, ..idle() };
    harness.report(0, &first, "a1", busy);
    assert_ne!(harness.pick(0, PickAffinity::Prefix(42), &[]).as_ref(), Some(&first));
    assert_eq!(harness.pick(0, PickAffinity::Key(42), &[]), Some(first));
}

#[test]
fn a_target_that_fails_fast_attracts_no_traffic() {
    let mut harness = PickerHarness::with_targets("a1", 10);
    let mut failed = 0;
    for at_ms in 0..2_000 {
        let target = harness.pick(at_ms, PickAffinity::None, &[]).unwrap();
        harness.send(at_ms, &target);
        if target == host(3) {
            failed += 1;
            harness.end(at_ms, &target, ResultCode::TargetFailed);
        } else if at_ms >= 50 {
            harness.end(at_ms, &target, ResultCode::Ok);
        }
    }
    assert!(failed <= 10, "{failed} of 2000 went to the failing target");
}
