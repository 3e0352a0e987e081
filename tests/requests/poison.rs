//! A request that crashes every engine that runs it is refused after at most two crashes.

use super::relayed_fleet::RelayedFleet;
use anyhow::Result;
use serde_json::json;

const ENGINES: usize = 4;
const POISON_ATTEMPTS: usize = 6;
const OTHER_REQUESTS: usize = 6;
const TOKENS: u32 = 30;

#[actix_rt::test]
async fn a_poisonous_request_crashes_at_most_two_engines() -> Result<()> {
    let fleet = RelayedFleet::start(ENGINES, &["--token-gap-ms", "20"]).await?;
    fleet.set_engine_faults(json!({ "poison": "poison", "crash_mode": "reset" })).await?;
    let prompt = |number: usize| format!("other request {number}");
    let others: Vec<_> = (0..OTHER_REQUESTS)
        .map(|number| fleet.start_chat(number % 2, &prompt(number), TOKENS, false))
        .collect();
    for number in 0..OTHER_REQUESTS {
        fleet.wait_prompt_run(&prompt(number)).await?;
    }
    for number in 0..POISON_ATTEMPTS {
        let reply = fleet.start_chat(number % 2, "poison", TOKENS, false).reply().await;
        fleet.check_incomplete(reply, "poison", TOKENS)?;
    }
    for (number, other) in others.into_iter().enumerate() {
        fleet.check_complete(&other.reply().await?, &prompt(number), TOKENS)?;
    }
    let mut crashes = 0;
    for number in 0..ENGINES {
        crashes += fleet.engine_counts(number).await?.crashes;
    }
    assert!((1..=2).contains(&crashes), "{crashes} engines crashed");
    let reply = fleet.start_chat(1, "poison", TOKENS, false).reply().await?;
    assert_eq!(super::caller::result_code(&reply), "103 poisonous");
    Ok(())
}
