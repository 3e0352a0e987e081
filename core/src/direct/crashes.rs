//! Attributes crashes of targets to what the requests that they ran had in common.

mod answers;
mod cause;
mod ledger;
mod record;
mod report;
mod request;
mod verdict;

pub use cause::{CauseId, CrashId, request_causes};
pub use ledger::{CauseHistory, CrashLedger, SentCause};
pub use report::{CauseRow, CrashReport, CrashRow};
pub use verdict::GuiltyGroup;
