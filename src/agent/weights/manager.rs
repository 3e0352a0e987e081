//! Brings the target to the wanted version, and keeps the gate open for the version that the target
//! reports as loaded.

mod gate;
mod swap;

use super::authority::OrderAuthority;
use super::chunk_store::ChunkStore;
use super::service::ChunkService;
use crate::platform::engine::EngineClient;
use crate::platform::kv::KvClient;
use crate::settings::AgentSettings;
use crate::shared::ConfigReceiver;
use anyhow::Result;
use buckthornwharf_core::config::TargetKind;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::ledger::TargetGate;
use buckthornwharf_core::weights::lifecycle::{HeldVersion, ServingVersion};
pub use gate::ServingGate;
use log::{debug, warn};
use tokio::sync::watch;

/// Interval at which the target is polled for its loaded versions.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Inputs of [`WeightManager`].
pub struct ManagerParts {
    /// The host's name.
    pub host: HostName,
    /// The settings of the agent.
    pub settings: AgentSettings,
    /// The active configuration.
    pub config: ConfigReceiver,
    /// The gate in front of the target.
    pub gate: ServingGate,
    /// The verified chunks and manifests.
    pub store: ChunkStore,
    /// Serves chunks to other agents.
    pub chunks: ChunkService,
    /// Client of the target.
    pub engine: EngineClient,
    /// Client of the key-value service.
    pub kv: KvClient,
    /// Publishes the version to fetch.
    pub wanted: watch::Sender<Option<VersionDigest>>,
    /// The version whose chunks are all held.
    pub held: watch::Receiver<Option<HeldVersion>>,
    /// Publishes the percentage of the target's slots that live requests take.
    pub live_load: watch::Sender<u8>,
}

/// Keeps one target at the version that the configuration wants. Runs on the agent's control
/// thread.
pub struct WeightManager {
    parts: ManagerParts,
    authority: OrderAuthority,
    serving: Option<ServingVersion>,
    permit: Option<String>,
}

/// The state that the configuration wants the target to be in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DesiredState {
    Nothing,
    Plain,
    Version(VersionDigest),
}

impl WeightManager {
    /// A manager that has sent no order yet.
    pub fn new(parts: ManagerParts) -> Self {
        let settings = &parts.settings;
        let checks_fence = settings.target_checks_fence;
        let authority = OrderAuthority::new(parts.kv.clone(), settings.target, checks_fence);
        Self { parts, authority, serving: None, permit: None }
    }

    /// Runs until the configuration channel is closed, when the process ends.
    pub async fn run(mut self) {
        loop {
            if let Err(error) = self.step().await {
                warn!(
                    "target {} could not be checked or updated, will retry: {error:#}",
                    self.parts.settings.target
                );
            }
            self.publish_live_load();
            tokio::select! {
                changed = self.parts.config.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                _ = self.parts.held.changed() => {}
                () = actix_rt::time::sleep(POLL_INTERVAL) => {}
            }
        }
    }

    fn desired_state(&mut self) -> DesiredState {
        let Some(config) = self.parts.config.borrow_and_update().clone() else {
            return DesiredState::Nothing;
        };
        let service = &self.parts.settings.service;
        let kind = config.document.services.get(service).map(|service| service.kind);
        if kind == Some(TargetKind::Plain) {
            return DesiredState::Plain;
        }
        match config.document.wanted_digest(service) {
            Some(digest) => DesiredState::Version(digest),
            None => DesiredState::Nothing,
        }
    }

    async fn step(&mut self) -> Result<()> {
        match self.desired_state() {
            DesiredState::Nothing => {
                self.serving = None;
                self.parts.gate.close();
                Ok(())
            }
            DesiredState::Plain => {
                self.parts.gate.set_gate(TargetGate::Plain);
                Ok(())
            }
            DesiredState::Version(wanted) => self.step_engine(wanted).await,
        }
    }

    async fn step_engine(&mut self, wanted: VersionDigest) -> Result<()> {
        self.set_wanted(wanted);
        let loaded = match self.parts.engine.models().await {
            Ok(loaded) => loaded,
            Err(error) => {
                self.serving = None;
                self.parts.gate.close();
                return Err(error);
            }
        };
        self.update_gate(wanted, &loaded);
        if let Err(error) = self.authority.maintain().await {
            debug!("could not acquire or renew the right to send orders, will retry: {error:#}");
        }
        if loaded.contains(&wanted) || self.authority.is_superseded() {
            self.release_permit().await;
        }
        if self.authority.is_superseded() {
            return Ok(());
        }
        if loaded.contains(&wanted) {
            return self.unload_drained(&loaded, wanted).await;
        }
        let held = self.parts.held.borrow_and_update().clone();
        match held {
            Some(held) if held.digest() == wanted => self.swap(held, &loaded).await,
            _ => Ok(()),
        }
    }

    /// Opens the gate for a version that the target lists: the wanted one, else the one served
    /// before, else any. Closes the gate if none is listed.
    fn update_gate(&mut self, wanted: VersionDigest, loaded: &[VersionDigest]) {
        let before = self.serving.take().filter(|serving| serving.is_confirmed(loaded));
        // After a restart the agent does not know which version was served: take any loaded one.
        let any_version = || loaded.iter().find_map(|digest| ServingVersion::find(*digest, loaded));
        self.serving = ServingVersion::find(wanted, loaded).or(before).or_else(any_version);
        match &self.serving {
            Some(serving) => self.parts.gate.open(serving),
            None => self.parts.gate.close(),
        }
    }

    fn set_wanted(&self, digest: VersionDigest) {
        self.parts.wanted.send_if_modified(|wanted| {
            let changed = *wanted != Some(digest);
            *wanted = Some(digest);
            changed
        });
    }

    fn publish_live_load(&self) {
        let percent = self.parts.gate.load_percent(self.parts.settings.target_slots);
        self.parts.chunks.set_live_load(percent);
        self.parts.live_load.send_if_modified(|published| {
            let changed = published.abs_diff(percent) >= 10;
            if changed {
                *published = percent;
            }
            changed
        });
    }
}
