//! Counts of runs by request id and by body.

use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Maximum number of distinct ids, and of distinct bodies, that are counted separately.
const MAX_COUNTED_KEYS: usize = 1 << 18;

/// Runs since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// All runs.
    pub total: u64,
    /// Runs by `X-Request-Id`; requests without one are in the total only.
    pub by_request: SortedTable<String, u32>,
    /// Runs by the text of the prompt or body.
    pub by_text: SortedTable<String, u32>,
    /// Runs missing from a table because it was full.
    pub uncounted: u64,
}

impl RunCounts {
    /// Counts one run.
    pub fn add(&mut self, request: Option<&str>, text: &str) {
        self.total += 1;
        let is_request_counted =
            request.is_none_or(|request| increment(&mut self.by_request, request));
        let is_text_counted = increment(&mut self.by_text, text);
        self.uncounted += u64::from(!is_request_counted || !is_text_counted);
    }
}

fn increment(table: &mut SortedTable<String, u32>, key: &str) -> bool {
    if let Some(count) = table.get_mut(key) {
        *count += 1;
        return true;
    }
    if table.len() >= MAX_COUNTED_KEYS {
        return false;
    }
    table.insert(key.to_owned(), 1);
    true
}
