//! Buffers a target's answer so that it can be sent again after a link was lost.

use crate::frame::{BodyFrame, EndFrame, HeadFrame, LinkFrame};
use crate::prelude::*;
use bytes::Bytes;
use std::collections::VecDeque;

/// The head and body of one answer. The oldest bytes may be dropped; the answer can be sent from any
/// position that is still buffered.
#[derive(Debug, Clone, Default)]
pub(super) struct AnswerBuffer {
    head: Option<HeadFrame>,
    chunks: VecDeque<Bytes>,
    /// Position in the body of the first buffered byte.
    start: u64,
    /// Bytes of the body received so far, including those that were dropped.
    length: u64,
}

impl AnswerBuffer {
    /// Stores the head of the answer; `false` if there was one already, which is then kept.
    pub fn set_head(&mut self, head: HeadFrame) -> bool {
        let is_first = self.head.is_none();
        self.head.get_or_insert(head);
        is_first
    }

    /// Whether the head of the answer was received.
    pub fn has_head(&self) -> bool {
        self.head.is_some()
    }

    /// Appends bytes to the body and returns their position in it.
    pub fn push(&mut self, bytes: Bytes) -> u64 {
        let position = self.length;
        self.length += bytes.len() as u64;
        self.chunks.push_back(bytes);
        position
    }

    /// Bytes in the buffer.
    pub fn buffered_bytes(&self) -> u64 {
        self.length - self.start
    }

    /// Whether the answer can be sent from `position` on.
    pub fn can_send_from(&self, position: u64) -> bool {
        (self.start..=self.length).contains(&position)
    }

    /// Drops the oldest chunks until at most `max_bytes` are buffered.
    pub fn trim(&mut self, max_bytes: u64) {
        while self.buffered_bytes() > max_bytes {
            let Some(chunk) = self.chunks.pop_front() else { return };
            self.start += chunk.len() as u64;
        }
    }

    /// The frames that answer request `id` from `position` on: the head unless `has_head` is set,
    /// and the end if `code` is given.
    pub fn frames(
        &self,
        id: RequestId,
        has_head: bool,
        position: u64,
        code: Option<ResultCode>,
    ) -> Vec<LinkFrame> {
        let mut frames = Vec::new();
        if !has_head && let Some(head) = &self.head {
            frames.push(LinkFrame::Head(HeadFrame { id, ..head.clone() }));
        }
        let mut chunk_start = self.start;
        for chunk in &self.chunks {
            let chunk_end = chunk_start + chunk.len() as u64;
            if chunk_end > position {
                let skip =
                    usize::try_from(position.saturating_sub(chunk_start)).unwrap_or(usize::MAX);
                let bytes = chunk.slice(skip..);
                frames.push(LinkFrame::Body(BodyFrame {
                    id,
                    position: chunk_start.max(position),
                    bytes,
                }));
            }
            chunk_start = chunk_end;
        }
        frames.extend(code.map(|code| self.end_frame(id, code)));
        frames
    }

    /// The frame that ends the answer to request `id`.
    pub fn end_frame(&self, id: RequestId, code: ResultCode) -> LinkFrame {
        LinkFrame::End(EndFrame { id, code, length: self.length })
    }
}
