//! Differences between two documents, field by field.

use crate::config::ConfigDocument;
use crate::prelude::*;
use ciborium::Value;
use std::fmt;

/// A field that differs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldChange {
    /// Path of the field, with dots between the keys.
    pub field: String,
    /// Value before; `None` if the field was added.
    pub before: Option<String>,
    /// Value after; `None` if the field was removed.
    pub after: Option<String>,
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.field),
            (Some(before), None) => write!(f, "- {}: {before}", self.field),
            (None, Some(after)) => write!(f, "+ {}: {after}", self.field),
            (None, None) => write!(f, "  {}", self.field),
        }
    }
}

/// The fields that differ between `before` and `after`, sorted by path.
pub fn diff_documents(before: &ConfigDocument, after: &ConfigDocument) -> Vec<FieldChange> {
    let before = flatten_document(before);
    let after = flatten_document(after);
    let mut changes = Vec::new();
    for (field, value) in before.iter() {
        if after.get(field) != Some(value) {
            changes.push(FieldChange {
                field: field.clone(),
                before: Some(value.clone()),
                after: after.get(field).cloned(),
            });
        }
    }
    for (field, value) in after.iter().filter(|(field, _)| !before.contains_key(*field)) {
        let after = Some(value.clone());
        changes.push(FieldChange { field: field.clone(), before: None, after });
    }
    changes.sort_by(|a, b| a.field.cmp(&b.field));
    changes
}

/// All scalars and lists of `document` by path, as text.
pub fn flatten_document(document: &ConfigDocument) -> SortedTable<String, String> {
    let mut fields = SortedTable::new();
    if let Ok(value) = Value::serialized(document) {
        flatten_value(String::new(), &value, &mut fields);
    }
    fields
}

fn flatten_value(path: String, value: &Value, fields: &mut SortedTable<String, String>) {
    match value {
        Value::Map(entries) if !entries.is_empty() => {
            for (key, value) in entries {
                let key = value_text(key);
                let path = if path.is_empty() { key } else { format!("{path}.{key}") };
                flatten_value(path, value, fields);
            }
        }
        Value::Map(_) | Value::Null => {}
        _ => {
            fields.insert(path, value_text(value));
        }
    }
}

fn value_text(value: &Value) -> String {
    match value {
        Value::Text(text) => text.clone(),
        Value::Integer(number) => i128::from(*number).to_string(),
        Value::Float(number) => number.to_string(),
        Value::Bool(value) => value.to_string(),
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(value_text).collect();
            format!("[{}]", items.join(", "))
        }
        other => format!("{other:?}"),
    }
}
