//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

const ID_FIELD: &[u8] = b"id:";

/// Holds back an event that has not arrived completely, and remembers the id of the last complete one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds received bytes and returns the events that are complete now; empty if there are none.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let Some(end) = complete_length(&self.partial) else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Returns the remaining bytes after the end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Returns the size of the event that has not arrived completely.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Discards the incomplete event that was held back.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the length of the complete events: the position after the last empty line.
fn complete_length(bytes: &[u8]) -> Option<usize> {
    let lf = end_of_last(bytes, b"\n\n");
    let crlf = end_of_last(bytes, b"\r\n\r\n");
    lf.into_iter().chain(crlf).max()
}

fn end_of_last(bytes: &[u8], separator: &[u8]) -> Option<usize> {
    bytes
        .windows(separator.len())
        .rposition(|window| window == separator)
        .map(|at| at + separator.len())
}

fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let line = lines.find(|line| line.starts_with(ID_FIELD))?;
    let text = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    Some(text.trim().to_owned())
}
