//! Fake links: what arrives, when, how often and in which order.

use crate::inject::Step;
use crate::simulation::{World, WorldEvent};
use buckthornwharf_core::frame::{LinkFrame, SuspectFrame};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::LinkId;
use buckthornwharf_core::request::attempt::DriverEvent;
use buckthornwharf_core::request::ledger::LedgerEvent;

const LATENCY: Duration = Duration::from_millis(1);
/// Longer than the gap between two parts of an answer.
const CROSSING_DELAY: Duration = Duration::from_millis(15);
const DOUBLED_DELAY: Duration = Duration::from_secs(3);
const LATE_DELAY: Duration = Duration::from_secs(4);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    Open,
    /// Frames still arrive, long after both sides have given the link up.
    Late,
    Dead,
}

#[derive(Debug)]
pub struct FakeLink {
    pub entry: usize,
    pub host: usize,
    pub run: u64,
    pub state: LinkState,
    pub is_crossing: bool,
    pub is_doubling: bool,
    sent: u32,
}

impl World {
    pub fn open_link(&mut self, entry: usize, host: usize) {
        if !self.hosts[host].is_live() {
            return;
        }
        let id = LinkId(self.links.len() as u64 + 1);
        let run = self.hosts[host].run;
        // The entry has one link to a host: an older one is given up.
        let older = |link: &&mut FakeLink| link.entry == entry && link.host == host;
        let given_up = |link: &mut FakeLink| {
            if link.state == LinkState::Open {
                link.state = LinkState::Dead;
            }
        };
        self.links.values_mut().filter(older).for_each(given_up);
        let link = FakeLink {
            entry,
            host,
            run,
            state: LinkState::Open,
            is_crossing: false,
            is_doubling: false,
            sent: 0,
        };
        self.links.insert(id, link);
        let name = format!("entry-{entry}").into();
        let opened =
            LedgerEvent::LinkOpened { link: id, entry: name, incarnation: HostIncarnation(1) };
        self.ledger(host, opened);
        self.after(LATENCY, WorldEvent::EntryOpened(id));
    }

    pub fn send(
        &mut self,
        id: LinkId,
        frame: LinkFrame,
        arrival: fn(LinkId, LinkFrame) -> WorldEvent,
    ) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.sent += 1;
        let is_held = link.is_crossing && link.sent % 2 == 1;
        let delay = match link.state {
            LinkState::Late => LATE_DELAY,
            _ if is_held => CROSSING_DELAY,
            _ => LATENCY,
        };
        if link.is_doubling {
            self.after(2 * LATENCY, arrival(id, frame.clone()));
            self.after(DOUBLED_DELAY, arrival(id, frame.clone()));
        }
        self.after(delay, arrival(id, frame));
    }

    fn is_delivering(&self, id: LinkId) -> bool {
        self.links.get(&id).is_some_and(|link| link.state != LinkState::Dead)
    }

    pub fn deliver_to_host(&mut self, link: LinkId, frame: LinkFrame) {
        let FakeLink { host, run, .. } = self.links[&link];
        if self.is_delivering(link) && self.hosts[host].is_run(run) {
            self.ledger(host, LedgerEvent::Frame { link, frame });
        }
    }

    pub fn deliver_to_entry(&mut self, link: LinkId, frame: LinkFrame) {
        if !self.is_delivering(link) {
            return;
        }
        if let LinkFrame::Suspects(suspects) = frame {
            return self.relay_suspects(link, &suspects);
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

    /// An entry passes what is new to it on to all other agents.
    fn relay_suspects(&mut self, from: LinkId, suspects: &SuspectFrame) {
        let entry = self.links[&from].entry;
        let Some(news) = self.entries[entry].suspects.merge(self.now, suspects) else { return };
        let links = self.links.iter().filter(|(id, link)| link.entry == entry && **id != from);
        let links: Vec<LinkId> = links.map(|(id, _)| *id).collect();
        for link in links {
            self.send(link, LinkFrame::Suspects(news.clone()), WorldEvent::ToHost);
        }
    }

    pub fn entry_lost(&mut self, link: LinkId) {
        let entry = self.links[&link].entry;
        for caller in 0..self.callers.len() {
            if self.callers[caller].entry == entry {
                self.drive(caller, DriverEvent::LinkLost(link));
            }
        }
    }

    pub fn entry_opened(&mut self, link: LinkId) {
        let entry = self.links[&link].entry;
        let reopened = DriverEvent::LinkReopened(self.choice(link));
        for caller in 0..self.callers.len() {
            if self.callers[caller].entry == entry {
                self.drive(caller, reopened.clone());
            }
        }
    }
}
