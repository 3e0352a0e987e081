//! Links between entries and agents: WebSocket connections that carry [`LinkFrame`]s.
//!
//! The entry opens a link, both sides prove that they know the shared secret, and then frames flow
//! both ways. A link that has been silent for too long is dropped by either side.
//!
//! [`LinkFrame`]: buckthornwharf_core::frame::LinkFrame

mod connection;
mod handshake;

pub use connection::{LinkEvent, LinkHandle, run_link};
pub use handshake::{LinkIdentity, LinkSocket, PeerIdentity, accept_link, dial_link};
