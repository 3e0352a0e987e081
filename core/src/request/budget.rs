//! How many retries an entry may add to the load.

const MILLI_TOKENS_PER_RETRY: u64 = 1_000;
const MILLI_TOKENS_PER_REQUEST: u64 = 100;
const MAX_MILLI_TOKENS: u64 = 10 * MILLI_TOKENS_PER_RETRY;

/// A token bucket that is filled by requests and emptied by retries, one per entry. In the long run
/// retries are at most 10% of requests.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    milli_tokens: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { milli_tokens: MAX_MILLI_TOKENS }
    }
}

impl RetryBudget {
    /// A full bucket.
    pub fn new() -> Self {
        Self::default()
    }

    /// A bucket that allows nothing until requests fill it.
    pub const fn empty() -> Self {
        Self { milli_tokens: 0 }
    }

    /// Notes a caller's request; called once for each.
    pub fn note_request(&mut self) {
        self.milli_tokens = (self.milli_tokens + MILLI_TOKENS_PER_REQUEST).min(MAX_MILLI_TOKENS);
    }

    /// Takes the allowance for one retry; `false` if there is none.
    pub fn take_retry(&mut self) -> bool {
        let Some(rest) = self.milli_tokens.checked_sub(MILLI_TOKENS_PER_RETRY) else {
            return false;
        };
        self.milli_tokens = rest;
        true
    }
}
