//! A TCP relay between two processes that can silence, cut or delay its connections.

use crate::call::{StandinError, StandinRequest, StandinResponse, unknown_route};
use crate::server::StandinRole;
use crate::switches::patch_switches;
use actix_rt::net::{TcpListener, TcpStream};
use anyhow::Result;
use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// Size of the copy buffer of each direction.
const COPY_BUFFER_BYTES: usize = 16 * 1024;
/// Delay before the next accept after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Direction in which open connections are silenced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SilenceMode {
    /// Neither direction.
    #[default]
    Off,
    /// Both directions.
    Both,
    /// From the client to upstream.
    Forward,
    /// From upstream back to the client.
    Back,
}

/// Fault switches of a relay.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySwitches {
    /// Silences the currently open connections permanently: neither bytes nor closes are forwarded.
    /// Connections that are opened later are not affected.
    pub silence: SilenceMode,
    /// Closes the currently open connections.
    pub cut: bool,
    /// Delay of each read before it is forwarded, in milliseconds.
    pub delay_ms: u64,
}

/// Counters of a relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayCounts {
    /// Address on which the relay accepts connections.
    pub address: SocketAddr,
    /// Connections accepted.
    pub opened: u64,
    /// Connections silenced.
    pub silenced: u64,
    /// Connections cut.
    pub cut: u64,
}

/// Directions of a connection that are silenced.
#[derive(Debug, Default)]
struct SilencedDirections {
    forward: Cell<bool>,
    back: Cell<bool>,
}

#[derive(Debug)]
struct OpenConnection {
    silenced: Rc<SilencedDirections>,
    task: AbortHandle,
}

/// A relay to one address.
#[derive(Debug)]
pub struct RelayService {
    upstream_address: SocketAddr,
    switches: RefCell<RelaySwitches>,
    open_connections: RefCell<Vec<OpenConnection>>,
    counts: RefCell<RelayCounts>,
}

impl SilencedDirections {
    fn is_any(&self) -> bool {
        self.forward.get() || self.back.get()
    }

    fn silence(&self, mode: SilenceMode) {
        let is_both = mode == SilenceMode::Both;
        self.forward.set(self.forward.get() || is_both || mode == SilenceMode::Forward);
        self.back.set(self.back.get() || is_both || mode == SilenceMode::Back);
    }
}

impl RelayService {
    /// Starts a relay to `upstream_address` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(upstream_address: SocketAddr) -> Result<Rc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let counts = RelayCounts { address, opened: 0, silenced: 0, cut: 0 };
        let relay = Rc::new(Self {
            upstream_address,
            switches: RefCell::default(),
            open_connections: RefCell::default(),
            counts: RefCell::new(counts),
        });
        actix_rt::spawn(relay.clone().accept(listener));
        Ok(relay)
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((client, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let silenced = Rc::new(SilencedDirections::default());
            let task = actix_rt::spawn(self.clone().relay(client, silenced.clone())).abort_handle();
            self.counts.borrow_mut().opened += 1;
            let mut open_connections = self.open_connections.borrow_mut();
            open_connections.retain(|connection| !connection.task.is_finished());
            open_connections.push(OpenConnection { silenced, task });
        }
    }

    async fn relay(self: Rc<Self>, client: TcpStream, silenced: Rc<SilencedDirections>) {
        let Ok(upstream) = TcpStream::connect(self.upstream_address).await else { return };
        if client.set_nodelay(true).is_err() || upstream.set_nodelay(true).is_err() {
            return;
        }
        let (client_reader, client_writer) = client.into_split();
        let (upstream_reader, upstream_writer) = upstream.into_split();
        tokio::select! {
            () = self.copy(client_reader, upstream_writer, &silenced, &silenced.forward) => {}
            () = self.copy(upstream_reader, client_writer, &silenced, &silenced.back) => {}
        }
    }

    /// Forwards one direction until it closes. The close is not forwarded if either direction is
    /// silenced.
    async fn copy(
        &self,
        mut reader: impl AsyncRead + Unpin,
        mut writer: impl AsyncWrite + Unpin,
        silenced: &SilencedDirections,
        is_silenced: &Cell<bool>,
    ) {
        let mut buffer = vec![0; COPY_BUFFER_BYTES];
        loop {
            let length = reader.read(&mut buffer).await.unwrap_or(0);
            let delay_ms = self.switches.borrow().delay_ms;
            if delay_ms > 0 {
                sleep(Duration::from_millis(delay_ms)).await;
            }
            let is_hidden_close = length == 0 && silenced.is_any();
            if is_silenced.get() || is_hidden_close {
                pending::<()>().await;
            }
            if length == 0 || writer.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }

    fn silence(&self, mode: SilenceMode) {
        for OpenConnection { silenced, task } in &*self.open_connections.borrow() {
            if task.is_finished() {
                continue;
            }
            silenced.silence(mode);
            self.counts.borrow_mut().silenced += 1;
        }
    }

    fn cut(&self) {
        for connection in std::mem::take(&mut *self.open_connections.borrow_mut()) {
            connection.task.abort();
            self.counts.borrow_mut().cut += 1;
        }
    }
}

impl StandinRole for RelayService {
    const NAME: &'static str = "relay";
    const MAX_BODY_BYTES: usize = COPY_BUFFER_BYTES;

    async fn answer(
        self: Rc<Self>,
        request: StandinRequest,
    ) -> Result<StandinResponse, StandinError> {
        Err(unknown_route(&request))
    }

    fn patch_switches(&self, patch: &[u8]) -> Result<(), StandinError> {
        let mut switches = self.switches.borrow_mut();
        patch_switches(&mut *switches, patch)?;
        let silence = std::mem::take(&mut switches.silence);
        if silence != SilenceMode::Off {
            self.silence(silence);
        }
        if std::mem::take(&mut switches.cut) {
            self.cut();
        }
        Ok(())
    }

    fn counts(&self) -> Value {
        json!(*self.counts.borrow())
    }
}
