//! Handles the frames of entries: new requests, cancellations, resolve queries and suspects.

use super::event::LedgerAction;
use super::record::{RecordPhase, RequestRecord};
use super::{
    ID_RETENTION, MAX_ENTRY_INCARNATIONS, MAX_REMEMBERED_IDS, NEVER_SEEN_WINDOW, RequestLedger,
};
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
        let sender = (entry, incarnation);
        let older = self.links.iter().filter(|(_, other)| **other == sender);
        let older: Vec<LinkId> = older.map(|(link, _)| *link).collect();
        for link in older {
            self.on_link_lost(now, link);
        }
        self.links.insert(link, sender);
        if let Some(suspects) = self.suspects.snapshot(now) {
            self.send(Some(link), LinkFrame::Suspects(suspects));
        }
    }

    pub(super) fn on_link_lost(&mut self, now: MonoTime, link: LinkId) {
        if let Some(sender) = self.links.remove(&link) {
            self.last_link_losses.insert(sender, now);
            self.evict_oldest_link_loss();
        }
        for record in self.records.values_mut() {
            if record.link == Some(link) {
                record.mark_link_lost(now);
            }
        }
    }

    pub(super) fn on_frame(&mut self, now: MonoTime, link: LinkId, frame: LinkFrame) {
        if let LinkFrame::Cancel(id) = frame {
            return self.on_cancel(now, id);
        }
        // A lost or superseded link is ignored: its entry no longer uses it.
        if !self.links.contains_key(&link) {
            return;
        }
        match frame {
            LinkFrame::Submit(submit) => self.on_submit(now, link, submit),
            LinkFrame::Resolve(resolve) => self.on_resolve(now, link, resolve),
            LinkFrame::Suspects(suspects) => {
                if let Some(new_suspects) = self.suspects.merge(now, &suspects) {
                    self.broadcast(Some(link), &new_suspects);
                }
            }
            _ => {}
        }
    }

    fn on_submit(&mut self, now: MonoTime, link: LinkId, submit: SubmitFrame) {
        let id = submit.id;
        if self.records.contains_key(&id) {
            return self.on_duplicate(link, id);
        }
        if self.blocked_ids.contains(id) {
            return self.send_end(link, id, ResultCode::NeverSeen);
        }
        if self.forgotten_ids.contains(id) {
            return self.send_end(link, id, ResultCode::LinkLost);
        }
        if submit.deadline_ms == 0 {
            return self.refuse_new(now, link, id, ResultCode::DeadlineBefore);
        }
        if self.records.len() + self.forgotten_ids.len() >= MAX_REMEMBERED_IDS {
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

    /// Handles a duplicate of a known request: sends its answer so far, and does not run it again.
    fn on_duplicate(&mut self, link: LinkId, id: RequestId) {
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

    /// Refuses an unknown request; the code is `LinkLost` if there is no room to block its id.
    fn refuse_new(&mut self, now: MonoTime, link: LinkId, id: RequestId, code: ResultCode) {
        let is_blocked = self.block(now, id);
        let code = if is_blocked { code } else { ResultCode::LinkLost };
        self.send_end(link, id, code);
    }

    /// Blocks an id whose deadline is not known; `false` if there is no room.
    fn block(&mut self, now: MonoTime, id: RequestId) -> bool {
        self.blocked_ids.insert(now, id, now + MAX_REQUEST_DEADLINE + ID_RETENTION)
    }

    fn on_cancel(&mut self, now: MonoTime, id: RequestId) {
        let Some(record) = self.records.get_mut(&id) else {
            if !self.forgotten_ids.contains(id) {
                // Without room the request may still arrive and run; its entry allows for that.
                let _ = self.block(now, id);
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
            let is_blocked = self.remembers_all_requests(now, link)
                && !self.forgotten_ids.contains(id)
                && self.block(now, id);
            let knowledge =
                if is_blocked { RequestStatus::NeverSeen } else { RequestStatus::Forgotten };
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

    /// Whether the id of every request from earlier links of the same entry is still kept. An entry
    /// whose clock stopped while it was suspended may send a resolve query long after the deadline.
    fn remembers_all_requests(&self, now: MonoTime, link: LinkId) -> bool {
        let lost_at = self.links.get(&link).and_then(|sender| self.last_link_losses.get(sender));
        lost_at.is_none_or(|lost_at| now.since(*lost_at) <= NEVER_SEEN_WINDOW)
    }

    fn evict_oldest_link_loss(&mut self) {
        if self.last_link_losses.len() <= MAX_ENTRY_INCARNATIONS {
            return;
        }
        let oldest = self.last_link_losses.iter().min_by_key(|(_, lost_at)| **lost_at);
        if let Some(sender) = oldest.map(|(sender, _)| sender.clone()) {
            self.last_link_losses.remove(&sender);
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
