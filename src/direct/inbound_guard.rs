//! Limits the memory and the number of connections that others open to a process, and counts and logs what it
//! refuses.

use super::settings::HostLimits;
use crate::clock;
use anyhow::Result;
use buckthornwharf_core::direct::memory::{BudgetLimits, ConnectionKind};
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::{ConnectionMemory, InboundError, ProcessMemory, limit_buffers};
use log::warn;
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::rc::Rc;

/// Minimum time between two log lines for the same reason.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Lines per second on requests that are rejected for their key, route or id. All are counted by the metrics.
const MAX_REJECTED_LINES: u32 = 50;
/// Size that is asked for the kernel's buffers of a connection of a bounded process, in bytes; the kernel doubles
/// it. Without it they grow to several megabytes for each caller that does not read or is not read from.
const SOCKET_BUFFER_BYTES: usize = 64 * 1024;

/// The budget of a process for the connections that others open to it, and its metrics.
#[derive(Debug)]
pub struct InboundGuard {
    memory: Rc<ProcessMemory>,
    refusals: IntCounterVec,
    held_bytes: IntGauge,
    connections: IntGauge,
    logged: RefCell<SortedTable<&'static str, LoggedReason>>,
    /// Start of the current second of log lines on rejected requests, and their number.
    rejected_lines: Cell<(MonoTime, u32)>,
}

/// When a reason was logged, and how often it has applied since.
#[derive(Debug, Default)]
struct LoggedReason {
    logged_at: Option<MonoTime>,
    count: u64,
}

impl InboundGuard {
    /// Creates the guard of a process on a host with these limits.
    ///
    /// # Errors
    ///
    /// Fails only if another metric has the same name.
    pub fn new(limits: &HostLimits, registry: &Registry) -> Result<Rc<Self>> {
        let refusals = IntCounterVec::new(
            Opts::new(
                "direct_refused_connections_total",
                "Connections that were closed, and requests refused before they were read, by reason",
            ),
            &["reason"],
        )?;
        let held_bytes = IntGauge::new(
            "direct_inbound_bytes",
            "Memory counted for connections opened by others; 0 without a limit",
        )?;
        let connections = IntGauge::new(
            "direct_inbound_connections",
            "Connections opened by others; 0 without a limit",
        )?;
        registry.register(Box::new(refusals.clone()))?;
        registry.register(Box::new(held_bytes.clone()))?;
        registry.register(Box::new(connections.clone()))?;
        let limits = BudgetLimits::of_host(limits.memory_megabytes, limits.descriptors);
        let memory = ProcessMemory::new(limits);
        Ok(Rc::new(Self {
            memory,
            refusals,
            held_bytes,
            connections,
            logged: RefCell::default(),
            rejected_lines: Cell::new((clock::now(), 0)),
        }))
    }

    /// Limits the kernel's buffers of the connections that `listener` will accept, if the process is bounded.
    pub fn prepare_listener(&self, listener: &impl AsFd) {
        if !self.memory.is_bounded() {
            return;
        }
        if let Err(error) = limit_buffers(listener, SOCKET_BUFFER_BYTES) {
            warn!("event=buffers_not_limited reason=\"{error}\"");
        }
    }

    /// Admits a connection from `source`; `None` if it has to be closed.
    pub fn admit(&self, kind: ConnectionKind, source: SocketAddr) -> Option<ConnectionMemory> {
        let admitted = self.memory.admit(kind, source.ip());
        if admitted.is_err() {
            self.count("no_connection");
        }
        admitted.ok()
    }

    /// Returns whether a connection has to be closed for each new caller.
    pub fn is_at_caller_limit(&self) -> bool {
        self.memory.is_at_caller_limit()
    }

    /// Counts a request that was not read completely and whose connection was closed. Closed, idle and broken
    /// connections are not refusals.
    pub fn count_unread(&self, failure: &InboundError) {
        let reason = match failure {
            InboundError::ReadTimeout => "read_timeout",
            InboundError::HeadTooLarge => "head_too_large",
            InboundError::BodyTooLarge => "body_too_large",
            InboundError::NoMemory => "no_memory",
            InboundError::Malformed => "malformed",
            InboundError::Closed | InboundError::IdleTimeout | InboundError::Broken(_) => return,
        };
        self.count(reason);
    }

    /// Counts a connection that could not be accepted, or was closed, for `reason`.
    pub fn count(&self, reason: &'static str) {
        self.refusals.with_label_values(&[reason]).inc();
        let now = clock::now();
        let mut logged = self.logged.borrow_mut();
        let logged = logged.get_or_insert_with(reason, LoggedReason::default);
        logged.count += 1;
        if logged.logged_at.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            return;
        }
        let (held, open) = (self.memory.held_bytes(), self.memory.connections());
        warn!(
            "event=callers_refused reason={reason} count={} held_bytes={held} connections={open}",
            logged.count
        );
        *logged = LoggedReason { logged_at: Some(now), count: 0 };
    }

    /// Returns whether a line on a rejected request may be logged, and counts it.
    pub fn allows_rejected_line(&self, now: MonoTime) -> bool {
        let (since, lines) = self.rejected_lines.get();
        let (since, lines) = match now.since(since) < Duration::from_secs(1) {
            true => (since, lines),
            false => (now, 0),
        };
        self.rejected_lines.set((since, lines.saturating_add(1)));
        lines < MAX_REJECTED_LINES
    }

    /// Brings the gauges up to date.
    pub fn update_gauges(&self) {
        self.held_bytes.set(self.memory.held_bytes() as i64);
        self.connections.set(self.memory.connections() as i64);
    }
}
