//! Who waits for a place, and who gets one.

use super::EntryState;
use crate::clock;
use buckthornwharf_core::direct::slots::SlotOutcome;
use buckthornwharf_core::direct::{Admission, SlotGrant, SlotRequest, WaitTicket};
use buckthornwharf_core::prelude::*;
use log::info;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Pause between looks at the queue while requests wait, at least.
const QUEUE_PAUSE: Duration = Duration::from_millis(4);

/// What becomes of a waiting request.
#[derive(Debug)]
pub enum QueueTurn {
    /// It got a place.
    Granted(SlotGrant),
    /// It cannot be served in time; the caller may come back after the span.
    Refused(Duration),
}

impl EntryState {
    /// Asks for a place; a waiting request hears on the receiver.
    pub fn request_slot(
        &self,
        now: MonoTime,
        request: SlotRequest,
    ) -> Result<QueueTurn, (WaitTicket, oneshot::Receiver<QueueTurn>)> {
        match self.scheduler.borrow_mut().request(now, request) {
            Admission::Granted(grant) => Ok(QueueTurn::Granted(grant)),
            Admission::Refused(after) => Ok(QueueTurn::Refused(after)),
            Admission::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.borrow_mut().insert(ticket, sender);
                self.metrics.waiting_requests.inc();
                self.queue_changed.notify_one();
                Err((ticket, receiver))
            }
        }
    }

    /// Takes a waiting request out of the queue.
    pub fn cancel_slot_request(&self, ticket: WaitTicket) {
        self.waiters.borrow_mut().remove(&ticket);
        self.metrics.waiting_requests.set(self.waiters.borrow().len() as i64);
        self.scheduler.borrow_mut().cancel(ticket);
    }

    /// Notes that the answer of the request that got this place has begun, or never will.
    pub fn prefill_done(&self, grant: &SlotGrant) {
        self.scheduler.borrow_mut().prefill_done(clock::now(), grant);
        self.serve_queue();
    }

    /// Gives a place back that was not used.
    pub fn release_unused_slot(&self, grant: &SlotGrant) {
        self.scheduler.borrow_mut().release_unused(clock::now(), grant);
        self.serve_queue();
    }

    /// Gives a place back.
    pub fn release_slot(&self, id: &str, outcome: SlotOutcome) {
        self.scheduler.borrow_mut().release(clock::now(), id, outcome);
        self.serve_queue();
    }

    /// Hands out free places and refuses requests that waited too long.
    pub(super) fn serve_queue(&self) {
        let now = clock::now();
        let mut scheduler = self.scheduler.borrow_mut();
        if scheduler.waiting() == 0 {
            return;
        }
        let granted = scheduler.grant_free_slots(now);
        let expired = scheduler.expire(now);
        drop(scheduler);
        let mut waiters = self.waiters.borrow_mut();
        let mut unheard = Vec::new();
        for (ticket, grant) in granted {
            let turn = QueueTurn::Granted(grant.clone());
            let heard = waiters.remove(&ticket).is_some_and(|sender| sender.send(turn).is_ok());
            if !heard {
                unheard.push(grant);
            }
        }
        for (ticket, after) in expired {
            if let Some(sender) = waiters.remove(&ticket) {
                // A caller that has left does not hear it.
                let _ = sender.send(QueueTurn::Refused(after));
            }
        }
        self.metrics.waiting_requests.set(waiters.len() as i64);
        drop(waiters);
        for grant in unheard {
            self.scheduler.borrow_mut().release_unused(now, &grant);
        }
    }

    fn next_wake(&self) -> Option<MonoTime> {
        let queue = self.scheduler.borrow().next_wake();
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
