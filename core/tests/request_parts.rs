//! Limits, the pulse of links, suspects and claims, each alone.

use buckthornwharf_core::config::PriorityClass;
use buckthornwharf_core::frame::SubmitFrame;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::admission::{
    AdmissionController, AdmissionRequest, OrganisationLimit,
};
use buckthornwharf_core::request::claim::{ClaimAction, ClaimEvent, ClaimManager, ClaimValue};
use buckthornwharf_core::request::heartbeat::{
    HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, HeartbeatAction, HeartbeatMonitor,
};
use buckthornwharf_core::request::poison::{
    CRASH_RETENTION, MAX_SUSPECTS, SuspectTable, SuspectVerdict,
};
use bytes::Bytes;

const SECOND: Duration = Duration::from_secs(1);

fn admission(cost_tokens: u32) -> AdmissionRequest {
    AdmissionRequest {
        organisation: "mill".into(),
        cost_tokens,
        time_left: 10 * SECOND,
        time_needed: SECOND,
    }
}

/// Requests of 10 tokens that an entry lets in within `seconds`, asked for every 10 ms.
fn admitted(limits: &mut AdmissionController, seconds: u64) -> usize {
    let tries = (0..seconds * 100).map(|number| MonoTime::from_millis(number * 10));
    tries.filter(|now| limits.admit(*now, &admission(10)).is_ok()).count()
}

#[test]
fn entries_share_a_limit_of_the_fleet() {
    let limit = OrganisationLimit { max_in_flight: None, tokens_per_second: Some(400) };
    let mut counts = Vec::new();
    for entries in [1, 4, 1_000] {
        let mut limits = AdmissionController::new();
        limits.set_live_entries(entries);
        limits.set_limit(MonoTime::ZERO, "mill".into(), limit);
        counts.push(admitted(&mut limits, 10));
    }
    insta::assert_compact_debug_snapshot!(counts, @"[480, 120, 2]");
}

#[test]
fn a_limit_in_flight_is_freed_by_the_end_of_a_request() {
    let mut limits = AdmissionController::new();
    let limit = OrganisationLimit { max_in_flight: Some(2), tokens_per_second: None };
    limits.set_limit(MonoTime::ZERO, "mill".into(), limit);
    let mut results: Vec<_> = (0..3).map(|_| limits.admit(MonoTime::ZERO, &admission(1))).collect();
    limits.release(&"mill".into(), 1, 1);
    results.push(limits.admit(MonoTime::ZERO, &admission(1)));
    insta::assert_compact_debug_snapshot!(results, @"[Ok(()), Ok(()), Err(OverLimit), Ok(())]");
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut limits = AdmissionController::new();
    let late = AdmissionRequest { time_left: SECOND / 2, ..admission(1) };
    assert_eq!(limits.admit(MonoTime::ZERO, &late), Err(ResultCode::Overloaded));
    assert_eq!(limits.in_flight(), 0);
}

/// What a pulse asks for when it is ticked every 100 ms, from 0.1 s on, and nothing is heard.
fn pulse_events(pulse: &mut HeartbeatMonitor, ticks: impl Iterator<Item = u64>) -> Vec<String> {
    let mut events = Vec::new();
    for tick in ticks {
        let now = MonoTime::from_millis(tick * 100);
        match pulse.on_tick(now) {
            HeartbeatAction::Wait(_) => {}
            HeartbeatAction::SendHeartbeat => {
                pulse.on_sent(now);
                events.push(format!("heartbeat at {} ms", tick * 100));
            }
            HeartbeatAction::Drop => events.push(format!("drop at {} ms", tick * 100)),
        }
    }
    events
}

#[test]
fn a_silent_link_is_dropped_but_not_after_an_own_suspension() {
    assert!(2 * HEARTBEAT_INTERVAL < HEARTBEAT_TIMEOUT);
    let mut pulse = HeartbeatMonitor::new(MonoTime::ZERO);
    insta::assert_compact_debug_snapshot!(pulse_events(&mut pulse, 1..=30), @r#"["heartbeat at 1000 ms", "heartbeat at 2000 ms", "drop at 3000 ms"]"#);
    let mut pulse = HeartbeatMonitor::new(MonoTime::ZERO);
    let suspended = (1..=10).chain(100..=110);
    insta::assert_compact_debug_snapshot!(pulse_events(&mut pulse, suspended), @r#"["heartbeat at 1000 ms", "heartbeat at 10000 ms", "heartbeat at 11000 ms"]"#);
}

#[test]
fn a_crash_counts_once_whatever_way_it_is_heard_of() {
    let mut agent = SuspectTable::new();
    let mut entry = SuspectTable::new();
    let now = MonoTime::ZERO;
    let news = agent.record_crash(now, 1, &[7, 8]);
    assert_eq!(entry.merge(now, &news).as_ref(), Some(&news));
    assert_eq!(entry.merge(now, &news), None);
    assert_eq!(entry.verdict(now, 7), SuspectVerdict::Suspect);
    entry.merge(now, &agent.record_crash(now, 2, &[7]));
    assert_eq!(entry.verdict(now, 7), SuspectVerdict::Poisonous);
    let later = now + CRASH_RETENTION;
    assert_eq!(entry.verdict(later, 7), SuspectVerdict::Clear);
    assert_eq!(entry.snapshot(later), None);
}

#[test]
fn a_whole_answer_clears_a_suspect_everywhere() {
    let mut agent = SuspectTable::new();
    let mut entry = SuspectTable::new();
    let now = MonoTime::ZERO;
    let crash = agent.record_crash(now, 1, &[8]);
    entry.merge(now, &crash);
    let cleared = agent.record_complete_answer(8).unwrap();
    assert_eq!(agent.record_complete_answer(8), None);
    assert_eq!(entry.merge(now, &cleared).as_ref(), Some(&cleared));
    assert_eq!(entry.merge(now, &crash), None);
    assert_eq!(entry.verdict(now, 8), SuspectVerdict::Clear);
    agent.record_crash(now, 2, &[8]);
    assert_eq!(agent.verdict(now, 8), SuspectVerdict::Suspect);
}

#[test]
fn suspects_are_bounded() {
    let mut book = SuspectTable::new();
    let many = MAX_SUSPECTS as u64 + 10;
    (0..many).for_each(|crash| {
        book.record_crash(MonoTime::from_millis(crash), crash, &[crash]);
    });
    let now = MonoTime::from_millis(many);
    assert_eq!(book.snapshot(now).unwrap().fingerprints.len(), MAX_SUSPECTS);
    assert_eq!(book.verdict(now, 0), SuspectVerdict::Clear);
    assert_eq!(book.verdict(now, many - 1), SuspectVerdict::Suspect);
}

fn keyed(id: u128, fingerprint: u64) -> Arc<SubmitFrame> {
    Arc::new(SubmitFrame {
        id: RequestId(id),
        organisation: "mill".into(),
        weight: 1,
        priority: PriorityClass::Normal,
        service: "booking".into(),
        digest: None,
        deadline_ms: 30_000,
        idempotent: false,
        idempotency_key: Some("rod coil 7".into()),
        fingerprint,
        suspect: false,
        cost_tokens: 1,
        method: "POST".into(),
        path: "/".into(),
        content_type: "".into(),
        body: Bytes::new(),
    })
}

fn claim(keeper: &mut ClaimManager, event: ClaimEvent) -> String {
    let describe = |action: ClaimAction| match action {
        ClaimAction::Create { id, .. } => format!("create for {}", id.0),
        ClaimAction::Read { id, .. } => format!("read for {}", id.0),
        ClaimAction::Settled { id, verdict } => format!("{}: {verdict:?}", id.0),
    };
    let actions = keeper.on_event(MonoTime::ZERO, event);
    actions.into_iter().map(describe).collect::<Vec<_>>().join(", ")
}

#[test]
fn a_key_that_comes_again_with_other_content_is_refused() {
    let mut keeper = ClaimManager::new("host".into());
    let begin = |id, fingerprint| ClaimEvent::Begin { submit: keyed(id, fingerprint), nonce: id };
    let events = [
        begin(1, 7),
        begin(2, 7),
        begin(3, 8),
        ClaimEvent::Created(RequestId(1)),
        begin(4, 7),
        begin(5, 8),
    ];
    let lines = events.map(|event| claim(&mut keeper, event));
    insta::assert_compact_debug_snapshot!(lines, @r#"["create for 1", "", "", "1: Won, 2: Join(RequestId(1)), 3: Refused(AlreadyClaimed)", "4: Join(RequestId(1))", "5: Refused(AlreadyClaimed)"]"#);
}

#[test]
fn a_key_released_before_its_dispatch_is_given_to_the_next_request() {
    let mut keeper = ClaimManager::new("host".into());
    let lines = [
        claim(&mut keeper, ClaimEvent::Begin { submit: keyed(1, 7), nonce: 1 }),
        claim(&mut keeper, ClaimEvent::Created(RequestId(1))),
        claim(&mut keeper, ClaimEvent::Released(RequestId(1))),
        claim(&mut keeper, ClaimEvent::Created(RequestId(1))),
        claim(&mut keeper, ClaimEvent::Begin { submit: keyed(2, 7), nonce: 2 }),
    ];
    insta::assert_compact_debug_snapshot!(lines, @r#"["create for 1", "1: Won", "create for 1", "", "create for 2"]"#);
}

/// The verdict on a request whose key has this log of nonces, each a claim or a release.
fn verdict_on_log(log: &[(u128, bool)]) -> String {
    let mut keeper = ClaimManager::new("host".into());
    let mut last = claim(&mut keeper, ClaimEvent::Begin { submit: keyed(1, 7), nonce: 1 });
    let id = RequestId(1);
    for position in 0..=log.len() {
        if last.starts_with("create") && position < log.len() {
            last = claim(&mut keeper, ClaimEvent::Exists(id));
        }
        if last.starts_with("create") {
            last = claim(&mut keeper, ClaimEvent::Created(id));
        }
        if !last.starts_with("read") {
            break;
        }
        let value = log.get(position).map(|(nonce, is_release)| {
            let host = "other".into();
            ClaimValue { nonce: *nonce, is_release: *is_release, id: RequestId(2), host }.encode()
        });
        last = claim(&mut keeper, ClaimEvent::Read { id, value });
    }
    last
}

#[test]
fn a_log_gives_the_key_to_one_holder_at_a_time() {
    let (claimed, released) = (false, true);
    let logs: [&[(u128, bool)]; 6] = [
        &[],
        &[(2, claimed)],
        &[(2, claimed), (2, released)],
        &[(2, claimed), (3, released)],
        &[(2, released)],
        &[(2, claimed), (2, released), (3, claimed)],
    ];
    let verdicts = logs.map(verdict_on_log);
    insta::assert_compact_debug_snapshot!(verdicts, @r#"["1: Won", "1: Refused(AlreadyClaimed)", "1: Won", "1: Refused(AlreadyClaimed)", "1: Won", "1: Refused(AlreadyClaimed)"]"#);
}
