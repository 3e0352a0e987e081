//! Links that go silent, break or whose agent is suspended are reconnected, and the answers on them
//! continue.

use super::relayed_fleet::{RelayedFleet, WAIT_TIMEOUT};
use anyhow::Result;
use buckthornwharf_standin::fleet::{RelayProcess, wait_until};
use buckthornwharf_standin::relay::RelayCounts;
use serde_json::{Value, json};

const TOKENS: u32 = 80;
/// Long enough that a silent link is reconnected before the first token.
const LATE_TOKEN_MS: u64 = 6_000;

async fn opened_links(fleet: &RelayedFleet, relay: &RelayProcess) -> Result<u64> {
    let counts: RelayCounts = fleet.sample.system.client.counts(relay.standin.address).await?;
    Ok(counts.opened)
}

/// Waits until the relay has seen more than `before` links opened.
async fn wait_reconnect(fleet: &RelayedFleet, relay: &RelayProcess, before: u64) -> Result<()> {
    wait_until("the link is reconnected", WAIT_TIMEOUT, async || {
        opened_links(fleet, relay).await.is_ok_and(|opened| opened > before)
    })
    .await
}

/// Injects the fault in the middle of an answer and checks that the answer is complete and, if
/// streamed, that the request ran once.
async fn check_fault_mid_answer(fleet: &RelayedFleet, switches: Value, stream: bool) -> Result<()> {
    let prompt = format!("{switches} in the middle, streamed {stream}");
    let pending = fleet.start_chat(0, &prompt, TOKENS, stream);
    let host = fleet.wait_prompt_run(&prompt).await?;
    fleet.wait_tokens(host, 5).await?;
    fleet.set_faults(fleet.relays[host].standin.address, switches).await?;
    fleet.check_complete(&pending.reply().await?, &prompt, TOKENS)?;
    if stream {
        assert_eq!(fleet.prompt_runs(&prompt).await?.iter().sum::<u32>(), 1, "{prompt}");
    }
    Ok(())
}

#[actix_rt::test]
async fn a_stream_continues_after_its_link_goes_silent_or_breaks() -> Result<()> {
    let fleet = RelayedFleet::start(2, &["--token-gap-ms", "50"]).await?;
    for mode in ["both", "back", "forward"] {
        check_fault_mid_answer(&fleet, json!({ "silence": mode }), true).await?;
    }
    check_fault_mid_answer(&fleet, json!({ "cut": true }), true).await?;
    check_fault_mid_answer(&fleet, json!({ "silence": "both" }), false).await
}

#[actix_rt::test]
async fn a_link_silent_before_the_first_byte_loses_no_answer() -> Result<()> {
    let fleet = RelayedFleet::start(1, &[]).await?;
    for stream in [true, false] {
        let prompt = format!("silent before the first byte, streamed {stream}");
        fleet.set_engine_faults(json!({ "token_gap_ms": LATE_TOKEN_MS })).await?;
        let pending = fleet.start_chat(0, &prompt, TOKENS, stream);
        fleet.wait_prompt_run(&prompt).await?;
        fleet.set_engine_faults(json!({ "token_gap_ms": 1 })).await?;
        fleet.set_faults(fleet.relays[0].standin.address, json!({ "silence": "both" })).await?;
        fleet.check_complete(&pending.reply().await?, &prompt, TOKENS)?;
        assert_eq!(fleet.prompt_runs(&prompt).await?, [1], "{prompt}");
    }
    Ok(())
}

#[actix_rt::test]
async fn a_suspended_agent_resumes_its_answers() -> Result<()> {
    let mut fleet = RelayedFleet::start(1, &["--token-gap-ms", "50"]).await?;
    let prompt = "frozen in the middle";
    let pending = fleet.start_chat(0, prompt, TOKENS, true);
    fleet.wait_prompt_run(prompt).await?;
    fleet.wait_tokens(0, 5).await?;
    let before = opened_links(&fleet, &fleet.relays[0]).await?;
    fleet.sample.agents[0].process.suspend()?;
    wait_reconnect(&fleet, &fleet.relays[0], before).await?;
    fleet.sample.agents[0].process.resume()?;
    fleet.check_complete(&pending.reply().await?, prompt, TOKENS)?;
    assert_eq!(fleet.prompt_runs(prompt).await?, [1]);
    Ok(())
}
