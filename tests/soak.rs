//! Randomised soak: the real programs as processes, under faults from outside them, while the promises
//! are checked from what callers and engines see.
//!
//! `SOAK_SEEDS=50 SOAK_FIRST=1000 cargo test --release --test soak -- --nocapture` plays fifty seeds,
//! `SOAK_JOBS` of them at once; without these a few seeds are played, and those that ever failed.
//! `SOAK_ENTRIES` and `SOAK_ENGINES` set the size.

#[path = "soak/callers.rs"]
mod callers;
#[path = "soak/faults.rs"]
mod faults;
#[allow(dead_code)]
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/promises.rs"]
mod promises;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use callers::{CallerLedger, RequestKind, SentRequest};
use faults::{FaultState, SoakFault, strike};
use fleet::{SoakFleet, VERSION_TIME, holds_within, switch};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standin::operator;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use strum::IntoEnumIterator;
use tokio::time::Instant;

/// Seeds that failed once. 1001 to 1004: an agent whose engine came back while its lease was being
/// ended stood still for good.
const REGRESSIONS: [u64; 4] = [1001, 1002, 1003, 1004];
/// Seeds that are played besides where none are asked for.
const USUAL_SEEDS: std::ops::Range<u64> = 1..3;
const ENTRIES: usize = 2;
const ENGINES: usize = 4;
/// Time for which faults strike.
const FAULT_TIME: Duration = Duration::from_secs(10);
/// Least and longest time between the starts of faults, and of one that lasts, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 150..900;
const SPAN_MS: std::ops::Range<u64> = 300..4000;
/// Time after the last fault within which all is as it was: leases of six seconds have ended, and
/// engines that started with nothing were filled.
const SETTLE_TIME: Duration = Duration::from_secs(20);
/// Successes in a row that show that callers are served again.
const GOOD_ANSWERS: usize = 20;

/// Plays the run of `seed`; what was broken.
async fn play(seed: u64) -> Result<String, String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let size = |name, usual| number(name).map_or(usual, |size| size as usize);
    let (entries, engines) = (size("SOAK_ENTRIES", ENTRIES), size("SOAK_ENGINES", ENGINES));
    let fleet = Rc::new(SoakFleet::start(entries, engines).await);
    let callers = CallerLedger::start(&fleet, seed);
    let state = Rc::new(FaultState::default());
    state.version.set(1);
    let served = || callers.sent.borrow().iter().any(|request| request.reply.status == Some(200));
    let mut broken = Vec::new();
    if !holds_within(SETTLE_TIME, served).await {
        broken.push("nobody is served at the start".to_owned());
    }
    let plan = strike_all(&fleet, &state, &mut rng).await;
    broken.extend(settle(&fleet, &callers, &state).await);
    callers.stopped.set(true);
    holds_within(SETTLE_TIME, || callers.is_idle()).await;
    let sent = callers.sent.borrow();
    let runs = fleet.ledger.runs.borrow();
    broken.extend(promises::broken(&sent, &runs, &fleet.ledger.unsound_loads.borrow()));
    let good = sent.iter().filter(|request| request.reply.status == Some(200)).count();
    let summary = format!("{} requests, {good} served, {} runs", sent.len(), runs.len());
    let ended = fleet.processes.iter().filter(|process| process.has_ended());
    broken.extend(ended.map(|process| format!("{} ended by itself", process.name)));
    if state.bad_ends.get() > 0 {
        broken.push(format!("{} processes did not leave in order", state.bad_ends.get()));
    }
    drop((sent, runs));
    if broken.is_empty() {
        return Ok(summary);
    }
    let folder = keep(fleet);
    broken.truncate(12);
    Err(format!(
        "seed {seed}: {summary}\nfaults: {plan}\n{}\nlogs: {}",
        broken.join("\n"),
        folder.map_or_else(|| "gone".to_owned(), |folder| folder.display().to_string())
    ))
}

fn keep(fleet: Rc<SoakFleet>) -> Option<PathBuf> {
    Rc::try_unwrap(fleet).ok().map(SoakFleet::keep_folder)
}

/// Starts faults one after the other, and waits until all have ended; what struck when.
async fn strike_all(fleet: &Rc<SoakFleet>, state: &Rc<FaultState>, rng: &mut StdRng) -> String {
    let kinds: Vec<SoakFault> = SoakFault::iter().collect();
    let started = Instant::now();
    let mut plan = String::new();
    let mut running = Vec::new();
    while started.elapsed() < FAULT_TIME {
        let fault = kinds[rng.random_range(0..kinds.len())];
        let span = Duration::from_millis(rng.random_range(SPAN_MS));
        plan += &format!("{:.1}s {fault}, ", started.elapsed().as_secs_f64());
        let (fleet, state) = (fleet.clone(), state.clone());
        let mut own = StdRng::seed_from_u64(rng.random());
        running.push(actix_rt::spawn(async move {
            strike(&fleet, &state, fault, span, &mut own).await;
        }));
        actix_rt::time::sleep(Duration::from_millis(rng.random_range(GAP_MS))).await;
    }
    for fault in running {
        fault.await.expect("faults do not fail");
    }
    fleet.engine_relays.iter().for_each(|relay| switch(relay, &Default::default()));
    plan
}

/// Checks that all is well again once no fault strikes: callers are served, the newest configuration
/// counts at each entry, and a declared version comes into force in time.
async fn settle(fleet: &SoakFleet, callers: &CallerLedger, state: &FaultState) -> Vec<String> {
    let mut broken = Vec::new();
    let begun = callers.sent.borrow().len();
    let served_again = || {
        let sent = callers.sent.borrow();
        let last = &sent[begun.max(sent.len().saturating_sub(GOOD_ANSWERS))..];
        last.len() >= GOOD_ANSWERS && last.iter().all(|sent| sent.reply.status == Some(200))
    };
    if !holds_within(SETTLE_TIME, served_again).await {
        broken.push("callers are not served again".to_owned());
    }
    let wanted = state.version.get();
    let all_hold =
        |version| move || fleet.engines.iter().all(|engine| engine.loaded() == Some(version));
    if !holds_within(SETTLE_TIME, all_hold(wanted)).await {
        let loaded: Vec<_> = fleet.engines.iter().map(|engine| engine.loaded()).collect();
        broken.push(format!("version {wanted} is not held everywhere: {loaded:?}"));
    }
    fleet.configure(|config| {
        config.key = "last-key".to_owned();
        config.extra_prefix = Some("/last/".to_owned());
    });
    let declared = Instant::now();
    operator::declare(&fleet.store, wanted + 1);
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    for entry in fleet.entries() {
        let Some(address) = entry.callers.get() else {
            broken.push(format!("{} is gone", entry.name));
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
            broken.push(format!("{} takes a key that is gone", entry.name));
        }
        if matches!(status("/last/x", "last-key").await, Some(401 | 404)) {
            broken.push(format!("{} does not know the last route and key", entry.name));
        }
    }
    let in_time = VERSION_TIME.saturating_sub(declared.elapsed()) + Duration::from_secs(4);
    if !holds_within(in_time, all_hold(wanted + 1)).await {
        broken.push(format!("version {} is not in force in time", wanted + 1));
    }
    let late = declared + VERSION_TIME;
    let runs = fleet.ledger.runs.borrow();
    let old = runs.iter().find(|run| run.at > late && run.version <= wanted);
    broken.extend(old.map(|run| format!("{} ran on version {}", run.id, run.version)));
    broken
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().expect("a number"))
}

fn seeds() -> Vec<u64> {
    let Some(count) = number("SOAK_SEEDS") else {
        return REGRESSIONS.into_iter().chain(USUAL_SEEDS).collect();
    };
    let first = number("SOAK_FIRST").unwrap_or_else(rand::random);
    (0..count).map(|seed| first.wrapping_add(seed)).collect()
}

#[test]
fn the_promises_hold_under_faults() {
    let seeds = std::sync::Mutex::new(seeds().into_iter());
    let jobs = number("SOAK_JOBS").unwrap_or(2);
    let failures = std::sync::Mutex::new(Vec::new());
    let work = || {
        loop {
            let Some(seed) = seeds.lock().expect("no panic before").next() else {
                return;
            };
            let result = actix_rt::System::new().block_on(play(seed));
            println!("seed {seed}: {}", result.as_deref().unwrap_or("FAILED"));
            if let Err(failure) = result {
                println!("{failure}");
                failures.lock().expect("no panic before").push(failure);
            }
        }
    };
    std::thread::scope(|scope| {
        (0..jobs).for_each(|_| drop(scope.spawn(work)));
    });
    let failures = failures.into_inner().expect("no panic before");
    assert!(failures.is_empty(), "{}", failures.join("\n\n"));
}
