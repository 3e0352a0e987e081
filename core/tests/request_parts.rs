//! Admission, heartbeats, crash suspects and claims, each tested alone.

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
    CRASH_RETENTION, MAX_SUSPECTS, RunningRequest, SuspectTable, SuspectVerdict,
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

/// Number of requests admitted within `seconds`, of one request of 10 tokens every 10 ms.
fn count_admitted(controller: &mut AdmissionController, seconds: u64) -> usize {
    let attempts = (0..seconds * 100).map(|number| MonoTime::from_millis(number * 10));
    attempts.filter(|now| controller.admit(*now, &admission(10)).is_ok()).count()
}

#[test]
fn fleet_limit_is_divided_among_live_entries() {
    let limit = OrganisationLimit { max_in_flight: None, tokens_per_second: Some(400) };
    let mut counts = Vec::new();
    for entries in [1, 4, 1_000] {
        let mut controller = AdmissionController::new();
        controller.set_live_entries(entries);
        controller.set_limit(MonoTime::ZERO, "mill".into(), limit);
        counts.push(count_admitted(&mut controller, 10));
    }
    insta::assert_compact_debug_snapshot!(counts, @"[480, 120, 2]");
}

#[test]
fn ended_request_frees_its_share_of_the_in_flight_limit() {
    let mut controller = AdmissionController::new();
    let limit = OrganisationLimit { max_in_flight: Some(2), tokens_per_second: None };
    controller.set_limit(MonoTime::ZERO, "mill".into(), limit);
    let mut results: Vec<_> =
        (0..3).map(|_| controller.admit(MonoTime::ZERO, &admission(1))).collect();
    controller.release(&"mill".into(), 1, 1);
    results.push(controller.admit(MonoTime::ZERO, &admission(1)));
    insta::assert_compact_debug_snapshot!(results, @"[Ok(()), Ok(()), Err(OverLimit), Ok(())]");
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut controller = AdmissionController::new();
    let late = AdmissionRequest { time_left: SECOND / 2, ..admission(1) };
    assert_eq!(controller.admit(MonoTime::ZERO, &late), Err(ResultCode::Overloaded));
    assert_eq!(controller.in_flight(), 0);
}

/// Actions of a monitor that is ticked at these multiples of 100 ms and receives no frame.
fn monitor_actions(
    monitor: &mut HeartbeatMonitor,
    ticks: impl Iterator<Item = u64>,
) -> Vec<String> {
    let mut actions = Vec::new();
    for tick in ticks {
        let now = MonoTime::from_millis(tick * 100);
        match monitor.on_tick(now) {
            HeartbeatAction::Wait(_) => {}
            HeartbeatAction::SendHeartbeat => {
                monitor.on_sent(now);
                actions.push(format!("heartbeat at {} ms", tick * 100));
            }
            HeartbeatAction::Drop => actions.push(format!("drop at {} ms", tick * 100)),
        }
    }
    actions
}

#[test]
fn silent_link_is_dropped_unless_the_process_itself_was_suspended() {
    assert!(2 * HEARTBEAT_INTERVAL < HEARTBEAT_TIMEOUT);
    let mut monitor = HeartbeatMonitor::new(MonoTime::ZERO);
    insta::assert_compact_debug_snapshot!(monitor_actions(&mut monitor, 1..=30), @r#"["heartbeat at 1000 ms", "heartbeat at 2000 ms", "drop at 3000 ms"]"#);
    let mut monitor = HeartbeatMonitor::new(MonoTime::ZERO);
    let suspended = (1..=10).chain(100..=110);
    insta::assert_compact_debug_snapshot!(monitor_actions(&mut monitor, suspended), @r#"["heartbeat at 1000 ms", "heartbeat at 10000 ms", "heartbeat at 11000 ms"]"#);
}

/// Requests with these fingerprints that were sent at `sent_at`.
fn running(sent_at: MonoTime, fingerprints: &[u64]) -> Vec<RunningRequest> {
    let request = |fingerprint: &u64| RunningRequest { fingerprint: *fingerprint, sent_at };
    fingerprints.iter().map(request).collect()
}

#[test]
fn a_request_in_flight_at_two_targets_that_crash_together_is_not_refused() {
    let mut agents = [SuspectTable::new(), SuspectTable::new()];
    let mut entry = SuspectTable::new();
    let crashed_at = MonoTime::ZERO + SECOND;
    for (number, agent) in agents.iter_mut().enumerate() {
        let requests = running(MonoTime::ZERO, &[7]);
        let now = crashed_at + Duration::from_millis(10) * number as u32;
        entry.merge(now, &agent.record_crash(now, number as u64, &requests));
    }
    let now = crashed_at + SECOND;
    assert_eq!(entry.verdict(now, 7), SuspectVerdict::Suspect);
    let crash = agents[0].record_crash(now + SECOND, 2, &running(now, &[7]));
    entry.merge(now + SECOND, &crash);
    assert_eq!(entry.verdict(now + SECOND, 7), SuspectVerdict::Poisonous);
}

#[test]
fn an_answer_to_a_request_sent_before_a_crash_does_not_clear_it() {
    let mut agent = SuspectTable::new();
    let now = MonoTime::ZERO + SECOND;
    agent.record_crash(now, 1, &running(now, &[7]));
    agent.record_crash(now, 2, &running(now, &[7]));
    assert_eq!(agent.record_complete_answer(7, MonoTime::ZERO), None);
    assert_eq!(agent.verdict(now, 7), SuspectVerdict::Poisonous);
    assert!(agent.record_complete_answer(7, now).is_some());
    assert_eq!(agent.verdict(now, 7), SuspectVerdict::Clear);
}

#[test]
fn crash_reported_by_several_processes_counts_once() {
    let mut agent = SuspectTable::new();
    let mut entry = SuspectTable::new();
    let now = MonoTime::ZERO;
    let crash = agent.record_crash(now, 1, &running(now, &[7, 8]));
    assert_eq!(entry.merge(now, &crash).as_ref(), Some(&crash));
    assert_eq!(entry.merge(now, &crash), None);
    assert_eq!(entry.verdict(now, 7), SuspectVerdict::Suspect);
    entry.merge(now, &agent.record_crash(now, 2, &running(now, &[7])));
    assert_eq!(entry.verdict(now, 7), SuspectVerdict::Poisonous);
    let later = now + CRASH_RETENTION;
    assert_eq!(entry.verdict(later, 7), SuspectVerdict::Clear);
    assert_eq!(entry.snapshot(later), None);
}

#[test]
fn complete_answer_clears_a_suspect_in_all_processes() {
    let mut agent = SuspectTable::new();
    let mut entry = SuspectTable::new();
    let now = MonoTime::ZERO;
    let crash = agent.record_crash(now, 1, &running(now, &[8]));
    entry.merge(now, &crash);
    let cleared = agent.record_complete_answer(8, now).unwrap();
    assert_eq!(agent.record_complete_answer(8, now), None);
    assert_eq!(entry.merge(now, &cleared).as_ref(), Some(&cleared));
    assert_eq!(entry.merge(now, &crash), None);
    assert_eq!(entry.verdict(now, 8), SuspectVerdict::Clear);
    agent.record_crash(now, 2, &running(now, &[8]));
    assert_eq!(agent.verdict(now, 8), SuspectVerdict::Suspect);
}

#[test]
fn number_of_suspects_is_bounded() {
    let mut table = SuspectTable::new();
    let crash_count = MAX_SUSPECTS as u64 + 10;
    (0..crash_count).for_each(|crash| {
        let now = MonoTime::from_millis(crash);
        table.record_crash(now, crash, &running(now, &[crash]));
    });
    let now = MonoTime::from_millis(crash_count);
    assert_eq!(table.snapshot(now).unwrap().fingerprints.len(), MAX_SUSPECTS);
    assert_eq!(table.verdict(now, 0), SuspectVerdict::Clear);
    assert_eq!(table.verdict(now, crash_count - 1), SuspectVerdict::Suspect);
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

fn handle_claim(manager: &mut ClaimManager, event: ClaimEvent) -> String {
    let describe = |action: ClaimAction| match action {
        ClaimAction::Create { id, .. } => format!("create for {}", id.0),
        ClaimAction::Read { id, .. } => format!("read for {}", id.0),
        ClaimAction::Settled { id, verdict } => format!("{}: {verdict:?}", id.0),
    };
    let actions = manager.on_event(MonoTime::ZERO, event);
    actions.into_iter().map(describe).collect::<Vec<_>>().join(", ")
}

#[test]
fn reused_key_with_different_content_is_refused() {
    let mut manager = ClaimManager::new("host".into());
    let begin = |id, fingerprint| ClaimEvent::Begin { submit: keyed(id, fingerprint), nonce: id };
    let events = [
        begin(1, 7),
        begin(2, 7),
        begin(3, 8),
        ClaimEvent::Created(RequestId(1)),
        begin(4, 7),
        begin(5, 8),
    ];
    let lines = events.map(|event| handle_claim(&mut manager, event));
    insta::assert_compact_debug_snapshot!(lines, @r#"["create for 1", "", "", "1: Won, 2: Join(RequestId(1)), 3: Refused(AlreadyClaimed)", "4: Join(RequestId(1))", "5: Refused(AlreadyClaimed)"]"#);
}

#[test]
fn key_released_without_dispatch_can_be_acquired_by_the_next_request() {
    let mut manager = ClaimManager::new("host".into());
    let lines = [
        handle_claim(&mut manager, ClaimEvent::Begin { submit: keyed(1, 7), nonce: 1 }),
        handle_claim(&mut manager, ClaimEvent::Created(RequestId(1))),
        handle_claim(&mut manager, ClaimEvent::Released(RequestId(1))),
        handle_claim(&mut manager, ClaimEvent::Created(RequestId(1))),
        handle_claim(&mut manager, ClaimEvent::Begin { submit: keyed(2, 7), nonce: 2 }),
    ];
    insta::assert_compact_debug_snapshot!(lines, @r#"["create for 1", "1: Won", "create for 1", "", "create for 2"]"#);
}

/// The verdict on a request whose key has this log: nonces, each with whether it is a release.
fn verdict_on_log(log: &[(u128, bool)]) -> String {
    let mut manager = ClaimManager::new("host".into());
    let mut last = handle_claim(&mut manager, ClaimEvent::Begin { submit: keyed(1, 7), nonce: 1 });
    let id = RequestId(1);
    for position in 0..=log.len() {
        if last.starts_with("create") && position < log.len() {
            last = handle_claim(&mut manager, ClaimEvent::Exists(id));
        }
        if last.starts_with("create") {
            last = handle_claim(&mut manager, ClaimEvent::Created(id));
        }
        if !last.starts_with("read") {
            break;
        }
        let value = log.get(position).map(|(nonce, is_release)| {
            let host = "other".into();
            ClaimValue { nonce: *nonce, is_release: *is_release, id: RequestId(2), host }.encode()
        });
        last = handle_claim(&mut manager, ClaimEvent::Read { id, value });
    }
    last
}

#[test]
fn key_has_at_most_one_holder_at_a_time() {
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
