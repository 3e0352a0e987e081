//! Requests on their way through the queue to the target.

use super::{DispatchedRequest, RequestDispatcher};
use crate::clock;
use buckthornwharf_core::frame::SubmitFrame;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::ledger::{LedgerEvent, TargetGate};
use buckthornwharf_core::routing::{QueueItem, RefusedItem};
use tokio::sync::oneshot;

impl RequestDispatcher {
    pub(super) fn enqueue(&mut self, submit: &SubmitFrame) {
        let now = clock::now();
        let item = QueueItem {
            id: submit.id,
            organisation: submit.organisation.clone(),
            weight: submit.weight,
            priority: submit.priority,
            cost_tokens: submit.cost_tokens,
            deadline: now + Duration::from_millis(submit.deadline_ms),
        };
        let refused = self.queue.push(now, item);
        self.refuse_all(refused);
    }

    fn refuse_all(&mut self, refused: Vec<RefusedItem>) {
        for refusal in refused {
            self.feed(LedgerEvent::Refused { id: refusal.item.id, code: refusal.code });
        }
    }

    /// Takes requests from the queue while the target has free slots. While the gate is closed or
    /// the host is leaving, refuses every queued request at once.
    pub(super) fn dispatch_waiting(&mut self) {
        loop {
            let is_refusing = self.leaving || self.gate == TargetGate::Closed;
            let may_dispatch = self.ledger.allows_dispatch() && self.ledger.running() < self.slots;
            if !may_dispatch && !is_refusing {
                break;
            }
            let popped = self.queue.pop(clock::now());
            self.refuse_all(popped.refused);
            let Some(item) = popped.next else { break };
            let id = item.id;
            if self.leaving {
                self.feed(LedgerEvent::Refused { id, code: ResultCode::Leaving });
            } else if is_refusing {
                self.feed(LedgerEvent::Refused { id, code: ResultCode::NotServing });
            } else {
                self.popped.insert(id, item);
                self.offer_to_ledger(id);
            }
        }
        self.metrics.waiting.set(self.queue.len() as i64);
        self.metrics.running.set(i64::from(self.ledger.running()));
    }

    pub(super) fn offer_to_ledger(&mut self, id: RequestId) {
        self.feed(LedgerEvent::Ready { id, gate: self.gate });
    }

    /// Releases a request that was taken from the queue and will not run, so that its organisation
    /// is not charged for it.
    pub(super) fn refund_popped(&mut self, id: RequestId) {
        if let Some(item) = self.popped.remove(&id) {
            self.queue.on_done(clock::now(), &item, 0);
        }
    }

    pub(super) fn dispatch(&mut self, submit: &Arc<SubmitFrame>) {
        let id = submit.id;
        let (cancel, cancelled) = oneshot::channel();
        let item = self.popped.remove(&id);
        let request =
            DispatchedRequest { item, digest: submit.digest, cancel: Some(cancel), body_parts: 0 };
        self.dispatched.insert(id, request);
        self.publish_load();
        let client = self.client;
        let answers = self.answers.clone();
        actix_rt::spawn(client.run(submit.clone(), cancelled, answers));
    }
}
