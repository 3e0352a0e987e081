//! Merges the platform's lagging list of hosts with what links tell of them.
//!
//! - A host is known if the list names it.
//! - Leaving wins: a host is leaving if the list says so, or if its running process said so.
//! - A process's notice holds for that run of it only: another incarnation is new.
//! - A host that the list drops while its link is alive counts as leaving until the link ends.
//! - A list that loses most of its hosts at once is not believed until it has said so for a while.
//!   Until then the hosts that it lost stay as they were, and after that those whose links are
//!   alive.

use crate::membership::{HostPhase, HostRecord};
use crate::prelude::*;

/// Time for which a list that lost most hosts must say so before it is believed.
pub const SHRINK_HOLD_DOWN: Duration = Duration::from_secs(30);
/// Time after which a notice of leaving is forgotten if no link is alive and the list still says
/// otherwise, since another run may have taken the place unseen.
pub const LEAVE_NOTICE_RETENTION: Duration = Duration::from_secs(30);
/// Time after its last sign of life for which a link counts as alive.
pub const LINK_LIVENESS_TIMEOUT: Duration = Duration::from_secs(5);

const MIN_POLL_PERIOD: Duration = Duration::from_secs(1);
/// Longest time between two reads of the list, so that a mark of leaving is seen within seconds.
const MAX_POLL_PERIOD: Duration = Duration::from_secs(3);
const ROW_BYTES: f64 = 140.0;
const POLL_BYTES_PER_SECOND: f64 = 3_500.0;

const MOST_NUMERATOR: usize = 1;
const MOST_DENOMINATOR: usize = 2;

/// What the merge is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The platform's list, in any order.
    List(Vec<HostRecord>),
    /// A link showed that this run of the host's process is alive.
    Alive {
        /// The host.
        host: HostName,
        /// The run of its process.
        incarnation: HostIncarnation,
    },
    /// This run of the host's process said that it is leaving.
    Leaving {
        /// The host.
        host: HostName,
        /// The run of its process.
        incarnation: HostIncarnation,
    },
    /// Time has passed.
    Tick,
}

/// The merged view of the fleet.
#[derive(Debug, Clone, Default)]
pub struct MembershipMerge {
    listed: SortedTable<HostName, HostRecord>,
    parting: SortedTable<HostName, HostRecord>,
    held: SortedTable<HostName, HostRecord>,
    held_since: Option<MonoTime>,
    signs: SortedTable<HostName, LinkSign>,
    records: Arc<Vec<HostRecord>>,
}

/// The time between two reads of a list of `rows` hosts: longer for a long list, which costs more to
/// read, as far as a mark of leaving must be seen.
pub fn poll_interval(rows: usize) -> Duration {
    let seconds = rows as f64 * ROW_BYTES / POLL_BYTES_PER_SECOND;
    Duration::from_secs_f64(seconds).clamp(MIN_POLL_PERIOD, MAX_POLL_PERIOD)
}

/// What links told of a host.
#[derive(Debug, Clone, Copy)]
struct LinkSign {
    incarnation: HostIncarnation,
    seen_at: MonoTime,
    leaving: bool,
}

impl MembershipMerge {
    /// The hosts that are believed in, sorted by name.
    pub fn records(&self) -> &Arc<Vec<HostRecord>> {
        &self.records
    }

    /// Takes an event; `true` if the records changed.
    pub fn on_event(&mut self, now: MonoTime, event: MembershipEvent) -> bool {
        match event {
            MembershipEvent::List(records) => self.on_list(now, records),
            MembershipEvent::Alive { host, incarnation } => {
                if self.refresh_sign(now, &host, incarnation) {
                    return false;
                }
                self.on_sign(now, host, incarnation, false);
            }
            MembershipEvent::Leaving { host, incarnation } => {
                self.on_sign(now, host, incarnation, true);
            }
            MembershipEvent::Tick => {}
        }
        self.forget_unlinked(now);
        self.forget_old_signs(now);
        self.rebuild()
    }

    fn on_list(&mut self, now: MonoTime, records: Vec<HostRecord>) {
        let rows = records.into_iter().map(|record| (record.name.clone(), record));
        let next: SortedTable<HostName, HostRecord> = rows.collect();
        // Another address is another run of the process: a notice of the run before is over.
        for (name, record) in next.iter() {
            let before = self.listed.get(name);
            if before.is_some_and(|b| b.link != record.link || b.admin != record.admin) {
                self.signs.remove(name);
            }
        }
        let known = self.listed.len() + self.held.len();
        let mut dropped = std::mem::replace(&mut self.listed, next);
        dropped.retain(|name, _| !self.listed.contains_key(name));
        self.held.retain(|name, _| !self.listed.contains_key(name));
        self.parting.retain(|name, _| !self.listed.contains_key(name));
        let missing = dropped.len() + self.held.len();
        if missing * MOST_DENOMINATOR > known * MOST_NUMERATOR {
            self.held_since.get_or_insert(now);
            move_rows(dropped, &mut self.held);
            return;
        }
        self.held_since = None;
        let held = std::mem::take(&mut self.held);
        move_rows(held, &mut dropped);
        for record in dropped.values_mut() {
            record.phase = HostPhase::Leaving;
        }
        move_rows(dropped, &mut self.parting);
    }

    /// Forgets the hosts without a living link that no list speaks for.
    fn forget_unlinked(&mut self, now: MonoTime) {
        let signs = &self.signs;
        let is_linked =
            |name: &HostName| signs.get(name).is_some_and(|sign: &LinkSign| sign.is_alive(now));
        self.parting.retain(|name, _| is_linked(name));
        if self.held_since.is_some_and(|since| now.since(since) >= SHRINK_HOLD_DOWN) {
            self.held.retain(|name, _| is_linked(name));
        }
    }

    /// Notes another sign of a run that is known and stays; `false` if it is not. Signs come often,
    /// and such a one changes no record.
    fn refresh_sign(
        &mut self,
        now: MonoTime,
        host: &HostName,
        incarnation: HostIncarnation,
    ) -> bool {
        let known = self.signs.get_mut(host);
        let Some(sign) = known.filter(|sign| sign.incarnation == incarnation) else {
            return false;
        };
        sign.seen_at = now;
        true
    }

    fn on_sign(
        &mut self,
        now: MonoTime,
        host: HostName,
        incarnation: HostIncarnation,
        leaving: bool,
    ) {
        let sign = LinkSign { incarnation, seen_at: now, leaving };
        let known = self.signs.get_or_insert_with(host, || sign);
        let same_run = known.incarnation == incarnation;
        // Leaving is for good within a run.
        let leaving = leaving || (same_run && known.leaving);
        *known = LinkSign { leaving, ..sign };
    }

    fn forget_old_signs(&mut self, now: MonoTime) {
        let held = &self.held;
        self.signs.retain(|name, sign| {
            now.since(sign.seen_at) < LEAVE_NOTICE_RETENTION || held.contains_key(name)
        });
    }

    fn rebuild(&mut self) -> bool {
        let rows = self.listed.values().chain(self.held.values()).chain(self.parting.values());
        let mut records: Vec<HostRecord> = rows.cloned().collect();
        records.sort_by(|a, b| a.name.cmp(&b.name));
        for record in &mut records {
            if self.signs.get(&record.name).is_some_and(|sign| sign.leaving) {
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

impl LinkSign {
    fn is_alive(&self, now: MonoTime) -> bool {
        now.since(self.seen_at) < LINK_LIVENESS_TIMEOUT
    }
}

fn move_rows(
    rows: SortedTable<HostName, HostRecord>,
    table: &mut SortedTable<HostName, HostRecord>,
) {
    for (name, record) in rows {
        table.insert(name, record);
    }
}
