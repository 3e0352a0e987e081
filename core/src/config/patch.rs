//! The step from one generation to the next, which is much smaller than the whole record.

use crate::config::record::{ConfigRecord, MAX_RECORD_BYTES, RecordError};
use crate::prelude::*;
use ciborium::Value;
use serde::{Deserialize, Serialize};
use serde_with::{Bytes as ByteText, serde_as};

/// What turns the record of one generation into that of a later one.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigPatch {
    /// The generation that the patch applies to.
    pub base: ConfigGeneration,
    /// The generation that it results in.
    pub generation: ConfigGeneration,
    /// BLAKE3 hash of the encoded record that it results in.
    #[serde_as(as = "ByteText")]
    digest: [u8; 32],
    /// The fields that differ.
    edits: Vec<FieldEdit>,
}

/// A field that is set or removed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct FieldEdit {
    /// The keys that lead to the field.
    path: Vec<String>,
    /// Its new value; none if it is removed.
    value: Option<Value>,
}

/// Why a patch does not lead to a configuration.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum PatchError {
    /// {0}
    Record(RecordError),
    /// the patch applies to generation {wanted}, not to {found}
    WrongBase {
        /// The base of the patch.
        wanted: ConfigGeneration,
        /// What it was to be applied to.
        found: ConfigGeneration,
    },
    /// the patch does not lead to the record that it was made from
    WrongDigest,
}

impl std::error::Error for PatchError {}

impl From<RecordError> for PatchError {
    fn from(error: RecordError) -> Self {
        Self::Record(error)
    }
}

impl ConfigPatch {
    /// The patch from the encoded record `before` to the encoded record `after`.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if one of them is no record.
    pub fn between(before: &[u8], after: &[u8]) -> Result<Self, RecordError> {
        let base = ConfigRecord::decode(before)?.generation;
        let generation = ConfigRecord::decode(after)?.generation;
        let mut edits = Vec::new();
        collect_edits(&decode_value(before)?, &decode_value(after)?, &[], &mut edits);
        Ok(Self { base, generation, digest: *blake3::hash(after).as_bytes(), edits })
    }

    /// The encoded record that the patch makes of the encoded record `before`.
    ///
    /// # Errors
    ///
    /// [`PatchError`] if that is not exactly the record that the patch was made from.
    pub fn apply(&self, before: &[u8]) -> Result<Vec<u8>, PatchError> {
        let found = ConfigRecord::decode(before)?.generation;
        if found != self.base {
            return Err(PatchError::WrongBase { wanted: self.base, found });
        }
        let mut value = decode_value(before)?;
        for edit in &self.edits {
            apply_edit(&mut value, &edit.path, edit.value.as_ref());
        }
        // The typed record gives the fields the order that they had in the record's own encoding.
        let record: ConfigRecord =
            value.deserialized().map_err(|error| RecordError::Malformed(error.to_string()))?;
        let after = record.encode()?;
        if blake3::hash(&after).as_bytes() != &self.digest {
            return Err(PatchError::WrongDigest);
        }
        Ok(after)
    }
}

/// Encodes patches that follow each other. Unlike a record, which is a CBOR map, they are a CBOR
/// array.
///
/// # Errors
///
/// [`RecordError`] if they take more than a record may.
pub fn encode_patches(patches: &[&ConfigPatch]) -> Result<Vec<u8>, RecordError> {
    let mut buffer = Vec::new();
    ciborium::into_writer(patches, &mut buffer)
        .map_err(|error| RecordError::Malformed(error.to_string()))?;
    if buffer.len() > MAX_RECORD_BYTES {
        return Err(RecordError::TooLarge(buffer.len()));
    }
    Ok(buffer)
}

/// The patches that `body` holds; none if it is no array, and so may be a record.
///
/// # Errors
///
/// [`RecordError`] if it is an array, but not of patches.
pub fn decode_patches(body: &[u8]) -> Result<Option<Vec<ConfigPatch>>, RecordError> {
    const MAJOR_TYPE_MASK: u8 = 0xe0;
    const ARRAY_TYPE: u8 = 0x80;
    if body.first().is_none_or(|first| first & MAJOR_TYPE_MASK != ARRAY_TYPE) {
        return Ok(None);
    }
    if body.len() > MAX_RECORD_BYTES {
        return Err(RecordError::TooLarge(body.len()));
    }
    let patches =
        ciborium::from_reader(body).map_err(|error| RecordError::Malformed(error.to_string()))?;
    Ok(Some(patches))
}

fn decode_value(body: &[u8]) -> Result<Value, RecordError> {
    ciborium::from_reader(body).map_err(|error| RecordError::Malformed(error.to_string()))
}

fn collect_edits(before: &Value, after: &Value, path: &[String], edits: &mut Vec<FieldEdit>) {
    if before == after {
        return;
    }
    let (Value::Map(old), Value::Map(new)) = (before, after) else {
        edits.push(FieldEdit { path: path.to_vec(), value: Some(after.clone()) });
        return;
    };
    let (old, new) = (fields_by_name(old), fields_by_name(new));
    for name in old.keys().filter(|name| !new.contains_key(**name)) {
        edits.push(FieldEdit { path: below(path, name), value: None });
    }
    for (name, value) in new.iter() {
        match old.get(*name) {
            Some(old_value) => collect_edits(old_value, value, &below(path, name), edits),
            None => {
                let value = Some((*value).clone());
                edits.push(FieldEdit { path: below(path, name), value });
            }
        }
    }
}

fn fields_by_name(fields: &[(Value, Value)]) -> SortedTable<&str, &Value> {
    fields.iter().filter_map(|(name, value)| Some((name.as_text()?, value))).collect()
}

fn below(path: &[String], name: &str) -> Vec<String> {
    path.iter().cloned().chain([name.to_owned()]).collect()
}

fn apply_edit(target: &mut Value, path: &[String], value: Option<&Value>) {
    let Some((name, rest)) = path.split_first() else {
        if let Some(value) = value {
            *target = value.clone();
        }
        return;
    };
    let Value::Map(fields) = target else { return };
    let place = fields.iter().position(|(field, _)| field.as_text() == Some(name));
    match (place, rest, value) {
        (Some(at), [], None) => {
            fields.remove(at);
        }
        (Some(at), _, _) => apply_edit(&mut fields[at].1, rest, value),
        (None, [], Some(value)) => fields.push((Value::Text(name.clone()), value.clone())),
        (None, _, _) => {}
    }
}
