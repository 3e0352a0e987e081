//! Simulation of a fleet in virtual time: the configuration logic of core, with models of the links
//! and of the key-value service.

use buckthornwharf_core::config::reader::WATCH_TIMEOUT;
use buckthornwharf_core::config::{
    ApplyId, ConfigDocument, ConfigExchange, ConfigReader, ConfigRecord, ExchangeAction,
    GenerationTracker, KvCall, ReaderEvent, ServiceConfig, SiteConfig, TargetKind,
};
use buckthornwharf_core::frame::ConfigFrame;
use buckthornwharf_core::membership::{HostPhase, HostRecord, HostRole};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::routing::subset::choose_fleet_links;
use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const LINK_LATENCY: Duration = Duration::from_millis(3);
const CALL_LATENCY: Duration = Duration::from_millis(3);
const CALL_DEADLINE: Duration = Duration::from_secs(2);
const ASK_AGAIN: Duration = Duration::from_secs(1);
const MAX_LINKS: usize = 32;
const SERVICES: usize = 10;

/// A scheduled event. Processes are numbered.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Tick(usize),
    Answer(usize, Option<u64>),
    WatchEnd(usize, u64),
    Frame { from: usize, to: usize, generation: u64, body: Vec<u8> },
    AskAgain(usize),
}

struct FleetProcess {
    host: HostName,
    reader: ConfigReader,
    holder: GenerationTracker,
    exchange: ConfigExchange,
    peers: Vec<usize>,
    is_dead: bool,
}

/// Message counters of a fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Calls to the key-value service; a watch counts as one.
    pub calls: u64,
    /// Frames that announce or request a generation.
    pub announcements: u64,
    /// Frames with patches.
    pub patches: u64,
    /// Frames with a whole record.
    pub whole_records: u64,
    /// Responses of the key-value service with a whole record.
    pub rows: u64,
}

/// Processes and the key-value service.
pub struct FleetModel {
    /// Current virtual time.
    pub now: MonoTime,
    /// Message counters since the start.
    pub counts: FleetCounts,
    /// Number of link ends; each link has two.
    pub link_ends: usize,
    /// Calls to the key-value service in each second.
    pub calls_by_second: Vec<u64>,
    processes: Vec<FleetProcess>,
    queue: BinaryHeap<Reverse<(MonoTime, u64, FleetEvent)>>,
    queued: u64,
    waiting: Vec<(usize, u64)>,
    bodies: Vec<Bytes>,
    is_down: bool,
    rng: StdRng,
}

/// The list of hosts: one record per process, of which one in six is an entry.
pub fn fleet_hosts(size: usize, sites: usize) -> Vec<HostRecord> {
    let host = |number: usize| HostRecord {
        name: format!("host-{number:05}").into(),
        site: format!("site-{:02}", number % sites).into(),
        role: if number.is_multiple_of(6) { HostRole::Entry } else { HostRole::Agent },
        service: Some(format!("service-{}", number % SERVICES).into()),
        link: "127.0.0.1:1".parse().ok(),
        admin: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        phase: HostPhase::Live,
    };
    (0..size).map(host).collect()
}

fn fleet_document(sites: usize) -> ConfigDocument {
    let mut document = ConfigDocument::default();
    for number in 0..sites {
        let region = format!("region-{}", number % 5).into();
        document.sites.insert(format!("site-{number:02}").into(), SiteConfig { region });
    }
    for number in 0..SERVICES {
        let service = ServiceConfig {
            kind: TargetKind::Plain,
            model: None,
            version: None,
            sites: Vec::new(),
            max_out_of_service: 1,
            priority: 0,
        };
        document.services.insert(format!("service-{number}").into(), service);
    }
    document
}

impl FleetModel {
    /// Starts all processes at the same time, with a known list of hosts.
    pub fn start(size: usize, sites: usize, seed: u64) -> Self {
        let hosts = fleet_hosts(size, sites);
        let links = choose_fleet_links(&hosts, &fleet_document(sites), MAX_LINKS);
        let mut rng = StdRng::seed_from_u64(seed);
        let process = |host: &HostRecord| FleetProcess {
            host: host.name.clone(),
            reader: ConfigReader::new(host.name.clone(), MonoTime::ZERO, &mut rng),
            holder: GenerationTracker::default(),
            exchange: ConfigExchange::default(),
            peers: Vec::new(),
            is_dead: false,
        };
        let processes: Vec<FleetProcess> = hosts.iter().map(process).collect();
        let mut fleet = Self {
            now: MonoTime::ZERO,
            counts: FleetCounts::default(),
            link_ends: 0,
            calls_by_second: Vec::new(),
            processes,
            queue: BinaryHeap::new(),
            queued: 0,
            waiting: Vec::new(),
            bodies: Vec::new(),
            is_down: false,
            rng,
        };
        fleet.connect(&links);
        fleet.tell_hosts(&hosts);
        fleet
    }

    fn connect(&mut self, links: &SortedTable<HostName, Vec<HostName>>) {
        let index = |host: &HostName| self.processes.binary_search_by(|p| p.host.cmp(host));
        let pairs: Vec<(usize, usize)> = links
            .iter()
            .flat_map(|(entry, agents)| agents.iter().map(move |agent| (entry, agent)))
            .filter_map(|(entry, agent)| Some((index(entry).ok()?, index(agent).ok()?)))
            .collect();
        self.link_ends = 2 * pairs.len();
        for (entry, agent) in pairs {
            self.processes[entry].peers.push(agent);
            self.processes[agent].peers.push(entry);
        }
    }

    fn tell_hosts(&mut self, hosts: &[HostRecord]) {
        for at in 0..hosts.len() {
            let site: Vec<HostName> = hosts
                .iter()
                .filter(|host| host.site == hosts[at].site)
                .map(|host| host.name.clone())
                .collect();
            self.tell(at, ReaderEvent::Hosts { site_hosts: &site, fleet_size: hosts.len() });
        }
    }

    /// Writes the next generation of the configuration.
    pub fn apply(&mut self) {
        let base = self.bodies.last().and_then(|body| ConfigRecord::decode(body).ok());
        let generation = self.bodies.len() as u64 + 1;
        let mut document = fleet_document(1);
        document.allowances.host_bytes_per_second = generation;
        let record = ConfigRecord::based_on(base.as_ref(), ApplyId(generation.into()), document);
        self.bodies.push(record.encode().expect("a small record").into());
        let index = self.index();
        for (process, _) in std::mem::take(&mut self.waiting) {
            self.queue(CALL_LATENCY, FleetEvent::Answer(process, Some(index)));
        }
    }

    /// Starts or ends an outage of the key-value service, in which all calls time out.
    pub fn set_down(&mut self, is_down: bool) {
        self.is_down = is_down;
        for (process, _) in std::mem::take(&mut self.waiting) {
            self.queue(CALL_DEADLINE, FleetEvent::Answer(process, None));
        }
    }

    /// Kills all watchers at once, while they are still listed; returns their number.
    pub fn kill_watchers(&mut self) -> usize {
        let watchers = self.processes.iter_mut().filter(|process| process.reader.is_watcher());
        watchers.map(|process| process.is_dead = true).count()
    }

    /// Whether every live process has the newest generation.
    pub fn is_active_everywhere(&self) -> bool {
        let newest = ConfigGeneration(self.index());
        let living = self.processes.iter().filter(|process| !process.is_dead);
        living.into_iter().all(|process| process.holder.generation() == newest)
    }

    /// Runs until every live process has the newest generation; returns the time taken, or `None`
    /// if it exceeds `limit`.
    pub fn run_until_active(&mut self, limit: Duration) -> Option<Duration> {
        let start = self.now;
        while !self.is_active_everywhere() {
            if self.now.since(start) > limit {
                return None;
            }
            self.run_for(Duration::from_millis(5));
        }
        Some(self.now.since(start))
    }

    /// Runs for `span`.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            self.on_event(event);
        }
        self.now = end;
    }

    fn index(&self) -> u64 {
        self.bodies.len() as u64
    }

    fn queue(&mut self, after: Duration, event: FleetEvent) {
        self.queued += 1;
        self.queue.push(Reverse((self.now + after, self.queued, event)));
    }

    fn on_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Tick(at) => self.tell(at, ReaderEvent::Tick),
            FleetEvent::Answer(at, index) => self.on_answer(at, index),
            FleetEvent::WatchEnd(at, id) => self.on_watch_end(at, id),
            FleetEvent::Frame { from, to, generation, body } => {
                let generation = ConfigGeneration(generation);
                self.on_frame(from, to, ConfigFrame { generation, body: body.into() });
            }
            FleetEvent::AskAgain(at) => {
                if let Some(frame) = self.processes[at].exchange.retry_request(self.now) {
                    self.broadcast(at, &frame);
                }
            }
        }
    }

    fn tell(&mut self, at: usize, event: ReaderEvent<'_>) {
        let process = &mut self.processes[at];
        if process.is_dead {
            return;
        }
        let call = process.reader.on_event(self.now, event, &mut self.rng);
        let due = process.reader.due();
        if let Some(call) = call {
            self.call(at, call);
        }
        if let Some(due) = due {
            self.queue(due.since(self.now), FleetEvent::Tick(at));
        }
    }

    fn call(&mut self, at: usize, call: KvCall) {
        self.counts.calls += 1;
        let second = (self.now.as_micros() / 1_000_000) as usize;
        self.calls_by_second.resize(self.calls_by_second.len().max(second + 1), 0);
        self.calls_by_second[second] += 1;
        if self.is_down {
            return self.queue(CALL_DEADLINE, FleetEvent::Answer(at, None));
        }
        let index = self.index();
        match call {
            KvCall::Watch { after_index } if after_index >= index => {
                let id = self.queued;
                self.waiting.push((at, id));
                self.queue(WATCH_TIMEOUT, FleetEvent::WatchEnd(at, id));
            }
            _ => self.queue(CALL_LATENCY, FleetEvent::Answer(at, Some(index))),
        }
    }

    fn on_watch_end(&mut self, at: usize, id: u64) {
        let Some(place) = self.waiting.iter().position(|waiting| *waiting == (at, id)) else {
            return;
        };
        self.waiting.swap_remove(place);
        self.on_answer(at, Some(self.index()));
    }

    fn on_answer(&mut self, at: usize, index: Option<u64>) {
        match index {
            None => self.tell(at, ReaderEvent::Failed),
            Some(0) => self.tell(at, ReaderEvent::Absent),
            Some(index) => {
                self.counts.rows += 1;
                let body = self.bodies[index as usize - 1].clone();
                self.offer(at, body);
                self.tell(at, ReaderEvent::Row { index });
            }
        }
    }

    fn on_frame(&mut self, from: usize, to: usize, frame: ConfigFrame) {
        if self.processes[to].is_dead {
            return;
        }
        match self.processes[to].exchange.on_frame(self.now, frame) {
            ExchangeAction::Nothing => {}
            ExchangeAction::Reply(reply) => {
                if reply.body.is_empty() {
                    self.queue(ASK_AGAIN, FleetEvent::AskAgain(to));
                }
                self.send(to, from, reply);
            }
            ExchangeAction::Deliver(whole) => self.offer(to, whole.body),
        }
    }

    fn offer(&mut self, at: usize, body: Bytes) {
        let process = &mut self.processes[at];
        let Ok(Some(record)) = process.holder.offer(&body) else { return };
        process.exchange.set_active(record.generation, body);
        let frame = process.exchange.announcement();
        self.broadcast(at, &frame);
        self.tell(at, ReaderEvent::HasConfig);
    }

    fn broadcast(&mut self, from: usize, frame: &ConfigFrame) {
        for to in self.processes[from].peers.clone() {
            self.send(from, to, frame.clone());
        }
    }

    fn send(&mut self, from: usize, to: usize, frame: ConfigFrame) {
        const ARRAY_TYPE: u8 = 0x80;
        match frame.body.first() {
            None => self.counts.announcements += 1,
            Some(first) if first & 0xe0 == ARRAY_TYPE => self.counts.patches += 1,
            Some(_) => self.counts.whole_records += 1,
        }
        let generation = frame.generation.0;
        let event = FleetEvent::Frame { from, to, generation, body: frame.body.to_vec() };
        self.queue(LINK_LATENCY, event);
    }
}
