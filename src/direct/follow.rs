//! Follows what the platform's store holds below a prefix.

use buckthornwharf_core::direct::{PROBE_TIMEOUT, PollBackoff, WatchBackoff, WatchTiming};
use buckthornwharf_platform::{ReadAge, StoreChange, StoreClient, StoreError, StoreItem};
use log::{info, warn};
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// First reads of a polled list that bring what the store holds now: processes that start together
/// see each other.
const CURRENT_READS: u64 = 4;

/// What a follower tells.
#[derive(Debug)]
pub enum StoreEvent {
    /// Everything below the prefix.
    Snapshot(Vec<StoreItem>),
    /// Changes since then, in order.
    Changes(Vec<StoreChange>),
    /// The store answers again after an outage.
    Recovered,
}

/// Follows `prefix` for the rest of the process and hands what it hears to `take`.
pub async fn watch_prefix(
    store: StoreClient,
    prefix: &'static str,
    timing: WatchTiming,
    mut take: impl FnMut(StoreEvent),
) {
    let mut link = StoreLink::new(prefix, timing);
    loop {
        // A list may take long; whether the store is there at all is told sooner.
        if link.is_doubtful()
            && let Err(error) = store.probe(PROBE_TIMEOUT).await
        {
            link.failed(&error).await;
            continue;
        }
        let range = match store.range(prefix, ReadAge::Current).await {
            Ok(range) => range,
            Err(error) => {
                link.failed(&error).await;
                continue;
            }
        };
        if link.answered() {
            take(StoreEvent::Recovered);
        }
        take(StoreEvent::Snapshot(range.items));
        let mut revision = range.revision;
        loop {
            match store
                .watch(prefix, revision, link.backoff.long_poll(), link.backoff.timeout())
                .await
            {
                Ok((changes, next)) => {
                    if link.answered() {
                        take(StoreEvent::Recovered);
                    }
                    revision = revision.max(next);
                    if !changes.is_empty() {
                        take(StoreEvent::Changes(changes));
                        actix_rt::time::sleep(link.backoff.change_delay()).await;
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

/// Reads what the store holds below `prefix` again and again, for the rest of the process, and hands
/// it to `take`, which tells whether it is another than before. A notice of `hurry` has it read at
/// once.
pub async fn poll_prefix(
    store: StoreClient,
    prefix: &'static str,
    hurry: Rc<Notify>,
    mut take: impl FnMut(Vec<StoreItem>) -> bool,
) {
    let mut link = StoreLink::new(prefix, WatchTiming::RELAXED);
    let mut backoff = PollBackoff::default();
    let mut revision = 0;
    for read in 0_u64.. {
        let age = if read < CURRENT_READS { ReadAge::Current } else { ReadAge::Seconds };
        let asked = async {
            if link.is_doubtful() {
                store.probe(PROBE_TIMEOUT).await?;
            }
            store.range(prefix, age).await
        };
        let changed = match asked.await {
            Ok(range) => {
                if link.answered() {
                    backoff.reset();
                }
                // An older state than the one before tells nothing new.
                let is_newer = range.revision >= revision;
                revision = revision.max(range.revision);
                is_newer && take(range.items)
            }
            Err(error) => {
                link.note_failure(&error);
                backoff.reset();
                false
            }
        };
        let pause = backoff.next_interval(changed).mul_f64(rand::rng().random_range(0.85..1.15));
        tokio::select! {
            () = actix_rt::time::sleep(pause) => {}
            () = hurry.notified() => backoff.reset(),
        }
    }
}

/// The pace of a follower, with log lines where the store is lost and comes back.
struct StoreLink {
    prefix: &'static str,
    backoff: WatchBackoff,
    /// Whether the store has answered at all.
    proven: bool,
}

impl StoreLink {
    fn new(prefix: &'static str, timing: WatchTiming) -> Self {
        Self { prefix, backoff: WatchBackoff::new(timing), proven: false }
    }

    /// Whether the store may be away.
    fn is_doubtful(&self) -> bool {
        !self.proven || self.backoff.is_failing()
    }

    /// Notes an answer; whether it is the first after an outage.
    fn answered(&mut self) -> bool {
        self.proven = true;
        let returned = self.backoff.record_success();
        if returned {
            info!("event=store_returned prefix={}", self.prefix);
        }
        returned
    }

    /// Notes a failure; the pause before the next call of a watch.
    fn note_failure(&mut self, error: &StoreError) -> Duration {
        if !self.backoff.is_failing() {
            warn!("event=store_lost prefix={} reason=\"{error}\"", self.prefix);
        }
        self.backoff.record_failure()
    }

    async fn failed(&mut self, error: &StoreError) {
        let jitter = rand::rng().random_range(0.75..1.25);
        actix_rt::time::sleep(self.note_failure(error).mul_f64(jitter)).await;
    }
}
