//! Follows what the platform's store holds below a prefix.

use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::{StoreChange, StoreClient, StoreError, StoreItem};
use log::{info, warn};
use rand::RngExt;

/// Time for which a watch waits for a change. Short enough that a connection that fell silent is
/// noticed within the time in which a host must be up to date again.
const WATCH_WAIT: Duration = Duration::from_millis(2500);
/// Shortest and longest pause after a failed call.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(900));

/// What a follower tells.
#[derive(Debug)]
pub enum FollowEvent {
    /// Everything below the prefix.
    Listed(Vec<StoreItem>),
    /// Changes since then, in order.
    Changed(Vec<StoreChange>),
    /// The store answers again after an outage.
    Returned,
}

/// Follows `prefix` for the rest of the process and hands what it hears to `take`.
pub async fn follow(store: StoreClient, prefix: &'static str, mut take: impl FnMut(FollowEvent)) {
    let mut link = StoreLink { prefix, pause: RETRY_PAUSE.0, lost: false };
    loop {
        let range = match store.range(prefix).await {
            Ok(range) => range,
            Err(error) => {
                link.failed(&error).await;
                continue;
            }
        };
        if link.answered() {
            take(FollowEvent::Returned);
        }
        take(FollowEvent::Listed(range.items));
        let mut revision = range.revision;
        loop {
            match store.watch(prefix, revision, WATCH_WAIT).await {
                Ok((changes, next)) => {
                    if link.answered() {
                        take(FollowEvent::Returned);
                    }
                    revision = revision.max(next);
                    if !changes.is_empty() {
                        take(FollowEvent::Changed(changes));
                    }
                }
                Err(StoreError::Compacted) => {
                    info!("event=history_lost prefix={prefix} revision={revision}");
                    break;
                }
                Err(error) => link.failed(&error).await,
            }
        }
    }
}

/// Whether the store answers, and how long to wait before it is asked again.
struct StoreLink {
    prefix: &'static str,
    pause: Duration,
    lost: bool,
}

impl StoreLink {
    /// Notes an answer; whether it is the first after an outage.
    fn answered(&mut self) -> bool {
        self.pause = RETRY_PAUSE.0;
        if self.lost {
            info!("event=store_returned prefix={}", self.prefix);
        }
        std::mem::take(&mut self.lost)
    }

    async fn failed(&mut self, error: &StoreError) {
        if !self.lost {
            warn!("event=store_lost prefix={} reason=\"{error}\"", self.prefix);
        }
        self.lost = true;
        let jitter = rand::rng().random_range(0.75..1.25);
        actix_rt::time::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(RETRY_PAUSE.1);
    }
}
