//! Parsing of values with units in the configuration.

use serde::de::{Deserializer, Error, Visitor};
use serde::ser::Serializer;
use serde_with::{DeserializeAs, SerializeAs};
use std::fmt;

/// Serde adapter for a number of bytes: an integer, or text such as `250 MB` or `16 MiB`.
#[derive(Debug, Clone, Copy)]
pub struct ByteCount;

/// Units with their size in bytes.
const BYTE_UNITS: [(&str, u64); 7] = [
    ("B", 1),
    ("kB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];

impl SerializeAs<u64> for ByteCount {
    fn serialize_as<S: Serializer>(bytes: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(*bytes)
    }
}

impl<'de> DeserializeAs<'de, u64> for ByteCount {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        deserializer.deserialize_any(ByteVisitor)
    }
}

struct ByteVisitor;

impl Visitor<'_> for ByteVisitor {
    type Value = u64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number of bytes, or an integer with a unit:")?;
        BYTE_UNITS.iter().try_for_each(|(unit, _)| write!(f, " {unit}"))
    }

    fn visit_u64<E>(self, bytes: u64) -> Result<u64, E> {
        Ok(bytes)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<u64, E> {
        let invalid = || E::invalid_value(serde::de::Unexpected::Str(text), &self);
        let digits_len = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
        let number: u64 = text[..digits_len].parse().map_err(|_| invalid())?;
        let unit = text[digits_len..].trim();
        let (_, factor) = BYTE_UNITS.iter().find(|(name, _)| *name == unit).ok_or_else(invalid)?;
        number.checked_mul(*factor).ok_or_else(invalid)
    }
}
