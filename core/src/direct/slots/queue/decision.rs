//! How long a late request may wait, and when a refused caller should return.

use crate::direct::caller_timeout::{RETURN_PERCENT, late_allowance};
use crate::direct::{CallerTime, WaitAllowance, WaitTicket};
use crate::prelude::*;
use crate::routing::hash::combine_hashes;

/// Shortest and longest time after which a refused caller may retry in the plain order, and if its
/// timeout is not known. The response will miss its latency objective anyway, so the overload gets
/// time to pass. The time is also long enough to tell retries from callers with a shorter timeout.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(1000), Duration::from_millis(1900));
/// Callers wait at most this part of the time that they have left.
const MAX_RETRY_DIVISOR: u32 = 3;

/// Returns how long a request that cannot be in time may wait for a slot. A caller retries once, so one
/// that has returned may wait for as long as an answer can still be complete in its time; another
/// one is refused while it still has time to return.
pub fn late_wait(caller: CallerTime, service_time: Duration) -> WaitAllowance {
    let usual = late_allowance(caller.time_left);
    if !caller.returned {
        return usual;
    }
    let left = caller.time_left.saturating_sub(service_time * 2);
    WaitAllowance { max_wait: left.max(usual.max_wait), ..usual }
}

/// Returns the time after which the caller of this request may retry in the plain order. It is
/// jittered evenly over [`RETRY_AFTER_RANGE`], so that callers refused together do not retry
/// together.
pub fn plain_retry_after(ticket: WaitTicket) -> Duration {
    spread(ticket, RETRY_AFTER_RANGE)
}

/// Returns the time after which the caller of this request may retry: not before the backlog, which
/// takes `drain_time`, is served, and at most a third of the time that the caller has left. It is
/// late enough to be recognised as a retry, since it then goes before new requests.
pub fn retry_after(ticket: WaitTicket, caller: CallerTime, drain_time: Duration) -> Duration {
    if caller.time_left.is_zero() {
        return plain_retry_after(ticket);
    }
    let longest = caller.time_left / MAX_RETRY_DIVISOR;
    let shortest = (caller.time_left * RETURN_PERCENT / 100).min(longest);
    // Half of the range stays for the spread, however long the backlog is.
    let latest_start = shortest + (longest - shortest) / 2;
    spread(ticket, (drain_time.clamp(shortest, latest_start), longest))
}

fn spread(ticket: WaitTicket, (shortest, longest): (Duration, Duration)) -> Duration {
    let range_ms = ((longest - shortest).as_millis() as u64).max(1);
    shortest + Duration::from_millis(combine_hashes(ticket, 0) % range_ms)
}
