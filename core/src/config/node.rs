//! YAML values that remember the file and the line that each came from.

use crate::prelude::*;
use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{Location, Spanned};
use std::fmt;

/// Most levels of maps and lists in one file.
const MAX_DEPTH: usize = 32;

/// Where a value was written.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeOrigin {
    /// The file's name in the folder.
    pub file: Arc<str>,
    /// The line, counted from one.
    pub line: u64,
    /// The column, counted from one.
    pub column: u64,
}

/// A value with the place it came from.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigNode {
    /// The value.
    pub value: NodeValue,
    /// Where it was written; for a field of a map, the place of its key.
    pub origin: NodeOrigin,
}

/// What a YAML value is.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeValue {
    /// `null`, which removes a field.
    Null {
        /// Whether it was spelled out, and not left empty.
        is_explicit: bool,
    },
    /// `true` or `false`.
    Bool(bool),
    /// A whole number.
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

/// A number with the text it was written as, which is what counts where a name is expected.
#[derive(Debug, Clone, PartialEq)]
pub struct NumberLiteral<T> {
    /// The number.
    pub value: T,
    /// The text.
    pub text: Arc<str>,
}

/// What is wrong in a folder of configuration, and where.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ConfigIssue {
    /// {file}: {message}
    Syntax {
        /// The file.
        file: Arc<str>,
        /// What the parser says, with its line.
        message: String,
    },
    /// {origin}: {field}: {message}
    Field {
        /// Where the value was written.
        origin: NodeOrigin,
        /// The path of the field, its parts joined by dots.
        field: String,
        /// What is wrong.
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
    /// [`ConfigIssue`] if the text is no YAML, repeats a key, or is not a map.
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
            _ => return Err(node.issue("the file", "a map is expected")),
        };
        match node.find_unwritten(String::new()) {
            Some(issue) => Err(issue),
            None => Ok(node),
        }
    }

    /// The first field without any value, which is more often forgotten than meant to be removed.
    fn find_unwritten(&self, path: String) -> Option<ConfigIssue> {
        match &self.value {
            NodeValue::Null { is_explicit: false } => {
                Some(self.issue(&path, "a value is missing; `null` removes the field"))
            }
            NodeValue::Map(fields) => fields.iter().find_map(|(key, node)| {
                let path = if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
                node.find_unwritten(path)
            }),
            NodeValue::List(items) => {
                items.iter().find_map(|item| item.find_unwritten(path.clone()))
            }
            _ => None,
        }
    }

    fn issue(&self, field: &str, message: &str) -> ConfigIssue {
        let origin = self.origin.clone();
        ConfigIssue::Field { origin, field: field.to_owned(), message: message.to_owned() }
    }

    /// The field below this value with this path.
    pub fn get(&self, path: &[&str]) -> Option<&ConfigNode> {
        let Some((first, rest)) = path.split_first() else { return Some(self) };
        let NodeValue::Map(fields) = &self.value else { return None };
        fields.get(*first)?.get(rest)
    }
}

impl NodeValue {
    /// What the value is called in messages.
    pub fn kind(&self) -> &'static str {
        match self {
            NodeValue::Null { .. } => "null",
            NodeValue::Bool(_) => "a boolean",
            NodeValue::Integer(_) => "a whole number",
            NodeValue::Float(_) => "a number",
            NodeValue::Text(_) => "text",
            NodeValue::List(_) => "a list",
            NodeValue::Map(_) => "a map",
        }
    }
}

/// Only `true` and `false` are booleans, so that names such as `no` and `y` stay names; and the
/// depth is limited, because the reader calls itself once for each level.
fn yaml_options() -> serde_saphyr::Options {
    serde_saphyr::options! {
        strict_booleans: true,
        budget: serde_saphyr::budget! { max_depth: MAX_DEPTH },
    }
}

enum RawNode {
    Null,
    Bool(bool),
    Integer(i128),
    Float(f64),
    Text(Arc<str>),
    List(Vec<Spanned<RawNode>>),
    Map(Vec<(Spanned<String>, Spanned<RawNode>)>),
}

struct SourceText<'a> {
    file: Arc<str>,
    text: &'a str,
}

impl SourceText<'_> {
    fn node(&self, raw: Spanned<RawNode>) -> ConfigNode {
        let origin = self.origin(&raw.referenced);
        let value = match raw.value {
            RawNode::Null => {
                let is_explicit = !self.written(&raw.defined, String::new()).is_empty();
                NodeValue::Null { is_explicit }
            }
            RawNode::Bool(value) => NodeValue::Bool(value),
            RawNode::Integer(value) => {
                let text = self.written(&raw.defined, value.to_string());
                NodeValue::Integer(NumberLiteral { value, text })
            }
            RawNode::Float(value) => {
                let text = self.written(&raw.defined, value.to_string());
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

    fn written(&self, location: &Location, parsed: String) -> Arc<str> {
        let span = location.span();
        let (Some(start), Some(len)) = (span.byte_offset(), span.byte_len()) else {
            return parsed.into();
        };
        let (Ok(start), Ok(len)) = (usize::try_from(start), usize::try_from(len)) else {
            return parsed.into();
        };
        self.text.get(start..start + len).map_or(parsed.as_str(), str::trim).into()
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
