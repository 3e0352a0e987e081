//! Service-level burn: how fast each service and organisation uses up what its objectives allow to
//! fail.
//!
//! Each process that answers callers keeps a [`BurnRecorder`] and gives out [`BurnCounts`]. Counts of
//! several processes merge, and [`evaluate`] judges them by the objectives of the configuration.

mod counts;
mod ledger;
mod report;
mod ring;

pub use counts::{BurnCause, BurnCounts, ObjectiveCounts, SeriesCounts, WindowCount};
pub use ledger::{BurnRecorder, BurnSample};
pub use report::{BurnReport, BurnRow, WindowBurn, evaluate};

use crate::config::ObjectiveConfig;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// Share of first tokens, of gaps between tokens and of versions that have to keep their time.
const TIMELY_SHARE: f64 = 0.95;

/// What an objective is about.
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
    /// Requests are answered whole.
    Availability,
    /// The first token comes in time.
    FirstToken,
    /// Tokens follow each other in time.
    BetweenTokens,
    /// A version is live in time.
    TimeToLive,
}

impl ObjectiveKind {
    /// The share of events that has to be good; none if `config` sets no such objective.
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

/// A sliding window that burn is measured over.
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
