//! When each host puts a new version into its target, so that the others serve meanwhile.

use crate::prelude::*;

/// Time between the last order and the end of the old version. The target takes no new request after
/// the order, and those that it took before begin within this time.
const ORDER_MARGIN: Duration = Duration::from_millis(550);

/// Least time for the turns of hosts that wait for others to take theirs.
const LEAST_SPAN: Duration = Duration::from_millis(1500);

/// One host's part in a roll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutTurn {
    /// When this host held the version whole.
    pub held_at: MonoTime,
    /// From when on the versions before the one that its target has loaded must not be used; until
    /// then, hosts whose targets have those take their turns.
    pub before_due_at: Option<MonoTime>,
    /// From when on the version that its target has loaded must not be used.
    pub due_at: MonoTime,
    /// The host's place in the order of the hosts of its service.
    pub turn: usize,
    /// Hosts of its service.
    pub hosts: usize,
}

impl RolloutTurn {
    /// When the host orders its target to load the version. The hosts' turns are spread evenly over
    /// the time that is left once the version is held, after those of hosts that are further behind.
    pub fn start_at(&self) -> MonoTime {
        let latest = self.due_at - ORDER_MARGIN;
        let before = self.before_due_at.map(|before| before - ORDER_MARGIN);
        let earliest = before
            .filter(|before| latest.since(*before) >= LEAST_SPAN)
            .map_or(self.held_at, |before| before.max(self.held_at));
        if latest <= earliest {
            return self.held_at;
        }
        let span = latest.since(earliest);
        earliest + span * self.turn as u32 / self.hosts.max(1) as u32
    }
}

/// Time between two declarations from which on the older version is brought in first. Its pieces are
/// then on their way to all hosts, and it may be used longer than the one before it.
const FINISH_GAP: Duration = Duration::from_secs(1);
/// Time after its declaration at which a version that is still not held makes way for a newer one.
const LONGEST_FETCH: Duration = Duration::from_secs(8);

/// When a newer version takes the place of one that is being fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overtaking {
    /// At once.
    AtOnce,
    /// Not before this time, so that the older one can be brought in.
    At(MonoTime),
}

/// When a version declared at `newer` overtakes one declared at `older`. All hosts hear of both at
/// about the same times, and so decide alike.
pub fn overtakes(older: Option<MonoTime>, newer: Option<MonoTime>) -> Overtaking {
    match (older, newer) {
        (Some(older), Some(newer)) if newer.since(older) >= FINISH_GAP => {
            Overtaking::At(older + LONGEST_FETCH)
        }
        _ => Overtaking::AtOnce,
    }
}
