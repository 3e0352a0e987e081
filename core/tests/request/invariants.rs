//! What must hold of every caller, whatever happened.

use crate::simulation::{Caller, World};
use crate::workload::answer_parts;
use buckthornwharf_core::code::OutcomeClass;
use buckthornwharf_core::prelude::*;
use strum::IntoStaticStr;

/// The result of a caller and the runs of its request.
pub fn outcome(world: &World, caller: usize) -> String {
    let caller = &world.callers[caller];
    let code = caller.results.first().map_or("none", |code| <&str>::from(code));
    format!("{code}/{}", runs(world, caller))
}

fn runs(world: &World, caller: &Caller) -> u32 {
    world.runs.get(&caller.submit.id).copied().unwrap_or(0)
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum BrokenPromise {
    FinalAnswers(usize),
    CutSuccess(String),
    ForeignBytes(String),
    FalseNotRun(ResultCode, u32),
    NotRunAfterBytes(ResultCode),
    ManyRuns(u32),
}

impl BrokenPromise {
    pub fn name(&self) -> &'static str {
        self.into()
    }
}

/// Checks every caller of a world that has run to its end.
pub fn check(world: &World) -> Result<(), String> {
    let mut callers = world.callers.iter();
    callers
        .try_for_each(|caller| check_caller(world, caller))
        .map_err(|broken| format!("{broken:?}"))
}

/// Checks one caller.
pub fn check_caller(world: &World, caller: &Caller) -> Result<(), BrokenPromise> {
    let [code] = caller.results[..] else {
        return Err(BrokenPromise::FinalAnswers(caller.results.len()));
    };
    let body = answer_parts(caller.submit.fingerprint).concat();
    let got = String::from_utf8_lossy(&caller.body).into_owned();
    let runs = runs(world, caller);
    let is_not_run = code.class() == OutcomeClass::NotRun;
    if code == ResultCode::Ok && (caller.body != body || !caller.has_head) {
        return Err(BrokenPromise::CutSuccess(got));
    }
    if !body.starts_with(&caller.body) {
        return Err(BrokenPromise::ForeignBytes(got));
    }
    if is_not_run && runs > 0 {
        return Err(BrokenPromise::FalseNotRun(code, runs));
    }
    if is_not_run && !caller.body.is_empty() {
        return Err(BrokenPromise::NotRunAfterBytes(code));
    }
    if !caller.submit.idempotent && runs > 1 {
        return Err(BrokenPromise::ManyRuns(runs));
    }
    Ok(())
}

/// Runs of all requests with this idempotency key.
pub fn runs_of_key(world: &World, key: &str) -> u32 {
    let with_key = |caller: &&Caller| caller.submit.idempotency_key.as_deref() == Some(key);
    world.callers.iter().filter(with_key).map(|caller| runs(world, caller)).sum()
}
