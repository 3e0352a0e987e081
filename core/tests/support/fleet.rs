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
const KV_CALL_LATENCY: Duration = Duration::from_millis(3);
const KV_CALL_TIMEOUT: Duration = Duration::from_secs(2);
const REQUEST_RETRY_INTERVAL: Duration = Duration::from_secs(1);
const MAX_LINKS: usize = 32;
const SERVICE_COUNT: usize = 10;

/// A scheduled event. Processes are numbered.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Tick(usize),
    KvResponse(usize, Option<u64>),
    WatchTimeout(usize, u64),
    Frame { from: usize, to: usize, generation: u64, body: Vec<u8> },
    RetryRequest(usize),
}

struct FleetProcess {
    host: HostName,
    reader: ConfigReader,
    tracker: GenerationTracker,
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
    events: BinaryHeap<Reverse<(MonoTime, u64, FleetEvent)>>,
    /// Number of scheduled events; orders events of the same time.
    event_sequence: u64,
    /// Watches without a response: process and event number.
    open_watches: Vec<(usize, u64)>,
    /// Encoded record of each generation in the key-value service.
    records: Vec<Bytes>,
    is_kv_down: bool,
    rng: StdRng,
}

/// The list of hosts: one record per process, of which one in six is an entry.
pub fn fleet_hosts(size: usize, sites: usize) -> Vec<HostRecord> {
    let host = |number: usize| HostRecord {
        name: format!("host-{number:05}").into(),
        site: format!("site-{:02}", number % sites).into(),
        role: if number.is_multiple_of(6) { HostRole::Entry } else { HostRole::Agent },
        service: Some(format!("service-{}", number % SERVICE_COUNT).into()),
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
    for number in 0..SERVICE_COUNT {
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
            tracker: GenerationTracker::default(),
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
            events: BinaryHeap::new(),
            event_sequence: 0,
            open_watches: Vec::new(),
            records: Vec::new(),
            is_kv_down: false,
            rng,
        };
        fleet.connect(&links);
        fleet.deliver_hosts(&hosts);
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

    fn deliver_hosts(&mut self, hosts: &[HostRecord]) {
        for process_index in 0..hosts.len() {
            let site_hosts: Vec<HostName> = hosts
                .iter()
                .filter(|host| host.site == hosts[process_index].site)
                .map(|host| host.name.clone())
                .collect();
            self.deliver(
                process_index,
                ReaderEvent::Hosts { site_hosts: &site_hosts, fleet_size: hosts.len() },
            );
        }
    }

    /// Writes the next generation of the configuration.
    pub fn apply(&mut self) {
        let base = self.records.last().and_then(|body| ConfigRecord::decode(body).ok());
        let generation = self.records.len() as u64 + 1;
        let mut document = fleet_document(1);
        document.allowances.host_bytes_per_second = generation;
        let record = ConfigRecord::based_on(base.as_ref(), ApplyId(generation.into()), document);
        self.records.push(record.encode().expect("a small record").into());
        let kv_index = self.kv_index();
        for (process, _) in std::mem::take(&mut self.open_watches) {
            self.schedule(KV_CALL_LATENCY, FleetEvent::KvResponse(process, Some(kv_index)));
        }
    }

    /// Starts or ends an outage of the key-value service, in which all calls time out.
    pub fn set_down(&mut self, is_down: bool) {
        self.is_kv_down = is_down;
        for (process, _) in std::mem::take(&mut self.open_watches) {
            self.schedule(KV_CALL_TIMEOUT, FleetEvent::KvResponse(process, None));
        }
    }

    /// Kills all watchers at once, while they are still listed; returns their number.
    pub fn kill_watchers(&mut self) -> usize {
        let watchers = self.processes.iter_mut().filter(|process| process.reader.is_watcher());
        watchers.map(|process| process.is_dead = true).count()
    }

    /// Whether every live process has the newest generation.
    pub fn is_active_everywhere(&self) -> bool {
        let newest = ConfigGeneration(self.kv_index());
        let live = self.processes.iter().filter(|process| !process.is_dead);
        live.into_iter().all(|process| process.tracker.generation() == newest)
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

    /// Runs for `duration`.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.events.peek().is_some_and(|Reverse((event_time, ..))| *event_time <= end) {
            let Some(Reverse((event_time, _, event))) = self.events.pop() else { break };
            self.now = event_time;
            self.on_event(event);
        }
        self.now = end;
    }

    fn kv_index(&self) -> u64 {
        self.records.len() as u64
    }

    fn schedule(&mut self, after: Duration, event: FleetEvent) {
        self.event_sequence += 1;
        self.events.push(Reverse((self.now + after, self.event_sequence, event)));
    }

    fn on_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Tick(process_index) => self.deliver(process_index, ReaderEvent::Tick),
            FleetEvent::KvResponse(process_index, kv_index) => {
                self.on_kv_response(process_index, kv_index)
            }
            FleetEvent::WatchTimeout(process_index, id) => self.on_watch_timeout(process_index, id),
            FleetEvent::Frame { from, to, generation, body } => {
                let generation = ConfigGeneration(generation);
                self.on_frame(from, to, ConfigFrame { generation, body: body.into() });
            }
            FleetEvent::RetryRequest(process_index) => {
                if let Some(frame) = self.processes[process_index].exchange.retry_request(self.now)
                {
                    self.broadcast(process_index, &frame);
                }
            }
        }
    }

    fn deliver(&mut self, process_index: usize, event: ReaderEvent<'_>) {
        let process = &mut self.processes[process_index];
        if process.is_dead {
            return;
        }
        let call = process.reader.on_event(self.now, event, &mut self.rng);
        let due = process.reader.due();
        if let Some(call) = call {
            self.call(process_index, call);
        }
        if let Some(due) = due {
            self.schedule(due.since(self.now), FleetEvent::Tick(process_index));
        }
    }

    fn call(&mut self, process_index: usize, call: KvCall) {
        self.counts.calls += 1;
        let second = (self.now.as_micros() / 1_000_000) as usize;
        self.calls_by_second.resize(self.calls_by_second.len().max(second + 1), 0);
        self.calls_by_second[second] += 1;
        if self.is_kv_down {
            return self.schedule(KV_CALL_TIMEOUT, FleetEvent::KvResponse(process_index, None));
        }
        let kv_index = self.kv_index();
        match call {
            KvCall::Watch { after_index } if after_index >= kv_index => {
                let id = self.event_sequence;
                self.open_watches.push((process_index, id));
                self.schedule(WATCH_TIMEOUT, FleetEvent::WatchTimeout(process_index, id));
            }
            _ => self
                .schedule(KV_CALL_LATENCY, FleetEvent::KvResponse(process_index, Some(kv_index))),
        }
    }

    fn on_watch_timeout(&mut self, process_index: usize, id: u64) {
        let Some(position) =
            self.open_watches.iter().position(|watch| *watch == (process_index, id))
        else {
            return;
        };
        self.open_watches.swap_remove(position);
        self.on_kv_response(process_index, Some(self.kv_index()));
    }

    fn on_kv_response(&mut self, process_index: usize, kv_index: Option<u64>) {
        match kv_index {
            None => self.deliver(process_index, ReaderEvent::Failed),
            Some(0) => self.deliver(process_index, ReaderEvent::Absent),
            Some(index) => {
                self.counts.rows += 1;
                let body = self.records[index as usize - 1].clone();
                self.receive_record(process_index, body);
                self.deliver(process_index, ReaderEvent::Row { index });
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
                    self.schedule(REQUEST_RETRY_INTERVAL, FleetEvent::RetryRequest(to));
                }
                self.send(to, from, reply);
            }
            ExchangeAction::Deliver(whole) => self.receive_record(to, whole.body),
        }
    }

    fn receive_record(&mut self, process_index: usize, body: Bytes) {
        let process = &mut self.processes[process_index];
        let Ok(Some(record)) = process.tracker.offer(&body) else { return };
        process.exchange.set_active(record.generation, body);
        let frame = process.exchange.announcement();
        self.broadcast(process_index, &frame);
        self.deliver(process_index, ReaderEvent::HasConfig);
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
        self.schedule(LINK_LATENCY, event);
    }
}
