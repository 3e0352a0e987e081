//! Processes that leave cut nothing and take no new work.

use super::asked::AskedRequest;
use super::proof_fleet::{LIMIT, ProofFleet};
use anyhow::Result;
use buckthornwharf_standin::fleet::wait_until;
use serde_json::json;

/// Enough that answers outlast the notice by far.
const TOKENS: u32 = 200;
/// Few enough that the target ends its answer before a silent link is noticed.
const SILENT_TOKENS: u32 = 30;
const ASKED: usize = 12;

fn prompt(number: usize) -> String {
    format!("in flight {number}")
}

/// Requests in flight at both entries, half of them streamed, once all of them run.
async fn ask_many(fleet: &ProofFleet) -> Result<Vec<AskedRequest>> {
    let ask = |number: usize| fleet.ask(number % 2, &prompt(number), TOKENS, number % 4 < 2);
    let asked: Vec<_> = (0..ASKED).map(ask).collect();
    for number in 0..ASKED {
        fleet.wait_prompt(&prompt(number)).await?;
    }
    Ok(asked)
}

async fn check_all(fleet: &ProofFleet, asked: Vec<AskedRequest>) -> Result<()> {
    for (number, asked) in asked.into_iter().enumerate() {
        fleet.check_whole(&asked.reply().await?, &prompt(number), TOKENS)?;
        assert_eq!(fleet.prompt_runs(&prompt(number)).await?.iter().sum::<u32>(), 1);
    }
    Ok(())
}

/// Asks until engine 1 has run `more` requests more, and returns the runs of engine 0 meanwhile.
async fn runs_beside(fleet: &ProofFleet, more: u64) -> Result<u64> {
    let before = [fleet.engine(0).await?.runs.total, fleet.engine(1).await?.runs.total];
    for number in 0..more {
        let prompt = format!("after the notice, after {} runs, {number}", before[1]);
        let reply = fleet.ask((number % 2) as usize, &prompt, 2, number % 4 < 2).reply().await?;
        fleet.check_whole(&reply, &prompt, 2)?;
    }
    let after = [fleet.engine(0).await?.runs.total, fleet.engine(1).await?.runs.total];
    assert_eq!(after[1] - before[1] + after[0] - before[0], more);
    Ok(after[0] - before[0])
}

#[actix_rt::test]
async fn an_agent_that_leaves_finishes_its_work_and_gets_no_new() -> Result<()> {
    let mut fleet = ProofFleet::start(2, &["--token-gap-ms", "30"]).await?;
    let asked = ask_many(&fleet).await?;
    fleet.fleet.agents[0].process.terminate()?;
    wait_until("engine 0 gets no new work", LIMIT, async || {
        runs_beside(&fleet, 4).await.is_ok_and(|runs| runs == 0)
    })
    .await?;
    assert_eq!(runs_beside(&fleet, 12).await?, 0);
    assert!(fleet.fleet.agents[0].process.is_running(), "the agent left before its work ended");
    check_all(&fleet, asked).await?;
    let status = fleet.fleet.agents[0].process.wait_exit(LIMIT).await?;
    assert!(status.success(), "{status}");
    Ok(())
}

#[actix_rt::test]
async fn a_host_that_the_list_calls_leaving_gets_no_new_work() -> Result<()> {
    let fleet = ProofFleet::start(2, &["--token-gap-ms", "30"]).await?;
    let asked = ask_many(&fleet).await?;
    let mut record = fleet.fleet.agents[0].record.clone();
    record.link = Some(fleet.relays[0].address);
    fleet.fleet.system.mark_leaving(&record).await?;
    wait_until("engine 0 gets no new work", LIMIT, async || {
        runs_beside(&fleet, 4).await.is_ok_and(|runs| runs == 0)
    })
    .await?;
    assert_eq!(runs_beside(&fleet, 12).await?, 0);
    check_all(&fleet, asked).await
}

#[actix_rt::test]
async fn an_agent_that_leaves_over_a_silent_link_cuts_nothing() -> Result<()> {
    let mut fleet = ProofFleet::start(1, &["--token-gap-ms", "20"]).await?;
    for stream in [true, false] {
        let prompt = format!("silent at the end, streamed {stream}");
        let asked = fleet.ask(0, &prompt, SILENT_TOKENS, stream);
        fleet.wait_prompt(&prompt).await?;
        fleet.fault(fleet.relays[0].standin.address, json!({ "silence": "both" })).await?;
        fleet.fleet.agents[0].process.terminate()?;
        fleet.check_whole(&asked.reply().await?, &prompt, SILENT_TOKENS)?;
        let status = fleet.fleet.agents[0].process.wait_exit(LIMIT).await?;
        assert!(status.success(), "{status}");
        if stream {
            fleet = ProofFleet::start(1, &["--token-gap-ms", "20"]).await?;
        }
    }
    Ok(())
}

#[actix_rt::test]
async fn an_entry_that_leaves_finishes_its_answers() -> Result<()> {
    let mut fleet = ProofFleet::start(2, &["--token-gap-ms", "30"]).await?;
    let asked = ask_many(&fleet).await?;
    fleet.fleet.entries[0].process.terminate()?;
    wait_until("the entry takes no new connection", LIMIT, async || {
        fleet.ask(0, "too late", 1, false).reply().await.is_err()
    })
    .await?;
    let mut closing = 0;
    for (number, asked) in asked.into_iter().enumerate() {
        let reply = asked.reply().await?;
        fleet.check_whole(&reply, &prompt(number), TOKENS)?;
        closing += usize::from(reply.header("connection") == Some("close"));
    }
    assert!(closing >= 1, "no answer of the leaving entry says that its connection closes");
    let status = fleet.fleet.entries[0].process.wait_exit(LIMIT).await?;
    assert!(status.success(), "{status}");
    Ok(())
}
