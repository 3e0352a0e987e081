//! The shutdown of an entry: until when requests are taken and served.

use super::EntryState;
use crate::clock;
use buckthornwharf_core::direct::{DrainPeriod, WorkKind};
use buckthornwharf_core::prelude::*;
use std::cell::Cell;
use tokio::sync::Notify;

/// How far the shutdown of an entry has got.
#[derive(Debug, Default)]
pub(super) struct DrainState {
    /// Set from the shutdown signal on.
    period: Cell<Option<DrainPeriod>>,
    has_ended: Cell<bool>,
    ended: Notify,
}

impl EntryState {
    /// Begins the shutdown of the process, which will be killed in `grace`.
    pub fn begin_drain(&self, grace: Duration) -> DrainPeriod {
        let period = DrainPeriod::new(clock::now(), grace);
        self.drain.period.set(Some(period));
        period
    }

    /// Returns whether a request that is read at `now` is taken; always before the shutdown signal.
    pub fn admits_in_drain(&self, now: MonoTime, kind: WorkKind, deadline: MonoTime) -> bool {
        let period = self.drain.period.get();
        period.is_none_or(|period| period.admits(now, kind, deadline))
    }

    /// Gives up the requests that are still open.
    pub fn end_drain(&self) {
        self.drain.has_ended.set(true);
        self.drain.ended.notify_waiters();
    }

    /// Waits until open requests are given up.
    pub async fn drain_ended(&self) {
        let ended = self.drain.ended.notified();
        if !self.drain.has_ended.get() {
            ended.await;
        }
    }
}
