//! What entries and agents decide: the product's way, and plainer ones beside it.

use crate::fleet::ModelSetup;
use crate::workload::ModelRequest;
use buckthornwharf_core::config::PriorityClass;
use buckthornwharf_core::frame::TargetState;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::budget::RetryTokenBucket;
use buckthornwharf_core::routing::{
    FairQueue, PickAffinity, PickRequest, QueueItem, QueueLimits, RefusedItem, TargetPicker,
    choose_links, estimate_tokens,
};
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::VecDeque;
use strum::{Display, EnumIter};

/// Links of an entry.
const MAX_LINKS: usize = 40;
/// Attempts at one request.
const MAX_ATTEMPTS: u32 = 3;
/// Tokens that callers allow an answer.
const MAX_TOKENS: u32 = 100;
/// Bounds of an agent's queue.
const LIMITS: QueueLimits = QueueLimits { max_items: 256, max_tokens: 200_000 };
/// Longest expected wait at an agent.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// The ways that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum PolicyKind {
    /// The product's pick, queue and retries.
    Product,
    /// The product with two choices only, without affinity.
    TwoChoices,
    /// The product's queue and retries with the least loaded target by own count and report.
    LeastLoaded,
    /// The product's queue and retries with a random target.
    RandomPick,
    /// A random target, first come first served, and blind retries.
    Naive,
}

/// What an entry decides.
pub struct EntryPolicy {
    kind: PolicyKind,
    service: ServiceName,
    site: SiteName,
    picker: TargetPicker,
    budget: RetryTokenBucket,
    agents: Vec<HostName>,
    linked: Vec<usize>,
    own: Vec<u32>,
    reported: Vec<u32>,
}

impl EntryPolicy {
    /// The entry with number `entry`.
    pub fn new(kind: PolicyKind, setup: &ModelSetup, entry: usize) -> Self {
        let (name, site) = &setup.entries[entry];
        let links = choose_links(name, &setup.hosts, &setup.document, MAX_LINKS);
        let agents: Vec<HostName> = setup.agents.iter().map(|agent| agent.0.clone()).collect();
        let regions = setup.document.sites.iter();
        let regions = regions.map(|(site, config)| (site.clone(), config.region.clone()));
        Self {
            kind,
            service: setup.service.clone(),
            site: site.clone(),
            picker: TargetPicker::new(regions.collect()),
            budget: RetryTokenBucket::new(),
            linked: links
                .iter()
                .map(|link| agents.binary_search(link).expect("links are agents"))
                .collect(),
            own: vec![0; agents.len()],
            reported: vec![0; agents.len()],
            agents,
        }
    }

    /// Whether attempts are repeated on a timeout and never cancelled.
    pub fn is_blind(&self) -> bool {
        self.kind == PolicyKind::Naive
    }

    /// Notes a caller's request.
    pub fn record_request(&mut self) {
        self.budget.record_request();
    }

    /// The agent that a request goes to.
    pub fn pick(
        &mut self,
        now: MonoTime,
        request: &ModelRequest,
        rng: &mut StdRng,
    ) -> Option<usize> {
        let agent = match self.kind {
            PolicyKind::Product => self.pick_by(now, request, rng, true)?,
            PolicyKind::TwoChoices => self.pick_by(now, request, rng, false)?,
            PolicyKind::LeastLoaded => {
                let open = self.linked.iter().copied();
                let open = open.filter(|&at| !request.avoid.contains(&self.agents[at]));
                open.min_by_key(|&at| self.own[at] + self.reported[at])?
            }
            PolicyKind::RandomPick | PolicyKind::Naive => {
                self.linked[rng.random_range(0..self.linked.len())]
            }
        };
        self.own[agent] += 1;
        self.picker.on_attempt_start(now, &self.agents[agent]);
        Some(agent)
    }

    fn pick_by(
        &self,
        now: MonoTime,
        request: &ModelRequest,
        rng: &mut StdRng,
        affinity: bool,
    ) -> Option<usize> {
        let tied = PickAffinity::Prefix(request.prefix);
        let wanted = PickRequest {
            service: &self.service,
            site: &self.site,
            affinity: if affinity { tied } else { PickAffinity::None },
            needs_digest: true,
            avoid: &request.avoid,
        };
        let picked = match request.last_code {
            Some(ResultCode::Overloaded) => self.picker.pick_uncongested(now, &wanted, rng)?,
            _ => self.picker.pick(now, &wanted, rng)?,
        };
        self.agents.binary_search(&picked.host).ok()
    }

    /// Takes in an agent's report.
    pub fn on_state(
        &mut self,
        now: MonoTime,
        agent: usize,
        host: &HostName,
        site: &SiteName,
        state: &TargetState,
    ) {
        if self.linked.contains(&agent) {
            self.reported[agent] = (state.running + state.waiting).saturating_sub(self.own[agent]);
            self.picker.on_state(now, host, site, state);
        }
    }

    /// An attempt ended.
    pub fn on_attempt_end(
        &mut self,
        now: MonoTime,
        agent: usize,
        code: ResultCode,
        latency: Duration,
    ) {
        self.own[agent] -= 1;
        self.picker.on_attempt_end(now, &self.agents[agent], code, latency);
    }

    /// Whether the request may be sent again.
    pub fn may_retry(&mut self, request: &ModelRequest) -> bool {
        request.attempts < MAX_ATTEMPTS && (self.is_blind() || self.budget.take_retry())
    }
}

/// A request as an agent gets it.
pub struct Submission {
    attempt: usize,
    item: QueueItem,
}

impl Submission {
    /// The attempt with number `attempt` at `request`.
    pub fn new(attempt: usize, request: &ModelRequest) -> Self {
        let item = QueueItem {
            id: RequestId(attempt as u128),
            organisation: format!("organisation-{}", request.organisation).into(),
            weight: 1,
            priority: PriorityClass::Normal,
            cost_tokens: estimate_tokens(request.prompt as usize * 4, Some(MAX_TOKENS)),
            deadline: request.deadline,
        };
        Self { attempt, item }
    }
}

/// An attempt that an agent refused.
type RefusedAttempt = (usize, ResultCode);

/// What waits at an agent.
pub enum AgentQueue {
    /// The product's queue, and the items being served.
    Fair(Box<FairQueue>, Vec<QueueItem>),
    /// First come, first served, without bounds.
    Fifo(VecDeque<usize>),
}

impl AgentQueue {
    /// The queue that goes with a policy.
    pub fn new(kind: PolicyKind) -> Self {
        match kind {
            PolicyKind::Naive => AgentQueue::Fifo(VecDeque::new()),
            _ => AgentQueue::Fair(
                Box::new(FairQueue::new(LIMITS).with_max_wait(MAX_WAIT)),
                Vec::new(),
            ),
        }
    }

    /// Attempts that wait.
    pub fn len(&self) -> usize {
        match self {
            AgentQueue::Fair(queue, _) => queue.len(),
            AgentQueue::Fifo(queue) => queue.len(),
        }
    }

    /// Queues an attempt.
    pub fn push(&mut self, now: MonoTime, submission: Submission) -> Vec<RefusedAttempt> {
        match self {
            AgentQueue::Fair(queue, _) => refused_attempts(queue.push(now, submission.item)),
            AgentQueue::Fifo(queue) => {
                queue.push_back(submission.attempt);
                Vec::new()
            }
        }
    }

    /// The next attempt to serve, and those whose time has passed.
    pub fn pop(&mut self, now: MonoTime) -> (Option<usize>, Vec<RefusedAttempt>) {
        match self {
            AgentQueue::Fair(queue, serving) => {
                let popped = queue.pop(now);
                let next = popped.next.as_ref().map(|item| item.id.0 as usize);
                serving.extend(popped.next);
                (next, refused_attempts(popped.refused))
            }
            AgentQueue::Fifo(queue) => (queue.pop_front(), Vec::new()),
        }
    }

    /// Takes out a waiting attempt.
    pub fn remove(&mut self, attempt: usize) {
        if let AgentQueue::Fair(queue, _) = self {
            queue.remove(RequestId(attempt as u128));
        }
    }

    /// The work of an attempt ended.
    pub fn on_done(&mut self, now: MonoTime, attempt: usize, actual: u32) {
        let AgentQueue::Fair(queue, serving) = self else { return };
        let id = RequestId(attempt as u128);
        let Some(at) = serving.iter().position(|item| item.id == id) else { return };
        let item = serving.swap_remove(at);
        queue.on_done(now, &item, actual);
    }
}

fn refused_attempts(refused: Vec<RefusedItem>) -> Vec<RefusedAttempt> {
    refused.into_iter().map(|refused| (refused.item.id.0 as usize, refused.code)).collect()
}

/// What an agent reports of a target that has long served.
pub fn target_state(service: &ServiceName, running: u32, waiting: usize) -> TargetState {
    TargetState {
        service: service.clone(),
        serving: Some(VersionDigest::from_bytes([1; 32])),
        accepting: true,
        leaving: false,
        running,
        waiting: waiting as u32,
        waiting_tokens: 0,
        serving_for_ms: 600_000,
    }
}
