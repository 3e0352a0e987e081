//! A request that crashes every engine that runs it crashes two at most.

use super::proof_fleet::ProofFleet;
use anyhow::Result;
use serde_json::json;

const ENGINES: usize = 4;
const REPEATS: usize = 6;
const INNOCENTS: usize = 6;
const TOKENS: u32 = 30;

#[actix_rt::test]
async fn a_poisonous_request_crashes_two_engines_at_most() -> Result<()> {
    let fleet = ProofFleet::start(ENGINES, &["--token-gap-ms", "20"]).await?;
    fleet.fault_engines(json!({ "poison": "poison", "crash_mode": "reset" })).await?;
    let prompt = |number: usize| format!("innocent {number}");
    let innocents: Vec<_> = (0..INNOCENTS)
        .map(|number| fleet.ask(number % 2, &prompt(number), TOKENS, false))
        .collect();
    for number in 0..INNOCENTS {
        fleet.wait_prompt(&prompt(number)).await?;
    }
    for number in 0..REPEATS {
        let reply = fleet.ask(number % 2, "poison", TOKENS, false).reply().await;
        fleet.check_broken(reply, "poison", TOKENS)?;
    }
    for (number, innocent) in innocents.into_iter().enumerate() {
        fleet.check_whole(&innocent.reply().await?, &prompt(number), TOKENS)?;
    }
    let mut crashes = 0;
    for number in 0..ENGINES {
        crashes += fleet.engine(number).await?.crashes;
    }
    assert!((1..=2).contains(&crashes), "{crashes} engines crashed");
    let reply = fleet.ask(1, "poison", TOKENS, false).reply().await?;
    assert_eq!(super::asked::code_of(&reply), "103 poisonous");
    Ok(())
}
