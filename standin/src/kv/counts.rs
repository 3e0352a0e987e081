//! Counters of the key-value service.

use serde::{Deserialize, Serialize};

/// Counts of requests by kind since the start, including those refused in an outage.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvCounts {
    /// All requests.
    pub total: u64,
    /// Reads of one key.
    pub get: u64,
    /// Blocking reads with an index; each counts once, however long it waits.
    pub watch: u64,
    /// Reads of a prefix.
    pub list: u64,
    /// Unconditional writes.
    pub put: u64,
    /// Compare-and-swap writes.
    pub cas: u64,
    /// Requests to acquire a key for a session.
    pub acquire: u64,
    /// Requests to release a key.
    pub release: u64,
    /// Deletions.
    pub delete: u64,
    /// Requests to create a session.
    pub session_create: u64,
    /// Requests to renew a session.
    pub session_renew: u64,
    /// Requests to destroy a session.
    pub session_destroy: u64,
    /// Sessions that expired.
    pub session_lapsed: u64,
    /// Responses that were lost after their write took effect.
    pub lost_answers: u64,
    /// Watches that are waiting now.
    pub waiting_watches: u64,
    /// Sessions that are open now.
    pub open_sessions: u64,
}
