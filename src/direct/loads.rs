//! What agents tell entries of the load of their engines, over links that the agents open.

use crate::clock;
use anyhow::Result;
use buckthornwharf_core::prelude::*;
use futures_util::{SinkExt, StreamExt};
use log::{debug, info};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Bytes, Message};
use tokio_tungstenite::{accept_async_with_config, client_async_with_config};

/// Time between messages while the load does not change; shorter than the time for which an entry
/// believes one.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between messages.
const LEAST_INTERVAL: Duration = Duration::from_millis(100);
/// Time for a link to be opened.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a link is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(700);
/// Most bytes of a message.
const MAX_MESSAGE_BYTES: usize = 1024;
/// Pause after a failed accept, so that a lack of descriptors does not busy the thread.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The load of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadMessage {
    /// The engine.
    pub engine: SocketAddr,
    /// Requests of all entries that it runs or keeps.
    pub requests: u32,
    /// Whether it takes more.
    pub accepting: bool,
}

fn link_config() -> WebSocketConfig {
    // The buffers of the default are far larger than the messages.
    WebSocketConfig::default()
        .read_buffer_size(MAX_MESSAGE_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
}

/// Takes links of agents on `listener` for the rest of the process and hands each message to
/// `take`.
///
/// # Errors
///
/// Fails if the listener cannot be used on this thread.
pub fn start_receiver(
    listener: std::net::TcpListener,
    take: impl Fn(MonoTime, LoadMessage) + Clone + 'static,
) -> Result<()> {
    let listener = TcpListener::from_std(listener)?;
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(actix_rt::spawn(receive(stream, take.clone()))),
                Err(error) => {
                    log::warn!("event=accept_failed reason=\"{error}\"");
                    actix_rt::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn receive(stream: TcpStream, take: impl Fn(MonoTime, LoadMessage)) {
    if let Err(error) = buckthornwharf_exchange::set_socket_options(&stream) {
        debug!("event=link_not_prepared reason=\"{error}\"");
        return;
    }
    let mut link = match accept_async_with_config(stream, Some(link_config())).await {
        Ok(link) => link,
        Err(error) => {
            debug!("event=link_refused reason=\"{error}\"");
            return;
        }
    };
    while let Some(Ok(message)) = link.next().await {
        let Message::Binary(bytes) = message else {
            continue;
        };
        match ciborium::from_reader(&bytes[..]) {
            Ok(load) => take(clock::now(), load),
            Err(error) => debug!("event=bad_load reason=\"{error}\""),
        }
    }
}

/// Tells the entry at `address` the load of the engine, until dropped.
pub async fn send_loads(address: SocketAddr, mut loads: watch::Receiver<Option<LoadMessage>>) {
    let mut open = false;
    loop {
        match send_on_link(address, &mut loads, &mut open).await {
            Ok(()) => return,
            Err(error) => {
                if std::mem::take(&mut open) {
                    info!("event=link_lost entry={address} reason=\"{error:#}\"");
                }
            }
        }
        actix_rt::time::sleep(REOPEN_PAUSE).await;
    }
}

async fn send_on_link(
    address: SocketAddr,
    loads: &mut watch::Receiver<Option<LoadMessage>>,
    open: &mut bool,
) -> Result<()> {
    let stream = buckthornwharf_exchange::connect(address, OPEN_TIMEOUT).await?;
    let handshake =
        client_async_with_config(format!("ws://{address}/loads"), stream, Some(link_config()));
    let (mut link, _) = tokio::time::timeout(OPEN_TIMEOUT, handshake).await??;
    *open = true;
    loop {
        let load = *loads.borrow_and_update();
        if let Some(load) = load {
            let mut bytes = Vec::with_capacity(64);
            ciborium::into_writer(&load, &mut bytes)?;
            let sent = link.send(Message::Binary(Bytes::from(bytes)));
            tokio::time::timeout(OPEN_TIMEOUT, sent).await??;
        }
        actix_rt::time::sleep(LEAST_INTERVAL).await;
        let changed = tokio::time::timeout(REPEAT_INTERVAL, loads.changed()).await;
        if matches!(changed, Ok(Err(_))) {
            return Ok(());
        }
    }
}
