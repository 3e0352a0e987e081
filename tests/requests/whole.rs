//! Answers are whole and belong to their request, or are visibly broken.

use super::proof_fleet::{LIMIT, ProofFleet, model};
use anyhow::Result;
use awc::http::Method;
use buckthornwharf_standin::fleet::wait_until;
use serde_json::json;

const REQUESTS: usize = 60;
const TOKENS: u32 = 40;
const LONG_TOKENS: u32 = 400;

#[actix_rt::test]
async fn concurrent_answers_are_whole_and_own() -> Result<()> {
    let fleet = ProofFleet::start(3, &["--token-gap-ms", "2"]).await?;
    let prompt = |number: usize| format!("quote {number}");
    let asked: Vec<_> = (0..REQUESTS)
        .map(|number| fleet.ask(number % 2, &prompt(number), TOKENS, number % 4 < 2))
        .collect();
    for (number, asked) in asked.into_iter().enumerate() {
        fleet.check_whole(&asked.reply().await?, &prompt(number), TOKENS)?;
    }
    Ok(())
}

#[actix_rt::test]
async fn the_work_of_a_caller_that_went_away_is_cancelled() -> Result<()> {
    let fleet = ProofFleet::start(1, &["--token-gap-ms", "50"]).await?;
    for stream in [true, false] {
        let broken_off = fleet.engine(0).await?.broken_off;
        let prompt = format!("gone, streamed {stream}");
        let asked = fleet.ask(0, &prompt, LONG_TOKENS, stream);
        fleet.wait_prompt(&prompt).await?;
        fleet.wait_tokens(0, 3).await?;
        asked.abandon();
        let is_cancelled =
            async || fleet.engine(0).await.is_ok_and(|counts| counts.broken_off == broken_off + 1);
        wait_until(&format!("{prompt}: the engine's run is cancelled"), LIMIT, is_cancelled)
            .await?;
    }
    Ok(())
}

#[actix_rt::test]
async fn a_killed_agent_leaves_a_broken_answer_or_another_host_answers() -> Result<()> {
    let mut fleet = ProofFleet::start(3, &["--token-gap-ms", "40"]).await?;
    let asked = fleet.ask(0, "cut in the middle", LONG_TOKENS, true);
    let first = fleet.wait_prompt("cut in the middle").await?;
    fleet.wait_tokens(first, 5).await?;
    fleet.fleet.agents[first].process.kill()?;
    fleet.check_broken(asked.reply().await, "cut in the middle", LONG_TOKENS)?;
    // Before the first byte: the engine of the first attempt never answers.
    fleet.fault_engines(json!({ "stall_after": 0, "token_gap_ms": 1 })).await?;
    let asked = fleet.ask(1, "asked again elsewhere", TOKENS, true);
    let second = fleet.wait_prompt("asked again elsewhere").await?;
    fleet.fault_engines(json!({ "stall_after": null })).await?;
    fleet.fleet.agents[second].process.kill()?;
    fleet.check_whole(&asked.reply().await?, "asked again elsewhere", TOKENS)
}

#[actix_rt::test]
async fn a_killed_entry_leaves_a_broken_answer() -> Result<()> {
    let mut fleet = ProofFleet::start(1, &["--token-gap-ms", "40"]).await?;
    for stream in [true, false] {
        let prompt = format!("the entry dies, streamed {stream}");
        let entry = usize::from(stream);
        let asked = fleet.ask(entry, &prompt, LONG_TOKENS, stream);
        fleet.wait_prompt(&prompt).await?;
        fleet.wait_tokens(0, 3).await?;
        if stream {
            fleet.fleet.entries[entry].process.kill()?;
            fleet.check_broken(asked.reply().await, &prompt, LONG_TOKENS)?;
            let again = fleet.ask(0, "asked at the other entry", TOKENS, true).reply().await?;
            fleet.check_whole(&again, "asked at the other entry", TOKENS)?;
        } else {
            fleet.fleet.entries[entry].process.kill()?;
            assert!(asked.reply().await.is_err());
        }
    }
    Ok(())
}

#[actix_rt::test]
async fn answers_from_other_weights_are_discarded() -> Result<()> {
    let fleet = ProofFleet::start(2, &["--token-gap-ms", "2"]).await?;
    let old = fleet.digest;
    // Somebody else gives the first engine other weights behind its agent's back.
    let engine = fleet.fleet.engines[0].address;
    fleet.fault(engine, json!({ "checks_digest": false })).await?;
    let client = &fleet.fleet.system.client;
    let headers = [("X-Chunk-Bytes", "32768"), ("X-Fence", "0")];
    client.send(Method::DELETE, engine, &format!("/v1/models/{old}"), &headers, "").await?.ok()?;
    let path = format!("/v1/models/{old}");
    client.send(Method::PUT, engine, &path, &headers, model(7)).await?.ok()?;
    let prompt = |number: usize| format!("mixed {number}");
    let asked: Vec<_> = (0..20)
        .map(|number| fleet.ask(number % 2, &prompt(number), TOKENS, number % 4 < 2))
        .collect();
    for (number, asked) in asked.into_iter().enumerate() {
        let reply = asked.reply().await?;
        fleet.check_whole(&reply, &prompt(number), TOKENS)?;
    }
    Ok(())
}
