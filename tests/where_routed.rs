//! `buckthornwharf where` against an entry process: its output and exit codes, and where it is answered.

#[allow(dead_code)]
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use actix_http::Method;
use buckthornwharf::direct::placement_report::{PlacementDecision, PlacementReport};
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::{CallClient, OutboundCall};
use fleet::{SoakFleet, eventually};
use standin::operator;
use std::net::SocketAddr;
use std::process::Output;

const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
// Exit codes of `where`.
const DONE: Option<i32> = Some(0);
const FAILED: Option<i32> = Some(1);
const INCOMPLETE: Option<i32> = Some(8);

/// Returns the address of the metrics of an entry, which it logs.
async fn metrics_address(fleet: &SoakFleet, entry: &str) -> SocketAddr {
    let address = || {
        let output = fleet.process(entry).output();
        let (_, rest) = output.split_once("event=metrics address=")?;
        rest.split_whitespace().next()?.parse().ok()
    };
    eventually("the entry serves metrics", || address().is_some()).await;
    address().expect("it has been logged")
}

async fn run_where(entry: SocketAddr, arguments: &[&str]) -> Output {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_buckthornwharf"));
    command.args(["where", "--entry", &entry.to_string()]).args(arguments);
    let output = actix_rt::task::spawn_blocking(move || command.output()).await;
    output.expect("no panic").expect("the command runs")
}

async fn report(entry: SocketAddr, arguments: &[&str]) -> PlacementReport {
    let output = run_where(entry, &[arguments, &["--json"]].concat()).await;
    assert_eq!(output.status.code(), DONE, "{output:?}");
    serde_json::from_slice(&output.stdout).expect("a report")
}

#[actix_rt::test]
async fn where_shows_the_decision_and_the_verdict_on_each_target() {
    let fleet = SoakFleet::start(1, 4).await;
    let entry = metrics_address(&fleet, "entry-0").await;
    let loaded = || fleet.engines.iter().all(|engine| engine.loaded() == Some(1));
    eventually("all engines load version 1", loaded).await;
    let question = ["--route", "/plain/", "--organisation", "mill", "--model", "m"];
    let listed = async || {
        let output = run_where(entry, &[&question[..], &["--json"]].concat()).await;
        let report = serde_json::from_slice::<PlacementReport>(&output.stdout).ok();
        report.is_some_and(|report| report.services[0].targets.len() == 4)
    };
    while !listed().await {}
    let before = report(entry, &question).await;
    let service = &before.services[0];
    assert!(matches!(service.decision, PlacementDecision::Sent(_)), "{before:?}");
    assert!(service.targets.iter().all(|target| target.verdict == "allowed"), "{before:?}");

    operator::evacuate(&fleet.store, "a");
    eventually("the entry hears of it", || {
        fleet.process("entry-0").output().contains("event=evacuated_sites")
    })
    .await;
    let after = report(entry, &question).await;
    for target in &after.services[0].targets {
        let is_evacuated = target.site == SiteName::from("a");
        let expected = if is_evacuated { "evacuated" } else { "allowed" };
        assert_eq!(target.verdict, expected, "{after:?}");
    }
    let text = run_where(entry, &question).await;
    assert_eq!(text.status.code(), DONE);
    let text = String::from_utf8_lossy(&text.stdout).into_owned();
    assert!(text.contains("service llm: sent to "), "{text}");
    assert_eq!(text.lines().filter(|line| line.contains(" site ")).count(), 4, "{text}");

    operator::evacuate(&fleet.store, "b");
    eventually("the entry hears of it", || {
        fleet.process("entry-0").output().contains("event=evacuated_sites count=2")
    })
    .await;
    let none = report(entry, &question).await;
    assert!(matches!(none.services[0].decision, PlacementDecision::Refused(_)), "{none:?}");
    assert_eq!(fleet.recorder.runs.borrow().len(), 0, "nothing was sent");
}

#[actix_rt::test]
async fn where_fails_with_the_exit_code_of_the_reason_and_is_not_answered_to_callers() {
    let fleet = SoakFleet::start(1, 1).await;
    let entry = metrics_address(&fleet, "entry-0").await;
    let configured = || fleet.process("entry-0").output().contains("event=config ");
    eventually("the entry has a configuration", configured).await;
    for question in [
        vec!["--route", "/nowhere/"],
        vec!["--route", "/plain/", "--organisation", "unknown"],
        vec!["--route", "/plain/"],
    ] {
        let output = run_where(entry, &question).await;
        assert_eq!(output.status.code(), FAILED, "{output:?}");
        assert!(output.stdout.is_empty());
    }
    let callers = fleet.process("entry-0").callers.get().expect("the entry runs");
    let call = OutboundCall {
        method: Method::POST,
        path_and_query: "/where".to_owned(),
        body: br#"{"route":"/plain/","organisation":"mill"}"#.to_vec().into(),
        content_type: "application/json",
        head_timeout: CONDITION_TIMEOUT,
        max_answer_bytes: 10_000,
    };
    let answer = CallClient::new(callers).call(call).await.expect("an answer");
    assert!(answer.status.is_client_error(), "{answer:?}");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let unused = listener.local_addr().expect("it is bound");
    drop(listener);
    let output = run_where(unused, &["--route", "/plain/"]).await;
    assert_eq!(output.status.code(), INCOMPLETE, "{output:?}");
}
