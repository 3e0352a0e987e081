//! Fetches the chunks of a version from the origin and other agents into the engine's stage.

mod doubt;
mod manifest;
mod run;

use super::peers::PeerClient;
use super::stage::StagedVersion;
use super::state::{AgentState, WantedModel};
use crate::clock;
use crate::direct::presence::PresenceRecord;
use buckthornwharf_core::direct::LoadedModel;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::{
    ChunkSet, CrossRegionMode, DistributionPlan, FetchLimits, HashKind, PlanHost, VersionManifest,
};
use log::{info, warn};
use manifest::FoundManifest;
use run::{ChunkDestination, FetchEnd, FetchRun};
use std::rc::Rc;

/// Rate limit from one region to another, as a multiple of the rate of a host's link.
const REGION_PAIR_LINKS: u64 = 2;
/// Time at the start of a fetch during which the origin is not read, if an agent of the same region
/// holds the whole version.
const REGION_COPY_ORIGIN_DELAY: Duration = Duration::from_secs(3);

/// The manifest of a version whose chunks are all staged.
#[derive(Debug, Clone)]
pub struct StagedManifest {
    /// The manifest.
    pub manifest: Arc<VersionManifest>,
}

/// Fetches chunks for an agent.
pub struct ChunkFetcher {
    state: Rc<AgentState>,
    peers: PeerClient,
}

impl ChunkFetcher {
    /// Creates a fetcher for the agent with this state.
    pub fn new(state: Rc<AgentState>) -> Self {
        Self { state, peers: PeerClient::default() }
    }

    /// Fetches and verifies all chunks of `wanted` into memory while the engine's stage holds another
    /// version. The future may be dropped at any time; chunks fetched so far are kept.
    pub async fn park(&self, wanted: &WantedModel) {
        let version = &wanted.version;
        let mut found = self.manifest(wanted).await;
        let mut has_waited = false;
        loop {
            self.state.stage.park(version, &found.manifest);
            let held = self.state.stage.staged(version).map(|parked| parked.held);
            let held = held.unwrap_or_else(|| ChunkSet::new(found.manifest.chunks.len()));
            if !std::mem::replace(&mut has_waited, true) {
                self.state.wait_all_agents().await;
            }
            info!(
                "event=parking_started version={} held={} age_ms={}",
                version.version,
                held.count(),
                wanted.age_ms()
            );
            let destination = ChunkDestination::Memory;
            let mut run = FetchRun::new(self, wanted, found.clone(), held, destination);
            match run.finish().await {
                FetchEnd::Complete => {
                    info!(
                        "event=parking_ended version={} took_ms={} age_ms={}",
                        version.version,
                        clock::now().since(run.started).as_millis(),
                        wanted.age_ms()
                    );
                    return;
                }
                FetchEnd::OtherManifest(manifest) => found.manifest = manifest,
            }
        }
    }

    /// Moves the chunks of `version` that are parked in memory to the engine's stage.
    async fn stage_parked(&self, version: &LoadedModel) {
        let Some(parked) = self.state.stage.take_parked(version) else {
            return;
        };
        // Other agents may request chunks of this version while they are being staged.
        self.state.stage.set_staged(StagedVersion {
            version: version.clone(),
            manifest: Some(parked.manifest.clone()),
            held: ChunkSet::new(parked.manifest.chunks.len()),
        });
        for (chunk, bytes) in parked.chunks.iter() {
            match self.state.engine.stage_chunk(&version.model, *chunk, bytes.clone()).await {
                Ok(()) => self.state.stage.add_staged(version, *chunk),
                // The chunk is missing from the staged set, so it is fetched again.
                Err(error) => warn!("event=not_staged piece={chunk} reason=\"{error}\""),
            }
        }
    }

    /// Fetches, verifies and stages all chunks of `wanted`. The future may be dropped at any time.
    pub async fn stage(&self, wanted: &WantedModel) -> StagedManifest {
        let version = &wanted.version;
        self.stage_parked(version).await;
        let mut found = self.manifest(wanted).await;
        loop {
            let held = self.held_in_stage(wanted, &found).await;
            let destination = ChunkDestination::Stage;
            let mut run = FetchRun::new(self, wanted, found.clone(), held, destination);
            match run.finish().await {
                FetchEnd::Complete => {
                    info!(
                        "event=fetch_ended version={} took_ms={} age_ms={}",
                        version.version,
                        clock::now().since(run.started).as_millis(),
                        wanted.age_ms()
                    );
                    return StagedManifest { manifest: found.manifest };
                }
                FetchEnd::OtherManifest(manifest) => found.manifest = manifest,
            }
        }
    }

    /// Records `wanted` as the version in the stage, and returns which of its chunks are there.
    async fn held_in_stage(&self, wanted: &WantedModel, found: &FoundManifest) -> ChunkSet {
        let (version, manifest) = (&wanted.version, &found.manifest);
        let manifest_age_ms = wanted.age_ms();
        // All is verified again before the load, so the stage is read here only if its content is unknown.
        let held = match self.state.stage.recorded_chunks(version, manifest) {
            Some(held) => held,
            None => self.verified_chunks(version, manifest).await,
        };
        info!(
            "event=fetch_started version={} held={} settled={} manifest_age_ms={manifest_age_ms} \
             age_ms={}",
            version.version,
            held.count(),
            found.region_has_copy,
            wanted.age_ms()
        );
        self.state.stage.set_staged(StagedVersion {
            version: version.clone(),
            manifest: Some(manifest.clone()),
            held: held.clone(),
        });
        if !held.is_full() {
            self.state.wait_all_agents().await;
        }
        held
    }

    /// Reads what is in the engine's stage, unless that is known, so that it does not have to be read when
    /// a version is declared.
    pub async fn read_stage(&self) {
        let Some(spec) = self.state.engine_spec() else {
            return;
        };
        for model in &spec.models {
            if self.state.stage.is_known(model) {
                continue;
            }
            let Ok(staged) = self.state.engine.staged_chunks(model).await else {
                continue;
            };
            let count = spec.chunks as usize;
            let mut hashes = vec![None; count];
            for chunk in staged.into_iter().filter(|chunk| *chunk < count) {
                let max_bytes = spec.chunk_bytes as usize;
                let read = self.state.engine.staged_chunk(model, chunk, max_bytes).await;
                hashes[chunk] = read.ok().flatten().map(|bytes| HashKind::Sha256.hash(&bytes));
            }
            self.state.stage.set_found(model, hashes);
        }
    }

    /// Reads back the staged chunks and returns those whose hash matches `manifest`.
    pub async fn verified_chunks(
        &self,
        version: &LoadedModel,
        manifest: &VersionManifest,
    ) -> ChunkSet {
        let count = manifest.chunks.len();
        let mut held = ChunkSet::new(count);
        let staged = self.state.engine.staged_chunks(&version.model).await;
        let staged = staged.unwrap_or_else(|error| {
            warn!("event=stage_unread version={} reason=\"{error}\"", version.version);
            Vec::new()
        });
        for chunk in staged.into_iter().filter(|chunk| *chunk < count) {
            let max_bytes = manifest.chunk_len(chunk) as usize;
            let read = self.state.engine.staged_chunk(&version.model, chunk, max_bytes).await;
            match read {
                Ok(Some(bytes)) if manifest.chunk_matches(chunk, &bytes) => {
                    held.insert(chunk);
                }
                Ok(_) => {}
                Err(error) => warn!("event=stage_unread piece={chunk} reason=\"{error}\""),
            }
        }
        held
    }

    fn origin_region(&self) -> RegionName {
        let settings = &self.state.settings;
        let origin = self.state.origin().map(|origin| settings.region_of(&origin.site));
        origin.unwrap_or_else(|| settings.region())
    }

    fn plan(&self, manifest: &VersionManifest, region_has_copy: bool) -> Arc<DistributionPlan> {
        let region = self.state.settings.region();
        let agents = self.state.agents();
        let is_eligible = |agent: &&PresenceRecord| !region_has_copy || agent.region == region;
        let hosts: Vec<PlanHost> = agents.iter().filter(is_eligible).map(plan_host).collect();
        let plan = DistributionPlan::new(manifest, hosts, &self.origin_region());
        Arc::new(plan.with_cross_region_mode(CrossRegionMode::Owners))
    }

    fn limits(&self, region_has_copy: bool) -> FetchLimits {
        let host = self.state.agent_settings.link_bytes_per_second() as u64;
        let origin = self.state.origin().map_or(host, |origin| origin.bytes_per_second);
        let mut limits = FetchLimits::new(origin, host, host * REGION_PAIR_LINKS);
        if region_has_copy {
            limits.origin_delay = REGION_COPY_ORIGIN_DELAY;
        }
        limits.time_scale_percent = FetchLimits::URGENT_TIME_SCALE_PERCENT;
        limits.max_peer_fetches = FetchLimits::URGENT_MAX_PEER_FETCHES;
        limits.is_urgent = true;
        limits
    }
}

fn plan_host(agent: &PresenceRecord) -> PlanHost {
    PlanHost { name: agent.host.clone(), region: agent.region.clone() }
}
