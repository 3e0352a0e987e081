//! The traffic thread of an agent: links from entries, and the requests that arrive on them.

use super::claims::ClaimDriver;
use super::crash::CRASH_WINDOW;
use super::requests::{DispatcherParts, RequestDispatcher};
use super::target::TargetClient;
use crate::clock;
use crate::link::{LinkEvent, LinkIdentity, accept_link, run_link};
use crate::metrics::AgentMetrics;
use crate::platform::kv::KvClient;
use crate::settings::AgentSettings;
use crate::shared::{ActiveConfig, ConfigReceiver, GateLoad, HostsReceiver};
use actix_rt::net::TcpListener;
use anyhow::Result;
use buckthornwharf_core::config::{ConfigExchange, ExchangeAction};
use buckthornwharf_core::frame::{ConfigFrame, LinkFrame, TargetState};
use buckthornwharf_core::membership::is_leaving;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::LinkId;
use buckthornwharf_core::request::ledger::TargetGate;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// Interval of reports of the target's state while only its load changes.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of reports of the target's state while nothing changes.
const STATE_REPORT_INTERVAL: Duration = Duration::from_secs(4);
/// Time that a leaving agent keeps running after its leave notice, so that all entries have
/// received it and send no more requests.
const LEAVE_GRACE: Duration = Duration::from_secs(1);
/// Timeout of writing the last answers and closing the links of a leaving agent.
const LINK_CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, before the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Inputs of the traffic thread.
pub struct TrafficParts {
    /// The identity that the agent sends on its links.
    pub identity: LinkIdentity,
    /// The agent's settings.
    pub settings: AgentSettings,
    /// The listener that entries connect to.
    pub listener: std::net::TcpListener,
    /// The active configuration.
    pub config: ConfigReceiver,
    /// The known hosts.
    pub hosts: HostsReceiver,
    /// Client of the key-value service, for claims.
    pub kv: KvClient,
    /// Receives the configuration frames that entries send.
    pub config_frames: mpsc::UnboundedSender<ConfigFrame>,
    /// The gate to apply, as decided by the control thread.
    pub gate: watch::Receiver<TargetGate>,
    /// Publishes the number of dispatched requests.
    pub load: watch::Sender<GateLoad>,
    /// Becomes true when the process must leave.
    pub leaving: watch::Receiver<bool>,
    /// The agent's metrics.
    pub metrics: AgentMetrics,
}

/// The state of the traffic thread.
struct AgentTraffic {
    dispatcher: RequestDispatcher,
    exchange: ConfigExchange,
    config_frames: mpsc::UnboundedSender<ConfigFrame>,
    metrics: AgentMetrics,
    last_report: Option<TargetState>,
    last_report_at: MonoTime,
}

/// Runs the traffic of an agent until it must leave and every request has ended.
///
/// # Errors
///
/// Fails if the listener cannot be used.
pub async fn run_traffic(parts: TrafficParts) -> Result<()> {
    let listener = TcpListener::from_std(parts.listener)?;
    let (event_sender, mut events) = mpsc::unbounded_channel();
    let host = parts.identity.host.clone();
    let accepting = actix_rt::spawn(accept_links(listener, parts.identity, event_sender));
    let (claim_sender, mut claims) = mpsc::unbounded_channel();
    let (answer_sender, mut answers) = mpsc::unbounded_channel();
    let mut traffic = AgentTraffic {
        dispatcher: RequestDispatcher::new(DispatcherParts {
            service: parts.settings.service.clone(),
            slots: parts.settings.target_slots,
            claims: ClaimDriver::new(host.clone(), parts.kv, claim_sender),
            client: TargetClient::new(parts.settings.target),
            answers: answer_sender,
            load: parts.load,
            metrics: parts.metrics.clone(),
        }),
        exchange: ConfigExchange::default(),
        config_frames: parts.config_frames,
        metrics: parts.metrics,
        last_report: None,
        last_report_at: clock::now(),
    };
    let mut config = parts.config;
    let mut gate = parts.gate;
    let mut leaving = parts.leaving;
    let mut hosts = parts.hosts;
    let mut tick = actix_rt::time::interval(CRASH_WINDOW);
    config.mark_changed();
    gate.mark_changed();
    let mut leaving_since = None;
    loop {
        tokio::select! {
            Some(event) = events.recv() => traffic.on_link_event(event),
            Some(answer) = answers.recv() => traffic.dispatcher.on_answer(answer),
            Some(event) = claims.recv() => traffic.dispatcher.on_claim(event),
            Ok(()) = config.changed() => {
                let active = config.borrow_and_update().clone();
                traffic.on_config(active);
            }
            Ok(()) = gate.changed() => {
                let gate = *gate.borrow_and_update();
                traffic.dispatcher.set_gate(gate);
            }
            Ok(()) = leaving.changed(), if leaving_since.is_none() => {
                if *leaving.borrow_and_update() {
                    traffic.dispatcher.set_leaving(true);
                    leaving_since = Some(clock::now());
                }
            }
            Ok(()) = hosts.changed() => {
                let is_listed_leaving = is_leaving(&hosts.borrow_and_update(), &host);
                traffic.dispatcher.set_leaving(is_listed_leaving || leaving_since.is_some());
            }
            _ = tick.tick() => traffic.on_tick(),
        }
        traffic.report_state();
        let is_grace_over = leaving_since.is_some_and(|at| clock::now().since(at) >= LEAVE_GRACE);
        if is_grace_over && traffic.dispatcher.is_drained() {
            accepting.abort();
            let open_links = traffic.dispatcher.close_links();
            wait_links_closed(events, open_links).await;
            return Ok(());
        }
    }
}

/// Waits until `open_links` links have written their pending frames and closed, at most
/// [`LINK_CLOSE_TIMEOUT`].
async fn wait_links_closed(mut events: mpsc::UnboundedReceiver<LinkEvent>, mut open_links: usize) {
    let closing = async {
        while open_links > 0
            && let Some(event) = events.recv().await
        {
            open_links -= usize::from(matches!(event, LinkEvent::Down(_)));
        }
    };
    if actix_rt::time::timeout(LINK_CLOSE_TIMEOUT, closing).await.is_err() {
        log::warn!(
            "{open_links} links did not close within the timeout; their last answers may be lost"
        );
    }
}

async fn accept_links(
    listener: TcpListener,
    identity: LinkIdentity,
    events: mpsc::UnboundedSender<LinkEvent>,
) {
    let identity = Rc::new(identity);
    let mut next_id = 1;
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let id = LinkId(next_id);
        next_id += 1;
        let identity = identity.clone();
        let events = events.clone();
        actix_rt::spawn(async move {
            match accept_link(stream, &identity).await {
                Ok((socket, peer)) => run_link(id, socket, peer, events).await,
                Err(error) => log::warn!("link from {address} not accepted: {error:#}"),
            }
        });
    }
}

impl AgentTraffic {
    fn on_config(&mut self, active: Option<Arc<ActiveConfig>>) {
        if let Some(active) = &active {
            self.exchange.set_active(active.generation, active.body.clone());
            self.metrics.process.config_generation.set(active.generation.0 as i64);
        }
        self.dispatcher.broadcast(&LinkFrame::Config(self.exchange.announcement()));
    }

    fn on_tick(&mut self) {
        self.dispatcher.on_tick();
        if let Some(frame) = self.exchange.retry_request(clock::now()) {
            self.dispatcher.broadcast(&LinkFrame::Config(frame));
        }
    }

    fn on_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(handle) => {
                handle.send(LinkFrame::Config(self.exchange.announcement()));
                self.dispatcher.on_link_up(handle);
            }
            LinkEvent::Down(link) => self.dispatcher.on_link_down(link),
            LinkEvent::Frame(link, LinkFrame::Config(frame)) => self.on_config_frame(link, frame),
            LinkEvent::Frame(link, frame) => self.dispatcher.on_request_frame(link, frame),
        }
    }

    fn on_config_frame(&mut self, link: LinkId, frame: ConfigFrame) {
        match self.exchange.on_frame(clock::now(), frame) {
            ExchangeAction::Nothing => {}
            ExchangeAction::Reply(reply) => self.dispatcher.send(link, LinkFrame::Config(reply)),
            ExchangeAction::Deliver(frame) => {
                let _ = self.config_frames.send(frame);
            }
        }
    }

    /// Reports the state at once if a change decides whether entries may send requests here, else
    /// at an interval.
    fn report_state(&mut self) {
        let state = self.dispatcher.state();
        let now = clock::now();
        let interval =
            self.last_report.as_ref().map_or(Duration::ZERO, |old| report_interval(old, &state));
        if now.since(self.last_report_at) < interval {
            return;
        }
        self.dispatcher.broadcast(&LinkFrame::State(state.clone()));
        self.last_report = Some(state);
        self.last_report_at = now;
    }
}

/// Time from the report of the state `old` until the state `new` is reported.
fn report_interval(old: &TargetState, new: &TargetState) -> Duration {
    let is_urgent =
        old.serving != new.serving || old.accepting != new.accepting || old.leaving != new.leaving;
    let is_load_change = old.running != new.running
        || old.waiting != new.waiting
        || old.waiting_tokens != new.waiting_tokens;
    match (is_urgent, is_load_change) {
        (true, _) => Duration::ZERO,
        (false, true) => LOAD_REPORT_INTERVAL,
        (false, false) => STATE_REPORT_INTERVAL,
    }
}
