//! Live requests through real processes under faults: each is answered whole, runs at most once
//! where it must not be repeated, and did not run where the answer says so.

#[path = "requests/asked.rs"]
mod asked;
#[path = "requests/leaving.rs"]
mod leaving;
#[path = "requests/links.rs"]
mod links;
#[path = "requests/once.rs"]
mod once;
#[path = "requests/poison.rs"]
mod poison;
#[path = "requests/proof_fleet.rs"]
mod proof_fleet;
#[path = "requests/refusals.rs"]
mod refusals;
#[path = "requests/whole.rs"]
mod whole;
