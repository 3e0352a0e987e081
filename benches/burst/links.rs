//! Simulated links and the flows on them.

use super::{FleetModel, STEP};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fetch::FetchId;
use buckthornwharf_core::weights::{FetchEvent, FetchFailure, UploadTicket};

const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// A fault of a chunk source (a host or the origin).
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SourceFault {
    /// Connections to it time out.
    Down,
    /// Accepts requests, but none of its data arrives.
    Stall,
    /// Its transfers end before the chunk is complete.
    Cut,
    /// Sends chunks with wrong bytes.
    Corrupt,
    /// Sends at this fraction of its rate.
    Slow(f64),
    /// Sends and receives at this fraction of its rate.
    Narrow(f64),
    /// Answers requests, but fetches nothing itself.
    Idle,
}

/// A chunk transfer in flight. `from` is the index of the sending host; `None` is the origin.
pub(super) struct ModelFlow {
    pub to: usize,
    pub from: Option<usize>,
    pub id: FetchId,
    pub chunk: usize,
    pub remaining_units: f64,
    pub max_units_per_second: f64,
    pub upload: UploadTicket,
    pub progress_reported_at: MonoTime,
}

impl FleetModel {
    /// Advances all flows by one step. Flows share links max-min fairly: capacity that a flow cannot use
    /// because of another bottleneck goes to the other flows of the link.
    pub(super) fn move_flows(&mut self) {
        let flow_rates = self.flow_rates();
        let seconds = STEP.as_secs_f64();
        let mut flows = std::mem::take(&mut self.flows);
        let mut done = Vec::new();
        for (flow, rate) in flows.iter_mut().zip(flow_rates) {
            let moved = rate * seconds;
            flow.remaining_units -= moved;
            match flow.from {
                None => self.origin_units += moved,
                Some(from) => self.hosts[from].uploaded_units += moved,
            }
            if flow.remaining_units <= 0.0 {
                done.push((flow.to, flow.id));
            } else if rate > 0.0 && self.now.since(flow.progress_reported_at) >= PROGRESS_INTERVAL {
                flow.progress_reported_at = self.now;
                let bytes =
                    (self.manifest.chunk_len(flow.chunk) as f64 - flow.remaining_units) as u64;
                self.pending_events.push((self.now, flow.to, FetchEvent::Progress(flow.id, bytes)));
            }
        }
        self.flows = flows;
        for (host, id) in done {
            self.complete_flow(host, id);
        }
    }

    /// Rate of each flow, in units per second.
    fn flow_rates(&self) -> Vec<f64> {
        let mut link_capacities = self.link_capacities();
        let flow_links: Vec<Vec<usize>> =
            self.flows.iter().map(|flow| self.link_indices(flow)).collect();
        let mut flow_rates = vec![0.0; self.flows.len()];
        let is_moving = |flow: &ModelFlow| {
            let from_alive = flow.from.is_none_or(|from| self.hosts[from].alive);
            from_alive && self.is_reachable(flow.to, flow.from)
        };
        let mut unsettled: Vec<usize> =
            (0..flow_rates.len()).filter(|flow| is_moving(&self.flows[*flow])).collect();
        while !unsettled.is_empty() {
            let mut link_users = vec![0_u32; link_capacities.len()];
            unsettled
                .iter()
                .flat_map(|flow| &flow_links[*flow])
                .for_each(|link| link_users[*link] += 1);
            let fair_share =
                |link: usize| link_capacities[link] / f64::from(link_users[link].max(1));
            let flow_rate = |flow: usize| {
                let max_units_per_second = self.flows[flow].max_units_per_second;
                flow_links[flow]
                    .iter()
                    .map(|link| fair_share(*link))
                    .fold(max_units_per_second, f64::min)
            };
            let min_rate =
                unsettled.iter().map(|flow| flow_rate(*flow)).fold(f64::INFINITY, f64::min);
            let (settled, remaining): (Vec<usize>, Vec<usize>) =
                unsettled.iter().partition(|flow| flow_rate(**flow) <= min_rate * (1.0 + 1e-9));
            for flow in settled {
                flow_rates[flow] = min_rate;
                flow_links[flow].iter().for_each(|link| {
                    link_capacities[*link] = (link_capacities[*link] - min_rate).max(0.0)
                });
            }
            unsettled = remaining;
        }
        flow_rates
    }

    /// Capacity of each link in units per second: the origin's uplink, each host's uplink, each host's
    /// downlink, and the link of each ordered pair of regions.
    fn link_capacities(&self) -> Vec<f64> {
        let limits = self.limits;
        let send_factor = |source: Option<usize>| match self.fault_of(source) {
            Some(SourceFault::Down | SourceFault::Stall) => 0.0,
            Some(SourceFault::Slow(factor) | SourceFault::Narrow(factor)) => *factor,
            _ => 1.0,
        };
        let receive_factor = |host: usize| match self.fault_of(Some(host)) {
            Some(SourceFault::Narrow(factor)) => *factor,
            _ => 1.0,
        };
        let host_rate = limits.host_bytes_per_second as f64;
        let mut link_capacities = vec![limits.origin_bytes_per_second as f64 * send_factor(None)];
        link_capacities
            .extend((0..self.host_count()).map(|host| host_rate * send_factor(Some(host))));
        link_capacities.extend((0..self.host_count()).map(|host| host_rate * receive_factor(host)));
        let pair_rate = limits.region_pair_bytes_per_second as f64;
        link_capacities
            .resize(link_capacities.len() + self.region_count * self.region_count, pair_rate);
        link_capacities
    }

    /// Indices into [`FleetModel::link_capacities`] of the links that a flow uses.
    fn link_indices(&self, flow: &ModelFlow) -> Vec<usize> {
        let count = self.host_count();
        let sender = flow.from.map_or(0, |from| 1 + from % count);
        let mut used = vec![sender, 1 + count + flow.to % count];
        let (from, to) = (self.region_at(flow.from), self.region_at(Some(flow.to)));
        if from != to {
            used.push(1 + 2 * count + from * self.region_count + to);
        }
        used
    }

    fn complete_flow(&mut self, host: usize, id: FetchId) {
        let is_match = |flow: &ModelFlow| flow.to == host && flow.id == id;
        let Some(at) = self.flows.iter().position(is_match) else {
            return;
        };
        let flow = self.flows.swap_remove(at);
        self.release(&flow);
        let length = self.manifest.chunk_bytes as usize;
        let start = flow.chunk * length;
        let end = (start + length).min(self.content.len());
        let event = match self.fault_of(flow.from) {
            Some(SourceFault::Cut) => FetchEvent::Failed(id, FetchFailure::Cut),
            Some(SourceFault::Corrupt) => FetchEvent::Arrived(id, vec![0; end - start].into()),
            _ => FetchEvent::Arrived(id, self.content.slice(start..end)),
        };
        if let Some(from) = flow.from.filter(|_| self.distribution.announces_held) {
            let held = self.hosts[from].machine.held().clone();
            self.handle_event(
                host,
                FetchEvent::HeldBy(self.hosts[from].plan_host.name.clone(), held),
            );
        }
        self.handle_event(host, event);
    }
}
