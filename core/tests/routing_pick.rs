//! Tests of target selection.

use buckthornwharf_core::frame::TargetState;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::routing::{PickAffinity, PickRequest, TargetPicker};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A picker for one service, with hosts addressed by number.
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
        self.picker.on_attempt_start(MonoTime::from_millis(at_ms), host);
    }

    fn end(&mut self, at_ms: u64, host: &HostName, code: ResultCode) {
        let latency = Duration::from_millis(5);
        self.picker.on_attempt_end(MonoTime::from_millis(at_ms), host, code, latency);
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
fn targets_that_cannot_serve_or_are_avoided_are_never_picked() {
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
fn the_picked_digest_is_the_one_that_the_target_serves() {
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
fn the_own_site_is_preferred_then_its_region() {
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
fn prefix_affinity_holds_until_the_target_is_busier_than_others() {
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
fn a_fast_failing_target_attracts_no_traffic() {
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

/// Number of picks out of 1,000 that go to `wanted`.
fn picks_of(harness: &mut PickerHarness, at_ms: u64, wanted: &HostName) -> usize {
    (0..1_000)
        .filter(|_| harness.pick(at_ms, PickAffinity::None, &[]).as_ref() == Some(wanted))
        .count()
}

#[test]
fn an_ejected_target_is_probed_one_attempt_at_a_time() {
    let mut harness = PickerHarness::with_targets("a1", 2);
    for at_ms in 0..3 {
        harness.send(at_ms, &host(0));
        harness.end(at_ms, &host(0), ResultCode::TargetFailed);
    }
    assert_eq!(picks_of(&mut harness, 900, &host(0)), 0);
    harness.report(30_000, &host(0), "a1", idle());
    harness.report(30_000, &host(1), "a1", TargetState { running: 90, ..idle() });
    assert_eq!(picks_of(&mut harness, 30_000, &host(0)), 1_000);
    harness.send(30_000, &host(0));
    assert_eq!(picks_of(&mut harness, 30_000, &host(0)), 0);
    harness.end(30_001, &host(0), ResultCode::Ok);
    assert_eq!(picks_of(&mut harness, 30_001, &host(0)), 1_000);
}

#[test]
fn if_all_targets_are_ejected_one_is_still_tried() {
    let mut harness = PickerHarness::with_targets("a1", 3);
    for number in (0..3).cycle().take(12) {
        harness.send(0, &host(number));
        harness.end(0, &host(number), ResultCode::TargetFailed);
    }
    assert!(harness.pick(1, PickAffinity::None, &[]).is_some());
    assert_eq!(harness.pick(1, PickAffinity::None, &[host(0), host(1)]), Some(host(2)));
}

#[test]
fn a_new_target_ramps_up_slowly() {
    let mut harness = PickerHarness::with_targets("a1", 4);
    for number in 0..4 {
        harness.report(0, &host(number), "a1", TargetState { running: 5, ..idle() });
    }
    harness.report(0, &host(0), "a1", TargetState { serving_for_ms: 0, ..idle() });
    assert_eq!(picks_of(&mut harness, 500, &host(0)), 0);
    for number in 1..4 {
        harness.report(9_000, &host(number), "a1", TargetState { running: 5, ..idle() });
    }
    harness.report(9_000, &host(0), "a1", TargetState { serving_for_ms: 9_000, ..idle() });
    assert!(picks_of(&mut harness, 9_000, &host(0)) > 300);
}

#[test]
fn a_stale_report_of_little_load_attracts_no_traffic() {
    let mut harness = PickerHarness::with_targets("a1", 4);
    for number in 1..4 {
        harness.report(10_000, &host(number), "a1", TargetState { running: 4, ..idle() });
    }
    assert!(picks_of(&mut harness, 10_000, &host(0)) < 400);
    harness.report(10_000, &host(0), "a1", idle());
    assert!(picks_of(&mut harness, 10_000, &host(0)) > 400);
}

#[test]
fn a_slow_target_gets_less_traffic() {
    let mut harness = PickerHarness::with_targets("a1", 4);
    for round in 0..100 {
        for number in 0..4 {
            harness.send(round, &host(number));
            let latency = Duration::from_millis(if number == 0 { 4_000 } else { 1_000 });
            let now = MonoTime::from_millis(round);
            harness.picker.on_attempt_end(now, &host(number), ResultCode::Ok, latency);
        }
    }
    assert_eq!(picks_of(&mut harness, 100, &host(0)), 0);
    assert!(picks_of(&mut harness, 60_000, &host(0)) > 150);
}

#[test]
fn a_retry_after_overload_picks_only_uncongested_targets() {
    let mut harness = PickerHarness::with_targets("a1", 2);
    let congested = TargetState { running: 8, waiting: 5, ..idle() };
    harness.report(1, &host(0), "a1", congested.clone());
    let (service, site) = (harness.service.clone(), SiteName::from("a1"));
    let request = PickRequest {
        service: &service,
        site: &site,
        affinity: PickAffinity::None,
        needs_digest: true,
        avoid: &[host(0)],
    };
    let now = MonoTime::from_millis(2);
    let picked = harness.picker.pick_uncongested(now, &request, &mut harness.rng);
    assert_eq!(picked.map(|picked| picked.host), Some(host(1)));
    harness.report(2, &host(1), "a1", congested);
    assert_eq!(harness.picker.pick_uncongested(now, &request, &mut harness.rng), None);
}

/// One operation on a picker.
#[derive(Debug, Clone)]
enum PickerStep {
    Report { host: usize, accepting: bool, leaving: bool, serving: bool, running: u32 },
    LoseLink(usize),
    Send(usize),
    End(usize, ResultCode),
    Pick { affinity: PickAffinity, avoid: Vec<usize> },
}

const CODES: [ResultCode; 6] = [
    ResultCode::Ok,
    ResultCode::TargetFailed,
    ResultCode::LinkLost,
    ResultCode::Overloaded,
    ResultCode::NotServing,
    ResultCode::Cancelled,
];

fn any_step() -> impl Strategy<Value = PickerStep> {
    let hosts = 0usize..12;
    let affinity = prop_oneof![
        Just(PickAffinity::None),
        any::<u64>().prop_map(PickAffinity::Prefix),
        any::<u64>().prop_map(PickAffinity::Key),
    ];
    let state = (hosts.clone(), any::<bool>(), 0u32..4, 0u32..4, 0u32..20);
    let report = state.prop_map(|(host, accepting, leaving, serving, running)| {
        PickerStep::Report { host, accepting, leaving: leaving == 0, serving: serving > 0, running }
    });
    let end = (hosts.clone(), prop::sample::select(CODES.to_vec()));
    let pick = (affinity, prop::collection::vec(hosts.clone(), 0..4));
    prop_oneof![
        4 => report,
        1 => hosts.clone().prop_map(PickerStep::LoseLink),
        3 => hosts.prop_map(PickerStep::Send),
        3 => end.prop_map(|(host, code)| PickerStep::End(host, code)),
        6 => pick.prop_map(|(affinity, avoid)| PickerStep::Pick { affinity, avoid }),
    ]
}

fn site_of(number: usize) -> &'static str {
    ["a1", "a2", "b1"][number % 3]
}

proptest! {
    /// `pick` returns only linked, open targets that are not avoided, and `None` only if there are
    /// none.
    #[test]
    fn only_open_targets_are_picked(steps in prop::collection::vec(any_step(), 1..120)) {
        let mut harness = PickerHarness::new();
        let mut open = [false; 12];
        for (at, step) in steps.into_iter().enumerate() {
            let at_ms = at as u64 * 100;
            match step {
                PickerStep::Report { host: number, accepting, leaving, serving, running } => {
                    open[number] = accepting && !leaving && serving;
                    let serving = serving.then_some(VersionDigest::from_bytes([1; 32]));
                    let state = TargetState { serving, accepting, leaving, running, ..idle() };
                    harness.report(at_ms, &host(number), site_of(number), state);
                }
                PickerStep::LoseLink(number) => {
                    open[number] = false;
                    harness.picker.on_link_lost(MonoTime::from_millis(at_ms), &host(number));
                }
                PickerStep::Send(number) => harness.send(at_ms, &host(number)),
                PickerStep::End(number, code) => harness.end(at_ms, &host(number), code),
                PickerStep::Pick { affinity, avoid } => {
                    let avoided: Vec<HostName> = avoid.iter().map(|number| host(*number)).collect();
                    let allowed: Vec<HostName> = (0..12)
                        .filter(|number| open[*number] && !avoid.contains(number))
                        .map(host)
                        .collect();
                    match harness.pick(at_ms, affinity, &avoided) {
                        Some(picked) => prop_assert!(allowed.contains(&picked)),
                        None => prop_assert!(allowed.is_empty()),
                    }
                }
            }
        }
    }
}
