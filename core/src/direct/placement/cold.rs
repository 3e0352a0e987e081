//! Targets that have just started and are still cold: they bear few requests per second of all entries together.
//!
//! A target is known to be cold from its registration, and assumed to be when it starts, appears, or may have
//! restarted unnoticed, until its registration says otherwise.

use super::cold_share::ColdShares;
use crate::direct::slots::TokenBucket;
use crate::direct::{ColdLimit, RegisteredTarget, ServingConfig};
use crate::prelude::*;
use crate::routing::hash::hash_text;

/// Time for which an unused share is saved up. It is short, since a cold target does not bear bursts.
const BURST_TIME: Duration = Duration::from_millis(200);
/// Longest time for which a registration may say that its target is cold.
const MAX_COLD_TIME: Duration = Duration::from_mins(10);
/// Maximum targets that are remembered, those that are no longer registered included.
const MAX_TARGETS: usize = 4_096;

/// Why a target counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ColdReason {
    /// Its registration says so.
    Registered,
    /// It has started, or appeared.
    Started,
    /// It could not be reached or broke a connection, so it may have restarted.
    Unreached,
    /// The evacuation of its site was withdrawn.
    EvacuationWithdrawn,
}

/// What is known of the state of one target.
#[derive(Debug, Clone)]
struct ColdState {
    service: ServiceName,
    started_unix_ms: u64,
    hash: u64,
    /// What its registration says.
    registered: Option<Duration>,
    seen_at: MonoTime,
    cold: Option<ColdPeriod>,
}

/// A time during which a target is cold.
#[derive(Debug, Clone)]
struct ColdPeriod {
    since: MonoTime,
    end: ColdEnd,
    bucket: TokenBucket,
}

#[derive(Debug, Clone, Copy)]
enum ColdEnd {
    /// As its registration says.
    Registered(MonoTime),
    /// The time that targets of the service need, after this time.
    Assumed(MonoTime),
}

impl ColdPeriod {
    fn end(&self, limit: ColdLimit) -> MonoTime {
        match self.end {
            ColdEnd::Registered(end) => end,
            ColdEnd::Assumed(from) => from + limit.start_time,
        }
    }
}

/// The targets that are cold or were so before, and this entry's share of what they bear.
#[derive(Debug, Clone, Default)]
pub struct ColdTargets {
    limits: SortedTable<ServiceName, ColdLimit>,
    targets: SortedTable<Arc<str>, ColdState>,
    shares: ColdShares,
    /// Targets that have become cold since they were last taken.
    begun: Vec<(Arc<str>, ColdReason)>,
}

impl ColdTargets {
    /// Applies a configuration.
    pub fn set_config(&mut self, config: &ServingConfig) {
        let limit_of = |service: &crate::direct::ServingService| {
            Some((service.name.clone(), service.cold_limit?))
        };
        self.limits = config.services.iter().filter_map(limit_of).collect();
    }

    /// Returns the entries that share what the targets bear.
    pub fn shares_mut(&mut self) -> &mut ColdShares {
        &mut self.shares
    }

    /// Applies the present registrations. Targets of the first list are cold only if they say so.
    pub fn observe<'a>(
        &mut self,
        now: MonoTime,
        records: impl Iterator<Item = &'a RegisteredTarget>,
    ) {
        let is_first = self.targets.is_empty();
        for record in records {
            let known = self.targets.get_mut(&record.id);
            let known = known.filter(|state| state.started_unix_ms == record.started_unix_ms);
            let Some(state) = known else {
                self.insert(now, record, is_first);
                continue;
            };
            state.seen_at = now;
            if state.registered != record.cold_remaining {
                self.set_registered(now, &record.id, record.cold_remaining);
            }
        }
        self.drop_oldest();
    }

    /// Records that a target wrote a registration, also if it says the same as the one before.
    pub fn set_registered(&mut self, now: MonoTime, id: &Arc<str>, remaining: Option<Duration>) {
        let Some(state) = self.targets.get_mut(id) else {
            return;
        };
        state.registered = remaining;
        match remaining {
            None => {}
            Some(Duration::ZERO) => state.cold = None,
            Some(remaining) => {
                let end = ColdEnd::Registered(now + remaining.min(MAX_COLD_TIME));
                self.begin(now, id, end, ColdReason::Registered);
            }
        }
    }

    /// Records that a target could not be reached or broke a connection: it may have restarted.
    pub fn record_unreached(&mut self, now: MonoTime, id: &Arc<str>) {
        self.begin(now, id, ColdEnd::Assumed(now), ColdReason::Unreached);
    }

    /// Records that the evacuation of the site of a target was withdrawn.
    pub fn record_withdrawn(&mut self, now: MonoTime, id: &Arc<str>) {
        let state = self.targets.get(id);
        if state.is_some_and(|state| state.registered != Some(Duration::ZERO)) {
            self.begin(now, id, ColdEnd::Assumed(now), ColdReason::EvacuationWithdrawn);
        }
    }

    /// Takes the targets that have become cold, with the reason, if their service has a limit.
    pub fn take_begun(&mut self) -> Vec<(Arc<str>, ColdReason)> {
        std::mem::take(&mut self.begun)
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self, now: MonoTime, target: &RegisteredTarget) -> bool {
        self.cold_period(now, target).is_some()
    }

    /// Returns when the target may get a request of this entry, or is no longer cold; `None` if it may get one
    /// now.
    pub fn blocked_until(&self, now: MonoTime, target: &RegisteredTarget) -> Option<MonoTime> {
        let (state, period, limit) = self.cold_period(now, target)?;
        let rate = self.shares.rate(now, state.hash, limit.per_second);
        let (next, end) = (period.bucket.next_at(rate), period.end(limit));
        match next {
            Some(next) if next <= now => None,
            next => Some(next.map_or(end, |next| next.min(end))),
        }
    }

    /// Returns how many requests of this entry the target may get until `until`; `None` if it is not cold then.
    pub fn allowed_until(
        &self,
        now: MonoTime,
        until: MonoTime,
        target: &RegisteredTarget,
    ) -> Option<u32> {
        let (state, period, limit) = self.cold_period(now, target)?;
        let rate = self.shares.rate(now, state.hash, limit.per_second);
        let is_cold = until < period.end(limit);
        is_cold.then(|| period.bucket.tokens_at(until, rate, BURST_TIME) as u32)
    }

    /// Counts a request that is sent to the target.
    pub fn count_sent(&mut self, now: MonoTime, target: &RegisteredTarget) {
        let Some((state, _, limit)) = self.cold_period(now, target) else {
            return;
        };
        let rate = self.shares.rate(now, state.hash, limit.per_second);
        if let Some(period) = self.period_mut(&target.id) {
            period.bucket.spend(now, rate, BURST_TIME);
        }
    }

    /// Takes back a request that was counted at `granted_at` but not sent.
    pub fn uncount(&mut self, target: &RegisteredTarget, granted_at: MonoTime) {
        if let Some(period) = self.period_mut(&target.id)
            && period.since <= granted_at
        {
            period.bucket.give_back();
        }
    }

    /// Returns whether the target was cold at `granted_at`, or is not cold. If it has become cold since, a
    /// request that got a slot then is counted, or must not be sent.
    pub fn count_granted(
        &mut self,
        now: MonoTime,
        target: &RegisteredTarget,
        granted_at: MonoTime,
    ) -> bool {
        let period = self.cold_period(now, target);
        if period.is_none_or(|(_, period, _)| period.since <= granted_at) {
            return true;
        }
        let may_send = self.blocked_until(now, target).is_none();
        if may_send {
            self.count_sent(now, target);
        }
        may_send
    }

    fn insert(&mut self, now: MonoTime, record: &RegisteredTarget, is_first: bool) {
        let state = ColdState {
            service: record.service.clone(),
            started_unix_ms: record.started_unix_ms,
            hash: hash_text(&record.id),
            registered: record.cold_remaining,
            seen_at: now,
            cold: None,
        };
        self.targets.insert(record.id.clone(), state);
        match record.cold_remaining {
            Some(_) => self.set_registered(now, &record.id, record.cold_remaining),
            None if is_first => {}
            None => self.begin(now, &record.id, ColdEnd::Assumed(now), ColdReason::Started),
        }
    }

    /// Begins a cold time, or changes the end of the present one.
    fn begin(&mut self, now: MonoTime, id: &Arc<str>, end: ColdEnd, reason: ColdReason) {
        let Some(state) = self.targets.get_mut(id) else {
            return;
        };
        let limit = self.limits.get(&state.service);
        let is_present = |period: &ColdPeriod| limit.is_some_and(|limit| now < period.end(*limit));
        let (since, bucket) = match state.cold.take().filter(is_present) {
            Some(present) => (present.since, present.bucket),
            None => {
                if limit.is_some() {
                    self.begun.push((id.clone(), reason));
                }
                (now, TokenBucket::new(now))
            }
        };
        state.cold = Some(ColdPeriod { since, end, bucket });
    }

    /// Returns the state, the present cold time and the limit of a target; `None` if it is not cold or has no
    /// limit.
    fn cold_period(
        &self,
        now: MonoTime,
        target: &RegisteredTarget,
    ) -> Option<(&ColdState, &ColdPeriod, ColdLimit)> {
        let limit = *self.limits.get(&target.service)?;
        let state = self.targets.get(&target.id)?;
        let period = state.cold.as_ref().filter(|period| now < period.end(limit))?;
        Some((state, period, limit))
    }

    fn period_mut(&mut self, id: &str) -> Option<&mut ColdPeriod> {
        self.targets.get_mut(id)?.cold.as_mut()
    }

    fn drop_oldest(&mut self) {
        if self.targets.len() <= MAX_TARGETS {
            return;
        }
        let mut seen: Vec<MonoTime> = self.targets.values().map(|state| state.seen_at).collect();
        seen.sort_unstable();
        let oldest = seen[seen.len() - MAX_TARGETS];
        self.targets.retain(|_, state| state.seen_at >= oldest);
    }
}
