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

/// Maximum size of an answer that is no stream, in bytes. Agents send no longer ones, and entries buffer no
/// more.
pub const MAX_WHOLE_ANSWER_BYTES: usize = 8 * 1024 * 1024;
