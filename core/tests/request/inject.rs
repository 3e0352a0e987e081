//! The faults, and how each is brought about.

use crate::links::{FakeLink, LinkState};
use crate::naive::AnyDriver;
use crate::simulation::{World, WorldEvent};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::LinkId;
use buckthornwharf_core::request::attempt::DriverEvent;
use buckthornwharf_core::request::heartbeat::HEARTBEAT_TIMEOUT;
use strum::{Display, EnumIter};

const MS: Duration = Duration::from_millis(1);
const SILENCE: Duration = HEARTBEAT_TIMEOUT;

#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    None,
    KillAgent,
    KillHost,
    Cut,
    SilentLink,
    FreezeAgent1s,
    FreezeAgent8s,
    FreezeAgent30s,
    FreezeEntry8s,
    FreezeEntry30s,
    CrashTarget,
    LateFrames,
    CrossedFrames,
    DoubledFrames,
    LostClaimAnswer,
    StoreOutage,
    SlowStore,
    LateWrites,
    CallerGone,
    GateShut,
}

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

impl World {
    /// Brings about the fault, if it is due at this step.
    pub fn reach(&mut self, step: Step) {
        if self.fault.is_some_and(|(_, at)| at == step) {
            let (fault, _) = self.fault.take().unwrap_or((Fault::None, step));
            self.inject(fault);
        }
    }

    /// Cuts off a link: nothing more is delivered on it, and another one opens after `delay`.
    pub fn replace_link(&mut self, id: LinkId, state: LinkState, delay: Duration) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.state = state;
        let (entry, host) = (link.entry, link.host);
        self.after(delay, WorldEvent::EntryLost(id));
        self.after(delay, WorldEvent::HostLost(id));
        self.after(delay + 50 * MS, WorldEvent::Open(entry, host));
    }

    pub fn inject(&mut self, fault: Fault) {
        let links: Vec<LinkId> = self.current_links();
        let hosts: Vec<usize> = links.iter().map(|link| self.links[link].host).collect();
        match fault {
            Fault::None => {}
            Fault::KillAgent => hosts.iter().for_each(|host| self.kill(*host, true)),
            Fault::KillHost => hosts.iter().for_each(|host| self.kill(*host, false)),
            Fault::Cut => links.iter().for_each(|l| self.replace_link(*l, LinkState::Dead, MS)),
            Fault::SilentLink => {
                links.iter().for_each(|l| self.replace_link(*l, LinkState::Dead, SILENCE));
            }
            Fault::LateFrames => {
                links.iter().for_each(|l| self.replace_link(*l, LinkState::Late, SILENCE));
            }
            Fault::FreezeAgent1s => hosts.iter().for_each(|host| self.freeze(*host, 1)),
            Fault::FreezeAgent8s => hosts.iter().for_each(|host| self.freeze(*host, 8)),
            Fault::FreezeAgent30s => hosts.iter().for_each(|host| self.freeze(*host, 30)),
            Fault::FreezeEntry8s => self.freeze_entry(8),
            Fault::FreezeEntry30s => self.freeze_entry(30),
            Fault::CrashTarget => hosts.iter().for_each(|host| self.crash_target(*host)),
            Fault::CrossedFrames => self.set_links(&links, |link| link.is_crossing = true),
            Fault::DoubledFrames => self.set_links(&links, |link| link.is_doubling = true),
            Fault::LostClaimAnswer => self.store.loses_next = true,
            Fault::StoreOutage => self.store.down_until = self.now + Duration::from_secs(5),
            Fault::SlowStore => self.store.slow_until = self.now + Duration::from_secs(5),
            Fault::LateWrites => self.store.late_until = self.now + Duration::from_secs(5),
            Fault::CallerGone => self.drive(0, DriverEvent::CallerGone),
            Fault::GateShut => {
                hosts.iter().for_each(|host| self.after(MS, WorldEvent::ShutGate(*host)));
            }
        }
    }

    /// The link of the first caller's attempt, or that to the first host.
    fn current_links(&self) -> Vec<LinkId> {
        let link = self.callers[0].driver.as_ref().and_then(AnyDriver::link);
        let first = || {
            let mut links = self.links.iter().rev();
            links.find(|(_, link)| link.host == 0 && link.entry == 0).map(|(id, _)| *id)
        };
        link.or_else(first).into_iter().collect()
    }

    fn set_links(&mut self, links: &[LinkId], change: impl Fn(&mut FakeLink)) {
        for (_, link) in self.links.iter_mut().filter(|(id, _)| links.contains(id)) {
            change(link);
        }
    }

    /// Freezes an agent. Its entries find its links silent, and open others when it wakes.
    fn freeze(&mut self, host: usize, seconds: u64) {
        self.hosts[host].frozen_until = self.now + Duration::from_secs(seconds);
        if Duration::from_secs(seconds) < SILENCE {
            return;
        }
        for (id, entry) in self.links_of_host(host) {
            self.after(SILENCE, WorldEvent::EntryLost(id));
            self.after(SILENCE, WorldEvent::Open(entry, host));
        }
    }

    fn freeze_entry(&mut self, seconds: u64) {
        self.entries[0].frozen_until = self.now + Duration::from_secs(seconds);
        let links = self.links.iter().filter(|(_, l)| l.entry == 0 && l.state == LinkState::Open);
        let links: Vec<LinkId> = links.map(|(id, _)| *id).collect();
        links.iter().for_each(|id| self.replace_link(*id, LinkState::Dead, SILENCE));
    }

    pub fn links_of_host(&self, host: usize) -> Vec<(LinkId, usize)> {
        let links = self.links.iter();
        let links = links.filter(|(_, link)| link.host == host && link.state != LinkState::Dead);
        links.map(|(id, link)| (*id, link.entry)).collect()
    }
}
