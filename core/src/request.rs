//! Request handling: admission and attempts at an entry; deduplication, idempotency keys and crash
//! suspects at an agent.

mod answer;
pub mod attempt;
pub mod budget;
pub mod claim;
mod driver;
mod id_book;
pub mod ledger;
pub mod limit;
pub mod poison;
pub mod silence;

use std::time::Duration;

pub use driver::RequestDriver;
pub use ledger::RequestLedger;

/// Longest deadline of a request; a longer one given by a caller is reduced to it.
pub const MAX_REQUEST_DEADLINE: Duration = Duration::from_mins(10);

/// Identifies a link within the process that assigned the number; later links have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);
