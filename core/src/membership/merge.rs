//! Merges the platform's list of hosts, which lags, with the state observed on links.
//!
//! - A host is known if it is listed.
//! - Leaving takes precedence: a host is leaving if the list marks it so, or if its process
//!   announced it on a link.
//! - A leave notice is valid for one incarnation of the process only.
//! - A host that is delisted while its link is alive counts as leaving until the link ends.
//! - A list that loses most hosts at once takes effect only after a hold-down period. Until then
//!   the missing hosts are retained unchanged, and after that those whose links are alive.

use crate::membership::{HostPhase, HostRecord};
use crate::prelude::*;

/// Time for which most hosts must be missing from the list before they are dropped.
pub const SHRINK_HOLD_DOWN: Duration = Duration::from_secs(30);
/// Time after the last sign of life for which a leave notice is kept while the list shows the host
/// as live: without a link, a new incarnation may have started unnoticed.
pub const LEAVE_NOTICE_RETENTION: Duration = Duration::from_secs(30);
/// Time after its last sign of life for which a link counts as alive.
pub const LINK_LIVENESS_TIMEOUT: Duration = Duration::from_secs(5);

const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Longest interval, so that a host marked as leaving is noticed within seconds.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(3);
/// Typical size of a row of the list.
const LIST_ROW_BYTES: f64 = 140.0;
/// Read bandwidth of one process for the list.
const POLL_BUDGET_BYTES_PER_SECOND: f64 = 3_500.0;

/// A list is held down if more than this fraction of the known hosts are missing.
const SHRINK_RATIO_NUMERATOR: usize = 1;
const SHRINK_RATIO_DENOMINATOR: usize = 2;

/// Input of the merge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The platform's list, in any order.
    List(Vec<HostRecord>),
    /// A link showed that this incarnation of the host is alive.
    Alive {
        /// The host.
        host: HostName,
        /// The incarnation of its process.
        incarnation: HostIncarnation,
    },
    /// This incarnation of the host announced that it is leaving.
    Leaving {
        /// The host.
        host: HostName,
        /// The incarnation of its process.
        incarnation: HostIncarnation,
    },
    /// Time has passed.
    Tick,
}

/// Merged view of the fleet.
#[derive(Debug, Clone, Default)]
pub struct MembershipMerge {
    listed: SortedTable<HostName, HostRecord>,
    /// Hosts dropped from the list, leaving while their links are alive.
    delisted: SortedTable<HostName, HostRecord>,
    /// Hosts missing from a list that lost most hosts.
    retained: SortedTable<HostName, HostRecord>,
    /// Start of the hold-down period.
    shrunk_since: Option<MonoTime>,
    link_states: SortedTable<HostName, LinkState>,
    records: Arc<Vec<HostRecord>>,
}

/// Interval between two reads of a list of `rows` hosts: longer for a long list, to bound the read
/// bandwidth, but at most 3 s.
pub fn poll_interval(rows: usize) -> Duration {
    let seconds = rows as f64 * LIST_ROW_BYTES / POLL_BUDGET_BYTES_PER_SECOND;
    Duration::from_secs_f64(seconds).clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL)
}

/// State of a host as observed on its link.
#[derive(Debug, Clone, Copy)]
struct LinkState {
    incarnation: HostIncarnation,
    alive_at: MonoTime,
    is_leaving: bool,
}

impl MembershipMerge {
    /// The known hosts, sorted by name.
    pub fn records(&self) -> &Arc<Vec<HostRecord>> {
        &self.records
    }

    /// Applies an event; returns whether the records changed.
    pub fn on_event(&mut self, now: MonoTime, event: MembershipEvent) -> bool {
        match event {
            MembershipEvent::List(records) => self.on_list(now, records),
            MembershipEvent::Alive { host, incarnation } => {
                if self.refresh_link_state(now, &host, incarnation) {
                    return false;
                }
                self.set_link_state(now, host, incarnation, false);
            }
            MembershipEvent::Leaving { host, incarnation } => {
                self.set_link_state(now, host, incarnation, true);
            }
            MembershipEvent::Tick => {}
        }
        self.evict_unlinked(now);
        self.evict_stale_link_states(now);
        self.rebuild()
    }

    fn on_list(&mut self, now: MonoTime, records: Vec<HostRecord>) {
        let rows = records.into_iter().map(|record| (record.name.clone(), record));
        let new_list: SortedTable<HostName, HostRecord> = rows.collect();
        // Another address means another incarnation: the leave notice of the old one is void.
        for (name, record) in new_list.iter() {
            let previous = self.listed.get(name);
            if previous.is_some_and(|previous| {
                previous.link != record.link || previous.admin != record.admin
            }) {
                self.link_states.remove(name);
            }
        }
        let known_count = self.listed.len() + self.retained.len();
        let mut dropped = std::mem::replace(&mut self.listed, new_list);
        dropped.retain(|name, _| !self.listed.contains_key(name));
        self.retained.retain(|name, _| !self.listed.contains_key(name));
        self.delisted.retain(|name, _| !self.listed.contains_key(name));
        let missing_count = dropped.len() + self.retained.len();
        if missing_count * SHRINK_RATIO_DENOMINATOR > known_count * SHRINK_RATIO_NUMERATOR {
            self.shrunk_since.get_or_insert(now);
            move_records(dropped, &mut self.retained);
            return;
        }
        self.shrunk_since = None;
        let retained = std::mem::take(&mut self.retained);
        move_records(retained, &mut dropped);
        for record in dropped.values_mut() {
            record.phase = HostPhase::Leaving;
        }
        move_records(dropped, &mut self.delisted);
    }

    /// Drops delisted hosts without a live link, and after the hold-down period retained ones.
    fn evict_unlinked(&mut self, now: MonoTime) {
        let link_states = &self.link_states;
        let is_linked = |name: &HostName| {
            link_states.get(name).is_some_and(|link_state: &LinkState| link_state.is_alive(now))
        };
        self.delisted.retain(|name, _| is_linked(name));
        if self.shrunk_since.is_some_and(|since| now.since(since) >= SHRINK_HOLD_DOWN) {
            self.retained.retain(|name, _| is_linked(name));
        }
    }

    /// Refreshes the liveness of a known incarnation; returns `false` if it is not known. This is
    /// the frequent case, and changes no record.
    fn refresh_link_state(
        &mut self,
        now: MonoTime,
        host: &HostName,
        incarnation: HostIncarnation,
    ) -> bool {
        let known = self.link_states.get_mut(host);
        let Some(link_state) = known.filter(|link_state| link_state.incarnation == incarnation)
        else {
            return false;
        };
        link_state.alive_at = now;
        true
    }

    fn set_link_state(
        &mut self,
        now: MonoTime,
        host: HostName,
        incarnation: HostIncarnation,
        is_leaving: bool,
    ) {
        let link_state = LinkState { incarnation, alive_at: now, is_leaving };
        let known = self.link_states.get_or_insert_with(host, || link_state);
        let is_same_incarnation = known.incarnation == incarnation;
        // An incarnation that is leaving never becomes live again.
        let is_leaving = is_leaving || (is_same_incarnation && known.is_leaving);
        *known = LinkState { is_leaving, ..link_state };
    }

    fn evict_stale_link_states(&mut self, now: MonoTime) {
        let retained = &self.retained;
        self.link_states.retain(|name, link_state| {
            now.since(link_state.alive_at) < LEAVE_NOTICE_RETENTION || retained.contains_key(name)
        });
    }

    fn rebuild(&mut self) -> bool {
        let rows = self.listed.values().chain(self.retained.values()).chain(self.delisted.values());
        let mut records: Vec<HostRecord> = rows.cloned().collect();
        records.sort_by(|a, b| a.name.cmp(&b.name));
        for record in &mut records {
            if self.link_states.get(&record.name).is_some_and(|link_state| link_state.is_leaving) {
                record.phase = HostPhase::Leaving;
            }
        }
        if *self.records == records {
            return false;
        }
        self.records = Arc::new(records);
        true
    }
}

impl LinkState {
    fn is_alive(&self, now: MonoTime) -> bool {
        now.since(self.alive_at) < LINK_LIVENESS_TIMEOUT
    }
}

fn move_records(
    rows: SortedTable<HostName, HostRecord>,
    table: &mut SortedTable<HostName, HostRecord>,
) {
    for (name, record) in rows {
        table.insert(name, record);
    }
}
