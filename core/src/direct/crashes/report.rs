//! What one process tells the others about crashes.

use super::{CauseId, CrashId};
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The crashes that a process knows of. Reports can be merged in any order, and repeatedly.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The possible causes, by service and fingerprint.
    pub causes: Vec<CauseRow>,
}

/// A possible cause of crashes at the targets of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CauseRow {
    /// The service.
    pub service: ServiceName,
    /// The cause.
    pub cause: CauseId,
    /// Whether targets have begun to answer requests without the cause since the first crash that counts.
    pub contrast: bool,
    /// How often a request with the cause was answered, as far as the process remembers.
    pub answers: u32,
    /// The crashes at which requests with the cause were in flight.
    pub crashes: Vec<CrashRow>,
}

/// A crash at which a request with the cause was in flight.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRow {
    /// The crash.
    pub crash: CrashId,
    /// Position of the crash in the chain of crashes of the cause, from 1.
    pub round: u32,
    /// Time since the crash, when the report was made; in milliseconds.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Whether a later answer has shown that the cause was not to blame.
    pub cleared: bool,
}
