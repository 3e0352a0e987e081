//! Non-idempotent requests run at most once, and those refused as `not_run` never run.

use super::caller::{PendingRequest, is_refused_not_run, refusal_class, result_code, send};
use super::relayed_fleet::{RelayedFleet, WAIT_TIMEOUT};
use anyhow::Result;
use awc::http::Method;
use buckthornwharf_core::prelude::*;
use buckthornwharf_standin::fleet::{AgentNode, AgentPlan, HttpReply, PLAIN_SERVICE, wait_until};
use serde_json::{Value, json};
use tokio::time::sleep;

/// Longer than it takes to detect and reconnect a silent link.
const SLOW_RUN_MS: u64 = 3_500;
/// Time within which a request wrongly refused as `not_run` would still run.
const LATE_RUN_WINDOW: Duration = Duration::from_secs(4);

/// Bodies and replies of bookings, to compare with how often each one ran.
#[derive(Default)]
struct BookingList(Vec<(String, Result<HttpReply>)>);

impl BookingList {
    async fn add(&mut self, body: &str, pending: PendingRequest) {
        self.0.push((body.to_owned(), pending.reply().await));
    }

    /// One line for each booking: its result code and number of runs.
    async fn summary(&self, fleet: &RelayedFleet) -> Result<String> {
        let mut lines = Vec::new();
        for (body, reply) in &self.0 {
            let code = reply.as_ref().map_or("cut", result_code);
            lines.push(format!("{body}: {code}, runs {}", fleet.body_runs(body).await?));
        }
        Ok(lines.join("\n"))
    }

    async fn check(&self, fleet: &RelayedFleet) -> Result<()> {
        sleep(LATE_RUN_WINDOW).await;
        for (body, reply) in &self.0 {
            let runs = fleet.body_runs(body).await?;
            assert!(runs <= 1, "{body}: {runs} runs");
            assert!(
                runs == 0 || !is_refused_not_run(reply),
                "{body}: ran although refused as not_run"
            );
            let is_done = reply.as_ref().is_ok_and(|reply| reply.status == 200);
            assert!(runs == 1 || !is_done, "{body}: answered 200 but did not run");
        }
        Ok(())
    }
}

/// Starts an agent that serves the plain service.
async fn start_plain_agent(fleet: &RelayedFleet, host: HostName) -> Result<AgentNode> {
    let plan = AgentPlan {
        host,
        site: fleet.sample.plain_agent.record.site.clone(),
        service: PLAIN_SERVICE.into(),
        target: fleet.sample.plain.address,
        target_checks_fence: false,
        target_holds: 1,
    };
    fleet.sample.system.start_agent(plan).await
}

/// Starts a new agent for the plain service under the name of the one that was killed.
async fn restart_plain_agent(fleet: &mut RelayedFleet) -> Result<()> {
    let host = fleet.sample.plain_agent.record.name.clone();
    fleet.sample.plain_agent = start_plain_agent(fleet, host).await?;
    fleet.wait_plain_reachable("ready again").await
}

impl RelayedFleet {
    async fn set_plain_faults(&self, switches: Value) -> Result<()> {
        self.set_faults(self.sample.plain.address, switches).await
    }

    async fn set_kv_faults(&self, switches: Value) -> Result<()> {
        self.set_faults(self.sample.system.kv.address, switches).await
    }

    /// Waits until a booking with `body` succeeds at every entry.
    async fn wait_plain_reachable(&self, body: &str) -> Result<()> {
        for entry in 0..self.sample.entries.len() {
            wait_until("the entry reaches the plain service", WAIT_TIMEOUT, async || {
                self.book(entry, body, &[]).await.is_ok_and(|reply| reply.status == 200)
            })
            .await?;
        }
        Ok(())
    }
}

#[actix_rt::test]
async fn a_booking_whose_link_fails_runs_at_most_once() -> Result<()> {
    let fleet = RelayedFleet::start(0, &[]).await?;
    let relay = fleet.plain_relay.standin.address;
    let (mut bookings, mut timing_dependent) = (BookingList::default(), BookingList::default());
    for (fault, switches) in [
        ("silent both ways", json!({ "silence": "both" })),
        ("silent forward", json!({ "silence": "forward" })),
        ("silent back", json!({ "silence": "back" })),
        ("cut", json!({ "cut": true })),
    ] {
        let body = format!("{fault} when sent");
        fleet.set_faults(relay, switches.clone()).await?;
        // Whether the link is reconnected in time for this booking depends on timing.
        let sent = if fault == "cut" { &mut timing_dependent } else { &mut bookings };
        sent.add(&body, fleet.start_booking(0, &body, "")).await;
        fleet.wait_plain_reachable("ready again").await?;
        let body = format!("{fault} when dispatched");
        fleet.set_plain_faults(json!({ "delay_ms": SLOW_RUN_MS })).await?;
        let pending = fleet.start_booking(1, &body, "");
        fleet.wait_body_run(&body).await?;
        fleet.set_plain_faults(json!({ "delay_ms": 0 })).await?;
        fleet.set_faults(relay, switches).await?;
        bookings.add(&body, pending).await;
        fleet.wait_plain_reachable("ready again").await?;
    }
    bookings.check(&fleet).await?;
    timing_dependent.check(&fleet).await?;
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
    let mut fleet = RelayedFleet::start(0, &[]).await?;
    let (mut bookings, mut timing_dependent) = (BookingList::default(), BookingList::default());
    for drop in ["before", "after"] {
        let body = format!("target dropped {drop} the run");
        fleet.set_plain_faults(json!({ "drop": drop })).await?;
        bookings.add(&body, fleet.start_booking(0, &body, "")).await;
        fleet.set_plain_faults(json!({ "drop": "off" })).await?;
    }
    fleet.sample.plain_agent.process.suspend()?;
    let pending = fleet.start_booking(0, "agent frozen", "");
    sleep(LATE_RUN_WINDOW).await;
    fleet.sample.plain_agent.process.resume()?;
    timing_dependent.add("agent frozen", pending).await;
    fleet.wait_plain_reachable("ready again").await?;
    fleet.set_plain_faults(json!({ "delay_ms": SLOW_RUN_MS })).await?;
    let pending = fleet.start_booking(0, "agent killed when dispatched", "");
    fleet.wait_body_run("agent killed when dispatched").await?;
    fleet.set_plain_faults(json!({ "delay_ms": 0 })).await?;
    fleet.sample.plain_agent.process.kill()?;
    bookings.add("agent killed when dispatched", pending).await;
    timing_dependent.add("agent dead", fleet.start_booking(1, "agent dead", "")).await;
    restart_plain_agent(&mut fleet).await?;
    bookings.check(&fleet).await?;
    timing_dependent.check(&fleet).await?;
    insta::assert_snapshot!(bookings.summary(&fleet).await?, @"
    target dropped before the run: 301 target_failed, runs 0
    target dropped after the run: 301 target_failed, runs 1
    agent killed when dispatched: 300 link_lost, runs 1
    ");
    Ok(())
}

#[actix_rt::test]
async fn a_booking_that_may_have_run_is_not_retried_at_another_host() -> Result<()> {
    let fleet = RelayedFleet::start(0, &[]).await?;
    let _second = start_plain_agent(&fleet, "agent-plain-2".into()).await?;
    for entry in &fleet.sample.entries {
        let client = &fleet.sample.system.client;
        wait_until("the entry has links to both agents", WAIT_TIMEOUT, async || {
            let metrics = client.get(entry.record.admin, "/metrics").await;
            metrics.is_ok_and(|metrics| metrics.text().contains("links_open 2"))
        })
        .await?;
    }
    fleet.set_plain_faults(json!({ "drop": "after" })).await?;
    // A GET is retried at the other host, which shows that the entry can reach it.
    let reply = send(fleet.entry(0), Method::GET, "/portal/read", &[], "read".to_owned()).await?;
    assert_eq!((result_code(&reply), fleet.body_runs("read").await?), ("300 link_lost", 2));
    for number in 0..4 {
        let body = format!("booked {number}");
        let reply = fleet.start_booking(1, &body, "").reply().await?;
        assert_eq!(result_code(&reply), "301 target_failed");
        assert_eq!(fleet.body_runs(&body).await?, 1, "{body}");
    }
    Ok(())
}

#[actix_rt::test]
async fn duplicates_of_an_idempotency_key_run_once_across_entries() -> Result<()> {
    let mut fleet = RelayedFleet::start(0, &[]).await?;
    fleet.set_plain_faults(json!({ "delay_ms": 1_000 })).await?;
    let first = fleet.start_booking(0, "keyed", "k1");
    fleet.wait_body_run("keyed").await?;
    let second = fleet.start_booking(1, "keyed", "k1");
    let replies = [first.reply().await?, second.reply().await?];
    fleet.set_plain_faults(json!({ "delay_ms": 0 })).await?;
    let after = fleet.start_booking(1, "keyed", "k1").reply().await?;
    assert!(replies.iter().chain([&after]).all(|reply| result_code(reply) == "0 ok"));
    assert_eq!(replies[0].body, replies[1].body);
    assert_eq!(replies[0].body, after.body);
    let other = fleet.start_booking(0, "another body", "k1").reply().await?;
    assert_eq!(result_code(&other), "104 already_claimed");
    fleet.sample.plain_agent.process.kill()?;
    restart_plain_agent(&mut fleet).await?;
    for entry in 0..2 {
        let reply = fleet.start_booking(entry, "keyed", "k1").reply().await?;
        assert_eq!(result_code(&reply), "104 already_claimed");
    }
    assert_eq!(fleet.body_runs("keyed").await?, 1);
    assert_eq!(fleet.body_runs("another body").await?, 0);
    Ok(())
}

#[actix_rt::test]
async fn a_key_is_refused_in_an_outage_and_runs_once_if_the_answer_to_its_claim_is_lost()
-> Result<()> {
    let mut fleet = RelayedFleet::start(0, &[]).await?;
    for down in ["refuse", "hang"] {
        fleet.set_kv_faults(json!({ "down": down })).await?;
        let reply = fleet.start_booking(0, down, down).reply().await?;
        assert_eq!(result_code(&reply), "203 platform_down", "{down}");
        assert_eq!(reply.header("retry-after"), Some("5"));
        assert_eq!(refusal_class(&reply)?, "not_run");
        fleet.set_kv_faults(json!({ "down": "off" })).await?;
    }
    for loss in ["close", "stall"] {
        fleet.set_kv_faults(json!({ "loss": loss, "lose_answers": 1 })).await?;
        let reply = fleet.start_booking(0, loss, loss).reply().await?;
        assert_eq!(result_code(&reply), "0 ok", "{loss}");
        assert_eq!(fleet.body_runs(loss).await?, 1, "{loss}");
    }
    // The agent is killed while its claim is in flight.
    fleet.set_kv_faults(json!({ "slow_ms": 1_500 })).await?;
    let pending = fleet.start_booking(0, "killed when claiming", "k2");
    sleep(Duration::from_millis(500)).await;
    fleet.sample.plain_agent.process.kill()?;
    let mut bookings = BookingList::default();
    bookings.add("killed when claiming", pending).await;
    fleet.set_kv_faults(json!({ "slow_ms": 0 })).await?;
    restart_plain_agent(&mut fleet).await?;
    bookings.check(&fleet).await?;
    assert_eq!([fleet.body_runs("refuse").await?, fleet.body_runs("hang").await?], [0, 0]);
    Ok(())
}
