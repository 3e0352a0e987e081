//! Library behind the `buckthornwharf` binary: the entry, the agent, the clients for the platform and
//! the links between processes.
//!
//! The decision logic is in `buckthornwharf-core`, without I/O. This crate adds sockets, timers and
//! threads.

pub mod admin;
pub mod agent;
pub mod clock;
pub mod cmd;
pub mod direct;
pub mod entry;
pub mod follow;
pub mod http_server;
pub mod link;
pub mod log_output;
pub mod metrics;
pub mod platform;
pub mod process;
pub mod settings;
pub mod shared;
