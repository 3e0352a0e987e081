//! Splits a stream of events into whole ones.

use bytes::{Bytes, BytesMut};

const ID_FIELD: &[u8] = b"id:";

/// Holds back the part of an event that has not arrived whole, and remembers the last event's id.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes in bytes; the whole events among them, empty if none ended.
    pub fn take(&mut self, bytes: &Bytes) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.rest) else {
            return Bytes::new();
        };
        let whole = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Takes what is left when the stream has ended.
    pub fn finish(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// Forgets the part of an event that was held back.
    pub fn discard(&mut self) {
        self.rest.clear();
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// The position after the last empty line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let lf = find_last(bytes, b"\n\n");
    let crlf = find_last(bytes, b"\r\n\r\n");
    lf.into_iter().chain(crlf).max()
}

fn find_last(bytes: &[u8], mark: &[u8]) -> Option<usize> {
    bytes.windows(mark.len()).rposition(|window| window == mark).map(|at| at + mark.len())
}

fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let line = lines.find(|line| line.starts_with(ID_FIELD))?;
    let text = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    Some(text.trim().to_owned())
}
