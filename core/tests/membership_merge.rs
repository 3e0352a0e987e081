//! Tests of the membership merge (list of hosts, links and leave notices) and of leases.

use buckthornwharf_core::membership::merge::{
    LEAVE_NOTICE_RETENTION, LINK_LIVENESS_TIMEOUT, SHRINK_HOLD_DOWN, poll_interval,
};
use buckthornwharf_core::membership::{
    HeldLease, HostPhase, HostRecord, HostRole, LeaseExpiredError, MembershipEvent, MembershipMerge,
};
use buckthornwharf_core::prelude::*;
use proptest::prelude::*;

const OLD_INCARNATION: HostIncarnation = HostIncarnation(1);
const NEW_INCARNATION: HostIncarnation = HostIncarnation(2);

fn record(name: &str, phase: HostPhase) -> HostRecord {
    HostRecord {
        name: name.into(),
        site: "nbo-a".into(),
        role: HostRole::Agent,
        service: Some("grant-llm".into()),
        link: None,
        admin: "127.0.0.1:1".parse().expect("an address"),
        phase,
    }
}

fn list(names: &[&str]) -> MembershipEvent {
    MembershipEvent::List(names.iter().map(|name| record(name, HostPhase::Live)).collect())
}

fn alive(host: &str, incarnation: HostIncarnation) -> MembershipEvent {
    MembershipEvent::Alive { host: host.into(), incarnation }
}

fn leaving(host: &str, incarnation: HostIncarnation) -> MembershipEvent {
    MembershipEvent::Leaving { host: host.into(), incarnation }
}

/// Applies each event at its time in seconds, and prints the records after it.
fn run(events: Vec<(u64, &str, MembershipEvent)>) -> String {
    let mut merge = MembershipMerge::default();
    let mut lines = Vec::new();
    for (second, description, event) in events {
        merge.on_event(MonoTime::from_millis(second * 1000), event);
        let hosts = merge.records().iter().map(|host| match host.phase {
            HostPhase::Live => host.name.to_string(),
            HostPhase::Leaving => format!("({})", host.name),
        });
        lines.push(format!("{second} s, {description}: {}", hosts.collect::<Vec<_>>().join(" ")));
    }
    lines.join("\n")
}

#[test]
fn leaving_wins_over_the_list_until_a_new_incarnation_is_alive() {
    let mut marked = vec![record("a", HostPhase::Live), record("b", HostPhase::Leaving)];
    let events = vec![
        (0, "list", list(&["b", "a", "c"])),
        (1, "leave notice from a", leaving("a", OLD_INCARNATION)),
        (2, "list lags", list(&["a", "b", "c"])),
        (3, "old incarnation of a is alive", alive("a", OLD_INCARNATION)),
        (4, "new incarnation of a", alive("a", NEW_INCARNATION)),
        (5, "list marks b as leaving", MembershipEvent::List(marked.clone())),
        (6, "new incarnation of b", alive("b", NEW_INCARNATION)),
        (7, "list marks b as live", {
            marked[1].phase = HostPhase::Live;
            MembershipEvent::List(marked)
        }),
    ];
    insta::assert_snapshot!(run(events), @"
    0 s, list: a b c
    1 s, leave notice from a: (a) b c
    2 s, list lags: (a) b c
    3 s, old incarnation of a is alive: (a) b c
    4 s, new incarnation of a: a b c
    5 s, list marks b as leaving: a (b)
    6 s, new incarnation of b: a (b)
    7 s, list marks b as live: a b
    ");
}

#[test]
fn a_host_at_another_address_is_a_new_incarnation() {
    let mut moved = record("a", HostPhase::Live);
    moved.admin = "127.0.0.1:2".parse().expect("an address");
    let events = vec![
        (0, "list", list(&["a"])),
        (1, "leave notice from a", leaving("a", OLD_INCARNATION)),
        (2, "list lags", list(&["a"])),
        (3, "list has another address", MembershipEvent::List(vec![moved])),
    ];
    insta::assert_snapshot!(run(events), @"
    0 s, list: a
    1 s, leave notice from a: (a)
    2 s, list lags: (a)
    3 s, list has another address: a
    ");
}

#[test]
fn a_leave_notice_expires_if_no_link_reports_a_new_incarnation() {
    let retention = LEAVE_NOTICE_RETENTION.as_secs();
    let events = vec![
        (0, "list", list(&["a", "b"])),
        (1, "leave notice from a", leaving("a", OLD_INCARNATION)),
        (retention, "list", list(&["a", "b"])),
        (retention + 1, "list", list(&["a", "b"])),
    ];
    insta::assert_snapshot!(run(events), @"
    0 s, list: a b
    1 s, leave notice from a: (a) b
    30 s, list: (a) b
    31 s, list: a b
    ");
}

#[test]
fn a_delisted_host_is_leaving_while_its_link_is_alive() {
    let liveness_timeout = LINK_LIVENESS_TIMEOUT.as_secs();
    let events = vec![
        (0, "list", list(&["a", "b", "c", "d"])),
        (1, "link to a is alive", alive("a", OLD_INCARNATION)),
        (2, "list without a and b", list(&["c", "d"])),
        (1 + liveness_timeout, "link to a timed out", MembershipEvent::Tick),
    ];
    insta::assert_snapshot!(run(events), @"
    0 s, list: a b c d
    1 s, link to a is alive: a b c d
    2 s, list without a and b: (a) c d
    6 s, link to a timed out: c d
    ");
}

#[test]
fn a_list_that_loses_most_hosts_is_not_applied_at_once() {
    let hold_down = SHRINK_HOLD_DOWN.as_secs();
    let events = vec![
        (0, "list", list(&["a", "b", "c", "d"])),
        (1, "empty list", list(&[])),
        (2, "leave notice from b", leaving("b", OLD_INCARNATION)),
        (3, "list with one of four", list(&["c"])),
        (4, "complete list", list(&["a", "b", "c", "d"])),
        (5, "empty list", list(&[])),
        (4 + hold_down, "empty list", list(&[])),
        (4 + hold_down, "link to c is alive", alive("c", OLD_INCARNATION)),
        (5 + hold_down, "empty list", list(&[])),
        (6 + hold_down + LINK_LIVENESS_TIMEOUT.as_secs(), "empty list", list(&[])),
    ];
    insta::assert_snapshot!(run(events), @"
    0 s, list: a b c d
    1 s, empty list: a b c d
    2 s, leave notice from b: a (b) c d
    3 s, list with one of four: a (b) c d
    4 s, complete list: a (b) c d
    5 s, empty list: a (b) c d
    34 s, empty list: a (b) c d
    34 s, link to c is alive: a (b) c d
    35 s, empty list: c
    41 s, empty list:
    ");
}

#[test]
fn a_longer_list_is_polled_less_often_but_within_seconds() {
    let periods: Vec<Duration> = [0, 25, 50, 2_300].into_iter().map(poll_interval).collect();
    insta::assert_debug_snapshot!(periods, @"
    [
        1s,
        1s,
        2s,
        3s,
    ]
    ");
}

#[test]
fn a_lease_counts_from_the_send_time_of_its_renewal() {
    let ttl = Duration::from_secs(10);
    let at = MonoTime::from_millis;
    let lease = HeldLease::granted(ttl, at(0));
    assert_eq!(lease.remaining(at(2_000)), Duration::from_secs(7));
    assert!(lease.covers(at(2_000), Duration::from_secs(6)));
    assert!(!lease.covers(at(2_000), Duration::from_secs(7)));
    // The renewal was sent at 3 s and confirmed 4 s later.
    let renewed = lease.renewed(at(3_000), at(7_000)).expect("in time");
    assert_eq!(renewed.remaining(at(7_000)), Duration::from_secs(5));
    // The process was paused past the expiry: the confirmation arrives too late.
    assert_eq!(renewed.renewed(at(6_000), at(12_000)), Err(LeaseExpiredError));
    assert_eq!(renewed.check(at(12_000)), Err(LeaseExpiredError));
    // A late confirmation of an older renewal does not shorten the lease.
    assert_eq!(renewed.renewed(at(1_000), at(7_500)), Ok(renewed));
}

proptest! {
    /// The service grants the lease when a call arrives, and the holder may be paused at any time:
    /// the holder never relies on an expired lease, even if its clock runs 5% slow.
    #[test]
    fn no_lease_is_relied_on_after_its_expiry(
        steps in prop::collection::vec((0_u64..4_000, 0_u64..4_000, 0_u64..9_000), 1..20),
    ) {
        let ttl = Duration::from_secs(10);
        let holder_clock = |millis: u64| MonoTime::from_micros(millis * 950);
        let mut now = 0;
        let mut service_expires_at = 10_000;
        let mut lease = HeldLease::granted(ttl, holder_clock(0));
        for (send_delay, round_trip, pause) in steps {
            let sent = now + send_delay;
            let arrived = sent + round_trip / 2;
            now = sent + round_trip + pause;
            if arrived >= service_expires_at {
                prop_assert!(lease.check(holder_clock(arrived)).is_err());
                break;
            }
            service_expires_at = arrived + 10_000;
            let Ok(renewed) = lease.renewed(holder_clock(sent), holder_clock(now)) else { break };
            lease = renewed;
            if now >= service_expires_at {
                prop_assert!(lease.check(holder_clock(now)).is_err());
            }
        }
    }

    #[test]
    fn announced_leaving_always_takes_precedence_in_the_records(
        steps in prop::collection::vec((0_usize..4, 0_u8..5, 1_u64..3), 1..60),
    ) {
        let names = ["a", "b", "c", "d"];
        let mut merge = MembershipMerge::default();
        let mut last_incarnations = [0_u64; 4];
        let mut announced_at: [Option<u64>; 4] = [None; 4];
        for (step, (host, event_kind, incarnation)) in steps.into_iter().enumerate() {
            let name = names[host];
            let event = match event_kind {
                0 => list(&names),
                1 => list(&names[host..]),
                2 => leaving(name, HostIncarnation(incarnation)),
                3 => alive(name, HostIncarnation(incarnation)),
                _ => MembershipEvent::Tick,
            };
            if matches!(event_kind, 2 | 3) {
                if last_incarnations[host] != incarnation {
                    announced_at[host] = None;
                }
                last_incarnations[host] = incarnation;
                if event_kind == 2 {
                    announced_at[host] = Some(step as u64);
                }
            }
            merge.on_event(MonoTime::from_millis(step as u64 * 100), event);
            for record in merge.records().iter() {
                let at = names.iter().position(|name| *name == record.name.as_str());
                let must_be_leaving = at.is_some_and(|at| announced_at[at].is_some());
                prop_assert!(!must_be_leaving || record.phase == HostPhase::Leaving);
            }
        }
    }
}
