//! What entries ask of an agent: new requests, cancels and questions.

use super::event::LedgerAction;
use super::record::{RecordPhase, RequestRecord};
use super::{ID_RETENTION, MAX_ENTRY_RUNS, MAX_REMEMBERED_IDS, NEVER_SEEN_WINDOW, RequestLedger};
use crate::frame::{EndFrame, LinkFrame, RequestStatus, ResolveFrame, ResolvedFrame, SubmitFrame};
use crate::prelude::*;
use crate::request::poison::SuspectVerdict;
use crate::request::{LinkId, MAX_REQUEST_DEADLINE};

impl RequestLedger {
    pub(super) fn on_link_opened(
        &mut self,
        now: MonoTime,
        link: LinkId,
        entry: HostName,
        incarnation: HostIncarnation,
    ) {
        let owner = (entry, incarnation);
        let older = self.links.iter().filter(|(_, other)| **other == owner);
        let older: Vec<LinkId> = older.map(|(link, _)| *link).collect();
        for link in older {
            self.on_link_lost(now, link);
        }
        self.links.insert(link, owner);
        if let Some(suspects) = self.suspects.snapshot(now) {
            self.send(Some(link), LinkFrame::Suspects(suspects));
        }
    }

    pub(super) fn on_link_lost(&mut self, now: MonoTime, link: LinkId) {
        if let Some(owner) = self.links.remove(&link) {
            self.links_lost.insert(owner, now);
            self.forget_oldest_loss();
        }
        for record in self.records.values_mut() {
            if record.link == Some(link) {
                record.lose_link(now);
            }
        }
    }

    pub(super) fn on_frame(&mut self, now: MonoTime, link: LinkId, frame: LinkFrame) {
        if let LinkFrame::Cancel(id) = frame {
            return self.on_cancel(now, id);
        }
        // A link that was lost or superseded brings nothing new: its entry has given it up.
        if !self.links.contains_key(&link) {
            return;
        }
        match frame {
            LinkFrame::Submit(submit) => self.on_submit(now, link, submit),
            LinkFrame::Resolve(resolve) => self.on_resolve(now, link, resolve),
            LinkFrame::Suspects(suspects) => {
                if let Some(news) = self.suspects.merge(now, &suspects) {
                    self.broadcast(Some(link), &news);
                }
            }
            _ => {}
        }
    }

    fn on_submit(&mut self, now: MonoTime, link: LinkId, submit: SubmitFrame) {
        let id = submit.id;
        if self.records.contains_key(&id) {
            return self.on_doubled(link, id);
        }
        if self.barred.contains(id) {
            return self.send_end(link, id, ResultCode::NeverSeen);
        }
        if self.forgotten.contains(id) {
            return self.send_end(link, id, ResultCode::LinkLost);
        }
        if submit.deadline_ms == 0 {
            return self.refuse_new(now, link, id, ResultCode::DeadlineBefore);
        }
        if self.records.len() + self.forgotten.len() >= MAX_REMEMBERED_IDS {
            return self.refuse_new(now, link, id, ResultCode::Overloaded);
        }
        if self.suspects.verdict(now, submit.fingerprint) == SuspectVerdict::Poisonous {
            return self.refuse_new(now, link, id, ResultCode::Poisonous);
        }
        let record = RequestRecord::new(now, submit, link);
        let submit = Arc::clone(&record.submit);
        self.records.insert(id, Box::new(record));
        self.send(Some(link), LinkFrame::Accepted(id));
        self.actions.push(LedgerAction::Enqueue(submit));
    }

    /// A request came again: the ledger answers, nothing runs again.
    fn on_doubled(&mut self, link: LinkId, id: RequestId) {
        let Some(record) = self.records.get_mut(&id) else { return };
        if record.result().is_none() && record.link == Some(link) {
            return;
        }
        if !record.answer.can_send_from(0) {
            return self.send_end(link, id, ResultCode::LinkLost);
        }
        record.set_link(link);
        let frames = record.answer_frames(false, 0);
        self.send(Some(link), LinkFrame::Accepted(id));
        self.send_all(link, frames);
    }

    /// Refuses a request that the ledger does not know; "not run" only if the id can be barred.
    fn refuse_new(&mut self, now: MonoTime, link: LinkId, id: RequestId, code: ResultCode) {
        let is_barred = self.bar(now, id);
        let code = if is_barred { code } else { ResultCode::LinkLost };
        self.send_end(link, id, code);
    }

    /// Bars an id whose deadline is not known; `false` if there is no room.
    fn bar(&mut self, now: MonoTime, id: RequestId) -> bool {
        self.barred.insert(now, id, now + MAX_REQUEST_DEADLINE + ID_RETENTION)
    }

    fn on_cancel(&mut self, now: MonoTime, id: RequestId) {
        let Some(record) = self.records.get_mut(&id) else {
            if !self.forgotten.contains(id) {
                // Without room the request may still come and run, which its entry allows for.
                let _ = self.bar(now, id);
            }
            return;
        };
        record.link = None;
        match record.phase {
            RecordPhase::Waiting => {
                self.actions.push(LedgerAction::Dequeue(id));
                self.finish(now, id, ResultCode::Cancelled);
            }
            RecordPhase::Running if record.submit.idempotent && record.followers.is_empty() => {
                self.actions.push(LedgerAction::CancelTarget(id));
                self.finish(now, id, ResultCode::Cancelled);
            }
            RecordPhase::Following => self.finish(now, id, ResultCode::Cancelled),
            RecordPhase::Running | RecordPhase::Claiming | RecordPhase::Done(_) => {}
        }
    }

    fn on_resolve(&mut self, now: MonoTime, link: LinkId, resolve: ResolveFrame) {
        let ResolveFrame { id, has_head, position } = resolve;
        let Some(record) = self.records.get_mut(&id) else {
            let is_barred =
                self.can_vouch(now, link) && !self.forgotten.contains(id) && self.bar(now, id);
            let knowledge =
                if is_barred { RequestStatus::NeverSeen } else { RequestStatus::Forgotten };
            return self.send_resolved(link, id, knowledge);
        };
        if !record.answer.can_send_from(position) {
            return self.send_resolved(link, id, RequestStatus::Forgotten);
        }
        let knowledge = match record.phase {
            RecordPhase::Done(_) => RequestStatus::Done,
            _ => RequestStatus::Running,
        };
        record.set_link(link);
        let frames = record.answer_frames(has_head, position);
        self.send_resolved(link, id, knowledge);
        self.send_all(link, frames);
    }

    /// Whether every request that came on earlier links of the same entry is still remembered. An
    /// entry that was suspended with its clock may ask much later than it believes.
    fn can_vouch(&self, now: MonoTime, link: LinkId) -> bool {
        let lost_at = self.links.get(&link).and_then(|owner| self.links_lost.get(owner));
        lost_at.is_none_or(|lost| now.since(*lost) <= NEVER_SEEN_WINDOW)
    }

    fn forget_oldest_loss(&mut self) {
        if self.links_lost.len() <= MAX_ENTRY_RUNS {
            return;
        }
        let oldest = self.links_lost.iter().min_by_key(|(_, lost)| **lost);
        if let Some(owner) = oldest.map(|(owner, _)| owner.clone()) {
            self.links_lost.remove(&owner);
        }
    }

    fn send_all(&mut self, link: LinkId, frames: Vec<LinkFrame>) {
        for frame in frames {
            self.send(Some(link), frame);
        }
    }

    fn send_end(&mut self, link: LinkId, id: RequestId, code: ResultCode) {
        let end = EndFrame { id, code, length: 0 };
        self.send(Some(link), LinkFrame::End(end));
    }

    fn send_resolved(&mut self, link: LinkId, id: RequestId, knowledge: RequestStatus) {
        self.send(Some(link), LinkFrame::Resolved(ResolvedFrame { id, knowledge }));
    }
}
