//! An open link: sends and receives frames until it is closed, fails or times out.

use super::handshake::{LinkSocket, PeerIdentity};
use crate::clock;
use buckthornwharf_core::frame::LinkFrame;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::LinkId;
use buckthornwharf_core::request::heartbeat::{
    HEARTBEAT_TIMEOUT, HeartbeatAction, HeartbeatMonitor,
};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use std::cell::RefCell;
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::Message;

/// Maximum number of frames written before the socket is flushed.
const WRITE_BATCH: usize = 64;

/// The sending side of a link.
#[derive(Debug, Clone)]
pub struct LinkHandle {
    /// Id of the link.
    pub id: LinkId,
    /// The process at the other end.
    pub peer: Arc<PeerIdentity>,
    sender: mpsc::UnboundedSender<LinkFrame>,
}

impl LinkHandle {
    /// Queues a frame. It may be lost without an error if the link goes down.
    pub fn send(&self, frame: LinkFrame) {
        // A closed channel means that the link is down, which `LinkEvent::Down` reports.
        let _ = self.sender.send(frame);
    }
}

/// An event of a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// The link is open.
    Up(LinkHandle),
    /// A frame arrived; heartbeats are not reported.
    Frame(LinkId, LinkFrame),
    /// The link is down; no further event follows.
    Down(LinkId),
}

/// Runs an open link until it fails, times out or `events` is closed, and reports to `events`.
/// [`LinkEvent::Down`] is also reported if the task that runs this is aborted.
pub async fn run_link(
    id: LinkId,
    socket: LinkSocket,
    peer: PeerIdentity,
    events: mpsc::UnboundedSender<LinkEvent>,
) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let monitor = RefCell::new(HeartbeatMonitor::new(clock::now()));
    let heartbeats = sender.downgrade();
    let handle = LinkHandle { id, peer: Arc::new(peer), sender };
    let peer = handle.peer.clone();
    if events.send(LinkEvent::Up(handle)).is_err() {
        return;
    }
    let _guard = LinkDownGuard { id, events: events.clone() };
    let (sink, stream) = socket.split();
    let reason = tokio::select! {
        reason = read_frames(id, stream, &events, &monitor) => reason,
        reason = write_frames(sink, receiver, &monitor) => reason,
        reason = send_heartbeats(heartbeats, &monitor) => reason,
    };
    log::info!("link to {} down: {reason}", peer.host);
}

struct LinkDownGuard {
    id: LinkId,
    events: mpsc::UnboundedSender<LinkEvent>,
}

impl Drop for LinkDownGuard {
    fn drop(&mut self) {
        let _ = self.events.send(LinkEvent::Down(self.id));
    }
}

async fn read_frames(
    id: LinkId,
    mut stream: SplitStream<LinkSocket>,
    events: &mpsc::UnboundedSender<LinkEvent>,
    monitor: &RefCell<HeartbeatMonitor>,
) -> String {
    loop {
        let next = stream.next().await;
        monitor.borrow_mut().on_received(clock::now());
        let bytes = match next {
            Some(Ok(Message::Binary(bytes))) => bytes,
            Some(Ok(Message::Close(_))) | None => return "closed by peer".to_owned(),
            Some(Ok(_)) => continue,
            Some(Err(error)) => return error.to_string(),
        };
        let frame = match LinkFrame::decode(&bytes) {
            Ok(LinkFrame::Heartbeat) => continue,
            Ok(frame) => frame,
            Err(error) => return error.to_string(),
        };
        if events.send(LinkEvent::Frame(id, frame)).is_err() {
            return "closed locally".to_owned();
        }
    }
}

async fn write_frames(
    mut sink: SplitSink<LinkSocket, Message>,
    mut receiver: mpsc::UnboundedReceiver<LinkFrame>,
    monitor: &RefCell<HeartbeatMonitor>,
) -> String {
    let mut batch = Vec::with_capacity(WRITE_BATCH);
    loop {
        if receiver.recv_many(&mut batch, WRITE_BATCH).await == 0 {
            let _ = sink.close().await;
            return "closed locally".to_owned();
        }
        monitor.borrow_mut().on_sent(clock::now());
        let written =
            actix_rt::time::timeout(HEARTBEAT_TIMEOUT, write_batch(&mut sink, &mut batch));
        match written.await {
            Ok(Ok(())) => {}
            Ok(Err(reason)) => return reason,
            Err(_) => return "peer did not read within the heartbeat timeout".to_owned(),
        }
    }
}

/// Queues a heartbeat when no frame was sent for the heartbeat interval; returns when no frame was
/// received within [`HEARTBEAT_TIMEOUT`].
async fn send_heartbeats(
    sender: mpsc::WeakUnboundedSender<LinkFrame>,
    monitor: &RefCell<HeartbeatMonitor>,
) -> String {
    loop {
        let now = clock::now();
        let action = monitor.borrow_mut().on_tick(now);
        match action {
            HeartbeatAction::Drop => {
                return "no frame received within the heartbeat timeout".to_owned();
            }
            HeartbeatAction::Wait(until) => actix_rt::time::sleep(until.since(now)).await,
            HeartbeatAction::SendHeartbeat => {
                let Some(sender) = sender.upgrade() else {
                    return "closed locally".to_owned();
                };
                let _ = sender.send(LinkFrame::Heartbeat);
                monitor.borrow_mut().on_sent(now);
            }
        }
    }
}

async fn write_batch(
    sink: &mut SplitSink<LinkSocket, Message>,
    batch: &mut Vec<LinkFrame>,
) -> Result<(), String> {
    for frame in batch.drain(..) {
        let bytes = frame.encode().map_err(|error| error.to_string())?;
        sink.feed(Message::binary(bytes)).await.map_err(|error| error.to_string())?;
    }
    sink.flush().await.map_err(|error| error.to_string())
}
