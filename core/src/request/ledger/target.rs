//! Handles a request from the queue to the end of the target's answer, and crashes of the target.

use super::event::{ClaimVerdict, LedgerAction, TargetGate};
use super::record::{RecordPhase, RequestRecord};
use super::{MAX_ANSWER_BYTES, RequestLedger};
use crate::frame::{BodyFrame, HeadFrame, LinkFrame};
use crate::prelude::*;
use crate::request::poison::{RunningRequest, SuspectVerdict};
use bytes::Bytes;
use std::cmp::Reverse;

impl RequestLedger {
    pub(super) fn on_ready(&mut self, now: MonoTime, id: RequestId, gate: TargetGate) {
        let Some(record) = self.records.get_mut(&id) else { return };
        if record.phase != RecordPhase::Waiting {
            return;
        }
        if let Some(code) = refusal_code(record, now, gate) {
            return self.finish(now, id, code);
        }
        if self.exclusive.is_some_and(|exclusive| exclusive != id) {
            let submit = Arc::clone(&record.submit);
            return self.actions.push(LedgerAction::Enqueue(submit));
        }
        let verdict = self.suspects.verdict(now, record.submit.fingerprint);
        if verdict == SuspectVerdict::Poisonous {
            return self.finish(now, id, ResultCode::Poisonous);
        }
        if record.submit.suspect || verdict == SuspectVerdict::Suspect {
            self.exclusive = Some(id);
            self.exclusive_since = now;
            if self.active > 0 {
                return self.actions.push(LedgerAction::Hold(id));
            }
        }
        self.active += 1;
        if record.needs_claim() {
            record.phase = RecordPhase::Claiming;
            let submit = Arc::clone(&record.submit);
            return self.actions.push(LedgerAction::Claim(submit));
        }
        self.dispatch(now, id);
    }

    fn dispatch(&mut self, now: MonoTime, id: RequestId) {
        let Some(record) = self.records.get_mut(&id) else { return };
        record.phase = RecordPhase::Running;
        record.dispatched_at = Some(now);
        let submit = Arc::clone(&record.submit);
        self.actions.push(LedgerAction::Dispatch(submit));
    }

    pub(super) fn on_claimed(
        &mut self,
        now: MonoTime,
        id: RequestId,
        verdict: ClaimVerdict,
        gate: TargetGate,
    ) {
        let Some(record) = self.records.get(&id) else { return };
        if record.phase != RecordPhase::Claiming {
            return;
        }
        match verdict {
            ClaimVerdict::Won => match refusal_code(record, now, gate) {
                None => self.dispatch(now, id),
                Some(code) => {
                    // Until the release is written, another agent would find the key claimed, so the
                    // code must not make the entry retry at once.
                    let is_past_deadline = code == ResultCode::DeadlineBefore;
                    let code = if is_past_deadline { code } else { ResultCode::KeyReleased };
                    self.actions.push(LedgerAction::ReleaseClaim(id));
                    self.finish(now, id, code);
                }
            },
            ClaimVerdict::Join(first) => self.follow(now, id, first),
            ClaimVerdict::Refused(code) => self.finish(now, id, code),
        }
    }

    /// Makes request `id` a follower of request `leader_id`: it gets the same answer.
    fn follow(&mut self, now: MonoTime, id: RequestId, leader_id: RequestId) {
        let Some(leader) =
            self.records.get_mut(&leader_id).filter(|leader| leader.answer.can_send_from(0))
        else {
            return self.finish(now, id, ResultCode::AlreadyClaimed);
        };
        let result = leader.result();
        let answer = leader.answer.clone();
        if result.is_none() {
            leader.followers.push(id);
        }
        let Some(record) = self.records.get_mut(&id) else { return };
        record.phase = RecordPhase::Following;
        let link = record.link;
        let frames = answer.frames(id, false, 0, None);
        record.answer = answer;
        for frame in frames {
            self.send(link, frame);
        }
        self.release_slot(id, true);
        if let Some(code) = result {
            self.finish(now, id, code);
        }
    }

    pub(super) fn on_refused(&mut self, now: MonoTime, id: RequestId, code: ResultCode) {
        let is_waiting =
            self.records.get(&id).is_some_and(|record| record.phase == RecordPhase::Waiting);
        if is_waiting {
            self.finish(now, id, code);
        }
    }

    /// The request `id` and its followers; empty if it is not running.
    fn recipients(&self, id: RequestId) -> Vec<RequestId> {
        let Some(record) = self.records.get(&id) else { return Vec::new() };
        if record.phase != RecordPhase::Running {
            return Vec::new();
        }
        std::iter::once(id).chain(record.followers.iter().copied()).collect()
    }

    pub(super) fn on_target_head(
        &mut self,
        now: MonoTime,
        id: RequestId,
        status: u16,
        content_type: Arc<str>,
        digest: Option<VersionDigest>,
    ) {
        let Some(record) = self.records.get(&id) else { return };
        if record.phase != RecordPhase::Running {
            return;
        }
        if record.submit.digest.is_some() && digest != record.submit.digest {
            self.actions.push(LedgerAction::CancelTarget(id));
            return self.finish(now, id, ResultCode::AnswerDiscarded);
        }
        for id in self.recipients(id) {
            let head = HeadFrame { id, status, content_type: Arc::clone(&content_type), digest };
            let Some(record) = self.records.get_mut(&id) else { continue };
            let link = record.link;
            if record.answer.set_head(head.clone()) {
                self.send(link, LinkFrame::Head(head));
            }
        }
    }

    pub(super) fn on_target_body(&mut self, id: RequestId, bytes: Bytes) {
        for id in self.recipients(id) {
            let Some(record) = self.records.get_mut(&id) else { continue };
            let link = record.link;
            let position = record.answer.push(bytes.clone());
            record.answer.trim(MAX_ANSWER_BYTES);
            let body = BodyFrame { id, position, bytes: bytes.clone() };
            self.send(link, LinkFrame::Body(body));
        }
    }

    pub(super) fn on_target_end(&mut self, now: MonoTime, id: RequestId, code: ResultCode) {
        let Some(record) = self.records.get(&id) else { return };
        let Some(RunningRequest { fingerprint, sent_at }) = record.running() else { return };
        let is_complete = code == ResultCode::Ok && record.answer.has_head();
        if is_complete
            && let Some(suspects) = self.suspects.record_complete_answer(fingerprint, sent_at)
        {
            self.broadcast(None, &suspects);
            self.actions.push(LedgerAction::SuspectCleared(fingerprint));
        }
        let code =
            if code == ResultCode::Ok && !is_complete { ResultCode::TargetFailed } else { code };
        self.finish(now, id, code);
    }

    pub(super) fn on_target_crashed(&mut self, now: MonoTime) {
        let records = self.records.iter();
        let running: Vec<(RequestId, RunningRequest)> =
            records.filter_map(|(id, record)| Some((*id, record.running()?))).collect();
        if running.is_empty() {
            return;
        }
        let mut requests: Vec<RunningRequest> =
            running.iter().map(|(_, request)| *request).collect();
        requests.sort_unstable_by_key(|request| (request.fingerprint, Reverse(request.sent_at)));
        requests.dedup_by_key(|request| request.fingerprint);
        let crash_id = derive_crash_id(now, &running);
        let suspects = self.suspects.record_crash(now, crash_id, &requests);
        // Sent before the ends, so that an entry knows the suspects when it retries.
        self.broadcast(None, &suspects);
        let fingerprints = requests.iter().map(|request| request.fingerprint).collect();
        self.actions.push(LedgerAction::Crashed(fingerprints));
        for (id, request) in running {
            let code = match self.suspects.verdict(now, request.fingerprint) {
                SuspectVerdict::Poisonous => ResultCode::Poisonous,
                SuspectVerdict::Clear | SuspectVerdict::Suspect => ResultCode::TargetFailed,
            };
            self.finish(now, id, code);
        }
    }
}

/// The code that refuses a request now; `None` if it may be dispatched.
fn refusal_code(record: &RequestRecord, now: MonoTime, gate: TargetGate) -> Option<ResultCode> {
    if now >= record.deadline {
        return Some(ResultCode::DeadlineBefore);
    }
    match (gate, record.submit.digest) {
        (TargetGate::Closed, _) => Some(ResultCode::NotServing),
        (TargetGate::Engine(serving), Some(wanted)) if serving == wanted => None,
        (TargetGate::Plain, None) => None,
        _ => Some(ResultCode::WrongVersion),
    }
}

/// A unique id for a crash: a hash of the random ids of the requests in flight, and of the time, so
/// that a later crash with the same requests gets another one.
fn derive_crash_id(now: MonoTime, running: &[(RequestId, RunningRequest)]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&now.as_micros().to_le_bytes());
    for (id, _) in running {
        hasher.update(&id.0.to_le_bytes());
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
