//! A claim as it stands in the key-value service, and as its agent remembers it.

use super::{CLAIM_AGE, CLAIM_TIMEOUT, MAX_CLAIM_CALLS};
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

/// The value of a claim in the key-value service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// Random number of the process that created the claim, for this key.
    #[serde_as(as = "DisplayFromStr")]
    pub nonce: u128,
    /// The request that the claim was created for.
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
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ClaimPhase {
    /// The key-value service is being asked.
    Settling(ClaimSettling),
    /// The key was given to this request.
    Owned(RequestId),
    /// No request was dispatched under the nonce.
    Unused,
}

/// A claim that the key-value service is being asked about.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct ClaimSettling {
    pub first: RequestId,
    pub waiting: Vec<RequestId>,
    calls: u32,
}

/// A claim as its agent remembers it.
#[derive(Debug)]
pub(super) struct LocalClaim {
    pub nonce: u128,
    pub fingerprint: u64,
    pub phase: ClaimPhase,
    /// Whether the key-value service is known to hold the nonce.
    pub is_confirmed: bool,
    since: MonoTime,
}

impl LocalClaim {
    pub fn new(now: MonoTime, first: RequestId, nonce: u128, fingerprint: u64) -> Self {
        let phase = ClaimPhase::Settling(ClaimSettling { first, waiting: Vec::new(), calls: 0 });
        Self { nonce, fingerprint, phase, is_confirmed: false, since: now }
    }

    /// Gives an unused claim to another request.
    pub fn restart(&mut self, now: MonoTime, first: RequestId, fingerprint: u64) {
        let is_confirmed = self.is_confirmed;
        *self = Self { is_confirmed, ..Self::new(now, first, self.nonce, fingerprint) };
    }

    pub fn is_unused(&self) -> bool {
        self.phase == ClaimPhase::Unused
    }

    pub fn is_settled_by(&self, id: RequestId) -> bool {
        matches!(&self.phase, ClaimPhase::Settling(settling) if settling.first == id)
    }

    /// Counts a call of the key-value service; `false` if no more may be made.
    pub fn take_call(&mut self, now: MonoTime) -> bool {
        let is_late = now.since(self.since) >= CLAIM_TIMEOUT;
        let ClaimPhase::Settling(settling) = &mut self.phase else { return false };
        if is_late || settling.calls == MAX_CLAIM_CALLS {
            return false;
        }
        settling.calls += 1;
        true
    }

    /// Gives the key to a request and returns those that wait for its answer.
    pub fn own(&mut self, now: MonoTime, id: RequestId) -> Vec<RequestId> {
        self.is_confirmed = true;
        self.since = now;
        self.replace_phase(ClaimPhase::Owned(id))
    }

    /// Notes that no request is dispatched under the nonce, and returns those that waited.
    pub fn leave_unused(&mut self, now: MonoTime) -> Vec<RequestId> {
        self.since = now;
        self.replace_phase(ClaimPhase::Unused)
    }

    fn replace_phase(&mut self, phase: ClaimPhase) -> Vec<RequestId> {
        match std::mem::replace(&mut self.phase, phase) {
            ClaimPhase::Settling(settling) => settling.waiting,
            ClaimPhase::Owned(_) | ClaimPhase::Unused => Vec::new(),
        }
    }

    /// The request whose claim takes too long.
    pub fn late_request(&self, now: MonoTime) -> Option<RequestId> {
        match &self.phase {
            ClaimPhase::Settling(settling) if now.since(self.since) >= CLAIM_TIMEOUT => {
                Some(settling.first)
            }
            _ => None,
        }
    }

    /// Whether the claim may be forgotten.
    pub fn is_old(&self, now: MonoTime) -> bool {
        let is_settled = !matches!(self.phase, ClaimPhase::Settling(_));
        is_settled && now.since(self.since) >= CLAIM_AGE
    }
}
