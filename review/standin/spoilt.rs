//! A machine that freezes between the last check of the staged pieces and the order to load them, while one of
//! the pieces turns bad.

use crate::client;
use crate::engine::{Engine, EngineOptions, model_services};
use crate::fleet::{Fleet, Verdict, route};
use crate::process::{Process, SIGCONT, SIGSTOP, send_signal, side_fields, wait_until};
use crate::weights::{CHUNKS, Origin};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Time for which the machine stands still.
const FREEZE: Duration = Duration::from_millis(4000);
/// Time from the begin of the freeze at which a piece turns bad.
const ROT_DELAY: Duration = Duration::from_millis(200);
/// The piece that turns bad.
const ROTTEN_PIECE: usize = 5;
const DEADLINE: Duration = Duration::from_millis(6000);

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let fleet = Fleet::start(folder);
    let (_origin, origin_address) = Origin::start(&fleet.record);
    let options = EngineOptions {
        name: "llm1".to_owned(),
        service: "llm".to_owned(),
        zone: "colombo-a".to_owned(),
        slots: 16,
        has_model: true,
        events: 12,
        pause: Duration::from_millis(40),
    };
    let engine = Engine::start(options, &fleet.store, &fleet.record);
    let services = model_services("llm", 16, origin_address, "colombo-a");
    fleet.configure(7, &[route("query", "stream", "llm", 6000, 300)], &services);
    let (fields, addresses) = fleet.front(100);
    let Some(_entry) = fleet.start_entry("front-colombo-a-1", &fields, &addresses) else {
        return Verdict::NotRun;
    };
    let name = "side-colombo-a-1";
    let fields = side_fields(name, "colombo-a", 1, fleet.store_address, "llm", engine.address);
    let agent = Process::start("agent", name, &fleet.folder, &fields.render());
    thread::sleep(Duration::from_secs(5));
    let first = client::send(addresses.callers, "/query/1", "first", DEADLINE, &fleet.record);
    if !first.is_complete || first.status != 200 {
        return Verdict::NotRun;
    }
    let frozen = Arc::new(AtomicBool::new(false));
    if trouble {
        let (frozen, rotting) = (frozen.clone(), engine.clone());
        let (record, pid) = (fleet.record.clone(), agent.id());
        let hook = move |index: usize| {
            if index != CHUNKS - 1 || frozen.load(Ordering::Relaxed) {
                return;
            }
            send_signal(pid, SIGSTOP);
            if rotting.sound_pieces(2) < CHUNKS {
                // It is not the check of the version to load.
                send_signal(pid, SIGCONT);
                return;
            }
            frozen.store(true, Ordering::Relaxed);
            record
                .line("the side machine freezes right after the answer with its last staged piece");
            let (rotting, record) = (rotting.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(ROT_DELAY);
                rotting.rot(ROTTEN_PIECE);
                thread::sleep(FREEZE - ROT_DELAY);
                send_signal(pid, SIGCONT);
                record.line("the side machine goes on");
            });
        };
        *engine.after_stage_read.lock().expect("no panic") = Some(Box::new(hook));
    }
    fleet.declare(2);
    if !wait_until(Duration::from_secs(25), || engine.loaded() == Some(2)) {
        return Verdict::NotRun;
    }
    if trouble && !frozen.load(Ordering::Relaxed) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let last = client::send(addresses.callers, "/query/2", "last", DEADLINE, &fleet.record);
    if !last.is_complete || last.status != 200 {
        return Verdict::NotRun;
    }
    let broken = engine.whole_broken();
    fleet.record.line(&format!("streams with a token of a spoilt layer: {broken}"));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
