//! Exit codes of the command line.

use std::process::ExitCode;
use strum::{EnumIter, FromRepr, IntoStaticStr};

/// Why a command ended; the number is the exit code. As the context of an error it sets the code
/// that the error ends with.
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
    /// The exit code for `error`: the status in its context, or [`ExitStatus::Failed`].
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
