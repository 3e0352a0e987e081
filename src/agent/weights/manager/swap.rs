//! Orders to the target: loading, unloading and swapping versions.

use super::WeightManager;
use crate::clock;
use crate::platform::engine::{LoadBody, OrderAnswer};
use anyhow::{Context, Result, bail, ensure};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fence::OrderGrant;
use buckthornwharf_core::weights::lifecycle::{HeldVersion, LoadingVersion, ServingVersion};
use buckthornwharf_core::weights::permit::{SwapStrategy, permit_keys};
use log::{info, warn};

/// Timeout of an order to a target that ignores fencing tokens; shorter than a lease.
const LEASED_ORDER_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of an order to a target that checks fencing tokens.
const FENCED_ORDER_TIMEOUT: Duration = Duration::from_secs(300);

impl WeightManager {
    /// Loads a held version into the target. If the target is full, drains it and unloads the other
    /// versions first, under a permit.
    pub(super) async fn swap(&mut self, held: HeldVersion, loaded: &[VersionDigest]) -> Result<()> {
        let grant = self.authority.allow(self.order_timeout()).await?;
        if SwapStrategy::choose(self.parts.settings.target_holds, loaded.len())
            == SwapStrategy::InPlace
        {
            self.acquire_permit().await?;
            self.serving = None;
            self.parts.gate.close();
            self.authority.renew_during(self.parts.gate.drained()).await;
            for digest in loaded {
                self.unload(digest).await?;
            }
        }
        let grant = match grant.deadline > clock::now() + self.order_timeout() / 2 {
            true => grant,
            false => self.authority.allow(self.order_timeout()).await?,
        };
        self.load(held.into_loading(grant)).await?;
        self.release_permit().await;
        Ok(())
    }

    /// Unloads the versions other than `wanted` that have no requests in flight.
    pub(super) async fn unload_drained(
        &mut self,
        loaded: &[VersionDigest],
        wanted: VersionDigest,
    ) -> Result<()> {
        for digest in loaded.iter().filter(|digest| **digest != wanted) {
            let draining = ServingVersion::find(*digest, loaded).map(ServingVersion::drain);
            let in_flight = self.parts.gate.in_flight(Some(digest));
            let Some((draining, in_flight)) = draining.zip(in_flight) else {
                continue;
            };
            if let Ok(dropped) = draining.finish(in_flight) {
                self.unload(&dropped.digest()).await?;
            }
        }
        Ok(())
    }

    async fn load(&mut self, version: LoadingVersion) -> Result<()> {
        let manifest = version.manifest();
        let chunks =
            self.parts.store.all_chunks(manifest).context("chunks of the version are missing")?;
        let body = LoadBody {
            digest: version.digest(),
            total_bytes: manifest.total_bytes,
            chunk_bytes: manifest.chunk_bytes,
            chunks,
        };
        let grant = version.grant();
        let call = self.parts.engine.load(body, grant.fence, time_left(grant));
        let answer = self.authority.renew_during(call).await;
        // Only the target's list of models shows whether the load succeeded; the answer does not.
        let loaded = self.parts.engine.models().await?;
        match version.confirm(&loaded) {
            Ok(serving) => {
                info!("the target serves version {}", serving.digest());
                self.parts.gate.open(&serving);
                self.serving = Some(serving);
                Ok(())
            }
            Err(held) => self.fail_order(answer?, &held.digest()),
        }
    }

    async fn unload(&mut self, digest: &VersionDigest) -> Result<()> {
        let grant = self.authority.allow(self.order_timeout()).await?;
        let answer = self.parts.engine.unload(digest, grant.fence, time_left(grant)).await?;
        ensure!(answer == OrderAnswer::Done, self.fail_order(answer, digest).unwrap_err());
        info!("the target has unloaded version {digest}");
        Ok(())
    }

    /// Returns the error for an order that the target has not carried out. If the target refused
    /// the fencing token, gives up the right to send orders.
    fn fail_order(&mut self, answer: OrderAnswer, digest: &VersionDigest) -> Result<()> {
        if answer == OrderAnswer::FencedOff {
            self.authority.fenced_off();
        }
        bail!("the target did not carry out an order for version {digest}: {answer:?}")
    }

    fn order_timeout(&self) -> Duration {
        match self.parts.settings.target_checks_fence {
            true => FENCED_ORDER_TIMEOUT,
            false => LEASED_ORDER_TIMEOUT,
        }
    }

    /// Acquires one of the service's permits; needed also if no other host serves the service.
    async fn acquire_permit(&mut self) -> Result<()> {
        if self.permit.is_some() && self.authority.renew().await? {
            return Ok(());
        }
        self.permit = None;
        let service = &self.parts.settings.service;
        let config = self.parts.config.borrow().clone();
        let config = config.as_ref().and_then(|config| config.document.services.get(service));
        let max_permits = config.map_or(1, |config| config.max_out_of_service);
        let session = self.authority.session().await?;
        for key in permit_keys(service, &self.parts.host, max_permits) {
            let value = self.parts.host.as_str().to_owned().into();
            if self.parts.kv.acquire(&key, value, &session).await? {
                self.permit = Some(key);
                return Ok(());
            }
        }
        bail!("all permits of service {service} are taken")
    }

    /// Releases the permit, if one is held. If that fails, it is tried again, or the permit expires
    /// with the session.
    pub(super) async fn release_permit(&mut self) {
        let Some(key) = self.permit.take() else {
            return;
        };
        let Ok(session) = self.authority.session().await else {
            return;
        };
        if let Err(error) = self.parts.kv.release(&key, &session).await {
            warn!("permit {key} could not be released: {error}");
            self.permit = Some(key);
        }
    }
}

fn time_left(grant: OrderGrant) -> Duration {
    grant.deadline.since(clock::now())
}
