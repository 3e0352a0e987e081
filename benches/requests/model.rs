//! Simulates entries, links and engines in virtual time. The product's own code makes the routing and
//! queueing decisions.

use crate::fleet::{ModelSetup, SLOWDOWN_FACTOR, TargetCondition};
use crate::policy::{AgentQueue, EntryPolicy, PolicyKind, Submission, target_state};
use crate::workload::{ModelRequest, Workload};
use buckthornwharf_core::prelude::*;
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const SAME_SITE_LATENCY: Duration = Duration::from_millis(1);
const CROSS_SITE_LATENCY: Duration = Duration::from_millis(2);
/// Number of prompt prefixes that an engine caches (least recently used are evicted).
const CACHED_PREFIXES: usize = 64;
/// Time after which a naive entry retries an attempt without a response.
const NAIVE_RETRY_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrive(usize),
    Deliver(usize),
    Done(usize),
    Outcome(usize, ResultCode),
    Deadline(usize),
    NaiveRetry(usize),
    Report(usize),
}

struct ModelAttempt {
    request: usize,
    agent: usize,
    sent_at: MonoTime,
    first_token_at: MonoTime,
    is_over: bool,
    is_running: bool,
}

struct ModelAgent {
    queue: AgentQueue,
    running: u32,
    cache: VecDeque<u64>,
}

/// Measurements of a run. Tokens are counted by organisation (good) and by agent (served).
pub struct ModelResult {
    pub good_tokens: Vec<u64>,
    pub served_tokens: Vec<u64>,
    pub first_token_latency: Histogram<u64>,
    pub requests: u64,
    pub attempts: u64,
    pub cache_hits: u64,
}

/// State of a running simulation.
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
    /// Simulates `setup` under `policy` for its whole duration.
    pub fn run(setup: &'a ModelSetup, policy: PolicyKind) -> ModelResult {
        let agent =
            || ModelAgent { queue: AgentQueue::new(policy), running: 0, cache: VecDeque::new() };
        let first_token_histogram = Histogram::new_with_bounds(1, 60_000_000, 3);
        let mut run = Self {
            setup,
            now: MonoTime::ZERO,
            events: BinaryHeap::new(),
            event_count: 0,
            rng: StdRng::seed_from_u64(setup.seed),
            workload: Workload::new(setup),
            entries: (0..setup.entries.len())
                .map(|entry| EntryPolicy::new(policy, setup, entry))
                .collect(),
            agents: setup.agents.iter().map(|_| agent()).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            result: ModelResult {
                good_tokens: vec![0; setup.requests_per_second.len()],
                served_tokens: vec![0; setup.agents.len()],
                first_token_latency: first_token_histogram.expect("the bounds are valid"),
                requests: 0,
                attempts: 0,
                cache_hits: 0,
            },
        };
        (0..setup.agents.len()).for_each(|agent| run.on_report(agent));
        (0..setup.requests_per_second.len())
            .for_each(|organisation| run.schedule_arrival(organisation));
        while let Some(Reverse((at, _, event))) = run.events.pop() {
            if at > MonoTime::ZERO + setup.duration {
                break;
            }
            run.now = at;
            run.on_event(event);
        }
        run.result
    }

    fn on_event(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrive(organisation) => self.on_arrival(organisation),
            ModelEvent::Deliver(attempt) => self.on_delivery(attempt),
            ModelEvent::Done(attempt) => self.on_done(attempt),
            ModelEvent::Outcome(attempt, code) => self.on_outcome(attempt, code),
            ModelEvent::Deadline(request) => self.on_deadline(request),
            ModelEvent::NaiveRetry(attempt) => self.on_naive_retry(attempt),
            ModelEvent::Report(agent) => self.on_report(agent),
        }
    }

    fn schedule(&mut self, after: Duration, event: ModelEvent) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + after, self.event_count, event)));
    }

    fn schedule_arrival(&mut self, organisation: usize) {
        let delay = self.workload.next_arrival_delay(organisation);
        self.schedule(delay, ModelEvent::Arrive(organisation));
    }

    fn on_arrival(&mut self, organisation: usize) {
        self.schedule_arrival(organisation);
        let request = self.workload.request(organisation, self.now);
        self.entries[request.entry].record_request();
        self.requests.push(request);
        self.result.requests += 1;
        let request = self.requests.len() - 1;
        self.schedule(self.setup.caller_timeout, ModelEvent::Deadline(request));
        self.submit(request);
    }

    fn submit(&mut self, request_index: usize) {
        let request = &mut self.requests[request_index];
        let entry = &mut self.entries[request.entry];
        let Some(agent) = entry.pick(self.now, request, &mut self.rng) else {
            request.is_over = true;
            return;
        };
        let is_naive = entry.is_naive();
        request.attempts += 1;
        self.result.attempts += 1;
        let (sent_at, first_token_at) = (self.now, self.now);
        let (is_over, is_running) = (false, false);
        let attempt = ModelAttempt {
            request: request_index,
            agent,
            sent_at,
            first_token_at,
            is_over,
            is_running,
        };
        self.attempts.push(attempt);
        let attempt = self.attempts.len() - 1;
        self.schedule(self.latency(attempt), ModelEvent::Deliver(attempt));
        if is_naive {
            self.schedule(NAIVE_RETRY_TIMEOUT, ModelEvent::NaiveRetry(attempt));
        }
    }

    fn latency(&self, attempt: usize) -> Duration {
        let attempt = &self.attempts[attempt];
        let entry = &self.setup.entries[self.requests[attempt.request].entry];
        let is_same_site = entry.1 == self.setup.agents[attempt.agent].1;
        if is_same_site { SAME_SITE_LATENCY } else { CROSS_SITE_LATENCY }
    }

    fn on_delivery(&mut self, attempt: usize) {
        let agent = self.attempts[attempt].agent;
        if self.setup.agents[agent].2 == TargetCondition::Dead {
            return self.send_outcome(attempt, ResultCode::TargetFailed);
        }
        let submission = Submission::new(attempt, &self.requests[self.attempts[attempt].request]);
        let refused_attempts = self.agents[agent].queue.push(self.now, submission);
        refused_attempts.into_iter().for_each(|(attempt, code)| self.send_outcome(attempt, code));
        self.fill_slots(agent);
    }

    fn fill_slots(&mut self, agent: usize) {
        while self.agents[agent].running < self.setup.slots {
            let (next_attempt, refused_attempts) = self.agents[agent].queue.pop(self.now);
            refused_attempts
                .into_iter()
                .for_each(|(attempt, code)| self.send_outcome(attempt, code));
            let Some(attempt) = next_attempt else { return };
            self.start_attempt(attempt, agent);
        }
    }

    fn start_attempt(&mut self, attempt: usize, agent: usize) {
        let request = &self.requests[self.attempts[attempt].request];
        let slowdown =
            if self.setup.agents[agent].2 == TargetCondition::Slow { SLOWDOWN_FACTOR } else { 1 };
        let engine = &mut self.agents[agent];
        let cache_hit = engine.cache.contains(&request.prefix);
        self.result.cache_hits += u64::from(cache_hit);
        engine.cache.retain(|prefix| *prefix != request.prefix);
        engine.cache.push_front(request.prefix);
        engine.cache.truncate(CACHED_PREFIXES);
        engine.running += 1;
        let (prefill, decode) = request.service_times(cache_hit);
        self.attempts[attempt].first_token_at = self.now + prefill * slowdown;
        self.attempts[attempt].is_running = true;
        self.schedule((prefill + decode) * slowdown, ModelEvent::Done(attempt));
    }

    fn on_done(&mut self, attempt_index: usize) {
        let attempt = &self.attempts[attempt_index];
        if !attempt.is_running {
            return;
        }
        let tokens = self.requests[attempt.request].tokens();
        self.result.served_tokens[attempt.agent] += u64::from(tokens);
        self.free_slot(attempt_index, tokens);
        self.send_outcome(attempt_index, ResultCode::Ok);
    }

    fn free_slot(&mut self, attempt_index: usize, actual_tokens: u32) {
        self.attempts[attempt_index].is_running = false;
        let agent = self.attempts[attempt_index].agent;
        self.agents[agent].running -= 1;
        self.agents[agent].queue.on_done(self.now, attempt_index, actual_tokens);
        self.fill_slots(agent);
    }

    fn send_outcome(&mut self, attempt: usize, code: ResultCode) {
        self.schedule(self.latency(attempt), ModelEvent::Outcome(attempt, code));
    }

    fn on_outcome(&mut self, attempt_index: usize, code: ResultCode) {
        if std::mem::replace(&mut self.attempts[attempt_index].is_over, true) {
            return;
        }
        let attempt = &self.attempts[attempt_index];
        let request = &mut self.requests[attempt.request];
        let entry = &mut self.entries[request.entry];
        entry.on_attempt_end(self.now, attempt.agent, code, self.now.since(attempt.sent_at));
        if request.is_over {
            return;
        }
        request.is_over = true;
        if code == ResultCode::Ok {
            self.result.good_tokens[request.organisation] += u64::from(request.tokens());
            let latency_micros = attempt.first_token_at.since(request.arrived).as_micros() as u64;
            self.result.first_token_latency.saturating_record(latency_micros);
        } else if entry.may_retry(request) {
            request.is_over = false;
            request.avoid.push(self.setup.agents[attempt.agent].0.clone());
            request.last_code = Some(code);
            let request_index = attempt.request;
            self.submit(request_index);
        }
    }

    /// The caller times out. Entries cancel the attempt in flight, except for naive ones.
    fn on_deadline(&mut self, request_index: usize) {
        if std::mem::replace(&mut self.requests[request_index].is_over, true) {
            return;
        }
        let last = self.attempts.iter().rposition(|attempt| attempt.request == request_index);
        let Some(last) = last.filter(|last| !self.attempts[*last].is_over) else { return };
        if self.entries[self.requests[request_index].entry].is_naive() {
            return;
        }
        self.on_outcome(last, ResultCode::DeadlineDuring);
        self.agents[self.attempts[last].agent].queue.remove(last);
        if self.attempts[last].is_running {
            self.free_slot(last, self.requests[request_index].tokens() / 2);
        }
    }

    fn on_naive_retry(&mut self, attempt_index: usize) {
        let attempt = &self.attempts[attempt_index];
        let request = &self.requests[attempt.request];
        let is_pending = !attempt.is_over && !request.is_over;
        if is_pending && self.entries[request.entry].may_retry(request) {
            self.submit(attempt.request);
        }
    }

    fn on_report(&mut self, agent_index: usize) {
        self.schedule(REPORT_INTERVAL, ModelEvent::Report(agent_index));
        let agent = &self.agents[agent_index];
        let state = target_state(&self.setup.service, agent.running, agent.queue.len());
        let (host, site, _) = &self.setup.agents[agent_index];
        self.entries
            .iter_mut()
            .for_each(|entry| entry.on_state(self.now, agent_index, host, site, &state));
    }
}
