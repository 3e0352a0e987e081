//! A raised grace period that an entry has been told of by SIGHUP, and a planned stop after it.

use crate::client;
use crate::engine::{Engine, EngineOptions};
use crate::fleet::{Fleet, Verdict, route};
use crate::process::{SIGHUP, SIGTERM, is_ready, wait_until};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// `grace_s` before and after the change of the settings.
const GRACE_S: [u64; 2] = [8, 16];
/// Interval of the platform's questions on readiness.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Misses in a row after which a machine gets no new connections.
const MISSES: u32 = 2;
/// A stream takes 5.8 s, with pauses within `gap_aim_ms`; the clients' deadline is 6 s.
const EVENTS: u32 = 20;
const PAUSE: Duration = Duration::from_millis(290);
const DEADLINE: Duration = Duration::from_millis(6000);
/// Times after SIGTERM at which clients send.
const SEND_AT_MS: [u64; 8] = [300, 700, 1100, 1500, 1750, 1800, 1850, 1900];
/// Time to the end of a stream that is cut off at its deadline.
const DEADLINE_SLACK: Duration = Duration::from_millis(50);

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let fleet = Fleet::start(folder);
    let options = |number: u32| EngineOptions {
        name: format!("llm{number}"),
        service: "llm".to_owned(),
        zone: "colombo-a".to_owned(),
        slots: 16,
        has_model: true,
        events: EVENTS,
        pause: PAUSE,
    };
    let _engines: Vec<_> =
        (1..=2).map(|number| Engine::start(options(number), &fleet.store, &fleet.record)).collect();
    fleet.configure(7, &[route("draft", "stream", "llm", 6000, 400)], "{\"name\":\"llm\"}");
    let (fields, addresses) = fleet.front(1);
    let raised = fields.clone().json("bounds.grace_s", &GRACE_S[1].to_string());
    let started_with = if trouble { &fields } else { &raised };
    let Some(mut entry) = fleet.start_entry("front-colombo-a-1", started_with, &addresses) else {
        return Verdict::NotRun;
    };
    let first = client::send(addresses.callers, "/draft/1", "first", DEADLINE, &fleet.record);
    if !first.is_complete || first.status != 200 {
        return Verdict::NotRun;
    }
    if trouble {
        entry.write_settings(&raised.render());
        entry.signal(SIGHUP);
        fleet.record.line(&format!("platform: grace_s {} -> {}, SIGHUP", GRACE_S[0], GRACE_S[1]));
    }
    // `stable_window_ms` and `config_apply_ms` pass before the planned stop.
    thread::sleep(Duration::from_secs(6));
    let reloaded = !entry.log_lines("event=settings_reloaded").is_empty();
    fleet.record.line(&format!("the entry has read the changed settings: {reloaded}"));
    if trouble != reloaded || !is_ready(addresses.readiness) {
        return Verdict::NotRun;
    }
    entry.signal(SIGTERM);
    let stopped_at = Instant::now();
    fleet.record.line("platform: SIGTERM, right after a question on readiness that got 200");
    let clients: Vec<_> = SEND_AT_MS
        .into_iter()
        .map(|at_ms| {
            let (record, callers) = (fleet.record.clone(), addresses.callers);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(at_ms));
                client::send(callers, "/draft/2", &format!("after{at_ms}"), DEADLINE, &record)
            })
        })
        .collect();
    let mut misses = 0;
    for question in 1..=MISSES {
        let at = stopped_at + PROBE_INTERVAL * question;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        misses = if is_ready(addresses.readiness) { 0 } else { misses + 1 };
        fleet.record.line(&format!("platform: {misses} questions in a row without a 200"));
    }
    let outcomes: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let grace = Duration::from_secs(GRACE_S[1]);
    let ended = wait_until(grace, || entry.has_ended());
    fleet.record.line(&format!(
        "the entry has ended: {ended}, {} ms after SIGTERM at the latest",
        stopped_at.elapsed().as_millis()
    ));
    let mut lost = 0;
    for outcome in &outcomes {
        let is_over = outcome.ended_at - outcome.sent_at + DEADLINE_SLACK >= DEADLINE;
        // The engine was at work in the last sixth of the grace period.
        let is_excused = outcome.ended_at >= stopped_at + grace * 5 / 6;
        if !outcome.is_complete && !is_over && !is_excused {
            lost += 1;
            fleet.record.line(&format!(
                "LOST: {} was read and run, and its connection ended without a complete answer {} ms \
                 after SIGTERM; grace_s is {}",
                outcome.id,
                (outcome.ended_at - stopped_at).as_millis(),
                GRACE_S[1]
            ));
        }
    }
    fleet.record.line(&format!("{lost} of {} requests lost", outcomes.len()));
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}
