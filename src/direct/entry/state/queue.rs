//! Queue of the requests that wait for a slot at a target.

use super::EntryState;
use crate::clock;
use crate::direct::demand::{MEASURE_INTERVAL, differs};
use buckthornwharf_core::direct::slots::{SlotOutcome, SlotPreview};
use buckthornwharf_core::direct::{Admission, CallerTime, SlotGrant, SlotRequest, WaitTicket};
use buckthornwharf_core::prelude::*;
use log::info;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Shortest delay until a scheduled check of the queue.
const MIN_QUEUE_INTERVAL: Duration = Duration::from_millis(4);

/// Decision on a request for a slot.
#[derive(Debug)]
pub enum QueueDecision {
    /// The request got a slot.
    Granted(SlotGrant),
    /// The request cannot be served in time; the caller may retry after this time.
    Refused(Duration),
}

/// A request that waits for a slot. It leaves the queue when it is dropped.
pub struct PendingSlot<'a> {
    state: &'a EntryState,
    ticket: WaitTicket,
    decision: oneshot::Receiver<QueueDecision>,
    is_decided: bool,
}

impl PendingSlot<'_> {
    /// Waits for the decision; `None` if the queue has dropped the request. Cancel-safe.
    pub async fn decided(&mut self) -> Option<QueueDecision> {
        let decision = (&mut self.decision).await.ok();
        self.is_decided = true;
        decision
    }
}

impl Drop for PendingSlot<'_> {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        self.state.cancel_slot_request(self.ticket);
        // The slot may have been granted at the same moment; nothing else would release it.
        if let Ok(QueueDecision::Granted(grant)) = self.decision.try_recv() {
            self.state.release_unused_slot(&grant);
        }
    }
}

/// A slot that is released unused when it is dropped, unless it is taken.
pub struct ReservedSlot {
    state: Rc<EntryState>,
    grant: Option<SlotGrant>,
}

impl ReservedSlot {
    /// Takes the slot, which the caller has to release.
    pub fn take(mut self) -> Option<SlotGrant> {
        self.grant.take()
    }
}

impl Drop for ReservedSlot {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            self.state.release_unused_slot(&grant);
        }
    }
}

impl EntryState {
    /// Requests a slot for a request of `caller`. If the request is queued, returns the pending slot as the error.
    pub fn request_slot(
        &self,
        now: MonoTime,
        request: SlotRequest,
        caller: CallerTime,
    ) -> Result<QueueDecision, PendingSlot<'_>> {
        match self.scheduler.borrow_mut().request_from(now, request, caller) {
            Admission::Granted(grant) => Ok(QueueDecision::Granted(grant)),
            Admission::Refused(retry_after) => Ok(QueueDecision::Refused(retry_after)),
            Admission::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.borrow_mut().insert(ticket, sender);
                self.metrics.waiting_requests.inc();
                self.queue_changed.notify_one();
                Err(PendingSlot { state: self, ticket, decision: receiver, is_decided: false })
            }
        }
    }

    /// Returns what would happen to a request of `caller` if it arrived now.
    pub fn preview_slot(
        &self,
        now: MonoTime,
        request: &SlotRequest,
        caller: CallerTime,
    ) -> SlotPreview {
        self.scheduler.borrow().preview(now, request, caller)
    }

    /// Removes a waiting request from the queue.
    fn cancel_slot_request(&self, ticket: WaitTicket) {
        self.waiters.borrow_mut().remove(&ticket);
        self.metrics.waiting_requests.set(self.waiters.borrow().len() as i64);
        self.scheduler.borrow_mut().cancel(ticket);
    }

    /// Returns whether the load reports of target `id` have stopped.
    pub fn is_silent(&self, now: MonoTime, id: &str) -> bool {
        self.scheduler.borrow().is_silent(now, id)
    }

    /// Waits for a slot at a target that reports its load; `None` if the request is refused. Cancel-safe.
    pub async fn reserve_reporting(
        self: &Rc<Self>,
        mut request: SlotRequest,
    ) -> Option<ReservedSlot> {
        let now = clock::now();
        request.tried.extend(self.scheduler.borrow().silent_targets(now));
        let caller = CallerTime { returned: true, ..CallerTime::default() };
        let decision = match self.request_slot(now, request, caller) {
            Ok(decision) => decision,
            Err(mut pending) => pending.decided().await?,
        };
        match decision {
            QueueDecision::Granted(grant) => {
                Some(ReservedSlot { state: self.clone(), grant: Some(grant) })
            }
            QueueDecision::Refused(_) => None,
        }
    }

    /// Records that the response to the request with this slot will never begin.
    pub fn prefill_ended(&self, grant: &SlotGrant) {
        self.scheduler.borrow_mut().prefill_ended(clock::now(), grant);
        self.serve_queue();
    }

    /// Records that the response to the request with this slot has begun.
    pub fn prefill_done(&self, grant: &SlotGrant) {
        self.scheduler.borrow_mut().prefill_done(clock::now(), grant);
        self.serve_queue();
    }

    /// Releases the slot of a request that was not sent.
    pub fn release_unused_slot(&self, grant: &SlotGrant) {
        self.scheduler.borrow_mut().release_unused(clock::now(), grant);
        self.serve_queue();
    }

    /// Releases the slot of a request that was not sent, and whose prompt is no longer pending.
    pub fn release_unsent_slot(&self, grant: &SlotGrant) {
        self.scheduler.borrow_mut().release_unsent(clock::now(), grant);
        self.serve_queue();
    }

    /// Releases the slot of a request that was sent to target `id`.
    pub fn release_slot(&self, id: &str, outcome: SlotOutcome) {
        self.scheduler.borrow_mut().release(clock::now(), id, outcome);
        self.serve_queue();
    }

    /// Grants free slots to waiting requests and refuses those that have waited too long.
    pub(super) fn serve_queue(&self) {
        let now = clock::now();
        let mut scheduler = self.scheduler.borrow_mut();
        if scheduler.waiting() == 0 {
            return;
        }
        let granted = scheduler.grant_free_slots(now);
        let mut refused = scheduler.refuse_unplaceable();
        refused.extend(scheduler.expire(now));
        drop(scheduler);
        let mut waiters = self.waiters.borrow_mut();
        let mut undelivered = Vec::new();
        for (ticket, grant) in granted {
            let decision = QueueDecision::Granted(grant.clone());
            let delivered =
                waiters.remove(&ticket).is_some_and(|sender| sender.send(decision).is_ok());
            if !delivered {
                undelivered.push(grant);
            }
        }
        for (ticket, retry_after) in refused {
            if let Some(sender) = waiters.remove(&ticket) {
                // Fails if the caller has disconnected.
                let _ = sender.send(QueueDecision::Refused(retry_after));
            }
        }
        self.metrics.waiting_requests.set(waiters.len() as i64);
        drop(waiters);
        for grant in undelivered {
            self.scheduler.borrow_mut().release_unused(now, &grant);
        }
    }

    fn next_wake(&self, served_at: MonoTime) -> Option<MonoTime> {
        let queue = self.scheduler.borrow().next_wake(served_at);
        let target_expiry = self.catalog.borrow().next_expiry();
        queue.into_iter().chain(target_expiry).min()
    }

    fn expire_targets(&self, now: MonoTime) {
        let expired_targets = self.catalog.borrow_mut().expire(now);
        if !expired_targets.is_empty() {
            info!(
                "event=targets_gone count={} reason=not_back_after_outage",
                expired_targets.len()
            );
            self.refresh_targets();
        }
    }
}

/// Grants slots, and expires waiting requests and missing targets, for the lifetime of the process.
pub async fn run_queue(state: Rc<EntryState>) {
    let mut served_at = MonoTime::ZERO;
    loop {
        let now = clock::now();
        let wake_at = state.next_wake(served_at);
        let delay = wake_at.map(|wake_at| wake_at.since(now).max(MIN_QUEUE_INTERVAL));
        tokio::select! {
            () = state.queue_changed.notified() => {}
            () = sleep_for(delay) => {}
        }
        served_at = clock::now();
        state.expire_targets(served_at);
        state.serve_queue();
    }
}

/// Measures the demand that agents are told of, for the lifetime of the process.
pub async fn run_demand(state: Rc<EntryState>) {
    loop {
        actix_rt::time::sleep(MEASURE_INTERVAL).await;
        let demand = state.scheduler.borrow_mut().demand(clock::now());
        state.demand.send_if_modified(|known| {
            let modified = differs(known, &demand);
            *known = demand;
            modified
        });
    }
}

async fn sleep_for(delay: Option<Duration>) {
    match delay {
        Some(delay) => actix_rt::time::sleep(delay).await,
        None => std::future::pending().await,
    }
}
