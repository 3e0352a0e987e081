//! Sequences of events and actions of [`RequestDriver`], the state machine of a request at an entry.

use buckthornwharf_core::config::PriorityClass;
use buckthornwharf_core::frame::{
    BodyFrame, EndFrame, HeadFrame, LinkFrame, RequestStatus, ResolvedFrame, SubmitFrame,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::attempt::{DriverAction, DriverEvent, TargetChoice};
use buckthornwharf_core::request::budget::RetryTokenBucket;
use buckthornwharf_core::request::{LinkId, RequestDriver};
use bytes::Bytes;
use strum::IntoEnumIterator;

const ID: RequestId = RequestId(7);
const FIRST: LinkId = LinkId(1);
const SECOND: LinkId = LinkId(2);

fn submit(idempotent: bool) -> SubmitFrame {
    SubmitFrame {
        id: ID,
        organisation: "mill".into(),
        weight: 1,
        priority: PriorityClass::Normal,
        service: "assistant".into(),
        digest: None,
        deadline_ms: 30_000,
        idempotent,
        idempotency_key: None,
        fingerprint: 1,
        suspect: false,
        cost_tokens: 1,
        method: "POST".into(),
        path: "/".into(),
        content_type: "".into(),
        body: Bytes::new(),
    }
}

fn choice(host: &str, link: LinkId) -> TargetChoice {
    TargetChoice { host: host.into(), incarnation: HostIncarnation(1), link, digest: None }
}

fn head() -> LinkFrame {
    let content_type = "text/plain".into();
    LinkFrame::Head(HeadFrame { id: ID, status: 200, content_type, digest: None })
}

fn body(position: u64, text: &'static str) -> LinkFrame {
    LinkFrame::Body(BodyFrame { id: ID, position, bytes: Bytes::from_static(text.as_bytes()) })
}

fn end(code: ResultCode, length: u64) -> LinkFrame {
    LinkFrame::End(EndFrame { id: ID, code, length })
}

fn describe(action: &DriverAction) -> String {
    match action {
        DriverAction::Pick { avoid } => format!("pick, not {avoid:?}"),
        DriverAction::Send { link, frame: LinkFrame::Submit(_) } => format!("submit on {}", link.0),
        DriverAction::Send { link, frame } => format!("{frame:?} on {}", link.0),
        DriverAction::CancelLater { host, .. } => format!("cancel later on {host}"),
        DriverAction::ForwardHead { status, .. } => format!("head {status}"),
        DriverAction::ForwardBody(bytes) => format!("body {bytes:?}"),
        DriverAction::Finish(code) => format!("finish {}", <&str>::from(code)),
    }
}

/// Feeds the events after the choice of host "a", and returns the actions, one per line.
fn run(idempotent: bool, budget: &mut RetryTokenBucket, events: Vec<DriverEvent>) -> String {
    let (mut driver, actions) = RequestDriver::start(MonoTime::ZERO, submit(idempotent), budget);
    let mut lines: Vec<String> = actions.iter().map(describe).collect();
    let chosen = DriverEvent::TargetChosen(choice("a", FIRST));
    for event in std::iter::once(chosen).chain(events) {
        let actions = driver.on_event(MonoTime::from_millis(1), event, budget);
        lines.extend(actions.iter().map(describe));
    }
    lines.join("\n")
}

fn frames_on(link: LinkId, frames: Vec<LinkFrame>) -> Vec<DriverEvent> {
    frames.into_iter().map(|frame| DriverEvent::Frame { link, frame }).collect()
}

#[test]
fn complete_answer_is_forwarded_once_and_in_order() {
    let frames = vec![
        LinkFrame::Accepted(ID),
        head(),
        body(0, "abc"),
        body(0, "abc"),
        body(2, "cde"),
        end(ResultCode::Ok, 5),
        end(ResultCode::Ok, 5),
    ];
    insta::assert_snapshot!(run(true, &mut RetryTokenBucket::new(), frames_on(FIRST, frames)), @r#"
    pick, not []
    submit on 1
    head 200
    body b"abc"
    body b"de"
    finish ok
    "#);
}

#[test]
fn end_with_a_shorter_length_than_was_forwarded_is_an_error() {
    let frames = vec![head(), body(0, "abc"), end(ResultCode::Ok, 2)];
    insta::assert_snapshot!(run(true, &mut RetryTokenBucket::new(), frames_on(FIRST, frames)), @r#"
    pick, not []
    submit on 1
    head 200
    body b"abc"
    finish cut_short
    "#);
}

#[test]
fn an_answer_that_fails_after_its_first_part_gets_nothing_from_another_host() {
    let failures = ResultCode::iter().filter(|code| *code != ResultCode::Ok);
    let ends = failures.map(|code| DriverEvent::Frame { link: FIRST, frame: end(code, 3) });
    let other_incarnation = TargetChoice { incarnation: HostIncarnation(2), ..choice("a", SECOND) };
    for failure in ends.chain([
        DriverEvent::HostGone("a".into()),
        DriverEvent::LinkReopened(other_incarnation),
        DriverEvent::CallerGone,
    ]) {
        let mut events = frames_on(FIRST, vec![head(), body(0, "abc")]);
        events.extend([failure.clone(), DriverEvent::TargetChosen(choice("b", SECOND))]);
        events.extend(frames_on(SECOND, vec![head(), body(0, "abcd"), end(ResultCode::Ok, 4)]));
        let actions = run(true, &mut RetryTokenBucket::new(), events);
        let forwarded = "pick, not []\nsubmit on 1\nhead 200\nbody b\"abc\"\n";
        let rest = actions.strip_prefix(forwarded).expect("the first part is forwarded");
        let last = rest.lines().last().unwrap_or_default();
        assert!(last.starts_with("finish ") && last != "finish ok", "{failure:?}: {actions}");
        let again = ["pick", "submit", "head", "body"];
        assert!(
            !rest.lines().any(|line| again.iter().any(|word| line.starts_with(word))),
            "{rest}"
        );
    }
}

#[test]
fn missing_bytes_are_requested_by_a_resolve_query() {
    let frames = vec![head(), body(0, "abc"), body(5, "f"), end(ResultCode::Ok, 6)];
    insta::assert_snapshot!(run(true, &mut RetryTokenBucket::new(), frames_on(FIRST, frames)), @r#"
    pick, not []
    submit on 1
    head 200
    body b"abc"
    Resolve(ResolveFrame { id: RequestId(7), has_head: true, position: 3 }) on 1
    "#);
}

#[test]
fn idempotent_request_is_retried_on_another_host_within_the_budget() {
    let events = vec![
        DriverEvent::LinkLost(FIRST),
        DriverEvent::TargetChosen(choice("b", SECOND)),
        DriverEvent::Frame { link: FIRST, frame: head() },
        DriverEvent::Frame { link: SECOND, frame: end(ResultCode::TargetFailed, 0) },
    ];
    insta::assert_snapshot!(run(true, &mut RetryTokenBucket::new(), events.clone()), @r#"
    pick, not []
    submit on 1
    pick, not [HostName("a")]
    cancel later on a
    submit on 2
    pick, not [HostName("a"), HostName("b")]
    "#);
    insta::assert_snapshot!(run(true, &mut RetryTokenBucket::empty(), events), @r#"
    pick, not []
    submit on 1
    "#);
}

#[test]
fn attempt_resumes_on_a_new_link_if_no_other_host_is_available() {
    let events = vec![
        DriverEvent::LinkLost(FIRST),
        DriverEvent::NoTarget(ResultCode::NotServing),
        DriverEvent::LinkReopened(choice("a", SECOND)),
        DriverEvent::CallerGone,
    ];
    insta::assert_snapshot!(run(true, &mut RetryTokenBucket::new(), events), @r#"
    pick, not []
    submit on 1
    pick, not [HostName("a")]
    Resolve(ResolveFrame { id: RequestId(7), has_head: false, position: 0 }) on 2
    Cancel(RequestId(7)) on 2
    finish cancelled
    "#);
}

#[test]
fn non_idempotent_request_waits_for_a_new_link_and_sends_a_resolve_query() {
    let events = vec![
        DriverEvent::LinkLost(FIRST),
        DriverEvent::LinkReopened(choice("a", SECOND)),
        DriverEvent::HostGone("a".into()),
    ];
    insta::assert_snapshot!(run(false, &mut RetryTokenBucket::new(), events), @r#"
    pick, not []
    submit on 1
    Resolve(ResolveFrame { id: RequestId(7), has_head: false, position: 0 }) on 2
    finish link_lost
    "#);
}

fn resolved(knowledge: RequestStatus) -> LinkFrame {
    LinkFrame::Resolved(ResolvedFrame { id: ID, knowledge })
}

#[test]
fn refusal_after_an_attempt_that_may_have_run_is_not_reported_as_not_run() {
    let events = vec![
        DriverEvent::LinkLost(FIRST),
        DriverEvent::TargetChosen(choice("b", SECOND)),
        DriverEvent::Frame { link: SECOND, frame: end(ResultCode::Overloaded, 0) },
        DriverEvent::NoTarget(ResultCode::NotServing),
    ];
    insta::assert_snapshot!(run(true, &mut RetryTokenBucket::new(), events), @r#"
    pick, not []
    submit on 1
    pick, not [HostName("a")]
    cancel later on a
    submit on 2
    pick, not [HostName("a"), HostName("b")]
    finish link_lost
    "#);
}

#[test]
fn never_seen_counts_only_as_reply_to_a_resolve_query() {
    let mut frames = frames_on(FIRST, vec![resolved(RequestStatus::NeverSeen)]);
    insta::assert_snapshot!(run(false, &mut RetryTokenBucket::new(), frames.clone()), @r#"
    pick, not []
    submit on 1
    "#);
    frames.insert(0, DriverEvent::LinkLost(FIRST));
    frames.push(DriverEvent::LinkReopened(choice("a", SECOND)));
    frames.extend(frames_on(SECOND, vec![resolved(RequestStatus::NeverSeen)]));
    insta::assert_snapshot!(run(false, &mut RetryTokenBucket::new(), frames), @r#"
    pick, not []
    submit on 1
    Resolve(ResolveFrame { id: RequestId(7), has_head: false, position: 0 }) on 2
    pick, not [HostName("a")]
    "#);
}

#[test]
fn reply_after_the_deadline_is_ignored_by_a_suspended_entry() {
    let budget = &mut RetryTokenBucket::new();
    let (mut driver, _) = RequestDriver::start(MonoTime::ZERO, submit(false), budget);
    let events = [
        DriverEvent::TargetChosen(choice("a", FIRST)),
        DriverEvent::LinkReopened(choice("a", SECOND)),
    ];
    for event in events {
        driver.on_event(MonoTime::ZERO, event, budget);
    }
    let frame = resolved(RequestStatus::NeverSeen);
    let event = DriverEvent::Frame { link: SECOND, frame };
    let actions = driver.on_event(MonoTime::from_millis(30_000), event, budget);
    let lines: Vec<String> = actions.iter().map(describe).collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    Cancel(RequestId(7)) on 2
    finish deadline_during
    "#);
}

#[test]
fn answer_from_another_version_is_not_forwarded() {
    let wanted = Some(VersionDigest::from_bytes([1; 32]));
    for idempotent in [true, false] {
        let budget = &mut RetryTokenBucket::new();
        let (mut driver, _) = RequestDriver::start(MonoTime::ZERO, submit(idempotent), budget);
        let chosen = TargetChoice { digest: wanted, ..choice("a", FIRST) };
        driver.on_event(MonoTime::ZERO, DriverEvent::TargetChosen(chosen), budget);
        let mut lines = Vec::new();
        for event in frames_on(FIRST, vec![head(), body(0, "abc"), end(ResultCode::Ok, 3)]) {
            let actions = driver.on_event(MonoTime::ZERO, event, budget);
            lines.extend(actions.iter().map(describe));
        }
        let is_retried = lines.contains(&"pick, not [HostName(\"a\")]".to_owned());
        assert_eq!(is_retried, idempotent, "{lines:?}");
        assert!(!lines.iter().any(|line| line.starts_with("body")), "{lines:?}");
        if !idempotent {
            insta::assert_snapshot!(lines.join("\n"), @r#"
            Cancel(RequestId(7)) on 1
            finish answer_discarded
            "#);
        }
    }
}
