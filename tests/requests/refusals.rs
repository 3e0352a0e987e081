//! Requests that can't be served are refused at once, with a result code.

use super::caller::{chat_body, result_code, send};
use super::relayed_fleet::{RelayedFleet, WAIT_TIMEOUT};
use anyhow::Result;
use awc::http::Method;
use buckthornwharf_standin::fleet::{CHAT_PATH, ConfigFile, HttpReply, sample_config, wait_until};
use serde_json::json;

const TOKENS: u32 = 4;
/// One byte more than the largest body that an entry accepts.
const TOO_LARGE_BYTES: usize = 1024 * 1024 + 1;

fn reply_line(case: &str, reply: &HttpReply) -> String {
    let retry_after = reply.header("retry-after").unwrap_or("-");
    format!("{case}: {} {}, retry after {retry_after}", reply.status, result_code(reply))
}

/// Applies the sample configuration with a limit on the organisation's requests in flight.
async fn apply_in_flight_limit(fleet: &RelayedFleet, limit: u32) -> Result<()> {
    let text = format!("organisations:\n  tea-packers:\n    max_in_flight: {limit}\n");
    let file = ConfigFile { name: "90-limits.yaml".to_owned(), text };
    fleet.sample.system.apply(&[sample_config(fleet.digest), vec![file]].concat()).await
}

#[actix_rt::test]
async fn refusals_are_final_and_name_their_code() -> Result<()> {
    let mut fleet = RelayedFleet::start(1, &[]).await?;
    let entry = fleet.entry(0);
    let mut lines = Vec::new();
    let chat = || chat_body("refused", TOKENS, false);
    let client = fleet.sample.system.client.clone();
    let reply = client.send(Method::POST, entry, CHAT_PATH, &[], chat()).await?;
    lines.push(reply_line("no key", &reply));
    let unknown_key = [("Authorization", "Bearer of another")];
    let reply = client.send(Method::POST, entry, CHAT_PATH, &unknown_key, chat()).await?;
    lines.push(reply_line("unknown key", &reply));
    for (case, path, headers, body) in [
        ("no route", "/nowhere", &[][..], chat()),
        ("too large", CHAT_PATH, &[], "x".repeat(TOO_LARGE_BYTES)),
        ("empty idempotency key", "/portal/book", &[("Idempotency-Key", "")], chat()),
        ("bad deadline", CHAT_PATH, &[("X-Deadline-Ms", "soon")], chat()),
        ("malformed", CHAT_PATH, &[], "{".to_owned()),
        ("no time left", CHAT_PATH, &[("X-Deadline-Ms", "0")], chat()),
    ] {
        let reply = send(entry, Method::POST, path, headers, body).await?;
        lines.push(reply_line(case, &reply));
    }
    apply_in_flight_limit(&fleet, 1).await?;
    fleet.set_engine_faults(json!({ "token_gap_ms": 300 })).await?;
    let refused_over_limit = async || {
        let in_flight = fleet.start_chat(0, "takes the only slot", 10, false);
        fleet.wait_prompt_run("takes the only slot").await.ok()?;
        let reply = fleet.start_chat(0, "one too many", TOKENS, false).reply().await.ok()?;
        in_flight.reply().await.ok()?;
        (reply.status != 200).then_some(reply)
    };
    let mut reply = None;
    wait_until("the limit is active", WAIT_TIMEOUT, async || {
        reply = refused_over_limit().await;
        reply.is_some()
    })
    .await?;
    lines.extend(reply.map(|reply| reply_line("over the limit", &reply)));
    fleet.sample.agents[0].process.kill()?;
    fleet.sample.agents[0].process.wait_exit(WAIT_TIMEOUT).await?;
    let mut reply = None;
    wait_until("the entry has learned that no target serves", WAIT_TIMEOUT, async || {
        reply = fleet.start_chat(0, "nobody serves", TOKENS, false).reply().await.ok();
        reply.as_ref().is_some_and(|reply| result_code(reply).starts_with("200"))
    })
    .await?;
    lines.extend(reply.map(|reply| reply_line("no serving target", &reply)));
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
