//! The agent: the process beside a target.

pub mod answer_check;
pub mod target;
pub mod weights;
