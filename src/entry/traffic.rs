//! Traffic thread of an entry: serves callers over HTTP and forwards their requests over links.

use super::answer_channel::answer_channel;
use super::caller::{CallerGuard, CallerRequest, error_response, read_request, write_answer};
use super::links::LinkManager;
use super::observer::{RequestObserver, RequestRecorder, RequestSubject};
use super::requests::RequestTable;
use super::submission::random_id;
use crate::clock;
use crate::http_server::serve_http;
use crate::link::{LinkEvent, LinkIdentity};
use crate::metrics::EntryMetrics;
use crate::shared::{ActiveConfig, ConfigReceiver, HostsReceiver};
use actix_http::body::BoxBody;
use actix_http::{Request, Response};
use actix_rt::net::TcpListener;
use anyhow::Result;
use buckthornwharf_core::burn::BurnCounts;
use buckthornwharf_core::config::{ConfigExchange, ExchangeAction};
use buckthornwharf_core::frame::{ConfigFrame, LinkFrame, TargetState};
use buckthornwharf_core::membership::{
    HostPhase, HostRecord, HostRole, MembershipEvent, is_leaving,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::LinkId;
use buckthornwharf_core::routing::choose_links;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, watch};

/// Interval at which timers of requests are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Query to the traffic thread for the counts of the error budgets; carries the reply channel.
pub type BurnQuery = oneshot::Sender<BurnCounts>;

/// Inputs of the traffic thread of an entry.
pub struct TrafficParts {
    /// Identity of the entry on links.
    pub identity: LinkIdentity,
    /// Listener for callers.
    pub listener: std::net::TcpListener,
    /// Maximum number of links to agents.
    pub max_links: usize,
    /// Deadline of a request whose caller sets none.
    pub default_deadline: Duration,
    /// The active configuration.
    pub config: ConfigReceiver,
    /// The known hosts.
    pub hosts: HostsReceiver,
    /// Receives the membership events that links observe.
    pub membership_events: mpsc::UnboundedSender<MembershipEvent>,
    /// Receives the configurations that peers send.
    pub config_frames: mpsc::UnboundedSender<ConfigFrame>,
    /// Becomes true when the process must shut down.
    pub leaving: watch::Receiver<bool>,
    /// The entry's metrics.
    pub metrics: EntryMetrics,
    /// Queries for the counts of the error budgets.
    pub burn_queries: mpsc::UnboundedReceiver<BurnQuery>,
}

/// The state of the traffic thread.
struct EntryTraffic {
    host: HostName,
    max_links: usize,
    default_deadline: Duration,
    table: RequestTable,
    link_manager: LinkManager,
    exchange: ConfigExchange,
    config: ConfigReceiver,
    hosts: HostsReceiver,
    membership_events: mpsc::UnboundedSender<MembershipEvent>,
    config_frames: mpsc::UnboundedSender<ConfigFrame>,
    metrics: EntryMetrics,
    recorder: Rc<RequestRecorder>,
}

type SharedTraffic = Rc<RefCell<EntryTraffic>>;

/// Serves callers until `leaving` is true and every request has ended.
///
/// # Errors
///
/// Fails if the HTTP server cannot be started.
pub async fn run_traffic(parts: TrafficParts) -> Result<()> {
    let listener = TcpListener::from_std(parts.listener)?;
    let (event_sender, event_receiver) = mpsc::unbounded_channel();
    let site = parts.identity.site.clone();
    let traffic = Rc::new(RefCell::new(EntryTraffic {
        host: parts.identity.host.clone(),
        max_links: parts.max_links,
        default_deadline: parts.default_deadline,
        recorder: Rc::new(RequestRecorder::new(site.clone(), parts.metrics.clone())),
        table: RequestTable::new(site),
        link_manager: LinkManager::new(parts.identity, event_sender),
        exchange: ConfigExchange::default(),
        config: parts.config.clone(),
        hosts: parts.hosts.clone(),
        membership_events: parts.membership_events,
        config_frames: parts.config_frames,
        metrics: parts.metrics,
    }));
    actix_rt::spawn(handle_link_events(traffic.clone(), event_receiver));
    actix_rt::spawn(follow_config(traffic.clone(), parts.config));
    actix_rt::spawn(follow_hosts(traffic.clone(), parts.hosts));
    actix_rt::spawn(run_ticks(traffic.clone()));
    actix_rt::spawn(answer_burn_queries(traffic.borrow().recorder.clone(), parts.burn_queries));
    let handler_traffic = traffic.clone();
    serve_http(listener, parts.leaving, move |request| answer(handler_traffic.clone(), request))
        .await
}

async fn answer(traffic: SharedTraffic, mut request: Request) -> Response<BoxBody> {
    let id = random_id();
    let (config, default_deadline, recorder) = {
        let traffic = traffic.borrow();
        let config = traffic.config.borrow().clone();
        (config, traffic.default_deadline, traffic.recorder.clone())
    };
    let Some(config) = config else {
        recorder.on_refused(None, ResultCode::NotServing);
        return error_response(id, ResultCode::NotServing);
    };
    let caller = match read_request(&mut request, &config, default_deadline).await {
        Ok(caller) => caller,
        Err(code) => {
            let route = config.document.route_for(request.path());
            recorder.on_refused(route.map(|route| &route.service), code);
            return error_response(id, code);
        }
    };
    let (sender, receiver) = answer_channel();
    let subject = subject_of(id, &caller);
    let observer = RequestObserver::start(recorder.clone(), clock::now(), subject.clone());
    let submitted = traffic.borrow_mut().table.submit(id, caller, sender, observer);
    if let Err(code) = submitted {
        recorder.on_not_submitted(&subject, code);
        return error_response(id, code);
    }
    let on_caller_gone = Box::new(move |id| traffic.borrow_mut().table.on_caller_gone(id));
    write_answer(receiver, CallerGuard::new(id, on_caller_gone)).await
}

fn subject_of(id: RequestId, caller: &CallerRequest) -> RequestSubject {
    RequestSubject {
        id,
        service: caller.service.clone(),
        organisation: caller.organisation.clone(),
        class: caller.organisation_config.priority,
    }
}

async fn answer_burn_queries(
    recorder: Rc<RequestRecorder>,
    mut queries: mpsc::UnboundedReceiver<BurnQuery>,
) {
    while let Some(query) = queries.recv().await {
        let _ = query.send(recorder.burn_counts());
    }
}

async fn handle_link_events(
    traffic: SharedTraffic,
    mut events: mpsc::UnboundedReceiver<LinkEvent>,
) {
    while let Some(event) = events.recv().await {
        traffic.borrow_mut().on_link_event(event);
    }
}

async fn follow_config(traffic: SharedTraffic, mut config: ConfigReceiver) {
    loop {
        let active = config.borrow_and_update().clone();
        traffic.borrow_mut().on_config(active);
        if config.changed().await.is_err() {
            return;
        }
    }
}

async fn follow_hosts(traffic: SharedTraffic, mut hosts: HostsReceiver) {
    loop {
        hosts.mark_unchanged();
        traffic.borrow_mut().choose_links();
        if hosts.changed().await.is_err() {
            return;
        }
    }
}

async fn run_ticks(traffic: SharedTraffic) {
    let mut interval = actix_rt::time::interval(TICK_INTERVAL);
    loop {
        interval.tick().await;
        traffic.borrow_mut().on_tick();
    }
}

impl EntryTraffic {
    fn on_config(&mut self, active: Option<Arc<ActiveConfig>>) {
        if let Some(active) = &active {
            self.exchange.set_active(active.generation, active.body.clone());
            let sites = active.document.sites.iter();
            let regions = sites.map(|(site, config)| (site.clone(), config.region.clone()));
            self.table.set_regions(regions.collect());
            self.table.set_organisations(&active.document);
            self.recorder.set_objectives(&active.document);
            self.metrics.process.config_generation.set(active.generation.0 as i64);
        }
        self.table.broadcast(&LinkFrame::Config(self.exchange.announcement()));
        self.choose_links();
    }

    fn choose_links(&mut self) {
        let hosts = self.hosts.borrow().clone();
        let leaving = hosts.iter().filter(|host| host.phase == HostPhase::Leaving);
        let leaving = leaving.map(|host| host.name.clone()).collect();
        self.table.set_membership(live_entries(&hosts), leaving);
        let Some(active) = self.config.borrow().clone() else {
            // Without a configuration, dials some agents to obtain one from them.
            return self.dial(first_agents(&hosts, self.max_links));
        };
        let chosen = choose_links(&self.host, &hosts, &active.document, self.max_links);
        let addresses = chosen.into_iter().filter_map(|host| address_of(&hosts, host)).collect();
        self.dial(addresses);
    }

    fn dial(&mut self, agents: SortedTable<HostName, SocketAddr>) {
        let hosts = self.hosts.borrow().clone();
        for host in self.link_manager.set_agents(&agents) {
            // A leaving host is still redialled, so that its next incarnation is noticed at once.
            if !self.table.needs_host(&host) && !is_leaving(&hosts, &host) {
                self.link_manager.drop_link(&host);
            }
        }
    }

    fn on_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(handle) => {
                handle.send(LinkFrame::Config(self.exchange.announcement()));
                self.table.on_link_up(handle);
                self.metrics.process.links_open.set(self.table.link_count() as i64);
            }
            LinkEvent::Down(link) => {
                self.table.on_link_down(link);
                self.metrics.process.links_open.set(self.table.link_count() as i64);
            }
            LinkEvent::Frame(link, frame) => self.on_frame(link, frame),
        }
    }

    fn on_frame(&mut self, link: LinkId, frame: LinkFrame) {
        match &frame {
            LinkFrame::State(state) => self.on_state(link, state),
            LinkFrame::Accepted(id) => {
                if let Some(handle) = self.table.link(link) {
                    self.recorder.on_served_by(*id, &handle.peer.site);
                }
                self.table.on_request_frame(link, *id, frame);
            }
            LinkFrame::Resolved(resolved) => self.table.on_request_frame(link, resolved.id, frame),
            LinkFrame::Head(head) => self.table.on_request_frame(link, head.id, frame),
            LinkFrame::Body(body) => self.table.on_request_frame(link, body.id, frame),
            LinkFrame::End(end) => self.table.on_request_frame(link, end.id, frame),
            LinkFrame::Suspects(suspects) => self.table.on_suspect_frame(suspects),
            LinkFrame::Config(config) => self.on_config_frame(link, config.clone()),
            _ => {}
        }
    }

    fn on_state(&mut self, link: LinkId, state: &TargetState) {
        self.table.on_target_state(link, state);
        let Some(handle) = self.table.link(link) else { return };
        let (host, incarnation) = (handle.peer.host.clone(), handle.peer.incarnation);
        let _ = self.membership_events.send(match state.leaving {
            true => MembershipEvent::Leaving { host, incarnation },
            false => MembershipEvent::Alive { host, incarnation },
        });
    }

    fn on_config_frame(&mut self, link: LinkId, frame: ConfigFrame) {
        match self.exchange.on_frame(clock::now(), frame) {
            ExchangeAction::Nothing => {}
            ExchangeAction::Reply(reply) => {
                if let Some(handle) = self.table.link(link) {
                    handle.send(LinkFrame::Config(reply));
                }
            }
            ExchangeAction::Deliver(frame) => {
                let _ = self.config_frames.send(frame);
            }
        }
    }

    fn on_tick(&mut self) {
        self.table.tick();
        if let Some(frame) = self.exchange.retry_request(clock::now()) {
            self.table.broadcast(&LinkFrame::Config(frame));
        }
    }
}

fn live_entries(hosts: &[HostRecord]) -> u32 {
    let live = hosts.iter().filter(|host| host.phase == HostPhase::Live);
    let entries = live.filter(|host| host.role == HostRole::Entry);
    u32::try_from(entries.count()).unwrap_or(u32::MAX)
}

fn address_of(hosts: &[HostRecord], host: HostName) -> Option<(HostName, SocketAddr)> {
    let index = hosts.binary_search_by(|record| record.name.cmp(&host)).ok()?;
    Some((host, hosts[index].link?))
}

fn first_agents(hosts: &[HostRecord], max_links: usize) -> SortedTable<HostName, SocketAddr> {
    let live = hosts.iter().filter(|host| host.phase == HostPhase::Live);
    let agents = live.filter_map(|host| Some((host.name.clone(), host.link?)));
    agents.take(max_links).collect()
}
