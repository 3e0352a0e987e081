//! Heartbeats of a link between two processes.

use crate::prelude::*;

/// Time without a sent frame after which a heartbeat is due.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a received frame after which a link is dropped.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// The action that a link needs now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// Call [`HeartbeatMonitor::on_tick`] again at this time.
    Wait(MonoTime),
    /// Send a heartbeat and call [`HeartbeatMonitor::on_sent`].
    SendHeartbeat,
    /// Drop the link: no frame was received for [`HEARTBEAT_TIMEOUT`].
    Drop,
}

/// Decides when a link needs a heartbeat and when it has timed out; both sides run one.
///
/// A process that was itself suspended has not read the frames that arrived during that time. A late
/// call of [`HeartbeatMonitor::on_tick`] therefore restarts the timeout.
#[derive(Debug, Clone)]
pub struct HeartbeatMonitor {
    last_received: MonoTime,
    last_sent: MonoTime,
    last_tick: MonoTime,
}

impl HeartbeatMonitor {
    /// A monitor for a link that opened now.
    pub const fn new(now: MonoTime) -> Self {
        Self { last_received: now, last_sent: now, last_tick: now }
    }

    /// Records that a frame of any kind was received.
    pub fn on_received(&mut self, now: MonoTime) {
        self.last_received = now;
    }

    /// Records that a frame of any kind was sent.
    pub fn on_sent(&mut self, now: MonoTime) {
        self.last_sent = now;
    }

    /// Returns the action that the link needs; to be called at the time of the last
    /// [`HeartbeatAction::Wait`], and at least every [`HEARTBEAT_INTERVAL`].
    pub fn on_tick(&mut self, now: MonoTime) -> HeartbeatAction {
        let was_suspended = now.since(self.last_tick) >= HEARTBEAT_TIMEOUT / 2;
        self.last_tick = now;
        if was_suspended {
            self.last_received = now;
        }
        if now.since(self.last_received) >= HEARTBEAT_TIMEOUT {
            return HeartbeatAction::Drop;
        }
        if now.since(self.last_sent) >= HEARTBEAT_INTERVAL {
            return HeartbeatAction::SendHeartbeat;
        }
        let next_send = self.last_sent + HEARTBEAT_INTERVAL;
        HeartbeatAction::Wait(next_send.min(self.last_received + HEARTBEAT_TIMEOUT))
    }
}
