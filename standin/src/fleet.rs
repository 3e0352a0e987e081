//! Test harness that runs the product and the stand-ins as separate processes on loopback.

mod client;
mod node;
mod platform;
mod process;
mod sample;
mod sample_fleet;
mod solo;
mod system;
mod wait;

pub use client::{FleetClient, HttpReply, StreamedCompletion};
pub use node::{AgentNode, AgentPlan, EntryNode, PlatformAddresses};
pub use platform::{RelayProcess, StandinProcess, StandinProgram};
pub use process::{FleetProcess, ReadyAddresses};
pub use sample::{
    CHAT_PATH, ENGINE_SERVICE, ORGANISATION_KEY, PLAIN_PATH, PLAIN_SERVICE, SAMPLE_SITES,
    sample_config,
};
pub use sample_fleet::SampleFleet;
pub use solo::SoloStandin;
pub use system::{CommandOutput, ConfigFile, FleetSystem};
pub use wait::{POLL_INTERVAL, wait_until};
