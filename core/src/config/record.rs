//! The record that holds the configuration in the key-value service.

use crate::config::ConfigDocument;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::str::FromStr;

/// Key of the configuration record.
pub const CONFIG_KEY: &str = "buckthornwharf/config";
/// Most bytes of an encoded record, which is also the limit of the key-value service for one value.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// Most earlier runs of `apply` that a record lists.
pub const MAX_EARLIER_RUNS: usize = 8;

/// Random identifier of one run of `apply`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct ApplyId(pub u128);

impl fmt::Display for ApplyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for ApplyId {
    type Err = crate::name::ParseNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self).map_err(|_| crate::name::ParseNameError)
    }
}

/// An accepted configuration, with its generation and the run of `apply` that wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigRecord {
    /// Generation, one higher than that of the record it replaces; the first is 1.
    pub generation: ConfigGeneration,
    /// The run of `apply` that wrote this record.
    pub apply_id: ApplyId,
    /// The runs that wrote the preceding generations, newest first, at most [`MAX_EARLIER_RUNS`].
    pub earlier: Vec<ApplyId>,
    /// The merged configuration.
    pub document: ConfigDocument,
}

/// Error that rejects a record.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum RecordError {
    /// the configuration takes {0} bytes, more than the 1 MiB that the key-value service stores under one key
    TooLarge(usize),
    /// the record is not a valid configuration: {0}
    Malformed(String),
}

impl std::error::Error for RecordError {}

/// Outcome of a conditional write whose answer was lost, as derived from a record read back later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Accepted,
    /// Another run wrote this generation; the write can no longer take effect.
    LostRace,
    /// The generation is not written yet; the write may still take effect.
    Undecided,
    /// More than [`MAX_EARLIER_RUNS`] generations followed, so the record no longer lists the run.
    Unknown,
}

impl ConfigRecord {
    /// The record that replaces `base` by `document`; without a base, the first record.
    pub fn based_on(base: Option<&ConfigRecord>, id: ApplyId, document: ConfigDocument) -> Self {
        let Some(base) = base else {
            let generation = ConfigGeneration(1);
            return Self { generation, apply_id: id, earlier: Vec::new(), document };
        };
        let generation = ConfigGeneration(base.generation.0 + 1);
        let earlier = std::iter::once(base.apply_id).chain(base.earlier.iter().copied());
        let earlier = earlier.take(MAX_EARLIER_RUNS).collect();
        Self { generation, apply_id: id, earlier, document }
    }

    /// Derives the outcome of writing this record from `found`, the record read back.
    pub fn write_outcome(&self, found: Option<&ConfigRecord>) -> WriteOutcome {
        let found_generation = found.map_or(ConfigGeneration::default(), |found| found.generation);
        if found_generation < self.generation {
            return WriteOutcome::Undecided;
        }
        let Some(found) = found else { return WriteOutcome::Undecided };
        let distance = usize::try_from(found.generation.0 - self.generation.0);
        let distance = distance.unwrap_or(usize::MAX);
        let writer = match distance {
            0 => Some(&found.apply_id),
            later => found.earlier.get(later - 1),
        };
        match writer {
            Some(writer) if *writer == self.apply_id => WriteOutcome::Accepted,
            Some(_) => WriteOutcome::LostRace,
            None => WriteOutcome::Unknown,
        }
    }

    /// Encodes the record as CBOR.
    ///
    /// # Errors
    ///
    /// [`RecordError::TooLarge`] if the encoded record exceeds [`MAX_RECORD_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let mut buffer = Vec::new();
        ciborium::into_writer(self, &mut buffer)
            .map_err(|error| RecordError::Malformed(error.to_string()))?;
        if buffer.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLarge(buffer.len()));
        }
        Ok(buffer)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if `bytes` exceed [`MAX_RECORD_BYTES`], or are truncated, malformed or
    /// followed by further bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLarge(bytes.len()));
        }
        let mut rest = bytes;
        let record = ciborium::from_reader(&mut rest)
            .map_err(|error| RecordError::Malformed(error.to_string()))?;
        if !rest.is_empty() {
            return Err(RecordError::Malformed(format!(
                "{} unexpected bytes after the record",
                rest.len()
            )));
        }
        Ok(record)
    }
}
