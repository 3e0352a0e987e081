//! What an entry lets in: limits of organisations, a bound on all requests, and early refusal.

use crate::prelude::*;

/// Most requests in flight at one entry.
pub const MAX_ENTRY_IN_FLIGHT: u32 = 4_096;
/// Unused rate that an organisation may save up.
pub const RATE_BURST: Duration = Duration::from_secs(2);
const MICRO_TOKENS: i64 = 1_000_000;
/// Smallest share of a fleet's rate that one entry grants.
const MIN_TOKENS_PER_SECOND: u32 = 1;

/// The limits of one organisation, from the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OrganisationLimit {
    /// Most requests in flight at one entry; no limit if absent.
    pub max_in_flight: Option<u32>,
    /// Most tokens a second in the whole fleet; no limit if absent.
    pub tokens_per_second: Option<u32>,
}

/// What is known of a request when it comes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The organisation that asks.
    pub organisation: OrganisationName,
    /// Estimated cost in tokens.
    pub cost_tokens: u32,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Estimated time until the answer is complete, waiting included.
    pub time_needed: Duration,
}

#[derive(Debug, Default)]
struct OrganisationUse {
    limit: OrganisationLimit,
    in_flight: u32,
    micro_tokens: i64,
    filled_at: MonoTime,
}

/// Admission at one entry, without coordination per request: of a limit that holds for the whole
/// fleet, each entry grants the share of one live entry.
#[derive(Debug)]
pub struct AdmissionController {
    organisations: SortedTable<OrganisationName, OrganisationUse>,
    live_entries: u32,
    in_flight: u32,
}

impl Default for AdmissionController {
    fn default() -> Self {
        Self { organisations: SortedTable::new(), live_entries: 1, in_flight: 0 }
    }
}

impl AdmissionController {
    /// Admission without limits of organisations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes the number of live entries, this one included; zero counts as one.
    pub fn set_live_entries(&mut self, count: u32) {
        self.live_entries = count.max(1);
    }

    /// Notes the limits of an organisation. What it saved up of its rate starts full.
    pub fn set_limit(
        &mut self,
        now: MonoTime,
        organisation: OrganisationName,
        limit: OrganisationLimit,
    ) {
        let entries = self.live_entries;
        let row = self.organisations.get_or_insert_with(organisation, OrganisationUse::default);
        if row.limit == limit {
            return;
        }
        row.limit = limit;
        row.micro_tokens = row.burst_micro_tokens(entries);
        row.filled_at = now;
    }

    /// Drops the limits of organisations that are not in the configuration any more and have
    /// nothing in flight.
    pub fn retain(&mut self, is_known: impl Fn(&OrganisationName) -> bool) {
        self.organisations.retain(|name, row| is_known(name) || row.in_flight > 0);
    }

    /// Lets a request in, or refuses it at once; [`AdmissionController::release`] must follow for
    /// each one that was let in.
    ///
    /// # Errors
    ///
    /// [`ResultCode::Overloaded`] if the entry is full or the deadline cannot be met;
    /// [`ResultCode::OverLimit`] if the organisation has reached a limit.
    pub fn admit(&mut self, now: MonoTime, request: &AdmissionRequest) -> Result<(), ResultCode> {
        if self.in_flight >= MAX_ENTRY_IN_FLIGHT || request.time_needed > request.time_left {
            return Err(ResultCode::Overloaded);
        }
        let entries = self.live_entries;
        let name = request.organisation.clone();
        let row = self.organisations.get_or_insert_with(name, OrganisationUse::default);
        if row.limit.max_in_flight.is_some_and(|limit| row.in_flight >= limit) {
            return Err(ResultCode::OverLimit);
        }
        row.take_tokens(now, entries, request.cost_tokens)?;
        row.in_flight += 1;
        self.in_flight += 1;
        Ok(())
    }

    /// Notes that a request that was let in has ended, with the tokens that it was estimated to
    /// cost and the tokens that it used.
    pub fn release(&mut self, organisation: &OrganisationName, estimated: u32, used: u32) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(row) = self.organisations.get_mut(organisation) else { return };
        row.in_flight = row.in_flight.saturating_sub(1);
        row.micro_tokens += (i64::from(estimated) - i64::from(used)) * MICRO_TOKENS;
    }

    /// Requests that were let in and have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

impl OrganisationUse {
    /// Tokens a second that this entry grants.
    fn share(&self, entries: u32) -> Option<i64> {
        let rate = self.limit.tokens_per_second?;
        Some(i64::from((rate / entries).max(MIN_TOKENS_PER_SECOND)))
    }

    fn burst_micro_tokens(&self, entries: u32) -> i64 {
        let micros = i64::try_from(RATE_BURST.as_micros()).unwrap_or(i64::MAX);
        self.share(entries).map_or(0, |share| share.saturating_mul(micros))
    }

    /// Takes tokens from the bucket. A request that costs more than is saved up is let in on credit,
    /// and the next ones wait until that is paid back.
    fn take_tokens(&mut self, now: MonoTime, entries: u32, cost: u32) -> Result<(), ResultCode> {
        let Some(share) = self.share(entries) else { return Ok(()) };
        let micros = i64::try_from(now.since(self.filled_at).as_micros()).unwrap_or(i64::MAX);
        let filled = self.micro_tokens.saturating_add(share.saturating_mul(micros));
        self.micro_tokens = filled.min(self.burst_micro_tokens(entries));
        self.filled_at = now;
        if self.micro_tokens <= 0 {
            return Err(ResultCode::OverLimit);
        }
        self.micro_tokens -= i64::from(cost) * MICRO_TOKENS;
        Ok(())
    }
}
