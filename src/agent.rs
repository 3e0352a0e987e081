//! The agent: the process beside a target.

pub mod answer_check;
pub mod requests;
pub mod target;
pub mod traffic;
pub mod weights;
