//! Entries with schedulers of their own, and targets of different speed, in virtual time.

use buckthornwharf_core::direct::capacity::{EngineState, SpeedSample};
use buckthornwharf_core::direct::slots::{EntryRegions, SlotOutcome};
use buckthornwharf_core::direct::{
    Admission, RegisteredTarget, SlotGrant, SlotRequest, SlotScheduler, TargetPhase, WaitAllowance,
    WaitTicket,
};
use buckthornwharf_core::prelude::*;

/// Registered slots of each target.
pub const SLOTS: u32 = 6;
/// Time within which an answer is in time, relative to the usual time.
const OBJECTIVE: f64 = 6.0;
/// Percentage of the objective for which a request may wait for a slot.
const WAIT_PERCENT: u64 = 45;
/// Targets that one request is sent to at most.
const MAX_ATTEMPTS: usize = 3;
/// Length of the windows in which answers are counted.
pub const WINDOW_MS: u64 = 250;

/// How the targets behave.
#[derive(Clone)]
pub struct FleetPlan {
    pub entries: usize,
    /// Factor by which each target is slower than one of speed 1.
    pub slowness: Vec<f64>,
    /// Concurrency from which the times of a target are proportional to its load.
    pub knee: f64,
    /// Standard deviation of the logarithm of the times.
    pub spread: f64,
    /// Whether agents report the loads and the pace of the targets every 100 ms.
    pub agents: bool,
    /// Additional factor of a target while the time is in a range.
    pub slow_time: Option<(usize, std::ops::Range<u64>, f64)>,
    /// A target that fails each request within 2 ms.
    pub fails_fast: Option<usize>,
    /// Time of a request at a target of speed 1 that is not loaded, on average.
    pub usual_ms: f64,
    /// Offered load relative to what the targets can answer.
    pub load: f64,
    pub length_ms: u64,
    pub seed: u64,
}

impl FleetPlan {
    fn objective_ms(&self) -> u64 {
        (self.usual_ms * OBJECTIVE) as u64
    }
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            entries: 4,
            slowness: vec![1.0; 8],
            knee: f64::from(SLOTS),
            spread: 0.3,
            agents: false,
            slow_time: None,
            fails_fast: None,
            usual_ms: 50.0,
            load: 0.8,
            length_ms: 20_000,
            seed: 1,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// By the registered slots.
    Fixed,
    Learned,
    /// By the true times and loads.
    Oracle,
}

/// What callers got, by the windows in which their requests arrived.
#[derive(Debug, Clone, Default)]
pub struct FleetResult {
    arrived: Vec<u32>,
    in_time: Vec<u32>,
    /// Answers of each target.
    pub answers: Vec<u32>,
    /// The limits that the first entry has learned, at the end of each window.
    pub limits: Vec<Vec<u32>>,
}

impl FleetResult {
    /// The share of the requests of this time that were answered in time.
    pub fn share(&self, time_ms: std::ops::Range<u64>) -> f64 {
        let windows = (time_ms.start / WINDOW_MS) as usize..(time_ms.end / WINDOW_MS) as usize;
        let sum = |counts: &[u32]| f64::from(counts[windows.clone()].iter().sum::<u32>());
        sum(&self.in_time) / sum(&self.arrived).max(1.0)
    }
}

struct RunningRequest {
    arrived_ms: u64,
    /// Time that it still takes at a target of speed 1 that is not loaded.
    work_ms: f64,
    /// The entry and its grant; `None` with the oracle.
    sent: Option<(usize, SlotGrant)>,
}

struct FleetTarget {
    record: Arc<RegisteredTarget>,
    running: Vec<RunningRequest>,
}

/// Random numbers that depend on the seed alone.
struct SeededRandom(u64);

impl SeededRandom {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A factor with the mean 1 whose logarithm has this standard deviation.
    fn factor(&mut self, spread: f64) -> f64 {
        let sum: f64 = (0..12).map(|_| self.next()).sum();
        (spread * (sum - 6.0) - spread * spread / 2.0).exp()
    }
}

pub fn target(id: &str, site: &str, slots: u32) -> Arc<RegisteredTarget> {
    Arc::new(RegisteredTarget {
        id: id.into(),
        service: "plain".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        site: site.into(),
        slots,
        phase: TargetPhase::Ready,
        models: Vec::new(),
        started_unix_ms: 0,
        cold_remaining: None,
    })
}

pub fn request(max_wait: Duration, objective_ms: u64, tried: Vec<Arc<str>>) -> SlotRequest {
    SlotRequest {
        service: "plain".into(),
        route: "r".into(),
        organisation: None,
        priority: 1,
        wait: WaitAllowance { max_wait, late: false },
        objective: Duration::from_millis(objective_ms),
        tried,
        prompt_tokens: 0,
        answer_tokens: 0,
        model: None,
    }
}

/// A scheduler of one of `entries` entries of the region x.
pub fn scheduler(entries: usize, seed: Option<u64>) -> SlotScheduler {
    let sites = [("x".into(), "x".into())].into_iter().collect();
    let mut scheduler = SlotScheduler::new(EntryRegions::new("x".into(), sites));
    let others: Vec<RegionName> = (1..entries).map(|_| "x".into()).collect();
    scheduler.set_other_entries(others.iter());
    if let Some(seed) = seed {
        scheduler.enable_learned_limits(seed);
    }
    scheduler
}

struct Fleet {
    plan: FleetPlan,
    placement: Placement,
    now_ms: u64,
    random: SeededRandom,
    targets: Vec<FleetTarget>,
    schedulers: Vec<SlotScheduler>,
    waiting: Vec<SortedTable<WaitTicket, (u64, f64)>>,
    /// Arrival times and work of the requests that wait, with the oracle.
    oracle_queue: std::collections::VecDeque<(u64, f64)>,
    result: FleetResult,
}

/// Plays `plan` and returns what callers got.
pub fn play(plan: &FleetPlan, placement: Placement) -> FleetResult {
    let records = (0..plan.slowness.len()).map(|index| target(&format!("t{index}"), "x", SLOTS));
    let targets: Vec<FleetTarget> =
        records.map(|record| FleetTarget { record, running: Vec::new() }).collect();
    let schedulers = (0..plan.entries).map(|index| {
        let seed = plan.seed * 1000 + index as u64;
        let mut scheduler =
            scheduler(plan.entries, (placement == Placement::Learned).then_some(seed));
        scheduler.set_targets(targets.iter().map(|target| &target.record));
        scheduler
    });
    let windows = plan.length_ms.div_ceil(WINDOW_MS) as usize;
    let mut fleet = Fleet {
        placement,
        now_ms: 0,
        random: SeededRandom(plan.seed),
        schedulers: schedulers.collect(),
        waiting: vec![SortedTable::new(); plan.entries],
        oracle_queue: std::collections::VecDeque::new(),
        result: FleetResult {
            arrived: vec![0; windows],
            in_time: vec![0; windows],
            answers: vec![0; targets.len()],
            limits: Vec::new(),
        },
        targets,
        plan: plan.clone(),
    };
    let capacity: f64 = (0..plan.slowness.len())
        .filter(|index| plan.fails_fast != Some(*index))
        .map(|index| plan.knee.min(f64::from(SLOTS)) / (plan.usual_ms * plan.slowness[index]))
        .sum();
    let mut next_arrival = 0.0;
    for now_ms in 0..plan.length_ms {
        fleet.now_ms = now_ms;
        fleet.run_targets();
        while next_arrival <= now_ms as f64 {
            next_arrival -= (1.0 - fleet.random.next()).ln() / (capacity * plan.load);
            fleet.arrive();
        }
        if plan.agents {
            fleet.report();
        }
        fleet.serve_queues();
        if (now_ms + 1) % WINDOW_MS == 0 {
            let limits = fleet.schedulers[0].target_limits(MonoTime::from_millis(now_ms));
            fleet.result.limits.push(limits.iter().map(|limit| limit.limit).collect());
        }
    }
    fleet.result
}

impl Fleet {
    fn now(&self) -> MonoTime {
        MonoTime::from_millis(self.now_ms)
    }

    /// Factor by which a target with `requests` is slower than one of speed 1 that is not loaded.
    fn slowness(&self, index: usize, requests: usize) -> f64 {
        let crowding = (requests as f64 / self.plan.knee).max(1.0);
        self.plan.slowness[index] * self.momentary(index) * crowding
    }

    fn momentary(&self, index: usize) -> f64 {
        match &self.plan.slow_time {
            Some((slow, time, factor)) if *slow == index && time.contains(&self.now_ms) => *factor,
            _ => 1.0,
        }
    }

    fn run_targets(&mut self) {
        for index in 0..self.targets.len() {
            let progress = 1.0 / self.slowness(index, self.targets[index].running.len());
            let running = &mut self.targets[index].running;
            running.iter_mut().for_each(|request| request.work_ms -= progress);
            let ended: Vec<RunningRequest> =
                running.extract_if(.., |request| request.work_ms <= 0.0).collect();
            for request in ended {
                self.finish(index, request);
            }
        }
    }

    fn finish(&mut self, index: usize, request: RunningRequest) {
        let now = self.now();
        let fails = self.plan.fails_fast == Some(index);
        if let Some((entry, grant)) = request.sent {
            let scheduler = &mut self.schedulers[entry];
            scheduler.prefill_done(now, &grant);
            let sample = match fails {
                true => SpeedSample::Failed,
                false => SpeedSample::Started { sent_at: grant.granted_at, sent: grant.sent },
            };
            scheduler.record_speed(now, &grant, sample);
            scheduler.release(now, &grant.target.id, SlotOutcome::Answered);
        }
        self.result.answers[index] += 1;
        if !fails && self.now_ms - request.arrived_ms <= self.plan.objective_ms() {
            self.result.in_time[(request.arrived_ms / WINDOW_MS) as usize] += 1;
        }
    }

    fn arrive(&mut self) {
        self.result.arrived[(self.now_ms / WINDOW_MS) as usize] += 1;
        let work_ms = self.plan.usual_ms * self.random.factor(self.plan.spread);
        let entry = (self.random.next() * self.plan.entries as f64) as usize;
        match self.placement {
            Placement::Oracle => self.oracle_queue.push_back((self.now_ms, work_ms)),
            _ => self.request(entry, self.now_ms, work_ms, Vec::new()),
        }
    }

    fn request(&mut self, entry: usize, arrived_ms: u64, work_ms: f64, tried: Vec<Arc<str>>) {
        let objective_ms = self.plan.objective_ms();
        let max_wait = (objective_ms * WAIT_PERCENT / 100).saturating_sub(self.now_ms - arrived_ms);
        let slot_request = request(Duration::from_millis(max_wait), objective_ms, tried.clone());
        let now = self.now();
        match self.schedulers[entry].request(now, slot_request) {
            Admission::Granted(grant) => self.send(entry, grant, arrived_ms, work_ms, tried),
            Admission::Queued(ticket) => {
                self.waiting[entry].insert(ticket, (arrived_ms, work_ms));
            }
            Admission::Refused(_) => {}
        }
    }

    fn send(
        &mut self,
        entry: usize,
        grant: SlotGrant,
        arrived_ms: u64,
        work_ms: f64,
        mut tried: Vec<Arc<str>>,
    ) {
        let index = self.targets.iter().position(|target| target.record.id == grant.target.id);
        let index = index.expect("a target of the fleet");
        let is_full = self.targets[index].running.len() >= SLOTS as usize;
        if is_full {
            let now = self.now();
            let scheduler = &mut self.schedulers[entry];
            scheduler.prefill_ended(now, &grant);
            scheduler.release(now, &grant.target.id, SlotOutcome::Full);
            tried.push(grant.target.id.clone());
            if tried.len() < MAX_ATTEMPTS {
                self.request(entry, arrived_ms, work_ms, tried);
            }
            return;
        }
        let work_ms = if self.plan.fails_fast == Some(index) { 2.0 } else { work_ms };
        let sent = Some((entry, grant));
        self.targets[index].running.push(RunningRequest { arrived_ms, work_ms, sent });
    }

    fn serve_queues(&mut self) {
        let now = self.now();
        for entry in 0..self.schedulers.len() {
            if self.schedulers[entry].waiting() == 0 {
                continue;
            }
            for (ticket, grant) in self.schedulers[entry].grant_free_slots(now) {
                if let Some((arrived_ms, work_ms)) = self.waiting[entry].remove(&ticket) {
                    self.send(entry, grant, arrived_ms, work_ms, Vec::new());
                }
            }
            for (ticket, _) in self.schedulers[entry].expire(now) {
                self.waiting[entry].remove(&ticket);
            }
        }
        while let Some((arrived_ms, work_ms)) = self.oracle_queue.front().copied() {
            let expired = self.now_ms - arrived_ms > self.plan.objective_ms();
            if !expired {
                let Some(index) = self.best_target() else { break };
                let request = RunningRequest { arrived_ms, work_ms, sent: None };
                self.targets[index].running.push(request);
            }
            self.oracle_queue.pop_front();
        }
    }

    /// The target with a free place that answers soonest.
    fn best_target(&self) -> Option<usize> {
        let places = self.plan.knee.min(f64::from(SLOTS)) as usize;
        let has_room = |index: &usize| {
            self.targets[*index].running.len() < places && self.plan.fails_fast != Some(*index)
        };
        let slowness =
            |index: &usize| self.slowness(*index, self.targets[*index].running.len() + 1);
        (0..self.targets.len())
            .filter(has_room)
            .min_by(|left, right| slowness(left).total_cmp(&slowness(right)))
    }

    fn report(&mut self) {
        let now = self.now();
        for index in 0..self.targets.len() {
            if self.now_ms % 100 != index as u64 * 100 / self.targets.len() as u64 {
                continue;
            }
            let target = &self.targets[index];
            let running = target.running.len() as u32;
            let state = EngineState {
                pace: Some(self.momentary(index)),
                waiting: 0,
                running,
                memory_part: None,
            };
            for scheduler in &mut self.schedulers {
                scheduler.set_load(now, &target.record.id, running, true);
                scheduler.set_engine_state(now, &target.record.id, state);
            }
        }
    }
}
