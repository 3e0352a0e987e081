//! Burn rates: how fast each service and organisation uses up the error budget of its service-level
//! objectives.
//!
//! Each process that answers callers keeps a [`BurnRecorder`] and exports [`BurnCounts`]. The counts
//! of several processes are merged, and [`evaluate`] compares them with the configured objectives.

mod counts;
mod recorder;
mod report;
mod ring;

pub use counts::{BurnCause, BurnCounts, ObjectiveCounts, SeriesCounts, WindowCount};
pub use recorder::{BurnRecorder, BurnSample};
pub use report::{BurnReport, BurnRow, WindowBurn, evaluate};

use crate::config::ObjectiveConfig;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// Share of first tokens, of gaps between tokens and of version changes that must be within the
/// configured time limit.
const TIMELY_SHARE: f64 = 0.95;

/// The quantity that an objective limits.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ObjectiveKind {
    /// Requests are answered completely.
    Availability,
    /// The time to first token is within its limit.
    FirstToken,
    /// The gaps between tokens are within their limit.
    BetweenTokens,
    /// The time until a host serves a new version is within its limit.
    TimeToLive,
}

impl ObjectiveKind {
    /// Share of events that must be good, between 0 and 1; `None` if `config` sets no objective of
    /// this kind.
    pub fn wanted_share(self, config: &ObjectiveConfig) -> Option<f64> {
        let limit = match self {
            ObjectiveKind::Availability => return Some(config.availability),
            ObjectiveKind::FirstToken => config.first_token_ms,
            ObjectiveKind::BetweenTokens => config.between_tokens_ms,
            ObjectiveKind::TimeToLive => config.time_to_live_seconds,
        };
        limit.map(|_| TIMELY_SHARE)
    }
}

/// A sliding window over which the burn rate is measured.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
)]
pub enum BurnWindow {
    /// Five minutes.
    #[serde(rename = "5m")]
    #[strum(serialize = "5m")]
    FiveMinutes,
    /// Half an hour.
    #[serde(rename = "30m")]
    #[strum(serialize = "30m")]
    HalfHour,
    /// One hour.
    #[serde(rename = "1h")]
    #[strum(serialize = "1h")]
    Hour,
    /// Six hours.
    #[serde(rename = "6h")]
    #[strum(serialize = "6h")]
    SixHours,
}

impl BurnWindow {
    /// Length of the window.
    pub const fn span(self) -> Duration {
        Duration::from_secs(match self {
            BurnWindow::FiveMinutes => 5 * 60,
            BurnWindow::HalfHour => 30 * 60,
            BurnWindow::Hour => 60 * 60,
            BurnWindow::SixHours => 6 * 60 * 60,
        })
    }
}
