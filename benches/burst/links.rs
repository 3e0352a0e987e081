//! The links of the model and the flows on them.

use super::{FleetModel, STEP};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fetch::FetchTicket;
use buckthornwharf_core::weights::{FetchEvent, FetchFailure, UploadTicket};

const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// What is wrong with a source of chunks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SourceFault {
    /// It does not answer.
    Down,
    /// Nothing that it sends arrives.
    Stall,
    /// Its chunks break off.
    Cut,
    /// Its chunks have other bytes.
    Corrupt,
    /// It sends at this part of its rate.
    Slow(f64),
    /// It sends and receives at this part of its rate.
    Narrow(f64),
    /// It answers, but fetches nothing itself.
    Idle,
}

/// A chunk on its way.
pub(super) struct ModelFlow {
    pub to: usize,
    pub from: Option<usize>,
    pub ticket: FetchTicket,
    pub chunk: usize,
    pub left: f64,
    pub cap: f64,
    pub upload: UploadTicket,
    pub told: MonoTime,
}

impl FleetModel {
    /// Moves what is on its way by one step: the flows share the links fairly, and what one that is
    /// held up elsewhere leaves of a link goes to the others.
    pub(super) fn move_flows(&mut self) {
        let rates = self.rates();
        let seconds = STEP.as_secs_f64();
        let mut flows = std::mem::take(&mut self.flows);
        let mut done = Vec::new();
        for (flow, rate) in flows.iter_mut().zip(rates) {
            let moved = rate * seconds;
            flow.left -= moved;
            match flow.from {
                None => self.origin_units += moved,
                Some(from) => self.hosts[from].uploaded += moved,
            }
            if flow.left <= 0.0 {
                done.push((flow.to, flow.ticket));
            } else if rate > 0.0 && self.now.since(flow.told) >= PROGRESS_INTERVAL {
                flow.told = self.now;
                let bytes = (self.manifest.chunk_len(flow.chunk) as f64 - flow.left) as u64;
                self.mail.push((self.now, flow.to, FetchEvent::Progress(flow.ticket, bytes)));
            }
        }
        self.flows = flows;
        for (host, ticket) in done {
            self.arrive(host, ticket);
        }
    }

    /// Units a second of each flow.
    fn rates(&self) -> Vec<f64> {
        let mut links = self.links();
        let uses: Vec<Vec<usize>> = self.flows.iter().map(|flow| self.links_of(flow)).collect();
        let mut rates = vec![0.0; self.flows.len()];
        let moves = |flow: &ModelFlow| {
            let from_alive = flow.from.is_none_or(|from| self.hosts[from].alive);
            from_alive && self.is_reachable(flow.to, flow.from)
        };
        let mut open: Vec<usize> =
            (0..rates.len()).filter(|flow| moves(&self.flows[*flow])).collect();
        while !open.is_empty() {
            let mut users = vec![0_u32; links.len()];
            open.iter().flat_map(|flow| &uses[*flow]).for_each(|link| users[*link] += 1);
            let share = |link: usize| links[link] / f64::from(users[link].max(1));
            let fair = |flow: usize| {
                let cap = self.flows[flow].cap;
                uses[flow].iter().map(|link| share(*link)).fold(cap, f64::min)
            };
            let least = open.iter().map(|flow| fair(*flow)).fold(f64::INFINITY, f64::min);
            let (settled, rest): (Vec<usize>, Vec<usize>) =
                open.iter().partition(|flow| fair(**flow) <= least * (1.0 + 1e-9));
            for flow in settled {
                rates[flow] = least;
                uses[flow].iter().for_each(|link| links[*link] = (links[*link] - least).max(0.0));
            }
            open = rest;
        }
        rates
    }

    /// Units a second of each link: the origin's, up and down each host's, and between regions.
    fn links(&self) -> Vec<f64> {
        let limits = self.limits;
        let sends = |source: Option<usize>| match self.faults.get(&source) {
            Some(SourceFault::Down | SourceFault::Stall) => 0.0,
            Some(SourceFault::Slow(part) | SourceFault::Narrow(part)) => *part,
            _ => 1.0,
        };
        let takes = |host: usize| match self.faults.get(&Some(host)) {
            Some(SourceFault::Narrow(part)) => *part,
            _ => 1.0,
        };
        let host_rate = limits.host_bytes_per_second as f64;
        let mut links = vec![limits.origin_bytes_per_second as f64 * sends(None)];
        links.extend((0..self.hosts.len()).map(|host| host_rate * sends(Some(host))));
        links.extend((0..self.hosts.len()).map(|host| host_rate * takes(host)));
        let pair = limits.region_pair_bytes_per_second as f64;
        links.resize(links.len() + self.regions * self.regions, pair);
        links
    }

    /// The links that a flow uses, as places in [`FleetModel::links`].
    fn links_of(&self, flow: &ModelFlow) -> Vec<usize> {
        let count = self.hosts.len();
        let mut used = vec![flow.from.map_or(0, |from| 1 + from), 1 + count + flow.to];
        let (from, to) = (self.region_at(flow.from), self.region_at(Some(flow.to)));
        if from != to {
            used.push(1 + 2 * count + from * self.regions + to);
        }
        used
    }

    fn arrive(&mut self, host: usize, ticket: FetchTicket) {
        let ours = |flow: &ModelFlow| flow.to == host && flow.ticket == ticket;
        let Some(at) = self.flows.iter().position(ours) else {
            return;
        };
        let flow = self.flows.swap_remove(at);
        self.release(&flow);
        let length = self.manifest.chunk_bytes as usize;
        let start = flow.chunk * length;
        let end = (start + length).min(self.content.len());
        let event = match self.faults.get(&flow.from) {
            Some(SourceFault::Cut) => FetchEvent::Failed(ticket, FetchFailure::Cut),
            Some(SourceFault::Corrupt) => FetchEvent::Arrived(ticket, vec![0; end - start].into()),
            _ => FetchEvent::Arrived(ticket, self.content.slice(start..end)),
        };
        if let Some(from) = flow.from.filter(|_| self.distribution.tells_held) {
            let held = self.hosts[from].machine.held().clone();
            self.feed(host, FetchEvent::HeldBy(self.hosts[from].place.name.clone(), held));
        }
        self.feed(host, event);
    }
}
