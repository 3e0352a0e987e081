//! The stored form of a claim in the key-value service, and its state in the agent's memory.

use super::cursor::{CursorGoal, LogCursor};
use super::{CLAIM_TIMEOUT, MAX_CLAIM_CALLS};
use crate::frame::SubmitFrame;
use crate::prelude::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use std::fmt;

const KEY_DOMAIN: &str = "buckthornwharf claim 1";

/// The key of a claim in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(Arc<str>);

impl ClaimKey {
    /// The key for a request; `None` if the caller gave no idempotency key.
    pub fn of(submit: &SubmitFrame) -> Option<Self> {
        let key = submit.idempotency_key.as_ref()?;
        let mut hasher = blake3::Hasher::new_derive_key(KEY_DOMAIN);
        let organisation = submit.organisation.as_str();
        hasher.update(&(organisation.len() as u64).to_le_bytes());
        hasher.update(organisation.as_bytes());
        hasher.update(key.as_bytes());
        let hash = hasher.finalize().to_hex();
        Some(Self(format!("claim/{}/{hash}", submit.service).into()))
    }

    /// The key of a position in the claim's log; position 0 is the claim's own key.
    pub(super) fn at_position(&self, position: u32) -> Self {
        match position {
            0 => self.clone(),
            _ => Self(format!("{}/{position}", self.0).into()),
        }
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The value at one position of an idempotency key's log.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// Random number that the process drew for this claim of the key.
    #[serde_as(as = "DisplayFromStr")]
    pub nonce: u128,
    /// Whether this releases the key; else it claims the key.
    pub is_release: bool,
    /// The request that the key was claimed for.
    pub id: RequestId,
    /// The host of the agent that wrote the value.
    pub host: HostName,
}

impl ClaimValue {
    /// Encodes the value as CBOR.
    pub fn encode(&self) -> Bytes {
        let mut buffer = Vec::new();
        // Cannot fail: the buffer is a vector, and CBOR can express every field.
        let _ = ciborium::into_writer(self, &mut buffer);
        buffer.into()
    }

    /// Decodes a value from CBOR; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        ciborium::from_reader(bytes).ok()
    }
}

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
