//! A live request: attempts, claims, recent answers, limits and poison.

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

/// Longest time that a caller may give a request; longer deadlines are cut to it.
pub const MAX_REQUEST_DEADLINE: Duration = Duration::from_mins(10);

/// Number of a link between two processes, given by one of them: unique in that process, and higher
/// for a link that was opened later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);
