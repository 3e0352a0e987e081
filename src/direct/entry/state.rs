//! State of an entry: configuration, versions, targets, slots and requests that wait for a slot.

mod crashes;
mod drain;
mod evacuation;
mod gauges;
mod notices;
mod placement;
mod queue;
mod speed;
mod updates;

pub use crashes::cause_list;
pub use gauges::run_gauges;
pub use queue::{QueueDecision, ReservedSlot, run_demand, run_queue};

use super::pool::ConnectionPool;
use crate::direct::facts::AgentConfig;
use crate::direct::inbound_guard::InboundGuard;
use crate::direct::metrics::DirectEntryMetrics;
use crate::direct::news::VersionNews;
use crate::direct::presence::PresenceRecord;
use crate::direct::settings::{BoundSettings, DirectSettings};
use buckthornwharf_core::direct::slots::EntryRegions;
use buckthornwharf_core::direct::{
    CallerLimits, CallerTimeoutEstimate, ClassDemand, CrashLedger, EvacuationReader, GuiltyGroup,
    RetryAllowance, RetryBudget, RouteTable, SlotScheduler, TargetCatalog, WaitTicket,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::StoreClient;
use crashes::BrokenRequests;
use drain::DrainState;
use evacuation::EvacuationAge;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{Notify, oneshot, watch};

/// State of an entry, shared by its tasks.
pub struct EntryState {
    /// The entry's metrics.
    pub metrics: DirectEntryMetrics,
    /// Bounds the connections that others open to this process.
    pub guard: Rc<InboundGuard>,
    shutdown: watch::Receiver<bool>,
    settings: DirectSettings,
    store: StoreClient,
    bounds: RefCell<BoundSettings>,
    /// The declared versions, for agents.
    news: watch::Sender<VersionNews>,
    routes: RefCell<Option<Rc<RouteTable>>>,
    /// The configuration for agents that this entry last wrote to the store.
    published_config: RefCell<Option<AgentConfig>>,
    catalog: RefCell<TargetCatalog>,
    targets_listed: Cell<bool>,
    /// Whether the versions that were declared before the entry started are known.
    versions_listed: Cell<bool>,
    entries: RefCell<SortedTable<Arc<str>, PresenceRecord>>,
    scheduler: RefCell<SlotScheduler>,
    /// The entry's demand, for agents.
    demand: watch::Sender<ClassDemand>,
    waiters: RefCell<SortedTable<WaitTicket, oneshot::Sender<QueueDecision>>>,
    retry_budgets: RefCell<SortedTable<ServiceName, RetryBudget>>,
    caller_timeouts: RefCell<SortedTable<RouteName, CallerTimeoutEstimate>>,
    crash_ledger: RefCell<CrashLedger>,
    /// The causes that are refused, as last logged.
    guilty_causes: RefCell<Vec<GuiltyGroup>>,
    crash_news: Notify,
    broken_requests: RefCell<SortedTable<Arc<str>, BrokenRequests>>,
    /// The evacuated sites as read by this entry's watch of the store.
    evacuation_reader: RefCell<EvacuationReader>,
    evacuation_age: Cell<EvacuationAge>,
    pool: RefCell<ConnectionPool>,
    queue_changed: Notify,
    open_requests: Cell<usize>,
    no_open_requests: Notify,
    drain: DrainState,
}

impl EntryState {
    /// Creates the state of an entry that has neither configuration nor targets yet.
    pub fn new(
        settings: DirectSettings,
        shutdown: watch::Receiver<bool>,
        metrics: DirectEntryMetrics,
        guard: Rc<InboundGuard>,
    ) -> Rc<Self> {
        let sites = settings.regions.clone().into_iter().collect();
        let regions = EntryRegions::new(settings.region(), sites);
        let mut scheduler = SlotScheduler::new(regions).with_fair_queue(settings.fair_queue);
        if settings.learned_limits {
            scheduler.enable_learned_limits(rand::random());
        }
        Rc::new(Self {
            metrics,
            guard,
            shutdown,
            bounds: RefCell::new(settings.bounds.clone()),
            store: StoreClient::new(settings.store),
            demand: watch::channel(ClassDemand::default()).0,
            settings,
            news: watch::channel(VersionNews::default()).0,
            routes: RefCell::default(),
            published_config: RefCell::default(),
            catalog: RefCell::default(),
            targets_listed: Cell::new(false),
            versions_listed: Cell::new(false),
            entries: RefCell::default(),
            scheduler: RefCell::new(scheduler),
            waiters: RefCell::default(),
            retry_budgets: RefCell::default(),
            caller_timeouts: RefCell::default(),
            crash_ledger: RefCell::new(CrashLedger::new(rand::random())),
            guilty_causes: RefCell::default(),
            crash_news: Notify::new(),
            broken_requests: RefCell::default(),
            evacuation_reader: RefCell::default(),
            evacuation_age: Cell::default(),
            pool: RefCell::default(),
            queue_changed: Notify::new(),
            open_requests: Cell::new(0),
            no_open_requests: Notify::new(),
            drain: DrainState::default(),
        })
    }

    /// Returns whether the entry is ready for connections: it has a configuration and the list of targets,
    /// and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.routes.borrow().is_some() && self.targets_listed.get() && !self.is_shutting_down()
    }

    /// Returns the host that the entry runs on.
    pub fn host(&self) -> &HostName {
        &self.settings.host
    }

    /// Returns whether the process has received a shutdown signal.
    pub fn is_shutting_down(&self) -> bool {
        *self.shutdown.borrow()
    }

    /// Returns a receiver whose value becomes false at the shutdown signal.
    pub fn running(&self) -> watch::Receiver<bool> {
        let (sender, receiver) = watch::channel(true);
        let mut shutdown = self.shutdown.clone();
        actix_rt::spawn(async move {
            // An error means that the sender is gone, so the process ends anyway.
            let _ = shutdown.wait_for(|shutdown| *shutdown).await;
            sender.send_replace(false);
            sender.closed().await;
        });
        receiver
    }

    /// Returns a receiver whose value becomes true at the shutdown signal.
    pub fn shutdown(&self) -> watch::Receiver<bool> {
        self.shutdown.clone()
    }

    /// Subscribes to the declared versions that the entry knows.
    pub fn subscribe_news(&self) -> watch::Receiver<VersionNews> {
        self.news.subscribe()
    }

    /// Subscribes to the demand of the entry; `None` if entries share targets equally.
    pub fn subscribe_demand(&self) -> Option<watch::Receiver<ClassDemand>> {
        self.settings.fair_queue.then(|| self.demand.subscribe())
    }

    /// Returns the routes of the active configuration; `None` before the first.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Returns the limits for callers' requests; the defaults before the first configuration.
    pub fn limits(&self) -> CallerLimits {
        let routes = self.routes.borrow();
        routes.as_ref().map(|table| table.config().limits).unwrap_or_default()
    }

    /// Returns the time from the shutdown signal to the kill, by the newest settings.
    pub fn grace(&self) -> Duration {
        self.bounds.borrow().grace
    }

    /// Replaces the bounds after the settings were reloaded.
    pub fn set_bounds(&self, bounds: BoundSettings) {
        self.bounds.replace(bounds);
    }

    /// Returns the pool of idle connections to targets.
    pub fn pool(&self) -> std::cell::RefMut<'_, ConnectionPool> {
        self.pool.borrow_mut()
    }

    /// Records the timeout sent by a caller of `route`, and returns the estimated time since the caller's
    /// first try.
    pub fn observe_caller_timeout(
        &self,
        now: MonoTime,
        route: &RouteName,
        timeout: Duration,
    ) -> Duration {
        let mut estimates = self.caller_timeouts.borrow_mut();
        estimates
            .get_or_insert_with(route.clone(), CallerTimeoutEstimate::default)
            .observe(now, timeout)
    }

    /// Counts a caller's request to `service`, for the retry budget.
    pub fn count_request(&self, now: MonoTime, service: &ServiceName) {
        self.with_retry_budget(service, |budget| budget.count_request(now));
    }

    /// Spends a retry at `service` and returns true if the retry budget allows it.
    pub fn try_retry(&self, now: MonoTime, service: &ServiceName) -> bool {
        let allowance = self.retry_allowance();
        self.with_retry_budget(service, |budget| budget.try_spend(now, allowance))
    }

    /// Returns whether the retry budget allows a retry at `service`.
    pub fn has_retry(&self, now: MonoTime, service: &ServiceName) -> bool {
        let allowance = self.retry_allowance();
        self.with_retry_budget(service, |budget| budget.has_retry(now, allowance))
    }

    fn retry_allowance(&self) -> RetryAllowance {
        let bounds = self.bounds.borrow();
        RetryAllowance {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_extra,
            entries: self.entries.borrow().len() as u64,
        }
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let window = self.bounds.borrow().retry_window;
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        f(retry_budgets.get_or_insert_with(service.clone(), || RetryBudget::new(window)))
    }

    /// Returns the number of open requests: those being read or responded to, and new connections that
    /// wait for their first one.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Counts a request as open until the returned guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.open_requests.set(self.open_requests.get() + 1);
        self.metrics.open_requests.inc();
        RequestGuard(self.clone())
    }

    /// Waits until no request is open.
    pub async fn wait_idle(&self) {
        while self.open_requests.get() > 0 {
            self.no_open_requests.notified().await;
        }
    }
}

/// Keeps a request counted as open until it is dropped.
pub struct RequestGuard(Rc<EntryState>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let open = self.0.open_requests.get() - 1;
        self.0.metrics.open_requests.dec();
        self.0.open_requests.set(open);
        if open == 0 {
            self.0.no_open_requests.notify_waiters();
        }
    }
}
