//! Patches from one generation to the next, which are much smaller than the whole record.

use crate::config::record::{ConfigRecord, MAX_RECORD_BYTES, RecordError};
use crate::prelude::*;
use ciborium::Value;
use serde::{Deserialize, Serialize};
use serde_with::{Bytes as ByteText, serde_as};

/// The field changes that turn the record of one generation into that of a later one.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigPatch {
    /// Generation that the patch applies to.
    pub base: ConfigGeneration,
    /// Generation that it results in.
    pub generation: ConfigGeneration,
    /// BLAKE3 hash of the resulting encoded record.
    #[serde_as(as = "ByteText")]
    digest: [u8; 32],
    /// Fields to set or remove, applied in order.
    edits: Vec<FieldEdit>,
}

/// A change that sets or removes one field.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct FieldEdit {
    /// Map keys from the root of the record to the field.
    path: Vec<String>,
    /// The new value; `None` removes the field.
    value: Option<Value>,
}

/// Error from applying a patch.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum PatchError {
    /// {0}
    Record(RecordError),
    /// the patch applies to generation {expected}, not to {found}
    WrongBase {
        /// Base generation of the patch.
        expected: ConfigGeneration,
        /// Generation of the record to be patched.
        found: ConfigGeneration,
    },
    /// the patched record does not have the digest given in the patch
    WrongDigest,
}

impl std::error::Error for PatchError {}

impl From<RecordError> for PatchError {
    fn from(error: RecordError) -> Self {
        Self::Record(error)
    }
}

impl ConfigPatch {
    /// Computes the patch from the encoded record `before` to the encoded record `after`.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if either is not a valid record.
    pub fn between(before: &[u8], after: &[u8]) -> Result<Self, RecordError> {
        let base = ConfigRecord::decode(before)?.generation;
        let generation = ConfigRecord::decode(after)?.generation;
        let mut edits = Vec::new();
        collect_edits(&decode_value(before)?, &decode_value(after)?, &[], &mut edits);
        Ok(Self { base, generation, digest: *blake3::hash(after).as_bytes(), edits })
    }

    /// Applies the patch to the encoded record `before` and returns the resulting encoded record.
    ///
    /// # Errors
    ///
    /// [`PatchError`] if `before` is not the base record, or if the result is not byte for byte the
    /// record that the patch was computed for.
    pub fn apply(&self, before: &[u8]) -> Result<Vec<u8>, PatchError> {
        let found = ConfigRecord::decode(before)?.generation;
        if found != self.base {
            return Err(PatchError::WrongBase { expected: self.base, found });
        }
        let mut value = decode_value(before)?;
        for edit in &self.edits {
            apply_edit(&mut value, &edit.path, edit.value.as_ref());
        }
        // Decoding into the typed record restores the field order of the original encoding, so that
        // the digest matches.
        let record: ConfigRecord =
            value.deserialized().map_err(|error| RecordError::Malformed(error.to_string()))?;
        let after = record.encode()?;
        if blake3::hash(&after).as_bytes() != &self.digest {
            return Err(PatchError::WrongDigest);
        }
        Ok(after)
    }
}

/// Encodes consecutive patches as a CBOR array; a record, by contrast, is a CBOR map.
///
/// # Errors
///
/// [`RecordError::TooLarge`] if the encoded patches exceed [`MAX_RECORD_BYTES`].
pub fn encode_patches(patches: &[&ConfigPatch]) -> Result<Vec<u8>, RecordError> {
    let mut buffer = Vec::new();
    ciborium::into_writer(patches, &mut buffer)
        .map_err(|error| RecordError::Malformed(error.to_string()))?;
    if buffer.len() > MAX_RECORD_BYTES {
        return Err(RecordError::TooLarge(buffer.len()));
    }
    Ok(buffer)
}

/// Decodes the patches in `body`; `None` if it is not a CBOR array, and so may be a record.
///
/// # Errors
///
/// [`RecordError`] if it is an array, but not of patches, or exceeds [`MAX_RECORD_BYTES`].
pub fn decode_patches(body: &[u8]) -> Result<Option<Vec<ConfigPatch>>, RecordError> {
    const MAJOR_TYPE_MASK: u8 = 0xe0;
    const ARRAY_MAJOR_TYPE: u8 = 0x80;
    if body.first().is_none_or(|first| first & MAJOR_TYPE_MASK != ARRAY_MAJOR_TYPE) {
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
        edits.push(FieldEdit { path: child_path(path, name), value: None });
    }
    for (name, value) in new.iter() {
        match old.get(*name) {
            Some(old_value) => collect_edits(old_value, value, &child_path(path, name), edits),
            None => {
                let value = Some((*value).clone());
                edits.push(FieldEdit { path: child_path(path, name), value });
            }
        }
    }
}

fn fields_by_name(fields: &[(Value, Value)]) -> SortedTable<&str, &Value> {
    fields.iter().filter_map(|(name, value)| Some((name.as_text()?, value))).collect()
}

fn child_path(path: &[String], name: &str) -> Vec<String> {
    path.iter().cloned().chain([name.to_owned()]).collect()
}

fn apply_edit(current: &mut Value, path: &[String], value: Option<&Value>) {
    let Some((name, rest)) = path.split_first() else {
        if let Some(value) = value {
            *current = value.clone();
        }
        return;
    };
    let Value::Map(fields) = current else { return };
    let index = fields.iter().position(|(field, _)| field.as_text() == Some(name));
    match (index, rest, value) {
        (Some(index), [], None) => {
            fields.remove(index);
        }
        (Some(index), _, _) => apply_edit(&mut fields[index].1, rest, value),
        (None, [], Some(value)) => fields.push((Value::Text(name.clone()), value.clone())),
        (None, _, _) => {}
    }
}
