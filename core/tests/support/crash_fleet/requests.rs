//! The requests of a simulated fleet.

use super::plan::CrashingKind;
use super::{CrashFleet, service};
use buckthornwharf_core::direct::{CauseId, request_causes};
use buckthornwharf_core::prelude::*;
use rand::RngExt;

/// Time from which requests crash engines that were answered first.
const BAD_FROM: MonoTime = MonoTime::from_millis(10_000);

/// A request, with the number of what crashes engines in it.
#[derive(Debug, Clone)]
pub(super) struct SimRequest {
    pub causes: Vec<CauseId>,
    pub crashing: Option<u64>,
    pub attempts: u32,
}

/// The cause that stands for a whole request.
fn whole(content: u64) -> CauseId {
    request_causes(&service(), &[], "key", &format!("/{content}"), &[])[0]
}

impl CrashFleet<'_> {
    pub(super) fn crashing_request(&mut self, number: u64) -> SimRequest {
        let causes = match self.plan.crashing_kind {
            CrashingKind::Part => {
                let own = self.rng.random();
                self.causes(&[1, 10, 1_000 + number, own])
            }
            CrashingKind::Request { .. } => vec![whole(1_000 + number)],
        };
        SimRequest { causes, crashing: Some(number), attempts: 0 }
    }

    /// Whether requests that crash engines do so if they begin to run at `at`.
    pub(super) fn is_bad(&self, at: MonoTime) -> bool {
        let is_answered_first = CrashingKind::Request { was_answered: true };
        self.plan.crashing_kind != is_answered_first || at > BAD_FROM
    }

    pub(super) fn sound_request(&mut self) -> SimRequest {
        match self.plan.crashing_kind {
            CrashingKind::Part => self.sound_prompt(),
            CrashingKind::Request { .. } => self.sound_lookup(),
        }
    }

    /// A request without a prompt, one of a few that come again or a new one.
    fn sound_lookup(&mut self) -> SimRequest {
        let content = match self.rng.random_bool(0.5) {
            true => self.rng.random_range(0..20),
            false => self.rng.random(),
        };
        SimRequest { causes: vec![whole(content)], crashing: None, attempts: 0 }
    }

    /// A request of one of three routes and ten callers, mostly of a longer session.
    fn sound_prompt(&mut self) -> SimRequest {
        let route = self.rng.random_range(1..4);
        let caller = self.rng.random_range(10..20);
        let session = 100 + self.rng.random_range(0..60) * 100 + caller;
        let own = self.rng.random();
        let parts = match self.rng.random_bool(0.6) {
            true => vec![route, caller, session, own],
            false => vec![route, caller, own],
        };
        SimRequest { causes: self.causes(&parts), crashing: None, attempts: 0 }
    }

    fn causes(&self, parts: &[u64]) -> Vec<CauseId> {
        let mut causes: Vec<CauseId> =
            parts.iter().map(|part| CauseId::of_part(&service(), *part)).collect();
        causes.sort_unstable();
        causes
    }
}
