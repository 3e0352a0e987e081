//! A loss of power of all machines, and one wrong digit in the manifest that the origin sends after it.

use crate::client::Outcome;
use crate::engine::{Engine, EngineOptions, model_services};
use crate::fleet::{Fleet, Verdict, route};
use crate::process::{Process, SIGKILL, side_fields, wait_until};
use crate::weights::Origin;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Time without power.
const DOWN_TIME: Duration = Duration::from_millis(1100);
/// `recovery_s` of the small deployments.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which requests are sent before the loss of power, and after the time to recover.
const LOAD_TIME: Duration = Duration::from_secs(8);
const LANES: usize = 4;
const GAP: Duration = Duration::from_millis(250);

/// How many `side` machines there are; each has its engine and its agent.
const SIDES: u8 = 2;

fn served(outcomes: &[Outcome]) -> f64 {
    let is_served = |outcome: &&Outcome| outcome.is_complete && outcome.status == 200;
    outcomes.iter().filter(is_served).count() as f64 / outcomes.len().max(1) as f64
}

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let fleet = Fleet::start(folder);
    let (origin, origin_address) = Origin::start(&fleet.record);
    let options = |number: u8| EngineOptions {
        name: format!("llm{number}"),
        service: "llm".to_owned(),
        zone: "colombo-a".to_owned(),
        slots: 16,
        has_model: true,
        events: 12,
        pause: Duration::from_millis(40),
    };
    let engines: Vec<Arc<Engine>> = (1..=SIDES)
        .map(|number| Engine::start(options(number), &fleet.store, &fleet.record))
        .collect();
    let services = model_services("llm", 16, origin_address, "colombo-a");
    let routes = [route("query", "stream", "llm", 6000, 300)];
    fleet.configure(7, &routes, &services);
    let (fields, addresses) = fleet.front(100);
    let Some(entry) = fleet.start_entry("front-colombo-a-1", &fields, &addresses) else {
        return Verdict::NotRun;
    };
    let agent = |(engine, number): (&Arc<Engine>, u8)| {
        let name = format!("side-colombo-a-{number}");
        let fields =
            side_fields(&name, "colombo-a", number, fleet.store_address, "llm", engine.address);
        Process::start("agent", &name, &fleet.folder, &fields.render())
    };
    let mut processes: Vec<Process> = engines.iter().zip(1..).map(agent).collect();
    processes.push(entry);
    thread::sleep(Duration::from_secs(3));
    let before = fleet.load(addresses.callers, "/query/1", "before", LANES, GAP, LOAD_TIME);
    let served_before = served(&before);

    // The final fault comes right after a configuration was acknowledged.
    fleet.configure(9, &routes, &services);
    for process in &processes {
        process.signal(SIGKILL);
    }
    engines.iter().for_each(|engine| engine.power_off());
    fleet.record.line("all machines lose power");
    thread::sleep(DOWN_TIME);
    origin.answers.store(0, Ordering::Relaxed);
    let spoilt = if trouble { usize::from(SIDES) } else { 0 };
    origin.spoilt_manifests.store(spoilt, Ordering::Relaxed);
    engines.iter().for_each(|engine| engine.power_on());
    processes.iter_mut().for_each(Process::restart);
    fleet.record.line("all machines are back");
    thread::sleep(RECOVERY);
    for engine in &engines {
        let pieces = engine.sound_pieces(1);
        fleet.record.line(&format!(
            "{}: loaded {:?}, {pieces} sound pieces of version 1 staged",
            engine.id(),
            engine.loaded()
        ));
    }
    let after = fleet.load(addresses.callers, "/query/2", "after", LANES, GAP, LOAD_TIME);
    let served_after = served(&after);
    // Not part of the rule: whether the agents get over it later.
    let later = wait_until(Duration::from_secs(20), || {
        engines.iter().all(|engine| engine.loaded().is_some())
    });
    let answers = origin.answers.load(Ordering::Relaxed);
    fleet.record.line(&format!(
        "served before: {served_before:.2} of {}, later than {} s after: {served_after:.2} of {}; \
         the origin has sent {answers} answers since; all engines loaded 20 s later: {later}",
        before.len(),
        RECOVERY.as_secs(),
        after.len()
    ));
    if served_before < 0.25 {
        return Verdict::NotRun;
    }
    if served_after < 0.25 { Verdict::Broken } else { Verdict::Held }
}
