//! Processes that shut down finish the requests in flight and take no new ones.

use super::caller::PendingRequest;
use super::relayed_fleet::{RelayedFleet, WAIT_TIMEOUT};
use anyhow::Result;
use buckthornwharf_standin::fleet::wait_until;
use serde_json::json;

/// Enough that answers take much longer than the notice of the shutdown takes to spread.
const TOKENS: u32 = 200;
/// Few enough that the target completes its answer before the silent link is detected.
const SILENT_TOKENS: u32 = 30;
const REQUESTS: usize = 12;

fn prompt(number: usize) -> String {
    format!("in flight {number}")
}

/// Starts requests at both entries, half of them streamed, and waits until all of them run.
async fn start_requests(fleet: &RelayedFleet) -> Result<Vec<PendingRequest>> {
    let start =
        |number: usize| fleet.start_chat(number % 2, &prompt(number), TOKENS, number % 4 < 2);
    let pending: Vec<_> = (0..REQUESTS).map(start).collect();
    for number in 0..REQUESTS {
        fleet.wait_prompt_run(&prompt(number)).await?;
    }
    Ok(pending)
}

async fn check_all_complete(fleet: &RelayedFleet, pending: Vec<PendingRequest>) -> Result<()> {
    for (number, pending) in pending.into_iter().enumerate() {
        fleet.check_complete(&pending.reply().await?, &prompt(number), TOKENS)?;
        assert_eq!(fleet.prompt_runs(&prompt(number)).await?.iter().sum::<u32>(), 1);
    }
    Ok(())
}

/// Runs `count` requests on the two engines and returns how many of them ran on engine 0.
async fn runs_on_engine_0(fleet: &RelayedFleet, count: u64) -> Result<u64> {
    let before =
        [fleet.engine_counts(0).await?.runs.total, fleet.engine_counts(1).await?.runs.total];
    for number in 0..count {
        let prompt = format!("after the notice, after {} runs, {number}", before[1]);
        let reply =
            fleet.start_chat((number % 2) as usize, &prompt, 2, number % 4 < 2).reply().await?;
        fleet.check_complete(&reply, &prompt, 2)?;
    }
    let after =
        [fleet.engine_counts(0).await?.runs.total, fleet.engine_counts(1).await?.runs.total];
    assert_eq!(after[1] - before[1] + after[0] - before[0], count);
    Ok(after[0] - before[0])
}

#[actix_rt::test]
async fn an_agent_that_shuts_down_finishes_its_requests_and_gets_no_new_ones() -> Result<()> {
    let mut fleet = RelayedFleet::start(2, &["--token-gap-ms", "30"]).await?;
    let pending = start_requests(&fleet).await?;
    fleet.sample.agents[0].process.terminate()?;
    wait_until("engine 0 gets no new requests", WAIT_TIMEOUT, async || {
        runs_on_engine_0(&fleet, 4).await.is_ok_and(|runs| runs == 0)
    })
    .await?;
    assert_eq!(runs_on_engine_0(&fleet, 12).await?, 0);
    assert!(fleet.sample.agents[0].process.is_running(), "agent exited before its requests ended");
    check_all_complete(&fleet, pending).await?;
    let status = fleet.sample.agents[0].process.wait_exit(WAIT_TIMEOUT).await?;
    assert!(status.success(), "{status}");
    Ok(())
}

#[actix_rt::test]
async fn a_host_listed_as_leaving_gets_no_new_requests() -> Result<()> {
    let fleet = RelayedFleet::start(2, &["--token-gap-ms", "30"]).await?;
    let pending = start_requests(&fleet).await?;
    let mut record = fleet.sample.agents[0].record.clone();
    record.link = Some(fleet.relays[0].address);
    fleet.sample.system.mark_leaving(&record).await?;
    wait_until("engine 0 gets no new requests", WAIT_TIMEOUT, async || {
        runs_on_engine_0(&fleet, 4).await.is_ok_and(|runs| runs == 0)
    })
    .await?;
    assert_eq!(runs_on_engine_0(&fleet, 12).await?, 0);
    check_all_complete(&fleet, pending).await
}

#[actix_rt::test]
async fn an_agent_that_shuts_down_over_a_silent_link_completes_its_answers() -> Result<()> {
    let mut fleet = RelayedFleet::start(1, &["--token-gap-ms", "20"]).await?;
    for stream in [true, false] {
        let prompt = format!("silent at the end, streamed {stream}");
        let pending = fleet.start_chat(0, &prompt, SILENT_TOKENS, stream);
        fleet.wait_prompt_run(&prompt).await?;
        fleet.set_faults(fleet.relays[0].standin.address, json!({ "silence": "both" })).await?;
        fleet.sample.agents[0].process.terminate()?;
        fleet.check_complete(&pending.reply().await?, &prompt, SILENT_TOKENS)?;
        let status = fleet.sample.agents[0].process.wait_exit(WAIT_TIMEOUT).await?;
        assert!(status.success(), "{status}");
        if stream {
            fleet = RelayedFleet::start(1, &["--token-gap-ms", "20"]).await?;
        }
    }
    Ok(())
}

#[actix_rt::test]
async fn an_entry_that_shuts_down_completes_its_answers() -> Result<()> {
    let mut fleet = RelayedFleet::start(2, &["--token-gap-ms", "30"]).await?;
    let pending = start_requests(&fleet).await?;
    fleet.sample.entries[0].process.terminate()?;
    wait_until("entry accepts no new connections", WAIT_TIMEOUT, async || {
        fleet.start_chat(0, "too late", 1, false).reply().await.is_err()
    })
    .await?;
    let mut closing_replies = 0;
    for (number, pending) in pending.into_iter().enumerate() {
        let reply = pending.reply().await?;
        fleet.check_complete(&reply, &prompt(number), TOKENS)?;
        closing_replies += usize::from(reply.header("connection") == Some("close"));
    }
    assert!(closing_replies >= 1, "no reply of the entry announces that it closes its connection");
    let status = fleet.sample.entries[0].process.wait_exit(WAIT_TIMEOUT).await?;
    assert!(status.success(), "{status}");
    Ok(())
}
