//! Request handling: admission and attempts at an entry; deduplication, idempotency keys and crash
//! suspects at an agent.

pub mod admission;
mod answer;
pub mod attempt;
pub mod budget;
pub mod claim;
mod driver;
pub mod heartbeat;
mod id_table;
pub mod ledger;
pub mod poison;

use std::time::Duration;

pub use driver::RequestDriver;
pub use ledger::RequestLedger;

/// Longest deadline of a request; a longer one given by a caller is reduced to it.
pub const MAX_REQUEST_DEADLINE: Duration = Duration::from_mins(10);

/// Identifies a link within the process that assigned the number; later links have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);
