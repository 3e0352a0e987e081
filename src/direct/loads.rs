//! Links between agents and entries: WebSocket connections that agents open, to report the loads of their
//! engines and to exchange news of declared versions and evacuated sites.

use super::demand::{
    DEMAND_QUERY, DemandMessage, EntryMessage, REPEAT_INTERVAL as DEMAND_INTERVAL,
};
use super::evacuation::EvacuatedFields;
use super::inbound_guard::InboundGuard;
use super::news::{DeclaredFields, NEWS_INTERVAL, NewsMessage, NewsRepeat, VersionNews};
use crate::clock;
use anyhow::{Result, anyhow, bail};
use buckthornwharf_core::direct::capacity::EngineState;
use buckthornwharf_core::direct::memory::{ConnectionKind, HolderPhase};
use buckthornwharf_core::direct::{ClassDemand, EvacuationRepeat};
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::ConnectionMemory;
use futures_util::{Sink, SinkExt, Stream, StreamExt};
use log::{debug, info};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_tungstenite::tungstenite::handshake::server::{Request, Response};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Bytes, Error, Message};
use tokio_tungstenite::{WebSocketStream, accept_hdr_async_with_config, client_async_with_config};

/// Time between messages while the load does not change; shorter than the time after which an entry
/// considers a report stale.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between messages.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Path of links that only report loads.
const LOADS_PATH: &str = "/loads";
/// Path of links on which the entry also sends news.
const NEWS_PATH: &str = "/loads-and-news";
/// Timeout to open a link, and to send a message.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Difference of the paces, in percent of the lower one, from which a report is sent at once.
const CLEAR_PACE_PERCENT: u32 = 25;
/// Timeout of the handshake of a link that is accepted; longer, since an entry that has just started accepts those
/// of all agents at once.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a message after which a link is closed that has carried one; agents repeat theirs each
/// [`REPEAT_INTERVAL`].
const MAX_SILENCE: Duration = Duration::from_secs(10);
/// Delay before a link is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(700);
/// Maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Size of the read buffer of a link, in bytes.
const READ_BUFFER_BYTES: usize = 1024;
/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The load of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLoad {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Number of requests of all entries that are running or waiting in the engine.
    pub requests: u32,
    /// Whether the engine accepts more requests.
    pub accepting: bool,
    /// What entries that learn limits use besides; `None` if limits are not learned.
    pub details: Option<EngineDetails>,
}

/// How fast an engine is and how full. The values are rounded, so that small changes cause no message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineDetails {
    /// Factor by which it is slower than usual, in percent, if it says so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pace: Option<u32>,
    /// Number of requests that wait in it.
    #[serde(default)]
    pub waiting: u32,
    /// Occupied memory in percent, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory: Option<u32>,
}

impl EngineLoad {
    /// Returns the state of the engine, if it is reported.
    pub fn engine_state(&self) -> Option<EngineState> {
        let details = self.details?;
        Some(EngineState {
            pace: details.pace.map(|percent| f64::from(percent) / 100.0),
            waiting: details.waiting,
            running: self.requests.saturating_sub(details.waiting),
            memory_part: details.memory.map(|percent| f64::from(percent) / 100.0),
        })
    }

    /// Returns whether the engine is much faster or slower than in `sent`.
    fn has_other_pace(&self, sent: &Self) -> bool {
        let pace = |load: &Self| load.details.and_then(|details| details.pace).unwrap_or(100);
        let (paces, sent) = (pace(self), pace(sent));
        let (lower, higher) = (paces.min(sent), paces.max(sent));
        u64::from(higher) * 100 >= u64::from(lower) * u64::from(100 + CLEAR_PACE_PERCENT)
            && higher != lower
    }
}

/// A message of an agent to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentMessage {
    engine: SocketAddr,
    requests: u32,
    accepting: bool,
    /// How fast the engine is and how full; absent in messages of earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    details: Option<EngineDetails>,
    /// The declared versions that the agent knows; empty if the entry has heard of them on this link.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<DeclaredFields>,
    /// The part of the free slots, in thousandths, that the entry may take of those for its region; absent
    /// if it is an equal one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<u16>,
    /// The evacuated sites, or some of them; `None` if the entry has heard of them on this link, or if
    /// there has been no evacuation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuated: Option<EvacuatedFields>,
}

impl AgentMessage {
    /// Creates the message that reports `load` and names `versions`, without evacuated sites.
    pub fn new(load: EngineLoad, versions: Vec<DeclaredFields>) -> Self {
        let EngineLoad { engine, requests, accepting, details } = load;
        Self { engine, requests, accepting, details, versions, part: None, evacuated: None }
    }

    /// Sets the part of the free slots that the entry may take.
    pub fn with_part(self, part: Option<u16>) -> Self {
        Self { part, ..self }
    }

    /// Returns the load of the agent's engine.
    pub fn load(&self) -> EngineLoad {
        let Self { engine, requests, accepting, details, .. } = *self;
        EngineLoad { engine, requests, accepting, details }
    }
}

/// What an agent sends to an entry.
#[derive(Debug, Clone)]
pub struct AgentReports {
    /// The load of its engine; `None` until it is known. The link ends when the sender is dropped.
    pub loads: watch::Receiver<Option<EngineLoad>>,
    /// The declared versions and evacuated sites that it knows.
    pub news: watch::Receiver<VersionNews>,
}

fn link_config() -> WebSocketConfig {
    // The default buffers are far larger than the messages.
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        // The default of a frame is larger than that of a message, and a frame is read before it is checked.
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// Accepts links of agents on `listener` for the rest of the process, within the bounds of `guard`, sends
/// `news` and `demand` on those that ask for them, and calls `on_message` with each message and the time of
/// its receipt.
///
/// # Errors
///
/// Fails if the listener cannot be used on this thread.
pub fn start_receiver(
    listener: std::net::TcpListener,
    guard: Rc<InboundGuard>,
    news: watch::Receiver<VersionNews>,
    demand: Option<watch::Receiver<ClassDemand>>,
    on_message: impl Fn(MonoTime, AgentMessage) + Clone + 'static,
) -> Result<()> {
    guard.prepare_listener(&listener);
    let listener = TcpListener::from_std(listener)?;
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, source)) => {
                    if let Some(memory) = guard.admit(ConnectionKind::Link, source) {
                        let (news, demand) = (news.clone(), demand.clone());
                        let on_message = on_message.clone();
                        actix_rt::spawn(serve_agent(stream, memory, news, demand, on_message));
                    }
                }
                Err(error) => {
                    debug!("event=accept_failed reason=\"{error}\"");
                    guard.count("accept_failed");
                    actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve_agent(
    stream: TcpStream,
    memory: ConnectionMemory,
    news: watch::Receiver<VersionNews>,
    demand: Option<watch::Receiver<ClassDemand>>,
    on_message: impl Fn(MonoTime, AgentMessage),
) {
    if let Err(error) = buckthornwharf_exchange::set_socket_options(&stream) {
        debug!("event=link_not_prepared reason=\"{error}\"");
        return;
    }
    let (mut wants_news, mut wants_demand) = (false, false);
    #[expect(clippy::result_large_err, reason = "the type is given by the library")]
    let on_request = |request: &Request, response: Response| {
        wants_news = request.uri().path() == NEWS_PATH;
        wants_demand = request.uri().query() == Some(DEMAND_QUERY);
        Ok(response)
    };
    let handshake = accept_hdr_async_with_config(stream, on_request, Some(link_config()));
    let link = tokio::select! {
        link = tokio::time::timeout(ACCEPT_TIMEOUT, handshake) => link,
        () = memory.evicted() => return,
    };
    let (sink, messages) = match link {
        Ok(Ok(link)) => link.split(),
        Err(_) => {
            debug!("event=link_refused reason=\"the handshake has timed out\"");
            return;
        }
        Ok(Err(error)) => {
            debug!("event=link_refused reason=\"{error}\"");
            return;
        }
    };
    let last_message = Cell::new(None);
    let received = |message| {
        let now = clock::now();
        if last_message.replace(Some(now)).is_none() {
            memory.set_phase(HolderPhase::Running);
        }
        on_message(now, message);
    };
    let news = Some(news).filter(|_| wants_news);
    let demand = demand.filter(|_| wants_demand);
    let ended = tokio::select! {
        ended = receive(messages, received) => ended,
        () = memory.evicted() => Err(anyhow!("too many links")),
        () = silent(&last_message) => Err(anyhow!("the agent is silent")),
        ended = send_to_agent(sink, news, demand) => ended,
    };
    if let Err(error) = ended {
        debug!("event=link_ended reason=\"{error:#}\"");
    }
}

/// Waits until an agent that has reported its load has been silent for [`MAX_SILENCE`]. An agent that does not
/// know the load of its engine yet may stay silent.
async fn silent(last_message: &Cell<Option<MonoTime>>) {
    loop {
        actix_rt::time::sleep(MAX_SILENCE).await;
        if last_message.get().is_some_and(|at| clock::now().since(at) >= MAX_SILENCE) {
            return;
        }
    }
}

/// Sends the news and the demand at once, whenever they change, and each [`NEWS_INTERVAL`] and
/// [`DEMAND_INTERVAL`]. Evacuated sites that do not fit into one message follow in further ones.
async fn send_to_agent(
    mut sink: impl Sink<Message, Error = Error> + Unpin,
    mut news: Option<watch::Receiver<VersionNews>>,
    mut demand: Option<watch::Receiver<ClassDemand>>,
) -> Result<()> {
    let (mut news_at, mut demand_at) = (Instant::now(), Instant::now());
    let mut evacuation = EvacuationRepeat::default();
    loop {
        tokio::select! {
            current = changed_or_due(&mut news, news_at), if news.is_some() => {
                let (now, current) = (clock::now(), current?);
                let part = evacuation.due_part(now, &current.evacuation);
                let evacuated = part.map(EvacuatedFields::from);
                send(&mut sink, &NewsMessage { evacuated, ..current.message(now) }).await?;
                let pause =
                    if evacuation.has_unsent() { Duration::ZERO } else { NEWS_INTERVAL };
                news_at = Instant::now() + pause;
            }
            current = changed_or_due(&mut demand, demand_at), if demand.is_some() => {
                let message = DemandMessage { demand: current? };
                send(&mut sink, &message).await?;
                demand_at = Instant::now() + DEMAND_INTERVAL;
            }
            else => std::future::pending().await,
        }
    }
}

/// Waits for a change, at most until `due`, and returns the current value.
async fn changed_or_due<T: Clone>(
    receiver: &mut Option<watch::Receiver<T>>,
    due: Instant,
) -> Result<T> {
    let Some(receiver) = receiver else {
        return std::future::pending().await;
    };
    if let Ok(Err(_)) = tokio::time::timeout_at(due, receiver.changed()).await {
        bail!("the entry ends");
    }
    Ok(receiver.borrow_and_update().clone())
}

/// Passes each message to `on_message` until the link ends.
async fn receive<T: DeserializeOwned>(
    mut messages: impl Stream<Item = Result<Message, Error>> + Unpin,
    on_message: impl Fn(T),
) -> Result<()> {
    while let Some(message) = messages.next().await {
        let Message::Binary(bytes) = message? else {
            continue;
        };
        match ciborium::from_reader(&bytes[..]) {
            Ok(message) => on_message(message),
            Err(error) => debug!("event=bad_link_message reason=\"{error}\""),
        }
    }
    bail!("the link was closed")
}

async fn send(
    sink: &mut (impl Sink<Message, Error = Error> + Unpin),
    message: &impl Serialize,
) -> Result<()> {
    let mut bytes = Vec::with_capacity(64);
    ciborium::into_writer(message, &mut bytes)?;
    let send = sink.send(Message::Binary(Bytes::from(bytes)));
    Ok(tokio::time::timeout(OPEN_TIMEOUT, send).await??)
}

/// What an agent hears on a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// News of declared versions and evacuated sites.
    News(NewsMessage),
    /// The entry's demand.
    Demand(ClassDemand),
    /// The link has ended.
    Lost,
}

/// Sends the reports of an agent to the entry at `address`, with the part of the free slots that it may take, and
/// reopens the link whenever it fails. If `wants_news`, the entry sends news on it. Returns when the sender of the
/// loads is dropped.
pub async fn run_link(
    address: SocketAddr,
    wants_news: bool,
    mut reports: AgentReports,
    part: impl Fn(MonoTime) -> Option<u16>,
    on_event: impl Fn(LinkEvent),
) {
    loop {
        if let Ok(link) = open_link(address, wants_news).await {
            let ended = use_link(link, &mut reports, &part, &on_event).await;
            on_event(LinkEvent::Lost);
            let Err(error) = ended else {
                return;
            };
            info!("event=link_lost entry={address} reason=\"{error:#}\"");
        }
        actix_rt::time::sleep(REOPEN_DELAY).await;
    }
}

async fn open_link(address: SocketAddr, wants_news: bool) -> Result<WebSocketStream<TcpStream>> {
    let stream = buckthornwharf_exchange::connect(address, OPEN_TIMEOUT).await?;
    let path = if wants_news { NEWS_PATH } else { LOADS_PATH };
    let handshake = client_async_with_config(
        format!("ws://{address}{path}?{DEMAND_QUERY}"),
        stream,
        Some(link_config()),
    );
    let (link, _) = tokio::time::timeout(OPEN_TIMEOUT, handshake).await??;
    Ok(link)
}

/// Sends reports and receives news until the link fails or the sender of the loads is dropped.
async fn use_link(
    link: WebSocketStream<TcpStream>,
    reports: &mut AgentReports,
    part: &impl Fn(MonoTime) -> Option<u16>,
    on_event: &impl Fn(LinkEvent),
) -> Result<()> {
    let (sink, messages) = link.split();
    tokio::select! {
        ended = receive(messages, |message| on_event(message_event(message))) => ended,
        ended = send_reports(sink, reports, part) => ended,
    }
}

fn message_event(message: EntryMessage) -> LinkEvent {
    match message {
        EntryMessage::News(news) => LinkEvent::News(news),
        EntryMessage::Demand(DemandMessage { demand }) => LinkEvent::Demand(demand),
    }
}

/// Sends the reports until the sender of the loads is dropped.
async fn send_reports(
    mut sink: impl Sink<Message, Error = Error> + Unpin,
    reports: &mut AgentReports,
    part: &impl Fn(MonoTime) -> Option<u16>,
) -> Result<()> {
    let mut repeat = NewsRepeat::default();
    let mut evacuation = EvacuationRepeat::default();
    loop {
        let load = *reports.loads.borrow_and_update();
        if let Some(load) = load {
            let now = clock::now();
            let message = {
                let news = reports.news.borrow_and_update();
                let evacuated = evacuation.due_part(now, &news.evacuation);
                let evacuated = evacuated.map(EvacuatedFields::from);
                let versions = repeat.due_versions(now, &news);
                AgentMessage { evacuated, ..AgentMessage::new(load, versions) }
            };
            let message = message.with_part(part(now));
            send(&mut sink, &message).await?;
        }
        let pace_changed = reports.pace_changed(load, MIN_INTERVAL).await;
        if !pace_changed && !evacuation.has_unsent() && !reports.changed().await {
            return Ok(());
        }
    }
}

impl AgentReports {
    /// Waits for `time`, or until the pace clearly differs from that in `sent`; returns whether it does.
    async fn pace_changed(&self, sent: Option<EngineLoad>, time: Duration) -> bool {
        // A receiver of its own, so that other changes during the wait still count as new.
        let mut loads = self.loads.clone();
        let is_other = |load: &Option<EngineLoad>| {
            sent.zip(*load).is_some_and(|(sent, load)| load.has_other_pace(&sent))
        };
        match tokio::time::timeout(time, loads.wait_for(is_other)).await {
            Ok(changed) => changed.is_ok(),
            Err(_) => false,
        }
    }

    /// Waits for a change, at most for [`REPEAT_INTERVAL`]. Returns false if the sender of the loads is
    /// dropped.
    async fn changed(&mut self) -> bool {
        tokio::select! {
            changed = self.loads.changed() => changed.is_ok(),
            Ok(()) = self.news.changed() => true,
            () = actix_rt::time::sleep(REPEAT_INTERVAL) => true,
        }
    }
}
