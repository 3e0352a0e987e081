//! Connections to the store that go silent for good, and a version of the weights that is named right after.

use crate::client;
use crate::engine::{Engine, EngineOptions, model_services};
use crate::fleet::{Fleet, Verdict, route};
use crate::process::{Process, front_fields, side_fields};
use crate::proxy::Proxy;
use crate::weights::Origin;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// `stable_window_ms` and `version_ms` of the small deployments.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
const VERSION_TIME: Duration = Duration::from_millis(8000);
/// Time from the watch call to the silence, and from that to the new version.
const SILENCE_DELAY: Duration = Duration::from_millis(50);
const VERSION_DELAY: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_millis(6000);
/// Time for which clients send after the new version is named.
const LOAD_TIME: Duration = Duration::from_secs(13);
const LANES: usize = 8;
const GAP: Duration = Duration::from_millis(100);
/// The machines with an engine, as many as a zone of the small site has.
const SIDES: u8 = 4;

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let fleet = Fleet::start(folder);
    let (proxy, proxy_address) = Proxy::start(fleet.store_address);
    let (_origin, origin_address) = Origin::start(&fleet.record);
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
    fleet.configure(7, &[route("query", "stream", "llm", 6000, 300)], &services);
    let (fields, addresses) = front_fields("front-colombo-a-1", "colombo-a", 100, proxy_address);
    let Some(_entry) = fleet.start_entry("front-colombo-a-1", &fields, &addresses) else {
        return Verdict::NotRun;
    };
    let agent = |(engine, number): (&Arc<Engine>, u8)| {
        let name = format!("side-colombo-a-{number}");
        let store = fleet.store_address;
        let fields = side_fields(&name, "colombo-a", number, store, "llm", engine.address);
        Process::start("agent", &name, &fleet.folder, &fields.render())
    };
    let _agents: Vec<Process> = engines.iter().zip(1..).map(agent).collect();
    thread::sleep(Duration::from_secs(8));
    let first = client::send(addresses.callers, "/query/1", "first", DEADLINE, &fleet.record);
    if first.status != 200 || !proxy.wait_watch(Duration::from_secs(5)) {
        return Verdict::NotRun;
    }
    thread::sleep(SILENCE_DELAY);
    let silent_at = Instant::now();
    if trouble {
        proxy.silence();
        fleet.record.line("the entry's open connections to the store go silent; new ones work");
    }
    thread::sleep(VERSION_DELAY);
    fleet.declare(2);
    let acknowledged_at = Instant::now();
    fleet.record.line("it is acknowledged");
    let sent = fleet.load(addresses.callers, "/query/2", "load", LANES, GAP, LOAD_TIME);
    if sent.iter().filter(|outcome| outcome.status == 200).count() < sent.len() / 4 {
        return Verdict::NotRun;
    }
    let mut broken = 0;
    for run in engines.iter().flat_map(|engine| engine.runs()) {
        let is_late = run.version < 2 && run.began_at > acknowledged_at + VERSION_TIME;
        if is_late && run.began_at > silent_at + STABLE_WINDOW {
            broken += 1;
            fleet.record.line(&format!(
                "VERSION: {} began on version {}, {} ms after version 2 was acknowledged",
                run.id,
                run.version,
                (run.began_at - acknowledged_at).as_millis()
            ));
        }
    }
    let loaded: Vec<_> = engines.iter().map(|engine| engine.loaded()).collect();
    fleet.record.line(&format!(
        "{broken} of {} requests began on an older version later than allowed; loaded at the end: \
         {loaded:?}",
        sent.len()
    ));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
