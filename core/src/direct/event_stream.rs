//! Splits a stream of server-sent events at event boundaries, and decides whether it ended complete.

use bytes::{Bytes, BytesMut};

const ID_FIELD: &[u8] = b"id:";
const COMMENT: &[u8] = b":";
/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// The line ends that separate two events; a line ends with LF, CR LF or CR.
const SEPARATORS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];
const MAX_SEPARATOR_BYTES: usize = 3;

/// How the transport of an answer ended without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// At the end that the framing of the answer marks.
    Delimited,
    /// With the connection, as the answer has no framing. A target that fails may end it anywhere.
    Closed,
}

/// Why a stream is not complete although its transport reported no error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum StreamFault {
    /// the stream ended within an event
    WithinEvent,
    /// the connection closed before the first event
    NoEvent,
    /// an event exceeds the size limit
    EventTooLarge,
    /// the first event does not follow the last one of the previous target
    NotContinued,
}

impl std::error::Error for StreamFault {}

/// A stream of events that one target after another continues. It holds back an event that has not
/// arrived completely, and remembers the id of the last complete one.
#[derive(Debug, Default)]
pub struct EventStream {
    partial: BytesMut,
    /// Length of the beginning of `partial` that is known to hold no separator.
    scanned: usize,
    last_id: Option<String>,
    /// Number of complete events of the current target.
    complete_events: u32,
    /// Whether a target has sent an event.
    has_begun: bool,
}

impl EventStream {
    /// Starts the part of the stream that comes from another target: discards the incomplete event of
    /// the previous one.
    pub fn begin_attempt(&mut self) {
        self.partial.clear();
        self.scanned = 0;
        self.complete_events = 0;
    }

    /// Adds received bytes and returns the events that are complete now; empty if there are none.
    ///
    /// # Errors
    ///
    /// [`StreamFault::EventTooLarge`] if the event that has not arrived completely is too large, and
    /// [`StreamFault::NotContinued`] if the first event of another target has no greater id than the last
    /// one that was returned. The target's part of the stream cannot be continued.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, StreamFault> {
        self.partial.extend_from_slice(bytes);
        let complete = self.take_complete();
        self.take_ids(&complete)?;
        // Complete events are returned first: their ids are remembered, so they must be forwarded.
        if complete.is_empty() && self.partial.len() > MAX_EVENT_BYTES {
            return Err(StreamFault::EventTooLarge);
        }
        Ok(complete)
    }

    fn take_complete(&mut self) -> Bytes {
        // A separator may have begun in the part that was scanned before.
        let from = (self.scanned + 1).saturating_sub(MAX_SEPARATOR_BYTES);
        let end = complete_length(&self.partial[from..]).map(|length| from + length);
        let complete = self.partial.split_to(end.unwrap_or(0)).freeze();
        self.scanned = self.partial.len();
        complete
    }

    fn take_ids(&mut self, complete: &[u8]) -> Result<(), StreamFault> {
        for event in events(complete) {
            let id = event_id(event);
            let is_joint = self.has_begun && self.complete_events == 0;
            if is_joint && !follows(id.as_deref(), self.last_id()) {
                return Err(StreamFault::NotContinued);
            }
            self.has_begun = true;
            self.complete_events = self.complete_events.saturating_add(1);
            self.last_id = id;
        }
        Ok(())
    }

    /// Handles the end of the stream, and returns the bytes that follow the last event.
    ///
    /// # Errors
    ///
    /// [`StreamFault`] if the stream broke off.
    pub fn finish(&mut self, end: AnswerEnd) -> Result<Bytes, StreamFault> {
        if is_within_event(&self.partial) {
            return Err(StreamFault::WithinEvent);
        }
        if end == AnswerEnd::Closed && self.complete_events == 0 {
            return Err(StreamFault::NoEvent);
        }
        self.scanned = 0;
        Ok(self.partial.split().freeze())
    }

    /// Returns the size of the event that has not arrived completely.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Returns the number of complete events since the current target began.
    pub fn complete_events(&self) -> u32 {
        self.complete_events
    }

    /// Returns the id of the last complete event, if there is one and it has an id.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether another target can go on where the last one has stopped: no event was returned, or
    /// the last one has an id that others can follow.
    pub fn is_resumable(&self) -> bool {
        !self.has_begun || id_number(self.last_id()).is_some()
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

/// The complete events in `bytes`, without those that consist of comments.
fn events(mut bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let blocks = std::iter::from_fn(move || {
        let (block, rest) = bytes.split_at(first_length(bytes)?);
        bytes = rest;
        Some(block)
    });
    blocks.filter(|block| fields(block).next().is_some())
}

/// Returns the length of the first event: the position after the first empty line.
fn first_length(bytes: &[u8]) -> Option<usize> {
    let separator_at = |at: usize| {
        let separator = SEPARATORS.into_iter().find(|separator| bytes[at..].starts_with(separator));
        separator.map(|separator| at + separator.len())
    };
    (0..bytes.len()).find_map(separator_at)
}

/// The lines of an event that are neither empty nor comments.
fn fields(event: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    let lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.filter(|line| !line.is_empty() && !line.starts_with(COMMENT))
}

fn event_id(event: &[u8]) -> Option<String> {
    let line = fields(event).rfind(|line| line.starts_with(ID_FIELD))?;
    let text = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    Some(text.trim().to_owned())
}

/// Whether an event with `id` may come after the one with the id `last`.
fn follows(id: Option<&str>, last: Option<&str>) -> bool {
    id_number(id).zip(id_number(last)).is_some_and(|(id, last)| id > last)
}

/// The number that an id consists of. Ids increase.
fn id_number(id: Option<&str>) -> Option<u64> {
    id?.parse().ok()
}
