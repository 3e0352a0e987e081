//! A harness that runs the product and the stand-ins as separate processes on loopback.

mod client;
mod platform;
mod process;
mod wait;

pub use client::{FleetClient, HttpReply, StreamReply};
pub use platform::{StandinProcess, StandinProgram};
pub use process::{FleetProcess, ReadyAddresses};
pub use wait::{POLL_PACE, wait_until};
