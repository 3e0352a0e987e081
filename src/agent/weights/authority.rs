//! The agent's right to give orders to its target: the fencing number and the lease.

use crate::clock;
use crate::platform::kv::{KvClient, KvSession};
use anyhow::{Context, Result, ensure};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fence::{FenceRow, LEASE_TTL, OrderFence, OrderGrant};
use log::{info, warn};
use rand::RngExt;
use std::net::SocketAddr;
use std::pin::pin;

/// Pace at which a lease is renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(5);

/// Obtains and keeps the right to give orders to one target.
pub struct OrderAuthority {
    kv: KvClient,
    target: SocketAddr,
    nonce: u64,
    fence: OrderFence,
    session: Option<KvSession>,
    holds_lease: bool,
    renewed: MonoTime,
}

impl OrderAuthority {
    /// The authority over `target`; `checked` tells whether it refuses old fencing numbers.
    pub fn new(kv: KvClient, target: SocketAddr, checked: bool) -> Self {
        Self {
            kv,
            target,
            nonce: rand::rng().random(),
            fence: OrderFence::new(checked),
            session: None,
            holds_lease: false,
            renewed: MonoTime::ZERO,
        }
    }

    /// Raises the number and takes or renews the lease, as far as that is due.
    ///
    /// # Errors
    ///
    /// The key-value service does not answer, or another agent holds the lease.
    pub async fn keep(&mut self) -> Result<()> {
        if self.fence.is_superseded() {
            return Ok(());
        }
        if self.fence.needs_fence() {
            self.raise().await?;
        }
        if self.fence.needs_lease() {
            self.keep_lease().await?;
        }
        Ok(())
    }

    /// Allows an order whose call takes `longest` at most. The counter is read first, so that an
    /// agent whose target was taken over notices; a target that checks numbers does without.
    ///
    /// # Errors
    ///
    /// The right is not there, or cannot be shown to be.
    pub async fn allow(&mut self, longest: Duration) -> Result<OrderGrant> {
        match self.read_row().await {
            Ok(row) => {
                let (row, _) = row.context("the fencing counter is gone")?;
                self.fence.counter_read(row.fence);
            }
            Err(error) if self.fence.needs_lease() => return Err(error),
            Err(_) => {}
        }
        Ok(self.fence.allow(clock::now(), longest)?)
    }

    /// Whether another agent has taken over the target.
    pub fn is_superseded(&self) -> bool {
        self.fence.is_superseded()
    }

    /// Takes in that the target refused an order as too old.
    pub fn fenced_off(&mut self) {
        self.fence.fenced_off();
    }

    /// The session that the agent's keys are tied to.
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
        self.renewed = sent;
        self.session = Some(session.clone());
        Ok(session)
    }

    /// Waits for `work`, and renews the session as it falls due meanwhile.
    pub async fn keep_during<F: Future>(&mut self, work: F) -> F::Output {
        let mut work = pin!(work);
        loop {
            tokio::select! {
                output = &mut work => return output,
                () = actix_rt::time::sleep(RENEW_INTERVAL) => {}
            }
            if let Err(error) = self.renew().await {
                warn!("the session for target {} is not renewed: {error:#}", self.target);
            }
        }
    }

    /// Renews the session, if there is one and it is due; whether it still is.
    ///
    /// # Errors
    ///
    /// The key-value service does not answer.
    pub async fn renew(&mut self) -> Result<bool> {
        let Some(session) = self.session.clone() else {
            return Ok(false);
        };
        let sent = clock::now();
        if sent.since(self.renewed) < RENEW_INTERVAL {
            return Ok(true);
        }
        if self.kv.renew_session(&session).await? {
            self.renewed = sent;
            self.fence.lease_renewed(sent);
            return Ok(true);
        }
        self.session = None;
        self.holds_lease = false;
        self.fence.lease_lost();
        Ok(false)
    }

    async fn raise(&mut self) -> Result<()> {
        let before = self.read_row().await?;
        if let Some((row, _)) = before
            && row.nonce == self.nonce
        {
            // An earlier write took effect although its answer was lost.
            self.fence.fence_raised(row.fence);
            return Ok(());
        }
        let index = before.map_or(0, |(_, index)| index);
        let row = FenceRow::raise(before.map(|(row, _)| row), self.nonce);
        let value = serde_json::to_vec(&row)?.into();
        let written = self.kv.put_cas_verified(&self.fence_key(), value, index).await?;
        ensure!(written, "another agent raised the fencing number at the same time");
        info!("fencing number {} for target {}", row.fence, self.target);
        self.fence.fence_raised(row.fence);
        Ok(())
    }

    async fn read_row(&self) -> Result<Option<(FenceRow, u64)>> {
        let Some(row) = self.kv.get(&self.fence_key()).await? else {
            return Ok(None);
        };
        let fence = serde_json::from_slice(&row.value).context("the fencing row is malformed")?;
        Ok(Some((fence, row.index)))
    }

    async fn keep_lease(&mut self) -> Result<()> {
        if self.holds_lease && self.renew().await? {
            return Ok(());
        }
        let session = self.session().await?;
        if !self.renew().await? {
            return Ok(());
        }
        let sent = self.renewed;
        let value = self.nonce.to_string().into();
        let acquired = self.kv.acquire(&self.lease_key(), value, &session).await?;
        ensure!(acquired, "another agent holds the lease on target {}", self.target);
        self.holds_lease = true;
        self.fence.lease_granted(sent, clock::now());
        info!("lease on target {}", self.target);
        Ok(())
    }

    fn fence_key(&self) -> String {
        format!("fence/{}", self.target)
    }

    fn lease_key(&self) -> String {
        format!("lease/{}", self.target)
    }
}
