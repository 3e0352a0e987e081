//! The answer of a target as far as it is known, kept so that it can be sent again.

use crate::frame::{BodyFrame, EndFrame, HeadFrame, LinkFrame};
use crate::prelude::*;
use bytes::Bytes;
use std::collections::VecDeque;

/// The head and the bytes of one answer. The oldest bytes may be dropped; the rest can be sent from
/// any position that is still held.
#[derive(Debug, Clone, Default)]
pub(super) struct AnswerBuffer {
    head: Option<HeadFrame>,
    chunks: VecDeque<Bytes>,
    base: u64,
    length: u64,
}

impl AnswerBuffer {
    /// Notes the start of the answer; `false` if it was noted before.
    pub fn set_head(&mut self, head: HeadFrame) -> bool {
        let is_first = self.head.is_none();
        self.head.get_or_insert(head);
        is_first
    }

    /// Whether the start of the answer is known.
    pub fn has_head(&self) -> bool {
        self.head.is_some()
    }

    /// Appends bytes and returns their position.
    pub fn push(&mut self, bytes: Bytes) -> u64 {
        let position = self.length;
        self.length += bytes.len() as u64;
        self.chunks.push_back(bytes);
        position
    }

    /// Bytes that are held.
    pub fn held_bytes(&self) -> u64 {
        self.length - self.base
    }

    /// Whether the answer can be sent from `position` on.
    pub fn holds(&self, position: u64) -> bool {
        (self.base..=self.length).contains(&position)
    }

    /// Drops the oldest bytes until at most `limit` are held.
    pub fn trim(&mut self, limit: u64) {
        while self.held_bytes() > limit {
            let Some(chunk) = self.chunks.pop_front() else { return };
            self.base += chunk.len() as u64;
        }
    }

    /// The frames that give request `id` the answer from `position` on, with the head unless
    /// `has_head`, and with the end if there is a `code`.
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
        let mut start = self.base;
        for chunk in &self.chunks {
            let end = start + chunk.len() as u64;
            if end > position {
                let skip = usize::try_from(position.saturating_sub(start)).unwrap_or(usize::MAX);
                let bytes = chunk.slice(skip..);
                frames.push(LinkFrame::Body(BodyFrame {
                    id,
                    position: start.max(position),
                    bytes,
                }));
            }
            start = end;
        }
        frames.extend(code.map(|code| self.end_frame(id, code)));
        frames
    }

    /// The end mark of the answer for request `id`.
    pub fn end_frame(&self, id: RequestId, code: ResultCode) -> LinkFrame {
        LinkFrame::End(EndFrame { id, code, length: self.length })
    }
}
