//! Requests through real processes under faults: each gets a complete answer, a non-idempotent one
//! runs at most once, and a request refused as `not_run` never runs.

#[path = "requests/caller.rs"]
mod caller;
#[path = "requests/complete.rs"]
mod complete;
#[path = "requests/links.rs"]
mod links;
#[path = "requests/once.rs"]
mod once;
#[path = "requests/poison.rs"]
mod poison;
#[path = "requests/refusals.rs"]
mod refusals;
#[path = "requests/relayed_fleet.rs"]
mod relayed_fleet;
#[path = "requests/shutdown.rs"]
mod shutdown;
