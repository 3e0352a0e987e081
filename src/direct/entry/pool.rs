//! Pool of idle connections to targets.

use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::OutboundConnection;
use std::ops::{Deref, DerefMut};

/// Assumed idle timeout of a target that announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Percentage of a target's idle timeout within which a connection is reused. Later, the target may have
/// closed it already.
const REUSE_PERCENT: u32 = 50;
/// Maximum number of idle connections to each target.
const MAX_IDLE_PER_TARGET: usize = 24;

/// Maximum number of refusals on a connection that is kept.
const MAX_REFUSALS: usize = 256;

/// A connection to a target, with the ids of the requests that were refused on it. A refusal may be
/// written once more, and looks like the answer to another request with the same id.
#[derive(Debug)]
pub struct TargetConnection {
    connection: OutboundConnection,
    refused: Vec<Arc<str>>,
}

impl TargetConnection {
    /// A connection that has just been opened.
    pub fn new(connection: OutboundConnection) -> Self {
        Self { connection, refused: Vec::new() }
    }

    /// Records that the request with this id was refused on the connection.
    pub fn add_refused(&mut self, request: &Arc<str>) {
        self.refused.push(request.clone());
    }

    fn may_carry(&self, request: &str) -> bool {
        !self.refused.iter().any(|refused| &**refused == request)
    }
}

impl Deref for TargetConnection {
    type Target = OutboundConnection;

    fn deref(&self) -> &OutboundConnection {
        &self.connection
    }
}

impl DerefMut for TargetConnection {
    fn deref_mut(&mut self) -> &mut OutboundConnection {
        &mut self.connection
    }
}

/// An idle connection and the time until which it may be reused.
#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    usable_until: MonoTime,
}

/// Idle connections by target id.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: SortedTable<Arc<str>, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes a reusable connection to target `id` out of the pool, if there is one on which `request` was
    /// not refused before.
    pub fn take(&mut self, now: MonoTime, id: &str, request: &str) -> Option<TargetConnection> {
        let idle = self.idle.get_mut(id)?;
        while let Some(index) = idle.iter().rposition(|idle| idle.connection.may_carry(request)) {
            let mut idle_connection = idle.remove(index);
            if now < idle_connection.usable_until && idle_connection.connection.is_reusable() {
                return Some(idle_connection.connection);
            }
        }
        None
    }

    /// Adds a connection if it can be reused and the pool is not full. `idle_timeout` is the idle
    /// timeout announced by the target.
    pub fn keep(
        &mut self,
        now: MonoTime,
        id: &Arc<str>,
        mut connection: TargetConnection,
        idle_timeout: Option<Duration>,
    ) {
        if !connection.is_reusable() || connection.refused.len() > MAX_REFUSALS {
            return;
        }
        let reuse_time = idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT) * REUSE_PERCENT / 100;
        let idle = self.idle.get_or_insert_with(id.clone(), Vec::new);
        idle.retain(|idle_connection| now < idle_connection.usable_until);
        if idle.len() < MAX_IDLE_PER_TARGET {
            idle.push(IdleConnection { connection, usable_until: now + reuse_time });
        }
    }

    /// Drops the connections to targets for whose id `is_registered` returns false.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.idle.retain(|id, _| is_registered(id));
    }
}
