//! The verified manifests and chunks that a host holds in memory.

use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::{ChunkSet, VersionManifest};
use bytes::Bytes;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// In-memory store of verified manifests and chunks. Cheap to clone; all clones share the content.
#[derive(Clone, Default)]
pub struct ChunkStore {
    inner: Arc<Mutex<StoreContent>>,
}

#[derive(Default)]
struct StoreContent {
    manifests: SortedTable<VersionDigest, Arc<VersionManifest>>,
    chunks: SortedTable<ChunkHash, Bytes>,
}

impl ChunkStore {
    fn lock(&self) -> MutexGuard<'_, StoreContent> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores a verified manifest.
    pub fn insert_manifest(&self, digest: VersionDigest, manifest: Arc<VersionManifest>) {
        self.lock().manifests.insert(digest, manifest);
    }

    /// Stores a verified chunk.
    pub fn insert_chunk(&self, hash: ChunkHash, bytes: Bytes) {
        self.lock().chunks.insert(hash, bytes);
    }

    /// The manifest of the version `digest`, if held.
    pub fn manifest(&self, digest: &VersionDigest) -> Option<Arc<VersionManifest>> {
        self.lock().manifests.get(digest).cloned()
    }

    /// The chunk with `hash`, if held.
    pub fn chunk(&self, hash: &ChunkHash) -> Option<Bytes> {
        self.lock().chunks.get(hash).cloned()
    }

    /// The held chunks of the version `digest`; `None` if its manifest is not held.
    pub fn held(&self, digest: &VersionDigest) -> Option<ChunkSet> {
        let content = self.lock();
        let manifest = content.manifests.get(digest)?;
        let mut held = ChunkSet::new(manifest.chunks.len());
        for (index, hash) in manifest.chunks.iter().enumerate() {
            if content.chunks.contains_key(hash) {
                held.insert(index);
            }
        }
        Some(held)
    }

    /// All chunks of `manifest` in order, without copying; `None` if one is missing.
    pub fn all_chunks(&self, manifest: &VersionManifest) -> Option<Vec<Bytes>> {
        let content = self.lock();
        manifest.chunks.iter().map(|hash| content.chunks.get(hash).cloned()).collect()
    }

    /// Drops all manifests except that of `digest`, and all chunks that it does not list.
    pub fn retain_version(&self, digest: &VersionDigest) {
        let mut content = self.lock();
        content.manifests.retain(|key, _| key == digest);
        let mut listed = match content.manifests.get(digest) {
            Some(manifest) => manifest.chunks.clone(),
            None => Vec::new(),
        };
        listed.sort_unstable();
        content.chunks.retain(|hash, _| listed.binary_search(hash).is_ok());
    }
}
