//! Keeps the target at the wanted version and the gate at what the target confirms.

use super::KeeperParts;
use super::chunk_store::ChunkStore;
use super::fetcher::VersionFetcher;
use crate::platform::engine::{EngineClient, LoadBody, OrderAnswer};
use crate::platform::store::StoreClient;
use crate::settings::AgentSettings;
use crate::shared::{ConfigReceiver, GateControl, GatePosition};
use anyhow::{Context, Result, ensure};
use buckthornwharf_core::config::TargetKind;
use buckthornwharf_core::prelude::*;
use log::{info, warn};
use tokio::sync::watch;

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs on the control thread of an agent.
pub struct WeightKeeper {
    settings: AgentSettings,
    config: ConfigReceiver,
    gate: GateControl,
    serving: watch::Sender<Option<VersionDigest>>,
    store: ChunkStore,
    engine: EngineClient,
    wanted: watch::Sender<Option<VersionDigest>>,
    held: watch::Receiver<Option<VersionDigest>>,
}

/// What the configuration wants of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TargetWish {
    Nothing,
    Plain,
    Version(VersionDigest),
}

impl WeightKeeper {
    /// A keeper, with its fetcher already at work.
    ///
    /// # Panics
    ///
    /// If the settings are not those of an agent.
    pub fn new(
        parts: KeeperParts,
        serving: watch::Sender<Option<VersionDigest>>,
        store: ChunkStore,
    ) -> Self {
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
        let client = awc::Client::builder().connector(connector).finish();
        let settings = parts.settings.agent.expect("an agent's settings");
        let origin = StoreClient::new(parts.settings.platform.store, client.clone());
        let engine = EngineClient::new(settings.target, client);
        let (wanted, wanted_receiver) = watch::channel(None);
        let (held_sender, held) = watch::channel(None);
        let fetcher = VersionFetcher::new(origin, store.clone(), wanted_receiver, held_sender);
        actix_rt::spawn(fetcher.run());
        Self {
            settings,
            config: parts.config,
            gate: parts.gate,
            serving,
            store,
            engine,
            wanted,
            held,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            if let Err(error) = self.step().await {
                warn!("target {}: {error:#}", self.settings.target);
            }
            tokio::select! {
                changed = self.config.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                _ = self.held.changed() => {}
                () = actix_rt::time::sleep(POLL_INTERVAL) => {}
            }
        }
    }

    fn wish(&mut self) -> TargetWish {
        let Some(config) = self.config.borrow_and_update().clone() else {
            return TargetWish::Nothing;
        };
        let Some(service) = config.document.services.get(&self.settings.service) else {
            return TargetWish::Nothing;
        };
        if service.kind == TargetKind::Plain {
            return TargetWish::Plain;
        }
        match config.document.wanted_digest(&self.settings.service) {
            Some(digest) => TargetWish::Version(digest),
            None => TargetWish::Nothing,
        }
    }

    async fn step(&mut self) -> Result<()> {
        match self.wish() {
            TargetWish::Nothing => {
                self.close();
                Ok(())
            }
            TargetWish::Plain => {
                self.place(GatePosition::OpenPlain);
                Ok(())
            }
            TargetWish::Version(wanted) => self.step_engine(wanted).await,
        }
    }

    async fn step_engine(&mut self, wanted: VersionDigest) -> Result<()> {
        self.want(wanted);
        let loaded = match self.engine.models().await {
            Ok(loaded) => loaded,
            Err(error) => {
                self.close();
                return Err(error);
            }
        };
        if loaded.contains(&wanted) {
            self.open(wanted);
            return self.retire(&loaded, wanted).await;
        }
        // Copied out first: closing writes to the channel that the borrow would lock.
        let serving = *self.serving.borrow();
        if !serving.is_some_and(|current| loaded.contains(&current)) {
            self.close();
        }
        if *self.held.borrow_and_update() == Some(wanted) {
            self.swap(&loaded, wanted).await?;
        }
        Ok(())
    }

    /// Brings the wanted version, which is held, into the target.
    async fn swap(&mut self, loaded: &[VersionDigest], wanted: VersionDigest) -> Result<()> {
        let full = loaded.len() >= self.settings.target_holds as usize;
        if full {
            self.close();
            self.drained(None).await;
            for digest in loaded {
                self.unload(digest).await?;
            }
        }
        self.load(wanted).await?;
        let loaded = self.engine.models().await?;
        ensure!(loaded.contains(&wanted), "the target does not confirm version {wanted}");
        self.open(wanted);
        info!("version {wanted} is served");
        Ok(())
    }

    /// Unloads what is no longer wanted once no request runs under it.
    async fn retire(&mut self, loaded: &[VersionDigest], wanted: VersionDigest) -> Result<()> {
        for digest in loaded.iter().filter(|digest| **digest != wanted) {
            if !self.is_drained(Some(digest)) {
                continue;
            }
            self.unload(digest).await?;
        }
        Ok(())
    }

    async fn load(&self, digest: VersionDigest) -> Result<()> {
        let manifest = self.store.manifest(&digest).context("the manifest is not held")?;
        let chunks = self.store.whole(&manifest).context("the version is not held whole")?;
        let body = LoadBody {
            digest,
            total_bytes: manifest.total_bytes,
            chunk_bytes: manifest.chunk_bytes,
            chunks,
        };
        let answer = self.engine.load(body, 1, ORDER_TIMEOUT).await?;
        ensure!(answer == OrderAnswer::Done, "the target refuses to load {digest}: {answer:?}");
        Ok(())
    }

    async fn unload(&self, digest: &VersionDigest) -> Result<()> {
        let answer = self.engine.unload(digest, 1, ORDER_TIMEOUT).await?;
        ensure!(answer == OrderAnswer::Done, "the target refuses to unload {digest}: {answer:?}");
        info!("version {digest} is unloaded");
        Ok(())
    }

    /// Whether the traffic side obeys the gate and runs nothing under `digest`, or nothing at all.
    fn is_drained(&self, digest: Option<&VersionDigest>) -> bool {
        let load = self.gate.in_flight.borrow();
        if load.position != *self.gate.position.borrow() {
            return false;
        }
        match digest {
            Some(digest) => load.engine.get(digest).is_none_or(|count| *count == 0),
            None => load.plain == 0 && load.engine.values().all(|count| *count == 0),
        }
    }

    async fn drained(&mut self, digest: Option<&VersionDigest>) {
        while !self.is_drained(digest) {
            if self.gate.in_flight.changed().await.is_err() {
                return;
            }
        }
    }

    fn want(&self, digest: VersionDigest) {
        self.wanted.send_if_modified(|wanted| {
            let changed = *wanted != Some(digest);
            *wanted = Some(digest);
            changed
        });
    }

    fn open(&self, digest: VersionDigest) {
        self.place(GatePosition::OpenEngine(digest));
        self.announce(Some(digest));
    }

    fn close(&self) {
        self.announce(None);
        self.place(GatePosition::Closed);
    }

    fn place(&self, position: GatePosition) {
        self.gate.position.send_if_modified(|current| {
            let changed = *current != position;
            *current = position;
            changed
        });
    }

    fn announce(&self, digest: Option<VersionDigest>) {
        self.serving.send_if_modified(|current| {
            let changed = *current != digest;
            *current = digest;
            changed
        });
    }
}
