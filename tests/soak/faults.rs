//! Faults injected from outside the processes, drawn from a seeded generator.

use super::fleet::{SoakFleet, SoakProcess, set_switches};
use super::standin::model_engine::EngineFault;
use super::standin::operator;
use super::standin::origin::{CHUNKS, OriginFault};
use super::standin::shape::AnswerShape;
use super::standin::store::StoreFault;
use buckthornwharf_standin::fleet::FleetProcess;
use buckthornwharf_standin::relay::{RelayService, RelaySwitches, SilenceMode};
use rand::RngExt;
use rand::rngs::StdRng;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A fault, or a change made by an operator; several may be active at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumIter, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum SoakFault {
    StoreSilent,
    StoreBusy,
    StoreSlow,
    StoreLosesAnswers,
    StoreWritesLate,
    StoreForgetsHistory,
    ProcessKilled,
    ProcessRolled,
    ProcessPaused,
    StoreLinkSilenced,
    StoreLinkCut,
    StoreLinkDelayed,
    EngineLinkSilenced,
    EngineLinkCut,
    EngineLinkDelayed,
    EngineCrashed,
    EngineFailing,
    PieceSpoilt,
    OriginDown,
    OriginCorrupt,
    VersionDeclared,
    KeyChanged,
    RouteAdded,
}

/// State shared by the faults of a run.
#[derive(Default)]
pub struct FaultState {
    /// The newest declared version.
    pub version: Cell<u64>,
    /// Number of processes that did not exit with success, or in time, after SIGTERM.
    pub unclean_exits: Cell<u32>,
    /// Times in which the store answered no process.
    pub store_outages: RefCell<Vec<(Instant, Instant)>>,
}

fn pick<'a, T>(rng: &mut StdRng, items: &'a [T]) -> &'a T {
    &items[rng.random_range(0..items.len())]
}

fn pick_process<'a>(rng: &mut StdRng, fleet: &'a SoakFleet) -> &'a SoakProcess {
    pick(rng, &fleet.processes)
}

fn engine_fault(rng: &mut StdRng) -> EngineFault {
    *pick(
        rng,
        &[
            EngineFault::LostAnswer,
            EngineFault::Shaped(AnswerShape::Truncated),
            EngineFault::ExtraAnswer,
            EngineFault::Fail,
            EngineFault::Hang,
            EngineFault::Shaped(AnswerShape::EndedWithinEvent),
            EngineFault::Shaped(AnswerShape::Undelimited),
            EngineFault::Shaped(AnswerShape::UndelimitedCut),
            EngineFault::Shaped(AnswerShape::UndelimitedEmpty),
            EngineFault::Shaped(AnswerShape::UndelimitedReset),
            EngineFault::Shaped(AnswerShape::EndlessEvent),
        ],
    )
}

fn silence(rng: &mut StdRng) -> RelaySwitches {
    let modes = [SilenceMode::Both, SilenceMode::Forward, SilenceMode::Back];
    RelaySwitches { silence: *pick(rng, &modes), ..RelaySwitches::default() }
}

async fn delay(relay: &RelayService, duration: Duration) {
    set_switches(relay, &RelaySwitches { delay_ms: 150, ..RelaySwitches::default() });
    actix_rt::time::sleep(duration).await;
    set_switches(relay, &RelaySwitches::default());
}

async fn store_fault(fleet: &SoakFleet, fault: StoreFault, duration: Duration) {
    fleet.store.fault.set(fault);
    actix_rt::time::sleep(duration).await;
    fleet.store.fault.set(StoreFault::None);
}

/// Injects `fault`, for `duration` if it is one that lasts.
pub async fn inject_fault(
    fleet: &SoakFleet,
    state: &Rc<FaultState>,
    fault: SoakFault,
    duration: Duration,
    rng: &mut StdRng,
) {
    let sleep = actix_rt::time::sleep;
    let started = Instant::now();
    let engine = rng.random_range(0..fleet.engines.len());
    match fault {
        SoakFault::StoreSilent => {
            fleet.store.silent.set(true);
            sleep(duration).await;
            fleet.store.silent.set(false);
            state.store_outages.borrow_mut().push((started, Instant::now()));
        }
        SoakFault::StoreBusy => {
            store_fault(fleet, StoreFault::Busy, duration).await;
            state.store_outages.borrow_mut().push((started, Instant::now()));
        }
        SoakFault::StoreSlow => store_fault(fleet, StoreFault::Slow, duration).await,
        SoakFault::StoreLosesAnswers => store_fault(fleet, StoreFault::LostAnswers, duration).await,
        SoakFault::StoreWritesLate => store_fault(fleet, StoreFault::LateWrites, duration).await,
        SoakFault::StoreForgetsHistory => fleet.store.compact(),
        SoakFault::ProcessKilled => {
            pick_process(rng, fleet).restart(fleet.folder(), duration / 4).await
        }
        SoakFault::ProcessRolled => {
            if !pick_process(rng, fleet).restart_gracefully(fleet.folder()).await {
                state.unclean_exits.set(state.unclean_exits.get() + 1);
            }
        }
        SoakFault::ProcessPaused => {
            let process = pick_process(rng, fleet);
            process.with_process(FleetProcess::suspend);
            sleep(duration).await;
            process.with_process(FleetProcess::resume);
        }
        SoakFault::StoreLinkSilenced => {
            set_switches(&pick_process(rng, fleet).store_relay, &silence(rng))
        }
        SoakFault::StoreLinkCut => {
            let cut = RelaySwitches { cut: true, ..RelaySwitches::default() };
            set_switches(&pick_process(rng, fleet).store_relay, &cut);
        }
        SoakFault::StoreLinkDelayed => delay(&pick_process(rng, fleet).store_relay, duration).await,
        SoakFault::EngineLinkSilenced => set_switches(&fleet.engine_relays[engine], &silence(rng)),
        SoakFault::EngineLinkCut => {
            let cut = RelaySwitches { cut: true, ..RelaySwitches::default() };
            set_switches(&fleet.engine_relays[engine], &cut);
        }
        SoakFault::EngineLinkDelayed => delay(&fleet.engine_relays[engine], duration).await,
        SoakFault::EngineCrashed => {
            fleet.engines[engine].crash(rng.random_bool(0.5));
            sleep(duration / 2).await;
            fleet.engines[engine].restart();
        }
        SoakFault::EngineFailing => {
            fleet.engines[engine].fault.set(engine_fault(rng));
            sleep(duration).await;
            fleet.engines[engine].fault.set(EngineFault::None);
        }
        SoakFault::PieceSpoilt => fleet.engines[engine].corrupt_chunk(rng.random_range(0..CHUNKS)),
        SoakFault::OriginDown | SoakFault::OriginCorrupt => {
            let down = fault == SoakFault::OriginDown;
            fleet.origin.fault.set(if down { OriginFault::Down } else { OriginFault::Corrupt });
            sleep(duration).await;
            fleet.origin.fault.set(OriginFault::None);
        }
        SoakFault::VersionDeclared => {
            state.version.set(state.version.get() + 1);
            operator::declare_version(&fleet.store, state.version.get());
        }
        SoakFault::KeyChanged => {
            let key = format!("key-{}", rng.random_range(0..u32::MAX));
            fleet.configure(|config| config.key = key);
        }
        SoakFault::RouteAdded => {
            let prefix = format!("/extra-{}/", rng.random_range(0..u32::MAX));
            fleet.configure(|config| config.extra_prefix = Some(prefix));
        }
    }
}
