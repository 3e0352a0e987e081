//! Entries, links and engines in virtual time, round the product's own decisions.

use crate::fleet::{ModelSetup, SLOWNESS, TargetFate};
use crate::policy::{AgentQueue, EntryPolicy, PolicyKind, Submission, target_state};
use crate::workload::{ModelRequest, Workload};
use buckthornwharf_core::prelude::*;
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const NEAR_LATENCY: Duration = Duration::from_millis(1);
const FAR_LATENCY: Duration = Duration::from_millis(2);
/// Prefixes that an engine caches.
const CACHED_PREFIXES: usize = 64;
/// Time after which the naive entry sends again.
const BLIND_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrive(usize),
    Deliver(usize),
    Done(usize),
    Outcome(usize, ResultCode),
    Deadline(usize),
    BlindTimeout(usize),
    Report(usize),
}

struct ModelAttempt {
    request: usize,
    agent: usize,
    sent_at: MonoTime,
    first_token: MonoTime,
    is_over: bool,
    is_running: bool,
}

struct ModelAgent {
    queue: AgentQueue,
    running: u32,
    cache: VecDeque<u64>,
}

/// What a run showed.
pub struct ModelResult {
    pub good_tokens: Vec<u64>,
    pub served_tokens: Vec<u64>,
    pub first_token: Histogram<u64>,
    pub requests: u64,
    pub attempts: u64,
    pub cache_hits: u64,
}

/// A run in the making.
pub struct ModelRun<'a> {
    setup: &'a ModelSetup,
    now: MonoTime,
    events: BinaryHeap<Reverse<(MonoTime, u64, ModelEvent)>>,
    event_count: u64,
    rng: StdRng,
    workload: Workload,
    entries: Vec<EntryPolicy>,
    agents: Vec<ModelAgent>,
    requests: Vec<ModelRequest>,
    attempts: Vec<ModelAttempt>,
    result: ModelResult,
}

impl<'a> ModelRun<'a> {
    /// Runs `setup` under `policy` to its end.
    pub fn run(setup: &'a ModelSetup, policy: PolicyKind) -> ModelResult {
        let agent =
            || ModelAgent { queue: AgentQueue::new(policy), running: 0, cache: VecDeque::new() };
        let first_token = Histogram::new_with_bounds(1, 60_000_000, 3);
        let mut run = Self {
            setup,
            now: MonoTime::ZERO,
            events: BinaryHeap::new(),
            event_count: 0,
            rng: StdRng::seed_from_u64(setup.seed),
            workload: Workload::new(setup),
            entries: (0..setup.entries.len())
                .map(|at| EntryPolicy::new(policy, setup, at))
                .collect(),
            agents: setup.agents.iter().map(|_| agent()).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            result: ModelResult {
                good_tokens: vec![0; setup.demands.len()],
                served_tokens: vec![0; setup.agents.len()],
                first_token: first_token.expect("the bounds are valid"),
                requests: 0,
                attempts: 0,
                cache_hits: 0,
            },
        };
        (0..setup.agents.len()).for_each(|agent| run.report(agent));
        (0..setup.demands.len()).for_each(|organisation| run.schedule_arrival(organisation));
        while let Some(Reverse((at, _, event))) = run.events.pop() {
            if at > MonoTime::ZERO + setup.span {
                break;
            }
            run.now = at;
            run.step(event);
        }
        run.result
    }

    fn step(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrive(organisation) => self.arrive(organisation),
            ModelEvent::Deliver(attempt) => self.deliver(attempt),
            ModelEvent::Done(attempt) => self.done(attempt),
            ModelEvent::Outcome(attempt, code) => self.outcome(attempt, code),
            ModelEvent::Deadline(request) => self.deadline(request),
            ModelEvent::BlindTimeout(attempt) => self.blind_timeout(attempt),
            ModelEvent::Report(agent) => self.report(agent),
        }
    }

    fn schedule(&mut self, after: Duration, event: ModelEvent) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + after, self.event_count, event)));
    }

    fn schedule_arrival(&mut self, organisation: usize) {
        let gap = self.workload.gap(organisation);
        self.schedule(gap, ModelEvent::Arrive(organisation));
    }

    fn arrive(&mut self, organisation: usize) {
        self.schedule_arrival(organisation);
        let request = self.workload.request(organisation, self.now);
        self.entries[request.entry].record_request();
        self.requests.push(request);
        self.result.requests += 1;
        let request = self.requests.len() - 1;
        self.schedule(self.setup.patience, ModelEvent::Deadline(request));
        self.submit(request);
    }

    fn submit(&mut self, at: usize) {
        let request = &mut self.requests[at];
        let entry = &mut self.entries[request.entry];
        let Some(agent) = entry.pick(self.now, request, &mut self.rng) else {
            request.is_over = true;
            return;
        };
        let is_blind = entry.is_blind();
        request.attempts += 1;
        self.result.attempts += 1;
        let (sent_at, first_token) = (self.now, self.now);
        let (is_over, is_running) = (false, false);
        let attempt =
            ModelAttempt { request: at, agent, sent_at, first_token, is_over, is_running };
        self.attempts.push(attempt);
        let attempt = self.attempts.len() - 1;
        self.schedule(self.latency(attempt), ModelEvent::Deliver(attempt));
        if is_blind {
            self.schedule(BLIND_TIMEOUT, ModelEvent::BlindTimeout(attempt));
        }
    }

    fn latency(&self, attempt: usize) -> Duration {
        let attempt = &self.attempts[attempt];
        let entry = &self.setup.entries[self.requests[attempt.request].entry];
        let is_near = entry.1 == self.setup.agents[attempt.agent].1;
        if is_near { NEAR_LATENCY } else { FAR_LATENCY }
    }

    fn deliver(&mut self, attempt: usize) {
        let agent = self.attempts[attempt].agent;
        if self.setup.agents[agent].2 == TargetFate::Dead {
            return self.answer(attempt, ResultCode::TargetFailed);
        }
        let submission = Submission::new(attempt, &self.requests[self.attempts[attempt].request]);
        let refused = self.agents[agent].queue.push(self.now, submission);
        refused.into_iter().for_each(|(attempt, code)| self.answer(attempt, code));
        self.fill_slots(agent);
    }

    fn fill_slots(&mut self, agent: usize) {
        while self.agents[agent].running < self.setup.slots {
            let (next, refused) = self.agents[agent].queue.pop(self.now);
            refused.into_iter().for_each(|(attempt, code)| self.answer(attempt, code));
            let Some(attempt) = next else { return };
            self.start(attempt, agent);
        }
    }

    fn start(&mut self, attempt: usize, agent: usize) {
        let request = &self.requests[self.attempts[attempt].request];
        let slowness = if self.setup.agents[agent].2 == TargetFate::Slow { SLOWNESS } else { 1 };
        let engine = &mut self.agents[agent];
        let hit = engine.cache.contains(&request.prefix);
        self.result.cache_hits += u64::from(hit);
        engine.cache.retain(|prefix| *prefix != request.prefix);
        engine.cache.push_front(request.prefix);
        engine.cache.truncate(CACHED_PREFIXES);
        engine.running += 1;
        let (prefill, decode) = request.work(hit);
        self.attempts[attempt].first_token = self.now + prefill * slowness;
        self.attempts[attempt].is_running = true;
        self.schedule((prefill + decode) * slowness, ModelEvent::Done(attempt));
    }

    fn done(&mut self, at: usize) {
        let attempt = &self.attempts[at];
        if !attempt.is_running {
            return;
        }
        let tokens = self.requests[attempt.request].tokens();
        self.result.served_tokens[attempt.agent] += u64::from(tokens);
        self.free_slot(at, tokens);
        self.answer(at, ResultCode::Ok);
    }

    fn free_slot(&mut self, at: usize, actual: u32) {
        self.attempts[at].is_running = false;
        let agent = self.attempts[at].agent;
        self.agents[agent].running -= 1;
        self.agents[agent].queue.on_done(self.now, at, actual);
        self.fill_slots(agent);
    }

    fn answer(&mut self, attempt: usize, code: ResultCode) {
        self.schedule(self.latency(attempt), ModelEvent::Outcome(attempt, code));
    }

    fn outcome(&mut self, at: usize, code: ResultCode) {
        if std::mem::replace(&mut self.attempts[at].is_over, true) {
            return;
        }
        let attempt = &self.attempts[at];
        let request = &mut self.requests[attempt.request];
        let entry = &mut self.entries[request.entry];
        entry.on_attempt_end(self.now, attempt.agent, code, self.now.since(attempt.sent_at));
        if request.is_over {
            return;
        }
        request.is_over = true;
        if code == ResultCode::Ok {
            self.result.good_tokens[request.organisation] += u64::from(request.tokens());
            let first_token = attempt.first_token.since(request.arrived).as_micros() as u64;
            self.result.first_token.saturating_record(first_token);
        } else if entry.may_retry(request) {
            request.is_over = false;
            request.avoid.push(self.setup.agents[attempt.agent].0.clone());
            request.last_code = Some(code);
            let retried = attempt.request;
            self.submit(retried);
        }
    }

    /// The caller goes away; the product cancels what it has in flight, the naive entry does not.
    fn deadline(&mut self, at: usize) {
        if std::mem::replace(&mut self.requests[at].is_over, true) {
            return;
        }
        let last = self.attempts.iter().rposition(|attempt| attempt.request == at);
        let Some(last) = last.filter(|last| !self.attempts[*last].is_over) else { return };
        if self.entries[self.requests[at].entry].is_blind() {
            return;
        }
        self.outcome(last, ResultCode::DeadlineDuring);
        self.agents[self.attempts[last].agent].queue.remove(last);
        if self.attempts[last].is_running {
            self.free_slot(last, self.requests[at].tokens() / 2);
        }
    }

    fn blind_timeout(&mut self, at: usize) {
        let attempt = &self.attempts[at];
        let request = &self.requests[attempt.request];
        let waits = !attempt.is_over && !request.is_over;
        if waits && self.entries[request.entry].may_retry(request) {
            self.submit(attempt.request);
        }
    }

    fn report(&mut self, at: usize) {
        self.schedule(REPORT_INTERVAL, ModelEvent::Report(at));
        let agent = &self.agents[at];
        let state = target_state(&self.setup.service, agent.running, agent.queue.len());
        let (host, site, _) = &self.setup.agents[at];
        self.entries.iter_mut().for_each(|entry| entry.on_state(self.now, at, host, site, &state));
    }
}
