//! Randomised soak test: entries and agents run as processes while faults are injected from
//! outside. The guarantees are checked against the records of callers and engines.
//!
//! `SOAK_SEEDS=50 SOAK_FIRST=1000 cargo test --release --test soak -- --nocapture` runs fifty seeds,
//! `SOAK_JOBS` of them concurrently. By default it runs a few seeds and the regressions.
//! `SOAK_ENTRIES` and `SOAK_ENGINES` set the number of processes.

#[path = "soak/callers.rs"]
mod callers;
#[path = "soak/evacuations.rs"]
mod evacuations;
#[path = "soak/faults.rs"]
mod faults;
#[allow(dead_code)]
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/promises.rs"]
mod promises;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use callers::{CallerPool, RequestKind, SentRequest};
use faults::{FaultState, SoakFault, inject_fault};
use fleet::{SoakFleet, VERSION_TIME, holds_within, set_switches};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standin::operator;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use strum::IntoEnumIterator;
use tokio::time::Instant;

/// Seeds that failed before. 1001 to 1004: an agent whose engine came back while its lease was
/// being revoked stopped making progress.
const REGRESSIONS: [u64; 4] = [1001, 1002, 1003, 1004];
/// Seeds that run by default, besides `REGRESSIONS`.
const DEFAULT_SEEDS: std::ops::Range<u64> = 1..3;
const DEFAULT_ENTRIES: usize = 2;
const DEFAULT_ENGINES: usize = 4;
/// Time during which new faults are started.
const FAULT_PHASE: Duration = Duration::from_secs(10);
/// Bounds of the time between the starts of faults, and of the duration of a fault, in
/// milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 150..900;
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..4000;
/// Time to recover after the last fault: long enough for leases of six seconds to expire and for
/// engines that restarted with an empty stage to be filled.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of consecutive successes after which callers count as served again.
const RECOVERY_SUCCESSES: usize = 20;

/// Runs `seed`; returns a summary, or the violations with the faults and the path of the logs.
async fn run_seed(seed: u64) -> Result<String, String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let size = |name, default_size| env_number(name).map_or(default_size, |size| size as usize);
    let (entries, engines) =
        (size("SOAK_ENTRIES", DEFAULT_ENTRIES), size("SOAK_ENGINES", DEFAULT_ENGINES));
    let fleet = Rc::new(SoakFleet::start(entries, engines).await);
    let callers = CallerPool::start(&fleet, seed);
    let state = Rc::new(FaultState::default());
    state.version.set(1);
    let served = || callers.sent.borrow().iter().any(|request| request.reply.status == Some(200));
    let mut violations = Vec::new();
    if !holds_within(RECOVERY_TIMEOUT, served).await {
        violations.push("no caller was served before the faults".to_owned());
    }
    let evacuations = {
        let fleet = fleet.clone();
        actix_rt::spawn(async move { evacuations::evacuate_sites(&fleet, seed).await })
    };
    let mut plan = inject_faults(&fleet, &state, &mut rng).await;
    let evacuations = evacuations.await.expect("the task does not panic");
    plan += &evacuations.iter().map(|evacuation| format!("{evacuation}, ")).collect::<String>();
    violations.extend(evacuations::violations(&evacuations, &fleet, &state));
    violations.extend(check_recovery(&fleet, &callers, &state).await);
    callers.stopped.set(true);
    holds_within(RECOVERY_TIMEOUT, || callers.is_idle()).await;
    let sent = callers.sent.borrow();
    let runs = fleet.recorder.runs.borrow();
    violations.extend(promises::violations(&sent, &runs, &fleet.recorder.invalid_loads.borrow()));
    let served_count = sent.iter().filter(|request| request.reply.status == Some(200)).count();
    let summary = format!("{} requests, {served_count} served, {} runs", sent.len(), runs.len());
    let exited = fleet.processes.iter().filter(|process| process.has_exited());
    violations.extend(exited.map(|process| format!("{} exited unexpectedly", process.name)));
    if state.unclean_exits.get() > 0 {
        violations.push(format!(
            "{} processes did not exit cleanly on shutdown",
            state.unclean_exits.get()
        ));
    }
    drop((sent, runs));
    if violations.is_empty() {
        return Ok(summary);
    }
    let folder = keep_logs(fleet);
    violations.truncate(12);
    Err(format!(
        "seed {seed}: {summary}\nfaults: {plan}\n{}\nlogs: {}",
        violations.join("\n"),
        folder.map_or_else(|| "not kept".to_owned(), |folder| folder.display().to_string())
    ))
}

fn keep_logs(fleet: Rc<SoakFleet>) -> Option<PathBuf> {
    Rc::try_unwrap(fleet).ok().map(SoakFleet::keep_folder)
}

/// Starts faults one after the other, and waits until all have ended; returns the start time and
/// name of each.
async fn inject_faults(fleet: &Rc<SoakFleet>, state: &Rc<FaultState>, rng: &mut StdRng) -> String {
    let kinds: Vec<SoakFault> = SoakFault::iter().collect();
    let started = Instant::now();
    let mut plan = String::new();
    let mut running = Vec::new();
    while started.elapsed() < FAULT_PHASE {
        let fault = kinds[rng.random_range(0..kinds.len())];
        let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        plan += &format!("{:.1}s {fault}, ", started.elapsed().as_secs_f64());
        let (fleet, state) = (fleet.clone(), state.clone());
        let mut fault_rng = StdRng::seed_from_u64(rng.random());
        running.push(actix_rt::spawn(async move {
            inject_fault(&fleet, &state, fault, duration, &mut fault_rng).await;
        }));
        actix_rt::time::sleep(Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS))).await;
    }
    for fault in running {
        fault.await.expect("fault tasks do not panic");
    }
    fleet.engine_relays.iter().for_each(|relay| set_switches(relay, &Default::default()));
    plan
}

/// Checks the recovery after the last fault: callers are served, each entry uses the newest
/// configuration, and a newly declared version replaces the older one in time.
async fn check_recovery(
    fleet: &SoakFleet,
    callers: &CallerPool,
    state: &FaultState,
) -> Vec<String> {
    let mut violations = Vec::new();
    let sent_before = callers.sent.borrow().len();
    let served_again = || {
        let sent = callers.sent.borrow();
        let last = &sent[sent_before.max(sent.len().saturating_sub(RECOVERY_SUCCESSES))..];
        last.len() >= RECOVERY_SUCCESSES && last.iter().all(|sent| sent.reply.status == Some(200))
    };
    if !holds_within(RECOVERY_TIMEOUT, served_again).await {
        violations.push("callers are not served again".to_owned());
    }
    let wanted = state.version.get();
    let all_loaded =
        |version| move || fleet.engines.iter().all(|engine| engine.loaded() == Some(version));
    if !holds_within(RECOVERY_TIMEOUT, all_loaded(wanted)).await {
        let loaded: Vec<_> = fleet.engines.iter().map(|engine| engine.loaded()).collect();
        violations.push(format!("not all engines have loaded version {wanted}: {loaded:?}"));
    }
    fleet.configure(|config| {
        config.key = "last-key".to_owned();
        config.extra_prefix = Some("/last/".to_owned());
    });
    let declared = Instant::now();
    operator::declare_version(&fleet.store, wanted + 1);
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    for entry in fleet.entries() {
        let Some(address) = entry.callers.get() else {
            violations.push(format!("{} is down after the faults", entry.name));
            continue;
        };
        let status = async |path: &str, key: &str| {
            let id = format!("last-{}{path}-{key}", entry.name.replace('-', "")).replace('/', "-");
            let reply = standin::caller::send(address, path, &id, key).await;
            let status = reply.status;
            let kind = RequestKind::Idempotent;
            callers.sent.borrow_mut().push(SentRequest { id, kind, reply });
            status
        };
        if status("/plain/x", "key-1").await != Some(401) {
            violations.push(format!("{} accepts a revoked key", entry.name));
        }
        if matches!(status("/last/x", "last-key").await, Some(401 | 404)) {
            violations.push(format!("{} does not use the newest route and key", entry.name));
        }
    }
    let time_left = VERSION_TIME.saturating_sub(declared.elapsed()) + Duration::from_secs(4);
    if !holds_within(time_left, all_loaded(wanted + 1)).await {
        violations.push(format!("not all engines have loaded version {} in time", wanted + 1));
    }
    let retire_at = declared + VERSION_TIME;
    let runs = fleet.recorder.runs.borrow();
    let stale_run = runs.iter().find(|run| run.started_at > retire_at && run.version <= wanted);
    violations
        .extend(stale_run.map(|run| format!("{} ran on retired version {}", run.id, run.version)));
    violations
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().expect("a number"))
}

fn seeds() -> Vec<u64> {
    let Some(count) = env_number("SOAK_SEEDS") else {
        return REGRESSIONS.into_iter().chain(DEFAULT_SEEDS).collect();
    };
    let first = env_number("SOAK_FIRST").unwrap_or_else(rand::random);
    (0..count).map(|seed| first.wrapping_add(seed)).collect()
}

#[test]
fn the_guarantees_hold_under_faults() {
    let seeds = std::sync::Mutex::new(seeds().into_iter());
    let jobs = env_number("SOAK_JOBS").unwrap_or(2);
    let failures = std::sync::Mutex::new(Vec::new());
    let worker = || {
        loop {
            let Some(seed) = seeds.lock().expect("no panic before").next() else {
                return;
            };
            let result = actix_rt::System::new().block_on(run_seed(seed));
            println!("seed {seed}: {}", result.as_deref().unwrap_or("FAILED"));
            if let Err(failure) = result {
                println!("{failure}");
                failures.lock().expect("no panic before").push(failure);
            }
        }
    };
    std::thread::scope(|scope| {
        (0..jobs).for_each(|_| drop(scope.spawn(worker)));
    });
    let failures = failures.into_inner().expect("no panic before");
    assert!(failures.is_empty(), "{}", failures.join("\n\n"));
}
