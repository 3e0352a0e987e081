//! Watches and polls the items below a prefix of the platform's store.

mod hedged_watch;

use super::outage::{OutageRole, StoreOutage};
use crate::clock;
use buckthornwharf_core::direct::{
    BacklogLimit, PROBE_TIMEOUT, PollBackoff, StorePosition, WatchBackoff, WatchTiming,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::{
    ReadConsistency, StoreChange, StoreClient, StoreError, StoreItem, StoreRange, WatchCall,
};
use hedged_watch::{HedgedWatch, WatchAnswer};
use log::{info, warn};
use rand::RngExt;
use std::rc::Rc;
use tokio::sync::Notify;

/// Range of the delay before a prefix is read again whose history was lost, in milliseconds, so that
/// processes do not read it all at once.
const REREAD_DELAY_MS: std::ops::Range<u64> = 0..300;

/// Time over which processes spread their reads of a list after an outage.
const LIST_SPREAD: Duration = Duration::from_secs(2);

/// An event of a watched prefix.
#[derive(Debug)]
pub enum StoreEvent {
    /// All items below the prefix, with the position at which they were read.
    Snapshot(StoreRange),
    /// Changes since the last event.
    Changes {
        /// The changes, in order.
        changes: Vec<StoreChange>,
        /// The position up to which they are complete.
        position: StorePosition,
        /// Set if the answer was overdue: the changes may have been made at any time since then.
        overdue_since: Option<MonoTime>,
    },
    /// A call failed; the items may have changed since.
    Lost,
    /// The store answers again after an outage, or was set back to an older copy.
    Recovered,
}

/// Watches `prefix` for the rest of the process and calls `on_event` with each event.
pub async fn watch_prefix(
    store: StoreClient,
    prefix: &'static str,
    timing: WatchTiming,
    role: OutageRole,
    mut on_event: impl FnMut(StoreEvent),
) {
    let mut health = StoreHealth::new(prefix, timing, role);
    let mut backlog = BacklogLimit::default();
    let mut era = None;
    loop {
        // A list may take long; a probe shows sooner whether the store responds again.
        if health.backoff.is_failing()
            && let Err(error) = store.probe(PROBE_TIMEOUT).await
        {
            health.wait_after_failure(&error, &mut on_event).await;
            continue;
        }
        let range = match store.range(prefix, ReadConsistency::Current).await {
            Ok(range) => range,
            Err(error) => {
                health.wait_after_failure(&error, &mut on_event).await;
                continue;
            }
        };
        let mut position = range.position;
        if era.is_some_and(|era| position.era < era) {
            // An answer from before the store was set back came late.
            reread_delay().await;
            continue;
        }
        let is_set_back = era.is_some_and(|era| era < position.era);
        era = Some(position.era);
        if is_set_back {
            info!("event=store_set_back prefix={prefix} era={}", position.era.number());
        }
        if health.on_success() || is_set_back {
            on_event(StoreEvent::Recovered);
        }
        backlog.on_items(range.items.iter().map(|item| item.value.len()));
        on_event(StoreEvent::Snapshot(range));
        let mut watch = HedgedWatch::new(&store);
        loop {
            let call = WatchCall {
                prefix,
                after: position,
                wait: health.backoff.long_poll(),
                timeout: health.backoff.timeout(),
                max_answer_bytes: backlog.max_answer_bytes(),
            };
            match watch.call(call, health.backoff.hedge()).await {
                Ok(WatchAnswer { changes, position: next, overdue_since }) => {
                    if health.on_success() {
                        on_event(StoreEvent::Recovered);
                    }
                    position = position.max(next);
                    let delay = health.backoff.next_delay(!changes.is_empty());
                    if !changes.is_empty() {
                        backlog.on_changes(changes.iter().map(StoreChange::value_bytes));
                        on_event(StoreEvent::Changes { changes, position, overdue_since });
                        actix_rt::time::sleep(delay).await;
                    }
                }
                Err(StoreError::TooManyChanges) => {
                    info!("event=read_anew prefix={prefix} revision={}", position.revision);
                    break;
                }
                Err(error @ (StoreError::Compacted | StoreError::OtherEra(_))) => {
                    let revision = position.revision;
                    info!(
                        "event=history_lost prefix={prefix} revision={revision} reason=\"{error}\""
                    );
                    reread_delay().await;
                    break;
                }
                Err(error) => health.wait_after_failure(&error, &mut on_event).await,
            }
        }
    }
}

async fn reread_delay() {
    let delay_ms = rand::rng().random_range(REREAD_DELAY_MS);
    actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
}

/// A list of items that is polled.
#[derive(Debug)]
pub struct PolledList {
    /// Prefix of the keys.
    pub prefix: String,
    /// Number of initial reads of current rather than slightly stale data, which cost ten times as much.
    pub current_reads: u64,
    /// Time until the first read, unless it is called for earlier.
    pub first_read: Duration,
    /// Notified to read the list soon.
    pub refresh: Rc<Notify>,
    /// Whether the store responds to the process.
    pub outage: StoreOutage,
}

/// Polls `list` for the rest of the process and passes its items to `on_items`, which returns whether
/// they differ from the previous ones.
pub async fn poll_list(
    store: StoreClient,
    list: PolledList,
    mut on_items: impl FnMut(Vec<StoreItem>) -> bool,
) {
    let PolledList { prefix, current_reads, first_read, refresh, outage } = list;
    let role = OutageRole::Follower(outage.clone());
    let mut health = StoreHealth::new(&prefix, WatchTiming::RELAXED, role);
    let mut backoff = PollBackoff::default();
    // An error means that the list is due.
    let _ = tokio::time::timeout(first_read, refresh.notified()).await;
    let mut position = StorePosition::default();
    for read in 0_u64.. {
        let consistency =
            if read < current_reads { ReadConsistency::Current } else { ReadConsistency::Stale };
        let call = async {
            if health.backoff.is_failing() {
                store.probe(PROBE_TIMEOUT).await?;
            }
            store.range(&prefix, consistency).await
        };
        let interval = match call.await {
            Ok(range) => {
                if health.on_success() {
                    backoff.reset();
                }
                backoff.record_bytes(range.items.iter().map(StoreItem::encoded_bytes).sum());
                // A stale read may return an older position than the previous read; it is ignored.
                let is_newer = range.position >= position;
                position = position.max(range.position);
                let changed = is_newer && on_items(range.items);
                backoff.next_interval(changed)
            }
            Err(error) => {
                // Later failures wait longer: the watch of the versions notices the recovery.
                if !health.backoff.is_failing() {
                    backoff.reset();
                }
                health.record_failure(&error);
                backoff.next_interval(false)
            }
        };
        let interval = interval.mul_f64(rand::rng().random_range(0.85..1.15));
        let read_at = clock::now();
        tokio::select! {
            () = outage.wait_over(interval, LIST_SPREAD) => {}
            () = refresh.notified() => {
                backoff.reset();
                let since_read = clock::now().since(read_at);
                actix_rt::time::sleep(backoff.min_interval().saturating_sub(since_read)).await;
            }
        }
    }
}

/// Back-off of calls to the store, with log lines when the store stops responding and recovers.
struct StoreHealth<'a> {
    prefix: &'a str,
    backoff: WatchBackoff,
    /// When the first call of the present outage failed.
    lost_at: Option<MonoTime>,
    role: OutageRole,
}

impl<'a> StoreHealth<'a> {
    fn new(prefix: &'a str, timing: WatchTiming, role: OutageRole) -> Self {
        Self { prefix, backoff: WatchBackoff::new(timing), lost_at: None, role }
    }

    /// Records a response and returns whether it is the first after an outage.
    fn on_success(&mut self) -> bool {
        let recovered = self.backoff.record_success();
        self.role.tell(false);
        if recovered {
            let now = clock::now();
            let outage = self.lost_at.take().map_or(Duration::ZERO, |lost_at| now.since(lost_at));
            info!("event=store_returned prefix={} after_ms={}", self.prefix, outage.as_millis());
        }
        recovered
    }

    /// Records a failure and returns the back-off before the next watch call.
    fn record_failure(&mut self, error: &StoreError) -> Duration {
        if !self.backoff.is_failing() {
            warn!("event=store_lost prefix={} reason=\"{error}\"", self.prefix);
            self.lost_at = Some(clock::now());
        }
        self.role.tell(true);
        self.backoff.record_failure()
    }

    /// Records a failure, reports the first one of an outage, and waits for the back-off.
    async fn wait_after_failure(
        &mut self,
        error: &StoreError,
        on_event: &mut impl FnMut(StoreEvent),
    ) {
        if !self.backoff.is_failing() {
            on_event(StoreEvent::Lost);
        }
        let jitter = rand::rng().random_range(0.75..1.25);
        let backoff = self.record_failure(error).mul_f64(jitter);
        self.role.wait_after_failure(backoff).await;
    }
}
