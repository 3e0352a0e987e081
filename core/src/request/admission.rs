//! Admission control at an entry: limits per organisation, a limit on all requests in flight, and early
//! refusal of requests that would miss their deadline.

use crate::prelude::*;

/// Maximum requests in flight at one entry.
pub const MAX_ENTRY_IN_FLIGHT: u32 = 4_096;
/// Size of an organisation's token bucket, as the time in which its rate fills the bucket.
pub const RATE_BURST: Duration = Duration::from_secs(2);
const MICRO_TOKENS_PER_TOKEN: i64 = 1_000_000;
/// Minimum rate that one entry grants an organisation, however small its share of the fleet's limit.
const MIN_TOKENS_PER_SECOND: u32 = 1;

/// The configured limits of one organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OrganisationLimit {
    /// Maximum requests in flight at one entry; `None` for no limit.
    pub max_in_flight: Option<u32>,
    /// Maximum tokens per second in the whole fleet; `None` for no limit.
    pub tokens_per_second: Option<u32>,
}

/// The properties of an arriving request that decide its admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The caller's organisation.
    pub organisation: OrganisationName,
    /// Estimated cost in tokens.
    pub cost_tokens: u32,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Estimated time until the answer is complete, including time in the queue.
    pub time_needed: Duration,
}

#[derive(Debug, Default)]
struct OrganisationUsage {
    limit: OrganisationLimit,
    in_flight: u32,
    /// Fill level of the token bucket; negative after a request that cost more than it held.
    micro_tokens: i64,
    refilled_at: MonoTime,
}

/// Admission control at one entry, without coordination per request: each entry grants an equal share
/// of a fleet-wide limit, which is divided by the number of live entries.
#[derive(Debug)]
pub struct AdmissionController {
    organisations: SortedTable<OrganisationName, OrganisationUsage>,
    live_entries: u32,
    in_flight: u32,
}

impl Default for AdmissionController {
    fn default() -> Self {
        Self { organisations: SortedTable::new(), live_entries: 1, in_flight: 0 }
    }
}

impl AdmissionController {
    /// A controller without limits per organisation.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of live entries, including this one; zero counts as one.
    pub fn set_live_entries(&mut self, count: u32) {
        self.live_entries = count.max(1);
    }

    /// Sets the limits of an organisation. If they changed, its token bucket starts full.
    pub fn set_limit(
        &mut self,
        now: MonoTime,
        organisation: OrganisationName,
        limit: OrganisationLimit,
    ) {
        let entries = self.live_entries;
        let usage = self.organisations.get_or_insert_with(organisation, OrganisationUsage::default);
        if usage.limit == limit {
            return;
        }
        usage.limit = limit;
        usage.micro_tokens = usage.burst_micro_tokens(entries);
        usage.refilled_at = now;
    }

    /// Drops organisations that are no longer configured and have no requests in flight.
    pub fn retain(&mut self, is_configured: impl Fn(&OrganisationName) -> bool) {
        self.organisations.retain(|name, usage| is_configured(name) || usage.in_flight > 0);
    }

    /// Admits or refuses a request. For each admitted request, [`AdmissionController::release`] must be
    /// called once.
    ///
    /// # Errors
    ///
    /// [`ResultCode::Overloaded`] if the entry has [`MAX_ENTRY_IN_FLIGHT`] requests or the deadline
    /// cannot be met; [`ResultCode::OverLimit`] if the organisation has reached a limit.
    pub fn admit(&mut self, now: MonoTime, request: &AdmissionRequest) -> Result<(), ResultCode> {
        if self.in_flight >= MAX_ENTRY_IN_FLIGHT || request.time_needed > request.time_left {
            return Err(ResultCode::Overloaded);
        }
        let entries = self.live_entries;
        let name = request.organisation.clone();
        let usage = self.organisations.get_or_insert_with(name, OrganisationUsage::default);
        if usage.limit.max_in_flight.is_some_and(|limit| usage.in_flight >= limit) {
            return Err(ResultCode::OverLimit);
        }
        usage.take_tokens(now, entries, request.cost_tokens)?;
        usage.in_flight += 1;
        self.in_flight += 1;
        Ok(())
    }

    /// Records that an admitted request has ended, with its estimated and its actual cost in tokens.
    pub fn release(
        &mut self,
        organisation: &OrganisationName,
        estimated_tokens: u32,
        used_tokens: u32,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(usage) = self.organisations.get_mut(organisation) else { return };
        usage.in_flight = usage.in_flight.saturating_sub(1);
        usage.micro_tokens +=
            (i64::from(estimated_tokens) - i64::from(used_tokens)) * MICRO_TOKENS_PER_TOKEN;
    }

    /// Admitted requests that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

impl OrganisationUsage {
    /// This entry's share of the rate, in tokens per second; `None` for no limit.
    fn rate_share(&self, entries: u32) -> Option<i64> {
        let rate = self.limit.tokens_per_second?;
        Some(i64::from((rate / entries).max(MIN_TOKENS_PER_SECOND)))
    }

    fn burst_micro_tokens(&self, entries: u32) -> i64 {
        let micros = i64::try_from(RATE_BURST.as_micros()).unwrap_or(i64::MAX);
        self.rate_share(entries).map_or(0, |share| share.saturating_mul(micros))
    }

    /// Refills the bucket and takes the cost of a request from it. A request may overdraw a bucket that
    /// is not empty; later ones are refused until it is refilled above zero.
    fn take_tokens(
        &mut self,
        now: MonoTime,
        entries: u32,
        cost_tokens: u32,
    ) -> Result<(), ResultCode> {
        let Some(share) = self.rate_share(entries) else { return Ok(()) };
        let micros = i64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(i64::MAX);
        let refilled = self.micro_tokens.saturating_add(share.saturating_mul(micros));
        self.micro_tokens = refilled.min(self.burst_micro_tokens(entries));
        self.refilled_at = now;
        if self.micro_tokens <= 0 {
            return Err(ResultCode::OverLimit);
        }
        self.micro_tokens -= i64::from(cost_tokens) * MICRO_TOKENS_PER_TOKEN;
        Ok(())
    }
}
