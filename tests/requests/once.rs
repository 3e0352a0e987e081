//! Work that must not be repeated runs at most once, and did not run where the answer says so.

use super::asked::{AskedRequest, class_of, code_of, says_not_run, send};
use super::proof_fleet::{LIMIT, ProofFleet};
use anyhow::Result;
use awc::http::Method;
use buckthornwharf_core::prelude::*;
use buckthornwharf_standin::fleet::{AgentNode, AgentPlan, HttpReply, PLAIN_SERVICE, wait_until};
use serde_json::{Value, json};
use tokio::time::sleep;

/// Longer than a silent link needs to be replaced.
const SLOW_RUN_MS: u64 = 3_500;
/// Time in which work that was refused as "not run" could still run if that were false.
const AFTERMATH: Duration = Duration::from_secs(4);

/// What was answered to each booking, to be compared with its runs.
#[derive(Default)]
struct BookingList(Vec<(String, Result<HttpReply>)>);

impl BookingList {
    async fn add(&mut self, body: &str, asked: AskedRequest) {
        self.0.push((body.to_owned(), asked.reply().await));
    }

    /// What each booking ended with, and how often it ran.
    async fn summary(&self, fleet: &ProofFleet) -> Result<String> {
        let mut lines = Vec::new();
        for (body, reply) in &self.0 {
            let code = reply.as_ref().map_or("cut", code_of);
            lines.push(format!("{body}: {code}, runs {}", fleet.body_runs(body).await?));
        }
        Ok(lines.join("\n"))
    }

    async fn check(&self, fleet: &ProofFleet) -> Result<()> {
        sleep(AFTERMATH).await;
        for (body, reply) in &self.0 {
            let runs = fleet.body_runs(body).await?;
            assert!(runs <= 1, "{body}: {runs} runs");
            assert!(runs == 0 || !says_not_run(reply), "{body}: ran though refused");
            let is_done = reply.as_ref().is_ok_and(|reply| reply.status == 200);
            assert!(runs == 1 || !is_done, "{body}: did not run though answered");
        }
        Ok(())
    }
}

/// Starts an agent beside the plain service.
async fn start_agent(fleet: &ProofFleet, host: HostName) -> Result<AgentNode> {
    let plan = AgentPlan {
        host,
        site: fleet.fleet.plain_agent.record.site.clone(),
        service: PLAIN_SERVICE.into(),
        target: fleet.fleet.plain.address,
        target_checks_fence: false,
        target_holds: 1,
    };
    fleet.fleet.system.start_agent(plan).await
}

/// Starts the plain service's agent again, as a replaced host of the same name.
async fn replace_agent(fleet: &mut ProofFleet) -> Result<()> {
    let host = fleet.fleet.plain_agent.record.name.clone();
    fleet.fleet.plain_agent = start_agent(fleet, host).await?;
    fleet.wait_booking("ready again").await
}

impl ProofFleet {
    async fn fault_plain(&self, switches: Value) -> Result<()> {
        self.fault(self.fleet.plain.address, switches).await
    }

    async fn fault_kv(&self, switches: Value) -> Result<()> {
        self.fault(self.fleet.system.kv.address, switches).await
    }

    /// Waits until both entries reach the plain service.
    async fn wait_booking(&self, body: &str) -> Result<()> {
        for entry in 0..self.fleet.entries.len() {
            wait_until("bookings work", LIMIT, async || {
                self.book(entry, body, &[]).await.is_ok_and(|reply| reply.status == 200)
            })
            .await?;
        }
        Ok(())
    }
}

#[actix_rt::test]
async fn a_booking_whose_link_fails_runs_at_most_once() -> Result<()> {
    let fleet = ProofFleet::start(0, &[]).await?;
    let relay = fleet.plain_relay.standin.address;
    let (mut bookings, mut unforeseen) = (BookingList::default(), BookingList::default());
    for (fault, switches) in [
        ("silent both ways", json!({ "silence": "both" })),
        ("silent forward", json!({ "silence": "forward" })),
        ("silent back", json!({ "silence": "back" })),
        ("cut", json!({ "cut": true })),
    ] {
        let body = format!("{fault} when sent");
        fleet.fault(relay, switches.clone()).await?;
        // Whether a link that was cut is open again in time can't be foretold.
        let sent = if fault == "cut" { &mut unforeseen } else { &mut bookings };
        sent.add(&body, fleet.ask_booking(0, &body, "")).await;
        fleet.wait_booking("ready again").await?;
        let body = format!("{fault} when dispatched");
        fleet.fault_plain(json!({ "delay_ms": SLOW_RUN_MS })).await?;
        let asked = fleet.ask_booking(1, &body, "");
        fleet.wait_body(&body).await?;
        fleet.fault_plain(json!({ "delay_ms": 0 })).await?;
        fleet.fault(relay, switches).await?;
        bookings.add(&body, asked).await;
        fleet.wait_booking("ready again").await?;
    }
    bookings.check(&fleet).await?;
    unforeseen.check(&fleet).await?;
    insta::assert_snapshot!(bookings.summary(&fleet).await?, @"
    silent both ways when sent: 200 not_serving, runs 0
    silent both ways when dispatched: 0 ok, runs 1
    silent forward when sent: 200 not_serving, runs 0
    silent forward when dispatched: 0 ok, runs 1
    silent back when sent: 0 ok, runs 1
    silent back when dispatched: 0 ok, runs 1
    cut when dispatched: 0 ok, runs 1
    ");
    Ok(())
}

#[actix_rt::test]
async fn a_booking_whose_agent_or_target_fails_runs_at_most_once() -> Result<()> {
    let mut fleet = ProofFleet::start(0, &[]).await?;
    let (mut bookings, mut unforeseen) = (BookingList::default(), BookingList::default());
    for drop in ["before", "after"] {
        let body = format!("target dropped {drop} the run");
        fleet.fault_plain(json!({ "drop": drop })).await?;
        bookings.add(&body, fleet.ask_booking(0, &body, "")).await;
        fleet.fault_plain(json!({ "drop": "off" })).await?;
    }
    fleet.fleet.plain_agent.process.suspend()?;
    let asked = fleet.ask_booking(0, "agent frozen", "");
    sleep(AFTERMATH).await;
    fleet.fleet.plain_agent.process.resume()?;
    unforeseen.add("agent frozen", asked).await;
    fleet.wait_booking("ready again").await?;
    fleet.fault_plain(json!({ "delay_ms": SLOW_RUN_MS })).await?;
    let asked = fleet.ask_booking(0, "agent killed when dispatched", "");
    fleet.wait_body("agent killed when dispatched").await?;
    fleet.fault_plain(json!({ "delay_ms": 0 })).await?;
    fleet.fleet.plain_agent.process.kill()?;
    bookings.add("agent killed when dispatched", asked).await;
    unforeseen.add("agent dead", fleet.ask_booking(1, "agent dead", "")).await;
    replace_agent(&mut fleet).await?;
    bookings.check(&fleet).await?;
    unforeseen.check(&fleet).await?;
    insta::assert_snapshot!(bookings.summary(&fleet).await?, @"
    target dropped before the run: 301 target_failed, runs 0
    target dropped after the run: 301 target_failed, runs 1
    agent killed when dispatched: 300 link_lost, runs 1
    ");
    Ok(())
}

#[actix_rt::test]
async fn a_booking_that_may_have_run_is_not_tried_at_another_host() -> Result<()> {
    let fleet = ProofFleet::start(0, &[]).await?;
    let _second = start_agent(&fleet, "agent-plain-2".into()).await?;
    for entry in &fleet.fleet.entries {
        let client = &fleet.fleet.system.client;
        wait_until("the entry has links to both agents", LIMIT, async || {
            let metrics = client.get(entry.record.admin, "/metrics").await;
            metrics.is_ok_and(|metrics| metrics.text().contains("links_open 2"))
        })
        .await?;
    }
    fleet.fault_plain(json!({ "drop": "after" })).await?;
    // A read may be repeated, which shows that the other host is reached.
    let reply = send(fleet.entry(0), Method::GET, "/portal/read", &[], "read".to_owned()).await?;
    assert_eq!((code_of(&reply), fleet.body_runs("read").await?), ("300 link_lost", 2));
    for number in 0..4 {
        let body = format!("booked {number}");
        let reply = fleet.ask_booking(1, &body, "").reply().await?;
        assert_eq!(code_of(&reply), "301 target_failed");
        assert_eq!(fleet.body_runs(&body).await?, 1, "{body}");
    }
    Ok(())
}

#[actix_rt::test]
async fn a_key_is_used_once_by_duplicates_at_any_entry() -> Result<()> {
    let mut fleet = ProofFleet::start(0, &[]).await?;
    fleet.fault_plain(json!({ "delay_ms": 1_000 })).await?;
    let first = fleet.ask_booking(0, "keyed", "k1");
    fleet.wait_body("keyed").await?;
    let second = fleet.ask_booking(1, "keyed", "k1");
    let replies = [first.reply().await?, second.reply().await?];
    fleet.fault_plain(json!({ "delay_ms": 0 })).await?;
    let after = fleet.ask_booking(1, "keyed", "k1").reply().await?;
    assert!(replies.iter().chain([&after]).all(|reply| code_of(reply) == "0 ok"));
    assert_eq!(replies[0].body, replies[1].body);
    assert_eq!(replies[0].body, after.body);
    let other = fleet.ask_booking(0, "another body", "k1").reply().await?;
    assert_eq!(code_of(&other), "104 already_claimed");
    fleet.fleet.plain_agent.process.kill()?;
    replace_agent(&mut fleet).await?;
    for entry in 0..2 {
        let reply = fleet.ask_booking(entry, "keyed", "k1").reply().await?;
        assert_eq!(code_of(&reply), "104 already_claimed");
    }
    assert_eq!(fleet.body_runs("keyed").await?, 1);
    assert_eq!(fleet.body_runs("another body").await?, 0);
    Ok(())
}

#[actix_rt::test]
async fn a_key_in_an_outage_is_refused_and_a_lost_claim_answer_runs_once() -> Result<()> {
    let mut fleet = ProofFleet::start(0, &[]).await?;
    for down in ["refuse", "hang"] {
        fleet.fault_kv(json!({ "down": down })).await?;
        let reply = fleet.ask_booking(0, down, down).reply().await?;
        assert_eq!(code_of(&reply), "203 platform_down", "{down}");
        assert_eq!(reply.header("retry-after"), Some("5"));
        assert_eq!(class_of(&reply)?, "not_run");
        fleet.fault_kv(json!({ "down": "off" })).await?;
    }
    for loss in ["close", "stall"] {
        fleet.fault_kv(json!({ "loss": loss, "lose_answers": 1 })).await?;
        let reply = fleet.ask_booking(0, loss, loss).reply().await?;
        assert_eq!(code_of(&reply), "0 ok", "{loss}");
        assert_eq!(fleet.body_runs(loss).await?, 1, "{loss}");
    }
    // The agent dies while its claim is under way.
    fleet.fault_kv(json!({ "slow_ms": 1_500 })).await?;
    let asked = fleet.ask_booking(0, "killed when claiming", "k2");
    sleep(Duration::from_millis(500)).await;
    fleet.fleet.plain_agent.process.kill()?;
    let mut bookings = BookingList::default();
    bookings.add("killed when claiming", asked).await;
    fleet.fault_kv(json!({ "slow_ms": 0 })).await?;
    replace_agent(&mut fleet).await?;
    bookings.check(&fleet).await?;
    assert_eq!([fleet.body_runs("refuse").await?, fleet.body_runs("hang").await?], [0, 0]);
    Ok(())
}
