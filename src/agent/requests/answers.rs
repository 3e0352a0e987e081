//! The target's answers, and the crashes that broken answers reveal.

use super::super::crash::CrashVerdict;
use super::super::target::{AnswerEvent, TargetEvent, TargetFailure};
use super::RequestDispatcher;
use crate::clock;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::ledger::LedgerEvent;

impl RequestDispatcher {
    /// Handles an event of the target's answer to a request.
    pub fn on_answer(&mut self, (id, event): AnswerEvent) {
        match event {
            TargetEvent::Head { status, content_type, digest } => {
                self.apply(LedgerEvent::TargetHead { id, status, content_type, digest });
            }
            TargetEvent::Body(bytes) => {
                if let Some(request) = self.dispatched.get_mut(&id) {
                    request.body_parts += 1;
                }
                self.apply(LedgerEvent::TargetBody { id, bytes });
            }
            TargetEvent::Complete => self.end_target(id, ResultCode::Ok),
            TargetEvent::Probed(crashed) => self.on_probed(crashed),
            TargetEvent::Failed(TargetFailure::ConnectionLost) => {
                self.crashes.record_broken(clock::now(), id)
            }
            TargetEvent::Failed(TargetFailure::InvalidAnswer) => {
                self.end_target(id, ResultCode::AnswerDiscarded);
            }
            TargetEvent::Failed(failure) => {
                log::debug!("request={id} failed at the target: {failure}");
                self.end_target(id, ResultCode::TargetFailed);
            }
        }
    }

    /// Handles the requests whose connections broke, once the crash window is over.
    pub(super) fn check_broken(&mut self) {
        let is_engine = self.dispatched.values().any(|request| request.digest.is_some());
        match self.crashes.decide(clock::now(), self.dispatched.keys(), is_engine) {
            CrashVerdict::Nothing => {}
            CrashVerdict::Alive(ids) => self.end_broken(ids),
            CrashVerdict::Crashed(ids) => {
                self.apply(LedgerEvent::TargetCrashed);
                self.end_broken(ids);
            }
            CrashVerdict::Probe(first) => {
                actix_rt::spawn(self.client.probe(first, self.answers.clone()));
            }
        }
    }

    fn on_probed(&mut self, crashed: bool) {
        if crashed {
            self.apply(LedgerEvent::TargetCrashed);
        }
        let ids = self.crashes.take_probed();
        self.end_broken(ids);
    }

    fn end_broken(&mut self, ids: Vec<RequestId>) {
        for id in ids {
            self.end_target(id, ResultCode::TargetFailed);
        }
    }

    fn end_target(&mut self, id: RequestId, code: ResultCode) {
        self.last_ended_at = Some(clock::now());
        if let Some(request) = self.dispatched.remove(&id)
            && let Some(item) = &request.item
        {
            let actual = if request.body_parts > 1 { request.body_parts } else { item.cost_tokens };
            self.queue.on_done(clock::now(), item, actual);
        }
        self.publish_load();
        self.apply(LedgerEvent::TargetEnd { id, code });
    }
}
