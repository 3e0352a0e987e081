//! Splits a stream of server-sent events at event boundaries, and decides whether it ended complete.

use bytes::{Bytes, BytesMut};

const ID_FIELD: &[u8] = b"id:";
const COMMENT: &[u8] = b":";
/// The line ends that separate two events; a line ends with LF, CR LF or CR.
const SEPARATORS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];

/// How the transport of a stream ended without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// At the end that the framing of the answer marks.
    Delimited,
    /// With the connection, as the answer has no framing. A target that fails may end it anywhere.
    Closed,
}

/// Why a stream that ended without an error of the transport is not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum StreamFault {
    /// the stream ended within an event
    WithinEvent,
    /// the connection closed before the first event
    NoEvent,
}

impl std::error::Error for StreamFault {}

/// A stream of events that one target after another continues. It holds back an event that has not
/// arrived completely, and remembers the id of the last complete one.
#[derive(Debug, Default)]
pub struct EventStream {
    partial: BytesMut,
    last_id: Option<String>,
    has_events: bool,
}

impl EventStream {
    /// Starts the part of the stream that comes from another target: discards the incomplete event of
    /// the previous one.
    pub fn begin_attempt(&mut self) {
        self.partial.clear();
        self.has_events = false;
    }

    /// Adds received bytes and returns the events that are complete now; empty if there are none.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let Some(end) = complete_length(&self.partial) else {
            return Bytes::new();
        };
        self.has_events = true;
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Handles the end of the stream, and returns the bytes that follow the last event.
    ///
    /// # Errors
    ///
    /// [`StreamFault`] if the stream broke off.
    pub fn finish(&mut self, end: StreamEnd) -> Result<Bytes, StreamFault> {
        if is_within_event(&self.partial) {
            return Err(StreamFault::WithinEvent);
        }
        if end == StreamEnd::Closed && !self.has_events {
            return Err(StreamFault::NoEvent);
        }
        Ok(self.partial.split().freeze())
    }

    /// Returns the size of the event that has not arrived completely.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the length of the complete events: the position after the last empty line.
fn complete_length(bytes: &[u8]) -> Option<usize> {
    SEPARATORS.into_iter().filter_map(|separator| end_of_last(bytes, separator)).max()
}

fn end_of_last(bytes: &[u8], separator: &[u8]) -> Option<usize> {
    bytes
        .windows(separator.len())
        .rposition(|window| window == separator)
        .map(|at| at + separator.len())
}

/// Whether the bytes after the last event begin another one. Comments and empty lines do not.
fn is_within_event(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| matches!(byte, b'\n' | b'\r'));
    let unfinished_line = lines.next_back().unwrap_or_default();
    let has_field = lines.any(|line| !line.is_empty() && !line.starts_with(COMMENT));
    has_field || !unfinished_line.is_empty()
}

fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
    let line = lines.find(|line| line.starts_with(ID_FIELD))?;
    let text = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    Some(text.trim().to_owned())
}
