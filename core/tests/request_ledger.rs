//! Sequences of events and actions of [`RequestLedger`], the state machine of requests at an agent.

use buckthornwharf_core::config::PriorityClass;
use buckthornwharf_core::frame::{LinkFrame, ResolveFrame, SubmitFrame};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::ledger::{LedgerAction, LedgerEvent, TargetGate};
use buckthornwharf_core::request::{LinkId, RequestLedger};
use bytes::Bytes;

const FIRST: LinkId = LinkId(1);
const SECOND: LinkId = LinkId(2);

fn submit(id: u128, idempotent: bool, suspect: bool) -> LinkFrame {
    LinkFrame::Submit(SubmitFrame {
        id: RequestId(id),
        organisation: "mill".into(),
        weight: 1,
        priority: PriorityClass::Normal,
        service: "booking".into(),
        digest: None,
        deadline_ms: 30_000,
        idempotent,
        idempotency_key: None,
        fingerprint: 1,
        suspect,
        cost_tokens: 1,
        method: "POST".into(),
        path: "/".into(),
        content_type: "".into(),
        body: Bytes::new(),
    })
}

fn resolve(id: u128, position: u64) -> LinkFrame {
    LinkFrame::Resolve(ResolveFrame { id: RequestId(id), has_head: false, position })
}

fn describe(action: &LedgerAction) -> String {
    match action {
        LedgerAction::Enqueue(submit) => format!("enqueue {}", submit.id.0),
        LedgerAction::Claim(submit) => format!("claim {}", submit.id.0),
        LedgerAction::Dispatch(submit) => format!("dispatch {}", submit.id.0),
        LedgerAction::Send { link, frame } => format!("{frame:?} on {}", link.0),
        action => format!("{action:?}"),
    }
}

struct TestAgent {
    ledger: RequestLedger,
    now: MonoTime,
    lines: Vec<String>,
}

impl TestAgent {
    fn new() -> Self {
        let mut agent =
            Self { ledger: RequestLedger::new(), now: MonoTime::ZERO, lines: Vec::new() };
        agent.open(FIRST);
        agent
    }

    fn event(&mut self, event: LedgerEvent) {
        let actions = self.ledger.on_event(self.now, event);
        self.lines.extend(actions.iter().map(describe));
    }

    fn open(&mut self, link: LinkId) {
        let incarnation = HostIncarnation(1);
        self.event(LedgerEvent::LinkOpened { link, entry: "entry".into(), incarnation });
    }

    fn frame(&mut self, link: LinkId, frame: LinkFrame) {
        self.event(LedgerEvent::Frame { link, frame });
    }

    fn ready(&mut self, id: u128) {
        self.event(LedgerEvent::Ready { id: RequestId(id), gate: TargetGate::Plain });
    }

    fn answer(&mut self, id: u128) {
        let id = RequestId(id);
        let content_type = "".into();
        self.event(LedgerEvent::TargetHead { id, status: 200, content_type, digest: None });
        self.event(LedgerEvent::TargetBody { id, bytes: Bytes::from_static(b"booked") });
        self.event(LedgerEvent::TargetEnd { id, code: ResultCode::Ok });
    }

    fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        self.event(LedgerEvent::Tick);
    }

    fn action_log(&self) -> String {
        self.lines.join("\n")
    }
}

#[test]
fn duplicate_request_runs_once_and_gets_the_answer_again() {
    let mut agent = TestAgent::new();
    agent.frame(FIRST, submit(1, false, false));
    agent.frame(FIRST, submit(1, false, false));
    agent.ready(1);
    agent.ready(1);
    agent.answer(1);
    agent.open(SECOND);
    agent.frame(SECOND, submit(1, false, false));
    insta::assert_snapshot!(agent.action_log(), @r#"
    Accepted(RequestId(1)) on 1
    enqueue 1
    dispatch 1
    Head(HeadFrame { id: RequestId(1), status: 200, content_type: "", digest: None }) on 1
    Body(BodyFrame { id: RequestId(1), position: 0, bytes: b"booked" }) on 1
    End(EndFrame { id: RequestId(1), code: Ok, length: 6 }) on 1
    Accepted(RequestId(1)) on 2
    Head(HeadFrame { id: RequestId(1), status: 200, content_type: "", digest: None }) on 2
    Body(BodyFrame { id: RequestId(1), position: 0, bytes: b"booked" }) on 2
    End(EndFrame { id: RequestId(1), code: Ok, length: 6 }) on 2
    "#);
}

#[test]
fn never_seen_blocks_the_id_and_requests_on_the_superseded_link() {
    let mut agent = TestAgent::new();
    agent.open(SECOND);
    agent.frame(SECOND, resolve(1, 0));
    agent.frame(FIRST, submit(1, false, false));
    agent.frame(SECOND, submit(1, false, false));
    insta::assert_snapshot!(agent.action_log(), @r#"
    Resolved(ResolvedFrame { id: RequestId(1), knowledge: NeverSeen }) on 2
    End(EndFrame { id: RequestId(1), code: NeverSeen, length: 0 }) on 2
    "#);
}

#[test]
fn resolve_query_resumes_the_answer_from_its_position() {
    let mut agent = TestAgent::new();
    agent.frame(FIRST, submit(1, true, false));
    agent.ready(1);
    agent.event(LedgerEvent::LinkLost(FIRST));
    agent.answer(1);
    agent.open(SECOND);
    agent.frame(SECOND, resolve(1, 4));
    agent.advance(Duration::from_mins(3));
    agent.frame(SECOND, resolve(1, 4));
    insta::assert_snapshot!(agent.action_log(), @r#"
    Accepted(RequestId(1)) on 1
    enqueue 1
    dispatch 1
    Resolved(ResolvedFrame { id: RequestId(1), knowledge: Done }) on 2
    Head(HeadFrame { id: RequestId(1), status: 200, content_type: "", digest: None }) on 2
    Body(BodyFrame { id: RequestId(1), position: 4, bytes: b"ed" }) on 2
    End(EndFrame { id: RequestId(1), code: Ok, length: 6 }) on 2
    Resolved(ResolvedFrame { id: RequestId(1), knowledge: Forgotten }) on 2
    "#);
}

#[test]
fn orphaned_request_is_cancelled_only_if_idempotent_or_still_queued() {
    let mut agent = TestAgent::new();
    for (id, idempotent) in [(1, true), (2, false), (3, false)] {
        agent.frame(FIRST, submit(id, idempotent, false));
    }
    agent.ready(1);
    agent.ready(2);
    agent.event(LedgerEvent::LinkLost(FIRST));
    agent.advance(Duration::from_secs(11));
    agent.ready(3);
    insta::assert_snapshot!(agent.action_log(), @r#"
    Accepted(RequestId(1)) on 1
    enqueue 1
    Accepted(RequestId(2)) on 1
    enqueue 2
    Accepted(RequestId(3)) on 1
    enqueue 3
    dispatch 1
    dispatch 2
    CancelTarget(RequestId(1))
    Dequeue(RequestId(3))
    "#);
}

#[test]
fn suspect_runs_alone() {
    let mut agent = TestAgent::new();
    agent.frame(FIRST, submit(1, true, false));
    agent.frame(FIRST, submit(2, true, true));
    agent.frame(FIRST, submit(3, true, false));
    agent.ready(1);
    agent.ready(2);
    agent.ready(3);
    agent.answer(1);
    agent.ready(2);
    agent.answer(2);
    agent.ready(3);
    insta::assert_snapshot!(agent.action_log(), @r#"
    Accepted(RequestId(1)) on 1
    enqueue 1
    Accepted(RequestId(2)) on 1
    enqueue 2
    Accepted(RequestId(3)) on 1
    enqueue 3
    dispatch 1
    Hold(RequestId(2))
    enqueue 3
    Head(HeadFrame { id: RequestId(1), status: 200, content_type: "", digest: None }) on 1
    Body(BodyFrame { id: RequestId(1), position: 0, bytes: b"booked" }) on 1
    End(EndFrame { id: RequestId(1), code: Ok, length: 6 }) on 1
    Recheck(RequestId(2))
    dispatch 2
    Head(HeadFrame { id: RequestId(2), status: 200, content_type: "", digest: None }) on 1
    Body(BodyFrame { id: RequestId(2), position: 0, bytes: b"booked" }) on 1
    End(EndFrame { id: RequestId(2), code: Ok, length: 6 }) on 1
    dispatch 3
    "#);
}

fn versioned(id: u128, digest: VersionDigest) -> LinkFrame {
    match submit(id, true, false) {
        LinkFrame::Submit(frame) => {
            LinkFrame::Submit(SubmitFrame { digest: Some(digest), ..frame })
        }
        frame => frame,
    }
}

#[test]
fn version_is_checked_at_dispatch_and_in_the_answer() {
    let (wanted, other) = (VersionDigest::from_bytes([1; 32]), VersionDigest::from_bytes([2; 32]));
    let mut agent = TestAgent::new();
    for id in [1, 2, 3] {
        agent.frame(FIRST, versioned(id, wanted));
    }
    agent.event(LedgerEvent::Ready { id: RequestId(1), gate: TargetGate::Engine(other) });
    agent.event(LedgerEvent::Ready { id: RequestId(2), gate: TargetGate::Plain });
    agent.event(LedgerEvent::Ready { id: RequestId(3), gate: TargetGate::Engine(wanted) });
    let content_type: Arc<str> = "".into();
    let head = LedgerEvent::TargetHead {
        id: RequestId(3),
        status: 200,
        content_type,
        digest: Some(other),
    };
    agent.event(head);
    agent.event(LedgerEvent::TargetBody { id: RequestId(3), bytes: Bytes::from_static(b"mixed") });
    agent.event(LedgerEvent::TargetEnd { id: RequestId(3), code: ResultCode::Ok });
    insta::assert_snapshot!(agent.action_log(), @r#"
    Accepted(RequestId(1)) on 1
    enqueue 1
    Accepted(RequestId(2)) on 1
    enqueue 2
    Accepted(RequestId(3)) on 1
    enqueue 3
    End(EndFrame { id: RequestId(1), code: WrongVersion, length: 0 }) on 1
    End(EndFrame { id: RequestId(2), code: WrongVersion, length: 0 }) on 1
    dispatch 3
    CancelTarget(RequestId(3))
    End(EndFrame { id: RequestId(3), code: AnswerDiscarded, length: 0 }) on 1
    "#);
}

#[test]
fn request_with_an_evicted_answer_is_not_reported_as_never_seen() {
    let mut agent = TestAgent::new();
    agent.frame(FIRST, submit(1, false, false));
    agent.ready(1);
    agent.answer(1);
    agent.advance(Duration::from_secs(60));
    for id in 2..5_000 {
        agent.frame(FIRST, submit(id, false, false));
        agent.ready(id);
        agent.event(LedgerEvent::TargetEnd { id: RequestId(id), code: ResultCode::TargetFailed });
    }
    agent.lines.clear();
    agent.frame(FIRST, resolve(1, 0));
    agent.frame(FIRST, submit(1, false, false));
    insta::assert_snapshot!(agent.action_log(), @r#"
    Resolved(ResolvedFrame { id: RequestId(1), knowledge: Forgotten }) on 1
    End(EndFrame { id: RequestId(1), code: LinkLost, length: 0 }) on 1
    "#);
}

#[test]
fn request_that_hangs_past_its_deadline_releases_its_slot() {
    let mut agent = TestAgent::new();
    agent.frame(FIRST, submit(1, false, false));
    agent.ready(1);
    agent.lines.clear();
    agent.advance(Duration::from_secs(80));
    assert_eq!(agent.ledger.running(), 1);
    agent.advance(Duration::from_secs(10));
    assert_eq!(agent.ledger.running(), 0);
    agent.answer(1);
    insta::assert_snapshot!(agent.action_log(), @r#"
    CancelTarget(RequestId(1))
    End(EndFrame { id: RequestId(1), code: DeadlineDuring, length: 0 }) on 1
    "#);
}

#[test]
fn held_suspect_is_refused_after_the_hold_timeout() {
    let mut agent = TestAgent::new();
    agent.frame(FIRST, submit(1, true, false));
    agent.frame(FIRST, submit(2, true, true));
    agent.ready(1);
    agent.ready(2);
    assert!(!agent.ledger.allows_dispatch());
    agent.lines.clear();
    agent.advance(Duration::from_secs(4));
    agent.advance(Duration::from_secs(1));
    assert!(agent.ledger.allows_dispatch());
    insta::assert_snapshot!(agent.action_log(), @"End(EndFrame { id: RequestId(2), code: Overloaded, length: 0 }) on 1");
}

#[test]
fn agent_accepts_requests_after_a_sustained_high_rate() {
    let mut agent = TestAgent::new();
    for second in 0..300_u128 {
        for number in 0..500 {
            let id = second * 1_000 + number;
            agent.frame(FIRST, submit(id, true, false));
            agent.ready(id);
            agent.event(LedgerEvent::TargetEnd {
                id: RequestId(id),
                code: ResultCode::TargetFailed,
            });
        }
        agent.lines.clear();
        agent.advance(Duration::from_secs(1));
    }
    agent.frame(FIRST, submit(u128::MAX, true, false));
    agent.ready(u128::MAX);
    insta::assert_snapshot!(agent.action_log(), @r#"
    Accepted(RequestId(340282366920938463463374607431768211455)) on 1
    enqueue 340282366920938463463374607431768211455
    dispatch 340282366920938463463374607431768211455
    "#);
}

#[test]
fn late_resolve_query_after_a_lost_link_is_not_answered_never_seen() {
    let mut agent = TestAgent::new();
    agent.frame(FIRST, submit(1, false, false));
    agent.ready(1);
    agent.event(LedgerEvent::LinkLost(FIRST));
    agent.answer(1);
    agent.lines.clear();
    agent.advance(Duration::from_mins(20));
    agent.open(SECOND);
    agent.frame(SECOND, resolve(1, 0));
    insta::assert_snapshot!(agent.action_log(), @"Resolved(ResolvedFrame { id: RequestId(1), knowledge: Forgotten }) on 2");
}
