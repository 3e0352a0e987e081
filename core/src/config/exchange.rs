//! Distribution of the newest configuration over links between processes.
//!
//! A process announces its generation on its links when the generation changes and when a link
//! opens. A peer with an older generation requests the newer one from a single announcer by
//! replying with its own generation, and receives the patches since then or the whole record.

use crate::config::patch::{ConfigPatch, decode_patches, encode_patches};
use crate::frame::ConfigFrame;
use crate::prelude::*;
use bytes::Bytes;
use std::collections::VecDeque;

/// Time after which a request for a newer generation is repeated if it was not answered.
pub const REQUEST_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Most generations that a peer may be behind to receive patches instead of the whole record.
const MAX_PATCHES: usize = 16;

/// The action that a received configuration frame calls for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeAction {
    /// Do nothing.
    Nothing,
    /// Send the frame back on the same link.
    Reply(ConfigFrame),
    /// Pass the frame, which holds a newer whole record, to this process.
    Deliver(ConfigFrame),
}

/// State machine that decides which configuration frames a process sends on its links.
#[derive(Debug, Default)]
pub struct ConfigExchange {
    generation: ConfigGeneration,
    body: Bytes,
    /// Patches that lead to `generation`, oldest first.
    patches: VecDeque<ConfigPatch>,
    request: Option<PendingRequest>,
}

/// A request for a newer generation that was sent to a peer and is not answered yet.
#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    generation: ConfigGeneration,
    sent_at: MonoTime,
}

impl ConfigExchange {
    /// Sets the active configuration: its generation and its encoded record. Ignored unless the
    /// generation is newer.
    pub fn set_active(&mut self, generation: ConfigGeneration, body: Bytes) {
        if generation <= self.generation {
            return;
        }
        match ConfigPatch::between(&self.body, &body) {
            Ok(patch) => self.patches.push_back(patch),
            Err(_) => self.patches.clear(),
        }
        if self.patches.len() > MAX_PATCHES {
            self.patches.pop_front();
        }
        self.generation = generation;
        self.body = body;
        self.request = self.request.filter(|request| request.generation > generation);
    }

    /// The frame that announces the active generation. To a peer that has announced a newer one it
    /// is a request for that.
    pub fn announcement(&self) -> ConfigFrame {
        ConfigFrame { generation: self.generation, body: Bytes::new() }
    }

    /// Returns the frame to send on all links if the pending request is due to be repeated.
    pub fn retry_request(&mut self, now: MonoTime) -> Option<ConfigFrame> {
        let request = self.request.as_mut()?;
        if now.since(request.sent_at) < REQUEST_RETRY_INTERVAL {
            return None;
        }
        request.sent_at = now;
        Some(self.announcement())
    }

    /// Handles a frame received from a peer.
    pub fn on_frame(&mut self, now: MonoTime, frame: ConfigFrame) -> ExchangeAction {
        if frame.generation < self.generation {
            return ExchangeAction::Reply(self.frame_for(frame.generation));
        }
        if frame.generation == self.generation {
            return ExchangeAction::Nothing;
        }
        if !frame.body.is_empty() {
            return self.on_body(now, frame);
        }
        if self.is_requested(now, frame.generation) {
            return ExchangeAction::Nothing;
        }
        self.request = Some(PendingRequest { generation: frame.generation, sent_at: now });
        ExchangeAction::Reply(self.announcement())
    }

    fn on_body(&mut self, now: MonoTime, frame: ConfigFrame) -> ExchangeAction {
        match decode_patches(&frame.body) {
            Ok(None) => ExchangeAction::Deliver(frame),
            Ok(Some(patches)) => match self.apply(&patches) {
                Some(body) => ExchangeAction::Deliver(ConfigFrame { body, ..frame }),
                None => self.request_whole(now, frame.generation),
            },
            Err(_) => self.request_whole(now, frame.generation),
        }
    }

    fn apply(&self, patches: &[ConfigPatch]) -> Option<Bytes> {
        let mut body = self.body.to_vec();
        for patch in patches {
            body = patch.apply(&body).ok()?;
        }
        Some(body.into())
    }

    /// Requests the whole record by announcing generation 0, for which no peer keeps patches.
    fn request_whole(&mut self, now: MonoTime, generation: ConfigGeneration) -> ExchangeAction {
        self.request = Some(PendingRequest { generation, sent_at: now });
        let generation = ConfigGeneration::default();
        ExchangeAction::Reply(ConfigFrame { generation, body: Bytes::new() })
    }

    /// The answer to a peer that announced the older generation `peer_generation`.
    fn frame_for(&self, peer_generation: ConfigGeneration) -> ConfigFrame {
        let body = self.patches_since(peer_generation).unwrap_or_else(|| self.body.clone());
        ConfigFrame { generation: self.generation, body }
    }

    /// The encoded patches from `base` to the active generation, if they are still kept and smaller
    /// than the whole record.
    fn patches_since(&self, base: ConfigGeneration) -> Option<Bytes> {
        let first = self.patches.iter().position(|patch| patch.base == base)?;
        let patches: Vec<&ConfigPatch> = self.patches.iter().skip(first).collect();
        let encoded = encode_patches(&patches).ok()?;
        (encoded.len() < self.body.len()).then(|| encoded.into())
    }

    fn is_requested(&self, now: MonoTime, generation: ConfigGeneration) -> bool {
        self.request.is_some_and(|request| {
            request.generation >= generation && now.since(request.sent_at) < REQUEST_RETRY_INTERVAL
        })
    }
}
