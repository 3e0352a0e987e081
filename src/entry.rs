//! The entry: takes callers' requests and passes them to agents.

pub mod caller;
