//! Simulates entries, agents and targets with fake links in virtual time, and injects faults.
//!
//! The state machines are the real ones, or naive ones with the same interface. Targets count runs.

use crate::hosts::{AnswerProgress, FakeHost, FakeStore};
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
const TICK_INTERVAL: Duration = Duration::from_millis(100);
const HOST_COUNT: usize = 3;
/// Later than any deadline plus the longest delay that a fault adds.
const SIMULATION_END: MonoTime = MonoTime::from_millis(100_000);

/// An event of the simulation. Callers, entries and hosts are given by index. A `u64` is the agent's
/// incarnation for which the event is meant; later incarnations ignore it.
#[derive(Debug, Clone)]
pub enum SimulationEvent {
    StartRequest(usize),
    PickHost(usize, Vec<HostName>),
    ToEntry(LinkId, LinkFrame),
    ToHost(LinkId, LinkFrame),
    EntryLinkLost(LinkId),
    HostLinkLost(LinkId),
    OpenLink(usize, usize),
    EntryLinkOpened(LinkId),
    HostGone(usize),
    RestartAgent(usize),
    Dequeue(usize, u64, RequestId),
    /// The `u64` has the agent's incarnation in its high half and the target's in its low half.
    TargetProgress(usize, u64, RequestId, AnswerProgress),
    TargetCrashed(usize, u64),
    StoreCall(usize, u64, ClaimAction),
    ClaimReply(usize, u64, ClaimEvent),
    InjectFault(Fault),
    CloseGate(usize),
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
    pub ended_at: MonoTime,
}

#[derive(Default)]
pub struct FakeEntry {
    pub budget: RetryTokenBucket,
    pub suspects: SuspectTable,
    pub suspended_until: MonoTime,
}

pub struct Simulation {
    pub kind: MachineKind,
    pub now: MonoTime,
    pub callers: Vec<Caller>,
    pub entries: Vec<FakeEntry>,
    pub hosts: Vec<FakeHost>,
    pub links: BTreeMap<LinkId, FakeLink>,
    pub store: FakeStore,
    /// Number of times that a target ran each request.
    pub runs: BTreeMap<RequestId, u32>,
    pub fault: Option<(Fault, Step)>,
    events: BTreeMap<(MonoTime, u64), SimulationEvent>,
    sequence: u64,
}

impl Simulation {
    pub fn new(kind: MachineKind, entries: usize, fault: Option<(Fault, Step)>) -> Self {
        let mut simulation = Self {
            kind,
            now: MonoTime::ZERO,
            callers: Vec::new(),
            entries: (0..entries).map(|_| FakeEntry::default()).collect(),
            hosts: (0..HOST_COUNT).map(|number| FakeHost::new(kind, number)).collect(),
            links: BTreeMap::new(),
            store: FakeStore::default(),
            runs: BTreeMap::new(),
            fault,
            events: BTreeMap::new(),
            sequence: 0,
        };
        for entry in 0..entries {
            (0..HOST_COUNT).for_each(|host| simulation.open_link(entry, host));
        }
        simulation.schedule(TICK_INTERVAL, SimulationEvent::Tick);
        simulation
    }

    /// Injects a fault after `delay`.
    pub fn schedule_fault(&mut self, delay: Duration, fault: Fault) {
        self.schedule(delay, SimulationEvent::InjectFault(fault));
    }

    /// Adds a caller whose request arrives after `delay`.
    pub fn add_caller(&mut self, delay: Duration, entry: usize, submit: SubmitFrame) {
        self.schedule(delay, SimulationEvent::StartRequest(self.callers.len()));
        self.callers.push(Caller {
            entry,
            submit,
            driver: None,
            has_head: false,
            body: Vec::new(),
            results: Vec::new(),
            ended_at: MonoTime::ZERO,
        });
    }

    pub fn schedule(&mut self, delay: Duration, event: SimulationEvent) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    /// Runs until long after the last deadline.
    pub fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > SIMULATION_END {
                return;
            }
            self.now = at;
            match self.suspended_until(&event) {
                Some(until) if until > at => self.schedule(until.since(at), event),
                _ => self.handle(event),
            }
        }
    }

    /// The time until which the process that handles the event is suspended.
    fn suspended_until(&self, event: &SimulationEvent) -> Option<MonoTime> {
        let host_of = |link: &LinkId| Some(self.hosts[self.links.get(link)?.host].suspended_until);
        let entry_of =
            |link: &LinkId| Some(self.entries[self.links.get(link)?.entry].suspended_until);
        match event {
            SimulationEvent::ToHost(link, _) | SimulationEvent::HostLinkLost(link) => host_of(link),
            SimulationEvent::ToEntry(link, _)
            | SimulationEvent::EntryLinkLost(link)
            | SimulationEvent::EntryLinkOpened(link) => entry_of(link),
            SimulationEvent::PickHost(caller, _) => {
                Some(self.entries[self.callers[*caller].entry].suspended_until)
            }
            SimulationEvent::OpenLink(entry, host) => {
                Some(self.entries[*entry].suspended_until.max(self.hosts[*host].suspended_until))
            }
            SimulationEvent::Dequeue(host, ..)
            | SimulationEvent::TargetProgress(host, ..)
            | SimulationEvent::TargetCrashed(host, _)
            | SimulationEvent::ClaimReply(host, ..) => Some(self.hosts[*host].suspended_until),
            _ => None,
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::StartRequest(caller) => self.start_request(caller),
            SimulationEvent::PickHost(caller, avoid) => self.pick_host(caller, &avoid),
            SimulationEvent::ToEntry(link, frame) => self.deliver_to_entry(link, frame),
            SimulationEvent::ToHost(link, frame) => self.deliver_to_host(link, frame),
            SimulationEvent::EntryLinkLost(link) => self.on_entry_link_lost(link),
            SimulationEvent::HostLinkLost(link) => {
                let host = self.links[&link].host;
                self.handle_ledger_event(host, LedgerEvent::LinkLost(link));
            }
            SimulationEvent::OpenLink(entry, host) => self.open_link(entry, host),
            SimulationEvent::EntryLinkOpened(link) => self.on_entry_link_opened(link),
            SimulationEvent::HostGone(host) => {
                let name = self.hosts[host].name.clone();
                let gone = DriverEvent::HostGone(name);
                (0..self.callers.len()).for_each(|caller| self.drive(caller, gone.clone()));
            }
            SimulationEvent::RestartAgent(host) => self.restart_agent(host),
            SimulationEvent::Dequeue(host, incarnation, id) => self.dequeue(host, incarnation, id),
            SimulationEvent::TargetProgress(host, incarnation, id, progress) => {
                self.handle_target_progress(host, incarnation, id, progress)
            }
            SimulationEvent::TargetCrashed(host, incarnation)
                if self.hosts[host].is_live_incarnation(incarnation) =>
            {
                self.handle_ledger_event(host, LedgerEvent::TargetCrashed);
            }
            SimulationEvent::TargetCrashed(..) => {}
            SimulationEvent::StoreCall(host, incarnation, action) => {
                self.handle_store_call(host, incarnation, action)
            }
            SimulationEvent::ClaimReply(host, incarnation, event)
                if self.hosts[host].is_live_incarnation(incarnation) =>
            {
                self.handle_claim_event(host, event);
            }
            SimulationEvent::ClaimReply(..) => {}
            SimulationEvent::InjectFault(fault) => self.inject(fault),
            SimulationEvent::LateWrite(key, value) => drop(self.create(RequestId(0), key, value)),
            SimulationEvent::CloseGate(host) => self.hosts[host].gate = TargetGate::Closed,
            SimulationEvent::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        self.schedule(TICK_INTERVAL, SimulationEvent::Tick);
        for caller in 0..self.callers.len() {
            let is_suspended = self.entries[self.callers[caller].entry].suspended_until > self.now;
            let driver = self.callers[caller].driver.as_ref();
            let is_due = driver.and_then(AnyDriver::next_tick).is_some_and(|tick| tick <= self.now);
            if is_due && !is_suspended {
                self.drive(caller, DriverEvent::Tick);
            }
        }
        for host in 0..HOST_COUNT {
            if self.hosts[host].is_live() && self.hosts[host].suspended_until <= self.now {
                self.handle_ledger_event(host, LedgerEvent::Tick);
                self.handle_claim_event(host, ClaimEvent::Tick);
            }
        }
    }

    fn start_request(&mut self, caller: usize) {
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

    /// Picks the first host in order that has a usable link and was not tried.
    fn pick_host(&mut self, caller: usize, avoid: &[HostName]) {
        let entry = self.callers[caller].entry;
        let is_usable = |link: &FakeLink| link.entry == entry && link.state != LinkState::Dead;
        let links = self.links.iter().filter(|(_, link)| is_usable(link));
        let links = links.filter(|(_, link)| !avoid.contains(&self.hosts[link.host].name));
        let chosen = links.min_by_key(|(_, link)| link.host).map(|(id, _)| *id);
        let event = match chosen {
            Some(link) => DriverEvent::TargetChosen(self.target_choice(link)),
            None => DriverEvent::NoTarget(ResultCode::NotServing),
        };
        self.drive(caller, event);
    }

    pub fn target_choice(&self, id: LinkId) -> TargetChoice {
        let link = &self.links[&id];
        let host = self.hosts[link.host].name.clone();
        TargetChoice {
            host,
            incarnation: HostIncarnation(link.incarnation),
            link: id,
            digest: None,
        }
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
                DriverAction::Pick { avoid } => {
                    self.schedule(MS, SimulationEvent::PickHost(caller, avoid))
                }
                DriverAction::Send { link, frame } => {
                    let is_submit = matches!(frame, LinkFrame::Submit(_));
                    self.send(link, frame, SimulationEvent::ToHost);
                    if is_submit {
                        self.reach(Step::Sent);
                    }
                }
                DriverAction::CancelLater { .. } => {}
                DriverAction::ForwardHead { .. } => self.callers[caller].has_head = true,
                DriverAction::ForwardBody(bytes) => self.callers[caller].body.extend(bytes),
                DriverAction::Finish(code) => {
                    self.callers[caller].results.push(code);
                    self.callers[caller].ended_at = self.now;
                }
            }
        }
    }

    pub fn handle_ledger_event(&mut self, host: usize, event: LedgerEvent) {
        let actions = self.hosts[host].ledger.on_event(self.now, event);
        let incarnation = self.hosts[host].incarnation;
        for action in actions {
            match action {
                LedgerAction::Enqueue(submit) => {
                    self.schedule(2 * MS, SimulationEvent::Dequeue(host, incarnation, submit.id));
                }
                LedgerAction::Recheck(id) => self.dequeue(host, incarnation, id),
                LedgerAction::Claim(submit) => {
                    let nonce = u128::from(incarnation) << 64 | u128::from(self.sequence);
                    self.handle_claim_event(host, ClaimEvent::Begin { submit, nonce });
                }
                LedgerAction::ReleaseClaim(id) => {
                    self.handle_claim_event(host, ClaimEvent::Released(id))
                }
                LedgerAction::Dispatch(submit) => self.dispatch(host, &submit),
                LedgerAction::CancelTarget(id) => self.hosts[host].cancelled.push(id),
                LedgerAction::Send { link, frame } => {
                    self.send(link, frame, SimulationEvent::ToEntry)
                }
                _ => {}
            }
        }
    }

    fn handle_claim_event(&mut self, host: usize, event: ClaimEvent) {
        let actions = self.hosts[host].claims.on_event(self.now, event);
        let incarnation = self.hosts[host].incarnation;
        for action in actions {
            if let ClaimAction::Settled { id, verdict } = action {
                let gate = self.hosts[host].gate;
                self.handle_ledger_event(host, LedgerEvent::Claimed { id, verdict, gate });
            } else {
                self.schedule(MS, SimulationEvent::StoreCall(host, incarnation, action));
            }
        }
    }
}
