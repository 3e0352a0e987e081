//! Numbered result codes: what became of a request, and whether asking again can help.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, FromRepr, IntoStaticStr};

/// What a result code says about the request's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OutcomeClass {
    /// The work ran and this is its answer.
    Done,
    /// The work did not run and never will under this request's id.
    NotRun,
    /// Whether the work ran cannot be told.
    Unknown,
    /// Asking again gives the same answer.
    Final,
}

/// The result of a request; the number is stable and given to the caller in `x-result-code`.
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
    displaydoc::Display,
    EnumIter,
    EnumString,
    FromRepr,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
#[repr(u16)]
pub enum ResultCode {
    /// answered whole
    Ok = 0,
    /// the request is malformed or too large
    BadRequest = 100,
    /// the organisation's key is missing or unknown
    UnknownKey = 101,
    /// no route leads to this path
    NoRoute = 102,
    /// the request crashed the targets that ran it and is refused for a while
    Poisonous = 103,
    /// this idempotency key was used already and its answer is no longer held
    AlreadyClaimed = 104,
    /// no target serves the wanted version yet
    NotServing = 200,
    /// the queue is full or the deadline cannot be met
    Overloaded = 201,
    /// the organisation is over its limit
    OverLimit = 202,
    /// the platform's key-value service is needed and does not answer
    PlatformDown = 203,
    /// the process is leaving
    Leaving = 204,
    /// the attempt never reached a target
    NeverSeen = 205,
    /// the deadline passed before the work was dispatched
    DeadlineBefore = 206,
    /// the target serves another version than the one asked for; the work was not dispatched
    WrongVersion = 207,
    /// the work was not dispatched, and its idempotency key is being released
    KeyReleased = 208,
    /// the link to the target's host was lost and what became of the work is not known
    LinkLost = 300,
    /// the target failed while it ran the work
    TargetFailed = 301,
    /// the deadline passed while the work ran
    DeadlineDuring = 302,
    /// the answer was cut short after a part had been passed on
    CutShort = 303,
    /// the caller went away
    Cancelled = 304,
    /// the answer came from another version than the one asked for; nothing of it was passed on
    AnswerDiscarded = 305,
}

impl ResultCode {
    /// The number of the code.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// What the code says about the request's work.
    pub const fn class(self) -> OutcomeClass {
        match self.number() {
            0 => OutcomeClass::Done,
            100..200 => OutcomeClass::Final,
            200..300 => OutcomeClass::NotRun,
            _ => OutcomeClass::Unknown,
        }
    }

    /// The HTTP status that goes with the code.
    pub const fn http_status(self) -> u16 {
        match self {
            ResultCode::Ok => 200,
            ResultCode::BadRequest => 400,
            ResultCode::UnknownKey => 401,
            ResultCode::NoRoute => 404,
            ResultCode::Poisonous => 422,
            ResultCode::AlreadyClaimed => 409,
            ResultCode::OverLimit => 429,
            ResultCode::NotServing
            | ResultCode::Overloaded
            | ResultCode::PlatformDown
            | ResultCode::Leaving
            | ResultCode::NeverSeen
            | ResultCode::DeadlineBefore
            | ResultCode::WrongVersion
            | ResultCode::KeyReleased => 503,
            ResultCode::DeadlineDuring => 504,
            ResultCode::LinkLost
            | ResultCode::TargetFailed
            | ResultCode::CutShort
            | ResultCode::Cancelled
            | ResultCode::AnswerDiscarded => 502,
        }
    }

    /// Seconds after which asking again may help; none where it does not.
    pub const fn retry_after_seconds(self) -> Option<u32> {
        match self {
            ResultCode::Overloaded | ResultCode::OverLimit | ResultCode::Leaving => Some(1),
            ResultCode::NeverSeen
            | ResultCode::DeadlineBefore
            | ResultCode::WrongVersion
            | ResultCode::KeyReleased => Some(1),
            ResultCode::NotServing | ResultCode::PlatformDown => Some(5),
            _ => None,
        }
    }
}
