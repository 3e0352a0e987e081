//! Deserializes merged values into the typed document, with errors that name the file and line of
//! the offending value.

use crate::config::ConfigDocument;
use crate::config::node::{ConfigIssue, ConfigNode, NodeOrigin, NodeValue};
use serde::Deserialize;
use serde::de::value::{MapAccessDeserializer, StrDeserializer};
use serde::de::{
    DeserializeSeed, Deserializer, Error, IntoDeserializer, MapAccess, SeqAccess, Visitor,
};
use serde::forward_to_deserialize_any;
use std::fmt;

/// Deserializes the document from `tree`.
///
/// # Errors
///
/// The first value of a wrong type or name, with its file, line and field.
pub fn deserialize_document(tree: &ConfigNode) -> Result<ConfigDocument, ConfigIssue> {
    ConfigDocument::deserialize(NodeDeserializer(tree)).map_err(|error| ConfigIssue::Field {
        origin: error.origin.unwrap_or_else(|| tree.origin.clone()),
        field: dotted_path(&error.path),
        message: error.message,
    })
}

fn dotted_path(path: &[String]) -> String {
    if path.is_empty() {
        return "the document".to_owned();
    }
    let keys: Vec<&str> = path.iter().rev().map(String::as_str).collect();
    keys.join(".")
}

#[derive(Debug)]
struct TypeError {
    message: String,
    /// Origin of the innermost node that the error belongs to.
    origin: Option<NodeOrigin>,
    /// Keys and list indices from that node outwards; reversed for display.
    path: Vec<String>,
}

impl TypeError {
    fn at(mut self, node: &ConfigNode) -> Self {
        self.origin.get_or_insert_with(|| node.origin.clone());
        self
    }

    fn in_field(mut self, key: &str) -> Self {
        self.path.push(key.to_owned());
        self
    }
}

impl fmt::Display for TypeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for TypeError {}

impl Error for TypeError {
    fn custom<T: fmt::Display>(message: T) -> Self {
        Self { message: message.to_string(), origin: None, path: Vec::new() }
    }
}

struct NodeDeserializer<'a>(&'a ConfigNode);

impl<'de> NodeDeserializer<'de> {
    /// The source text of a text or a number, which may stand where a name is expected.
    fn text(&self) -> Option<&'de str> {
        match &self.0.value {
            NodeValue::Text(text) => Some(text),
            NodeValue::Integer(number) => Some(&number.text),
            NodeValue::Float(number) => Some(&number.text),
            _ => None,
        }
    }
}

impl<'de> Deserializer<'de> for NodeDeserializer<'de> {
    type Error = TypeError;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, TypeError> {
        let node = self.0;
        let value = match &node.value {
            NodeValue::Null { .. } => visitor.visit_unit(),
            NodeValue::Bool(value) => visitor.visit_bool(*value),
            NodeValue::Integer(number) => visit_integer(number.value, visitor),
            NodeValue::Float(number) => visitor.visit_f64(number.value),
            NodeValue::Text(text) => visitor.visit_borrowed_str(text),
            NodeValue::List(items) => visitor.visit_seq(ItemAccess { items, next: 0 }),
            NodeValue::Map(fields) => {
                let fields = fields.iter().map(|(key, node)| (&**key, node)).collect();
                visitor.visit_map(FieldAccess { fields, next: 0 })
            }
        };
        value.map_err(|error: TypeError| error.at(node))
    }

    fn deserialize_str<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, TypeError> {
        let node = self.0;
        match self.text() {
            Some(text) => {
                visitor.visit_borrowed_str(text).map_err(|error: TypeError| error.at(node))
            }
            None => self.deserialize_any(visitor),
        }
    }

    fn deserialize_string<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, TypeError> {
        self.deserialize_str(visitor)
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, TypeError> {
        match self.0.value {
            NodeValue::Null { .. } => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, TypeError> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, TypeError> {
        let node = self.0;
        let value = match &node.value {
            NodeValue::Text(text) => {
                let deserializer: StrDeserializer<'_, TypeError> = (&**text).into_deserializer();
                visitor.visit_enum(deserializer)
            }
            NodeValue::Map(fields) => {
                let fields = fields.iter().map(|(key, node)| (&**key, node)).collect();
                visitor.visit_enum(MapAccessDeserializer::new(FieldAccess { fields, next: 0 }))
            }
            other => Err(TypeError::custom(format!("expected a name, found {}", other.kind()))),
        };
        value.map_err(|error: TypeError| error.at(node))
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char bytes byte_buf unit unit_struct
        seq tuple tuple_struct map struct identifier ignored_any
    }
}

fn visit_integer<'de, V: Visitor<'de>>(number: i128, visitor: V) -> Result<V::Value, TypeError> {
    if let Ok(number) = u64::try_from(number) {
        return visitor.visit_u64(number);
    }
    match i64::try_from(number) {
        Ok(number) => visitor.visit_i64(number),
        Err(_) => visitor.visit_i128(number),
    }
}

struct FieldAccess<'a> {
    fields: Vec<(&'a str, &'a ConfigNode)>,
    next: usize,
}

impl<'de> MapAccess<'de> for FieldAccess<'de> {
    type Error = TypeError;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, TypeError> {
        let Some((key, node)) = self.fields.get(self.next) else { return Ok(None) };
        let key_deserializer: StrDeserializer<'de, TypeError> = (*key).into_deserializer();
        let value = seed.deserialize(key_deserializer);
        value.map(Some).map_err(|error| error.at(node).in_field(key))
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, TypeError> {
        let Some((key, node)) = self.fields.get(self.next) else {
            return Err(TypeError::custom("a value is missing"));
        };
        self.next += 1;
        let value = seed.deserialize(NodeDeserializer(node));
        value.map_err(|error| error.at(node).in_field(key))
    }
}

struct ItemAccess<'a> {
    items: &'a [ConfigNode],
    next: usize,
}

impl<'de> SeqAccess<'de> for ItemAccess<'de> {
    type Error = TypeError;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, TypeError> {
        let Some(node) = self.items.get(self.next) else { return Ok(None) };
        let index = self.next;
        self.next += 1;
        let value = seed.deserialize(NodeDeserializer(node));
        value.map(Some).map_err(|error| error.at(node).in_field(&index.to_string()))
    }
}
