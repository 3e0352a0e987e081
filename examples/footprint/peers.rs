//! Simulated idle agents and entries: the peers of the measured process's links. They send the
//! frames of idle real ones and count the traffic.

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

/// Must equal the secret that the harness writes into the settings of its processes.
const LINK_SECRET: &str = "secret of a fleet on loopback";

/// Number and encoded size of frames, without the headers of WebSocket, TCP and IP.
#[derive(Debug, Clone, Copy, Default)]
pub struct FrameCount {
    /// Number of frames.
    pub frames: u64,
    /// Encoded size of the frames in bytes.
    pub bytes: u64,
}

/// Traffic of all simulated peers together; clones share the counters.
#[derive(Clone, Default)]
pub struct PeerTraffic {
    sent: Rc<Cell<FrameCount>>,
    received: Rc<Cell<FrameCount>>,
}

impl PeerTraffic {
    /// Frames sent to the measured process.
    pub fn sent(&self) -> FrameCount {
        self.sent.get()
    }

    /// Frames received from the measured process.
    pub fn received(&self) -> FrameCount {
        self.received.get()
    }
}

/// Starts `count` simulated agents and returns their records for the list of hosts.
pub async fn start_agents(count: usize, traffic: &PeerTraffic) -> Result<Vec<HostRecord>> {
    let mut records = Vec::new();
    for number in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let identity = link_identity(&format!("agent-{number}"))?;
        records.push(host_record(&identity, address));
        actix_rt::spawn(run_agent(listener, identity, traffic.clone()));
    }
    Ok(records)
}

/// Opens a link from each of `count` simulated entries to the agent at `address`.
pub async fn start_entries(count: usize, address: SocketAddr, traffic: &PeerTraffic) -> Result<()> {
    for number in 0..count {
        let identity = link_identity(&format!("entry-{number}"))?;
        let (socket, _) = dial_link(address, &identity).await?;
        actix_rt::spawn(run_peer(socket, None, traffic.clone()));
    }
    Ok(())
}

fn link_identity(host: &str) -> Result<LinkIdentity> {
    let settings_text = format!(
        "host: {host}\nsite: {}\nplatform: {{kv: '127.0.0.1:1', hosts: '127.0.0.1:1', store: \
         '127.0.0.1:1'}}\nlink_secret: {LINK_SECRET}\nentry: {{http: '127.0.0.1:0', admin: \
         '127.0.0.1:0'}}\n",
        SAMPLE_SITES[0]
    );
    let settings = ProcessSettings::parse(&settings_text)?;
    Ok(LinkIdentity {
        host: settings.host,
        site: settings.site,
        incarnation: HostIncarnation(1),
        key: settings.link_secret.key(),
    })
}

fn host_record(identity: &LinkIdentity, address: SocketAddr) -> HostRecord {
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

async fn run_agent(listener: TcpListener, identity: LinkIdentity, traffic: PeerTraffic) {
    while let Ok((stream, _)) = listener.accept().await {
        if let Ok((socket, _)) = accept_link(stream, &identity).await {
            run_peer(socket, Some(idle_state()), traffic.clone()).await;
        }
    }
}

async fn run_peer(mut socket: LinkSocket, state: Option<TargetState>, traffic: PeerTraffic) {
    let mut interval = actix_rt::time::interval(HEARTBEAT_INTERVAL);
    loop {
        tokio::select! {
            next = socket.next() => match next {
                Some(Ok(message)) => count_frame(&traffic.received, message.len()),
                _ => return,
            },
            _ = interval.tick() => {
                // An agent sends state reports instead of heartbeats.
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
    count_frame(&traffic.sent, bytes.len());
    Ok(socket.send(Message::binary(bytes)).await?)
}

fn count_frame(count: &Cell<FrameCount>, frame_bytes: usize) {
    let FrameCount { frames, bytes: total_bytes } = count.get();
    count.set(FrameCount { frames: frames + 1, bytes: total_bytes + frame_bytes as u64 });
}
