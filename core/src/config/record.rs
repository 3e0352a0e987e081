//! The configuration as one value in the key-value service.

use crate::config::ConfigDocument;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::str::FromStr;

/// The key of the configuration.
pub const CONFIG_KEY: &str = "buckthornwharf/config";
/// Most bytes of the encoded record.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// Most earlier runs that a record names.
pub const MAX_EARLIER: usize = 8;

/// Identifies one run of `apply`; drawn at random.
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

/// An accepted configuration with its generation and the run that wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigRecord {
    /// One more than the generation that it was based on.
    pub generation: ConfigGeneration,
    /// The run of `apply` that wrote it.
    pub apply_id: ApplyId,
    /// The runs that wrote the generations before it, newest first, at most [`MAX_EARLIER`].
    pub earlier: Vec<ApplyId>,
    /// The merged configuration.
    pub document: ConfigDocument,
}

/// Why a record is refused.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum RecordError {
    /// the configuration takes {0} bytes, more than the 1 MiB that the key-value service holds
    TooLarge(usize),
    /// the record is not a whole configuration: {0}
    Malformed(String),
}

impl std::error::Error for RecordError {}

/// What a record that was read back says about a write whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settlement {
    /// The write took effect.
    Accepted,
    /// Another run wrote first; the write never takes effect.
    Lost,
    /// The base is still in place: the write has not taken effect and may yet.
    Open,
    /// So many generations came after it that it is no longer named.
    TooOld,
}

impl ConfigRecord {
    /// The record that puts `document` in the place of `base`, or first of all.
    pub fn on_base(base: Option<&ConfigRecord>, id: ApplyId, document: ConfigDocument) -> Self {
        let Some(base) = base else {
            let generation = ConfigGeneration(1);
            return Self { generation, apply_id: id, earlier: Vec::new(), document };
        };
        let generation = ConfigGeneration(base.generation.0 + 1);
        let earlier = std::iter::once(base.apply_id).chain(base.earlier.iter().copied());
        let earlier = earlier.take(MAX_EARLIER).collect();
        Self { generation, apply_id: id, earlier, document }
    }

    /// What became of the write of this record, now that `found` was read back.
    pub fn settle(&self, found: Option<&ConfigRecord>) -> Settlement {
        let found_generation = found.map_or(ConfigGeneration::default(), |found| found.generation);
        if found_generation < self.generation {
            return Settlement::Open;
        }
        let Some(found) = found else { return Settlement::Open };
        let distance = usize::try_from(found.generation.0 - self.generation.0);
        let distance = distance.unwrap_or(usize::MAX);
        let writer = match distance {
            0 => Some(&found.apply_id),
            later => found.earlier.get(later - 1),
        };
        match writer {
            Some(writer) if *writer == self.apply_id => Settlement::Accepted,
            Some(_) => Settlement::Lost,
            None => Settlement::TooOld,
        }
    }

    /// Encodes the record as CBOR.
    ///
    /// # Errors
    ///
    /// [`RecordError::TooLarge`] over [`MAX_RECORD_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let mut buffer = Vec::new();
        ciborium::into_writer(self, &mut buffer)
            .map_err(|error| RecordError::Malformed(error.to_string()))?;
        if buffer.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLarge(buffer.len()));
        }
        Ok(buffer)
    }

    /// Decodes a record; a part of one and anything after one is refused.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if the bytes are too many or not exactly one record.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLarge(bytes.len()));
        }
        let mut rest = bytes;
        let record = ciborium::from_reader(&mut rest)
            .map_err(|error| RecordError::Malformed(error.to_string()))?;
        if !rest.is_empty() {
            return Err(RecordError::Malformed(format!("{} bytes too many", rest.len())));
        }
        Ok(record)
    }
}
