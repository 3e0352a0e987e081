//! What an entry believes: configuration, versions, targets, places and who waits for one.

mod intake;
mod queue;

pub use queue::{QueueTurn, run_queue};

use super::pool::TargetPool;
use crate::clock;
use crate::direct::facts::AgentConfig;
use crate::direct::metrics::DirectEntryMetrics;
use crate::direct::presence::PresenceRecord;
use crate::direct::settings::{BoundSettings, DirectSettings};
use buckthornwharf_core::direct::{
    CallerLimits, CallerTimeoutEstimate, RetryBudget, RouteTable, SlotScheduler, TargetCatalog,
    WaitTicket,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::StoreClient;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{Notify, oneshot, watch};

/// What an entry believes, shared by its tasks.
pub struct EntryState {
    /// What is counted.
    pub metrics: DirectEntryMetrics,
    started: MonoTime,
    leaving: watch::Receiver<bool>,
    settings: DirectSettings,
    store: StoreClient,
    bounds: RefCell<BoundSettings>,
    routes: RefCell<Option<Rc<RouteTable>>>,
    /// What this entry last had the store hold for agents.
    facts: RefCell<Option<AgentConfig>>,
    catalog: RefCell<TargetCatalog>,
    targets_known: Cell<bool>,
    entries: RefCell<SortedTable<Arc<str>, PresenceRecord>>,
    scheduler: RefCell<SlotScheduler>,
    waiters: RefCell<SortedTable<WaitTicket, oneshot::Sender<QueueTurn>>>,
    budgets: RefCell<SortedTable<ServiceName, RetryBudget>>,
    caller_timeouts: RefCell<SortedTable<RouteName, CallerTimeoutEstimate>>,
    pool: RefCell<TargetPool>,
    queue_changed: Notify,
    open_requests: Cell<usize>,
    idle: Notify,
}

impl EntryState {
    /// The state of an entry that knows nothing yet.
    pub fn new(
        settings: DirectSettings,
        leaving: watch::Receiver<bool>,
        metrics: DirectEntryMetrics,
    ) -> Rc<Self> {
        let sites = settings.region_sites();
        Rc::new(Self {
            metrics,
            started: clock::now(),
            leaving,
            bounds: RefCell::new(settings.bounds.clone()),
            store: StoreClient::new(settings.store),
            settings,
            routes: RefCell::default(),
            facts: RefCell::default(),
            catalog: RefCell::default(),
            targets_known: Cell::new(false),
            entries: RefCell::default(),
            scheduler: RefCell::new(SlotScheduler::new(sites)),
            waiters: RefCell::default(),
            budgets: RefCell::default(),
            caller_timeouts: RefCell::default(),
            pool: RefCell::default(),
            queue_changed: Notify::new(),
            open_requests: Cell::new(0),
            idle: Notify::new(),
        })
    }

    /// Whether the entry takes new connections.
    pub fn is_ready(&self) -> bool {
        self.routes.borrow().is_some() && self.targets_known.get() && !self.is_leaving()
    }

    /// Whether the process was told to leave.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Hears, by false, when the process is told to leave.
    pub fn staying(&self) -> watch::Receiver<bool> {
        let (sender, receiver) = watch::channel(true);
        let mut leaving = self.leaving.clone();
        actix_rt::spawn(async move {
            // An error means that the process ends anyway.
            let _ = leaving.wait_for(|leaving| *leaving).await;
            sender.send_replace(false);
            sender.closed().await;
        });
        receiver
    }

    /// Hears when the process is told to leave.
    pub fn leaving(&self) -> watch::Receiver<bool> {
        self.leaving.clone()
    }

    /// The configuration in force.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// What callers may send.
    pub fn limits(&self) -> CallerLimits {
        let routes = self.routes.borrow();
        routes.as_ref().map(|table| table.config().limits).unwrap_or_default()
    }

    /// Takes in changed bounds.
    pub fn set_bounds(&self, bounds: BoundSettings) {
        self.bounds.replace(bounds);
    }

    /// The idle connections to targets.
    pub fn pool(&self) -> std::cell::RefMut<'_, TargetPool> {
        self.pool.borrow_mut()
    }

    /// Takes in the patience of a caller of `route`; the time since its first try.
    pub fn observe_caller_timeout(
        &self,
        now: MonoTime,
        route: &RouteName,
        timeout: Duration,
    ) -> Duration {
        let mut known = self.caller_timeouts.borrow_mut();
        known
            .get_or_insert_with(route.clone(), CallerTimeoutEstimate::default)
            .observe(now, timeout)
    }

    /// Counts a request of a caller to `service`.
    pub fn count_request(&self, now: MonoTime, service: &ServiceName) {
        self.with_budget(service, |budget| budget.count_request(now));
    }

    /// Spends a retry at `service` if the budget allows it.
    pub fn try_retry(&self, now: MonoTime, service: &ServiceName) -> bool {
        let bounds = self.bounds.borrow();
        let percent = (bounds.retry_ratio * 100.0) as u64;
        let extra = bounds.retry_extra;
        let entries = self.entries.borrow().len().max(1) as u64;
        drop(bounds);
        self.with_budget(service, |budget| budget.try_spend(now, percent, extra, entries))
    }

    fn with_budget<T>(&self, service: &ServiceName, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let window = self.bounds.borrow().retry_window;
        let mut budgets = self.budgets.borrow_mut();
        f(budgets.get_or_insert_with(service.clone(), || RetryBudget::new(window)))
    }

    /// Requests that are being read or answered.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Notes that a request is being read or answered until the guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.open_requests.set(self.open_requests.get() + 1);
        self.metrics.open_requests.inc();
        RequestGuard(self.clone())
    }

    /// Waits until no request is being read or answered.
    pub async fn wait_idle(&self) {
        while self.open_requests.get() > 0 {
            self.idle.notified().await;
        }
    }
}

/// Counts a request as open while it lives.
pub struct RequestGuard(Rc<EntryState>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let open = self.0.open_requests.get() - 1;
        self.0.metrics.open_requests.dec();
        self.0.open_requests.set(open);
        if open == 0 {
            self.0.idle.notify_waiters();
        }
    }
}
