//! Limits the extra load that retries of an entry cause.

const MILLI_TOKENS_PER_RETRY: u64 = 1_000;
const MILLI_TOKENS_PER_REQUEST: u64 = 100;
const MAX_MILLI_TOKENS: u64 = 10 * MILLI_TOKENS_PER_RETRY;

/// A token bucket per entry: requests fill it and retries take from it, so that in the long run
/// retries are at most 10% of requests.
#[derive(Debug, Clone)]
pub struct RetryTokenBucket {
    milli_tokens: u64,
}

impl Default for RetryTokenBucket {
    fn default() -> Self {
        Self { milli_tokens: MAX_MILLI_TOKENS }
    }
}

impl RetryTokenBucket {
    /// A full bucket.
    pub fn new() -> Self {
        Self::default()
    }

    /// An empty bucket, which allows no retry until requests have filled it.
    pub const fn empty() -> Self {
        Self { milli_tokens: 0 }
    }

    /// Adds the share of one request; to be called once per caller's request.
    pub fn record_request(&mut self) {
        self.milli_tokens = (self.milli_tokens + MILLI_TOKENS_PER_REQUEST).min(MAX_MILLI_TOKENS);
    }

    /// Takes the tokens for one retry; `false` if there are too few.
    pub fn take_retry(&mut self) -> bool {
        let Some(left) = self.milli_tokens.checked_sub(MILLI_TOKENS_PER_RETRY) else {
            return false;
        };
        self.milli_tokens = left;
        true
    }
}
