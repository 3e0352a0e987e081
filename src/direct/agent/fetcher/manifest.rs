//! Finds the manifest of a version: in memory, at another agent, or at the origin.

use super::{ChunkFetcher, plan_host};
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

/// Delay before the sources of a manifest are tried again.
const MANIFEST_RETRY_DELAY: Duration = Duration::from_millis(40);
/// For this time after a declaration, manifests are relayed from agent to agent; after it, each agent
/// may read from the origin itself.
const MANIFEST_RELAY_TIME: Duration = Duration::from_millis(600);
/// Number of agents of the region that are asked whether they hold a whole version.
const MAX_PEERS_ASKED: usize = 3;
/// For this time after its declaration, a version is assumed to be whole only at the origin, so other
/// agents are not asked for it.
const ORIGIN_ONLY_TIME: Duration = Duration::from_secs(3);

/// A manifest, and whether an agent of the same region already holds the whole version.
#[derive(Debug, Clone)]
pub(super) struct FoundManifest {
    pub manifest: Arc<VersionManifest>,
    pub region_has_copy: bool,
}

impl ChunkFetcher {
    /// Returns the manifest of `wanted` from another agent or the origin, retrying until one has it.
    pub(super) async fn manifest(&self, wanted: &WantedModel) -> FoundManifest {
        let version = &wanted.version;
        loop {
            let age = wanted.declared_at.map(|declared| clock::now().since(declared));
            let is_at_origin_only = age.is_some_and(|age| age < ORIGIN_ONLY_TIME);
            let region_peer =
                if is_at_origin_only { None } else { self.find_region_peer(version).await };
            let region_has_copy = region_peer.is_some();
            if let Some(manifest) = self.known_manifest(version, region_peer).await {
                return FoundManifest { manifest, region_has_copy };
            }
            let is_relay_over = age.is_none_or(|age| age > MANIFEST_RELAY_TIME);
            if (is_relay_over || self.reads_from_origin_at_once(version))
                && let Some(manifest) = self.origin_manifest(version).await
            {
                return FoundManifest { manifest: Arc::new(manifest), region_has_copy };
            }
            for address in self.relay_sources(version) {
                if let Some(manifest) = self.peer_manifest(address, version).await {
                    return FoundManifest { manifest: Arc::new(manifest), region_has_copy };
                }
            }
            actix_rt::time::sleep(MANIFEST_RETRY_DELAY).await;
        }
    }

    async fn known_manifest(
        &self,
        version: &LoadedModel,
        region_peer: Option<SocketAddr>,
    ) -> Option<Arc<VersionManifest>> {
        let staged = self.state.stage.staged(version).and_then(|staged| staged.manifest);
        match (staged, region_peer) {
            (None, Some(address)) => self.peer_manifest(address, version).await.map(Arc::new),
            (staged, _) => staged,
        }
    }

    async fn peer_manifest(
        &self,
        address: SocketAddr,
        version: &LoadedModel,
    ) -> Option<VersionManifest> {
        let manifest = self.peers.manifest(address, version).await.ok()?;
        self.fits_engine(&manifest).then_some(manifest)
    }

    /// Returns whether a manifest has the number and the size of chunks that the configuration names, if it
    /// names them.
    pub(super) fn fits_engine(&self, manifest: &VersionManifest) -> bool {
        let Some(spec) = self.state.engine_spec() else {
            return true;
        };
        let has_count = spec.chunks == 0 || manifest.chunks.len() == spec.chunks as usize;
        let has_size = spec.chunk_bytes == 0 || manifest.chunk_bytes == spec.chunk_bytes;
        let fits = has_count && has_size;
        if !fits {
            warn!(
                "event=odd_manifest pieces={} piece_bytes={}",
                manifest.chunks.len(),
                manifest.chunk_bytes
            );
        }
        fits
    }

    async fn origin_manifest(&self, version: &LoadedModel) -> Option<VersionManifest> {
        let origin = self.state.origin()?;
        match OriginClient::new(origin.address).manifest(version).await {
            Ok(manifest) => self.fits_engine(&manifest).then_some(manifest),
            Err(error) => {
                warn!("event=no_manifest reason=\"{error}\"");
                None
            }
        }
    }

    /// Returns whether this agent is one of the few of its region that read the manifest from the origin
    /// at once.
    fn reads_from_origin_at_once(&self, version: &LoadedModel) -> bool {
        self.relay_sources(version).is_empty()
    }

    /// Returns the agents to ask for the manifest, in order; empty for the few that read it from the
    /// origin at once.
    fn relay_sources(&self, version: &LoadedModel) -> Vec<SocketAddr> {
        let name = format!("{}/{}", version.model, version.version);
        let digest = VersionDigest::from_bytes(*blake3::hash(name.as_bytes()).as_bytes());
        let agents = self.state.agents();
        let hosts: Vec<PlanHost> = agents.iter().map(plan_host).collect();
        let own_host = plan_host(&PresenceRecord::of(&self.state.settings));
        let sources = DistributionPlan::urgent_manifest_sources(&digest, &own_host, &hosts);
        let address = |host: &HostName| agents.iter().find(|agent| agent.host == *host);
        sources.iter().filter_map(|host| Some(address(host)?.address)).collect()
    }

    /// Returns an agent of the same region that holds the whole version, if one of a few random ones
    /// does.
    async fn find_region_peer(&self, version: &LoadedModel) -> Option<SocketAddr> {
        let region = self.state.settings.region();
        for agent in self.other_agents(|agent| agent.region == region) {
            let held = self.peers.held(agent.address, version).await;
            if held.is_ok_and(|held| held.is_whole()) {
                return Some(agent.address);
            }
        }
        None
    }

    fn other_agents(&self, is_match: impl Fn(&PresenceRecord) -> bool) -> Vec<PresenceRecord> {
        let own_host = &self.state.settings.host;
        let mut other_agents = self.state.agents();
        other_agents.retain(|agent| agent.host != *own_host && is_match(agent));
        other_agents.shuffle(&mut rand::rng());
        other_agents.truncate(MAX_PEERS_ASKED);
        other_agents
    }
}
