//! A watch whose calls are sent a second time, over a new connection, once their answer is overdue.
//!
//! A connection may go silent without a reset. The answer to a long poll shows that only after the long-poll
//! wait, and the timeout of the call leaves time for a slow store beyond it. The second call tells a silent
//! connection from a slow store sooner.

use crate::clock;
use buckthornwharf_core::direct::{StorePosition, WatchHedge};
use buckthornwharf_core::prelude::*;
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
    /// The time of the previous answer if this one was overdue: the changes may have been made since then.
    pub(super) overdue_since: Option<MonoTime>,
}

/// A watch, as one call after the other.
#[derive(Debug)]
pub(super) struct HedgedWatch<'a> {
    store: &'a StoreClient,
    /// When the store answered last.
    answered_at: MonoTime,
}

impl<'a> HedgedWatch<'a> {
    /// Creates a watch that follows an answer of the store which has just arrived.
    pub(super) fn new(store: &'a StoreClient) -> Self {
        Self { store, answered_at: clock::now() }
    }

    /// Sends `call` and, if there is a `hedge` and the answer is overdue, sends it again. Returns the first
    /// answer of the store.
    ///
    /// # Errors
    ///
    /// [`StoreError`] as [`StoreClient::watch`]; a second call that the store does not answer is ignored.
    pub(super) async fn call(
        &mut self,
        call: WatchCall<'_>,
        hedge: Option<WatchHedge>,
    ) -> Result<WatchAnswer, StoreError> {
        let sent_at = clock::now();
        let (changes, position) = match hedge {
            Some(hedge) => watch_hedged(self.store, call, hedge).await?,
            None => self.store.watch(call).await?,
        };
        let previous = std::mem::replace(&mut self.answered_at, clock::now());
        // Also if the process stood still while the answer waited for it.
        let is_overdue =
            hedge.is_some_and(|hedge| self.answered_at.since(sent_at) >= hedge.overdue_after);
        Ok(WatchAnswer { changes, position, overdue_since: is_overdue.then_some(previous) })
    }
}

async fn watch_hedged(
    store: &StoreClient,
    call: WatchCall<'_>,
    hedge: WatchHedge,
) -> Result<(Vec<StoreChange>, StorePosition), StoreError> {
    let first = store.watch(call);
    tokio::pin!(first);
    if let Ok(answer) = tokio::time::timeout(hedge.overdue_after, &mut first).await {
        return answer;
    }
    info!("event=watch_overdue prefix={}", call.prefix);
    // What silences one connection probably silences all that are open.
    store.close_idle_connections();
    let second = WatchCall { wait: hedge.long_poll, timeout: hedge.timeout, ..call };
    tokio::select! {
        answer = first => answer,
        answer = watch_answered(store, second) => answer,
    }
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
