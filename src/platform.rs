//! Clients of the platform's interfaces, one module each; docs/platform.md describes the protocols.

pub mod engine;
pub mod hosts;
pub mod http;
pub mod kv;
pub mod store;
