//! What follows from the end of an attempt at a target.

use crate::prelude::*;

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum WorkKind {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    Once,
    /// A stream of events that may run once at most.
    Stream,
    /// A stream of events that may go on at another target after the last event.
    ResumableStream,
}

impl WorkKind {
    /// Whether a second run does no harm.
    pub fn may_repeat(self) -> bool {
        matches!(self, WorkKind::Idempotent | WorkKind::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, WorkKind::Stream | WorkKind::ResumableStream)
    }
}

/// How an attempt ended without an answer that can be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptEnd {
    /// No connection: nothing was sent.
    Unreached,
    /// The target proved that it did not run the request.
    NotRun,
    /// Another target answers at the address; it did not run the request.
    Stranger,
    /// The connection failed after the request was sent.
    Broken,
    /// What came is not an answer to the request.
    Garbled,
    /// The target ran the request and failed.
    ServerError,
    /// The target had not begun when the version that it has loaded ended.
    Outdated,
}

impl AttemptEnd {
    /// Whether it is certain that the target did not run the request and never will.
    pub fn proves_not_run(self) -> bool {
        matches!(self, AttemptEnd::Unreached | AttemptEnd::NotRun | AttemptEnd::Stranger)
    }
}

/// The answer of the entry's own that ends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum FinalAnswer {
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// What comes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another target may be tried.
    Retry,
    /// The request ends.
    Answer(FinalAnswer),
}

/// What follows after an attempt ended with `end`. `may_have_run` tells of any earlier attempt,
/// `attempts` counts this one too, and `budget_left` whether the budget allows a further one.
pub fn next_step(
    kind: WorkKind,
    end: AttemptEnd,
    may_have_run: bool,
    attempts: u32,
    max_attempts: u32,
    budget_left: impl FnOnce() -> bool,
) -> NextStep {
    let unknown = may_have_run || !end.proves_not_run();
    let allowed = !unknown || kind.may_repeat();
    if allowed && attempts < max_attempts && budget_left() {
        return NextStep::Retry;
    }
    // A 503 stands for "not run" also for work that may be repeated.
    NextStep::Answer(if unknown { FinalAnswer::Unknown } else { FinalAnswer::NotRun })
}

/// Time that is left of `deadline` at `now`; none if it has passed.
pub fn time_left(now: MonoTime, deadline: MonoTime) -> Option<Duration> {
    (now < deadline).then(|| deadline.since(now))
}
