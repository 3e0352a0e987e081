//! Schedules when each host loads a new model version into its target, so that the other hosts keep
//! serving meanwhile.

use crate::prelude::*;

/// Time between the last load order and the retirement of the old version. A target accepts no new
/// requests after the order; those that it accepted before begin within this time.
const ORDER_MARGIN: Duration = Duration::from_millis(550);

/// Shortest time for the turns of hosts that wait until hosts further behind have taken theirs. If
/// less is left, they do not wait.
const MIN_ROLLOUT_TIME: Duration = Duration::from_millis(1500);

/// One host's turn in the rollout of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutTurn {
    /// When this host had the complete version.
    pub held_at: MonoTime,
    /// When versions older than the one loaded in its target are retired. Until then, hosts whose
    /// targets still have those versions take their turns.
    pub previous_retire_at: Option<MonoTime>,
    /// When the version loaded in its target is retired: from then on it must not be used.
    pub retire_at: MonoTime,
    /// Position of the host among the hosts that take turns, starting at 0.
    pub turn: usize,
    /// Number of hosts that take turns.
    pub hosts: usize,
}

impl RolloutTurn {
    /// Returns when the host orders its target to load the version. The turns are spread evenly
    /// from when the host has the complete version until the loaded one is retired, after the turns
    /// of hosts that are further behind. A host that is too late for that starts at once.
    pub fn start_at(&self) -> MonoTime {
        let latest = self.retire_at - ORDER_MARGIN;
        let previous_latest = self.previous_retire_at.map(|retire_at| retire_at - ORDER_MARGIN);
        let earliest = previous_latest
            .filter(|previous| latest.since(*previous) >= MIN_ROLLOUT_TIME)
            .map_or(self.held_at, |previous| previous.max(self.held_at));
        if latest <= earliest {
            return self.held_at;
        }
        let rollout_time = latest.since(earliest);
        earliest + rollout_time * self.turn as u32 / self.hosts.max(1) as u32
    }
}
