//! Declared versions, the back-off of watches and polls, and hosts' turns in a rollout.

use buckthornwharf_core::direct::rollout::RolloutTurn;
use buckthornwharf_core::direct::version_choice::{CopyTimes, versions_to_load};
use buckthornwharf_core::direct::{
    DeclaredVersion, DeclaredVersions, PollBackoff, WatchBackoff, WatchTiming,
};
use buckthornwharf_core::prelude::*;

fn declared(version: u64, declared_at_ms: u64, required_from_ms: u64) -> DeclaredVersion {
    DeclaredVersion {
        version,
        declared_at: MonoTime::from_millis(declared_at_ms),
        required_from: MonoTime::from_millis(required_from_ms),
        begin_by: MonoTime::from_millis(required_from_ms + 500),
    }
}

#[test]
fn a_newer_declaration_does_not_postpone_the_retirement_of_an_older_version() {
    let mut versions = DeclaredVersions::default();
    assert!(versions.declare(declared(2, 0, 7000)));
    assert!(versions.declare(declared(3, 2000, 9000)));
    assert!(!versions.declare(declared(3, 2500, 9500)));
    assert_eq!(versions.required(MonoTime::from_millis(6999)), None);
    assert_eq!(versions.required(MonoTime::from_millis(7000)), Some(2));
    assert_eq!(versions.required(MonoTime::from_millis(9000)), Some(3));
    assert_eq!(versions.first_unmet(1).map(|unmet| unmet.version), Some(2));
    assert_eq!(versions.first_unmet(2).map(|unmet| unmet.version), Some(3));
    assert_eq!(versions.first_unmet(3), None);
}

#[test]
fn a_version_heard_of_late_is_required_when_it_would_have_been_if_heard_of_at_once() {
    let mut versions = DeclaredVersions::default();
    assert!(versions.declare(declared(2, 4000, 11_000)));
    assert!(!versions.declare(declared(2, 5000, 12_000)));
    assert!(versions.declare(declared(2, 100, 7100)));
    assert!(!versions.declare(declared(2, 90, 7090)), "transit and rounding");
    assert_eq!(versions.first_unmet(1), Some(declared(2, 100, 7100)));
    assert_eq!(versions.required(MonoTime::from_millis(7099)), None);
    assert_eq!(versions.required(MonoTime::from_millis(7100)), Some(2));
}

#[test]
fn the_earliest_times_hold_in_whatever_order_they_are_heard_of() {
    let from_agent = declared(2, 0, 7350);
    let from_snapshot = declared(2, 4000, 5500);
    for order in [[from_agent, from_snapshot], [from_snapshot, from_agent]] {
        let mut versions = DeclaredVersions::default();
        assert!(order.map(|times| versions.declare(times)).iter().all(|changed| *changed));
        assert_eq!(versions.newest(), Some(declared(2, 0, 5500)));
    }
}

#[test]
fn a_version_heard_of_after_a_newer_one_still_retires_those_before_it() {
    let mut versions = DeclaredVersions::default();
    assert!(versions.declare(declared(3, 2000, 9000)));
    assert!(versions.declare(declared(2, 0, 7000)));
    assert_eq!(versions.newest().map(|newest| newest.version), Some(3));
    assert_eq!(versions.required(MonoTime::from_millis(7000)), Some(2));
    assert_eq!(versions.first_unmet(1).map(|unmet| unmet.version), Some(2));
    let deciding = |at| versions.deciding(MonoTime::from_millis(at)).len();
    assert_eq!((deciding(6999), deciding(7000), deciding(9000)), (2, 2, 1));
    assert!(!versions.is_settled(MonoTime::from_millis(8999)));
    assert!(versions.is_settled(MonoTime::from_millis(9000)));
}

#[test]
fn an_unavailable_store_is_polled_often_and_its_recovery_is_reported_once() {
    let mut backoff = WatchBackoff::new(WatchTiming::PROMPT);
    let normal_timeout = backoff.timeout();
    let mut outage = Duration::ZERO;
    for _ in 0..20 {
        outage += backoff.record_failure() + backoff.timeout();
    }
    assert!(backoff.is_failing());
    assert!(backoff.timeout() < Duration::from_secs(1), "recovery is noticed within a second");
    assert!(outage < 20 * normal_timeout);
    assert!(backoff.record_success());
    assert!(!backoff.record_success());
    assert_eq!(backoff.timeout(), normal_timeout);
}

#[test]
fn turns_are_spread_and_all_start_before_the_old_version_is_retired() {
    let start = |turn: usize| {
        let held_at = MonoTime::from_millis(3000);
        let retire_at = MonoTime::from_millis(8000);
        RolloutTurn { held_at, previous_retire_at: None, retire_at, turn, hosts: 4 }.start_at()
    };
    let starts: Vec<MonoTime> = (0..4).map(start).collect();
    assert_eq!(starts[0], MonoTime::from_millis(3000));
    assert!(starts.is_sorted_by(|a, b| a < b));
    assert!(starts[3] < MonoTime::from_millis(7300));
}

#[test]
fn hosts_wait_for_hosts_that_are_a_version_behind_them() {
    let start = |turn: usize, previous_retire_ms: u64| {
        let held_at = MonoTime::from_millis(5000);
        let previous_retire_at = Some(MonoTime::from_millis(previous_retire_ms));
        let retire_at = MonoTime::from_millis(12_000);
        RolloutTurn { held_at, previous_retire_at, retire_at, turn, hosts: 4 }.start_at()
    };
    assert!(start(0, 8000) > MonoTime::from_millis(7000));
    assert!(start(3, 8000) < MonoTime::from_millis(11_300));
    assert_eq!(start(0, 3000), MonoTime::from_millis(5000), "no host is further behind");
    assert_eq!(start(0, 11_500), MonoTime::from_millis(5000), "too little time is left to wait");
}

#[test]
fn a_loaded_version_satisfies_the_declarations_up_to_it() {
    let mut versions = DeclaredVersions::default();
    versions.declare(declared(2, 0, 7000));
    versions.declare(declared(4, 2000, 9000));
    assert_eq!(versions.last_met(1), None);
    assert_eq!(versions.last_met(3).map(|met| met.version), Some(2));
    assert_eq!(versions.last_met(4).map(|met| met.version), Some(4));
}

#[test]
fn a_host_past_the_retirement_time_starts_at_once() {
    let held_at = MonoTime::from_millis(9000);
    let retire_at = MonoTime::from_millis(8000);
    let turn = RolloutTurn { held_at, previous_retire_at: None, retire_at, turn: 3, hosts: 4 };
    assert_eq!(turn.start_at(), held_at);
}

/// The versions that a host loads if they are declared at these times and retire others after 8 s, and
/// the host needs `seconds_left` to hold each.
fn chosen(now_ms: u64, declared_at_ms: &[u64], seconds_left: &[f64]) -> Vec<u64> {
    let times =
        CopyTimes { origin: Duration::from_millis(1700), link: Duration::from_millis(2200) };
    let versions: Vec<DeclaredVersion> =
        (2..).zip(declared_at_ms).map(|(version, at)| declared(version, *at, at + 8000)).collect();
    let time_left = |version: u64| Duration::from_secs_f64(seconds_left[version as usize - 2]);
    let chosen = versions_to_load(MonoTime::from_millis(now_ms), &versions, times, time_left);
    chosen.iter().map(|declared| declared.version).collect()
}

#[test]
fn a_version_is_finished_if_half_of_it_was_read_before_the_next_declaration() {
    assert_eq!(chosen(20_000, &[18_000, 20_000], &[1.0, 2.2]), [2, 3]);
    assert_eq!(chosen(22_000, &[18_000, 22_000], &[1.0, 2.2]), [2, 3]);
    assert_eq!(chosen(18_500, &[18_000, 18_500], &[2.0, 2.2]), [3]);
    assert_eq!(chosen(22_000, &[18_000, 20_000, 22_000], &[1.0, 1.0, 2.2]), [2, 3, 4]);
    assert_eq!(chosen(19_000, &[18_000, 18_500, 19_000], &[2.0, 2.0, 2.2]), [4]);
}

#[test]
fn a_version_is_not_loaded_before_one_that_is_held_or_if_it_is_retired_at_once() {
    assert_eq!(chosen(23_000, &[18_000, 20_000], &[0.5, 0.0]), [3]);
    assert_eq!(chosen(26_500, &[18_000, 20_000], &[0.0, 2.0]), [2, 3]);
    assert_eq!(chosen(26_500, &[18_000, 20_000], &[0.6, 2.0]), [3]);
    assert_eq!(chosen(27_500, &[18_000, 20_000], &[0.0, 2.0]), [3]);
}

#[test]
fn a_version_that_would_be_retired_during_its_rollout_gives_way_to_the_newer_one() {
    // Guards against an origin that comes back and is read for a version that hardly any host can still load.
    assert_eq!(chosen(25_400, &[18_000, 21_000], &[0.0, 2.0]), [2, 3]);
    assert_eq!(chosen(24_000, &[18_000, 21_000], &[1.0, 2.0]), [2, 3]);
    assert_eq!(chosen(24_600, &[18_000, 21_000], &[1.0, 2.0]), [3]);
}

#[test]
fn the_poll_interval_is_short_while_the_list_changes_and_doubles_otherwise() {
    let mut backoff = PollBackoff::default();
    assert_eq!(backoff.next_interval(true), Duration::from_secs(1));
    assert_eq!(backoff.next_interval(true), Duration::from_secs(1));
    let unchanged: Vec<u64> = (0..5).map(|_| backoff.next_interval(false).as_secs()).collect();
    assert_eq!(unchanged, [2, 4, 8, 8, 8]);
    backoff.reset();
    assert_eq!(backoff.next_interval(false), Duration::from_secs(1));
}

#[test]
fn a_list_that_grows_with_the_fleet_is_polled_less_often() {
    let mut backoff = PollBackoff::default();
    backoff.record_bytes(3000);
    assert_eq!(backoff.next_interval(true), Duration::from_secs(1));
    backoff.record_bytes(300 * 200);
    assert!(backoff.next_interval(true) > Duration::from_secs(14));
    assert_eq!(backoff.next_interval(false), backoff.min_interval());
}

#[test]
fn watch_calls_are_spread_while_targets_change_all_the_time() {
    let mut backoff = WatchBackoff::new(WatchTiming::TARGETS);
    let delays: Vec<u128> = (0..4).map(|_| backoff.next_delay(true).as_millis()).collect();
    assert_eq!(delays, [200, 400, 500, 500]);
    backoff.next_delay(false);
    assert_eq!(backoff.next_delay(true), Duration::from_millis(200));
    let mut prompt = WatchBackoff::new(WatchTiming::PROMPT);
    prompt.next_delay(true);
    assert_eq!(prompt.next_delay(true), Duration::from_millis(200));
}
