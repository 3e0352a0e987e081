//! Numbered result codes of requests, with their HTTP status and retry hint.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, FromRepr, IntoStaticStr};

/// Whether the request was executed, by its result code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OutcomeClass {
    /// The request was executed and this is its answer.
    Done,
    /// The request was not executed and never will be under its id.
    NotRun,
    /// The request may have been executed or not.
    Unknown,
    /// A retry gives the same result.
    Final,
}

/// Result of a request. The number is stable; the caller gets it in `x-result-code`.
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
    /// the answer is complete
    Ok = 0,
    /// the request is malformed or too large
    BadRequest = 100,
    /// the organisation's API key is missing or unknown
    UnknownKey = 101,
    /// no route matches this path
    NoRoute = 102,
    /// the request crashed the targets that ran it and is refused for a while
    Poisonous = 103,
    /// this idempotency key was already used and its answer is no longer stored
    AlreadyClaimed = 104,
    /// no target serves the requested version yet
    NotServing = 200,
    /// the queue is full or the deadline cannot be met
    Overloaded = 201,
    /// the organisation has reached one of its limits
    OverLimit = 202,
    /// the platform's key-value service is required but not available
    PlatformDown = 203,
    /// the process is shutting down
    Leaving = 204,
    /// the attempt never reached a target
    NeverSeen = 205,
    /// the deadline passed before the request was dispatched
    DeadlineBefore = 206,
    /// the target serves another version than the requested one; the request was not dispatched
    WrongVersion = 207,
    /// the request was not dispatched, and its idempotency key is being released
    KeyReleased = 208,
    /// the link to the target's host was lost; the request may have been executed
    LinkLost = 300,
    /// the target failed while it processed the request
    TargetFailed = 301,
    /// the deadline passed while the request was being processed
    DeadlineDuring = 302,
    /// the answer was truncated after a part of it had been sent
    CutShort = 303,
    /// the caller disconnected
    Cancelled = 304,
    /// the answer came from another version than the requested one and was discarded
    AnswerDiscarded = 305,
}

impl ResultCode {
    /// The number of the code.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Whether the request was executed.
    pub const fn class(self) -> OutcomeClass {
        match self.number() {
            0 => OutcomeClass::Done,
            100..200 => OutcomeClass::Final,
            200..300 => OutcomeClass::NotRun,
            _ => OutcomeClass::Unknown,
        }
    }

    /// The HTTP status of the code.
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

    /// Seconds after which a retry may succeed; none if a retry does not help.
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
