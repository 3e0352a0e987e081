//! The platform's interfaces, a thin module for each; docs/platform.md gives their shapes.

pub mod engine;
pub mod hosts;
pub mod http;
pub mod kv;
pub mod store;
