//! What can't be done is refused at once, with its code.

use super::asked::{chat_body, code_of, send};
use super::proof_fleet::{LIMIT, ProofFleet};
use anyhow::Result;
use awc::http::Method;
use buckthornwharf_standin::fleet::{CHAT_PATH, ConfigFile, HttpReply, sample_config, wait_until};
use serde_json::json;

const TOKENS: u32 = 4;
/// One byte more than an entry takes.
const TOO_LARGE: usize = 1024 * 1024 + 1;

fn line(what: &str, reply: &HttpReply) -> String {
    let after = reply.header("retry-after").unwrap_or("-");
    format!("{what}: {} {}, retry after {after}", reply.status, code_of(reply))
}

/// The sample configuration with a limit on the organisation's requests in flight.
async fn limit_in_flight(fleet: &ProofFleet, limit: u32) -> Result<()> {
    let text = format!("organisations:\n  tea-packers:\n    max_in_flight: {limit}\n");
    let file = ConfigFile { name: "90-limits.yaml".to_owned(), text };
    fleet.fleet.system.apply(&[sample_config(fleet.digest), vec![file]].concat()).await
}

#[actix_rt::test]
async fn refusals_are_final_and_name_their_code() -> Result<()> {
    let mut fleet = ProofFleet::start(1, &[]).await?;
    let entry = fleet.entry(0);
    let mut lines = Vec::new();
    let chat = || chat_body("refused", TOKENS, false);
    let client = fleet.fleet.system.client.clone();
    let reply = client.send(Method::POST, entry, CHAT_PATH, &[], chat()).await?;
    lines.push(line("no key", &reply));
    let wrong = [("Authorization", "Bearer of another")];
    let reply = client.send(Method::POST, entry, CHAT_PATH, &wrong, chat()).await?;
    lines.push(line("unknown key", &reply));
    for (what, path, headers, body) in [
        ("no route", "/nowhere", &[][..], chat()),
        ("too large", CHAT_PATH, &[], "x".repeat(TOO_LARGE)),
        ("empty idempotency key", "/portal/book", &[("Idempotency-Key", "")], chat()),
        ("bad deadline", CHAT_PATH, &[("X-Deadline-Ms", "soon")], chat()),
        ("malformed", CHAT_PATH, &[], "{".to_owned()),
        ("no time left", CHAT_PATH, &[("X-Deadline-Ms", "0")], chat()),
    ] {
        let reply = send(entry, Method::POST, path, headers, body).await?;
        lines.push(line(what, &reply));
    }
    limit_in_flight(&fleet, 1).await?;
    fleet.fault_engines(json!({ "token_gap_ms": 300 })).await?;
    let over_limit = async || {
        let long = fleet.ask(0, "holds the only place", 10, false);
        fleet.wait_prompt("holds the only place").await.ok()?;
        let reply = fleet.ask(0, "one too many", TOKENS, false).reply().await.ok()?;
        long.reply().await.ok()?;
        (reply.status != 200).then_some(reply)
    };
    let mut reply = None;
    wait_until("the limit is in force", LIMIT, async || {
        reply = over_limit().await;
        reply.is_some()
    })
    .await?;
    lines.extend(reply.map(|reply| line("over the limit", &reply)));
    fleet.fleet.agents[0].process.kill()?;
    fleet.fleet.agents[0].process.wait_exit(LIMIT).await?;
    let mut reply = None;
    wait_until("the entry knows that no target serves", LIMIT, async || {
        reply = fleet.ask(0, "nobody serves", TOKENS, false).reply().await.ok();
        reply.as_ref().is_some_and(|reply| code_of(reply).starts_with("200"))
    })
    .await?;
    lines.extend(reply.map(|reply| line("no serving target", &reply)));
    insta::assert_snapshot!(lines.join("\n"), @"
    no key: 401 101 unknown_key, retry after -
    unknown key: 401 101 unknown_key, retry after -
    no route: 404 102 no_route, retry after -
    too large: 400 100 bad_request, retry after -
    empty idempotency key: 400 100 bad_request, retry after -
    bad deadline: 400 100 bad_request, retry after -
    malformed: 400 0 ok, retry after -
    no time left: 503 206 deadline_before, retry after 1
    over the limit: 429 202 over_limit, retry after 1
    no serving target: 503 200 not_serving, retry after 5
    ");
    assert_eq!(fleet.prompt_runs("refused").await?, [0]);
    Ok(())
}
