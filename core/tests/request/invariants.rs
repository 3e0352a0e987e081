//! The invariants that must hold for every caller, whatever faults occurred.

use crate::simulation::{Caller, Simulation};
use crate::workload::answer_parts;
use buckthornwharf_core::code::OutcomeClass;
use buckthornwharf_core::prelude::*;
use strum::IntoStaticStr;

/// The result that a caller got and the number of runs of its request, as `code/runs`.
pub fn outcome(simulation: &Simulation, caller: usize) -> String {
    let caller = &simulation.callers[caller];
    let code = caller.results.first().map_or("none", |code| <&str>::from(code));
    format!("{code}/{}", runs(simulation, caller))
}

fn runs(simulation: &Simulation, caller: &Caller) -> u32 {
    simulation.runs.get(&caller.submit.id).copied().unwrap_or(0)
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum InvariantViolation {
    /// The caller got no result, or several; their number.
    ResultCount(usize),
    /// The caller got `Ok` with an incomplete or wrong answer; its body.
    TruncatedSuccess(String),
    /// The body is not a prefix of the answer; the body.
    ForeignBytes(String),
    /// The result says "not run", but the request ran; the code and the number of runs.
    FalseNotRun(ResultCode, u32),
    /// The result says "not run" after bytes were forwarded.
    NotRunAfterBytes(ResultCode),
    /// A non-idempotent request ran more than once; the number of runs.
    RepeatedRuns(u32),
}

impl InvariantViolation {
    pub fn name(&self) -> &'static str {
        self.into()
    }
}

/// Checks every caller of a simulation that has run to its end.
pub fn check_invariants(simulation: &Simulation) -> Result<(), String> {
    let mut callers = simulation.callers.iter();
    callers
        .try_for_each(|caller| check_caller_invariants(simulation, caller))
        .map_err(|violation| format!("{violation:?}"))
}

/// Checks one caller.
pub fn check_caller_invariants(
    simulation: &Simulation,
    caller: &Caller,
) -> Result<(), InvariantViolation> {
    let [code] = caller.results[..] else {
        return Err(InvariantViolation::ResultCount(caller.results.len()));
    };
    let expected_body = answer_parts(caller.submit.fingerprint).concat();
    let body = String::from_utf8_lossy(&caller.body).into_owned();
    let runs = runs(simulation, caller);
    let is_not_run = code.class() == OutcomeClass::NotRun;
    if code == ResultCode::Ok && (caller.body != expected_body || !caller.has_head) {
        return Err(InvariantViolation::TruncatedSuccess(body));
    }
    if !expected_body.starts_with(&caller.body) {
        return Err(InvariantViolation::ForeignBytes(body));
    }
    if is_not_run && runs > 0 {
        return Err(InvariantViolation::FalseNotRun(code, runs));
    }
    if is_not_run && !caller.body.is_empty() {
        return Err(InvariantViolation::NotRunAfterBytes(code));
    }
    if !caller.submit.idempotent && runs > 1 {
        return Err(InvariantViolation::RepeatedRuns(runs));
    }
    Ok(())
}

/// Number of runs of all requests with this idempotency key.
pub fn runs_of_key(simulation: &Simulation, key: &str) -> u32 {
    let has_key = |caller: &&Caller| caller.submit.idempotency_key.as_deref() == Some(key);
    simulation.callers.iter().filter(has_key).map(|caller| runs(simulation, caller)).sum()
}
