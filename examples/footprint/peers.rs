//! The other ends of links: they say what real ones say at rest, and count.

use anyhow::Result;
use buckthornwharf::link::{LinkIdentity, LinkSocket, accept_link, dial_link};
use buckthornwharf::settings::ProcessSettings;
use buckthornwharf_core::frame::{LinkFrame, TargetState};
use buckthornwharf_core::membership::{HostPhase, HostRecord, HostRole};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::heartbeat::HEARTBEAT_INTERVAL;
use buckthornwharf_standin::fleet::{PLAIN_SERVICE, SAMPLE_SITES};
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio_tungstenite::tungstenite::Message;

const LINK_SECRET: &str = "secret of a fleet on loopback";

/// Frames and the bytes of their encoding, without the headers of WebSocket, TCP and IP.
#[derive(Debug, Clone, Copy, Default)]
pub struct FrameCount {
    /// Frames.
    pub frames: u64,
    /// Bytes.
    pub bytes: u64,
}

/// What all other ends together sent and received.
#[derive(Clone, Default)]
pub struct PeerTraffic {
    sent: Rc<Cell<FrameCount>>,
    received: Rc<Cell<FrameCount>>,
}

impl PeerTraffic {
    /// What was sent to the measured process.
    pub fn sent(&self) -> FrameCount {
        self.sent.get()
    }

    /// What was received from it.
    pub fn received(&self) -> FrameCount {
        self.received.get()
    }
}

/// Starts `count` agents; returns their rows of the list.
pub async fn start_agents(count: usize, traffic: &PeerTraffic) -> Result<Vec<HostRecord>> {
    let mut records = Vec::new();
    for number in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let identity = identity(&format!("agent-{number}"))?;
        records.push(record(&identity, address));
        actix_rt::spawn(play_agent(listener, identity, traffic.clone()));
    }
    Ok(records)
}

/// Opens a link from each of `count` entries to the agent at `address`.
pub async fn start_entries(count: usize, address: SocketAddr, traffic: &PeerTraffic) -> Result<()> {
    for number in 0..count {
        let identity = identity(&format!("entry-{number}"))?;
        let (socket, _) = dial_link(address, &identity).await?;
        actix_rt::spawn(play_peer(socket, None, traffic.clone()));
    }
    Ok(())
}

fn identity(host: &str) -> Result<LinkIdentity> {
    let text = format!(
        "host: {host}\nsite: {}\nplatform: {{kv: '127.0.0.1:1', hosts: '127.0.0.1:1', store: \
         '127.0.0.1:1'}}\nlink_secret: {LINK_SECRET}\nentry: {{http: '127.0.0.1:0', admin: \
         '127.0.0.1:0'}}\n",
        SAMPLE_SITES[0]
    );
    let settings = ProcessSettings::parse(&text)?;
    Ok(LinkIdentity {
        host: settings.host,
        site: settings.site,
        incarnation: HostIncarnation(1),
        key: settings.link_secret.key(),
    })
}

fn record(identity: &LinkIdentity, address: SocketAddr) -> HostRecord {
    HostRecord {
        name: identity.host.clone(),
        site: identity.site.clone(),
        role: HostRole::Agent,
        service: Some(PLAIN_SERVICE.into()),
        link: Some(address),
        admin: address,
        phase: HostPhase::Live,
    }
}

fn idle_state() -> TargetState {
    TargetState {
        service: PLAIN_SERVICE.into(),
        serving: None,
        accepting: true,
        leaving: false,
        running: 0,
        waiting: 0,
        waiting_tokens: 0,
        serving_for_ms: 0,
    }
}

async fn play_agent(listener: TcpListener, identity: LinkIdentity, traffic: PeerTraffic) {
    while let Ok((stream, _)) = listener.accept().await {
        if let Ok((socket, _)) = accept_link(stream, &identity).await {
            play_peer(socket, Some(idle_state()), traffic.clone()).await;
        }
    }
}

async fn play_peer(mut socket: LinkSocket, state: Option<TargetState>, traffic: PeerTraffic) {
    let mut interval = actix_rt::time::interval(HEARTBEAT_INTERVAL);
    loop {
        tokio::select! {
            next = socket.next() => match next {
                Some(Ok(message)) => add(&traffic.received, message.len()),
                _ => return,
            },
            _ = interval.tick() => {
                // The reports of an agent take the place of its heartbeats.
                let frame = state.clone().map_or(LinkFrame::Heartbeat, LinkFrame::State);
                if send(&mut socket, &frame, &traffic).await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn send(socket: &mut LinkSocket, frame: &LinkFrame, traffic: &PeerTraffic) -> Result<()> {
    let bytes = frame.encode()?;
    add(&traffic.sent, bytes.len());
    Ok(socket.send(Message::binary(bytes)).await?)
}

fn add(count: &Cell<FrameCount>, bytes: usize) {
    let FrameCount { frames, bytes: before } = count.get();
    count.set(FrameCount { frames: frames + 1, bytes: before + bytes as u64 });
}
