//! Link handshake: each side proves that it knows the shared secret by a keyed hash of the other's
//! random challenge.

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

/// Time within which the handshake must be complete.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Label of the entry's proof. The labels differ so that a proof cannot be reflected to its sender.
const ENTRY_LABEL: &[u8] = b"entry";
/// Label of the agent's proof.
const AGENT_LABEL: &[u8] = b"agent";

/// The WebSocket of a link.
pub type LinkSocket = WebSocketStream<TcpStream>;

/// Identity and key of a process for the links that it opens or accepts.
#[derive(Debug, Clone)]
pub struct LinkIdentity {
    /// The process's host.
    pub host: HostName,
    /// The process's site.
    pub site: SiteName,
    /// The incarnation of the process.
    pub incarnation: HostIncarnation,
    /// Key derived from the shared secret.
    pub key: [u8; 32],
}

/// Identity of the other side of a link, authenticated by its proof.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// The peer's host.
    pub host: HostName,
    /// The peer's site.
    pub site: SiteName,
    /// The incarnation of the peer's process.
    pub incarnation: HostIncarnation,
}

impl LinkIdentity {
    /// The identity of a process with these settings, with a new random incarnation.
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

    fn verify_proof(&self, label: &[u8], challenge: &[u8; 32], hello: &HelloFrame) -> Result<()> {
        let expected = blake3::Hash::from_bytes(self.proof(label, challenge, &hello.host));
        // `blake3::Hash` is compared in constant time.
        if expected != blake3::Hash::from_bytes(hello.proof) {
            bail!("{} failed to prove that it has the link secret", hello.host);
        }
        Ok(())
    }
}

/// Opens a link to the agent at `address`.
///
/// # Errors
///
/// Fails if the agent cannot be reached, has another protocol version or gives a wrong proof, or if
/// the handshake times out.
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
        let challenge_hello = receive_hello(&mut socket).await?;
        let challenge = random_challenge();
        let proof = identity.proof(ENTRY_LABEL, &challenge_hello.challenge, &identity.host);
        send_hello(&mut socket, identity.hello(challenge, proof)).await?;
        let proof_hello = receive_hello(&mut socket).await?;
        identity.verify_proof(AGENT_LABEL, &challenge, &proof_hello)?;
        Ok((socket, peer_of(proof_hello)))
    };
    within_timeout(dialled).await.with_context(|| format!("cannot open a link to {address}"))
}

/// Accepts a link on a connection that an entry opened.
///
/// # Errors
///
/// Fails if the entry has another protocol version or gives a wrong proof, or if the handshake times
/// out.
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
        identity.verify_proof(ENTRY_LABEL, &challenge, &hello)?;
        let proof = identity.proof(AGENT_LABEL, &hello.challenge, &identity.host);
        send_hello(&mut socket, identity.hello(challenge, proof)).await?;
        Ok((socket, peer_of(hello)))
    };
    within_timeout(accepted).await.context("link handshake failed")
}

async fn within_timeout<T>(handshake: impl Future<Output = Result<T>>) -> Result<T> {
    match actix_rt::time::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(outcome) => outcome,
        Err(_) => bail!("timeout after {HANDSHAKE_TIMEOUT:?}"),
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
        bail!("connection closed during the handshake");
    };
    let LinkFrame::Hello(hello) = LinkFrame::decode(&message?.into_data())? else {
        bail!("expected a hello frame");
    };
    if hello.protocol != PROTOCOL_VERSION {
        bail!(
            "{} has protocol version {}, expected {PROTOCOL_VERSION}",
            hello.host,
            hello.protocol
        );
    }
    Ok(hello)
}
