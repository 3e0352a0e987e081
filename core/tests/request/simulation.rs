//! Entries, agents and targets joined by fake links in virtual time, with one fault at one step.
//!
//! The state machines are the real ones, or naive ones with the same interface. Targets count runs.

use crate::hosts::{FakeHost, FakeStore, Progress};
use crate::inject::{Fault, Step};
use crate::links::{FakeLink, LinkState};
use crate::naive::{AnyDriver, MachineKind};
use buckthornwharf_core::frame::{LinkFrame, SubmitFrame};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::LinkId;
use buckthornwharf_core::request::attempt::{DriverAction, DriverEvent, TargetChoice};
use buckthornwharf_core::request::budget::RetryTokenBucket;
use buckthornwharf_core::request::claim::{ClaimAction, ClaimEvent, ClaimKey};
use buckthornwharf_core::request::ledger::{LedgerAction, LedgerEvent, TargetGate};
use buckthornwharf_core::request::poison::{SuspectTable, SuspectVerdict};
use bytes::Bytes;
use std::collections::BTreeMap;

const MS: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(100);
const HOSTS: usize = 3;
/// Longer than any delay that a fault adds after the last deadline.
const END: MonoTime = MonoTime::from_millis(100_000);

#[derive(Debug, Clone)]
pub enum WorldEvent {
    Start(usize),
    Pick(usize, Vec<HostName>),
    ToEntry(LinkId, LinkFrame),
    ToHost(LinkId, LinkFrame),
    EntryLost(LinkId),
    HostLost(LinkId),
    Open(usize, usize),
    EntryOpened(LinkId),
    HostGone(usize),
    Restart(usize),
    Turn(usize, u64, RequestId),
    Target(usize, u64, RequestId, Progress),
    Crashed(usize, u64),
    Store(usize, u64, ClaimAction),
    Claim(usize, u64, ClaimEvent),
    Fault(Fault),
    ShutGate(usize),
    LateWrite(ClaimKey, Bytes),
    Tick,
}

pub struct Caller {
    pub entry: usize,
    pub submit: SubmitFrame,
    pub driver: Option<AnyDriver>,
    pub has_head: bool,
    pub body: Vec<u8>,
    pub results: Vec<ResultCode>,
    pub ended: MonoTime,
}

#[derive(Default)]
pub struct Entry {
    pub budget: RetryTokenBucket,
    pub suspects: SuspectTable,
    pub frozen_until: MonoTime,
}

pub struct World {
    pub kind: MachineKind,
    pub now: MonoTime,
    pub callers: Vec<Caller>,
    pub entries: Vec<Entry>,
    pub hosts: Vec<FakeHost>,
    pub links: BTreeMap<LinkId, FakeLink>,
    pub store: FakeStore,
    pub runs: BTreeMap<RequestId, u32>,
    pub fault: Option<(Fault, Step)>,
    events: BTreeMap<(MonoTime, u64), WorldEvent>,
    sequence: u64,
}

impl World {
    pub fn new(kind: MachineKind, entries: usize, fault: Option<(Fault, Step)>) -> Self {
        let mut world = Self {
            kind,
            now: MonoTime::ZERO,
            callers: Vec::new(),
            entries: (0..entries).map(|_| Entry::default()).collect(),
            hosts: (0..HOSTS).map(|number| FakeHost::new(kind, number)).collect(),
            links: BTreeMap::new(),
            store: FakeStore::default(),
            runs: BTreeMap::new(),
            fault,
            events: BTreeMap::new(),
            sequence: 0,
        };
        for entry in 0..entries {
            (0..HOSTS).for_each(|host| world.open_link(entry, host));
        }
        world.after(TICK, WorldEvent::Tick);
        world
    }

    /// Brings about a fault at `at`.
    pub fn fault_at(&mut self, at: Duration, fault: Fault) {
        self.after(at, WorldEvent::Fault(fault));
    }

    /// Adds a caller whose request comes at `at`.
    pub fn call(&mut self, at: Duration, entry: usize, submit: SubmitFrame) {
        self.after(at, WorldEvent::Start(self.callers.len()));
        self.callers.push(Caller {
            entry,
            submit,
            driver: None,
            has_head: false,
            body: Vec::new(),
            results: Vec::new(),
            ended: MonoTime::ZERO,
        });
    }

    pub fn after(&mut self, delay: Duration, event: WorldEvent) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    /// Runs until long after the last deadline.
    pub fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > END {
                return;
            }
            self.now = at;
            match self.frozen_until(&event) {
                Some(until) if until > at => self.after(until.since(at), event),
                _ => self.handle(event),
            }
        }
    }

    /// Until when the process that takes the event is frozen.
    fn frozen_until(&self, event: &WorldEvent) -> Option<MonoTime> {
        let host_of = |link: &LinkId| Some(self.hosts[self.links.get(link)?.host].frozen_until);
        let entry_of = |link: &LinkId| Some(self.entries[self.links.get(link)?.entry].frozen_until);
        match event {
            WorldEvent::ToHost(link, _) | WorldEvent::HostLost(link) => host_of(link),
            WorldEvent::ToEntry(link, _)
            | WorldEvent::EntryLost(link)
            | WorldEvent::EntryOpened(link) => entry_of(link),
            WorldEvent::Pick(caller, _) => {
                Some(self.entries[self.callers[*caller].entry].frozen_until)
            }
            WorldEvent::Open(entry, host) => {
                Some(self.entries[*entry].frozen_until.max(self.hosts[*host].frozen_until))
            }
            WorldEvent::Turn(host, ..)
            | WorldEvent::Target(host, ..)
            | WorldEvent::Crashed(host, _)
            | WorldEvent::Claim(host, ..) => Some(self.hosts[*host].frozen_until),
            _ => None,
        }
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Start(caller) => self.start(caller),
            WorldEvent::Pick(caller, avoid) => self.pick(caller, &avoid),
            WorldEvent::ToEntry(link, frame) => self.deliver_to_entry(link, frame),
            WorldEvent::ToHost(link, frame) => self.deliver_to_host(link, frame),
            WorldEvent::EntryLost(link) => self.entry_lost(link),
            WorldEvent::HostLost(link) => {
                let host = self.links[&link].host;
                self.ledger(host, LedgerEvent::LinkLost(link));
            }
            WorldEvent::Open(entry, host) => self.open_link(entry, host),
            WorldEvent::EntryOpened(link) => self.entry_opened(link),
            WorldEvent::HostGone(host) => {
                let name = self.hosts[host].name.clone();
                let gone = DriverEvent::HostGone(name);
                (0..self.callers.len()).for_each(|caller| self.drive(caller, gone.clone()));
            }
            WorldEvent::Restart(host) => self.restart(host),
            WorldEvent::Turn(host, run, id) => self.turn(host, run, id),
            WorldEvent::Target(host, run, id, progress) => self.target(host, run, id, progress),
            WorldEvent::Crashed(host, run) if self.hosts[host].is_run(run) => {
                self.ledger(host, LedgerEvent::TargetCrashed);
            }
            WorldEvent::Crashed(..) => {}
            WorldEvent::Store(host, run, action) => self.store_call(host, run, action),
            WorldEvent::Claim(host, run, event) if self.hosts[host].is_run(run) => {
                self.claim(host, event);
            }
            WorldEvent::Claim(..) => {}
            WorldEvent::Fault(fault) => self.inject(fault),
            WorldEvent::LateWrite(key, value) => drop(self.create(RequestId(0), key, value)),
            WorldEvent::ShutGate(host) => self.hosts[host].gate = TargetGate::Closed,
            WorldEvent::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        self.after(TICK, WorldEvent::Tick);
        for caller in 0..self.callers.len() {
            let is_frozen = self.entries[self.callers[caller].entry].frozen_until > self.now;
            let driver = self.callers[caller].driver.as_ref();
            let is_due = driver.and_then(AnyDriver::next_tick).is_some_and(|tick| tick <= self.now);
            if is_due && !is_frozen {
                self.drive(caller, DriverEvent::Tick);
            }
        }
        for host in 0..HOSTS {
            if self.hosts[host].is_live() && self.hosts[host].frozen_until <= self.now {
                self.ledger(host, LedgerEvent::Tick);
                self.claim(host, ClaimEvent::Tick);
            }
        }
    }

    fn start(&mut self, caller: usize) {
        let entry = self.callers[caller].entry;
        let mut submit = self.callers[caller].submit.clone();
        match self.entries[entry].suspects.verdict(self.now, submit.fingerprint) {
            SuspectVerdict::Clear => {}
            SuspectVerdict::Suspect => submit.suspect = true,
            SuspectVerdict::Poisonous => {
                return self.carry_out(caller, vec![DriverAction::Finish(ResultCode::Poisonous)]);
            }
        }
        let budget = &mut self.entries[entry].budget;
        let (driver, actions) = AnyDriver::start(self.kind, self.now, submit, budget);
        self.callers[caller].driver = Some(driver);
        self.carry_out(caller, actions);
        self.reach(Step::Queued);
    }

    /// The first host in order that has an open link and was not tried.
    fn pick(&mut self, caller: usize, avoid: &[HostName]) {
        let entry = self.callers[caller].entry;
        let usable = |link: &FakeLink| link.entry == entry && link.state != LinkState::Dead;
        let links = self.links.iter().filter(|(_, link)| usable(link));
        let links = links.filter(|(_, link)| !avoid.contains(&self.hosts[link.host].name));
        let chosen = links.min_by_key(|(_, link)| link.host).map(|(id, _)| *id);
        let event = match chosen {
            Some(link) => DriverEvent::TargetChosen(self.choice(link)),
            None => DriverEvent::NoTarget(ResultCode::NotServing),
        };
        self.drive(caller, event);
    }

    pub fn choice(&self, id: LinkId) -> TargetChoice {
        let link = &self.links[&id];
        let host = self.hosts[link.host].name.clone();
        TargetChoice { host, incarnation: HostIncarnation(link.run), link: id, digest: None }
    }

    pub fn drive(&mut self, caller: usize, event: DriverEvent) {
        let entry = self.callers[caller].entry;
        let Some(driver) = &mut self.callers[caller].driver else { return };
        let actions = driver.on_event(self.now, event, &mut self.entries[entry].budget);
        self.carry_out(caller, actions);
    }

    fn carry_out(&mut self, caller: usize, actions: Vec<DriverAction>) {
        for action in actions {
            match action {
                DriverAction::Pick { avoid } => self.after(MS, WorldEvent::Pick(caller, avoid)),
                DriverAction::Send { link, frame } => {
                    let is_submit = matches!(frame, LinkFrame::Submit(_));
                    self.send(link, frame, WorldEvent::ToHost);
                    if is_submit {
                        self.reach(Step::Sent);
                    }
                }
                DriverAction::CancelLater { .. } => {}
                DriverAction::ForwardHead { .. } => self.callers[caller].has_head = true,
                DriverAction::ForwardBody(bytes) => self.callers[caller].body.extend(bytes),
                DriverAction::Finish(code) => {
                    self.callers[caller].results.push(code);
                    self.callers[caller].ended = self.now;
                }
            }
        }
    }

    pub fn ledger(&mut self, host: usize, event: LedgerEvent) {
        let actions = self.hosts[host].ledger.on_event(self.now, event);
        let run = self.hosts[host].run;
        for action in actions {
            match action {
                LedgerAction::Enqueue(submit) => {
                    self.after(2 * MS, WorldEvent::Turn(host, run, submit.id));
                }
                LedgerAction::Recheck(id) => self.turn(host, run, id),
                LedgerAction::Claim(submit) => {
                    let nonce = u128::from(run) << 64 | u128::from(self.sequence);
                    self.claim(host, ClaimEvent::Begin { submit, nonce });
                }
                LedgerAction::ReleaseClaim(id) => self.claim(host, ClaimEvent::Released(id)),
                LedgerAction::Dispatch(submit) => self.dispatch(host, &submit),
                LedgerAction::CancelTarget(id) => self.hosts[host].cancelled.push(id),
                LedgerAction::Send { link, frame } => self.send(link, frame, WorldEvent::ToEntry),
                _ => {}
            }
        }
    }

    fn claim(&mut self, host: usize, event: ClaimEvent) {
        let actions = self.hosts[host].claims.on_event(self.now, event);
        let run = self.hosts[host].run;
        for action in actions {
            if let ClaimAction::Settled { id, verdict } = action {
                let gate = self.hosts[host].gate;
                self.ledger(host, LedgerEvent::Claimed { id, verdict, gate });
            } else {
                self.after(MS, WorldEvent::Store(host, run, action));
            }
        }
    }
}
