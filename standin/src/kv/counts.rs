//! Counters of the key-value service.

use serde::{Deserialize, Serialize};

/// Calls by kind since the start. Calls that an outage refused are counted too.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvCounts {
    /// All calls.
    pub total: u64,
    /// Reads of one key.
    pub get: u64,
    /// Reads with an index; each counts once, however long it waits.
    pub watch: u64,
    /// Reads of a prefix.
    pub list: u64,
    /// Writes without a condition.
    pub put: u64,
    /// Writes on condition of an index.
    pub cas: u64,
    /// Requests to hold a key.
    pub acquire: u64,
    /// Requests to free a key.
    pub release: u64,
    /// Deletions.
    pub delete: u64,
    /// Sessions opened.
    pub session_create: u64,
    /// Sessions renewed.
    pub session_renew: u64,
    /// Sessions ended by a call.
    pub session_destroy: u64,
    /// Sessions that lapsed.
    pub session_lapsed: u64,
    /// Answers that were lost after their write took effect.
    pub lost_answers: u64,
    /// Watches that wait now.
    pub waiting_watches: u64,
    /// Sessions that are open now.
    pub open_sessions: u64,
}
