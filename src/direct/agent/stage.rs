//! Records which chunks of which versions the agent holds, in the engine's stage and in memory.

use buckthornwharf_core::direct::LoadedModel;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::{ChunkSet, VersionManifest};
use bytes::Bytes;
use std::cell::RefCell;

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
    parked: RefCell<Option<ParkedVersion>>,
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

    /// Starts to park chunks of `version` in memory. Parked chunks of another version are dropped; those
    /// of the same version stay.
    pub fn park(&self, version: &LoadedModel, manifest: &Arc<VersionManifest>) {
        let mut parked = self.parked.borrow_mut();
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
