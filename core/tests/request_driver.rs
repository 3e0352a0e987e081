//! The entry's side of one request, event by event.

use buckthornwharf_core::config::PriorityClass;
use buckthornwharf_core::frame::{BodyFrame, EndFrame, HeadFrame, LinkFrame, SubmitFrame};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::attempt::{DriverAction, DriverEvent, TargetChoice};
use buckthornwharf_core::request::budget::RetryBudget;
use buckthornwharf_core::request::{LinkId, RequestDriver};
use bytes::Bytes;

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

/// Runs the events after the first host was chosen and lists the actions, a line each.
fn run(idempotent: bool, budget: &mut RetryBudget, events: Vec<DriverEvent>) -> String {
    let (mut driver, actions) = RequestDriver::start(MonoTime::ZERO, submit(idempotent), budget);
    let mut lines: Vec<String> = actions.iter().map(describe).collect();
    let chosen = DriverEvent::TargetChosen(choice("a", FIRST));
    for event in std::iter::once(chosen).chain(events) {
        let actions = driver.on_event(MonoTime::from_millis(1), event, budget);
        lines.extend(actions.iter().map(describe));
    }
    lines.join("\n")
}

fn on(link: LinkId, frames: Vec<LinkFrame>) -> Vec<DriverEvent> {
    frames.into_iter().map(|frame| DriverEvent::Frame { link, frame }).collect()
}

#[test]
fn a_whole_answer_is_passed_on_in_order_and_once() {
    let frames = vec![
        LinkFrame::Accepted(ID),
        head(),
        body(0, "abc"),
        body(0, "abc"),
        body(2, "cde"),
        end(ResultCode::Ok, 5),
        end(ResultCode::Ok, 5),
    ];
    insta::assert_snapshot!(run(true, &mut RetryBudget::new(), on(FIRST, frames)), @r#"
    pick, not []
    submit on 1
    head 200
    body b"abc"
    body b"de"
    finish ok
    "#);
}

#[test]
fn an_end_that_claims_less_than_was_passed_on_is_an_error() {
    let frames = vec![head(), body(0, "abc"), end(ResultCode::Ok, 2)];
    insta::assert_snapshot!(run(true, &mut RetryBudget::new(), on(FIRST, frames)), @r#"
    pick, not []
    submit on 1
    head 200
    body b"abc"
    finish cut_short
    "#);
}

#[test]
fn a_gap_is_asked_for() {
    let frames = vec![head(), body(0, "abc"), body(5, "f"), end(ResultCode::Ok, 6)];
    insta::assert_snapshot!(run(true, &mut RetryBudget::new(), on(FIRST, frames)), @r#"
    pick, not []
    submit on 1
    head 200
    body b"abc"
    Resolve(ResolveFrame { id: RequestId(7), has_head: true, position: 3 }) on 1
    "#);
}

#[test]
fn idempotent_work_is_tried_elsewhere_while_the_budget_lasts() {
    let events = vec![
        DriverEvent::LinkLost(FIRST),
        DriverEvent::TargetChosen(choice("b", SECOND)),
        DriverEvent::Frame { link: FIRST, frame: head() },
        DriverEvent::Frame { link: SECOND, frame: end(ResultCode::TargetFailed, 0) },
    ];
    insta::assert_snapshot!(run(true, &mut RetryBudget::new(), events.clone()), @r#"
    pick, not []
    submit on 1
    cancel later on a
    pick, not [HostName("a")]
    submit on 2
    pick, not [HostName("a"), HostName("b")]
    "#);
    insta::assert_snapshot!(run(true, &mut RetryBudget::empty(), events), @r#"
    pick, not []
    submit on 1
    "#);
}

#[test]
fn other_work_waits_for_the_new_link_and_asks() {
    let events = vec![
        DriverEvent::LinkLost(FIRST),
        DriverEvent::LinkReopened(choice("a", SECOND)),
        DriverEvent::HostGone("a".into()),
    ];
    insta::assert_snapshot!(run(false, &mut RetryBudget::new(), events), @r#"
    pick, not []
    submit on 1
    Resolve(ResolveFrame { id: RequestId(7), has_head: false, position: 0 }) on 2
    finish link_lost
    "#);
}
