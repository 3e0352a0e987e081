//! The requests at an agent: from the links through the queue to the target, and the answers back.

use super::claims::{ClaimDriver, SettledClaim};
use super::crash::{CrashDetector, CrashVerdict};
use super::target::{TargetClient, TargetEvent, TargetFailure};
use crate::clock;
use crate::link::LinkHandle;
use crate::metrics::AgentMetrics;
use crate::shared::{GateLoad, GatePosition};
use buckthornwharf_core::frame::{LinkFrame, SubmitFrame, TargetState};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::claim::ClaimEvent;
use buckthornwharf_core::request::heartbeat::HEARTBEAT_TIMEOUT;
use buckthornwharf_core::request::ledger::{ClaimVerdict, LedgerAction, LedgerEvent, TargetGate};
use buckthornwharf_core::request::{LinkId, RequestLedger};
use buckthornwharf_core::routing::{FairQueue, QueueItem, QueueLimits, RefusedItem};
use std::collections::VecDeque;
use tokio::sync::{mpsc, oneshot, watch};

/// Maximum requests queued at one agent.
const MAX_WAITING_REQUESTS: usize = 1_024;
/// Maximum estimated tokens of the requests queued at one agent.
const MAX_WAITING_TOKENS: u64 = 1_000_000;
/// Maximum expected wait for which a request is queued; beyond it another host is the better
/// choice.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(2);

/// Time in which an entry detects a dead link by the heartbeat timeout, opens a new one and sends a
/// resolve query for the answer.
const ANSWER_DELIVERY_TIME: Duration = HEARTBEAT_TIMEOUT.saturating_add(Duration::from_secs(2));

/// An event of the target's answer to a request.
pub type AnswerEvent = (RequestId, TargetEvent);

/// A request that was dispatched to the target.
struct DispatchedRequest {
    item: Option<QueueItem>,
    digest: Option<VersionDigest>,
    cancel: Option<oneshot::Sender<()>>,
    body_parts: u32,
}

/// All requests of one agent and the links on which they arrived. Carries out the actions of the
/// [`RequestLedger`].
pub struct RequestDispatcher {
    service: ServiceName,
    slots: u32,
    ledger: RequestLedger,
    queue: FairQueue,
    popped: SortedTable<RequestId, QueueItem>,
    dispatched: SortedTable<RequestId, DispatchedRequest>,
    last_ended_at: Option<MonoTime>,
    crashes: CrashDetector,
    claims: ClaimDriver,
    client: TargetClient,
    answers: mpsc::UnboundedSender<AnswerEvent>,
    links: SortedTable<LinkId, LinkHandle>,
    position: GatePosition,
    position_since: MonoTime,
    leaving: bool,
    load: watch::Sender<GateLoad>,
    metrics: AgentMetrics,
    pending_actions: VecDeque<LedgerAction>,
}

/// Inputs of [`RequestDispatcher`].
pub struct DispatcherParts {
    /// The service of the target.
    pub service: ServiceName,
    /// Maximum requests that run at the target at the same time.
    pub slots: u32,
    /// The claims of idempotency keys.
    pub claims: ClaimDriver,
    /// Client of the target.
    pub client: TargetClient,
    /// Receives the target's answers; the caller passes them to [`RequestDispatcher::on_answer`].
    pub answers: mpsc::UnboundedSender<AnswerEvent>,
    /// Publishes the number of dispatched requests.
    pub load: watch::Sender<GateLoad>,
    /// The agent's metrics.
    pub metrics: AgentMetrics,
}

impl RequestDispatcher {
    /// A dispatcher without requests whose gate is closed.
    pub fn new(parts: DispatcherParts) -> Self {
        let limits =
            QueueLimits { max_items: MAX_WAITING_REQUESTS, max_tokens: MAX_WAITING_TOKENS };
        Self {
            service: parts.service,
            slots: parts.slots,
            ledger: RequestLedger::new(),
            queue: FairQueue::new(limits).with_max_wait(MAX_QUEUE_WAIT),
            popped: SortedTable::new(),
            dispatched: SortedTable::new(),
            last_ended_at: None,
            crashes: CrashDetector::default(),
            claims: parts.claims,
            client: parts.client,
            answers: parts.answers,
            links: SortedTable::new(),
            position: GatePosition::Closed,
            position_since: clock::now(),
            leaving: false,
            load: parts.load,
            metrics: parts.metrics,
            pending_actions: VecDeque::new(),
        }
    }

    /// Whether no request is queued or running, and the last answers had time to reach their
    /// entries, even over new links.
    pub fn is_drained(&self) -> bool {
        let is_delivered = |ended: MonoTime| clock::now().since(ended) >= ANSWER_DELIVERY_TIME;
        self.ledger.in_flight() == 0 && self.last_ended_at.is_none_or(is_delivered)
    }

    /// The state that is reported to the entries.
    pub fn state(&self) -> TargetState {
        let serving = match self.position {
            GatePosition::OpenEngine(digest) => Some(digest),
            GatePosition::Closed | GatePosition::OpenPlain => None,
        };
        let serving_for = clock::now().since(self.position_since);
        TargetState {
            service: self.service.clone(),
            serving,
            accepting: self.position != GatePosition::Closed && !self.leaving,
            leaving: self.leaving,
            running: self.ledger.running(),
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            waiting_tokens: self.queue.waiting_tokens(),
            serving_for_ms: u64::try_from(serving_for.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Closes every link after its pending frames are written. Returns the number of links.
    pub fn close_links(&mut self) -> usize {
        std::mem::take(&mut self.links).len()
    }

    /// Sends a frame on every link.
    pub fn broadcast(&self, frame: &LinkFrame) {
        self.links.values().for_each(|handle| handle.send(frame.clone()));
    }

    /// Sends a frame on one link.
    pub fn send(&self, link: LinkId, frame: LinkFrame) {
        if let Some(handle) = self.links.get(&link) {
            handle.send(frame);
        }
    }

    /// Handles an opened link.
    pub fn on_link_up(&mut self, handle: LinkHandle) {
        let event = LedgerEvent::LinkOpened {
            link: handle.id,
            entry: handle.peer.host.clone(),
            incarnation: handle.peer.incarnation,
        };
        handle.send(LinkFrame::State(self.state()));
        self.links.insert(handle.id, handle);
        self.metrics.process.links_open.set(self.links.len() as i64);
        self.apply(event);
    }

    /// Handles the loss of a link.
    pub fn on_link_down(&mut self, link: LinkId) {
        if self.links.remove(&link).is_none() {
            return;
        }
        self.metrics.process.links_open.set(self.links.len() as i64);
        self.apply(LedgerEvent::LinkLost(link));
    }

    /// Handles a frame about requests that arrived on a link.
    pub fn on_request_frame(&mut self, link: LinkId, frame: LinkFrame) {
        self.apply(LedgerEvent::Frame { link, frame });
    }

    /// Handles the result of a call to the key-value service for a claim.
    pub fn on_claim(&mut self, event: ClaimEvent) {
        let settled = self.claims.on_event(event);
        self.settle_claims(settled);
        self.dispatch_waiting();
    }

    /// Sets the position of the gate, as decided by the control thread.
    pub fn set_position(&mut self, position: GatePosition) {
        if position != self.position {
            self.position = position;
            self.position_since = clock::now();
        }
        self.dispatch_waiting();
        self.publish_load();
    }

    /// Sets whether the host is leaving. If so, requests that have not been dispatched are refused,
    /// and no new ones are accepted.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
        self.dispatch_waiting();
    }

    /// Handles an event of the target's answer to a request.
    pub fn on_answer(&mut self, (id, event): AnswerEvent) {
        match event {
            TargetEvent::Head { status, content_type, digest } => {
                self.apply(LedgerEvent::TargetHead { id, status, content_type, digest });
            }
            TargetEvent::Body(bytes) => {
                if let Some(request) = self.dispatched.get_mut(&id) {
                    request.body_parts += 1;
                }
                self.apply(LedgerEvent::TargetBody { id, bytes });
            }
            TargetEvent::Complete => self.end_target(id, ResultCode::Ok),
            TargetEvent::Probed(crashed) => self.on_probed(crashed),
            TargetEvent::Failed(TargetFailure::ConnectionLost) => {
                self.crashes.record_broken(clock::now(), id)
            }
            TargetEvent::Failed(TargetFailure::InvalidAnswer) => {
                self.end_target(id, ResultCode::AnswerDiscarded);
            }
            TargetEvent::Failed(failure) => {
                log::debug!("request={id} failed at the target: {failure}");
                self.end_target(id, ResultCode::TargetFailed);
            }
        }
    }

    /// Handles timeouts. Must be called at least every
    /// [`CRASH_WINDOW`](super::crash::CRASH_WINDOW).
    pub fn on_tick(&mut self) {
        self.check_broken();
        self.on_claim(ClaimEvent::Tick);
        self.apply(LedgerEvent::Tick);
    }

    /// Handles the requests whose connections broke, once the crash window is over.
    fn check_broken(&mut self) {
        let is_engine = self.dispatched.values().any(|request| request.digest.is_some());
        match self.crashes.decide(clock::now(), self.dispatched.keys(), is_engine) {
            CrashVerdict::Nothing => {}
            CrashVerdict::Alive(ids) => self.end_broken(ids),
            CrashVerdict::Crashed(ids) => {
                self.apply(LedgerEvent::TargetCrashed);
                self.end_broken(ids);
            }
            CrashVerdict::Probe(first) => {
                actix_rt::spawn(self.client.probe(first, self.answers.clone()));
            }
        }
    }

    fn on_probed(&mut self, crashed: bool) {
        if crashed {
            self.apply(LedgerEvent::TargetCrashed);
        }
        let ids = self.crashes.take_probed();
        self.end_broken(ids);
    }

    fn end_broken(&mut self, ids: Vec<RequestId>) {
        for id in ids {
            self.end_target(id, ResultCode::TargetFailed);
        }
    }

    fn end_target(&mut self, id: RequestId, code: ResultCode) {
        self.last_ended_at = Some(clock::now());
        if let Some(request) = self.dispatched.remove(&id)
            && let Some(item) = &request.item
        {
            let actual = if request.body_parts > 1 { request.body_parts } else { item.cost_tokens };
            self.queue.on_done(clock::now(), item, actual);
        }
        self.publish_load();
        self.apply(LedgerEvent::TargetEnd { id, code });
    }

    fn apply(&mut self, event: LedgerEvent) {
        self.feed(event);
        self.dispatch_waiting();
    }

    fn feed(&mut self, event: LedgerEvent) {
        let actions = self.ledger.on_event(clock::now(), event);
        self.pending_actions.extend(actions);
        while let Some(action) = self.pending_actions.pop_front() {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: LedgerAction) {
        match action {
            LedgerAction::Enqueue(submit) => self.enqueue(&submit),
            LedgerAction::Dequeue(id) => {
                self.queue.remove(id);
                self.refund_popped(id);
            }
            LedgerAction::Hold(_) => {}
            LedgerAction::Recheck(id) => self.offer_to_ledger(id),
            LedgerAction::Claim(submit) => {
                let settled = self.claims.begin(&submit);
                self.settle_claims(settled);
            }
            LedgerAction::ReleaseClaim(id) => {
                self.refund_popped(id);
                let settled = self.claims.on_event(ClaimEvent::Released(id));
                self.settle_claims(settled);
            }
            LedgerAction::Dispatch(submit) => self.dispatch(&submit),
            LedgerAction::CancelTarget(id) => {
                let request = self.dispatched.get_mut(&id);
                if let Some(cancel) = request.and_then(|request| request.cancel.take()) {
                    let _ = cancel.send(());
                }
            }
            LedgerAction::Send { link, frame } => self.send(link, frame),
            LedgerAction::Crashed(fingerprints) => {
                log::warn!("the target crashed while {} requests ran", fingerprints.len());
                self.metrics.target_crashes.inc();
            }
            LedgerAction::SuspectCleared(fingerprint) => {
                log::info!(
                    "requests with fingerprint {fingerprint:x} are no longer suspected of crashing the target"
                )
            }
        }
    }

    fn enqueue(&mut self, submit: &SubmitFrame) {
        let now = clock::now();
        let item = QueueItem {
            id: submit.id,
            organisation: submit.organisation.clone(),
            weight: submit.weight,
            priority: submit.priority,
            cost_tokens: submit.cost_tokens,
            deadline: now + Duration::from_millis(submit.deadline_ms),
        };
        let refused = self.queue.push(now, item);
        self.refuse_all(refused);
    }

    fn refuse_all(&mut self, refused: Vec<RefusedItem>) {
        for refusal in refused {
            self.feed(LedgerEvent::Refused { id: refusal.item.id, code: refusal.code });
        }
    }

    /// Takes requests from the queue while the target has free slots. While the gate is closed or
    /// the host is leaving, refuses every queued request at once.
    fn dispatch_waiting(&mut self) {
        loop {
            let is_refusing = self.leaving || self.position == GatePosition::Closed;
            let may_dispatch = self.ledger.allows_dispatch() && self.ledger.running() < self.slots;
            if !may_dispatch && !is_refusing {
                break;
            }
            let popped = self.queue.pop(clock::now());
            self.refuse_all(popped.refused);
            let Some(item) = popped.next else { break };
            let id = item.id;
            if self.leaving {
                self.feed(LedgerEvent::Refused { id, code: ResultCode::Leaving });
            } else if is_refusing {
                self.feed(LedgerEvent::Refused { id, code: ResultCode::NotServing });
            } else {
                self.popped.insert(id, item);
                self.offer_to_ledger(id);
            }
        }
        self.metrics.waiting.set(self.queue.len() as i64);
        self.metrics.running.set(i64::from(self.ledger.running()));
    }

    fn offer_to_ledger(&mut self, id: RequestId) {
        let gate = self.gate();
        self.feed(LedgerEvent::Ready { id, gate });
    }

    /// Releases a request that was taken from the queue and will not run, so that its organisation
    /// is not charged for it.
    fn refund_popped(&mut self, id: RequestId) {
        if let Some(item) = self.popped.remove(&id) {
            self.queue.on_done(clock::now(), &item, 0);
        }
    }

    fn gate(&self) -> TargetGate {
        match self.position {
            GatePosition::Closed => TargetGate::Closed,
            GatePosition::OpenPlain => TargetGate::Plain,
            GatePosition::OpenEngine(digest) => TargetGate::Engine(digest),
        }
    }

    fn settle_claims(&mut self, settled: Vec<SettledClaim>) {
        for (id, verdict) in settled {
            let outcome = match verdict {
                ClaimVerdict::Won => "won",
                ClaimVerdict::Join(_) => "joined",
                ClaimVerdict::Refused(code) => code.into(),
            };
            self.metrics.claims.with_label_values(&[outcome]).inc();
            let gate = self.gate();
            self.feed(LedgerEvent::Claimed { id, verdict, gate });
        }
    }

    fn dispatch(&mut self, submit: &Arc<SubmitFrame>) {
        let id = submit.id;
        let (cancel, cancelled) = oneshot::channel();
        let item = self.popped.remove(&id);
        let request =
            DispatchedRequest { item, digest: submit.digest, cancel: Some(cancel), body_parts: 0 };
        self.dispatched.insert(id, request);
        self.publish_load();
        let client = self.client;
        let answers = self.answers.clone();
        actix_rt::spawn(client.run(submit.clone(), cancelled, answers));
    }

    fn publish_load(&self) {
        let mut load = GateLoad { position: self.position, ..GateLoad::default() };
        for request in self.dispatched.values() {
            match request.digest {
                Some(digest) => *load.engine.get_or_insert_with(digest, || 0) += 1,
                None => load.plain += 1,
            }
        }
        self.load.send_replace(load);
    }
}
