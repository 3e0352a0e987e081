//! An open link: one task that moves frames both ways until either side falls silent.

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

/// Frames that are written before the socket is flushed.
const WRITE_BATCH: usize = 64;

/// The sending side of a link; it can be cloned.
#[derive(Debug, Clone)]
pub struct LinkHandle {
    /// The link.
    pub id: LinkId,
    /// The other side.
    pub peer: Arc<PeerIdentity>,
    sender: mpsc::UnboundedSender<LinkFrame>,
}

impl LinkHandle {
    /// Queues a frame. What becomes of it after a loss of the link is not known here.
    pub fn send(&self, frame: LinkFrame) {
        // A closed channel means that the link is down, which its owner hears as an event.
        let _ = self.sender.send(frame);
    }
}

/// What happens on a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// The link is open.
    Up(LinkHandle),
    /// A frame arrived; heartbeats are not reported.
    Frame(LinkId, LinkFrame),
    /// The link is down; nothing more arrives on it.
    Down(LinkId),
}

/// Runs an open link until it fails, falls silent or `events` is closed, reporting through
/// `events`. [`LinkEvent::Down`] is reported also when the task that runs this is aborted.
pub async fn run_link(
    id: LinkId,
    socket: LinkSocket,
    peer: PeerIdentity,
    events: mpsc::UnboundedSender<LinkEvent>,
) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let pulse = RefCell::new(HeartbeatMonitor::new(clock::now()));
    let heartbeats = sender.downgrade();
    let handle = LinkHandle { id, peer: Arc::new(peer), sender };
    let peer = handle.peer.clone();
    if events.send(LinkEvent::Up(handle)).is_err() {
        return;
    }
    let _guard = DownGuard { id, events: events.clone() };
    let (sink, stream) = socket.split();
    let reason = tokio::select! {
        reason = read_frames(id, stream, &events, &pulse) => reason,
        reason = write_frames(sink, receiver, &pulse) => reason,
        reason = keep_pulse(heartbeats, &pulse) => reason,
    };
    log::info!("link to {} down: {reason}", peer.host);
}

struct DownGuard {
    id: LinkId,
    events: mpsc::UnboundedSender<LinkEvent>,
}

impl Drop for DownGuard {
    fn drop(&mut self) {
        let _ = self.events.send(LinkEvent::Down(self.id));
    }
}

async fn read_frames(
    id: LinkId,
    mut stream: SplitStream<LinkSocket>,
    events: &mpsc::UnboundedSender<LinkEvent>,
    pulse: &RefCell<HeartbeatMonitor>,
) -> String {
    loop {
        let next = stream.next().await;
        pulse.borrow_mut().on_received(clock::now());
        let bytes = match next {
            Some(Ok(Message::Binary(bytes))) => bytes,
            Some(Ok(Message::Close(_))) | None => return "closed by the peer".to_owned(),
            Some(Ok(_)) => continue,
            Some(Err(error)) => return error.to_string(),
        };
        let frame = match LinkFrame::decode(&bytes) {
            Ok(LinkFrame::Heartbeat) => continue,
            Ok(frame) => frame,
            Err(error) => return error.to_string(),
        };
        if events.send(LinkEvent::Frame(id, frame)).is_err() {
            return "closed here".to_owned();
        }
    }
}

async fn write_frames(
    mut sink: SplitSink<LinkSocket, Message>,
    mut receiver: mpsc::UnboundedReceiver<LinkFrame>,
    pulse: &RefCell<HeartbeatMonitor>,
) -> String {
    let mut batch = Vec::with_capacity(WRITE_BATCH);
    loop {
        if receiver.recv_many(&mut batch, WRITE_BATCH).await == 0 {
            let _ = sink.close().await;
            return "closed here".to_owned();
        }
        pulse.borrow_mut().on_sent(clock::now());
        let written =
            actix_rt::time::timeout(HEARTBEAT_TIMEOUT, write_batch(&mut sink, &mut batch));
        match written.await {
            Ok(Ok(())) => {}
            Ok(Err(reason)) => return reason,
            Err(_) => return "the peer does not read".to_owned(),
        }
    }
}

/// Queues a heartbeat whenever nothing else was sent for a while; ends when the link is silent.
async fn keep_pulse(
    sender: mpsc::WeakUnboundedSender<LinkFrame>,
    pulse: &RefCell<HeartbeatMonitor>,
) -> String {
    loop {
        let now = clock::now();
        let action = pulse.borrow_mut().on_tick(now);
        match action {
            HeartbeatAction::Drop => return "silent".to_owned(),
            HeartbeatAction::Wait(until) => actix_rt::time::sleep(until.since(now)).await,
            HeartbeatAction::SendHeartbeat => {
                let Some(sender) = sender.upgrade() else {
                    return "closed here".to_owned();
                };
                let _ = sender.send(LinkFrame::Heartbeat);
                pulse.borrow_mut().on_sent(now);
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
