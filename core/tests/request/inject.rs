//! The faults and how each is injected.

use crate::links::{FakeLink, LinkState};
use crate::naive::AnyDriver;
use crate::simulation::{Simulation, SimulationEvent};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::LinkId;
use buckthornwharf_core::request::attempt::DriverEvent;
use buckthornwharf_core::request::heartbeat::HEARTBEAT_TIMEOUT;
use strum::{Display, EnumIter};

const MS: Duration = Duration::from_millis(1);
const LINK_LOSS_DELAY: Duration = HEARTBEAT_TIMEOUT;

#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    None,
    /// The agent's process is killed and restarts.
    KillAgent,
    /// The host is lost permanently.
    KillHost,
    /// The link loses all frames; both sides notice at once.
    LinkCut,
    /// The link loses all frames; both sides notice after [`HEARTBEAT_TIMEOUT`].
    SilentLink,
    SuspendAgent1s,
    SuspendAgent8s,
    SuspendAgent30s,
    SuspendEntry8s,
    SuspendEntry30s,
    CrashTarget,
    /// Frames still arrive after both sides have lost the link.
    LateFrames,
    ReorderedFrames,
    DuplicatedFrames,
    LostClaimAnswer,
    /// Calls of the key-value service fail without effect.
    StoreOutage,
    /// Calls take effect, but their answers are lost.
    SlowStore,
    /// Writes take effect only after their callers have timed out.
    LateWrites,
    CallerGone,
    /// The agent stops dispatching to its target.
    GateClosed,
}

/// A step of a request at which a fault can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, EnumIter, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    Queued,
    Sent,
    Accepted,
    Claimed,
    Dispatched,
    FirstByte,
    MidStream,
    End,
}

impl Simulation {
    /// Injects the fault of the simulation if it is due at this step.
    pub fn reach(&mut self, step: Step) {
        if self.fault.is_some_and(|(_, at)| at == step) {
            let (fault, _) = self.fault.take().unwrap_or((Fault::None, step));
            self.inject(fault);
        }
    }

    /// Sets the state of a link. Both sides lose it after `delay`, and 50 ms later a new link opens.
    pub fn replace_link(&mut self, id: LinkId, state: LinkState, delay: Duration) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.state = state;
        let (entry, host) = (link.entry, link.host);
        self.schedule(delay, SimulationEvent::EntryLinkLost(id));
        self.schedule(delay, SimulationEvent::HostLinkLost(id));
        self.schedule(delay + 50 * MS, SimulationEvent::OpenLink(entry, host));
    }

    pub fn inject(&mut self, fault: Fault) {
        let links: Vec<LinkId> = self.current_links();
        let hosts: Vec<usize> = links.iter().map(|link| self.links[link].host).collect();
        match fault {
            Fault::None => {}
            Fault::KillAgent => hosts.iter().for_each(|host| self.kill(*host, true)),
            Fault::KillHost => hosts.iter().for_each(|host| self.kill(*host, false)),
            Fault::LinkCut => links.iter().for_each(|l| self.replace_link(*l, LinkState::Dead, MS)),
            Fault::SilentLink => {
                links.iter().for_each(|l| self.replace_link(*l, LinkState::Dead, LINK_LOSS_DELAY));
            }
            Fault::LateFrames => {
                links.iter().for_each(|l| self.replace_link(*l, LinkState::Late, LINK_LOSS_DELAY));
            }
            Fault::SuspendAgent1s => hosts.iter().for_each(|host| self.suspend_agent(*host, 1)),
            Fault::SuspendAgent8s => hosts.iter().for_each(|host| self.suspend_agent(*host, 8)),
            Fault::SuspendAgent30s => hosts.iter().for_each(|host| self.suspend_agent(*host, 30)),
            Fault::SuspendEntry8s => self.suspend_entry(8),
            Fault::SuspendEntry30s => self.suspend_entry(30),
            Fault::CrashTarget => hosts.iter().for_each(|host| self.crash_target(*host)),
            Fault::ReorderedFrames => self.set_links(&links, |link| link.reorders_frames = true),
            Fault::DuplicatedFrames => self.set_links(&links, |link| link.duplicates_frames = true),
            Fault::LostClaimAnswer => self.store.loses_next_answer = true,
            Fault::StoreOutage => self.store.down_until = self.now + Duration::from_secs(5),
            Fault::SlowStore => self.store.slow_until = self.now + Duration::from_secs(5),
            Fault::LateWrites => self.store.late_writes_until = self.now + Duration::from_secs(5),
            Fault::CallerGone => self.drive(0, DriverEvent::CallerGone),
            Fault::GateClosed => {
                hosts.iter().for_each(|host| self.schedule(MS, SimulationEvent::CloseGate(*host)));
            }
        }
    }

    /// The link of the first caller's attempt, or else the newest one from the first entry to the first
    /// host.
    fn current_links(&self) -> Vec<LinkId> {
        let link = self.callers[0].driver.as_ref().and_then(AnyDriver::link);
        let newest = || {
            let mut links = self.links.iter().rev();
            links.find(|(_, link)| link.host == 0 && link.entry == 0).map(|(id, _)| *id)
        };
        link.or_else(newest).into_iter().collect()
    }

    fn set_links(&mut self, links: &[LinkId], change: impl Fn(&mut FakeLink)) {
        for (_, link) in self.links.iter_mut().filter(|(id, _)| links.contains(id)) {
            change(link);
        }
    }

    /// Suspends an agent. If that is for long, its entries lose their links to it and open others when
    /// it resumes.
    fn suspend_agent(&mut self, host: usize, seconds: u64) {
        self.hosts[host].suspended_until = self.now + Duration::from_secs(seconds);
        if Duration::from_secs(seconds) < LINK_LOSS_DELAY {
            return;
        }
        for (id, entry) in self.links_of_host(host) {
            self.schedule(LINK_LOSS_DELAY, SimulationEvent::EntryLinkLost(id));
            self.schedule(LINK_LOSS_DELAY, SimulationEvent::OpenLink(entry, host));
        }
    }

    fn suspend_entry(&mut self, seconds: u64) {
        self.entries[0].suspended_until = self.now + Duration::from_secs(seconds);
        let links = self.links.iter().filter(|(_, l)| l.entry == 0 && l.state == LinkState::Open);
        let links: Vec<LinkId> = links.map(|(id, _)| *id).collect();
        links.iter().for_each(|id| self.replace_link(*id, LinkState::Dead, LINK_LOSS_DELAY));
    }

    pub fn links_of_host(&self, host: usize) -> Vec<(LinkId, usize)> {
        let links = self.links.iter();
        let links = links.filter(|(_, link)| link.host == host && link.state != LinkState::Dead);
        links.map(|(id, link)| (*id, link.entry)).collect()
    }
}
