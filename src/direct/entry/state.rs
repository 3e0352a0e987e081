//! What an entry believes: configuration, versions, targets, places and who waits for one.

use super::pool::TargetPool;
use crate::clock;
use crate::direct::facts::{self, FleetFacts};
use crate::direct::follow::FollowEvent;
use crate::direct::loads::LoadMessage;
use crate::direct::metrics::DirectEntryMetrics;
use crate::direct::presence::PresenceRecord;
use crate::direct::settings::{BoundSettings, DirectSettings};
use buckthornwharf_core::direct::places::{EntryShare, PlaceOutcome};
use buckthornwharf_core::direct::{
    Admission, CallerLimits, DeclaredVersion, LoadedModel, PlaceBook, PlaceGrant, PlaceRequest,
    PlaceTicket, RetryBudget, RouteTable, TargetCatalog, UsualPatience,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::{StoreChange, StoreClient, StoreItem, keys, registry, serving};
use log::{info, warn};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{Notify, oneshot, watch};

/// Time before the end of an old version from which requests go only to the new one; covers the
/// time until a request that was sent begins to run.
const VERSION_MARGIN: Duration = Duration::from_millis(900);
/// Time after which a version that was declared before the entry started is the only one used.
const BOOT_VERSION_TIME: Duration = Duration::from_millis(1500);
/// Pause between looks at the queue while requests wait, at least.
const QUEUE_PAUSE: Duration = Duration::from_millis(4);

/// What becomes of a waiting request.
#[derive(Debug)]
pub enum QueueTurn {
    /// It got a place.
    Place(PlaceGrant),
    /// It cannot be served in time; the caller may come back after the span.
    Refused(Duration),
}

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
    catalog: RefCell<TargetCatalog>,
    targets_known: Cell<bool>,
    entries: RefCell<SortedTable<Arc<str>, PresenceRecord>>,
    places: RefCell<PlaceBook>,
    waiters: RefCell<SortedTable<PlaceTicket, oneshot::Sender<QueueTurn>>>,
    budgets: RefCell<SortedTable<ServiceName, RetryBudget>>,
    patience: RefCell<SortedTable<RouteName, UsualPatience>>,
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
            catalog: RefCell::default(),
            targets_known: Cell::new(false),
            entries: RefCell::default(),
            places: RefCell::new(PlaceBook::new(sites)),
            waiters: RefCell::default(),
            budgets: RefCell::default(),
            patience: RefCell::default(),
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

    /// Takes in what the operator wrote.
    pub fn take_operator(&self, event: FollowEvent) {
        let now = clock::now();
        match event {
            FollowEvent::Listed(items) => {
                items.iter().for_each(|item| self.take_operator_item(now, item, true));
            }
            FollowEvent::Changed(changes) => {
                for change in &changes {
                    if let StoreChange::Put(item) = change {
                        self.take_operator_item(now, item, false);
                    }
                }
            }
            FollowEvent::Returned => {}
        }
    }

    fn take_operator_item(&self, now: MonoTime, item: &StoreItem, listed: bool) {
        if &*item.key == keys::CONFIG {
            match serving::read_config(&item.value) {
                Ok(config) => self.set_config(config, item.revision),
                Err(error) => {
                    warn!("event=bad_config revision={} reason=\"{error}\"", item.revision)
                }
            }
        } else if item.key.starts_with(keys::VERSIONS) {
            match serving::read_version(&item.value) {
                Ok(version) => self.set_version(now, version, listed),
                Err(error) => warn!("event=bad_version key={} reason=\"{error}\"", item.key),
            }
        }
    }

    fn set_config(&self, config: buckthornwharf_core::direct::ServingConfig, revision: u64) {
        let mut routes = self.routes.borrow_mut();
        let known = routes.as_ref().map_or(0, |table| table.config().generation);
        if config.generation <= known {
            return;
        }
        let generation = config.generation;
        info!(
            "event=config generation={generation} revision={revision} before={known} routes={}",
            config.routes.len()
        );
        let mut places = self.places.borrow_mut();
        for service in &config.services {
            let rate = service.engine.as_ref().and_then(|shape| shape.prompt_tokens_per_second);
            if let Some(rate) = rate {
                places.set_reading_rate(&service.name, rate);
            }
        }
        drop(places);
        self.metrics.generation.set(i64::try_from(generation).unwrap_or(i64::MAX));
        actix_rt::spawn(facts::publish(self.store.clone(), FleetFacts::of(&config)));
        *routes = Some(Rc::new(RouteTable::new(Arc::new(config))));
    }

    fn set_version(&self, now: MonoTime, declared: LoadedModel, listed: bool) {
        let early = listed && now.since(self.started) < BOOT_VERSION_TIME;
        let allowed = match early {
            true => BOOT_VERSION_TIME,
            false => self.bounds.borrow().version_time.saturating_sub(VERSION_MARGIN),
        };
        let version = declared.version;
        let entry = DeclaredVersion { version, declared_at: now, only_from: now + allowed };
        if self.places.borrow_mut().declare(&declared.model, entry) {
            info!("event=version model={} version={version}", declared.model);
        }
    }

    /// Takes in what targets said of themselves.
    pub fn take_targets(&self, now: MonoTime, event: FollowEvent) {
        let mut catalog = self.catalog.borrow_mut();
        match event {
            FollowEvent::Returned => catalog.registry_returned(now),
            FollowEvent::Listed(items) => {
                catalog.replace(now, items.iter().filter_map(read_target).collect());
                self.targets_known.set(true);
            }
            FollowEvent::Changed(changes) => {
                for change in changes {
                    take_target_change(&mut catalog, now, change);
                }
            }
        }
        drop(catalog);
        self.refresh_targets();
    }

    fn refresh_targets(&self) {
        let catalog = self.catalog.borrow();
        self.metrics.targets.set(catalog.iter().count() as i64);
        self.places.borrow_mut().set_targets(catalog.iter());
        self.pool.borrow_mut().retain(|id| catalog.get(id).is_some());
        drop(catalog);
        // A target that may yet come back has a time at which it is gone.
        self.queue_changed.notify_one();
        self.serve_queue();
    }

    /// Takes in what an agent says of the load of its engine.
    pub fn take_load(&self, now: MonoTime, load: LoadMessage) {
        let catalog = self.catalog.borrow();
        let Some(target) = catalog.iter().find(|target| target.address == load.engine) else {
            return;
        };
        self.places.borrow_mut().set_load(now, &target.id, load.requests, load.accepting);
        drop(catalog);
        self.serve_queue();
    }

    /// Takes in which entries are live.
    pub fn take_entries(&self, event: FollowEvent) {
        let mut entries = self.entries.borrow_mut();
        match event {
            FollowEvent::Returned => {}
            FollowEvent::Listed(items) => {
                *entries = SortedTable::new();
                for item in items {
                    if let Some(record) = PresenceRecord::read(&item.key, &item.value) {
                        entries.insert(item.key, record);
                    }
                }
            }
            FollowEvent::Changed(changes) => {
                for change in changes {
                    match change {
                        StoreChange::Removed { key, .. } => drop(entries.remove(&key)),
                        StoreChange::Put(item) => {
                            if let Some(record) = PresenceRecord::read(&item.key, &item.value) {
                                entries.insert(item.key, record);
                            }
                        }
                    }
                }
            }
        }
        let region = self.settings.region();
        let others = || entries.values().filter(|record| record.host != self.settings.host);
        let near = others().filter(|record| record.region == region).count();
        let share = EntryShare { entries: 1 + others().count() as u32, in_region: 1 + near as u32 };
        info!("event=entries live={} in_region={}", share.entries, share.in_region);
        self.metrics.entries.set(i64::from(share.entries));
        self.places.borrow_mut().set_share(share);
    }

    /// Asks for a place; a waiting request hears on the receiver.
    pub fn request_place(
        &self,
        now: MonoTime,
        request: PlaceRequest,
    ) -> Result<QueueTurn, (PlaceTicket, oneshot::Receiver<QueueTurn>)> {
        match self.places.borrow_mut().request(now, request) {
            Admission::Place(grant) => Ok(QueueTurn::Place(grant)),
            Admission::Refuse(after) => Ok(QueueTurn::Refused(after)),
            Admission::Wait(ticket) => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.borrow_mut().insert(ticket, sender);
                self.metrics.waiting.inc();
                self.queue_changed.notify_one();
                Err((ticket, receiver))
            }
        }
    }

    /// Takes a waiting request out of the queue.
    pub fn cancel_place(&self, ticket: PlaceTicket) {
        self.waiters.borrow_mut().remove(&ticket);
        self.metrics.waiting.set(self.waiters.borrow().len() as i64);
        self.places.borrow_mut().cancel(ticket);
    }

    /// Notes that a target has read a prompt of `tokens`.
    pub fn prompt_read(&self, id: &str, tokens: u32) {
        self.places.borrow_mut().prompt_read(id, tokens);
        self.serve_queue();
    }

    /// Gives a place back.
    pub fn release_place(&self, id: &str, outcome: PlaceOutcome) {
        self.places.borrow_mut().release(clock::now(), id, outcome);
        self.serve_queue();
    }

    /// Hands out free places and refuses requests that waited too long.
    fn serve_queue(&self) {
        let now = clock::now();
        let mut places = self.places.borrow_mut();
        if places.waiting() == 0 {
            return;
        }
        let granted = places.grants(now);
        let expired = places.expire(now);
        drop(places);
        let mut waiters = self.waiters.borrow_mut();
        let mut unheard = Vec::new();
        for (ticket, grant) in granted {
            let id = grant.target.id.clone();
            let heard = waiters.remove(&ticket).map(|sender| sender.send(QueueTurn::Place(grant)));
            if !matches!(heard, Some(Ok(()))) {
                unheard.push(id);
            }
        }
        for (ticket, after) in expired {
            if let Some(sender) = waiters.remove(&ticket) {
                // A caller that has left does not hear it.
                let _ = sender.send(QueueTurn::Refused(after));
            }
        }
        self.metrics.waiting.set(waiters.len() as i64);
        drop(waiters);
        for id in unheard {
            self.places.borrow_mut().release(now, &id, PlaceOutcome::Answered);
        }
    }

    /// The idle connections to targets.
    pub fn pool(&self) -> std::cell::RefMut<'_, TargetPool> {
        self.pool.borrow_mut()
    }

    /// Takes in the patience of a caller of `route`; the time since its first try.
    pub fn take_patience(&self, now: MonoTime, route: &RouteName, patience: Duration) -> Duration {
        let mut known = self.patience.borrow_mut();
        known.get_or_insert_with(route.clone(), UsualPatience::default).take(now, patience)
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

    fn next_wake(&self) -> Option<MonoTime> {
        let queue = self.places.borrow().next_wake();
        let expiry = self.catalog.borrow().next_expiry();
        queue.into_iter().chain(expiry).min()
    }

    fn expire_targets(&self, now: MonoTime) {
        let gone = self.catalog.borrow_mut().expire(now);
        if !gone.is_empty() {
            info!("event=targets_gone count={} reason=not_back_after_outage", gone.len());
            self.refresh_targets();
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

/// Hands out places and expires what is due, for the rest of the process.
pub async fn run_queue(state: Rc<EntryState>) {
    loop {
        let now = clock::now();
        let wake = state.next_wake();
        let pause = wake.map(|wake| wake.since(now).max(QUEUE_PAUSE));
        tokio::select! {
            () = state.queue_changed.notified() => {}
            () = sleep_for(pause) => {}
        }
        state.expire_targets(clock::now());
        state.serve_queue();
    }
}

async fn sleep_for(pause: Option<Duration>) {
    match pause {
        Some(pause) => actix_rt::time::sleep(pause).await,
        None => std::future::pending().await,
    }
}

fn read_target(item: &StoreItem) -> Option<buckthornwharf_core::direct::TargetRecord> {
    match registry::read_target(&item.key, &item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            warn!("event=bad_target key={} reason=\"{error}\"", item.key);
            None
        }
    }
}

fn take_target_change(catalog: &mut TargetCatalog, now: MonoTime, change: StoreChange) {
    match change {
        StoreChange::Put(item) => match read_target(&item) {
            Some(record) => {
                info!(
                    "event=target id={} phase={} models={:?} revision={}",
                    record.id,
                    record.phase,
                    record.models.iter().map(|model| model.version).collect::<Vec<u64>>(),
                    item.revision
                );
                catalog.put(record);
            }
            // What cannot be read names no target to use.
            None => drop(registry::target_id(&item.key).map(|id| catalog.remove(now, id))),
        },
        StoreChange::Removed { key, revision } => {
            if let Some(id) = registry::target_id(&key) {
                let gone = catalog.remove(now, id);
                info!("event=target_removed id={id} at_once={gone} revision={revision}");
            }
        }
    }
}
