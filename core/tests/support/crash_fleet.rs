//! A simulated fleet of entries and engines, some of whose requests crash engines.

#[path = "crash_fleet/bounds.rs"]
mod bounds;
#[path = "crash_fleet/plan.rs"]
mod plan;
#[path = "crash_fleet/requests.rs"]
mod requests;

use buckthornwharf_core::direct::{
    CauseId, CrashId, CrashLedger, CrashReport, RegisteredTarget, SentCause, TargetPhase,
};
use buckthornwharf_core::prelude::*;
pub use plan::FleetPlan;
use plan::{CrashingKind, OutageKind};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use requests::SimRequest;

const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(60);
/// Time from which crashing requests come.
const CRASHING_FROM: MonoTime = MonoTime::from_millis(5_000);
/// Time from the arrival of a request at an engine to the first token.
const READ_TIME: Duration = Duration::from_millis(100);
const SLOTS: usize = 16;
const MAX_ATTEMPTS: u32 = 2;
/// Begin and end of an outage, and moment of a power failure.
const OUTAGE: (MonoTime, MonoTime) = (MonoTime::from_millis(12_000), MonoTime::from_millis(20_000));
/// Interval between restarts of entries.
const ENTRY_RESTART_INTERVAL: Duration = Duration::from_secs(7);

#[derive(Debug)]
struct Run {
    entry: usize,
    request: SimRequest,
    sent: Vec<SentCause>,
    begins_at: MonoTime,
    has_begun: bool,
    ends_at: MonoTime,
}

#[derive(Debug, Default)]
struct Engine {
    starts: u64,
    up_at: MonoTime,
    runs: Vec<Run>,
}

/// The state of a run.
pub struct CrashFleet<'a> {
    plan: &'a FleetPlan,
    rng: StdRng,
    now: MonoTime,
    ledgers: Vec<CrashLedger>,
    engines: Vec<Engine>,
    /// The last report that each entry wrote, and when.
    stored: Vec<Option<(CrashReport, MonoTime)>>,
    unwritten: Vec<bool>,
    /// Crashes by each crashing part.
    crashes: Vec<Vec<MonoTime>>,
    /// Times at which requests with each crashing part reached engines.
    arrivals: Vec<Vec<MonoTime>>,
    /// Sound requests of the crashing route: when, and whether they were not refused.
    sound: Vec<(MonoTime, bool)>,
}

/// The service of all requests.
pub fn service() -> ServiceName {
    ServiceName::from("llm")
}

/// The crash of an engine after its start number `start`.
pub fn crash_id(engine: usize, start: u64) -> CrashId {
    CrashId::of(&RegisteredTarget {
        id: format!("engine-{engine}").into(),
        service: service(),
        address: ([127, 0, 0, 1], 1).into(),
        site: SiteName::from("a"),
        slots: SLOTS as u32,
        phase: TargetPhase::Ready,
        models: Vec::new(),
        started_unix_ms: start,
        cold_remaining: None,
    })
}

impl<'a> CrashFleet<'a> {
    /// Plays a run; returns the violated bounds.
    pub fn play(plan: &'a FleetPlan, seed: u64) -> Vec<String> {
        let mut fleet = CrashFleet {
            plan,
            rng: StdRng::seed_from_u64(seed),
            now: MonoTime::ZERO,
            ledgers: (0..plan.entries).map(|entry| CrashLedger::new(entry as u8 * 40)).collect(),
            engines: (0..plan.engines).map(|_| Engine::default()).collect(),
            stored: vec![None; plan.entries],
            unwritten: vec![false; plan.entries],
            crashes: vec![Vec::new(); plan.crashing_count as usize],
            arrivals: vec![Vec::new(); plan.crashing_count as usize],
            sound: Vec::new(),
        };
        while fleet.now < MonoTime::ZERO + LENGTH {
            fleet.step();
            fleet.now = fleet.now + STEP;
        }
        fleet.violations()
    }

    fn step(&mut self) {
        self.deliver_reports();
        self.end_runs();
        let step_s = STEP.as_secs_f64();
        if self.rng.random_bool((self.plan.sound_per_s * step_s).min(1.0)) {
            let request = self.sound_request();
            let entry = self.rng.random_range(0..self.plan.entries);
            self.dispatch(entry, request);
        }
        for number in 0..self.plan.crashing_count {
            if self.now > CRASHING_FROM
                && self.rng.random_bool((self.plan.crashing_per_s * step_s).min(1.0))
            {
                let request = self.crashing_request(number);
                let entry = self.rng.random_range(0..self.plan.entries);
                self.dispatch(entry, request);
            }
        }
        if self.rng.random_bool((self.plan.other_crashes_per_s * step_s).min(1.0)) {
            let engine = self.rng.random_range(0..self.plan.engines);
            self.crash(engine);
        }
        if self.plan.outage == OutageKind::Power && self.now == OUTAGE.0 {
            self.power_down();
        }
        let interval = ENTRY_RESTART_INTERVAL.as_micros() as u64;
        if self.plan.restarts && self.now.as_micros().is_multiple_of(interval) {
            let entry = (self.now.as_micros() / interval) as usize % self.plan.entries;
            self.restart_entry(entry);
        }
    }

    fn dispatch(&mut self, entry: usize, mut request: SimRequest) {
        let refused = self.ledgers[entry].refusal(self.now, &service(), &request.causes).is_some();
        let now = self.now;
        let usable = |engine: &&mut Engine| engine.up_at <= now && engine.runs.len() < SLOTS;
        let is_bad = self.is_bad(now + READ_TIME);
        let is_any_up = self.engines.iter().any(|engine| engine.up_at <= now);
        let mut usable: Vec<&mut Engine> = self.engines.iter_mut().filter(usable).collect();
        if request.crashing.is_none() && request.attempts == 0 {
            match self.plan.crashing_kind {
                CrashingKind::Part if request.causes.contains(&CauseId::of_part(&service(), 1)) => {
                    self.sound.push((now, !refused));
                }
                CrashingKind::Part => {}
                CrashingKind::Request { .. } => {
                    self.sound.push((now, !refused && is_any_up));
                }
            }
        }
        if refused || usable.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..usable.len());
        let write_time = Duration::from_millis(self.rng.random_range(200..1500));
        request.attempts += 1;
        if let Some(number) = request.crashing
            && is_bad
        {
            self.arrivals[number as usize].push(now);
        }
        let sent = self.ledgers[entry].begin(now, &service(), &request.causes);
        let begins_at = now + READ_TIME;
        let run = Run {
            entry,
            request,
            sent,
            begins_at,
            has_begun: false,
            ends_at: begins_at + write_time,
        };
        usable[index].runs.push(run);
    }

    fn end_runs(&mut self) {
        for index in 0..self.engines.len() {
            let now = self.now;
            let begun = |run: &&Run| {
                run.begins_at <= now && run.request.crashing.is_some() && self.is_bad(run.begins_at)
            };
            if let Some(run) = self.engines[index].runs.iter().find(begun) {
                let number = run.request.crashing.unwrap_or_default();
                self.crashes[number as usize].push(now);
                self.crash(index);
                continue;
            }
            let begins = |run: &&mut Run| run.begins_at < now && !run.has_begun;
            for run in self.engines[index].runs.iter_mut().filter(begins) {
                run.has_begun = true;
                let causes = &run.request.causes;
                self.unwritten[run.entry] |=
                    self.ledgers[run.entry].record_begun(&service(), causes);
            }
            let runs = std::mem::take(&mut self.engines[index].runs);
            let (ended, running): (Vec<Run>, Vec<Run>) =
                runs.into_iter().partition(|run| run.ends_at <= now);
            self.engines[index].runs = running;
            for run in ended {
                self.unwritten[run.entry] |=
                    self.ledgers[run.entry].record_answer(&service(), &run.sent);
            }
        }
    }

    fn crash(&mut self, index: usize) {
        let broken = self.stop_engine(index);
        self.retry(broken);
    }

    fn power_down(&mut self) {
        let engines = 0..self.plan.engines;
        let broken: Vec<Run> = engines.flat_map(|index| self.stop_engine(index)).collect();
        self.retry(broken);
    }

    /// Stops an engine that runs; returns the requests that break.
    fn stop_engine(&mut self, index: usize) -> Vec<Run> {
        let engine = &mut self.engines[index];
        if engine.up_at > self.now {
            return Vec::new();
        }
        let crash = crash_id(index, engine.starts);
        engine.starts += 1;
        engine.up_at = self.now + self.plan.restart_time;
        let broken = std::mem::take(&mut engine.runs);
        for run in &broken {
            self.ledgers[run.entry].record_crash(self.now, &service(), crash, &run.sent);
            self.unwritten[run.entry] = true;
        }
        broken
    }

    fn retry(&mut self, broken: Vec<Run>) {
        for run in broken {
            if run.request.attempts < MAX_ATTEMPTS {
                self.dispatch(run.entry, run.request);
            }
        }
    }

    fn store_is_down(&self) -> bool {
        self.plan.outage == OutageKind::Store && OUTAGE.0 <= self.now && self.now < OUTAGE.1
    }

    fn deliver_reports(&mut self) {
        if self.store_is_down() {
            return;
        }
        for entry in 0..self.plan.entries {
            if std::mem::take(&mut self.unwritten[entry]) {
                let report = self.ledgers[entry].report(self.now);
                self.stored[entry] = Some((report, self.now));
            }
        }
        for (writer, stored) in self.stored.iter().enumerate() {
            let Some((report, written_at)) = stored else { continue };
            let arrives = *written_at + self.plan.lag;
            let is_late = self.plan.outage == OutageKind::Store && self.now == OUTAGE.1;
            if is_late || (self.now <= arrives && arrives < self.now + STEP) {
                let others = self.ledgers.iter_mut().enumerate();
                others
                    .filter(|(reader, _)| *reader != writer)
                    .for_each(|(_, ledger)| ledger.merge(self.now, report));
            }
        }
    }

    fn restart_entry(&mut self, entry: usize) {
        self.ledgers[entry] = CrashLedger::new(entry as u8 * 40);
        self.engines.iter_mut().for_each(|engine| engine.runs.retain(|run| run.entry != entry));
        for (report, _) in self.stored.iter().flatten() {
            self.ledgers[entry].merge(self.now, report);
        }
    }
}
