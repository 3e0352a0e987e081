//! A rate limit shared by all readers.

use buckthornwharf_core::prelude::*;
use std::cell::Cell;
use tokio::time::{Instant, sleep_until};

/// Limits the rate of all readers together and serves them in the order of their requests.
#[derive(Debug)]
pub struct RatePacer {
    next_free_at: Cell<Instant>,
}

impl Default for RatePacer {
    fn default() -> Self {
        Self { next_free_at: Cell::new(Instant::now()) }
    }
}

impl RatePacer {
    /// Waits until `bytes` may have been sent at `bytes_per_second`; zero is no limit.
    pub async fn throttle(&self, bytes: usize, bytes_per_second: u64) {
        if bytes_per_second == 0 {
            return;
        }
        let transfer_time = Duration::from_secs_f64(bytes as f64 / bytes_per_second as f64);
        let finish_at = self.next_free_at.get().max(Instant::now()) + transfer_time;
        self.next_free_at.set(finish_at);
        sleep_until(finish_at).await;
    }
}
