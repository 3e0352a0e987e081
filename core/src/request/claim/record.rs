//! The state of a claim in the agent's memory.

use super::cursor::{CursorGoal, LogCursor};
use super::{CLAIM_TIMEOUT, MAX_CLAIM_CALLS};
use crate::prelude::*;

/// The phase of a claim at its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimPhase {
    /// The key is being acquired for this request.
    Acquiring(RequestId),
    /// The key is held for this request.
    Held(RequestId),
    /// The nonce is being released, as no request was dispatched under it. Calls are made in the name
    /// of this request.
    Releasing(RequestId),
    /// The log has no claim of this agent that holds the key, or may come to hold it.
    Free,
}

/// A request that waits for a claim to be settled.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingClaim {
    pub id: RequestId,
    pub nonce: u128,
    pub fingerprint: u64,
    pub since: MonoTime,
}

/// The state of a claim in the agent's memory.
#[derive(Debug)]
pub(super) struct LocalClaim {
    pub fingerprint: u64,
    pub phase: ClaimPhase,
    pub cursor: LogCursor,
    pub waiting: Vec<WaitingClaim>,
    /// Calls made in the current phase.
    calls: u32,
    /// Start of the current phase.
    since: MonoTime,
}

impl LocalClaim {
    /// A claim of a key to be acquired for a request.
    pub fn new(first: &WaitingClaim) -> Self {
        Self {
            fingerprint: first.fingerprint,
            phase: ClaimPhase::Acquiring(first.id),
            cursor: LogCursor::new(first.nonce),
            waiting: Vec::new(),
            calls: 0,
            since: first.since,
        }
    }

    /// Starts to acquire the free key for another request.
    pub fn restart(&mut self, next: &WaitingClaim) {
        self.fingerprint = next.fingerprint;
        self.cursor.restart(next.nonce);
        self.set_phase(next.since, ClaimPhase::Acquiring(next.id));
    }

    pub fn set_phase(&mut self, now: MonoTime, phase: ClaimPhase) {
        self.phase = phase;
        self.calls = 0;
        self.since = now;
    }

    /// Starts to release the nonce in the name of a request if a claim with it may be in the log; else
    /// the key is free.
    pub fn abandon(&mut self, now: MonoTime, id: RequestId) {
        self.cursor.set_goal(CursorGoal::Release);
        let needs_release = self.cursor.may_be_written() || self.cursor.is_call_pending();
        let phase = if needs_release { ClaimPhase::Releasing(id) } else { ClaimPhase::Free };
        self.set_phase(now, phase);
    }

    /// The request in whose name calls are made; `None` once the claim is settled.
    pub fn calling_request(&self) -> Option<RequestId> {
        match self.phase {
            ClaimPhase::Acquiring(id) | ClaimPhase::Releasing(id) => Some(id),
            ClaimPhase::Held(_) | ClaimPhase::Free => None,
        }
    }

    /// Counts a call of the key-value service; `false` if the current phase may make no more.
    pub fn take_call(&mut self, now: MonoTime) -> bool {
        if now.since(self.since) >= CLAIM_TIMEOUT || self.calls == MAX_CLAIM_CALLS {
            return false;
        }
        self.calls += 1;
        true
    }

    /// Whether the claim was not settled within [`CLAIM_TIMEOUT`].
    pub fn is_timed_out(&self, now: MonoTime) -> bool {
        self.calling_request().is_some() && now.since(self.since) >= CLAIM_TIMEOUT
    }

    /// Whether the claim was settled at least `age` ago.
    pub fn is_settled_for(&self, now: MonoTime, age: Duration) -> bool {
        self.calling_request().is_none() && now.since(self.since) >= age
    }
}
