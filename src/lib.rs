//! The binary's parts: the entry, the agent, the platform's clients and the links between processes.
//!
//! Decisions are in `buckthornwharf-core`; here are the sockets, timers and threads round them.

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
