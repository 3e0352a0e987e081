//! Who waits for a place, and who gets one.

use super::EntryState;
use crate::clock;
use buckthornwharf_core::direct::slots::PlaceOutcome;
use buckthornwharf_core::direct::{Admission, PlaceGrant, PlaceRequest, PlaceTicket};
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
    Place(PlaceGrant),
    /// It cannot be served in time; the caller may come back after the span.
    Refused(Duration),
}

impl EntryState {
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

    /// Notes that the answer of the request that got this place has begun, or never will.
    pub fn prompt_read(&self, grant: &PlaceGrant) {
        self.places.borrow_mut().prompt_read(clock::now(), grant);
        self.serve_queue();
    }

    /// Gives a place back that was not used.
    pub fn give_back_place(&self, grant: &PlaceGrant) {
        self.places.borrow_mut().give_back(clock::now(), grant);
        self.serve_queue();
    }

    /// Gives a place back.
    pub fn release_place(&self, id: &str, outcome: PlaceOutcome) {
        self.places.borrow_mut().release(clock::now(), id, outcome);
        self.serve_queue();
    }

    /// Hands out free places and refuses requests that waited too long.
    pub(super) fn serve_queue(&self) {
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
            let turn = QueueTurn::Place(grant.clone());
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
        self.metrics.waiting.set(waiters.len() as i64);
        drop(waiters);
        for grant in unheard {
            self.places.borrow_mut().give_back(now, &grant);
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
