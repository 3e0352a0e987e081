//! Load reports of engines, sent by agents to entries over WebSocket links that the agents open.

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

/// Time between messages while the load does not change; shorter than the time after which an entry
/// considers a report stale.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between messages.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout to open a link, and to send a message.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a link is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(700);
/// Maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1024;
/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The load of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadMessage {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Number of requests of all entries that are running or waiting in the engine.
    pub requests: u32,
    /// Whether the engine accepts more requests.
    pub accepting: bool,
}

fn link_config() -> WebSocketConfig {
    // The default buffers are far larger than the messages.
    WebSocketConfig::default()
        .read_buffer_size(MAX_MESSAGE_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
}

/// Accepts links of agents on `listener` for the rest of the process and calls `on_load` with each
/// message and the time of its receipt.
///
/// # Errors
///
/// Fails if the listener cannot be used on this thread.
pub fn start_receiver(
    listener: std::net::TcpListener,
    on_load: impl Fn(MonoTime, LoadMessage) + Clone + 'static,
) -> Result<()> {
    let listener = TcpListener::from_std(listener)?;
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(actix_rt::spawn(receive(stream, on_load.clone()))),
                Err(error) => {
                    log::warn!("event=accept_failed reason=\"{error}\"");
                    actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}

async fn receive(stream: TcpStream, on_load: impl Fn(MonoTime, LoadMessage)) {
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
            Ok(load) => on_load(clock::now(), load),
            Err(error) => debug!("event=bad_load reason=\"{error}\""),
        }
    }
}

/// Sends the engine's load to the entry at `address` and reopens the link whenever it fails. Returns
/// when the sender of `loads` is dropped.
pub async fn send_loads(address: SocketAddr, mut loads: watch::Receiver<Option<LoadMessage>>) {
    let mut was_open = false;
    loop {
        match run_link(address, &mut loads, &mut was_open).await {
            Ok(()) => return,
            Err(error) => {
                if std::mem::take(&mut was_open) {
                    info!("event=link_lost entry={address} reason=\"{error:#}\"");
                }
            }
        }
        actix_rt::time::sleep(REOPEN_DELAY).await;
    }
}

async fn run_link(
    address: SocketAddr,
    loads: &mut watch::Receiver<Option<LoadMessage>>,
    was_open: &mut bool,
) -> Result<()> {
    let stream = buckthornwharf_exchange::connect(address, OPEN_TIMEOUT).await?;
    let handshake =
        client_async_with_config(format!("ws://{address}/loads"), stream, Some(link_config()));
    let (mut link, _) = tokio::time::timeout(OPEN_TIMEOUT, handshake).await??;
    *was_open = true;
    loop {
        let load = *loads.borrow_and_update();
        if let Some(load) = load {
            let mut bytes = Vec::with_capacity(64);
            ciborium::into_writer(&load, &mut bytes)?;
            let send = link.send(Message::Binary(Bytes::from(bytes)));
            tokio::time::timeout(OPEN_TIMEOUT, send).await??;
        }
        actix_rt::time::sleep(MIN_INTERVAL).await;
        let changed = tokio::time::timeout(REPEAT_INTERVAL, loads.changed()).await;
        if matches!(changed, Ok(Err(_))) {
            return Ok(());
        }
    }
}
