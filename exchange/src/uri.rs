//! Encoding of text in a URI.

use std::fmt::Write;

/// Percent-encodes text for the path or a query of a URI: all bytes but letters, digits and `-._~/` as `%XX`.
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' => {
                encoded.push(char::from(byte));
            }
            // Writing to a string cannot fail.
            _ => drop(write!(encoded, "%{byte:02X}")),
        }
    }
    encoded
}
