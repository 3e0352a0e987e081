//! Fake hosts, each an agent's machines and a target that counts runs, and a fake key-value service.

use crate::inject::Step;
use crate::links::LinkState;
use crate::naive::{AnyLedger, MachineKind};
use crate::simulation::{World, WorldEvent};
use crate::workload::answer_parts;
use buckthornwharf_core::frame::SubmitFrame;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::claim::{ClaimAction, ClaimEvent, ClaimKey, ClaimManager};
use buckthornwharf_core::request::ledger::{LedgerEvent, TargetGate};
use bytes::Bytes;
use std::collections::BTreeMap;

const MS: Duration = Duration::from_millis(1);
const PART_GAP: Duration = Duration::from_millis(10);
const RESTART: Duration = Duration::from_secs(1);
const NOTICED_GONE: Duration = Duration::from_secs(3);
const STORE_TIMEOUT: Duration = Duration::from_millis(300);
const LATE_WRITE: Duration = Duration::from_secs(3);

/// How far a target has come with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
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
    pub run: u64,
    pub frozen_until: MonoTime,
    pub cancelled: Vec<RequestId>,
    /// Fingerprints that crash the target.
    pub poison: Vec<u64>,
    kind: MachineKind,
    is_live: bool,
    target_run: u64,
}

impl FakeHost {
    pub fn new(kind: MachineKind, number: usize) -> Self {
        let name = HostName::from(format!("host-{number}"));
        Self {
            ledger: AnyLedger::new(kind),
            claims: ClaimManager::new(name.clone()),
            name,
            gate: TargetGate::Plain,
            run: 1,
            frozen_until: MonoTime::ZERO,
            cancelled: Vec::new(),
            poison: Vec::new(),
            kind,
            is_live: true,
            target_run: 1,
        }
    }

    pub fn is_live(&self) -> bool {
        self.is_live
    }

    pub fn is_run(&self, run: u64) -> bool {
        self.is_live && self.run == run
    }
}

/// A key-value service with create-if-absent.
#[derive(Default)]
pub struct FakeStore {
    pub values: BTreeMap<ClaimKey, Bytes>,
    pub loses_next: bool,
    pub down_until: MonoTime,
    pub slow_until: MonoTime,
    /// Until when writes land long after their callers have given up.
    pub late_until: MonoTime,
}

impl World {
    /// Ends an agent's process, or its whole host for good.
    pub fn kill(&mut self, host: usize, restarts: bool) {
        self.hosts[host].is_live = false;
        for (id, _) in self.links_of_host(host) {
            if let Some(link) = self.links.get_mut(&id) {
                link.state = LinkState::Dead;
            }
            self.after(MS, WorldEvent::EntryLost(id));
        }
        if restarts {
            self.after(RESTART, WorldEvent::Restart(host));
        } else {
            self.after(NOTICED_GONE, WorldEvent::HostGone(host));
        }
    }

    pub fn restart(&mut self, host: usize) {
        let old = &self.hosts[host];
        let fresh = FakeHost::new(old.kind, host);
        let poison = old.poison.clone();
        self.hosts[host] = FakeHost { run: old.run + 1, poison, ..fresh };
        (0..self.entries.len()).for_each(|entry| self.open_link(entry, host));
    }

    pub fn turn(&mut self, host: usize, run: u64, id: RequestId) {
        if !self.hosts[host].is_run(run) {
            return;
        }
        if !self.hosts[host].ledger.allows_dispatch() {
            return self.after(2 * MS, WorldEvent::Turn(host, run, id));
        }
        self.reach(Step::Claimed);
        if self.hosts[host].frozen_until > self.now {
            return self.after(MS, WorldEvent::Turn(host, run, id));
        }
        if self.hosts[host].is_run(run) {
            let gate = self.hosts[host].gate;
            self.ledger(host, LedgerEvent::Ready { id, gate });
        }
    }

    pub fn dispatch(&mut self, host: usize, submit: &SubmitFrame) {
        let (id, fingerprint) = (submit.id, submit.fingerprint);
        *self.runs.entry(id).or_default() += 1;
        let run = self.hosts[host].run;
        let stages = [
            Progress::Head,
            Progress::FirstPart(fingerprint),
            Progress::SecondPart(fingerprint),
            Progress::End,
        ];
        for (number, progress) in (1..).zip(stages) {
            // The runs of the agent and of the target both end this answer.
            let stamp = run << 32 | self.hosts[host].target_run;
            let event = WorldEvent::Target(host, stamp, id, progress);
            self.after(number * PART_GAP, event);
        }
        if self.hosts[host].poison.contains(&fingerprint) {
            self.crash_target(host);
        }
        self.reach(Step::Dispatched);
    }

    pub fn target(&mut self, host: usize, stamp: u64, id: RequestId, progress: Progress) {
        let state = &self.hosts[host];
        let is_current = stamp == state.run << 32 | state.target_run;
        if !state.is_live || !is_current || state.cancelled.contains(&id) {
            return;
        }
        let (event, step) = match progress {
            Progress::Head => {
                let content_type = "".into();
                (LedgerEvent::TargetHead { id, status: 200, content_type, digest: None }, None)
            }
            Progress::FirstPart(fingerprint) => {
                let [bytes, _] = answer_parts(fingerprint);
                (LedgerEvent::TargetBody { id, bytes }, None)
            }
            Progress::SecondPart(fingerprint) => {
                let [_, bytes] = answer_parts(fingerprint);
                (LedgerEvent::TargetBody { id, bytes }, Some(Step::MidStream))
            }
            Progress::End => (LedgerEvent::TargetEnd { id, code: ResultCode::Ok }, Some(Step::End)),
        };
        self.ledger(host, event);
        step.into_iter().for_each(|step| self.reach(step));
    }

    pub fn crash_target(&mut self, host: usize) {
        self.hosts[host].target_run += 1;
        let run = self.hosts[host].run;
        self.after(MS, WorldEvent::Crashed(host, run));
    }

    /// A call arrives at the key-value service.
    pub fn store_call(&mut self, host: usize, run: u64, action: ClaimAction) {
        let (ClaimAction::Create { id, .. }
        | ClaimAction::Read { id, .. }
        | ClaimAction::Settled { id, .. }) = &action;
        let id = *id;
        if self.store.down_until > self.now {
            return self.after(MS, WorldEvent::Claim(host, run, ClaimEvent::Failed(id)));
        }
        if self.store.late_until > self.now
            && let ClaimAction::Create { key, value, .. } = action
        {
            self.after(LATE_WRITE, WorldEvent::LateWrite(key, value));
            return self
                .after(STORE_TIMEOUT, WorldEvent::Claim(host, run, ClaimEvent::Indeterminate(id)));
        }
        let is_slow = self.store.slow_until > self.now;
        let is_lost = is_slow || std::mem::take(&mut self.store.loses_next);
        let answer = match action {
            ClaimAction::Create { key, value, .. } => self.create(id, key, value),
            ClaimAction::Read { key, .. } => {
                ClaimEvent::Read { id, value: self.store.values.get(&key).cloned() }
            }
            ClaimAction::Settled { .. } => return,
        };
        if is_lost {
            return self
                .after(STORE_TIMEOUT, WorldEvent::Claim(host, run, ClaimEvent::Indeterminate(id)));
        }
        self.after(MS, WorldEvent::Claim(host, run, answer));
    }

    pub fn create(&mut self, id: RequestId, key: ClaimKey, value: Bytes) -> ClaimEvent {
        if self.store.values.contains_key(&key) {
            return ClaimEvent::Exists(id);
        }
        self.store.values.insert(key, value);
        ClaimEvent::Created(id)
    }
}
