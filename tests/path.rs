//! End to end with separate processes: a configuration folder is applied, the weights are
//! distributed, requests of both kinds are answered at every entry, and each process stops cleanly.

use anyhow::{Context, Result};
use awc::http::Method;
use buckthornwharf_core::prelude::*;
use buckthornwharf_standin::engine::{EngineCounts, expected_answer};
use buckthornwharf_standin::fleet::{EntryNode, HttpReply, SampleFleet};
use buckthornwharf_standin::plain::PlainEcho;
use buckthornwharf_standin::runs::RunCounts;
use serde_json::Value;
use std::path::Path;

const LIVE_TIMEOUT: Duration = Duration::from_secs(60);
const ENGINES: usize = 4;
const CHUNK_BYTES: u64 = 64 * 1024;
const MODEL_BYTES: usize = 300 * 1024;
const MAX_TOKENS: u32 = 12;

fn model() -> Vec<u8> {
    (0..MODEL_BYTES).map(|at| (at % 249) as u8).collect()
}

/// Checks that the reply is a success, and returns its request id.
fn check_ok(reply: &HttpReply) -> Result<String> {
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(reply.header("x-result-code"), Some("0 ok"));
    let id = reply.header("x-request-id").context("reply has no x-request-id header")?;
    id.parse::<RequestId>()?;
    Ok(id.to_owned())
}

/// Requests one completion in one piece and another one streamed; returns the ids of both requests.
async fn check_chats(
    fleet: &SampleFleet,
    entry: &EntryNode,
    digest: VersionDigest,
) -> Result<Vec<String>> {
    let (prompt, digest) = (format!("quote for {}", entry.record.name), digest.to_string());
    let complete = fleet.chat(entry.http, &prompt, MAX_TOKENS, false).await?;
    let complete_id = check_ok(&complete)?;
    assert_eq!(complete.header("x-model-digest"), Some(digest.as_str()));
    let answer: Value = complete.json()?;
    let content = &answer["choices"][0]["message"]["content"];
    assert_eq!(content.as_str(), Some(expected_answer(&prompt, MAX_TOKENS).as_str()));
    assert_eq!(answer["system_fingerprint"].as_str(), Some(digest.as_str()));
    let prompt = format!("{prompt}, streamed");
    let streamed = fleet.chat(entry.http, &prompt, MAX_TOKENS, true).await?;
    let streamed_id = check_ok(&streamed)?;
    assert_eq!(streamed.header("x-model-digest"), Some(digest.as_str()));
    let stream = streamed.stream()?;
    assert_eq!(stream.content, expected_answer(&prompt, MAX_TOKENS));
    assert_eq!(stream.fingerprints, [digest]);
    assert!(stream.is_done);
    Ok(vec![complete_id, streamed_id])
}

/// Sends a GET and a POST to the plain service, and returns the ids of both requests.
async fn check_plain(fleet: &SampleFleet, entry: &EntryNode) -> Result<Vec<String>> {
    let mut ids = Vec::new();
    for (method, body) in [(Method::GET, ""), (Method::POST, "book a slot")] {
        let reply = fleet.send_request(method.clone(), entry.http, "/portal/slots", body).await?;
        ids.push(check_ok(&reply)?);
        let echo: PlainEcho = reply.json()?;
        assert_eq!(echo.method, method.as_str());
        assert_eq!((echo.path.as_str(), echo.body.as_str()), ("/portal/slots", body));
    }
    Ok(ids)
}

/// Number of runs of each request, summed over all engines.
async fn engine_runs(fleet: &SampleFleet, ids: &[String]) -> Result<Vec<u32>> {
    let mut runs = vec![0; ids.len()];
    for engine in &fleet.engines {
        let counts: EngineCounts = fleet.system.client.counts(engine.address).await?;
        for (runs, id) in runs.iter_mut().zip(ids) {
            *runs += counts.runs.by_request.get(id).copied().unwrap_or(0);
        }
    }
    Ok(runs)
}

#[actix_rt::test]
async fn requests_are_answered_end_to_end_and_processes_stop_cleanly() -> Result<()> {
    let program = Path::new(env!("CARGO_BIN_EXE_buckthornwharf"));
    let mut fleet = SampleFleet::start(program, ENGINES, &[]).await?;
    let digest = fleet.publish_and_apply(model(), CHUNK_BYTES).await?;
    fleet.wait_live(digest, LIVE_TIMEOUT).await?;
    for engine in &fleet.engines {
        let counts: EngineCounts = fleet.system.client.counts(engine.address).await?;
        assert_eq!(counts.versions, [digest]);
    }
    let (mut chat_ids, mut plain_ids) = (Vec::new(), Vec::new());
    for entry in &fleet.entries {
        chat_ids.extend(check_chats(&fleet, entry, digest).await?);
        plain_ids.extend(check_plain(&fleet, entry).await?);
    }
    assert_eq!(engine_runs(&fleet, &chat_ids).await?, vec![1; chat_ids.len()]);
    let counts: RunCounts = fleet.system.client.counts(fleet.plain.address).await?;
    let runs: Vec<_> = plain_ids.iter().map(|id| counts.by_request.get(id).copied()).collect();
    assert_eq!(runs, vec![Some(1); plain_ids.len()]);
    assert_eq!(counts.by_text.get("book a slot"), Some(&2));
    fleet.stop().await
}
