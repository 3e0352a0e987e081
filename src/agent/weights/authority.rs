//! The agent's right to send orders to its target: the fencing token and the lease.

use crate::clock;
use crate::platform::kv::{KvClient, KvSession};
use anyhow::{Context, Result, ensure};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fence::{FenceRow, LEASE_TTL, OrderFence, OrderGrant};
use log::{info, warn};
use rand::RngExt;
use std::net::SocketAddr;
use std::pin::pin;

/// Interval at which the session of a lease is renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(5);

/// Acquires and maintains the right to send orders to one target.
pub struct OrderAuthority {
    kv: KvClient,
    target: SocketAddr,
    nonce: u64,
    fence: OrderFence,
    session: Option<KvSession>,
    holds_lease: bool,
    renewed_at: MonoTime,
}

impl OrderAuthority {
    /// The authority over `target`. `target_checks_fence`: the target refuses old fencing tokens.
    pub fn new(kv: KvClient, target: SocketAddr, target_checks_fence: bool) -> Self {
        Self {
            kv,
            target,
            nonce: rand::rng().random(),
            fence: OrderFence::new(target_checks_fence),
            session: None,
            holds_lease: false,
            renewed_at: MonoTime::ZERO,
        }
    }

    /// Raises the fencing token, and acquires or renews the lease, where that is due.
    ///
    /// # Errors
    ///
    /// The key-value service does not answer, or another agent holds the lease or raised the token
    /// at the same time.
    pub async fn maintain(&mut self) -> Result<()> {
        if self.fence.is_superseded() {
            return Ok(());
        }
        if self.fence.needs_fence() {
            self.raise().await?;
        }
        if self.fence.needs_lease() {
            self.maintain_lease().await?;
        }
        Ok(())
    }

    /// Allows an order whose call takes at most `max_call_time`. Reads the fencing counter first,
    /// so that the agent notices if another one has taken over the target. A failed read is ignored
    /// for a target that checks fencing tokens itself.
    ///
    /// # Errors
    ///
    /// The agent has no right to send the order, or the right cannot be verified.
    pub async fn allow(&mut self, max_call_time: Duration) -> Result<OrderGrant> {
        match self.read_row().await {
            Ok(row) => {
                let (row, _) = row.context("the fencing counter no longer exists")?;
                self.fence.counter_read(row.fence);
            }
            Err(error) if self.fence.needs_lease() => return Err(error),
            Err(_) => {}
        }
        Ok(self.fence.allow(clock::now(), max_call_time)?)
    }

    /// Whether another agent has taken over the target.
    pub fn is_superseded(&self) -> bool {
        self.fence.is_superseded()
    }

    /// Records that the target refused an order because of its fencing token.
    pub fn fenced_off(&mut self) {
        self.fence.fenced_off();
    }

    /// The session that the agent's lease and permit are tied to; created if there is none.
    ///
    /// # Errors
    ///
    /// The key-value service does not answer.
    pub async fn session(&mut self) -> Result<KvSession> {
        if let Some(session) = &self.session {
            return Ok(session.clone());
        }
        let sent = clock::now();
        let session = self.kv.create_session(LEASE_TTL).await?;
        self.renewed_at = sent;
        self.session = Some(session.clone());
        Ok(session)
    }

    /// Waits for `work`, and renews the session every [`RENEW_INTERVAL`] meanwhile.
    pub async fn renew_during<F: Future>(&mut self, work: F) -> F::Output {
        let mut work = pin!(work);
        loop {
            tokio::select! {
                output = &mut work => return output,
                () = actix_rt::time::sleep(RENEW_INTERVAL) => {}
            }
            if let Err(error) = self.renew().await {
                warn!("could not renew the session for target {}: {error:#}", self.target);
            }
        }
    }

    /// Renews the session if that is due. False if there is no session, or it has expired.
    ///
    /// # Errors
    ///
    /// The key-value service does not answer.
    pub async fn renew(&mut self) -> Result<bool> {
        let Some(session) = self.session.clone() else {
            return Ok(false);
        };
        let sent = clock::now();
        if sent.since(self.renewed_at) < RENEW_INTERVAL {
            return Ok(true);
        }
        if self.kv.renew_session(&session).await? {
            self.renewed_at = sent;
            self.fence.lease_renewed(sent);
            return Ok(true);
        }
        self.session = None;
        self.holds_lease = false;
        self.fence.lease_lost();
        Ok(false)
    }

    async fn raise(&mut self) -> Result<()> {
        let previous = self.read_row().await?;
        if let Some((row, _)) = previous
            && row.nonce == self.nonce
        {
            // An earlier write of this agent took effect, but its answer was lost.
            self.fence.fence_raised(row.fence);
            return Ok(());
        }
        let index = previous.map_or(0, |(_, index)| index);
        let row = FenceRow::raise(previous.map(|(row, _)| row), self.nonce);
        let value = serde_json::to_vec(&row)?.into();
        let written = self.kv.put_cas_verified(&self.fence_key(), value, index).await?;
        ensure!(written, "another agent raised the fencing token at the same time");
        info!("raised the fencing token to {} for target {}", row.fence, self.target);
        self.fence.fence_raised(row.fence);
        Ok(())
    }

    async fn read_row(&self) -> Result<Option<(FenceRow, u64)>> {
        let Some(row) = self.kv.get(&self.fence_key()).await? else {
            return Ok(None);
        };
        let fence = serde_json::from_slice(&row.value)
            .context("the value of the fencing counter is malformed")?;
        Ok(Some((fence, row.index)))
    }

    async fn maintain_lease(&mut self) -> Result<()> {
        if self.holds_lease && self.renew().await? {
            return Ok(());
        }
        let session = self.session().await?;
        if !self.renew().await? {
            return Ok(());
        }
        let sent = self.renewed_at;
        let value = self.nonce.to_string().into();
        let acquired = self.kv.acquire(&self.lease_key(), value, &session).await?;
        ensure!(acquired, "another agent holds the lease on target {}", self.target);
        self.holds_lease = true;
        self.fence.lease_granted(sent, clock::now());
        info!("acquired the lease on target {}", self.target);
        Ok(())
    }

    fn fence_key(&self) -> String {
        format!("fence/{}", self.target)
    }

    fn lease_key(&self) -> String {
        format!("lease/{}", self.target)
    }
}
