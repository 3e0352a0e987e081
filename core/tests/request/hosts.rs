//! Fake hosts, each with an agent's state machines and a target that counts runs, and a fake key-value
//! service.

use crate::inject::Step;
use crate::links::LinkState;
use crate::naive::{AnyLedger, MachineKind};
use crate::simulation::{Simulation, SimulationEvent};
use crate::workload::answer_parts;
use buckthornwharf_core::frame::SubmitFrame;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::claim::{ClaimAction, ClaimEvent, ClaimKey, ClaimManager};
use buckthornwharf_core::request::ledger::{LedgerEvent, TargetGate};
use bytes::Bytes;
use std::collections::BTreeMap;

const MS: Duration = Duration::from_millis(1);
const PART_INTERVAL: Duration = Duration::from_millis(10);
const RESTART_DELAY: Duration = Duration::from_secs(1);
const HOST_GONE_DELAY: Duration = Duration::from_secs(3);
const STORE_TIMEOUT: Duration = Duration::from_millis(300);
const LATE_WRITE_DELAY: Duration = Duration::from_secs(3);

/// A stage of a target's answer. The parts have the fingerprint of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerProgress {
    Head,
    FirstPart(u64),
    SecondPart(u64),
    End,
}

pub struct FakeHost {
    pub name: HostName,
    pub ledger: AnyLedger,
    pub claims: ClaimManager,
    pub gate: TargetGate,
    pub incarnation: u64,
    pub suspended_until: MonoTime,
    pub cancelled: Vec<RequestId>,
    /// Fingerprints that crash the target.
    pub poison: Vec<u64>,
    kind: MachineKind,
    is_live: bool,
    target_incarnation: u64,
}

impl FakeHost {
    pub fn new(kind: MachineKind, number: usize) -> Self {
        let name = HostName::from(format!("host-{number}"));
        Self {
            ledger: AnyLedger::new(kind),
            claims: ClaimManager::new(name.clone()),
            name,
            gate: TargetGate::Plain,
            incarnation: 1,
            suspended_until: MonoTime::ZERO,
            cancelled: Vec::new(),
            poison: Vec::new(),
            kind,
            is_live: true,
            target_incarnation: 1,
        }
    }

    pub fn is_live(&self) -> bool {
        self.is_live
    }

    pub fn is_live_incarnation(&self, incarnation: u64) -> bool {
        self.is_live && self.incarnation == incarnation
    }
}

/// A key-value service with create-if-absent.
#[derive(Default)]
pub struct FakeStore {
    pub values: BTreeMap<ClaimKey, Bytes>,
    pub loses_next_answer: bool,
    pub down_until: MonoTime,
    pub slow_until: MonoTime,
    /// Until this time, writes take effect only long after their callers timed out.
    pub late_writes_until: MonoTime,
}

impl Simulation {
    /// Kills an agent's process, or its whole host if it does not restart.
    pub fn kill(&mut self, host: usize, restarts: bool) {
        self.hosts[host].is_live = false;
        for (id, _) in self.links_of_host(host) {
            if let Some(link) = self.links.get_mut(&id) {
                link.state = LinkState::Dead;
            }
            self.schedule(MS, SimulationEvent::EntryLinkLost(id));
        }
        if restarts {
            self.schedule(RESTART_DELAY, SimulationEvent::RestartAgent(host));
        } else {
            self.schedule(HOST_GONE_DELAY, SimulationEvent::HostGone(host));
        }
    }

    pub fn restart_agent(&mut self, host: usize) {
        let old = &self.hosts[host];
        let fresh = FakeHost::new(old.kind, host);
        let poison = old.poison.clone();
        self.hosts[host] = FakeHost { incarnation: old.incarnation + 1, poison, ..fresh };
        (0..self.entries.len()).for_each(|entry| self.open_link(entry, host));
    }

    pub fn dequeue(&mut self, host: usize, incarnation: u64, id: RequestId) {
        if !self.hosts[host].is_live_incarnation(incarnation) {
            return;
        }
        if !self.hosts[host].ledger.allows_dispatch() {
            return self.schedule(2 * MS, SimulationEvent::Dequeue(host, incarnation, id));
        }
        self.reach(Step::Claimed);
        if self.hosts[host].suspended_until > self.now {
            return self.schedule(MS, SimulationEvent::Dequeue(host, incarnation, id));
        }
        if self.hosts[host].is_live_incarnation(incarnation) {
            let gate = self.hosts[host].gate;
            self.handle_ledger_event(host, LedgerEvent::Ready { id, gate });
        }
    }

    pub fn dispatch(&mut self, host: usize, submit: &SubmitFrame) {
        let (id, fingerprint) = (submit.id, submit.fingerprint);
        *self.runs.entry(id).or_default() += 1;
        let incarnation = self.hosts[host].incarnation;
        let stages = [
            AnswerProgress::Head,
            AnswerProgress::FirstPart(fingerprint),
            AnswerProgress::SecondPart(fingerprint),
            AnswerProgress::End,
        ];
        for (number, progress) in (1..).zip(stages) {
            // A new incarnation of the agent or of the target ends this answer.
            let incarnations = incarnation << 32 | self.hosts[host].target_incarnation;
            let event = SimulationEvent::TargetProgress(host, incarnations, id, progress);
            self.schedule(number * PART_INTERVAL, event);
        }
        if self.hosts[host].poison.contains(&fingerprint) {
            self.crash_target(host);
        }
        self.reach(Step::Dispatched);
    }

    pub fn handle_target_progress(
        &mut self,
        host: usize,
        incarnations: u64,
        id: RequestId,
        progress: AnswerProgress,
    ) {
        let state = &self.hosts[host];
        let is_current = incarnations == state.incarnation << 32 | state.target_incarnation;
        if !state.is_live || !is_current || state.cancelled.contains(&id) {
            return;
        }
        let (event, step) = match progress {
            AnswerProgress::Head => {
                let content_type = "".into();
                (LedgerEvent::TargetHead { id, status: 200, content_type, digest: None }, None)
            }
            AnswerProgress::FirstPart(fingerprint) => {
                let [bytes, _] = answer_parts(fingerprint);
                (LedgerEvent::TargetBody { id, bytes }, None)
            }
            AnswerProgress::SecondPart(fingerprint) => {
                let [_, bytes] = answer_parts(fingerprint);
                (LedgerEvent::TargetBody { id, bytes }, Some(Step::MidStream))
            }
            AnswerProgress::End => {
                (LedgerEvent::TargetEnd { id, code: ResultCode::Ok }, Some(Step::End))
            }
        };
        self.handle_ledger_event(host, event);
        step.into_iter().for_each(|step| self.reach(step));
    }

    pub fn crash_target(&mut self, host: usize) {
        self.hosts[host].target_incarnation += 1;
        let incarnation = self.hosts[host].incarnation;
        self.schedule(MS, SimulationEvent::TargetCrashed(host, incarnation));
    }

    /// Handles a call that arrives at the key-value service.
    pub fn handle_store_call(&mut self, host: usize, incarnation: u64, action: ClaimAction) {
        let (ClaimAction::Create { id, .. }
        | ClaimAction::Read { id, .. }
        | ClaimAction::Settled { id, .. }) = &action;
        let id = *id;
        if self.store.down_until > self.now {
            return self.schedule(
                MS,
                SimulationEvent::ClaimReply(host, incarnation, ClaimEvent::Failed(id)),
            );
        }
        if self.store.late_writes_until > self.now
            && let ClaimAction::Create { key, value, .. } = action
        {
            self.schedule(LATE_WRITE_DELAY, SimulationEvent::LateWrite(key, value));
            return self.schedule(
                STORE_TIMEOUT,
                SimulationEvent::ClaimReply(host, incarnation, ClaimEvent::Indeterminate(id)),
            );
        }
        let is_slow = self.store.slow_until > self.now;
        let is_lost = is_slow || std::mem::take(&mut self.store.loses_next_answer);
        let answer = match action {
            ClaimAction::Create { key, value, .. } => self.create(id, key, value),
            ClaimAction::Read { key, .. } => {
                ClaimEvent::Read { id, value: self.store.values.get(&key).cloned() }
            }
            ClaimAction::Settled { .. } => return,
        };
        if is_lost {
            return self.schedule(
                STORE_TIMEOUT,
                SimulationEvent::ClaimReply(host, incarnation, ClaimEvent::Indeterminate(id)),
            );
        }
        self.schedule(MS, SimulationEvent::ClaimReply(host, incarnation, answer));
    }

    pub fn create(&mut self, id: RequestId, key: ClaimKey, value: Bytes) -> ClaimEvent {
        if self.store.values.contains_key(&key) {
            return ClaimEvent::Exists(id);
        }
        self.store.values.insert(key, value);
        ClaimEvent::Created(id)
    }
}
