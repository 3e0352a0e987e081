//! Brings the pieces of a version into the engine's stage.

mod manifest;
mod run;

use super::peers::PeerCalls;
use super::stage::StagedVersion;
use super::state::{AgentState, WantedModel};
use crate::clock;
use crate::direct::presence::PresenceRecord;
use buckthornwharf_core::direct::LoadedModel;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::{
    ChunkSet, CrossRegionMode, DistributionPlan, FetchLimits, PlanHost, VersionManifest,
};
use log::{info, warn};
use run::{FetchRun, PieceGoal};
use std::rc::Rc;

/// Hosts of a region whose links together carry what comes from another region.
const GATEWAY_LINKS: u64 = 2;
/// Time for which the origin is left alone while agents of the own region hold the version.
const SETTLED_ORIGIN_DELAY: Duration = Duration::from_secs(3);

/// A version whose pieces are all staged.
#[derive(Debug, Clone)]
pub struct StagedWhole {
    /// Its manifest.
    pub manifest: Arc<VersionManifest>,
}

/// Brings versions into the stage.
pub struct PieceFetcher {
    state: Rc<AgentState>,
    peers: PeerCalls,
}

impl PieceFetcher {
    /// A fetcher of the agent.
    pub fn new(state: Rc<AgentState>) -> Self {
        Self { state, peers: PeerCalls::default() }
    }

    /// Fetches all pieces of `wanted` into memory, verified, while the stage holds another version.
    /// May be dropped at any time; what was fetched stays.
    pub async fn park(&self, wanted: &WantedModel) {
        let version = &wanted.version;
        let found = self.manifest(wanted).await;
        self.state.stage.park(version, &found.manifest);
        let held = self.state.stage.staged(version).map(|parked| parked.held);
        let held = held.unwrap_or_else(|| ChunkSet::new(found.manifest.chunks.len()));
        info!("event=parking_started version={} held={}", version.version, held.count());
        let goal = PieceGoal::Memory;
        let mut run = FetchRun::new(self, version, found.manifest, held, found.settled, goal);
        run.finish().await;
        info!(
            "event=parking_ended version={} took_ms={}",
            version.version,
            clock::now().since(run.started).as_millis()
        );
    }

    /// Stages what was kept in memory of `version`.
    async fn stage_parked(&self, version: &LoadedModel) {
        let Some(parked) = self.state.stage.take_parked(version) else {
            return;
        };
        // Other agents may ask for these pieces meanwhile.
        self.state.stage.set_staged(StagedVersion {
            version: version.clone(),
            manifest: Some(parked.manifest.clone()),
            held: ChunkSet::new(parked.manifest.chunks.len()),
        });
        for (piece, bytes) in parked.pieces.iter() {
            match self.state.engine.stage_chunk(&version.model, *piece, bytes.clone()).await {
                Ok(()) => self.state.stage.add_staged(version, *piece),
                // It is fetched again.
                Err(error) => warn!("event=not_staged piece={piece} reason=\"{error}\""),
            }
        }
    }

    /// Stages all pieces of `wanted`, verified. May be dropped at any time.
    pub async fn stage(&self, wanted: &WantedModel) -> StagedWhole {
        let version = &wanted.version;
        self.stage_parked(version).await;
        let found = self.manifest(wanted).await;
        let manifest = found.manifest;
        let held = self.verified(version, &manifest).await;
        info!(
            "event=fetch_started version={} held={} settled={}",
            version.version,
            held.count(),
            found.settled
        );
        self.state.stage.set_staged(StagedVersion {
            version: version.clone(),
            manifest: Some(manifest.clone()),
            held: held.clone(),
        });
        let goal = PieceGoal::Stage;
        let mut run = FetchRun::new(self, version, manifest.clone(), held, found.settled, goal);
        run.finish().await;
        info!(
            "event=fetch_ended version={} took_ms={}",
            version.version,
            clock::now().since(run.started).as_millis()
        );
        StagedWhole { manifest }
    }

    /// The staged pieces that are those of `manifest`.
    pub async fn verified(&self, version: &LoadedModel, manifest: &VersionManifest) -> ChunkSet {
        let count = manifest.chunks.len();
        let mut held = ChunkSet::new(count);
        let staged = self.state.engine.staged_chunks(&version.model).await;
        let staged = staged.unwrap_or_else(|error| {
            warn!("event=stage_unread version={} reason=\"{error}\"", version.version);
            Vec::new()
        });
        for piece in staged.into_iter().filter(|piece| *piece < count) {
            let most_bytes = manifest.chunk_len(piece) as usize;
            let read = self.state.engine.staged_chunk(&version.model, piece, most_bytes).await;
            match read {
                Ok(Some(bytes)) if manifest.chunk_matches(piece, &bytes) => {
                    held.insert(piece);
                }
                Ok(_) => {}
                Err(error) => warn!("event=stage_unread piece={piece} reason=\"{error}\""),
            }
        }
        held
    }

    fn store_region(&self) -> RegionName {
        let settings = &self.state.settings;
        let origin = self.state.origin().map(|origin| settings.region_of(&origin.site));
        origin.unwrap_or_else(|| settings.region())
    }

    fn plan(&self, manifest: &VersionManifest, settled: bool) -> Arc<DistributionPlan> {
        let region = self.state.settings.region();
        let agents = self.state.agents();
        let near = |agent: &&PresenceRecord| !settled || agent.region == region;
        let hosts: Vec<PlanHost> = agents.iter().filter(near).map(place_of).collect();
        let plan = DistributionPlan::new(manifest, hosts, &self.store_region());
        Arc::new(plan.with_cross_region_mode(CrossRegionMode::Owners))
    }

    fn limits(&self, settled: bool) -> FetchLimits {
        let host = self.state.own.link_bytes_per_second() as u64;
        let origin = self.state.origin().map_or(host, |origin| origin.bytes_per_second);
        let mut limits = FetchLimits::new(origin, host, host * GATEWAY_LINKS);
        if settled {
            limits.origin_delay = SETTLED_ORIGIN_DELAY;
        }
        limits.time_scale_percent = FetchLimits::URGENT_TIME_SCALE_PERCENT;
        limits.max_peer_fetches = FetchLimits::URGENT_MAX_PEER_FETCHES;
        limits.is_urgent = true;
        limits
    }
}

fn place_of(agent: &PresenceRecord) -> PlanHost {
    PlanHost { name: agent.host.clone(), region: agent.region.clone() }
}
