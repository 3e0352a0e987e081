//! The entry: takes callers' requests and passes them to agents.

pub mod caller;
pub mod links;
pub mod observer;
pub mod prompt;
pub mod requests;
pub mod traffic;
