//! Chooses which of the declared versions a host fetches and loads, and in which order they are read from
//! the origin.
//!
//! The load that it responds to is the origin's link: it carries about one copy in the time between two
//! declarations, so versions that share it are both incomplete if the origin fails. What is decided from
//! the declarations alone is decided alike by all hosts. The rest depends on the chunks that a host has
//! heard of; one that has heard of less waits longer with the newer version, and takes nothing from others.

use super::DeclaredVersion;
use crate::prelude::*;

/// Time between a declaration and the first chunk from the origin: the news, the list of hosts and the
/// manifest.
const START_TIME: Duration = Duration::from_millis(300);
/// Time for the hosts to load a version one after the other, so that most targets serve meanwhile.
const ROLLOUT_TIME: Duration = Duration::from_millis(2500);
/// A version is not loaded if it is retired within this time: a load takes about half of it.
const MIN_USE_TIME: Duration = Duration::from_secs(1);

/// Times that one copy of a version takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyTimes {
    /// Time for a copy to leave the origin.
    pub origin: Duration,
    /// Time for a copy over a host's link.
    pub link: Duration,
}

/// Returns those of `declared`, oldest first, that are worth loading: none that can be skipped, none that
/// would be retired as soon as it is loaded, and none before one that the host already holds. `time_left`
/// returns how long it takes until the host holds a version.
pub fn versions_to_load(
    now: MonoTime,
    declared: &[DeclaredVersion],
    times: CopyTimes,
    time_left: impl Fn(u64) -> Duration,
) -> Vec<DeclaredVersion> {
    let mut kept: Vec<DeclaredVersion> = Vec::new();
    for older in declared.iter().rev() {
        let is_needed = kept.last().is_none_or(|newer| {
            let fetch_time = time_left(older.version);
            !is_skipped(older, newer, times)
                && time_left(newer.version) > Duration::ZERO
                && now + fetch_time + min_use_time(fetch_time) < newer.required_from
        });
        if is_needed {
            kept.push(*older);
        }
    }
    kept.reverse();
    kept
}

/// Returns the shortest time until its retirement for which a version is worth loading. One that this host does
/// not hold yet is missing at others, too, and all of them have to load it.
fn min_use_time(fetch_time: Duration) -> Duration {
    match fetch_time.is_zero() {
        true => MIN_USE_TIME,
        false => MIN_USE_TIME + ROLLOUT_TIME,
    }
}

/// Returns whether `older` is not fetched because `newer` was declared before half of `older` could be
/// read from the origin, and can be in use before the targets need either. From half on, `older` is
/// finished: the origin may fail before `newer` is complete.
fn is_skipped(older: &DeclaredVersion, newer: &DeclaredVersion, times: CopyTimes) -> bool {
    let read_time = newer.declared_at.since(older.declared_at);
    let rolled_out = newer.declared_at + START_TIME + times.origin + times.link + ROLLOUT_TIME;
    read_time < START_TIME + times.origin / 2 && rolled_out <= older.required_from
}
