//! What an agent holds of versions: in the engine's stage, and in memory.

use buckthornwharf_core::direct::LoadedModel;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::{ChunkSet, VersionManifest};
use bytes::Bytes;
use std::cell::RefCell;

/// What is staged in the engine of one version.
#[derive(Debug, Clone)]
pub struct StagedVersion {
    /// The version.
    pub version: LoadedModel,
    /// Its manifest, if the agent had a use for it.
    pub manifest: Option<Arc<VersionManifest>>,
    /// The pieces that are staged.
    pub held: ChunkSet,
}

/// Verified pieces of a version that are kept in memory while the engine's stage still holds an
/// older one, which has yet to be loaded from there.
#[derive(Debug)]
pub struct ParkedVersion {
    /// The version.
    pub version: LoadedModel,
    /// Its manifest.
    pub manifest: Arc<VersionManifest>,
    /// The pieces, sorted by their place in the manifest.
    pub pieces: SortedTable<usize, Bytes>,
}

impl ParkedVersion {
    /// The pieces that are kept.
    pub fn held(&self) -> ChunkSet {
        let mut held = ChunkSet::new(self.manifest.chunks.len());
        for (piece, _) in self.pieces.iter() {
            held.insert(*piece);
        }
        held
    }
}

/// The pieces that an agent holds.
#[derive(Debug, Default)]
pub struct VersionStage {
    staged: RefCell<SortedTable<ModelName, StagedVersion>>,
    parked: RefCell<Option<ParkedVersion>>,
}

impl VersionStage {
    /// What is staged of the model of `version`, if it is that version, or kept in memory of it.
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

    /// Begins to keep pieces of `version` in memory; those that are kept of it already stay.
    pub fn park(&self, version: &LoadedModel, manifest: &Arc<VersionManifest>) {
        let mut parked = self.parked.borrow_mut();
        if parked.as_ref().is_none_or(|parked| parked.version != *version) {
            *parked = Some(ParkedVersion {
                version: version.clone(),
                manifest: manifest.clone(),
                pieces: SortedTable::new(),
            });
        }
    }

    /// Keeps a piece of `version` in memory.
    pub fn add_parked(&self, version: &LoadedModel, piece: usize, bytes: Bytes) {
        if let Some(parked) = self.parked.borrow_mut().as_mut()
            && parked.version == *version
        {
            parked.pieces.insert(piece, bytes);
        }
    }

    /// A piece of `version` that is kept in memory.
    pub fn parked_piece(&self, version: &LoadedModel, piece: usize) -> Option<Bytes> {
        let parked = self.parked.borrow();
        let parked = parked.as_ref().filter(|parked| parked.version == *version)?;
        parked.pieces.get(&piece).cloned()
    }

    /// Ends the keeping in memory and returns what was kept of `version`.
    pub fn take_parked(&self, version: &LoadedModel) -> Option<ParkedVersion> {
        self.parked.borrow_mut().take().filter(|parked| parked.version == *version)
    }

    /// Takes in what is staged.
    pub fn set_staged(&self, staged: StagedVersion) {
        self.staged.borrow_mut().insert(staged.version.model.clone(), staged);
    }

    /// Notes that a piece of `version` is staged.
    pub fn add_staged(&self, version: &LoadedModel, piece: usize) {
        if let Some(staged) = self.staged.borrow_mut().get_mut(&version.model)
            && staged.version == *version
        {
            staged.held.insert(piece);
        }
    }
}
