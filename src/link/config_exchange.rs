//! How the newest configuration spreads over links: a process announces its generation, and the
//! body goes only to a peer that turns out to have an older one.

use crate::clock;
use crate::shared::ActiveConfig;
use buckthornwharf_core::frame::ConfigFrame;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;

/// Time after which a generation is asked for again, from whoever announces it.
const ASK_AGAIN_AFTER: Duration = Duration::from_secs(1);

/// What a frame about the configuration leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeStep {
    /// Nothing.
    Nothing,
    /// Answer on the same link.
    Reply(ConfigFrame),
    /// Give the frame to the follower of the configuration.
    Deliver(ConfigFrame),
}

/// Decides what to say about the configuration on links.
#[derive(Debug, Default)]
pub struct ConfigExchange {
    mine: Option<Arc<ActiveConfig>>,
    asked: Option<(ConfigGeneration, MonoTime)>,
}

impl ConfigExchange {
    /// Takes over the configuration in force.
    pub fn set_active(&mut self, config: Option<Arc<ActiveConfig>>) {
        self.mine = config;
    }

    /// The frame that announces the generation in force.
    pub fn announcement(&self) -> ConfigFrame {
        ConfigFrame { generation: self.generation(), body: Bytes::new() }
    }

    /// Takes a frame of a peer.
    pub fn on_frame(&mut self, frame: ConfigFrame) -> ExchangeStep {
        let mine = self.generation();
        if frame.generation < mine {
            return self.reply_with_body();
        }
        if frame.generation == mine {
            return ExchangeStep::Nothing;
        }
        if !frame.body.is_empty() {
            return ExchangeStep::Deliver(frame);
        }
        if self.was_asked(frame.generation) {
            return ExchangeStep::Nothing;
        }
        self.asked = Some((frame.generation, clock::now()));
        ExchangeStep::Reply(self.announcement())
    }

    fn generation(&self) -> ConfigGeneration {
        self.mine.as_ref().map_or(ConfigGeneration::default(), |config| config.generation)
    }

    fn reply_with_body(&self) -> ExchangeStep {
        let Some(config) = &self.mine else { return ExchangeStep::Nothing };
        let frame = ConfigFrame { generation: config.generation, body: config.body.clone() };
        ExchangeStep::Reply(frame)
    }

    fn was_asked(&self, generation: ConfigGeneration) -> bool {
        self.asked.is_some_and(|(asked, at)| {
            asked >= generation && clock::now().since(at) < ASK_AGAIN_AFTER
        })
    }
}
