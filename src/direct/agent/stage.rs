//! Records which chunks of which versions the agent holds, in the engine's stage and in memory.

use buckthornwharf_core::direct::LoadedModel;
use buckthornwharf_core::direct::version_choice::CopyTimes;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::{ChunkSet, HashKind, VersionManifest};
use bytes::Bytes;
use std::cell::RefCell;

/// Number of the newest versions of which the missing chunks are remembered.
const MAX_KNOWN_VERSIONS: u64 = 8;

/// The chunks of one version that are in the engine's stage.
#[derive(Debug, Clone)]
pub struct StagedVersion {
    /// The version.
    pub version: LoadedModel,
    /// Its manifest; `None` if the agent never needed it.
    pub manifest: Option<Arc<VersionManifest>>,
    /// Chunks that are staged.
    pub held: ChunkSet,
}

/// A version whose verified chunks are parked in memory, because the engine's stage still holds an
/// older version that has yet to be loaded from there.
#[derive(Debug)]
pub struct ParkedVersion {
    /// The version.
    pub version: LoadedModel,
    /// Its manifest.
    pub manifest: Arc<VersionManifest>,
    /// Bytes of the chunks by their index in the manifest.
    pub chunks: SortedTable<usize, Bytes>,
}

impl ParkedVersion {
    /// Returns the chunks that are parked.
    pub fn held(&self) -> ChunkSet {
        let mut held = ChunkSet::new(self.manifest.chunks.len());
        for (chunk, _) in self.chunks.iter() {
            held.insert(*chunk);
        }
        held
    }
}

/// The chunks that an agent holds.
#[derive(Debug, Default)]
pub struct VersionStage {
    staged: RefCell<SortedTable<ModelName, StagedVersion>>,
    /// SHA-256 of the chunks that were in the engine's stage when the agent first read it.
    found: RefCell<SortedTable<ModelName, Vec<Option<ChunkHash>>>>,
    parked: RefCell<Option<ParkedVersion>>,
    /// By version: number of chunks that no host of the region is known to hold.
    missing_in_region: RefCell<SortedTable<LoadedModel, usize>>,
}

impl VersionStage {
    /// Returns the chunks of `version` that are staged or, if the stage does not hold this version,
    /// parked.
    pub fn staged(&self, version: &LoadedModel) -> Option<StagedVersion> {
        let staged = self.staged.borrow();
        let staged = staged.get(&version.model).filter(|staged| staged.version == *version);
        if staged.is_some() {
            return staged.cloned();
        }
        let parked = self.parked.borrow();
        let parked = parked.as_ref().filter(|parked| parked.version == *version)?;
        Some(StagedVersion {
            version: version.clone(),
            manifest: Some(parked.manifest.clone()),
            held: parked.held(),
        })
    }

    /// Records how many chunks of `version` no host of the region is known to hold.
    pub fn set_missing_in_region(&self, version: &LoadedModel, missing: usize) {
        let mut known = self.missing_in_region.borrow_mut();
        known.retain(|known, _| known.version + MAX_KNOWN_VERSIONS > version.version);
        known.insert(version.clone(), missing);
    }

    /// Returns how many chunks of `version` no host of the region is known to hold; `None` if the agent
    /// has not started to fetch it.
    pub fn missing_in_region(&self, version: &LoadedModel) -> Option<usize> {
        self.missing_in_region.borrow().get(version).copied()
    }

    /// Returns how long it takes until `version` is held, if nothing fails.
    pub fn time_left(&self, version: &LoadedModel, times: CopyTimes) -> Duration {
        let staged = self.staged(version);
        let total = staged.as_ref().map_or(1, |staged| staged.held.len().max(1)) as u32;
        let missing = staged.map_or(1, |staged| total - staged.held.count() as u32);
        let outside = self.missing_in_region(version).unwrap_or(0) as u32;
        (times.link * missing / total).max(times.origin * outside / total)
    }

    /// Returns the version of `model` that is in the engine's stage, or that is being staged.
    pub fn staged_version(&self, model: &ModelName) -> Option<u64> {
        self.staged.borrow().get(model).map(|staged| staged.version.version)
    }

    /// Starts to park chunks of `version` in memory. Parked chunks of another version are dropped; those
    /// of the same version that match `manifest` stay.
    pub fn park(&self, version: &LoadedModel, manifest: &Arc<VersionManifest>) {
        let mut parked = self.parked.borrow_mut();
        if let Some(parked) = parked.as_mut()
            && parked.version == *version
            && parked.manifest != *manifest
        {
            parked.manifest = manifest.clone();
            parked.chunks.retain(|chunk, bytes| manifest.chunk_matches(*chunk, bytes));
        }
        if parked.as_ref().is_none_or(|parked| parked.version != *version) {
            *parked = Some(ParkedVersion {
                version: version.clone(),
                manifest: manifest.clone(),
                chunks: SortedTable::new(),
            });
        }
    }

    /// Parks a chunk, unless another version than `version` is parked.
    pub fn add_parked(&self, version: &LoadedModel, chunk: usize, bytes: Bytes) {
        if let Some(parked) = self.parked.borrow_mut().as_mut()
            && parked.version == *version
        {
            parked.chunks.insert(chunk, bytes);
        }
    }

    /// Returns a parked chunk of `version`.
    pub fn parked_chunk(&self, version: &LoadedModel, chunk: usize) -> Option<Bytes> {
        let parked = self.parked.borrow();
        let parked = parked.as_ref().filter(|parked| parked.version == *version)?;
        parked.chunks.get(&chunk).cloned()
    }

    /// Removes the parked version and returns it if it is `version`.
    pub fn take_parked(&self, version: &LoadedModel) -> Option<ParkedVersion> {
        self.parked.borrow_mut().take().filter(|parked| parked.version == *version)
    }

    /// Forgets which chunks are in the engine's stage.
    pub fn forget_staged(&self) {
        *self.staged.borrow_mut() = SortedTable::new();
        *self.found.borrow_mut() = SortedTable::new();
    }

    /// Returns whether the agent has staged chunks of `model`, or read those that it found in the stage.
    pub fn is_known(&self, model: &ModelName) -> bool {
        self.staged.borrow().contains_key(model) || self.found.borrow().contains_key(model)
    }

    /// Records the hashes of the chunks that were found in the engine's stage.
    pub fn set_found(&self, model: &ModelName, hashes: Vec<Option<ChunkHash>>) {
        self.found.borrow_mut().insert(model.clone(), hashes);
    }

    /// Returns the chunks of a version with `manifest` that are in the engine's stage, by what was staged
    /// or found there; `None` if that is not known.
    pub fn recorded_chunks(
        &self,
        version: &LoadedModel,
        manifest: &VersionManifest,
    ) -> Option<ChunkSet> {
        let staged = self.staged.borrow();
        let found = self.found.borrow();
        let record = staged.get(&version.model);
        let record = record.and_then(|staged| Some((staged, staged.manifest.as_ref()?)));
        let found = found.get(&version.model).filter(|_| manifest.hash_kind == HashKind::Sha256);
        let hash = |chunk: usize| match (record, found) {
            (Some((staged, known)), _) => {
                known.chunks.get(chunk).filter(|_| staged.held.contains(chunk))
            }
            (None, found) => found?.get(chunk)?.as_ref(),
        };
        if record.is_none() && found.is_none() {
            return None;
        }
        let mut held = ChunkSet::new(manifest.chunks.len());
        for (chunk, expected) in manifest.chunks.iter().enumerate() {
            if hash(chunk) == Some(expected) {
                held.insert(chunk);
            }
        }
        Some(held)
    }

    /// Records that a staged chunk has turned out to be corrupt.
    pub fn remove_staged(&self, version: &LoadedModel, chunk: usize) {
        if let Some(staged) = self.staged.borrow_mut().get_mut(&version.model)
            && staged.version == *version
        {
            staged.held.remove(chunk);
        }
    }

    /// Replaces the record of the staged chunks of a model.
    pub fn set_staged(&self, staged: StagedVersion) {
        self.staged.borrow_mut().insert(staged.version.model.clone(), staged);
    }

    /// Records that a chunk is staged, unless the stage holds another version than `version`.
    pub fn add_staged(&self, version: &LoadedModel, chunk: usize) {
        if let Some(staged) = self.staged.borrow_mut().get_mut(&version.model)
            && staged.version == *version
        {
            staged.held.insert(chunk);
        }
    }
}
