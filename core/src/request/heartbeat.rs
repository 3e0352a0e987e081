//! Heartbeats on one link, and when it counts as silent.

use crate::prelude::*;

/// Longest time without a frame sent on a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a frame received after which a link is silent.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// What a link needs now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// Nothing before this time.
    Wait(MonoTime),
    /// A heartbeat is due; send it and call [`HeartbeatMonitor::on_sent`].
    SendHeartbeat,
    /// The other side was not heard for [`HEARTBEAT_TIMEOUT`]: drop the link and open another.
    Drop,
}

/// The pulse of one link, kept alike by both sides.
///
/// A process that was itself suspended has not read what the other side sent meanwhile. A late call
/// of [`HeartbeatMonitor::on_tick`] therefore starts the time of silence anew.
#[derive(Debug, Clone)]
pub struct HeartbeatMonitor {
    last_heard: MonoTime,
    last_sent: MonoTime,
    last_tick: MonoTime,
}

impl HeartbeatMonitor {
    /// The pulse of a link that was opened now.
    pub const fn new(now: MonoTime) -> Self {
        Self { last_heard: now, last_sent: now, last_tick: now }
    }

    /// Notes that any frame was received.
    pub fn on_received(&mut self, now: MonoTime) {
        self.last_heard = now;
    }

    /// Notes that any frame was sent.
    pub fn on_sent(&mut self, now: MonoTime) {
        self.last_sent = now;
    }

    /// Tells what the link needs; to be called at the time that the last call named, and at least
    /// every [`HEARTBEAT_INTERVAL`].
    pub fn on_tick(&mut self, now: MonoTime) -> HeartbeatAction {
        let was_suspended = now.since(self.last_tick) >= HEARTBEAT_TIMEOUT / 2;
        self.last_tick = now;
        if was_suspended {
            self.last_heard = now;
        }
        if now.since(self.last_heard) >= HEARTBEAT_TIMEOUT {
            return HeartbeatAction::Drop;
        }
        if now.since(self.last_sent) >= HEARTBEAT_INTERVAL {
            return HeartbeatAction::SendHeartbeat;
        }
        let next_send = self.last_sent + HEARTBEAT_INTERVAL;
        HeartbeatAction::Wait(next_send.min(self.last_heard + HEARTBEAT_TIMEOUT))
    }
}
