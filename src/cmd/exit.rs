//! Exit codes of the command line.

use std::process::ExitCode;
use strum::{EnumIter, FromRepr, IntoStaticStr};

/// Outcome of a command; the discriminant is the exit code. An error gets its exit code by having
/// the status as its context.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, EnumIter, FromRepr, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum ExitStatus {
    /// done
    Done = 0,
    /// failed
    Failed = 1,
    /// the settings are wrong
    BadSettings = 2,
    /// the configuration is wrong
    BadConfig = 3,
    /// not accepted: another configuration came first
    LostRace = 4,
    /// not accepted: the key-value service can't be used now
    PlatformDown = 5,
    /// the key-value service gave no answer and whether the configuration was accepted is unknown
    OutcomeUnknown = 6,
    /// not accepted: the configuration is too large
    TooLarge = 7,
    /// some processes could not be read
    Incomplete = 8,
    /// an objective's budget burns so fast that someone must be paged
    PageDue = 9,
}

impl ExitStatus {
    /// Returns the status in the context of `error`, or [`ExitStatus::Failed`] if it has none.
    pub fn of(error: &anyhow::Error) -> Self {
        error.downcast_ref::<ExitStatus>().copied().unwrap_or(ExitStatus::Failed)
    }
}

impl std::error::Error for ExitStatus {}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}
