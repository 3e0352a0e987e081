//! The stored form of a claim in the key-value service.

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
