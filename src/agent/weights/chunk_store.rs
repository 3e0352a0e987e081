//! The chunks that a host holds, in memory, and their service to other agents.

use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::{ChunkSet, VersionManifest};
use bytes::Bytes;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Verified chunks and manifests; cheap to clone, all clones share the content.
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

    /// Keeps a manifest that was verified.
    pub fn insert_manifest(&self, digest: VersionDigest, manifest: Arc<VersionManifest>) {
        self.lock().manifests.insert(digest, manifest);
    }

    /// Keeps a chunk that was verified.
    pub fn insert_chunk(&self, hash: ChunkHash, bytes: Bytes) {
        self.lock().chunks.insert(hash, bytes);
    }

    /// The manifest of `digest`, if held.
    pub fn manifest(&self, digest: &VersionDigest) -> Option<Arc<VersionManifest>> {
        self.lock().manifests.get(digest).cloned()
    }

    /// The chunk with `hash`, if held.
    pub fn chunk(&self, hash: &ChunkHash) -> Option<Bytes> {
        self.lock().chunks.get(hash).cloned()
    }

    /// Which chunks of `digest` are held; none if its manifest is not.
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

    /// All chunks of `manifest` in order, without copies; none unless every one is held.
    pub fn all_chunks(&self, manifest: &VersionManifest) -> Option<Vec<Bytes>> {
        let content = self.lock();
        manifest.chunks.iter().map(|hash| content.chunks.get(hash).cloned()).collect()
    }

    /// Drops every manifest but that of `digest`, and every chunk that it does not list.
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
