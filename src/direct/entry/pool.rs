//! Idle connections to targets.

use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::OutboundConnection;

/// Time that a target is taken to keep an idle connection if it does not say.
const DEFAULT_IDLE: Duration = Duration::from_secs(2);
/// Part of the announced time within which a connection is used again, in percent: the target's
/// close may be on its way otherwise.
const IDLE_PERCENT: u32 = 50;
/// Idle connections that are kept for each target.
const MAX_IDLE: usize = 24;

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    connection: OutboundConnection,
    usable_until: MonoTime,
}

/// Idle connections by target.
#[derive(Debug, Default)]
pub struct TargetPool {
    idle: SortedTable<Arc<str>, Vec<IdleConnection>>,
}

impl TargetPool {
    /// A connection to the target called `id` that may carry another request.
    pub fn take(&mut self, now: MonoTime, id: &str) -> Option<OutboundConnection> {
        let idle = self.idle.get_mut(id)?;
        while let Some(mut kept) = idle.pop() {
            if now < kept.usable_until && kept.connection.is_reusable() {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last exchange ended cleanly. `idle_timeout` is what the target said
    /// of the time that it keeps one.
    pub fn keep(
        &mut self,
        now: MonoTime,
        id: &Arc<str>,
        mut connection: OutboundConnection,
        idle_timeout: Option<Duration>,
    ) {
        if !connection.is_reusable() {
            return;
        }
        let span = idle_timeout.unwrap_or(DEFAULT_IDLE) * IDLE_PERCENT / 100;
        let idle = self.idle.get_or_insert_with(id.clone(), Vec::new);
        idle.retain(|kept| now < kept.usable_until);
        if idle.len() < MAX_IDLE {
            idle.push(IdleConnection { connection, usable_until: now + span });
        }
    }

    /// Drops the connections to targets that `keeps` does not hold.
    pub fn retain(&mut self, keeps: impl Fn(&str) -> bool) {
        self.idle.retain(|id, _| keeps(id));
    }
}
