//! Simulates requests with the real state machines of entries and agents, fake links, and fake targets
//! that count runs.

#[path = "request/differential.rs"]
mod differential;
#[path = "request/faults.rs"]
mod faults;
#[path = "request/hosts.rs"]
mod hosts;
#[path = "request/inject.rs"]
mod inject;
#[path = "request/invariants.rs"]
mod invariants;
#[path = "request/keyed.rs"]
mod keyed;
#[path = "request/links.rs"]
mod links;
#[path = "request/naive.rs"]
mod naive;
#[path = "request/simulation.rs"]
mod simulation;
#[path = "request/suspects.rs"]
mod suspects;
#[path = "request/workload.rs"]
mod workload;
