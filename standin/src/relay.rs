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
use tokio::sync::Notify;
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
    /// Closes the currently open connections, and others as soon as they are opened, while it is set.
    pub refuse: bool,
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
    cut: Rc<Notify>,
    task: AbortHandle,
}

/// How a direction of a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyEnd {
    Closed,
    Reset,
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
            if self.switches.borrow().refuse {
                continue;
            }
            let silenced = Rc::new(SilencedDirections::default());
            let cut = Rc::new(Notify::new());
            let relayed = self.clone().relay(client, silenced.clone(), cut.clone());
            let task = actix_rt::spawn(relayed).abort_handle();
            self.counts.borrow_mut().opened += 1;
            let mut open_connections = self.open_connections.borrow_mut();
            open_connections.retain(|connection| !connection.task.is_finished());
            open_connections.push(OpenConnection { silenced, cut, task });
        }
    }

    async fn relay(
        self: Rc<Self>,
        mut client: TcpStream,
        silenced: Rc<SilencedDirections>,
        cut: Rc<Notify>,
    ) {
        let Ok(mut upstream) = TcpStream::connect(self.upstream_address).await else { return };
        if client.set_nodelay(true).is_err() || upstream.set_nodelay(true).is_err() {
            return;
        }
        let (client_reader, client_writer) = client.split();
        let (upstream_reader, upstream_writer) = upstream.split();
        let end = tokio::select! {
            end = self.copy(client_reader, upstream_writer, &silenced, &silenced.forward) => end,
            end = self.copy(upstream_reader, client_writer, &silenced, &silenced.back) => end,
            () = cut.notified() => CopyEnd::Reset,
        };
        if end == CopyEnd::Reset {
            // Fails only on a socket that is closed already.
            let _ = (client.set_zero_linger(), upstream.set_zero_linger());
        }
    }

    /// Forwards one direction until it closes or is reset. The end is not forwarded if either
    /// direction is silenced.
    async fn copy(
        &self,
        mut reader: impl AsyncRead + Unpin,
        mut writer: impl AsyncWrite + Unpin,
        silenced: &SilencedDirections,
        is_silenced: &Cell<bool>,
    ) -> CopyEnd {
        let mut buffer = vec![0; COPY_BUFFER_BYTES];
        loop {
            let read = reader.read(&mut buffer).await;
            let delay_ms = self.switches.borrow().delay_ms;
            if delay_ms > 0 {
                sleep(Duration::from_millis(delay_ms)).await;
            }
            let is_hidden_end = matches!(read, Ok(0) | Err(_)) && silenced.is_any();
            if is_silenced.get() || is_hidden_end {
                pending::<()>().await;
            }
            match read {
                Ok(0) => return CopyEnd::Closed,
                Ok(length) if writer.write_all(&buffer[..length]).await.is_ok() => {}
                Ok(_) | Err(_) => return CopyEnd::Reset,
            }
        }
    }

    fn silence(&self, mode: SilenceMode) {
        for OpenConnection { silenced, task, .. } in &*self.open_connections.borrow() {
            if task.is_finished() {
                continue;
            }
            silenced.silence(mode);
            self.counts.borrow_mut().silenced += 1;
        }
    }

    fn cut(&self) {
        for connection in std::mem::take(&mut *self.open_connections.borrow_mut()) {
            connection.cut.notify_one();
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
        if std::mem::take(&mut switches.cut) || switches.refuse {
            self.cut();
        }
        Ok(())
    }

    fn counts(&self) -> Value {
        json!(*self.counts.borrow())
    }
}
