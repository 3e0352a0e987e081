//! What callers get when there is too little capacity, over several entries, in virtual time: the
//! share of answers in time by class, organisation and size, in the plain and the fair order.

use buckthornwharf_core::direct::slots::{EntryRegions, SlotOutcome};
use buckthornwharf_core::direct::{
    Admission, CallerTime, CallerTimeoutEstimate, EngineSpec, EngineTiming, EntryDemands,
    RegisteredTarget, SlotGrant, SlotRequest, SlotScheduler, TargetPhase, wait_allowance,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::routing::hash::combine_hashes;
use std::collections::BTreeMap;

const SEEDS: u64 = 3;
const SLOTS: u32 = 12;
const PROMPT_TOKENS_PER_MS: u64 = 32;
const ANSWER_TOKEN_MS: u64 = 11;
const REPORT_MS: u64 = 100;
const DEMAND_MS: u64 = 250;
const TIMEOUT_MS: u64 = 6_000;

/// A class of requests, after the first deployment of the specification.
#[derive(Clone, Copy)]
struct Class {
    per_second: f64,
    objective_ms: u64,
    tokens: (u32, u32),
    /// Value of an answer in time and of a late one.
    value: (f64, f64),
}

/// Load and faults of a run.
#[derive(Clone)]
struct Load {
    entries: usize,
    targets: usize,
    classes: [Class; 3],
    /// Weights of the organisations.
    organisations: Vec<f64>,
    /// Weights of the entries.
    entry_weights: Vec<f64>,
    /// Whether a twentieth of the requests is six times as large.
    heavy_tail: bool,
    /// Targets that are gone, and from when until when in milliseconds.
    gone: (usize, u64, u64),
    run_ms: u64,
}

impl Load {
    /// Three classes that take `demand` of the prompt tokens that six targets read.
    fn new(demand: f64) -> Self {
        let class = |per_second: f64, objective_ms, tokens, value| Class {
            per_second: per_second * demand,
            objective_ms,
            tokens,
            value,
        };
        Self {
            entries: 4,
            targets: 6,
            classes: [
                class(70.7, 400, (1_290, 18), (3.6, 0.36)),
                class(85.5, 400, (787, 18), (1.7, 0.42)),
                class(55.3, 800, (607, 10), (0.55, 0.2)),
            ],
            organisations: vec![1.0; 4],
            entry_weights: vec![1.0; 4],
            heavy_tail: false,
            gone: (0, 0, 0),
            run_ms: 8_000,
        }
    }
}

/// A caller's request.
#[derive(Clone, Copy)]
struct Caller {
    class: usize,
    organisation: usize,
    large: bool,
    entry: usize,
    started_ms: u64,
    returned: bool,
}

/// What callers of a kind got.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    sent: u32,
    in_time: u32,
    late: u32,
}

impl Tally {
    fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }

    fn share_answered(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.sent.max(1))
    }
}

#[derive(Debug, Clone, Default)]
struct Outcome {
    by_class: [Tally; 3],
    by_organisation: Vec<Tally>,
    by_entry: Vec<Tally>,
    large: Tally,
    refused_twice: u32,
    worth: f64,
}

enum Event {
    Send(Caller),
    FirstByte(Caller, SlotGrant),
    End(usize, SlotGrant),
}

struct Fleet<'a> {
    load: &'a Load,
    entries: Vec<SlotScheduler>,
    estimates: Vec<[CallerTimeoutEstimate; 3]>,
    targets: Vec<Arc<RegisteredTarget>>,
    running: Vec<u32>,
    /// When each target has read the prompts that it has.
    read_until_ms: Vec<u64>,
    waiting: Vec<BTreeMap<u64, Caller>>,
    events: BTreeMap<(u64, u64), Event>,
    outcome: Outcome,
    /// What agents have heard of the entries' demand, if they take parts by demand.
    demands: Option<EntryDemands>,
    keys: Vec<Arc<str>>,
    draws: Draws,
    arrivals: Draws,
    next_event: u64,
}

/// Random numbers that are the same in each run.
#[derive(Default)]
struct Draws(u64);

impl Draws {
    /// Returns a number between 0 and 1.
    fn next(&mut self) -> f64 {
        self.0 += 1;
        (combine_hashes(self.0, 7) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns an index, as often as its weight says.
    fn index(&mut self, weights: &[f64]) -> usize {
        let mut offset = self.next() * weights.iter().sum::<f64>();
        let found = weights.iter().position(|weight| {
            offset -= weight;
            offset < 0.0
        });
        found.unwrap_or(0)
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis + 1_000)
}

fn engine() -> EngineSpec {
    EngineSpec {
        slots: SLOTS,
        models: Vec::new(),
        chunks: 1,
        chunk_bytes: 1,
        prompt_tokens_per_second: Some(PROMPT_TOKENS_PER_MS as u32 * 1_000),
        timing: Some(EngineTiming {
            step: Duration::from_millis(7),
            per_request: Duration::from_micros(300),
            per_context: Duration::ZERO,
            per_pairs: Duration::ZERO,
            prefill_tokens: 512,
            stride: 1,
        }),
        memory_tokens: Some(685_000),
        usual_tokens: Some((900, 16)),
    }
}

/// A request of a class that waits as long as the objective allows.
fn request_of(load: &Load, class: usize, objective: Duration) -> SlotRequest {
    let (prompt_tokens, answer_tokens) = load.classes[class].tokens;
    SlotRequest {
        service: "answers".into(),
        route: RouteName::from(format!("class-{class}").as_str()),
        organisation: None,
        priority: class as u8,
        wait: wait_allowance(objective, Duration::ZERO, Duration::from_secs(6)),
        objective,
        tried: Vec::new(),
        prompt_tokens,
        answer_tokens,
        model: None,
    }
}

impl<'a> Fleet<'a> {
    fn new(load: &'a Load, fair: bool, seed: u64) -> Self {
        let here = RegionName::from("here");
        let sites = || [(SiteName::from("here"), here.clone())].into_iter().collect();
        let service = ServiceName::from("answers");
        let entry = |_| {
            let regions = EntryRegions::new(here.clone(), sites());
            let mut entry = SlotScheduler::new(regions).with_fair_queue(fair);
            entry.set_other_entries(vec![&here; load.entries - 1].into_iter());
            entry.set_prefill_rate(&service, PROMPT_TOKENS_PER_MS as u32 * 1_000);
            entry.set_engine(&service, Some(&engine()));
            entry
        };
        let target = |index: usize| {
            Arc::new(RegisteredTarget {
                id: format!("target-{index}").into(),
                service: service.clone(),
                site: "here".into(),
                address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
                started_unix_ms: 1,
                phase: TargetPhase::Ready,
                slots: SLOTS,
                models: Vec::new(),
                cold_remaining: None,
            })
        };
        Self {
            load,
            entries: (0..load.entries).map(entry).collect(),
            estimates: vec![Default::default(); load.entries],
            targets: (0..load.targets).map(target).collect(),
            running: vec![0; load.targets],
            read_until_ms: vec![0; load.targets],
            waiting: vec![BTreeMap::new(); load.entries],
            events: BTreeMap::new(),
            outcome: Outcome {
                by_organisation: vec![Tally::default(); load.organisations.len()],
                by_entry: vec![Tally::default(); load.entries],
                ..Outcome::default()
            },
            demands: fair.then(EntryDemands::default),
            keys: (0..load.entries).map(|entry| format!("entry-{entry}").into()).collect(),
            draws: Draws::default(),
            arrivals: Draws(seed << 40),
            next_event: 0,
        }
    }

    fn add_event(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at_ms, self.next_event), event);
    }

    fn run(mut self) -> Outcome {
        let (gone, gone_from, gone_until) = self.load.gone;
        for now in 0..self.load.run_ms + TIMEOUT_MS {
            if now == 0 || now == gone_from || now == gone_until {
                let skipped = if (gone_from..gone_until).contains(&now) { gone } else { 0 };
                let registered = self.targets[skipped..].iter();
                self.entries.iter_mut().for_each(|entry| entry.set_targets(registered.clone()));
            }
            if let Some(demands) = self.demands.as_mut().filter(|_| now % DEMAND_MS == 0) {
                for (entry, key) in self.entries.iter_mut().zip(&self.keys) {
                    demands.record(at(now), key, &entry.demand(at(now)));
                }
            }
            for index in 0..self.targets.len() {
                if now % REPORT_MS == index as u64 * 13 % REPORT_MS {
                    let (id, running) = (self.targets[index].id.clone(), self.running[index]);
                    for (entry, key) in self.entries.iter_mut().zip(&self.keys) {
                        entry.set_load(at(now), &id, running, true);
                        let demands = self.demands.as_ref();
                        let part = demands.and_then(|it| it.part(at(now), key, self.keys.iter()));
                        entry.set_part(&id, part);
                    }
                }
            }
            if now < self.load.run_ms {
                self.send_new(now);
            }
            while let Some(((at_ms, number), _)) = self.events.first_key_value()
                && *at_ms <= now
            {
                let key = (*at_ms, *number);
                let event = self.events.remove(&key);
                event.into_iter().for_each(|event| self.on_event(now, event));
            }
            for entry in 0..self.entries.len() {
                self.serve(now, entry);
            }
        }
        self.outcome
    }

    fn send_new(&mut self, now: u64) {
        for class in 0..self.load.classes.len() {
            if self.arrivals.next() >= self.load.classes[class].per_second / 1_000.0 {
                continue;
            }
            let organisation = self.arrivals.index(&self.load.organisations);
            let entry = self.arrivals.index(&self.load.entry_weights);
            let large = self.load.heavy_tail && self.arrivals.next() < 0.05;
            let caller =
                Caller { class, organisation, large, entry, started_ms: now, returned: false };
            self.count(caller, |tally| tally.sent += 1);
            self.add_event(now, Event::Send(caller));
        }
    }

    fn count(&mut self, caller: Caller, count: impl Fn(&mut Tally)) {
        count(&mut self.outcome.by_class[caller.class]);
        count(&mut self.outcome.by_organisation[caller.organisation]);
        count(&mut self.outcome.by_entry[caller.entry]);
        if caller.large {
            count(&mut self.outcome.large);
        }
    }

    fn tokens(&self, caller: Caller) -> (u32, u32) {
        let (prompt, answer) = self.load.classes[caller.class].tokens;
        (prompt * if caller.large { 6 } else { 1 }, answer)
    }

    fn on_event(&mut self, now: u64, event: Event) {
        match event {
            Event::Send(caller) => self.send(now, caller),
            Event::FirstByte(caller, grant) => {
                self.entries[caller.entry].prefill_done(at(now), &grant);
                let class = self.load.classes[caller.class];
                let end = now + u64::from(class.tokens.1) * ANSWER_TOKEN_MS;
                let in_time = now - caller.started_ms <= class.objective_ms;
                let (value_in_time, value_late) = class.value;
                if in_time {
                    self.count(caller, |tally| tally.in_time += 1);
                    self.outcome.worth += value_in_time;
                } else if end <= caller.started_ms + TIMEOUT_MS {
                    self.count(caller, |tally| tally.late += 1);
                    self.outcome.worth += value_late;
                }
                self.add_event(end, Event::End(caller.entry, grant));
            }
            Event::End(entry, grant) => {
                let index = self.index_of(&grant);
                self.running[index] -= 1;
                self.entries[entry].release(at(now), &grant.target.id, SlotOutcome::Answered);
            }
        }
    }

    fn send(&mut self, now: u64, caller: Caller) {
        let class = self.load.classes[caller.class];
        let time_left = Duration::from_millis(caller.started_ms + TIMEOUT_MS - now);
        let estimate = &mut self.estimates[caller.entry][caller.class];
        let elapsed = estimate.observe(at(now), time_left);
        let objective = Duration::from_millis(class.objective_ms);
        let request = SlotRequest {
            organisation: Some(format!("org-{}", caller.organisation).as_str().into()),
            wait: wait_allowance(objective, elapsed, time_left),
            prompt_tokens: self.tokens(caller).0,
            ..request_of(self.load, caller.class, objective)
        };
        let caller_time = CallerTime { returned: !elapsed.is_zero(), time_left };
        match self.entries[caller.entry].request_from(at(now), request, caller_time) {
            Admission::Granted(grant) => self.start(now, caller, grant),
            Admission::Refused(retry_after) => self.refuse(now, caller, retry_after),
            Admission::Queued(ticket) => {
                self.waiting[caller.entry].insert(ticket, caller);
            }
        }
    }

    fn refuse(&mut self, now: u64, mut caller: Caller, retry_after: Duration) {
        if caller.returned {
            self.outcome.refused_twice += 1;
            return;
        }
        let longest = (caller.started_ms + TIMEOUT_MS).saturating_sub(now) / 3;
        caller.returned = true;
        let step = 1 + self.draws.index(&vec![1.0; self.load.entries - 1]);
        caller.entry = (caller.entry + step) % self.load.entries;
        let delay = (retry_after.as_millis() as u64).min(longest);
        self.add_event(now + delay.max(1), Event::Send(caller));
    }

    fn start(&mut self, now: u64, caller: Caller, grant: SlotGrant) {
        let index = self.index_of(&grant);
        self.running[index] += 1;
        let read_ms = u64::from(self.tokens(caller).0) / PROMPT_TOKENS_PER_MS;
        let first_byte = self.read_until_ms[index].max(now) + read_ms + ANSWER_TOKEN_MS;
        self.read_until_ms[index] = first_byte - ANSWER_TOKEN_MS;
        self.add_event(first_byte, Event::FirstByte(caller, grant));
    }

    fn serve(&mut self, now: u64, entry: usize) {
        if self.entries[entry].waiting() == 0 {
            return;
        }
        for (ticket, grant) in self.entries[entry].grant_free_slots(at(now)) {
            let caller = self.waiting[entry].remove(&ticket).expect("it waits");
            self.start(now, caller, grant);
        }
        for (ticket, retry_after) in self.entries[entry].expire(at(now)) {
            let caller = self.waiting[entry].remove(&ticket).expect("it waits");
            self.refuse(now, caller, retry_after);
        }
    }

    fn index_of(&self, grant: &SlotGrant) -> usize {
        let position = self.targets.iter().position(|target| target.id == grant.target.id);
        position.expect("the target exists")
    }
}

impl Outcome {
    /// Adds what callers got in another run.
    fn add(&mut self, other: &Outcome) {
        self.worth += other.worth;
        self.refused_twice += other.refused_twice;
        self.by_organisation.resize(other.by_organisation.len(), Tally::default());
        self.by_entry.resize(other.by_entry.len(), Tally::default());
        let all = self.by_class.iter_mut().chain(&mut self.by_organisation);
        let all = all.chain(&mut self.by_entry).chain([&mut self.large]);
        let others = other.by_class.iter().chain(&other.by_organisation);
        for (tally, other) in all.zip(others.chain(&other.by_entry).chain([&other.large])) {
            tally.sent += other.sent;
            tally.in_time += other.in_time;
            tally.late += other.late;
        }
    }
}

/// Runs the load with different arrivals in the plain and in the fair order.
fn compare(load: &Load) -> (Outcome, Outcome) {
    let [plain, fair] = [false, true].map(|fair| {
        let mut outcome = Outcome::default();
        (1..=SEEDS).for_each(|seed| outcome.add(&Fleet::new(load, fair, seed).run()));
        outcome
    });
    for (name, outcome) in [("plain", &plain), ("fair", &fair)] {
        let shares = |tallies: &[Tally]| {
            let shares = tallies
                .iter()
                .map(|tally| format!("{:.2}/{:.2}", tally.share_in_time(), tally.share_answered()));
            shares.collect::<Vec<String>>().join(" ")
        };
        println!(
            "{name}: worth {:.0}, refused twice {}, class {}, organisation {}, entry {}, large {}",
            outcome.worth,
            outcome.refused_twice,
            shares(&outcome.by_class),
            shares(&outcome.by_organisation),
            shares(&outcome.by_entry),
            shares(&[outcome.large]),
        );
    }
    (plain, fair)
}

/// Without strict order in the prefill capacity, smaller prompts of lower classes take the place of
/// the most valuable class.
#[test]
fn the_most_valuable_class_keeps_its_place_at_two_and_a_half_times_its_rate() {
    let mut load = Load::new(0.8);
    load.classes[0].per_second *= 2.5;
    let (plain, fair) = compare(&load);
    assert!(fair.worth > plain.worth);
    assert!(fair.by_class[0].share_in_time() > plain.by_class[0].share_in_time());
    assert!(fair.by_class.iter().all(|class| class.share_answered() > 0.45), "a class starves");
}

#[test]
fn the_lowest_class_at_two_and_a_half_times_its_rate_takes_nothing_from_the_others() {
    let mut load = Load::new(0.8);
    load.classes[2].per_second *= 2.5;
    let (_, fair) = compare(&load);
    assert!(fair.by_class.iter().all(|class| class.share_in_time() > 0.97));
}

/// Without shares, all organisations are refused alike when one of them floods.
#[test]
fn an_organisation_at_ten_times_its_share_waits_behind_its_own_requests() {
    let mut load = Load::new(1.4);
    load.organisations[0] = 10.0;
    let (plain, fair) = compare(&load);
    assert!(fair.worth > plain.worth);
    for (organisation, plain) in fair.by_organisation.iter().zip(&plain.by_organisation).skip(1) {
        assert!(organisation.share_in_time() > plain.share_in_time() + 0.1);
        assert!(organisation.share_in_time() > fair.by_organisation[0].share_in_time() + 0.2);
    }
}

/// Without a reservation, a large prompt never finds enough prefill capacity between small ones.
#[test]
fn large_prompts_are_answered_between_small_ones() {
    let mut load = Load::new(0.9);
    load.heavy_tail = true;
    let (plain, fair) = compare(&load);
    assert!(fair.large.share_answered() > plain.large.share_answered() + 0.05);
    assert!(fair.large.share_in_time() > plain.large.share_in_time());
    assert!(fair.worth > 0.95 * plain.worth, "{} {}", fair.worth, plain.worth);
}

#[test]
fn the_loss_of_half_of_the_targets_costs_the_lower_classes_first() {
    let mut load = Load::new(0.75);
    load.gone = (3, 3_000, 8_000);
    load.run_ms = 10_000;
    let (plain, fair) = compare(&load);
    assert!(fair.worth >= plain.worth);
    assert!(fair.by_class[0].share_answered() > plain.by_class[0].share_answered());
    assert!(fair.by_class[0].share_answered() > 0.97);
}

/// Callers that were refused together must not be refused again when they return.
#[test]
fn callers_that_are_all_back_after_an_outage_are_served() {
    let mut load = Load::new(0.7);
    load.gone = (6, 3_000, 5_000);
    let (plain, fair) = compare(&load);
    assert!(fair.worth >= plain.worth);
    assert!(fair.refused_twice * 10 < plain.refused_twice * 8);
}

#[test]
fn without_overload_both_orders_serve_all_in_time() {
    let (plain, fair) = compare(&Load::new(0.8));
    for outcome in [plain, fair] {
        assert!(outcome.by_class.iter().all(|class| class.share_in_time() > 0.99));
    }
}

/// Without parts by demand, an entry that most callers use refuses them while others have capacity left.
#[test]
fn callers_at_a_crowded_entry_get_nearly_as_much_as_at_others() {
    let mut load = Load::new(1.1);
    load.entry_weights[0] = 5.0;
    let (plain, fair) = compare(&load);
    assert!(fair.worth > plain.worth);
    let [plain, fair] = [&plain, &fair].map(|outcome| outcome.by_entry[0].share_in_time());
    assert!(fair > plain + 0.1, "{fair} {plain}");
}

/// The parts of all entries must not exceed the whole, and one that is not heard of takes an equal part.
#[test]
fn parts_by_demand_add_up_and_expire_after_a_second() {
    let keys: Vec<Arc<str>> = (0..4).map(|key| format!("entry-{key}").into()).collect();
    let mut demands = EntryDemands::default();
    let parts = |demands: &EntryDemands, now| {
        keys.iter().map(|key| demands.part(at(now), key, keys.iter())).collect::<Vec<_>>()
    };
    assert_eq!(parts(&demands, 0), [None; 4]);
    for (key, cost) in keys.iter().zip([5_000, 1_000, 0]) {
        demands.record(at(0), key, &[cost, 0, 0, 0]);
    }
    let heard = parts(&demands, 999);
    let told: u16 = heard.iter().flatten().sum();
    assert!(told <= 750, "{heard:?}: the entry that is not heard of takes a quarter");
    assert_eq!(heard[3], None);
    assert!(heard[0] > heard[1] && heard[1] > heard[2] && heard[2] > Some(0), "{heard:?}");
    assert_eq!(parts(&demands, 1_000), [None; 4]);
}

/// A caller that is told to return after more than a third of its time does not wait so long, and one that
/// returns too early is not recognised.
#[test]
fn a_refused_caller_returns_within_a_third_of_its_time_and_is_recognised() {
    let load = Load::new(1.0);
    for time_left_ms in [1_500, 4_000, 6_000] {
        let mut entry = Fleet::new(&load, true, 1).entries.remove(0);
        let time_left = Duration::from_millis(time_left_ms);
        let objective = Duration::from_millis(300);
        let caller = CallerTime { returned: false, time_left };
        let mut delays = Vec::new();
        for _ in 0..100 {
            let request = SlotRequest {
                wait: wait_allowance(objective, Duration::ZERO, time_left),
                ..request_of(&load, 0, objective)
            };
            let Admission::Refused(delay) = entry.request_from(at(0), request, caller) else {
                panic!("there is no target");
            };
            delays.push(delay);
        }
        let (first, last) = (delays.iter().min().copied(), delays.iter().max().copied());
        let (first, last) = (first.unwrap_or_default(), last.unwrap_or_default());
        assert!(last <= time_left / 3 && last - first > time_left / 20, "{first:?} to {last:?}");
        let mut estimate = CallerTimeoutEstimate::default();
        estimate.observe(at(0), time_left);
        assert!(estimate.observe(at(0) + first, time_left - first) > Duration::ZERO);
    }
}

/// A request that no target can take now must not keep those for another model waiting.
#[test]
fn a_request_for_another_model_does_not_block() {
    let load = Load::new(1.0);
    let mut fleet = Fleet::new(&load, true, 1);
    let mut entry = fleet.entries.remove(0);
    entry.set_targets(fleet.targets.iter());
    let caller = CallerTime { returned: false, time_left: Duration::from_secs(6) };
    let mut request = request_of(&load, 0, Duration::from_millis(400));
    request.model = Some("missing".into());
    request.wait.late = true;
    request.priority = 0;
    entry.request_from(at(0), request, caller);
    let request = request_of(&load, 2, Duration::from_millis(400));
    assert!(matches!(entry.request_from(at(0), request, caller), Admission::Granted(_)));
}
