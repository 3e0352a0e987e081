//! YAML values with the file, line and column that each was read from.

use crate::prelude::*;
use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{Location, Spanned};
use std::fmt;

/// Deepest nesting of maps and lists in one file.
const MAX_DEPTH: usize = 32;

/// Position of a value in a configuration file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeOrigin {
    /// Name of the file in the folder.
    pub file: Arc<str>,
    /// Line, counted from 1.
    pub line: u64,
    /// Column, counted from 1.
    pub column: u64,
}

/// A value with its origin.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigNode {
    /// The value.
    pub value: NodeValue,
    /// Position of the value; for a field of a map, the position of its key.
    pub origin: NodeOrigin,
}

/// A YAML value.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeValue {
    /// `null`, which removes a field.
    Null {
        /// Whether `null` or `~` was written, as opposed to no value at all.
        is_explicit: bool,
    },
    /// `true` or `false`.
    Bool(bool),
    /// An integer.
    Integer(NumberLiteral<i128>),
    /// Any other number.
    Float(NumberLiteral<f64>),
    /// Text.
    Text(Arc<str>),
    /// A list.
    List(Vec<ConfigNode>),
    /// A map.
    Map(SortedTable<Arc<str>, ConfigNode>),
}

/// A number with its source text, which is used where a name is expected, as in version `1.10`.
#[derive(Debug, Clone, PartialEq)]
pub struct NumberLiteral<T> {
    /// The number.
    pub value: T,
    /// The source text.
    pub text: Arc<str>,
}

/// An error in a folder of configuration files, with its position.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ConfigIssue {
    /// {file}: {message}
    Syntax {
        /// Name of the file.
        file: Arc<str>,
        /// The parser's message, which includes the line.
        message: String,
    },
    /// {origin}: {field}: {message}
    Field {
        /// Position of the value.
        origin: NodeOrigin,
        /// Path of the field, with dots between the keys.
        field: String,
        /// Description of the error.
        message: String,
    },
}

impl std::error::Error for ConfigIssue {}

impl fmt::Display for NodeOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

impl ConfigNode {
    /// Parses the `text` of one `file`; an empty file is an empty map.
    ///
    /// # Errors
    ///
    /// [`ConfigIssue`] if the text is not valid YAML or not a map, repeats a key, nests too deeply or
    /// leaves out a value.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigIssue> {
        let file: Arc<str> = file.into();
        let raw: Spanned<RawNode> = serde_saphyr::from_str_with_options(text, yaml_options())
            .map_err(|error| {
                let message = error.without_snippet().to_string();
                ConfigIssue::Syntax { file: file.clone(), message }
            })?;
        let source = SourceText { file, text };
        let node = source.node(raw);
        let node = match node.value {
            NodeValue::Map(_) => node,
            NodeValue::Null { .. } => {
                ConfigNode { value: NodeValue::Map(SortedTable::new()), ..node }
            }
            _ => return Err(node.issue("the file", "expected a map")),
        };
        match node.find_missing_value(String::new()) {
            Some(issue) => Err(issue),
            None => Ok(node),
        }
    }

    /// The first field without a value. It is an error and does not remove the field, since a missing
    /// value is more often an oversight than a removal.
    fn find_missing_value(&self, path: String) -> Option<ConfigIssue> {
        match &self.value {
            NodeValue::Null { is_explicit: false } => {
                Some(self.issue(&path, "a value is missing; `null` removes the field"))
            }
            NodeValue::Map(fields) => fields.iter().find_map(|(key, node)| {
                let path = if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
                node.find_missing_value(path)
            }),
            NodeValue::List(items) => {
                items.iter().find_map(|item| item.find_missing_value(path.clone()))
            }
            _ => None,
        }
    }

    fn issue(&self, field: &str, message: &str) -> ConfigIssue {
        let origin = self.origin.clone();
        ConfigIssue::Field { origin, field: field.to_owned(), message: message.to_owned() }
    }

    /// The value at `path` below this value.
    pub fn get(&self, path: &[&str]) -> Option<&ConfigNode> {
        let Some((first, rest)) = path.split_first() else { return Some(self) };
        let NodeValue::Map(fields) = &self.value else { return None };
        fields.get(*first)?.get(rest)
    }
}

impl NodeValue {
    /// Name of the value's type, for messages.
    pub fn kind(&self) -> &'static str {
        match self {
            NodeValue::Null { .. } => "null",
            NodeValue::Bool(_) => "a boolean",
            NodeValue::Integer(_) => "an integer",
            NodeValue::Float(_) => "a number",
            NodeValue::Text(_) => "text",
            NodeValue::List(_) => "a list",
            NodeValue::Map(_) => "a map",
        }
    }
}

/// Only `true` and `false` are booleans, so that names such as `no` and `y` stay text. The depth is
/// limited because the parser recurses once for each level.
fn yaml_options() -> serde_saphyr::Options {
    serde_saphyr::options! {
        strict_booleans: true,
        budget: serde_saphyr::budget! { max_depth: MAX_DEPTH },
    }
}

/// A YAML value as the parser yields it, with positions in the text.
enum RawNode {
    Null,
    Bool(bool),
    Integer(i128),
    Float(f64),
    Text(Arc<str>),
    List(Vec<Spanned<RawNode>>),
    Map(Vec<(Spanned<String>, Spanned<RawNode>)>),
}

/// The text of one file, to convert raw nodes into nodes with origin and source text.
struct SourceText<'a> {
    file: Arc<str>,
    text: &'a str,
}

impl SourceText<'_> {
    fn node(&self, raw: Spanned<RawNode>) -> ConfigNode {
        let origin = self.origin(&raw.referenced);
        let value = match raw.value {
            RawNode::Null => {
                let is_explicit = !self.literal(&raw.defined, String::new()).is_empty();
                NodeValue::Null { is_explicit }
            }
            RawNode::Bool(value) => NodeValue::Bool(value),
            RawNode::Integer(value) => {
                let text = self.literal(&raw.defined, value.to_string());
                NodeValue::Integer(NumberLiteral { value, text })
            }
            RawNode::Float(value) => {
                let text = self.literal(&raw.defined, value.to_string());
                NodeValue::Float(NumberLiteral { value, text })
            }
            RawNode::Text(value) => NodeValue::Text(value),
            RawNode::List(items) => {
                NodeValue::List(items.into_iter().map(|item| self.node(item)).collect())
            }
            RawNode::Map(fields) => {
                NodeValue::Map(fields.into_iter().map(|(key, raw)| self.field(key, raw)).collect())
            }
        };
        ConfigNode { value, origin }
    }

    fn field(&self, key: Spanned<String>, raw: Spanned<RawNode>) -> (Arc<str>, ConfigNode) {
        let mut node = self.node(raw);
        node.origin = self.origin(&key.referenced);
        (key.value.into(), node)
    }

    fn origin(&self, location: &Location) -> NodeOrigin {
        NodeOrigin { file: self.file.clone(), line: location.line(), column: location.column() }
    }

    /// The source text at `location`, or `fallback` if the parser gives no byte span.
    fn literal(&self, location: &Location, fallback: String) -> Arc<str> {
        let span = location.span();
        let (Some(start), Some(len)) = (span.byte_offset(), span.byte_len()) else {
            return fallback.into();
        };
        let (Ok(start), Ok(len)) = (usize::try_from(start), usize::try_from(len)) else {
            return fallback.into();
        };
        self.text.get(start..start + len).map_or(fallback.as_str(), str::trim).into()
    }
}

impl<'de> Deserialize<'de> for RawNode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RawVisitor)
    }
}

struct RawVisitor;

impl<'de> Visitor<'de> for RawVisitor {
    type Value = RawNode;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<RawNode, E> {
        Ok(RawNode::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<RawNode, E> {
        Ok(RawNode::Integer(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<RawNode, E> {
        Ok(RawNode::Integer(value.into()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<RawNode, E> {
        Ok(RawNode::Integer(value))
    }

    fn visit_f64<E>(self, value: f64) -> Result<RawNode, E> {
        Ok(RawNode::Float(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<RawNode, E> {
        Ok(RawNode::Text(value.into()))
    }

    fn visit_unit<E>(self) -> Result<RawNode, E> {
        Ok(RawNode::Null)
    }

    fn visit_none<E>(self) -> Result<RawNode, E> {
        Ok(RawNode::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<RawNode, D::Error> {
        deserializer.deserialize_any(self)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<RawNode, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            list.push(item);
        }
        Ok(RawNode::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<RawNode, A::Error> {
        let mut map = Vec::new();
        while let Some(field) = fields.next_entry()? {
            map.push(field);
        }
        Ok(RawNode::Map(map))
    }
}
