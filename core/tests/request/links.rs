//! Fake links, which can lose, delay, duplicate and reorder frames.

use crate::inject::Step;
use crate::simulation::{Simulation, SimulationEvent};
use buckthornwharf_core::frame::{LinkFrame, SuspectFrame};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::LinkId;
use buckthornwharf_core::request::attempt::DriverEvent;
use buckthornwharf_core::request::ledger::LedgerEvent;

const LINK_LATENCY: Duration = Duration::from_millis(1);
/// Longer than the interval between two parts of an answer.
const REORDER_DELAY: Duration = Duration::from_millis(15);
const DUPLICATE_DELAY: Duration = Duration::from_secs(3);
const LATE_FRAME_DELAY: Duration = Duration::from_secs(4);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    Open,
    /// Both sides count the link as lost, but its frames still arrive late.
    Late,
    Dead,
}

#[derive(Debug)]
pub struct FakeLink {
    pub entry: usize,
    pub host: usize,
    /// The agent's incarnation at the other end.
    pub incarnation: u64,
    pub state: LinkState,
    pub reorders_frames: bool,
    pub duplicates_frames: bool,
    frames_sent: u32,
}

impl Simulation {
    pub fn open_link(&mut self, entry: usize, host: usize) {
        if !self.hosts[host].is_live() {
            return;
        }
        let id = LinkId(self.links.len() as u64 + 1);
        let incarnation = self.hosts[host].incarnation;
        // An entry has one open link to a host: it drops an older one.
        let is_older = |link: &&mut FakeLink| link.entry == entry && link.host == host;
        let drop_link = |link: &mut FakeLink| {
            if link.state == LinkState::Open {
                link.state = LinkState::Dead;
            }
        };
        self.links.values_mut().filter(is_older).for_each(drop_link);
        let link = FakeLink {
            entry,
            host,
            incarnation,
            state: LinkState::Open,
            reorders_frames: false,
            duplicates_frames: false,
            frames_sent: 0,
        };
        self.links.insert(id, link);
        let name = format!("entry-{entry}").into();
        let opened =
            LedgerEvent::LinkOpened { link: id, entry: name, incarnation: HostIncarnation(1) };
        self.handle_ledger_event(host, opened);
        self.schedule(LINK_LATENCY, SimulationEvent::EntryLinkOpened(id));
    }

    pub fn send(
        &mut self,
        id: LinkId,
        frame: LinkFrame,
        arrival_event: fn(LinkId, LinkFrame) -> SimulationEvent,
    ) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.frames_sent += 1;
        let is_delayed = link.reorders_frames && link.frames_sent % 2 == 1;
        let delay = match link.state {
            LinkState::Late => LATE_FRAME_DELAY,
            _ if is_delayed => REORDER_DELAY,
            _ => LINK_LATENCY,
        };
        if link.duplicates_frames {
            self.schedule(2 * LINK_LATENCY, arrival_event(id, frame.clone()));
            self.schedule(DUPLICATE_DELAY, arrival_event(id, frame.clone()));
        }
        self.schedule(delay, arrival_event(id, frame));
    }

    fn is_delivering(&self, id: LinkId) -> bool {
        self.links.get(&id).is_some_and(|link| link.state != LinkState::Dead)
    }

    pub fn deliver_to_host(&mut self, link: LinkId, frame: LinkFrame) {
        let FakeLink { host, incarnation, .. } = self.links[&link];
        if self.is_delivering(link) && self.hosts[host].is_live_incarnation(incarnation) {
            self.handle_ledger_event(host, LedgerEvent::Frame { link, frame });
        }
    }

    pub fn deliver_to_entry(&mut self, link: LinkId, frame: LinkFrame) {
        if !self.is_delivering(link) {
            return;
        }
        if let LinkFrame::Suspects(suspects) = frame {
            return self.forward_suspects(link, &suspects);
        }
        let step = match &frame {
            LinkFrame::Accepted(_) => Some(Step::Accepted),
            LinkFrame::Body(_) => Some(Step::FirstByte),
            _ => None,
        };
        let entry = self.links[&link].entry;
        for caller in 0..self.callers.len() {
            if self.callers[caller].entry == entry {
                self.drive(caller, DriverEvent::Frame { link, frame: frame.clone() });
            }
        }
        step.into_iter().for_each(|step| self.reach(step));
    }

    /// Lets an entry forward suspects that are new to it to all other agents.
    fn forward_suspects(&mut self, from: LinkId, suspects: &SuspectFrame) {
        let entry = self.links[&from].entry;
        let Some(new_suspects) = self.entries[entry].suspects.merge(self.now, suspects) else {
            return;
        };
        let links = self.links.iter().filter(|(id, link)| link.entry == entry && **id != from);
        let links: Vec<LinkId> = links.map(|(id, _)| *id).collect();
        for link in links {
            self.send(link, LinkFrame::Suspects(new_suspects.clone()), SimulationEvent::ToHost);
        }
    }

    pub fn on_entry_link_lost(&mut self, link: LinkId) {
        let entry = self.links[&link].entry;
        for caller in 0..self.callers.len() {
            if self.callers[caller].entry == entry {
                self.drive(caller, DriverEvent::LinkLost(link));
            }
        }
    }

    pub fn on_entry_link_opened(&mut self, link: LinkId) {
        let entry = self.links[&link].entry;
        let reopened = DriverEvent::LinkReopened(self.target_choice(link));
        for caller in 0..self.callers.len() {
            if self.callers[caller].entry == entry {
                self.drive(caller, reopened.clone());
            }
        }
    }
}
