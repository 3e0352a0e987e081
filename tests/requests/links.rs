//! Links that go silent, break or freeze are replaced, and the answers on them go on.

use super::proof_fleet::{LIMIT, ProofFleet};
use anyhow::Result;
use buckthornwharf_standin::fleet::{RelayProcess, wait_until};
use buckthornwharf_standin::relay::RelayCounts;
use serde_json::{Value, json};

const TOKENS: u32 = 80;
/// Long enough that a silent link is replaced before the first token.
const LATE_TOKEN_MS: u64 = 6_000;

async fn opened(fleet: &ProofFleet, relay: &RelayProcess) -> Result<u64> {
    let counts: RelayCounts = fleet.fleet.system.client.counts(relay.standin.address).await?;
    Ok(counts.opened)
}

/// Waits until an entry has opened a link after the first `before` ones.
async fn wait_redial(fleet: &ProofFleet, relay: &RelayProcess, before: u64) -> Result<()> {
    wait_until("the link is opened again", LIMIT, async || {
        opened(fleet, relay).await.is_ok_and(|opened| opened > before)
    })
    .await
}

/// Brings the fault about in the middle of an answer and checks that it is whole and ran once.
async fn fault_in_the_middle(fleet: &ProofFleet, switches: Value, stream: bool) -> Result<()> {
    let prompt = format!("{switches} in the middle, streamed {stream}");
    let asked = fleet.ask(0, &prompt, TOKENS, stream);
    let host = fleet.wait_prompt(&prompt).await?;
    fleet.wait_tokens(host, 5).await?;
    fleet.fault(fleet.relays[host].standin.address, switches).await?;
    fleet.check_whole(&asked.reply().await?, &prompt, TOKENS)?;
    if stream {
        assert_eq!(fleet.prompt_runs(&prompt).await?.iter().sum::<u32>(), 1, "{prompt}");
    }
    Ok(())
}

#[actix_rt::test]
async fn a_stream_goes_on_after_its_link_went_silent_or_broke() -> Result<()> {
    let fleet = ProofFleet::start(2, &["--token-gap-ms", "50"]).await?;
    for mode in ["both", "back", "forward"] {
        fault_in_the_middle(&fleet, json!({ "silence": mode }), true).await?;
    }
    fault_in_the_middle(&fleet, json!({ "cut": true }), true).await?;
    fault_in_the_middle(&fleet, json!({ "silence": "both" }), false).await
}

#[actix_rt::test]
async fn a_link_silent_before_the_first_byte_loses_no_answer() -> Result<()> {
    let fleet = ProofFleet::start(1, &[]).await?;
    for stream in [true, false] {
        let prompt = format!("silent before the first byte, streamed {stream}");
        fleet.fault_engines(json!({ "token_gap_ms": LATE_TOKEN_MS })).await?;
        let asked = fleet.ask(0, &prompt, TOKENS, stream);
        fleet.wait_prompt(&prompt).await?;
        fleet.fault_engines(json!({ "token_gap_ms": 1 })).await?;
        fleet.fault(fleet.relays[0].standin.address, json!({ "silence": "both" })).await?;
        fleet.check_whole(&asked.reply().await?, &prompt, TOKENS)?;
        assert_eq!(fleet.prompt_runs(&prompt).await?, [1], "{prompt}");
    }
    Ok(())
}

#[actix_rt::test]
async fn a_frozen_agent_goes_on_with_its_answers() -> Result<()> {
    let mut fleet = ProofFleet::start(1, &["--token-gap-ms", "50"]).await?;
    let prompt = "frozen in the middle";
    let asked = fleet.ask(0, prompt, TOKENS, true);
    fleet.wait_prompt(prompt).await?;
    fleet.wait_tokens(0, 5).await?;
    let before = opened(&fleet, &fleet.relays[0]).await?;
    fleet.fleet.agents[0].process.suspend()?;
    wait_redial(&fleet, &fleet.relays[0], before).await?;
    fleet.fleet.agents[0].process.resume()?;
    fleet.check_whole(&asked.reply().await?, prompt, TOKENS)?;
    assert_eq!(fleet.prompt_runs(prompt).await?, [1]);
    Ok(())
}
