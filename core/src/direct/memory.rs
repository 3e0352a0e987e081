//! The budget of memory and connections that a process spends on connections opened by others.
//!
//! A holder is one connection. Up to [`SMALL_BYTES`] each holder gets what it asks for: their number is limited,
//! so that this part of the memory is always there, and small requests never wait behind large ones. Holders of
//! more share the rest. If it is spent, the oldest incomplete request of the party that holds most is evicted,
//! so that many callers with stalled bodies cannot keep out the others.

use std::net::IpAddr;

/// Bytes of a connection without a request: its task, its socket and the part of the allocator's bookkeeping
/// that grows with it.
pub const CONNECTION_BYTES: usize = 12 * 1024;
/// Bytes that a parsed header field costs in addition to its text: entries of the hash tables of the request and
/// of its copy for the target, which are up to twice as large as their content, and the name's allocation.
pub const FIELD_BYTES: usize = 512;
/// Bytes up to which a holder does not compete with others. An ordinary request with 20 header fields and a
/// body of a few kilobytes needs less.
pub const SMALL_BYTES: usize = 48 * 1024;

/// Bytes kept for the runtime, the configuration, links, connections to targets and answers in transit.
const RUNTIME_BYTES: usize = 48_000_000;
/// At least this part of the host's memory is the budget, also on hosts that are too small for the above.
const MIN_BUDGET_DIVISOR: usize = 8;
/// Part of the remaining memory that is not handed out: fragmentation of the allocator, and buffers of sockets
/// in the kernel.
const SPARE_DIVISOR: usize = 2;
/// Connections for links of agents; more than the largest fleet has agents.
const MAX_LINKS: usize = 4096;
/// Connections for probes, metrics and other agents. All agents of a fleet may ask one of them for chunks at
/// the same time.
const MAX_SERVICE_CONNECTIONS: usize = 1024;
/// File descriptors that a process needs for itself: listeners, log, runtime, store, files of settings.
const OWN_DESCRIPTORS: usize = 32;
/// Least number of connections of a kind, whatever the limits are.
const MIN_CONNECTIONS: usize = 8;
/// Part of the connections of a kind that may be about to close while others take their place.
const CLOSING_DIVISOR: usize = 8;

/// What a connection is for. The number of connections is limited for each kind separately, so that callers
/// cannot keep out links and probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionKind {
    /// Requests of callers.
    Caller,
    /// Probes, metrics, and chunks for other agents.
    Service,
    /// A link of an agent.
    Link,
}

/// What a holder is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderPhase {
    /// It has sent nothing since the connection was opened or the last request was answered.
    Idle,
    /// Its request has not been read completely.
    Reading,
    /// Its request is being handled. Such a holder is never evicted.
    Running,
    /// It has not read what was sent to it.
    Sending,
}

impl HolderPhase {
    fn is_evictable(self) -> bool {
        self != HolderPhase::Running
    }
}

/// How much a process may spend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bytes that holders of more than [`SMALL_BYTES`] share.
    pub large_bytes: usize,
    /// Connections of callers.
    pub callers: usize,
    /// Connections for probes, metrics and other agents.
    pub services: usize,
    /// Links of agents.
    pub links: usize,
}

impl BudgetLimits {
    /// Returns the limits on a host that offers this much; `None` if it limits nothing.
    pub fn of_host(memory_megabytes: Option<u32>, descriptors: Option<u32>) -> Option<Self> {
        if memory_megabytes.is_none() && descriptors.is_none() {
            return None;
        }
        let mut limits = Self {
            large_bytes: usize::MAX / 4,
            callers: usize::MAX,
            services: MAX_SERVICE_CONNECTIONS,
            links: MAX_LINKS,
        };
        if let Some(megabytes) = memory_megabytes {
            let memory = megabytes as usize * 1_000_000;
            let rest = memory.saturating_sub(RUNTIME_BYTES) / SPARE_DIVISOR;
            let budget = rest.max(memory / MIN_BUDGET_DIVISOR);
            limits.large_bytes = budget / 2;
            limits.callers = budget / 2 / SMALL_BYTES;
        }
        if let Some(descriptors) = descriptors {
            let descriptors = descriptors as usize;
            limits.links = limits.links.min(descriptors / 4);
            limits.services = limits.services.min(descriptors / 8);
            let rest = descriptors.saturating_sub(limits.links + limits.services + OWN_DESCRIPTORS);
            // Each request needs a connection to a target as well.
            limits.callers = limits.callers.min(rest / 2);
        }
        limits.callers = limits.callers.max(MIN_CONNECTIONS);
        limits.services = limits.services.max(MIN_CONNECTIONS);
        limits.links = limits.links.max(MIN_CONNECTIONS);
        Some(limits)
    }

    fn connections(&self, kind: ConnectionKind) -> usize {
        match kind {
            ConnectionKind::Caller => self.callers,
            ConnectionKind::Service => self.services,
            ConnectionKind::Link => self.links,
        }
    }
}

/// A connection that was admitted. The value is used again after the connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId(usize);

impl HolderId {
    /// Returns the number, which is less than the largest number of connections that were open at a time.
    pub fn index(self) -> usize {
        self.0
    }
}

/// An admitted connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmittedConnection {
    /// The connection.
    pub id: HolderId,
    /// The connection that has to be closed for it.
    pub victim: Option<HolderId>,
}

#[derive(Debug, Clone)]
struct Holder {
    kind: ConnectionKind,
    source: IpAddr,
    /// Hash of the key of the request that is being read; 0 as long as it is unknown.
    key: u64,
    bytes: usize,
    phase: HolderPhase,
    /// Orders the holders by the time at which they entered their phase.
    since: u64,
    is_evicted: bool,
}

impl Holder {
    fn large_bytes(&self) -> usize {
        large_part(self.bytes)
    }
}

/// The part of the bytes of a holder that counts towards those that large holders share.
fn large_part(bytes: usize) -> usize {
    if bytes > SMALL_BYTES { bytes } else { 0 }
}

/// The budget of a process.
#[derive(Debug)]
pub struct MemoryBudget {
    limits: BudgetLimits,
    holders: Vec<Option<Holder>>,
    free: Vec<usize>,
    held_bytes: usize,
    large_bytes: usize,
    changes: u64,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is spent.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            holders: Vec::new(),
            free: Vec::new(),
            held_bytes: 0,
            large_bytes: 0,
            changes: 0,
        }
    }

    /// Returns the bytes that all connections hold together.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.holders.len() - self.free.len()
    }

    /// Returns whether there are as many connections as callers may have.
    pub fn is_at_caller_limit(&self) -> bool {
        self.connections() >= self.limits.callers
    }

    /// Admits a connection from `source`. If there are too many, the one that has been idle or incomplete for
    /// longest has to be closed for it, of the source that has most connections. Returns `None` if none can be
    /// closed.
    pub fn open(&mut self, kind: ConnectionKind, source: IpAddr) -> Option<AdmittedConnection> {
        let limit = self.limits.connections(kind);
        let of_kind = || self.holders.iter().flatten().filter(|holder| holder.kind == kind);
        // Counting is skipped as long as the number of all connections is below the limit.
        let victim = match self.connections() >= limit && of_kind().count() >= limit {
            true => {
                let closing = of_kind().filter(|holder| holder.is_evicted).count();
                if closing > limit / CLOSING_DIVISOR + 1 {
                    return None;
                }
                Some(self.pick_victim(|holder| if holder.kind == kind { 1 } else { 0 })?)
            }
            false => None,
        };
        if let Some(victim) = victim {
            self.mark_evicted(victim);
        }
        self.changes += 1;
        let holder = Holder {
            kind,
            source,
            key: 0,
            bytes: CONNECTION_BYTES,
            phase: HolderPhase::Idle,
            since: self.changes,
            is_evicted: false,
        };
        self.held_bytes += holder.bytes;
        let index = match self.free.pop() {
            Some(index) => {
                self.holders[index] = Some(holder);
                index
            }
            None => {
                self.holders.push(Some(holder));
                self.holders.len() - 1
            }
        };
        Some(AdmittedConnection { id: HolderId(index), victim })
    }

    /// Releases all that a connection holds.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders[id.0].take() {
            self.held_bytes -= holder.bytes;
            self.large_bytes -= holder.large_bytes();
            self.free.push(id.0);
        }
    }

    /// Notes what a connection is doing.
    pub fn set_phase(&mut self, id: HolderId, phase: HolderPhase) {
        self.changes += 1;
        let changes = self.changes;
        if let Some(holder) = &mut self.holders[id.0] {
            (holder.phase, holder.since) = (phase, changes);
        }
    }

    /// Notes the hash of the key of the request that is being read.
    pub fn set_key(&mut self, id: HolderId, key: u64) {
        if let Some(holder) = &mut self.holders[id.0] {
            holder.key = key;
        }
    }

    /// Lets a connection hold `bytes` in total. Returns false, and leaves it as it was, if there is no room.
    /// The only large holder is never refused: a request inside the limits of its size is served in calm
    /// operation, whatever the host's memory is.
    pub fn try_hold(&mut self, id: HolderId, bytes: usize) -> bool {
        let Some(holder) = &self.holders[id.0] else { return false };
        let others = self.large_bytes - holder.large_bytes();
        let grows = bytes > holder.bytes;
        let is_spent = others > 0 && others + large_part(bytes) > self.limits.large_bytes;
        if grows && bytes > SMALL_BYTES && is_spent {
            return false;
        }
        self.count(id, bytes);
        true
    }

    /// Counts `bytes` in total for a connection that holds them already.
    pub fn count(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = &mut self.holders[id.0] {
            self.held_bytes = self.held_bytes - holder.bytes + bytes;
            self.large_bytes = self.large_bytes - holder.large_bytes() + large_part(bytes);
            holder.bytes = bytes;
        }
    }

    /// Returns the connections that have to be closed so that `id` can hold `bytes`: those whose requests have
    /// been incomplete, or whose answers unread, for longest, of the party that holds most. This may be `id` itself.
    pub fn make_room(&mut self, id: HolderId, bytes: usize) -> Vec<HolderId> {
        let Some(holder) = &self.holders[id.0] else { return Vec::new() };
        let evicted = self.holders.iter().flatten().filter(|holder| holder.is_evicted);
        let closing: usize = evicted.map(Holder::large_bytes).sum();
        let wanted = self.large_bytes - holder.large_bytes() + large_part(bytes);
        let mut missing = wanted.saturating_sub(self.limits.large_bytes + closing);
        let mut victims = Vec::new();
        while missing > 0 {
            let Some(victim) = self.pick_victim(Holder::large_bytes) else { break };
            let freed = self.holders[victim.0].as_ref().map_or(0, Holder::large_bytes);
            missing = missing.saturating_sub(freed);
            self.mark_evicted(victim);
            victims.push(victim);
            if victim == id {
                break;
            }
        }
        victims
    }

    fn mark_evicted(&mut self, id: HolderId) {
        if let Some(holder) = &mut self.holders[id.0] {
            holder.is_evicted = true;
        }
    }

    /// Picks the oldest evictable holder among those with the source that weighs most, and among these with the
    /// key that weighs most. Holders without weight are not picked.
    fn pick_victim(&self, weight: impl Fn(&Holder) -> usize) -> Option<HolderId> {
        let weighted = || self.holders.iter().flatten().filter(|holder| weight(holder) > 0);
        let may_go = |holder: &Holder| {
            weight(holder) > 0 && holder.phase.is_evictable() && !holder.is_evicted
        };
        let mut parties: Vec<(IpAddr, u64, usize, bool)> = weighted()
            .map(|holder| (holder.source, holder.key, weight(holder), may_go(holder)))
            .collect();
        parties.sort_unstable_by_key(|(source, key, ..)| (*source, *key));
        let sum = |parties: &[(IpAddr, u64, usize, bool)]| {
            parties.iter().map(|(_, _, weight, _)| weight).sum::<usize>()
        };
        let has_victim =
            |parties: &&[(IpAddr, u64, usize, bool)]| parties.iter().any(|party| party.3);
        let of_source = parties.chunk_by(|first, second| first.0 == second.0);
        let of_source = of_source.filter(has_victim).max_by_key(|parties| sum(parties))?;
        let of_key = of_source.chunk_by(|first, second| first.1 == second.1);
        let of_key = of_key.filter(has_victim).max_by_key(|parties| sum(parties))?;
        let (source, key, ..) = of_key[0];
        let holders = self.holders.iter().enumerate();
        holders
            .filter_map(|(index, holder)| Some((index, holder.as_ref()?)))
            .filter(|(_, holder)| holder.source == source && holder.key == key && may_go(holder))
            .min_by_key(|(_, holder)| holder.since)
            .map(|(index, _)| HolderId(index))
    }
}
