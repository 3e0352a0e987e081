//! Outages of the store: one task of a process asks it until it responds, and the others wait for that one.

use buckthornwharf_core::prelude::*;
use rand::RngExt;
use std::rc::Rc;
use tokio::sync::watch;

/// Longest time that a task waits for the leading one to notice the recovery of the store.
const MAX_FOLLOWER_WAIT: Duration = Duration::from_secs(4);

/// Whether the store responds to this process, as noticed by one of the tasks that read it. The others ask
/// it again when this one has noticed the recovery, so that an outage costs few calls.
#[derive(Debug, Clone)]
pub struct StoreOutage {
    is_down: Rc<watch::Sender<bool>>,
}

impl Default for StoreOutage {
    fn default() -> Self {
        Self { is_down: Rc::new(watch::channel(false).0) }
    }
}

impl StoreOutage {
    /// Ends the outage, because the leading task reads the store no longer.
    pub fn end(&self) {
        self.is_down.send_replace(false);
    }

    /// Waits until the leading task has noticed the recovery, at most [`MAX_FOLLOWER_WAIT`], and for a
    /// random part of `spread` after it; or for `backoff` if no outage has been noticed.
    pub async fn wait_over(&self, backoff: Duration, spread: Duration) {
        let mut is_down = self.is_down.subscribe();
        if !*is_down.borrow() {
            actix_rt::time::sleep(backoff).await;
            return;
        }
        let over = is_down.wait_for(|is_down| !*is_down);
        // An error means that the outage lasts longer.
        let _ = tokio::time::timeout(MAX_FOLLOWER_WAIT, over).await;
        actix_rt::time::sleep(spread.mul_f64(rand::rng().random_range(0.0..1.0))).await;
    }
}

/// The part of a task that reads the store in an outage.
#[derive(Debug, Clone)]
pub enum OutageRole {
    /// It asks the store until it responds, and tells the others.
    Leader(StoreOutage),
    /// It waits for the leader.
    Follower(StoreOutage),
}

impl OutageRole {
    /// Tells the other tasks whether the store responds, if this one leads them.
    pub fn tell(&self, is_down: bool) {
        if let OutageRole::Leader(outage) = self {
            outage.is_down.send_if_modified(|known| std::mem::replace(known, is_down) != is_down);
        }
    }

    /// Waits after a failed call: for `backoff`, or until the leading task has noticed the recovery.
    pub async fn wait_after_failure(&self, backoff: Duration) {
        match self {
            OutageRole::Leader(_) => actix_rt::time::sleep(backoff).await,
            OutageRole::Follower(outage) => outage.wait_over(backoff, Duration::ZERO).await,
        }
    }
}
