//! A claim as it stands in the key-value service, and as its agent remembers it.

use super::cursor::{LogWalk, WalkGoal};
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
    /// The key for a request; none if its caller gave no idempotency key.
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

    /// The key of a position in the claim's log; the first one is the claim's own.
    pub(super) fn at(&self, position: u32) -> Self {
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

/// A position in the log of a key, in the key-value service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// Random number of the process that claims or releases the key.
    #[serde_as(as = "DisplayFromStr")]
    pub nonce: u128,
    /// Whether the key is released by the nonce, and not claimed.
    pub is_release: bool,
    /// The request that the key was claimed for.
    pub id: RequestId,
    /// The host of the agent.
    pub host: HostName,
}

impl ClaimValue {
    /// The value as CBOR.
    pub fn encode(&self) -> Bytes {
        let mut buffer = Vec::new();
        // Writing to a vector cannot fail, and the value has no part that CBOR lacks.
        let _ = ciborium::into_writer(self, &mut buffer);
        buffer.into()
    }

    /// The value from CBOR; none if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        ciborium::from_reader(bytes).ok()
    }
}

/// How far a claim has come at its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimPhase {
    /// The key is being acquired for this request.
    Acquiring(RequestId),
    /// The key was given to this request.
    Owned(RequestId),
    /// Nobody was dispatched under the nonce, which is being released; calls are in the name of
    /// this request.
    Releasing(RequestId),
    /// Nothing of ours is in the log.
    Free,
}

/// A request that waits until the claim is settled.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingClaim {
    pub id: RequestId,
    pub nonce: u128,
    pub fingerprint: u64,
    pub since: MonoTime,
}

/// A claim as its agent remembers it.
#[derive(Debug)]
pub(super) struct LocalClaim {
    pub fingerprint: u64,
    pub phase: ClaimPhase,
    pub walk: LogWalk,
    pub waiting: Vec<WaitingClaim>,
    calls: u32,
    since: MonoTime,
}

impl LocalClaim {
    /// A claim that is to be acquired for a request.
    pub fn new(first: &WaitingClaim) -> Self {
        Self {
            fingerprint: first.fingerprint,
            phase: ClaimPhase::Acquiring(first.id),
            walk: LogWalk::new(first.nonce),
            waiting: Vec::new(),
            calls: 0,
            since: first.since,
        }
    }

    /// Starts to acquire a free key for a request.
    pub fn restart(&mut self, next: &WaitingClaim) {
        self.fingerprint = next.fingerprint;
        self.walk.restart(next.nonce);
        self.set_phase(next.since, ClaimPhase::Acquiring(next.id));
    }

    pub fn set_phase(&mut self, now: MonoTime, phase: ClaimPhase) {
        self.phase = phase;
        self.calls = 0;
        self.since = now;
    }

    /// Starts to release the nonce in the name of a request, if anything of it may be in the log.
    pub fn abandon(&mut self, now: MonoTime, id: RequestId) {
        self.walk.set_goal(WalkGoal::Release);
        let is_written = self.walk.may_be_written() || self.walk.is_calling();
        let phase = if is_written { ClaimPhase::Releasing(id) } else { ClaimPhase::Free };
        self.set_phase(now, phase);
    }

    /// The request in whose name calls are made.
    pub fn caller(&self) -> Option<RequestId> {
        match self.phase {
            ClaimPhase::Acquiring(id) | ClaimPhase::Releasing(id) => Some(id),
            ClaimPhase::Owned(_) | ClaimPhase::Free => None,
        }
    }

    /// Counts a call of the key-value service; `false` if no more may be made for now.
    pub fn take_call(&mut self, now: MonoTime) -> bool {
        if now.since(self.since) >= CLAIM_TIMEOUT || self.calls == MAX_CLAIM_CALLS {
            return false;
        }
        self.calls += 1;
        true
    }

    /// Whether the present phase has taken too long.
    pub fn is_late(&self, now: MonoTime) -> bool {
        self.caller().is_some() && now.since(self.since) >= CLAIM_TIMEOUT
    }

    /// Whether the claim may be forgotten, as it was settled that long ago.
    pub fn is_older(&self, now: MonoTime, age: Duration) -> bool {
        self.caller().is_none() && now.since(self.since) >= age
    }
}
