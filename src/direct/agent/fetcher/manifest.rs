//! Where the manifest of a version is read.

use super::{PieceFetcher, place_of};
use crate::clock;
use crate::direct::agent::state::WantedModel;
use crate::direct::presence::PresenceRecord;
use buckthornwharf_core::direct::LoadedModel;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::{DistributionPlan, PlanHost, VersionManifest};
use buckthornwharf_platform::OriginClient;
use log::warn;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// Pause before sources of a manifest are asked again.
const MANIFEST_PAUSE: Duration = Duration::from_millis(40);
/// Time after its declaration in which a manifest is on its way from agent to agent; later each reads
/// it from the origin itself.
const SPREAD_TIME: Duration = Duration::from_millis(600);
/// Agents that are asked for a manifest before the origin.
const MANIFEST_PEERS: usize = 3;
/// Time after its declaration in which a version is taken to be nowhere but at the origin.
const FRESH_TIME: Duration = Duration::from_secs(3);

/// A manifest, and whether agents of the own region hold the whole version already.
pub(super) struct FoundManifest {
    pub manifest: Arc<VersionManifest>,
    pub settled: bool,
}

impl PieceFetcher {
    /// The manifest of `wanted`, from another agent or from the origin; asked for until it is there.
    pub(super) async fn manifest(&self, wanted: &WantedModel) -> FoundManifest {
        let version = &wanted.version;
        loop {
            let age = wanted.declared_at.map(|declared| clock::now().since(declared));
            let fresh = age.is_some_and(|age| age < FRESH_TIME);
            let near = if fresh { None } else { self.ask_near(version).await };
            let settled = near.is_some();
            if let Some(manifest) = self.known_manifest(version, near).await {
                return FoundManifest { manifest, settled };
            }
            let is_spread = age.is_none_or(|age| age > SPREAD_TIME);
            if (is_spread || self.reads_manifest_first(version))
                && let Some(manifest) = self.origin_manifest(version).await
            {
                return FoundManifest { manifest: Arc::new(manifest), settled };
            }
            for address in self.manifest_sources(version) {
                if let Ok(manifest) = self.peers.manifest(address, version).await {
                    return FoundManifest { manifest: Arc::new(manifest), settled };
                }
            }
            actix_rt::time::sleep(MANIFEST_PAUSE).await;
        }
    }

    async fn known_manifest(
        &self,
        version: &LoadedModel,
        near: Option<SocketAddr>,
    ) -> Option<Arc<VersionManifest>> {
        let staged = self.state.stage.staged(version).and_then(|staged| staged.manifest);
        match (staged, near) {
            (None, Some(address)) => self.peers.manifest(address, version).await.ok().map(Arc::new),
            (staged, _) => staged,
        }
    }

    async fn origin_manifest(&self, version: &LoadedModel) -> Option<VersionManifest> {
        let origin = self.state.origin()?;
        match OriginClient::new(origin.address).manifest(version).await {
            Ok(manifest) => Some(manifest),
            Err(error) => {
                warn!("event=no_manifest reason=\"{error}\"");
                None
            }
        }
    }

    /// Whether no other agent is to read the manifest before this one.
    fn reads_manifest_first(&self, version: &LoadedModel) -> bool {
        self.manifest_sources(version).is_empty()
    }

    /// The agents that are asked for a manifest before the origin, in order.
    fn manifest_sources(&self, version: &LoadedModel) -> Vec<SocketAddr> {
        let name = format!("{}/{}", version.model, version.version);
        let digest = VersionDigest::from_bytes(*blake3::hash(name.as_bytes()).as_bytes());
        let agents = self.state.agents();
        let hosts: Vec<PlanHost> = agents.iter().map(place_of).collect();
        let own = place_of(&PresenceRecord::of(&self.state.settings));
        let sources = DistributionPlan::urgent_manifest_sources(&digest, &own, &hosts);
        let address = |host: &HostName| agents.iter().find(|agent| agent.host == *host);
        sources.iter().filter_map(|host| Some(address(host)?.address)).collect()
    }

    /// An agent of the own region that holds the whole version.
    async fn ask_near(&self, version: &LoadedModel) -> Option<SocketAddr> {
        let region = self.state.settings.region();
        for agent in self.others(|agent| agent.region == region) {
            let held = self.peers.held(agent.address, version).await;
            if held.is_ok_and(|held| held.is_whole()) {
                return Some(agent.address);
            }
        }
        None
    }

    fn others(&self, fits: impl Fn(&PresenceRecord) -> bool) -> Vec<PresenceRecord> {
        let own = &self.state.settings.host;
        let mut others = self.state.agents();
        others.retain(|agent| agent.host != *own && fits(agent));
        others.shuffle(&mut rand::rng());
        others.truncate(MANIFEST_PEERS);
        others
    }
}
