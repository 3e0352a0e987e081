//! How the newest configuration spreads over links.
//!
//! A process announces its generation on its links when it changes and when a link opens. Whoever
//! holds an older one asks a single announcer for it by announcing the generation that it holds
//! itself, and gets what was changed since, or all of it.

use crate::config::patch::{ConfigPatch, decode_patches, encode_patches};
use crate::frame::ConfigFrame;
use crate::prelude::*;
use bytes::Bytes;
use std::collections::VecDeque;

/// Time after which a generation that was asked for and did not come is asked for again.
pub const ASK_AGAIN_AFTER: Duration = Duration::from_secs(1);
/// Most generations back for which a change is sent in place of the whole.
const MAX_PATCHES: usize = 16;

/// What a frame about the configuration leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeStep {
    /// Nothing.
    Nothing,
    /// Answer on the same link.
    Reply(ConfigFrame),
    /// A newer configuration, whole, is offered to this process.
    Deliver(ConfigFrame),
}

/// Decides what to say about the configuration on links.
#[derive(Debug, Default)]
pub struct ConfigExchange {
    generation: ConfigGeneration,
    body: Bytes,
    patches: VecDeque<ConfigPatch>,
    asked: Option<AskedGeneration>,
}

#[derive(Debug, Clone, Copy)]
struct AskedGeneration {
    generation: ConfigGeneration,
    asked_at: MonoTime,
}

impl ConfigExchange {
    /// Takes over the configuration in force: its generation and its encoded record.
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
        self.asked = self.asked.filter(|asked| asked.generation > generation);
    }

    /// The frame that announces the generation in force, and asks for a newer one where the peer
    /// has announced it.
    pub fn announcement(&self) -> ConfigFrame {
        ConfigFrame { generation: self.generation, body: Bytes::new() }
    }

    /// The frame to send on all links if a generation that was asked for has not come in time.
    pub fn ask_again(&mut self, now: MonoTime) -> Option<ConfigFrame> {
        let asked = self.asked.as_mut()?;
        if now.since(asked.asked_at) < ASK_AGAIN_AFTER {
            return None;
        }
        asked.asked_at = now;
        Some(self.announcement())
    }

    /// Takes a frame of a peer.
    pub fn on_frame(&mut self, now: MonoTime, frame: ConfigFrame) -> ExchangeStep {
        if frame.generation < self.generation {
            return ExchangeStep::Reply(self.frame_for(frame.generation));
        }
        if frame.generation == self.generation {
            return ExchangeStep::Nothing;
        }
        if !frame.body.is_empty() {
            return self.on_body(now, frame);
        }
        if self.is_asked(now, frame.generation) {
            return ExchangeStep::Nothing;
        }
        self.asked = Some(AskedGeneration { generation: frame.generation, asked_at: now });
        ExchangeStep::Reply(self.announcement())
    }

    fn on_body(&mut self, now: MonoTime, frame: ConfigFrame) -> ExchangeStep {
        match decode_patches(&frame.body) {
            Ok(None) => ExchangeStep::Deliver(frame),
            Ok(Some(patches)) => match self.apply(&patches) {
                Some(body) => ExchangeStep::Deliver(ConfigFrame { body, ..frame }),
                None => self.ask_for_all(now, frame.generation),
            },
            Err(_) => self.ask_for_all(now, frame.generation),
        }
    }

    fn apply(&self, patches: &[ConfigPatch]) -> Option<Bytes> {
        let mut body = self.body.to_vec();
        for patch in patches {
            body = patch.apply(&body).ok()?;
        }
        Some(body.into())
    }

    /// Asks as one who holds nothing, which is answered by the whole record.
    fn ask_for_all(&mut self, now: MonoTime, generation: ConfigGeneration) -> ExchangeStep {
        self.asked = Some(AskedGeneration { generation, asked_at: now });
        let generation = ConfigGeneration::default();
        ExchangeStep::Reply(ConfigFrame { generation, body: Bytes::new() })
    }

    fn frame_for(&self, peer: ConfigGeneration) -> ConfigFrame {
        let body = self.patches_since(peer).unwrap_or_else(|| self.body.clone());
        ConfigFrame { generation: self.generation, body }
    }

    /// What was changed since generation `peer`, if it is known and smaller than the whole.
    fn patches_since(&self, peer: ConfigGeneration) -> Option<Bytes> {
        let first = self.patches.iter().position(|patch| patch.base == peer)?;
        let patches: Vec<&ConfigPatch> = self.patches.iter().skip(first).collect();
        let encoded = encode_patches(&patches).ok()?;
        (encoded.len() < self.body.len()).then(|| encoded.into())
    }

    fn is_asked(&self, now: MonoTime, generation: ConfigGeneration) -> bool {
        self.asked.is_some_and(|asked| {
            asked.generation >= generation && now.since(asked.asked_at) < ASK_AGAIN_AFTER
        })
    }
}
