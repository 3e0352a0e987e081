//! Links between entries and agents: WebSocket connections that carry [`LinkFrame`]s.
//!
//! The entry opens a link, each side proves that it knows the shared secret, and then both send
//! frames. Either side drops a link on which no frame arrives within the heartbeat timeout.
//!
//! [`LinkFrame`]: buckthornwharf_core::frame::LinkFrame

mod connection;
mod handshake;

pub use connection::{LinkEvent, LinkHandle, run_link};
pub use handshake::{LinkIdentity, LinkSocket, PeerIdentity, accept_link, dial_link};
