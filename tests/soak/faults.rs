//! Faults from outside the processes, drawn from a seed.

use super::fleet::{SoakFleet, SoakProcess, switch};
use super::standin::model_engine::EngineFault;
use super::standin::operator;
use super::standin::origin::{OriginFault, PIECES};
use super::standin::store::StoreFault;
use buckthornwharf_standin::fleet::FleetProcess;
use buckthornwharf_standin::relay::{RelayService, RelaySwitches, SilenceMode};
use rand::RngExt;
use rand::rngs::StdRng;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A fault, or a change that operators make; several go on at once.
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

/// What faults share.
#[derive(Default)]
pub struct FaultState {
    /// The newest version that was declared.
    pub version: Cell<u64>,
    /// Processes that did not end in order when told to leave.
    pub bad_ends: Cell<u32>,
}

fn pick<'a, T>(rng: &mut StdRng, of: &'a [T]) -> &'a T {
    &of[rng.random_range(0..of.len())]
}

fn process<'a>(rng: &mut StdRng, fleet: &'a SoakFleet) -> &'a SoakProcess {
    pick(rng, &fleet.processes)
}

fn engine_fault(rng: &mut StdRng) -> EngineFault {
    *pick(
        rng,
        &[
            EngineFault::LostAnswer,
            EngineFault::Cut,
            EngineFault::ExtraAnswer,
            EngineFault::Fail,
            EngineFault::Hang,
        ],
    )
}

fn silence(rng: &mut StdRng) -> RelaySwitches {
    let modes = [SilenceMode::Both, SilenceMode::Forward, SilenceMode::Back];
    RelaySwitches { silence: *pick(rng, &modes), ..RelaySwitches::default() }
}

async fn delay(relay: &RelayService, span: Duration) {
    switch(relay, &RelaySwitches { delay_ms: 150, ..RelaySwitches::default() });
    actix_rt::time::sleep(span).await;
    switch(relay, &RelaySwitches::default());
}

async fn store_fault(fleet: &SoakFleet, fault: StoreFault, span: Duration) {
    fleet.store.fault.set(fault);
    actix_rt::time::sleep(span).await;
    fleet.store.fault.set(StoreFault::None);
}

/// Carries out `fault` for `span`, where it lasts.
pub async fn strike(
    fleet: &SoakFleet,
    state: &Rc<FaultState>,
    fault: SoakFault,
    span: Duration,
    rng: &mut StdRng,
) {
    let sleep = actix_rt::time::sleep;
    let engine = rng.random_range(0..fleet.engines.len());
    match fault {
        SoakFault::StoreSilent => {
            fleet.store.silent.set(true);
            sleep(span).await;
            fleet.store.silent.set(false);
        }
        SoakFault::StoreBusy => store_fault(fleet, StoreFault::Busy, span).await,
        SoakFault::StoreSlow => store_fault(fleet, StoreFault::Slow, span).await,
        SoakFault::StoreLosesAnswers => store_fault(fleet, StoreFault::LostAnswers, span).await,
        SoakFault::StoreWritesLate => store_fault(fleet, StoreFault::LateWrites, span).await,
        SoakFault::StoreForgetsHistory => fleet.store.compact(),
        SoakFault::ProcessKilled => process(rng, fleet).restart(fleet.folder(), span / 4).await,
        SoakFault::ProcessRolled => {
            if !process(rng, fleet).roll(fleet.folder()).await {
                state.bad_ends.set(state.bad_ends.get() + 1);
            }
        }
        SoakFault::ProcessPaused => {
            let process = process(rng, fleet);
            process.with_process(FleetProcess::suspend);
            sleep(span).await;
            process.with_process(FleetProcess::resume);
        }
        SoakFault::StoreLinkSilenced => switch(&process(rng, fleet).store_relay, &silence(rng)),
        SoakFault::StoreLinkCut => {
            let cut = RelaySwitches { cut: true, ..RelaySwitches::default() };
            switch(&process(rng, fleet).store_relay, &cut);
        }
        SoakFault::StoreLinkDelayed => delay(&process(rng, fleet).store_relay, span).await,
        SoakFault::EngineLinkSilenced => switch(&fleet.engine_relays[engine], &silence(rng)),
        SoakFault::EngineLinkCut => {
            let cut = RelaySwitches { cut: true, ..RelaySwitches::default() };
            switch(&fleet.engine_relays[engine], &cut);
        }
        SoakFault::EngineLinkDelayed => delay(&fleet.engine_relays[engine], span).await,
        SoakFault::EngineCrashed => {
            fleet.engines[engine].crash(rng.random_bool(0.5));
            sleep(span / 2).await;
            fleet.engines[engine].restart();
        }
        SoakFault::EngineFailing => {
            fleet.engines[engine].fault.set(engine_fault(rng));
            sleep(span).await;
            fleet.engines[engine].fault.set(EngineFault::None);
        }
        SoakFault::PieceSpoilt => fleet.engines[engine].rot(rng.random_range(0..PIECES)),
        SoakFault::OriginDown | SoakFault::OriginCorrupt => {
            let down = fault == SoakFault::OriginDown;
            fleet.origin.fault.set(if down { OriginFault::Down } else { OriginFault::Corrupt });
            sleep(span).await;
            fleet.origin.fault.set(OriginFault::None);
        }
        SoakFault::VersionDeclared => {
            state.version.set(state.version.get() + 1);
            operator::declare(&fleet.store, state.version.get());
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
