//! Checks a target's answer before any of it is forwarded: every JSON object must carry the
//! fingerprint of the requested version, and a stream must end with its end marker.

use crate::link::MAX_WHOLE_ANSWER_BYTES;
use buckthornwharf_core::prelude::*;
use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Maximum size of the bytes that are not checked yet: of a whole answer, or of the events of a stream.
const MAX_BUFFERED_BYTES: usize = MAX_WHOLE_ANSWER_BYTES;
const EVENT_END: &[u8] = b"\n\n";
const EVENT_PREFIX: &[u8] = b"data: ";
const STREAM_END: &[u8] = b"[DONE]";

/// Format of an answer's body, which determines how it is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFormat {
    /// Arbitrary bytes, not checked here; only HTTP framing shows that they are complete.
    Opaque,
    /// A JSON object with a fingerprint.
    Json,
    /// Server-sent events, each a JSON object with a fingerprint, followed by `[DONE]`.
    EventStream,
}

/// Why an answer is not forwarded, or not any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum AnswerFault {
    /// the answer was produced by another version than the requested one, or has no fingerprint
    WrongDigest,
    /// the answer is not in the expected format
    Malformed,
    /// the stream ended without `[DONE]`, or in the middle of an event
    Truncated,
    /// the answer or one of its events exceeds the size limit
    TooLarge,
}

impl std::error::Error for AnswerFault {}

#[derive(Deserialize)]
struct FingerprintField {
    system_fingerprint: Option<String>,
}

/// Buffers the bytes of an answer until they are checked.
#[derive(Debug)]
pub struct AnswerChecker {
    format: AnswerFormat,
    expected: Option<VersionDigest>,
    buffer: BytesMut,
    /// Length of the beginning of `buffer` that is known to hold no end of an event.
    scanned: usize,
    end_seen: bool,
}

impl AnswerChecker {
    /// A checker for an answer in `format`. If `expected` is given, each fingerprint must equal it.
    pub fn new(format: AnswerFormat, expected: Option<VersionDigest>) -> Self {
        Self { format, expected, buffer: BytesMut::new(), scanned: 0, end_seen: false }
    }

    /// Adds bytes of the answer and returns those that passed the check and may be forwarded.
    ///
    /// # Errors
    ///
    /// [`AnswerFault`] if no more of the answer may be forwarded.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, AnswerFault> {
        if self.format == AnswerFormat::Opaque {
            return Ok(bytes);
        }
        self.buffer.extend_from_slice(&bytes);
        if self.buffer.len() > MAX_BUFFERED_BYTES {
            return Err(AnswerFault::TooLarge);
        }
        if self.format == AnswerFormat::Json {
            return Ok(Bytes::new());
        }
        self.take_events()
    }

    /// Checks the end of the answer and returns the bytes that are still buffered.
    ///
    /// # Errors
    ///
    /// [`AnswerFault`] if the answer is incomplete or fails the check.
    pub fn finish(&mut self) -> Result<Bytes, AnswerFault> {
        match self.format {
            AnswerFormat::Opaque => Ok(Bytes::new()),
            AnswerFormat::Json => {
                self.check_object(&self.buffer)?;
                Ok(self.buffer.split().freeze())
            }
            AnswerFormat::EventStream if self.end_seen && self.buffer.is_empty() => {
                Ok(Bytes::new())
            }
            AnswerFormat::EventStream => Err(AnswerFault::Truncated),
        }
    }

    fn take_events(&mut self) -> Result<Bytes, AnswerFault> {
        let mut checked = 0;
        // The end of an event may have begun in the part that was scanned before.
        let mut from = (self.scanned + 1).saturating_sub(EVENT_END.len());
        while let Some(length) = find_event_end(&self.buffer[from..]) {
            let end = from + length;
            let event = &self.buffer[checked..end];
            let Some(data) = event.strip_prefix(EVENT_PREFIX) else {
                return Err(AnswerFault::Malformed);
            };
            if self.end_seen {
                return Err(AnswerFault::Malformed);
            }
            if data == STREAM_END {
                self.end_seen = true;
            } else {
                self.check_object(data)?;
            }
            checked = end + EVENT_END.len();
            from = checked;
        }
        let events = self.buffer.split_to(checked).freeze();
        self.scanned = self.buffer.len();
        Ok(events)
    }

    fn check_object(&self, json: &[u8]) -> Result<(), AnswerFault> {
        let object: FingerprintField =
            serde_json::from_slice(json).map_err(|_| AnswerFault::Malformed)?;
        let Some(expected) = self.expected else {
            return Ok(());
        };
        let found = object.system_fingerprint.and_then(|text| text.parse().ok());
        if found != Some(expected) {
            return Err(AnswerFault::WrongDigest);
        }
        Ok(())
    }
}

fn find_event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(EVENT_END.len()).position(|window| window == EVENT_END)
}
