//! The process beside a target.

pub mod weights;
