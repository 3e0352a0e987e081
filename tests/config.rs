//! Configuration across processes: which changes `apply` accepts and which generation is active,
//! under failures of the key-value service and of processes.

use anyhow::{Context, Result, ensure};
use buckthornwharf::admin::ProcessStatus;
use buckthornwharf::platform::kv::{KvClient, KvError, MAX_VALUE_BYTES};
use buckthornwharf_core::config::{CONFIG_KEY, ConfigRecord};
use buckthornwharf_core::membership::HostRecord;
use buckthornwharf_core::prelude::*;
use buckthornwharf_standin::fleet::{
    AgentNode, AgentPlan, CommandOutput, ConfigFile, EntryNode, FleetSystem, PLAIN_SERVICE,
    SAMPLE_SITES, StandinProcess, sample_config, wait_until,
};
use buckthornwharf_standin::kv::KvCounts;
use serde_json::json;
use std::path::Path;

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const GENERATION_CHECKS: usize = 40;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_buckthornwharf"))
}

/// The sample configuration with `priority` for the plain service.
fn config_files(priority: u8) -> Vec<ConfigFile> {
    let mut files = sample_config(VersionDigest::from_bytes([7; 32]));
    let text = format!("services: {{{PLAIN_SERVICE}: {{priority: {priority}}}}}\n");
    files.push(ConfigFile { name: "90-priority.yaml".to_owned(), text });
    files
}

async fn apply(system: &FleetSystem, priority: u8, options: &[&str]) -> Result<CommandOutput> {
    let folder = system.write_config(&config_files(priority))?.display().to_string();
    let kv = system.kv.address.to_string();
    let arguments = [&["apply", "--kv", &kv], options, &[&folder]].concat();
    system.run_command(&arguments).await
}

async fn set_kv_faults(system: &FleetSystem, switches: serde_json::Value) -> Result<()> {
    system.client.set_faults(system.kv.address, &switches).await
}

async fn counts(system: &FleetSystem) -> Result<KvCounts> {
    system.client.counts(system.kv.address).await
}

/// The generation stored in the key-value service and its priority of the plain service; zeros if
/// nothing is stored.
async fn stored_config(system: &FleetSystem) -> Result<(u64, u8)> {
    let Some(row) = kv_client(system).get(CONFIG_KEY).await? else { return Ok((0, 0)) };
    let record = ConfigRecord::decode(&row.value)?;
    let service = record
        .document
        .services
        .get(PLAIN_SERVICE)
        .context("stored configuration has no plain service")?;
    Ok((record.generation.0, service.priority))
}

#[actix_rt::test]
async fn of_two_concurrent_applies_one_wins_and_the_other_prints_the_change() -> Result<()> {
    let system = FleetSystem::start(program()).await?;
    assert_eq!(apply(&system, 1, &[]).await?.code, Some(0));
    set_kv_faults(&system, json!({ "slow_ms": 300 })).await?;
    let base = ["--base", "1"];
    let (one, two) = futures_util::join!(apply(&system, 2, &base), apply(&system, 3, &base));
    let mut runs = [(2, one?), (3, two?)];
    runs.sort_by_key(|(_, ended)| ended.code);
    let [(winning_priority, winner), (losing_priority, loser)] = runs;
    assert_eq!((winner.code, loser.code), (Some(0), Some(4)), "{winner:?} {loser:?}");
    assert!(winner.stdout.contains("accepted generation 2"));
    assert!(!loser.stdout.contains("accepted"));
    let change = format!("services.{PLAIN_SERVICE}.priority: ");
    let changed_line = loser
        .stdout
        .lines()
        .find(|line| line.contains(&change))
        .context("loser's output does not show the change")?;
    assert!(changed_line.ends_with(&format!("-> {winning_priority}")), "{changed_line}");
    assert_eq!(stored_config(&system).await?, (2, winning_priority));
    // The loser's change can be applied on top of the winner's.
    assert_eq!(apply(&system, losing_priority, &["--base", "2"]).await?.code, Some(0));
    assert_eq!(stored_config(&system).await?, (3, losing_priority));
    Ok(())
}

#[actix_rt::test]
async fn a_write_whose_answer_is_lost_is_verified_and_written_once() -> Result<()> {
    let system = FleetSystem::start(program()).await?;
    for (generation, loss) in [(1, "close"), (2, "stall")] {
        set_kv_faults(&system, json!({ "lose_answers": 1, "loss": loss })).await?;
        let ended = apply(&system, generation, &[]).await?;
        assert_eq!(ended.code, Some(0), "{ended:?}");
        assert!(ended.stdout.contains(&format!("accepted generation {generation} ")));
        assert_eq!(stored_config(&system).await?, (generation.into(), generation));
    }
    assert_eq!(counts(&system).await?.lost_answers, 2);
    Ok(())
}

#[actix_rt::test]
async fn apply_reports_nothing_as_accepted_in_an_outage() -> Result<()> {
    let system = FleetSystem::start(program()).await?;
    assert_eq!(apply(&system, 1, &[]).await?.code, Some(0));
    for down in ["refuse", "hang"] {
        set_kv_faults(&system, json!({ "down": down })).await?;
        let ended = apply(&system, 2, &["--timeout", "3"]).await?;
        assert_eq!(ended.code, Some(5), "{ended:?}");
        assert!(!ended.stdout.contains("accepted"));
        set_kv_faults(&system, json!({ "down": "off" })).await?;
        assert_eq!(stored_config(&system).await?, (1, 1));
    }
    Ok(())
}

/// The answer to the first write is lost, and the service goes down once it has received `writes`
/// writes: `apply` reports an unknown outcome, and a second `apply` finds the change accepted.
async fn check_unknown_outcome(loss: &str, writes: u64) -> Result<()> {
    let system = FleetSystem::start(program()).await?;
    assert_eq!(apply(&system, 1, &[]).await?.code, Some(0));
    set_kv_faults(&system, json!({ "slow_ms": 1000, "lose_answers": 1, "loss": loss })).await?;
    let before = counts(&system).await?.cas;
    let outage = async {
        let is_written = async || counts(&system).await.is_ok_and(|now| now.cas == before + writes);
        wait_until("the write is received", WAIT_TIMEOUT, is_written).await?;
        set_kv_faults(&system, json!({ "down": "refuse" })).await
    };
    let (ended, outage) = futures_util::join!(apply(&system, 2, &["--timeout", "6"]), outage);
    outage?;
    let ended = ended?;
    assert_eq!(ended.code, Some(6), "{ended:?}");
    assert!(!ended.stdout.contains("accepted"), "{ended:?}");
    assert!(!ended.stderr.contains("not accepted"), "{ended:?}");
    set_kv_faults(&system, json!({ "down": "off", "slow_ms": 0 })).await?;
    assert_eq!(stored_config(&system).await?, (2, 2));
    let again = apply(&system, 2, &[]).await?;
    assert_eq!(again.code, Some(0));
    assert!(again.stdout.contains("accepted generation 2 before; nothing changes"));
    assert_eq!(stored_config(&system).await?, (2, 2));
    Ok(())
}

#[actix_rt::test]
async fn an_outage_after_the_write_leaves_the_outcome_unknown_until_the_next_apply() -> Result<()> {
    check_unknown_outcome("stall", 1).await
}

#[actix_rt::test]
async fn an_outage_before_the_verification_leaves_the_outcome_unknown() -> Result<()> {
    check_unknown_outcome("close", 2).await
}

#[actix_rt::test]
async fn an_outage_that_ends_before_the_timeout_only_delays_apply() -> Result<()> {
    let system = FleetSystem::start(program()).await?;
    set_kv_faults(&system, json!({ "down": "refuse" })).await?;
    let before = counts(&system).await?.get;
    let outage = async {
        let is_retried = async || counts(&system).await.is_ok_and(|now| now.get > before + 1);
        wait_until("apply retries", WAIT_TIMEOUT, is_retried).await?;
        set_kv_faults(&system, json!({ "down": "off", "slow_ms": 500 })).await
    };
    let (ended, outage) = futures_util::join!(apply(&system, 2, &["--timeout", "30"]), outage);
    outage?;
    assert_eq!(ended?.code, Some(0));
    assert_eq!(stored_config(&system).await?, (1, 2));
    Ok(())
}

#[actix_rt::test]
async fn a_configuration_over_a_megabyte_is_refused() -> Result<()> {
    let system = FleetSystem::start(program()).await?;
    let mut text = "sites:\n".to_owned();
    for number in 0..25_000 {
        text.push_str(&format!("  a-site-with-quite-a-long-name-{number}: {{region: nairobi}}\n"));
    }
    let folder = system.write_config(&[ConfigFile { name: "10-sites.yaml".to_owned(), text }])?;
    let kv = system.kv.address.to_string();
    let folder = folder.display().to_string();
    let ended = system.run_command(&["apply", "--kv", &kv, &folder]).await?;
    assert_eq!(ended.code, Some(7), "{ended:?}");
    assert!(ended.stderr.contains("more than the 1 MiB"));
    assert_eq!(stored_config(&system).await?, (0, 0));
    Ok(())
}

/// Two sites with an entry and an agent each.
struct ConfigFleet {
    system: FleetSystem,
    plain: StandinProcess,
    entries: Vec<EntryNode>,
    agents: Vec<AgentNode>,
}

impl ConfigFleet {
    async fn start() -> Result<Self> {
        Self::start_on(FleetSystem::start(program()).await?).await
    }

    async fn start_on(system: FleetSystem) -> Result<Self> {
        let plain = system.start_plain("plain").await?;
        let mut fleet = Self { system, plain, entries: Vec::new(), agents: Vec::new() };
        for site in SAMPLE_SITES {
            let entry = fleet.system.start_entry(&format!("entry-{site}"), site).await?;
            fleet.entries.push(entry);
            fleet.agents.push(fleet.system.start_agent(fleet.agent_plan(site)).await?);
        }
        Ok(fleet)
    }

    fn agent_plan(&self, site: &str) -> AgentPlan {
        AgentPlan {
            host: format!("agent-{site}").into(),
            site: site.into(),
            service: PLAIN_SERVICE.into(),
            target: self.plain.address,
            target_checks_fence: false,
            target_holds: 1,
        }
    }

    fn records(&self) -> Vec<&HostRecord> {
        let entries = self.entries.iter().map(|entry| &entry.record);
        entries.chain(self.agents.iter().map(|agent| &agent.record)).collect()
    }

    async fn generation(&self, record: &HostRecord) -> Result<u64> {
        let reply = self.system.client.get(record.admin, "/status").await?.ok()?;
        let status: ProcessStatus = reply.json()?;
        Ok(status.generation.unwrap_or_default().0)
    }

    async fn wait_generation(&self, records: &[&HostRecord], generation: u64) -> Result<()> {
        for record in records {
            let what = format!("generation {generation} on {}", record.name);
            let has_generation =
                async || self.generation(record).await.is_ok_and(|found| found == generation);
            wait_until(&what, WAIT_TIMEOUT, has_generation).await?;
        }
        Ok(())
    }

    async fn wait_generation_everywhere(&self, generation: u64) -> Result<()> {
        self.wait_generation(&self.records(), generation).await
    }

    /// Checks for at least 2 s that all processes stay at `generation`.
    async fn check_generation_stays(&self, generation: u64) -> Result<()> {
        for _ in 0..GENERATION_CHECKS {
            for record in self.records() {
                let found = self.generation(record).await?;
                ensure!(found == generation, "{} has generation {found}", record.name);
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    async fn apply(&self, priority: u8) -> Result<()> {
        let ended = apply(&self.system, priority, &[]).await?;
        ensure!(ended.code == Some(0), "{ended:?}");
        Ok(())
    }

    async fn restart_all(&mut self) -> Result<()> {
        for (at, site) in SAMPLE_SITES.into_iter().enumerate() {
            self.entries[at].process.terminate()?;
            self.entries[at].process.wait_exit(WAIT_TIMEOUT).await?;
            self.entries[at] = self.system.start_entry(&format!("entry-{site}"), site).await?;
            self.wait_generation(&[&self.entries[at].record], 2).await?;
            self.agents[at].process.terminate()?;
            self.agents[at].process.wait_exit(WAIT_TIMEOUT).await?;
            self.agents[at] = self.system.start_agent(self.agent_plan(site)).await?;
            self.wait_generation(&[&self.agents[at].record], 2).await?;
        }
        Ok(())
    }
}

#[actix_rt::test]
async fn a_generation_becomes_active_everywhere_and_stays_active_in_an_outage() -> Result<()> {
    let mut fleet = ConfigFleet::start().await?;
    fleet.apply(1).await?;
    fleet.wait_generation_everywhere(1).await?;
    fleet.apply(2).await?;
    let accepted_at = std::time::Instant::now();
    fleet.wait_generation_everywhere(2).await?;
    println!("active on every process after {} ms", accepted_at.elapsed().as_millis());
    // Reads return the previous generation; waits until each process can have had such an answer.
    set_kv_faults(&fleet.system, json!({ "stale_reads": true })).await?;
    let calls = counts(&fleet.system).await?.total;
    let answered = calls + fleet.records().len() as u64;
    let is_read = async || counts(&fleet.system).await.is_ok_and(|now| now.total >= answered);
    wait_until("each process reads a stale value", WAIT_TIMEOUT, is_read).await?;
    fleet.check_generation_stays(2).await?;
    set_kv_faults(&fleet.system, json!({ "stale_reads": false, "down": "refuse" })).await?;
    fleet.check_generation_stays(2).await?;
    // A process that starts in an outage gets the configuration from its peers.
    fleet.restart_all().await?;
    fleet.check_generation_stays(2).await?;
    let before = counts(&fleet.system).await?.total;
    set_kv_faults(&fleet.system, json!({ "down": "off" })).await?;
    fleet.apply(3).await?;
    fleet.wait_generation_everywhere(3).await?;
    let calls = counts(&fleet.system).await?.total - before;
    assert!(calls < 200, "{calls} calls to the key-value service after the outage");
    check_status(&fleet).await
}

async fn check_status(fleet: &ConfigFleet) -> Result<()> {
    let hosts = fleet.system.hosts.address.to_string();
    let ended = fleet.system.run_command(&["status", "--hosts", &hosts]).await?;
    ensure!(ended.code == Some(0), "{ended:?}");
    for site in SAMPLE_SITES {
        let line = format!("site {site}: generation 3, 2 processes, 0 silent");
        ensure!(ended.stdout.contains(&line), "{}", ended.stdout);
    }
    Ok(())
}

#[actix_rt::test]
async fn a_site_whose_processes_were_suspended_catches_up() -> Result<()> {
    let mut fleet = ConfigFleet::start().await?;
    fleet.apply(1).await?;
    fleet.wait_generation_everywhere(1).await?;
    fleet.entries[1].process.suspend()?;
    fleet.agents[1].process.suspend()?;
    fleet.apply(2).await?;
    let running_records = [&fleet.entries[0].record, &fleet.agents[0].record];
    fleet.wait_generation(&running_records, 2).await?;
    fleet.entries[1].process.resume()?;
    fleet.agents[1].process.resume()?;
    fleet.wait_generation_everywhere(2).await
}

#[actix_rt::test]
async fn silent_watches_are_replaced() -> Result<()> {
    let mut system = FleetSystem::start(program()).await?;
    let direct = system.kv.address;
    let relay = system.start_relay("relay-kv", direct).await?;
    system.kv.address = relay.address;
    let mut fleet = ConfigFleet::start_on(system).await?;
    fleet.system.kv.address = direct;
    fleet.apply(1).await?;
    fleet.wait_generation_everywhere(1).await?;
    let watching = fleet.records().len() as u64;
    let is_watched =
        async || counts(&fleet.system).await.is_ok_and(|now| now.waiting_watches == watching);
    wait_until("every process watches", WAIT_TIMEOUT, is_watched).await?;
    let silence = json!({ "silence": "both" });
    fleet.system.client.set_faults(relay.standin.address, &silence).await?;
    fleet.apply(2).await?;
    fleet.wait_generation_everywhere(2).await
}

fn kv_client(system: &FleetSystem) -> KvClient {
    KvClient::new(system.kv.address)
}

#[actix_rt::test]
async fn the_client_verifies_writes_and_respects_session_locks() -> Result<()> {
    let system = FleetSystem::start(program()).await?;
    let kv = kv_client(&system);
    set_kv_faults(&system, json!({ "lose_answers": 1 })).await?;
    assert_eq!(kv.put_cas_verified("claim/a", "nonce-1".into(), 0).await, Ok(true));
    assert_eq!(kv.put_cas_verified("claim/a", "nonce-2".into(), 0).await, Ok(false));
    let rows = kv.list("claim/").await?;
    assert_eq!(rows.as_slice(), kv.get("claim/a").await?.as_slice());
    assert_eq!(rows[0].value, "nonce-1");
    assert_eq!(kv.delete_cas("claim/a", rows[0].index + 1).await, Ok(false));
    assert_eq!(kv.delete_cas("claim/a", rows[0].index).await, Ok(true));
    assert_eq!(kv.get("claim/a").await, Ok(None));
    let (one, two) = (
        kv.create_session(Duration::from_secs(60)).await?,
        kv.create_session(Duration::from_secs(60)).await?,
    );
    assert_eq!(kv.acquire("permit/a", "one".into(), &one).await, Ok(true));
    assert_eq!(kv.acquire("permit/a", "two".into(), &two).await, Ok(false));
    assert_eq!(kv.release("permit/a", &two).await, Ok(false));
    assert_eq!(kv.renew_session(&one).await, Ok(true));
    assert_eq!(kv.destroy_session(&one).await, Ok(true));
    assert_eq!(kv.renew_session(&one).await, Ok(false));
    assert_eq!(kv.get("permit/a").await, Ok(None));
    Ok(())
}

#[actix_rt::test]
async fn the_client_tells_failures_without_effect_from_unknown_outcomes() -> Result<()> {
    let system = FleetSystem::start(program()).await?;
    let kv = kv_client(&system);
    let large = vec![0; MAX_VALUE_BYTES + 1];
    assert_eq!(kv.put_cas("a", large.into(), 0).await, Err(KvError::TooLarge));
    set_kv_faults(&system, json!({ "down": "refuse" })).await?;
    let refused = kv.put_cas("a", "1".into(), 0).await.expect_err("an outage");
    assert!(!refused.is_without_effect(), "{refused}");
    let nobody = KvClient::new(([127, 0, 0, 1], 1).into());
    let unreachable = nobody.put_cas("a", "1".into(), 0).await.expect_err("no service");
    assert!(unreachable.is_without_effect(), "{unreachable}");
    let mut over_budget = 0;
    for _ in 0..200 {
        over_budget += u32::from(nobody.get("a").await == Err(KvError::OverBudget));
    }
    assert!(over_budget > 0);
    Ok(())
}
