//! Decisions of entries and agents: the product's policy and simpler ones for comparison.

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

/// Maximum number of links of an entry.
const MAX_LINKS: usize = 40;
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 3;
/// Value of `max_tokens` in each request.
const MAX_COMPLETION_TOKENS: u32 = 100;
/// Limits of an agent's queue.
const QUEUE_LIMITS: QueueLimits = QueueLimits { max_items: 256, max_tokens: 200_000 };
/// Longest expected time in an agent's queue.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Policies that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum PolicyKind {
    /// The product's target selection, queue and retries.
    Product,
    /// The product's policy without prefix affinity: the better of two random choices.
    TwoChoices,
    /// The product's queue and retries; picks the target with the least load, by the entry's own count
    /// and the agent's last report.
    LeastLoaded,
    /// The product's queue and retries; picks a random target.
    RandomPick,
    /// Picks a random target, with a FIFO queue and retries after a timeout without cancellation.
    Naive,
}

/// Routing and retry decisions of an entry.
pub struct EntryPolicy {
    kind: PolicyKind,
    service: ServiceName,
    site: SiteName,
    picker: TargetPicker,
    retry_budget: RetryTokenBucket,
    agents: Vec<HostName>,
    linked_agents: Vec<usize>,
    own_in_flight: Vec<u32>,
    other_load: Vec<u32>,
}

impl EntryPolicy {
    /// Creates the policy of the entry with index `entry`.
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
            retry_budget: RetryTokenBucket::new(),
            linked_agents: links
                .iter()
                .map(|link| agents.binary_search(link).expect("every link leads to an agent"))
                .collect(),
            own_in_flight: vec![0; agents.len()],
            other_load: vec![0; agents.len()],
            agents,
        }
    }

    /// Whether attempts are retried after a timeout and never cancelled.
    pub fn is_naive(&self) -> bool {
        self.kind == PolicyKind::Naive
    }

    /// Counts a caller's request towards the retry budget.
    pub fn record_request(&mut self) {
        self.retry_budget.record_request();
    }

    /// Picks the agent for an attempt and counts the attempt as in flight; `None` if no agent is
    /// eligible.
    pub fn pick(
        &mut self,
        now: MonoTime,
        request: &ModelRequest,
        rng: &mut StdRng,
    ) -> Option<usize> {
        let agent = match self.kind {
            PolicyKind::Product => self.pick_with_picker(now, request, rng, true)?,
            PolicyKind::TwoChoices => self.pick_with_picker(now, request, rng, false)?,
            PolicyKind::LeastLoaded => {
                let candidates = self.linked_agents.iter().copied();
                let candidates =
                    candidates.filter(|&agent| !request.avoid.contains(&self.agents[agent]));
                candidates
                    .min_by_key(|&agent| self.own_in_flight[agent] + self.other_load[agent])?
            }
            PolicyKind::RandomPick | PolicyKind::Naive => {
                self.linked_agents[rng.random_range(0..self.linked_agents.len())]
            }
        };
        self.own_in_flight[agent] += 1;
        self.picker.on_attempt_start(now, &self.agents[agent]);
        Some(agent)
    }

    fn pick_with_picker(
        &self,
        now: MonoTime,
        request: &ModelRequest,
        rng: &mut StdRng,
        use_affinity: bool,
    ) -> Option<usize> {
        let prefix_affinity = PickAffinity::Prefix(request.prefix);
        let pick_request = PickRequest {
            service: &self.service,
            site: &self.site,
            affinity: if use_affinity { prefix_affinity } else { PickAffinity::None },
            needs_digest: true,
            avoid: &request.avoid,
        };
        let picked = match request.last_code {
            Some(ResultCode::Overloaded) => {
                self.picker.pick_uncongested(now, &pick_request, rng)?
            }
            _ => self.picker.pick(now, &pick_request, rng)?,
        };
        self.agents.binary_search(&picked.host).ok()
    }

    /// Handles an agent's load report.
    pub fn on_state(
        &mut self,
        now: MonoTime,
        agent: usize,
        host: &HostName,
        site: &SiteName,
        state: &TargetState,
    ) {
        if self.linked_agents.contains(&agent) {
            self.other_load[agent] =
                (state.running + state.waiting).saturating_sub(self.own_in_flight[agent]);
            self.picker.on_state(now, host, site, state);
        }
    }

    /// Records the end of an attempt.
    pub fn on_attempt_end(
        &mut self,
        now: MonoTime,
        agent: usize,
        code: ResultCode,
        latency: Duration,
    ) {
        self.own_in_flight[agent] -= 1;
        self.picker.on_attempt_end(now, &self.agents[agent], code, latency);
    }

    /// Whether the request may be retried; takes a token from the retry budget if so.
    pub fn may_retry(&mut self, request: &ModelRequest) -> bool {
        request.attempts < MAX_ATTEMPTS && (self.is_naive() || self.retry_budget.take_retry())
    }
}

/// An attempt as submitted to an agent's queue.
pub struct Submission {
    attempt: usize,
    item: QueueItem,
}

impl Submission {
    /// Creates the submission of the attempt with index `attempt` of `request`.
    pub fn new(attempt: usize, request: &ModelRequest) -> Self {
        let item = QueueItem {
            id: RequestId(attempt as u128),
            organisation: format!("organisation-{}", request.organisation).into(),
            weight: 1,
            priority: PriorityClass::Normal,
            cost_tokens: estimate_tokens(
                request.prompt_tokens as usize * 4,
                Some(MAX_COMPLETION_TOKENS),
            ),
            deadline: request.deadline,
        };
        Self { attempt, item }
    }
}

/// Index of an attempt that an agent refused, and the reason.
type RefusedAttempt = (usize, ResultCode);

/// Queue of an agent.
pub enum AgentQueue {
    /// The product's queue, and the items that are being served.
    Fair(Box<FairQueue>, Vec<QueueItem>),
    /// Unbounded FIFO queue of attempt indices.
    Fifo(VecDeque<usize>),
}

impl AgentQueue {
    /// Creates the queue for a policy.
    pub fn new(kind: PolicyKind) -> Self {
        match kind {
            PolicyKind::Naive => AgentQueue::Fifo(VecDeque::new()),
            _ => AgentQueue::Fair(
                Box::new(FairQueue::new(QUEUE_LIMITS).with_max_wait(MAX_WAIT)),
                Vec::new(),
            ),
        }
    }

    /// Number of queued attempts.
    pub fn len(&self) -> usize {
        match self {
            AgentQueue::Fair(queue, _) => queue.len(),
            AgentQueue::Fifo(queue) => queue.len(),
        }
    }

    /// Queues an attempt; returns the attempts refused in consequence.
    pub fn push(&mut self, now: MonoTime, submission: Submission) -> Vec<RefusedAttempt> {
        match self {
            AgentQueue::Fair(queue, _) => refused_attempts(queue.push(now, submission.item)),
            AgentQueue::Fifo(queue) => {
                queue.push_back(submission.attempt);
                Vec::new()
            }
        }
    }

    /// Returns the next attempt to serve, and the attempts refused because they expired.
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

    /// Removes a cancelled attempt. The FIFO queue does not cancel.
    pub fn remove(&mut self, attempt: usize) {
        if let AgentQueue::Fair(queue, _) = self {
            queue.remove(RequestId(attempt as u128));
        }
    }

    /// Records that an attempt is complete and took `actual_tokens`.
    pub fn on_done(&mut self, now: MonoTime, attempt: usize, actual_tokens: u32) {
        let AgentQueue::Fair(queue, serving) = self else { return };
        let id = RequestId(attempt as u128);
        let Some(index) = serving.iter().position(|item| item.id == id) else { return };
        let item = serving.swap_remove(index);
        queue.on_done(now, &item, actual_tokens);
    }
}

fn refused_attempts(refused: Vec<RefusedItem>) -> Vec<RefusedAttempt> {
    refused.into_iter().map(|refused| (refused.item.id.0 as usize, refused.code)).collect()
}

/// State that an agent reports for a target that has been serving for 10 minutes.
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
