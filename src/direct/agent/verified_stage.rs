//! Verification of the engine's stage, on which an order to load it relies for a short time.

use super::fetcher::{ChunkFetcher, StagedManifest};
use super::stage::StagedVersion;
use super::state::AgentState;
use crate::clock;
use buckthornwharf_core::direct::LoadedModel;
use buckthornwharf_core::prelude::*;
use buckthornwharf_platform::EngineReport;
use log::{info, warn};

/// Longest time from the start of a verification to the order that relies on it: staged chunks can turn corrupt
/// at any time. With the timeout of the order, it stays within three seconds.
const MAX_VERIFICATION_AGE: Duration = Duration::from_millis(1500);

/// A stage whose chunks were all intact when they were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VerifiedStage {
    /// When the first chunk was read, or earlier.
    started_at: MonoTime,
    /// Start time of the engine, in milliseconds since the Unix epoch; `None` if it was not known.
    engine_started_unix_ms: Option<u64>,
}

impl VerifiedStage {
    /// Reads all chunks of `version` back from the stage; `None` if some are missing or corrupt. Then only the
    /// intact ones stay recorded as staged, so that the others are fetched again.
    pub async fn verify(
        state: &AgentState,
        fetcher: &ChunkFetcher,
        version: &LoadedModel,
        staged: &StagedManifest,
    ) -> Option<Self> {
        let started_at = clock::now();
        let engine_started_unix_ms = state.report().map(|report| report.started_unix_ms);
        let held = fetcher.verified_chunks(version, &staged.manifest).await;
        info!(
            "event=stage_verified version={} sound={} took_ms={}",
            version.version,
            held.count(),
            clock::now().since(started_at).as_millis()
        );
        if held.is_full() {
            return Some(Self { started_at, engine_started_unix_ms });
        }
        warn!("event=stage_spoilt version={} sound={}", version.version, held.count());
        state.stage.set_staged(StagedVersion {
            version: version.clone(),
            manifest: Some(staged.manifest.clone()),
            held,
        });
        None
    }

    /// Returns the time since the verification started.
    pub fn age(&self) -> Duration {
        clock::now().since(self.started_at)
    }

    /// Returns whether an order may still rely on the verification.
    pub fn is_current(&self) -> bool {
        self.age() <= MAX_VERIFICATION_AGE
    }

    /// Returns whether the engine that sent `report` is the one whose stage was read, and has not been
    /// restarted since.
    pub fn is_of(&self, report: &EngineReport) -> bool {
        self.engine_started_unix_ms.is_none_or(|started| started == report.started_unix_ms)
    }
}
