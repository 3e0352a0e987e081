//! Stand-ins for the platform and the targets, and a harness that runs fleets of processes.
//!
//! The stand-ins follow `docs/platform.md` and inject faults through switches. They are for tests,
//! benches and the demo, and are not shipped.

pub mod call;
pub mod engine;
pub mod fleet;
pub mod hosts;
pub mod kv;
pub mod outage;
pub mod plain;
pub mod relay;
pub mod runs;
pub mod server;
pub mod store;
pub mod switches;
