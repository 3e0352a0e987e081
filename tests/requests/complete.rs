//! Answers are complete and belong to their request, or are recognisably incomplete.

use super::relayed_fleet::{RelayedFleet, WAIT_TIMEOUT, model};
use anyhow::Result;
use awc::http::Method;
use buckthornwharf_standin::fleet::wait_until;
use serde_json::json;

const REQUESTS: usize = 60;
const TOKENS: u32 = 40;
const LONG_TOKENS: u32 = 400;

#[actix_rt::test]
async fn concurrent_answers_are_complete_and_match_their_requests() -> Result<()> {
    let fleet = RelayedFleet::start(3, &["--token-gap-ms", "2"]).await?;
    let prompt = |number: usize| format!("quote {number}");
    let pending: Vec<_> = (0..REQUESTS)
        .map(|number| fleet.start_chat(number % 2, &prompt(number), TOKENS, number % 4 < 2))
        .collect();
    for (number, pending) in pending.into_iter().enumerate() {
        fleet.check_complete(&pending.reply().await?, &prompt(number), TOKENS)?;
    }
    Ok(())
}

#[actix_rt::test]
async fn a_request_whose_caller_disconnects_is_cancelled() -> Result<()> {
    let fleet = RelayedFleet::start(1, &["--token-gap-ms", "50"]).await?;
    for stream in [true, false] {
        let broken_off = fleet.engine_counts(0).await?.broken_off;
        let prompt = format!("gone, streamed {stream}");
        let pending = fleet.start_chat(0, &prompt, LONG_TOKENS, stream);
        fleet.wait_prompt_run(&prompt).await?;
        fleet.wait_tokens(0, 3).await?;
        pending.abandon();
        let is_cancelled = async || {
            fleet.engine_counts(0).await.is_ok_and(|counts| counts.broken_off == broken_off + 1)
        };
        wait_until(&format!("{prompt}: the engine's run is cancelled"), WAIT_TIMEOUT, is_cancelled)
            .await?;
    }
    Ok(())
}

#[actix_rt::test]
async fn killing_an_agent_leaves_an_incomplete_answer_or_fails_over_to_another_host() -> Result<()>
{
    let mut fleet = RelayedFleet::start(3, &["--token-gap-ms", "40"]).await?;
    let pending = fleet.start_chat(0, "cut in the middle", LONG_TOKENS, true);
    let first = fleet.wait_prompt_run("cut in the middle").await?;
    fleet.wait_tokens(first, 5).await?;
    fleet.sample.agents[first].process.kill()?;
    fleet.check_incomplete(pending.reply().await, "cut in the middle", LONG_TOKENS)?;
    // Killed before the first byte: the engine of the first attempt never sends one.
    fleet.set_engine_faults(json!({ "stall_after": 0, "token_gap_ms": 1 })).await?;
    let pending = fleet.start_chat(1, "asked again elsewhere", TOKENS, true);
    let second = fleet.wait_prompt_run("asked again elsewhere").await?;
    fleet.set_engine_faults(json!({ "stall_after": null })).await?;
    fleet.sample.agents[second].process.kill()?;
    fleet.check_complete(&pending.reply().await?, "asked again elsewhere", TOKENS)
}

#[actix_rt::test]
async fn killing_an_entry_leaves_an_incomplete_answer() -> Result<()> {
    let mut fleet = RelayedFleet::start(1, &["--token-gap-ms", "40"]).await?;
    for stream in [true, false] {
        let prompt = format!("the entry dies, streamed {stream}");
        let entry = usize::from(stream);
        let pending = fleet.start_chat(entry, &prompt, LONG_TOKENS, stream);
        fleet.wait_prompt_run(&prompt).await?;
        fleet.wait_tokens(0, 3).await?;
        if stream {
            fleet.sample.entries[entry].process.kill()?;
            fleet.check_incomplete(pending.reply().await, &prompt, LONG_TOKENS)?;
            let again =
                fleet.start_chat(0, "asked at the other entry", TOKENS, true).reply().await?;
            fleet.check_complete(&again, "asked at the other entry", TOKENS)?;
        } else {
            fleet.sample.entries[entry].process.kill()?;
            assert!(pending.reply().await.is_err());
        }
    }
    Ok(())
}

#[actix_rt::test]
async fn answers_from_other_weights_are_discarded() -> Result<()> {
    let fleet = RelayedFleet::start(2, &["--token-gap-ms", "2"]).await?;
    let digest = fleet.digest;
    // Replaces the weights of engine 0 directly, without its agent.
    let engine = fleet.sample.engines[0].address;
    fleet.set_faults(engine, json!({ "checks_digest": false })).await?;
    let client = &fleet.sample.system.client;
    let headers = [("X-Chunk-Bytes", "32768"), ("X-Fence", "0")];
    client
        .send(Method::DELETE, engine, &format!("/v1/models/{digest}"), &headers, "")
        .await?
        .ok()?;
    let path = format!("/v1/models/{digest}");
    client.send(Method::PUT, engine, &path, &headers, model(7)).await?.ok()?;
    let prompt = |number: usize| format!("mixed {number}");
    let pending: Vec<_> = (0..20)
        .map(|number| fleet.start_chat(number % 2, &prompt(number), TOKENS, number % 4 < 2))
        .collect();
    for (number, pending) in pending.into_iter().enumerate() {
        let reply = pending.reply().await?;
        fleet.check_complete(&reply, &prompt(number), TOKENS)?;
    }
    Ok(())
}
