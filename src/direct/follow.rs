//! Follows what the platform's store holds below a prefix.

use buckthornwharf_core::direct::{Freshness, WatchPace};
use buckthornwharf_platform::{StoreChange, StoreClient, StoreError, StoreItem};
use log::{info, warn};
use rand::RngExt;

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
pub async fn follow(
    store: StoreClient,
    prefix: &'static str,
    freshness: Freshness,
    mut take: impl FnMut(FollowEvent),
) {
    let mut link = StoreLink { prefix, pace: WatchPace::new(freshness) };
    loop {
        // A list may take long; whether the store is there at all is told sooner.
        if let Err(error) = store.probe(link.pace.probe_timeout()).await {
            link.failed(&error).await;
            continue;
        }
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
            match store.watch(prefix, revision, link.pace.wait(), link.pace.timeout()).await {
                Ok((changes, next)) => {
                    if link.answered() {
                        take(FollowEvent::Returned);
                    }
                    revision = revision.max(next);
                    if !changes.is_empty() {
                        take(FollowEvent::Changed(changes));
                        actix_rt::time::sleep(link.pace.gap()).await;
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

/// The pace of a follower, with log lines where the store is lost and comes back.
struct StoreLink {
    prefix: &'static str,
    pace: WatchPace,
}

impl StoreLink {
    /// Notes an answer; whether it is the first after an outage.
    fn answered(&mut self) -> bool {
        let returned = self.pace.answered();
        if returned {
            info!("event=store_returned prefix={}", self.prefix);
        }
        returned
    }

    async fn failed(&mut self, error: &StoreError) {
        if !self.pace.is_lost() {
            warn!("event=store_lost prefix={} reason=\"{error}\"", self.prefix);
        }
        let jitter = rand::rng().random_range(0.75..1.25);
        actix_rt::time::sleep(self.pace.failed().mul_f64(jitter)).await;
    }
}
