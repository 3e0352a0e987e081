//! The requests at an agent: from the links through the queue to the target, and the answers back.

mod answers;
mod queue;

use super::claims::{ClaimDriver, SettledClaim};
use super::crash::CrashDetector;
use super::target::{AnswerEvent, TargetClient};
use crate::clock;
use crate::link::LinkHandle;
use crate::metrics::AgentMetrics;
use crate::shared::GateLoad;
use buckthornwharf_core::frame::{LinkFrame, TargetState};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::claim::ClaimEvent;
use buckthornwharf_core::request::heartbeat::HEARTBEAT_TIMEOUT;
use buckthornwharf_core::request::ledger::{ClaimVerdict, LedgerAction, LedgerEvent, TargetGate};
use buckthornwharf_core::request::{LinkId, RequestLedger};
use buckthornwharf_core::routing::{FairQueue, QueueItem, QueueLimits};
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
    gate: TargetGate,
    gate_since: MonoTime,
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
            gate: TargetGate::Closed,
            gate_since: clock::now(),
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
        let serving = match self.gate {
            TargetGate::Engine(digest) => Some(digest),
            TargetGate::Closed | TargetGate::Plain => None,
        };
        let serving_for = clock::now().since(self.gate_since);
        TargetState {
            service: self.service.clone(),
            serving,
            accepting: self.gate != TargetGate::Closed && !self.leaving,
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

    /// Sets the gate, as decided by the control thread.
    pub fn set_gate(&mut self, gate: TargetGate) {
        if gate != self.gate {
            self.gate = gate;
            self.gate_since = clock::now();
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

    /// Handles timeouts. Must be called at least every
    /// [`CRASH_WINDOW`](super::crash::CRASH_WINDOW).
    pub fn on_tick(&mut self) {
        self.check_broken();
        self.on_claim(ClaimEvent::Tick);
        self.apply(LedgerEvent::Tick);
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

    fn settle_claims(&mut self, settled: Vec<SettledClaim>) {
        for (id, verdict) in settled {
            let outcome = match verdict {
                ClaimVerdict::Won => "won",
                ClaimVerdict::Join(_) => "joined",
                ClaimVerdict::Refused(code) => code.into(),
            };
            self.metrics.claims.with_label_values(&[outcome]).inc();
            self.feed(LedgerEvent::Claimed { id, verdict, gate: self.gate });
        }
    }

    fn publish_load(&self) {
        let mut load = GateLoad { gate: self.gate, ..GateLoad::default() };
        for request in self.dispatched.values() {
            match request.digest {
                Some(digest) => *load.engine.get_or_insert_with(digest, || 0) += 1,
                None => load.plain += 1,
            }
        }
        self.load.send_replace(load);
    }
}
