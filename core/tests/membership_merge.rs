//! What is believed of the list of hosts, links and notices, and leases.

use buckthornwharf_core::membership::merge::{
    LEAVE_NOTICE_RETENTION, LINK_LIVENESS_TIMEOUT, SHRINK_HOLD_DOWN, poll_interval,
};
use buckthornwharf_core::membership::{
    HeldLease, HostPhase, HostRecord, HostRole, LeaseExpiredError, MembershipEvent, MembershipMerge,
};
use buckthornwharf_core::prelude::*;
use proptest::prelude::*;

const OLD_RUN: HostIncarnation = HostIncarnation(1);
const NEW_RUN: HostIncarnation = HostIncarnation(2);

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

/// Runs the events, each at its second, and tells the records after each.
fn run(events: Vec<(u64, &str, MembershipEvent)>) -> String {
    let mut merge = MembershipMerge::default();
    let mut lines = Vec::new();
    for (second, what, event) in events {
        merge.on_event(MonoTime::from_millis(second * 1000), event);
        let hosts = merge.records().iter().map(|host| match host.phase {
            HostPhase::Live => host.name.to_string(),
            HostPhase::Leaving => format!("({})", host.name),
        });
        lines.push(format!("{second} s, {what}: {}", hosts.collect::<Vec<_>>().join(" ")));
    }
    lines.join("\n")
}

#[test]
fn leaving_wins_over_the_list_until_a_new_run_shows_itself() {
    let mut marked = vec![record("a", HostPhase::Live), record("b", HostPhase::Leaving)];
    let events = vec![
        (0, "list", list(&["b", "a", "c"])),
        (1, "a says it leaves", leaving("a", OLD_RUN)),
        (2, "the list lags", list(&["a", "b", "c"])),
        (3, "the old run is still there", alive("a", OLD_RUN)),
        (4, "a new run of a", alive("a", NEW_RUN)),
        (5, "the list marks b", MembershipEvent::List(marked.clone())),
        (6, "a new run of b", alive("b", NEW_RUN)),
        (7, "the list takes b back", {
            marked[1].phase = HostPhase::Live;
            MembershipEvent::List(marked)
        }),
    ];
    insta::assert_snapshot!(run(events), @"
    0 s, list: a b c
    1 s, a says it leaves: (a) b c
    2 s, the list lags: (a) b c
    3 s, the old run is still there: (a) b c
    4 s, a new run of a: a b c
    5 s, the list marks b: a (b)
    6 s, a new run of b: a (b)
    7 s, the list takes b back: a b
    ");
}

#[test]
fn a_host_at_another_address_is_a_new_run() {
    let mut moved = record("a", HostPhase::Live);
    moved.admin = "127.0.0.1:2".parse().expect("an address");
    let events = vec![
        (0, "list", list(&["a"])),
        (1, "a says it leaves", leaving("a", OLD_RUN)),
        (2, "the list lags", list(&["a"])),
        (3, "a is elsewhere", MembershipEvent::List(vec![moved])),
    ];
    insta::assert_snapshot!(run(events), @"
    0 s, list: a
    1 s, a says it leaves: (a)
    2 s, the list lags: (a)
    3 s, a is elsewhere: a
    ");
}

#[test]
fn a_notice_expires_where_no_link_shows_the_next_run() {
    let hold = LEAVE_NOTICE_RETENTION.as_secs();
    let events = vec![
        (0, "list", list(&["a", "b"])),
        (1, "a says it leaves", leaving("a", OLD_RUN)),
        (hold, "list", list(&["a", "b"])),
        (hold + 1, "list", list(&["a", "b"])),
    ];
    insta::assert_snapshot!(run(events), @"
    0 s, list: a b
    1 s, a says it leaves: (a) b
    30 s, list: (a) b
    31 s, list: a b
    ");
}

#[test]
fn a_host_that_the_list_drops_is_leaving_while_its_link_lives() {
    let end = LINK_LIVENESS_TIMEOUT.as_secs();
    let events = vec![
        (0, "list", list(&["a", "b", "c", "d"])),
        (1, "link to a", alive("a", OLD_RUN)),
        (2, "list without a and b", list(&["c", "d"])),
        (1 + end, "no sign of a", MembershipEvent::Tick),
    ];
    insta::assert_snapshot!(run(events), @"
    0 s, list: a b c d
    1 s, link to a: a b c d
    2 s, list without a and b: (a) c d
    6 s, no sign of a: c d
    ");
}

#[test]
fn a_list_that_loses_most_hosts_is_not_believed_at_once() {
    let hold = SHRINK_HOLD_DOWN.as_secs();
    let events = vec![
        (0, "list", list(&["a", "b", "c", "d"])),
        (1, "empty", list(&[])),
        (2, "b says it leaves", leaving("b", OLD_RUN)),
        (3, "one of four", list(&["c"])),
        (4, "all back", list(&["a", "b", "c", "d"])),
        (5, "empty", list(&[])),
        (4 + hold, "empty", list(&[])),
        (4 + hold, "link to c", alive("c", OLD_RUN)),
        (5 + hold, "empty", list(&[])),
        (6 + hold + LINK_LIVENESS_TIMEOUT.as_secs(), "empty", list(&[])),
    ];
    insta::assert_snapshot!(run(events), @"
    0 s, list: a b c d
    1 s, empty: a b c d
    2 s, b says it leaves: a (b) c d
    3 s, one of four: a (b) c d
    4 s, all back: a (b) c d
    5 s, empty: a (b) c d
    34 s, empty: a (b) c d
    34 s, link to c: a (b) c d
    35 s, empty: c
    41 s, empty:
    ");
}

#[test]
fn a_longer_list_is_read_less_often_but_within_seconds() {
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
fn a_lease_counts_from_when_the_renewal_was_sent() {
    let length = Duration::from_secs(10);
    let at = MonoTime::from_millis;
    let lease = HeldLease::granted(length, at(0));
    assert_eq!(lease.remaining(at(2_000)), Duration::from_secs(7));
    assert!(lease.covers(at(2_000), Duration::from_secs(6)));
    assert!(!lease.covers(at(2_000), Duration::from_secs(7)));
    // The renewal was sent at 3 s and its answer came 4 s later.
    let renewed = lease.renewed(at(3_000), at(7_000)).expect("in time");
    assert_eq!(renewed.remaining(at(7_000)), Duration::from_secs(5));
    // A pause over the end of the lease: the answer to the renewal comes too late to count.
    assert_eq!(renewed.renewed(at(6_000), at(12_000)), Err(LeaseExpiredError));
    assert_eq!(renewed.check(at(12_000)), Err(LeaseExpiredError));
    // An older renewal's answer that comes late does not shorten the lease.
    assert_eq!(renewed.renewed(at(1_000), at(7_500)), Ok(renewed));
}

proptest! {
    /// A service that grants at the moment a call arrives, and a holder that may be paused at any
    /// moment: the holder never relies on a lease that the service has let lapse, even if the
    /// holder's clock runs 5% slow.
    #[test]
    fn no_lease_is_relied_on_after_its_lapse(
        steps in prop::collection::vec((0_u64..4_000, 0_u64..4_000, 0_u64..9_000), 1..20),
    ) {
        let length = Duration::from_secs(10);
        let holder_clock = |millis: u64| MonoTime::from_micros(millis * 950);
        let mut now = 0;
        let mut service_ends = 10_000;
        let mut lease = HeldLease::granted(length, holder_clock(0));
        for (until_sent, under_way, pause) in steps {
            let sent = now + until_sent;
            let arrived = sent + under_way / 2;
            now = sent + under_way + pause;
            if arrived >= service_ends {
                prop_assert!(lease.check(holder_clock(arrived)).is_err());
                break;
            }
            service_ends = arrived + 10_000;
            let Ok(renewed) = lease.renewed(holder_clock(sent), holder_clock(now)) else { break };
            lease = renewed;
            if now >= service_ends {
                prop_assert!(lease.check(holder_clock(now)).is_err());
            }
        }
    }

    #[test]
    fn leaving_always_wins_in_the_records(
        steps in prop::collection::vec((0_usize..4, 0_u8..5, 1_u64..3), 1..60),
    ) {
        let names = ["a", "b", "c", "d"];
        let mut merge = MembershipMerge::default();
        let mut runs = [0_u64; 4];
        let mut told: [Option<u64>; 4] = [None; 4];
        for (second, (host, kind, run)) in steps.into_iter().enumerate() {
            let name = names[host];
            let event = match kind {
                0 => list(&names),
                1 => list(&names[host..]),
                2 => leaving(name, HostIncarnation(run)),
                3 => alive(name, HostIncarnation(run)),
                _ => MembershipEvent::Tick,
            };
            if matches!(kind, 2 | 3) {
                if runs[host] != run {
                    told[host] = None;
                }
                runs[host] = run;
                if kind == 2 {
                    told[host] = Some(second as u64);
                }
            }
            merge.on_event(MonoTime::from_millis(second as u64 * 100), event);
            for record in merge.records().iter() {
                let at = names.iter().position(|name| *name == record.name.as_str());
                let must_leave = at.is_some_and(|at| told[at].is_some());
                prop_assert!(!must_leave || record.phase == HostPhase::Leaving);
            }
        }
    }
}
