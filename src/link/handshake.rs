//! Opening a link: each side signs the other's random challenge with the shared secret.

use crate::settings::ProcessSettings;
use anyhow::{Context, Result, bail};
use buckthornwharf_core::frame::{HelloFrame, LinkFrame, MAX_FRAME_BYTES, PROTOCOL_VERSION};
use buckthornwharf_core::prelude::*;
use futures_util::{SinkExt, StreamExt};
use rand::RngExt;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// Time within which a link must be open.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Label of the entry's proof, so that a proof cannot be sent back to its maker.
const ENTRY_LABEL: &[u8] = b"entry";
/// Label of the agent's proof.
const AGENT_LABEL: &[u8] = b"agent";

/// The WebSocket under a link.
pub type LinkSocket = WebSocketStream<TcpStream>;

/// What a process says of itself when it opens or accepts links.
#[derive(Debug, Clone)]
pub struct LinkIdentity {
    /// The process's host.
    pub host: HostName,
    /// The process's site.
    pub site: SiteName,
    /// The run of the process.
    pub incarnation: HostIncarnation,
    /// Key derived from the shared secret.
    pub key: [u8; 32],
}

/// What the other side of a link said of itself and proved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// The peer's host.
    pub host: HostName,
    /// The peer's site.
    pub site: SiteName,
    /// The run of the peer's process.
    pub incarnation: HostIncarnation,
}

impl LinkIdentity {
    /// The identity of a process with these settings, as a run of its own.
    pub fn of(settings: &ProcessSettings) -> Self {
        Self {
            host: settings.host.clone(),
            site: settings.site.clone(),
            incarnation: HostIncarnation(rand::rng().random()),
            key: settings.link_secret.key(),
        }
    }

    fn hello(&self, challenge: [u8; 32], proof: [u8; 32]) -> HelloFrame {
        HelloFrame {
            protocol: PROTOCOL_VERSION,
            host: self.host.clone(),
            site: self.site.clone(),
            incarnation: self.incarnation,
            challenge,
            proof,
        }
    }

    fn proof(&self, label: &[u8], challenge: &[u8; 32], prover: &HostName) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(label);
        hasher.update(challenge);
        hasher.update(prover.as_str().as_bytes());
        *hasher.finalize().as_bytes()
    }

    fn check(&self, label: &[u8], challenge: &[u8; 32], hello: &HelloFrame) -> Result<()> {
        let expected = blake3::Hash::from_bytes(self.proof(label, challenge, &hello.host));
        // The comparison of `blake3::Hash` takes constant time.
        if expected != blake3::Hash::from_bytes(hello.proof) {
            bail!("{} does not know the link secret", hello.host);
        }
        Ok(())
    }
}

/// Opens a link to the agent at `address`.
///
/// # Errors
///
/// Fails if the agent can't be reached in time, speaks another protocol or fails to prove that it
/// knows the secret.
pub async fn dial_link(
    address: SocketAddr,
    identity: &LinkIdentity,
) -> Result<(LinkSocket, PeerIdentity)> {
    let dialled = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{address}/link");
        let (mut socket, _) =
            tokio_tungstenite::client_async_with_config(url, stream, Some(socket_config())).await?;
        let first = receive_hello(&mut socket).await?;
        let challenge = random_challenge();
        let proof = identity.proof(ENTRY_LABEL, &first.challenge, &identity.host);
        send_hello(&mut socket, identity.hello(challenge, proof)).await?;
        let second = receive_hello(&mut socket).await?;
        identity.check(AGENT_LABEL, &challenge, &second)?;
        Ok((socket, peer_of(second)))
    };
    within_timeout(dialled).await.with_context(|| format!("no link to {address}"))
}

/// Accepts a link on a connection that an entry opened.
///
/// # Errors
///
/// Fails if the entry is too slow, speaks another protocol or fails to prove that it knows the
/// secret.
pub async fn accept_link(
    stream: TcpStream,
    identity: &LinkIdentity,
) -> Result<(LinkSocket, PeerIdentity)> {
    let accepted = async {
        stream.set_nodelay(true)?;
        let mut socket =
            tokio_tungstenite::accept_async_with_config(stream, Some(socket_config())).await?;
        let challenge = random_challenge();
        send_hello(&mut socket, identity.hello(challenge, [0; 32])).await?;
        let hello = receive_hello(&mut socket).await?;
        identity.check(ENTRY_LABEL, &challenge, &hello)?;
        let proof = identity.proof(AGENT_LABEL, &hello.challenge, &identity.host);
        send_hello(&mut socket, identity.hello(challenge, proof)).await?;
        Ok((socket, peer_of(hello)))
    };
    within_timeout(accepted).await.context("link refused")
}

async fn within_timeout<T>(opening: impl Future<Output = Result<T>>) -> Result<T> {
    match actix_rt::time::timeout(HANDSHAKE_TIMEOUT, opening).await {
        Ok(opened) => opened,
        Err(_) => bail!("timeout"),
    }
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
        .read_buffer_size(16 * 1024)
        .write_buffer_size(16 * 1024)
}

fn random_challenge() -> [u8; 32] {
    rand::rng().random()
}

fn peer_of(hello: HelloFrame) -> PeerIdentity {
    PeerIdentity { host: hello.host, site: hello.site, incarnation: hello.incarnation }
}

async fn send_hello(socket: &mut LinkSocket, hello: HelloFrame) -> Result<()> {
    let bytes = LinkFrame::Hello(hello).encode()?;
    socket.send(Message::binary(bytes)).await?;
    Ok(())
}

async fn receive_hello(socket: &mut LinkSocket) -> Result<HelloFrame> {
    let Some(message) = socket.next().await else {
        bail!("closed during the handshake");
    };
    let LinkFrame::Hello(hello) = LinkFrame::decode(&message?.into_data())? else {
        bail!("the first message is no hello");
    };
    if hello.protocol != PROTOCOL_VERSION {
        bail!("{} speaks protocol {} instead of {PROTOCOL_VERSION}", hello.host, hello.protocol);
    }
    Ok(hello)
}
