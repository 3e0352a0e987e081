//! Applies the budget of a process to its inbound connections.

use actix_http::header::{AUTHORIZATION, HeaderMap};
use buckthornwharf_core::direct::memory::{
    AdmittedConnection, BudgetLimits, CONNECTION_BYTES, ConnectionKind, HolderId, HolderPhase,
    MemoryBudget,
};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::hash::{BuildHasher, RandomState};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Time that a request waits for memory before room is made for it. Requests that are about to be complete
/// free theirs within it.
const ROOM_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time that a request waits for memory; short, so that the caller can retry in time.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(1000);

/// The connection has to be closed because the memory or the connections of the process are used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evicted;

/// The budget of a process for the connections that others open to it.
#[derive(Debug)]
pub struct ProcessMemory {
    /// `None` if the process is not bounded.
    budget: Option<RefCell<MemoryBudget>>,
    /// Signals of the open connections, by the index of their [`HolderId`].
    signals: RefCell<Vec<Option<Rc<EvictionSignal>>>>,
    /// Notified when memory becomes free.
    freed: Notify,
    hasher: RandomState,
}

/// Tells a connection that it has to be closed for others.
#[derive(Debug, Default)]
struct EvictionSignal {
    is_evicted: Cell<bool>,
    notify: Notify,
}

impl ProcessMemory {
    /// Creates the budget; without limits, the process is not bounded.
    pub fn new(limits: Option<BudgetLimits>) -> Rc<Self> {
        Rc::new(Self {
            budget: limits.map(|limits| RefCell::new(MemoryBudget::new(limits))),
            signals: RefCell::default(),
            freed: Notify::new(),
            hasher: RandomState::new(),
        })
    }

    /// Returns whether the process is bounded.
    pub fn is_bounded(&self) -> bool {
        self.budget.is_some()
    }

    /// Returns the bytes that all connections hold together; 0 if the process is not bounded.
    pub fn held_bytes(&self) -> usize {
        self.budget.as_ref().map_or(0, |budget| budget.borrow().held_bytes())
    }

    /// Returns the number of open connections; 0 if the process is not bounded.
    pub fn connections(&self) -> usize {
        self.budget.as_ref().map_or(0, |budget| budget.borrow().connections())
    }

    /// Returns whether there are as many connections as callers may have, so that one is closed for each new one.
    pub fn is_at_caller_limit(&self) -> bool {
        self.budget.as_ref().is_some_and(|budget| budget.borrow().is_at_caller_limit())
    }

    /// Admits a connection from `source`. Another one may be evicted for it.
    ///
    /// # Errors
    ///
    /// [`Evicted`] if there is no room for it.
    pub fn admit(
        self: &Rc<Self>,
        kind: ConnectionKind,
        source: IpAddr,
    ) -> Result<ConnectionMemory, Evicted> {
        let Some(budget) = &self.budget else { return Ok(ConnectionMemory(None)) };
        let opened = budget.borrow_mut().open(kind, source);
        let AdmittedConnection { id, victim } = opened.ok_or(Evicted)?;
        victim.into_iter().for_each(|victim| self.evict(victim));
        let signal = Rc::new(EvictionSignal::default());
        let mut signals = self.signals.borrow_mut();
        if signals.len() <= id.index() {
            signals.resize(id.index() + 1, None);
        }
        signals[id.index()] = Some(signal.clone());
        Ok(ConnectionMemory(Some(Account { process: self.clone(), id, signal })))
    }

    /// Tells the connection `id` that it has to be closed.
    fn evict(&self, id: HolderId) {
        if let Some(signal) = &self.signals.borrow()[id.index()] {
            signal.is_evicted.set(true);
            signal.notify.notify_one();
        }
    }
}

/// A connection that the budget counts; it is released on drop.
struct Account {
    process: Rc<ProcessMemory>,
    id: HolderId,
    signal: Rc<EvictionSignal>,
}

impl Account {
    /// Calls `f` with the budget; `None` if the process is not bounded.
    fn with_budget<T>(&self, f: impl FnOnce(&mut MemoryBudget) -> T) -> Option<T> {
        self.process.budget.as_ref().map(|budget| f(&mut budget.borrow_mut()))
    }

    /// Holds `bytes` in total instead of what is held now, and returns whether there is room for them. Wakes a
    /// connection that waits for room if this is less than before.
    fn try_hold(&self, bytes: usize) -> bool {
        let held = self.with_budget(|budget| {
            let before = budget.held_bytes();
            budget.try_hold(self.id, bytes).then_some(budget.held_bytes() < before)
        });
        match held {
            Some(Some(true)) => self.process.freed.notify_one(),
            Some(None) => return false,
            _ => {}
        }
        true
    }

    async fn wait_evicted(&self) {
        while !self.signal.is_evicted.get() {
            self.signal.notify.notified().await;
        }
    }

    async fn wait_for_room(&self, bytes: usize) -> Result<(), Evicted> {
        let give_up_at = Instant::now() + MAX_ROOM_WAIT;
        let mut make_room_at = Instant::now() + ROOM_INTERVAL;
        loop {
            let woken = tokio::select! {
                biased;
                () = self.wait_evicted() => return Err(Evicted),
                woken = timeout_at(make_room_at, self.process.freed.notified()) => woken,
            };
            if self.try_hold(bytes) {
                // There may be room for the next one as well.
                self.process.freed.notify_one();
                return Ok(());
            }
            if woken.is_err() {
                if Instant::now() >= give_up_at {
                    return Err(Evicted);
                }
                make_room_at = Instant::now() + ROOM_INTERVAL;
                let victims = self.with_budget(|budget| budget.make_room(self.id, bytes));
                victims.into_iter().flatten().for_each(|victim| self.process.evict(victim));
            }
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.process.signals.borrow_mut()[self.id.index()] = None;
        self.with_budget(|budget| budget.close(self.id));
        self.process.freed.notify_one();
    }
}

/// What one connection holds of the budget; released on drop. Without an account, it is not bounded.
#[derive(Default)]
pub struct ConnectionMemory(Option<Account>);

impl fmt::Debug for ConnectionMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionMemory").field("is_bounded", &self.0.is_some()).finish()
    }
}

impl ConnectionMemory {
    /// Holds `bytes` in addition to the connection itself, and returns whether there is room for them.
    pub fn try_hold(&self, bytes: usize) -> bool {
        self.0.as_ref().is_none_or(|account| account.try_hold(CONNECTION_BYTES + bytes))
    }

    /// Counts `bytes` that are already in use, in addition to the connection itself, whether or not there is room.
    pub fn count(&self, bytes: usize) {
        if let Some(account) = &self.0 {
            account.with_budget(|budget| budget.count(account.id, CONNECTION_BYTES + bytes));
        }
    }

    /// Records what the connection is doing.
    pub fn set_phase(&self, phase: HolderPhase) {
        if let Some(account) = &self.0 {
            account.with_budget(|budget| budget.set_phase(account.id, phase));
        }
    }

    /// Records the key of the request that is being read. Room is made at the cost of the key that holds most; the
    /// hash is random for each process, so that callers cannot choose equal ones.
    pub fn set_key(&self, headers: &HeaderMap) {
        if let Some(account) = &self.0
            && let Some(key) = headers.get(AUTHORIZATION)
        {
            let hash = account.process.hasher.hash_one(key.as_bytes());
            account.with_budget(|budget| budget.set_key(account.id, hash));
        }
    }

    /// Holds `bytes` in addition to the connection itself, and waits until there is room. The caller must not
    /// read meanwhile.
    ///
    /// # Errors
    ///
    /// [`Evicted`] if there is no room in time, or if the connection has to make room for others.
    pub async fn hold(&self, bytes: usize) -> Result<(), Evicted> {
        let Some(account) = &self.0 else { return Ok(()) };
        if account.signal.is_evicted.get() {
            return Err(Evicted);
        }
        match account.try_hold(CONNECTION_BYTES + bytes) {
            true => Ok(()),
            false => account.wait_for_room(CONNECTION_BYTES + bytes).await,
        }
    }

    /// Waits until the connection has to be closed. Cancel-safe.
    pub async fn evicted(&self) {
        match &self.0 {
            Some(account) => account.wait_evicted().await,
            None => std::future::pending().await,
        }
    }
}
