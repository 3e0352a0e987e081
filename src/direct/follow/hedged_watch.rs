//! A watch call that is sent a second time, over a new connection, once its answer is overdue.
//!
//! A connection may go silent without a reset. The answer to a long poll shows that only after the long-poll
//! wait, and the timeout of the call leaves time for a slow store beyond it. The second call tells a silent
//! connection from a slow store sooner.

use crate::clock;
use buckthornwharf_core::direct::{StorePosition, WatchHedge};
use buckthornwharf_platform::{StoreChange, StoreClient, StoreError, WatchCall};
use log::info;
use std::future::pending;

/// The answer to a watch call.
#[derive(Debug)]
pub(super) struct WatchAnswer {
    /// The changes, in order.
    pub(super) changes: Vec<StoreChange>,
    /// The position up to which they are complete.
    pub(super) position: StorePosition,
    /// Whether the answer came later than the store sends one, so that the changes may be older.
    pub(super) is_overdue: bool,
}

/// Sends `call` and, if there is a `hedge` and the answer is overdue, sends it again. Returns the first answer of
/// the store.
///
/// # Errors
///
/// [`StoreError`] as [`StoreClient::watch`]; a second call that the store does not answer is ignored.
pub(super) async fn watch_hedged(
    store: &StoreClient,
    call: WatchCall<'_>,
    hedge: Option<WatchHedge>,
) -> Result<WatchAnswer, StoreError> {
    let sent_at = clock::now();
    let first = store.watch(call);
    let Some(hedge) = hedge else {
        return first.await.map(|answer| WatchAnswer::new(answer, false));
    };
    tokio::pin!(first);
    let answer = match tokio::time::timeout(hedge.overdue_after, &mut first).await {
        Ok(answer) => answer,
        Err(_) => {
            info!("event=watch_overdue prefix={}", call.prefix);
            // What silences one connection probably silences all that are open.
            store.close_idle_connections();
            let second = WatchCall { wait: hedge.long_poll, timeout: hedge.timeout, ..call };
            tokio::select! {
                answer = first => answer,
                answer = watch_answered(store, second) => answer,
            }
        }
    };
    // Also if the process stood still while the answer waited for it.
    let is_overdue = clock::now().since(sent_at) >= hedge.overdue_after;
    answer.map(|answer| WatchAnswer::new(answer, is_overdue))
}

/// Sends `call` and waits forever if the store does not answer it.
async fn watch_answered(
    store: &StoreClient,
    call: WatchCall<'_>,
) -> Result<(Vec<StoreChange>, StorePosition), StoreError> {
    match store.watch(call).await {
        Err(StoreError::Unreachable(_) | StoreError::Refused(_)) => pending().await,
        answer => answer,
    }
}

impl WatchAnswer {
    fn new((changes, position): (Vec<StoreChange>, StorePosition), is_overdue: bool) -> Self {
        Self { changes, position, is_overdue }
    }
}
