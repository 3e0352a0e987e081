//! The links of the model and the flows on them.

use super::{FleetModel, STEP};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fetch::FetchTicket;
use buckthornwharf_core::weights::{FetchEvent, FetchFailure};

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
    pub told: MonoTime,
}

impl FleetModel {
    /// Flows on each link: from the origin, up and down each host's, and between regions.
    pub(super) fn move_flows(&mut self) {
        let count = self.hosts.len();
        let (mut origin, mut up, mut down) = (0.0, vec![0.0; count], vec![0.0; count]);
        let mut pairs = vec![0.0; self.regions * self.regions];
        let pair_of = |model: &Self, flow: &ModelFlow| {
            let (from, to) = (model.region_at(flow.from), model.region_at(Some(flow.to)));
            (from != to).then_some(from * model.regions + to)
        };
        for flow in &self.flows {
            flow.from.map_or_else(|| origin += 1.0, |from| up[from] += 1.0);
            down[flow.to] += 1.0;
            if let Some(pair) = pair_of(self, flow) {
                pairs[pair] += 1.0;
            }
        }
        let limits = self.limits;
        let seconds = STEP.as_secs_f64();
        let mut flows = std::mem::take(&mut self.flows);
        let mut done = Vec::new();
        for flow in &mut flows {
            let from_alive = flow.from.is_none_or(|from| self.hosts[from].alive);
            let cut = !self.is_reachable(flow.to, flow.from);
            let factor = match self.faults.get(&flow.from) {
                Some(SourceFault::Down | SourceFault::Stall) => 0.0,
                Some(SourceFault::Slow(part)) => *part,
                _ => 1.0,
            };
            if !from_alive || cut {
                continue;
            }
            let source = match flow.from {
                None => limits.origin_bytes_per_second as f64 / origin,
                Some(from) => limits.host_bytes_per_second as f64 / up[from],
            };
            let sink = limits.host_bytes_per_second as f64 / down[flow.to];
            let between = pair_of(self, flow).map(|pair| pairs[pair]);
            let between = between
                .map_or(f64::INFINITY, |flows| limits.region_pair_bytes_per_second as f64 / flows);
            let moved = source.min(sink).min(between).min(flow.cap) * seconds * factor;
            flow.left -= moved;
            match flow.from {
                None => self.origin_units += moved,
                Some(from) => self.hosts[from].uploaded += moved,
            }
            if flow.left <= 0.0 {
                done.push((flow.to, flow.ticket));
            } else if factor > 0.0 && self.now.since(flow.told) >= PROGRESS_INTERVAL {
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
        self.feed(host, event);
    }
}
