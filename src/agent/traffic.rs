//! The traffic thread of an agent: links from entries, and the requests they bring.

use super::claims::ClaimDesk;
use super::crash::CRASH_WINDOW;
use super::requests::{DeskParts, RequestDesk};
use super::target::TargetClient;
use crate::clock;
use crate::link::{LinkEvent, LinkIdentity, accept_link, run_link};
use crate::metrics::AgentMetrics;
use crate::platform::kv::KvClient;
use crate::settings::AgentSettings;
use crate::shared::{ActiveConfig, ConfigReceiver, GateLoad, GatePosition, HostsReceiver};
use actix_rt::net::TcpListener;
use anyhow::Result;
use buckthornwharf_core::config::{ConfigExchange, ExchangeAction};
use buckthornwharf_core::frame::{ConfigFrame, LinkFrame, TargetState};
use buckthornwharf_core::membership::is_leaving;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::LinkId;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// Pace at which the state of the target is reported while only its load changes.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Pace at which the state of the target is reported while nothing changes.
const STATE_INTERVAL: Duration = Duration::from_secs(4);
/// Time that a leaving agent stays after its notice, so that no entry still sends it work.
const LEAVE_GRACE: Duration = Duration::from_secs(1);
/// Time that the links of a leaving agent have to write the last answers.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What the traffic thread of an agent is made of.
pub struct TrafficParts {
    /// What the agent says of itself on links.
    pub identity: LinkIdentity,
    /// The agent's settings.
    pub settings: AgentSettings,
    /// Where entries connect.
    pub listener: std::net::TcpListener,
    /// The configuration in force.
    pub config: ConfigReceiver,
    /// The hosts that the process believes in.
    pub hosts: HostsReceiver,
    /// The key-value service, for claims.
    pub kv: KvClient,
    /// Takes the configurations that peers send.
    pub config_frames: mpsc::UnboundedSender<ConfigFrame>,
    /// Where the gate is to stand.
    pub position: watch::Receiver<GatePosition>,
    /// Where the dispatched requests are told.
    pub load: watch::Sender<GateLoad>,
    /// Turns true when the process is to leave.
    pub leaving: watch::Receiver<bool>,
    /// The agent's metrics.
    pub metrics: AgentMetrics,
}

/// The state of the traffic thread.
struct AgentTraffic {
    desk: RequestDesk,
    exchange: ConfigExchange,
    config_frames: mpsc::UnboundedSender<ConfigFrame>,
    metrics: AgentMetrics,
    reported: Option<TargetState>,
    reported_at: MonoTime,
}

/// Runs the traffic of an agent until it is told to leave and every request has ended.
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
        desk: RequestDesk::new(DeskParts {
            service: parts.settings.service.clone(),
            slots: parts.settings.target_slots,
            claims: ClaimDesk::new(host.clone(), parts.kv, claim_sender),
            client: TargetClient::new(parts.settings.target),
            answers: answer_sender,
            load: parts.load,
            metrics: parts.metrics.clone(),
        }),
        exchange: ConfigExchange::default(),
        config_frames: parts.config_frames,
        metrics: parts.metrics,
        reported: None,
        reported_at: clock::now(),
    };
    let mut config = parts.config;
    let mut position = parts.position;
    let mut leaving = parts.leaving;
    let mut hosts = parts.hosts;
    let mut tick = actix_rt::time::interval(CRASH_WINDOW);
    config.mark_changed();
    position.mark_changed();
    let mut left_at = None;
    loop {
        tokio::select! {
            Some(event) = events.recv() => traffic.on_link_event(event),
            Some(answer) = answers.recv() => traffic.desk.on_answer(answer),
            Some(event) = claims.recv() => traffic.desk.on_claim(event),
            Ok(()) = config.changed() => {
                let active = config.borrow_and_update().clone();
                traffic.on_config(active);
            }
            Ok(()) = position.changed() => {
                let position = *position.borrow_and_update();
                traffic.desk.set_position(position);
            }
            Ok(()) = leaving.changed(), if left_at.is_none() => {
                if *leaving.borrow_and_update() {
                    traffic.desk.set_leaving(true);
                    left_at = Some(clock::now());
                }
            }
            Ok(()) = hosts.changed() => {
                let listed = is_leaving(&hosts.borrow_and_update(), &host);
                traffic.desk.set_leaving(listed || left_at.is_some());
            }
            _ = tick.tick() => traffic.on_tick(),
        }
        traffic.report_state();
        let is_over = left_at.is_some_and(|at| clock::now().since(at) >= LEAVE_GRACE);
        if is_over && traffic.desk.is_settled() {
            accepting.abort();
            let open = traffic.desk.close_links();
            wait_closed(events, open).await;
            return Ok(());
        }
    }
}

/// Waits until `open` links have written what was sent on them and are closed, for a while at most.
async fn wait_closed(mut events: mpsc::UnboundedReceiver<LinkEvent>, mut open: usize) {
    let closing = async {
        while open > 0
            && let Some(event) = events.recv().await
        {
            open -= usize::from(matches!(event, LinkEvent::Down(_)));
        }
    };
    if actix_rt::time::timeout(CLOSE_LIMIT, closing).await.is_err() {
        log::warn!("{open} links did not close in time");
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
            actix_rt::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let id = LinkId(next_id);
        next_id += 1;
        let identity = identity.clone();
        let events = events.clone();
        actix_rt::spawn(async move {
            match accept_link(stream, &identity).await {
                Ok((socket, peer)) => run_link(id, socket, peer, events).await,
                Err(error) => log::warn!("link from {address}: {error:#}"),
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
        self.desk.broadcast(&LinkFrame::Config(self.exchange.announcement()));
    }

    fn on_tick(&mut self) {
        self.desk.tick();
        if let Some(frame) = self.exchange.retry_request(clock::now()) {
            self.desk.broadcast(&LinkFrame::Config(frame));
        }
    }

    fn on_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(handle) => {
                handle.send(LinkFrame::Config(self.exchange.announcement()));
                self.desk.link_up(handle);
            }
            LinkEvent::Down(link) => self.desk.link_down(link),
            LinkEvent::Frame(link, LinkFrame::Config(frame)) => self.on_config_frame(link, frame),
            LinkEvent::Frame(link, frame) => self.desk.request_frame(link, frame),
        }
    }

    fn on_config_frame(&mut self, link: LinkId, frame: ConfigFrame) {
        match self.exchange.on_frame(clock::now(), frame) {
            ExchangeAction::Nothing => {}
            ExchangeAction::Reply(reply) => self.desk.send(link, LinkFrame::Config(reply)),
            ExchangeAction::Deliver(frame) => {
                let _ = self.config_frames.send(frame);
            }
        }
    }

    /// Reports the state at once where it decides who may send work here, else at a steady pace.
    fn report_state(&mut self) {
        let state = self.desk.state();
        let now = clock::now();
        let pace = self.reported.as_ref().map_or(Duration::ZERO, |old| report_pace(old, &state));
        if now.since(self.reported_at) < pace {
            return;
        }
        self.desk.broadcast(&LinkFrame::State(state.clone()));
        self.reported = Some(state);
        self.reported_at = now;
    }
}

/// How long after the report `old` the state `new` is to be reported.
fn report_pace(old: &TargetState, new: &TargetState) -> Duration {
    let is_urgent =
        old.serving != new.serving || old.accepting != new.accepting || old.leaving != new.leaving;
    let is_load = old.running != new.running
        || old.waiting != new.waiting
        || old.waiting_tokens != new.waiting_tokens;
    match (is_urgent, is_load) {
        (true, _) => Duration::ZERO,
        (false, true) => LOAD_INTERVAL,
        (false, false) => STATE_INTERVAL,
    }
}
