//! Clients of the platform's interfaces, one thin module for each.

pub mod engine;
pub mod store;
