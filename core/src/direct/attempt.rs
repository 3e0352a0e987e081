//! Decides whether a request is retried after a failed attempt at a target.

use crate::prelude::*;

/// Whether the requests of a route may run more than once, and whether they are streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum WorkKind {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    Once,
    /// An event stream that may run at most once.
    Stream,
    /// An event stream that may be resumed at another target after its last event.
    ResumableStream,
}

impl WorkKind {
    /// Returns whether a request may safely run more than once.
    pub fn may_repeat(self) -> bool {
        matches!(self, WorkKind::Idempotent | WorkKind::ResumableStream)
    }

    /// Returns whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, WorkKind::Stream | WorkKind::ResumableStream)
    }
}

/// Why an attempt produced no response that can be passed on to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptFailure {
    /// The connection could not be established; nothing was sent.
    Unreached,
    /// The target's response proves that it did not run the request.
    NotRun,
    /// Another target now listens on the address; it did not run the request.
    Stranger,
    /// The connection failed after the request was sent.
    Broken,
    /// The data received is not a valid response to the request.
    Garbled,
    /// The target ran the request and failed.
    ServerError,
    /// The target had not begun to respond when its loaded version was retired.
    Outdated,
    /// The target sent nothing for a while, and its host has stopped reporting its load.
    Silent,
}

impl AttemptFailure {
    /// Returns whether the target certainly did not run the request and never will.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            AttemptFailure::Unreached | AttemptFailure::NotRun | AttemptFailure::Stranger
        )
    }
}

/// What the entry's own error response states about a request that it gives up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum FinalAnswer {
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// How a request proceeds after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another target may be tried.
    Retry,
    /// The request ends with the entry's own response.
    Answer(FinalAnswer),
}

/// Decides how a request proceeds after an attempt that ended in `failure`.
///
/// `may_have_run` is true if an earlier attempt may have run the request. `attempts` includes this
/// attempt. `try_spend_retry` spends a retry of the budget and returns whether there was one; it is
/// called only if a retry is allowed otherwise.
pub fn next_step(
    kind: WorkKind,
    failure: AttemptFailure,
    may_have_run: bool,
    attempts: u32,
    max_attempts: u32,
    try_spend_retry: impl FnOnce() -> bool,
) -> NextStep {
    let may_have_run = may_have_run || !failure.proves_not_run();
    let may_retry = !may_have_run || kind.may_repeat();
    if may_retry && attempts < max_attempts && try_spend_retry() {
        return NextStep::Retry;
    }
    // A 503 response means "not run" for idempotent requests too.
    NextStep::Answer(if may_have_run { FinalAnswer::Unknown } else { FinalAnswer::NotRun })
}

/// Returns the time from `now` to `deadline`, or `None` if the deadline has passed.
pub fn time_left(now: MonoTime, deadline: MonoTime) -> Option<Duration> {
    (now < deadline).then(|| deadline.since(now))
}
