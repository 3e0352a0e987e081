//! Heartbeats on one link, and when it counts as silent.

use crate::prelude::*;

/// Longest time without a frame sent on a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a frame received after which a link is silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// What a link needs now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PulseAction {
    /// Nothing before this time.
    Wait(MonoTime),
    /// A heartbeat is due; send it and call [`LinkPulse::on_sent`].
    SendHeartbeat,
    /// The other side was not heard for [`SILENCE_TIMEOUT`]: drop the link and open another.
    Drop,
}

/// The pulse of one link, kept alike by both sides.
///
/// A process that was itself suspended has not read what the other side sent meanwhile. A late call
/// of [`LinkPulse::on_tick`] therefore starts the time of silence anew.
#[derive(Debug, Clone)]
pub struct LinkPulse {
    last_heard: MonoTime,
    last_sent: MonoTime,
    last_tick: MonoTime,
}

impl LinkPulse {
    /// The pulse of a link that was opened now.
    pub const fn new(now: MonoTime) -> Self {
        Self { last_heard: now, last_sent: now, last_tick: now }
    }

    /// Notes that any frame was received.
    pub fn on_heard(&mut self, now: MonoTime) {
        self.last_heard = now;
    }

    /// Notes that any frame was sent.
    pub fn on_sent(&mut self, now: MonoTime) {
        self.last_sent = now;
    }

    /// Tells what the link needs; to be called at the time that the last call named, and at least
    /// every [`HEARTBEAT_INTERVAL`].
    pub fn on_tick(&mut self, now: MonoTime) -> PulseAction {
        let was_suspended = now.since(self.last_tick) >= SILENCE_TIMEOUT / 2;
        self.last_tick = now;
        if was_suspended {
            self.last_heard = now;
        }
        if now.since(self.last_heard) >= SILENCE_TIMEOUT {
            return PulseAction::Drop;
        }
        if now.since(self.last_sent) >= HEARTBEAT_INTERVAL {
            return PulseAction::SendHeartbeat;
        }
        let next_send = self.last_sent + HEARTBEAT_INTERVAL;
        PulseAction::Wait(next_send.min(self.last_heard + SILENCE_TIMEOUT))
    }
}
