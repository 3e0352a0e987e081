//! Attributes crashes of targets to what the requests that they ran had in common.

mod cause;

pub use cause::{CauseId, request_causes};
