//! Answers to other agents that ask for manifests and chunks.

use super::chunk_store::ChunkStore;
use bytes::Bytes;

const MANIFEST_PREFIX: &str = "/weights/manifests/";
const CHUNK_PREFIX: &str = "/weights/chunks/";

/// The answer to another agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkAnswer {
    /// A manifest as JSON.
    Manifest(Bytes),
    /// The bytes of a chunk.
    Chunk(Bytes),
    /// The host does not hold what was asked for.
    NotHere,
    /// The host holds it, but its link is taken; ask another host, or later.
    Busy,
}

/// Serves held chunks to other agents; cheap to clone.
#[derive(Clone)]
pub struct ChunkService {
    store: ChunkStore,
}

impl ChunkService {
    /// A service of the chunks in `store`.
    pub fn new(store: ChunkStore) -> Self {
        Self { store }
    }

    /// Answers a `GET` of `path`.
    pub async fn answer(&self, path: &str) -> ChunkAnswer {
        if let Some(digest) = path.strip_prefix(MANIFEST_PREFIX) {
            return self.manifest(digest);
        }
        let Some(hash) = path.strip_prefix(CHUNK_PREFIX) else {
            return ChunkAnswer::NotHere;
        };
        let Ok(hash) = hash.parse() else {
            return ChunkAnswer::NotHere;
        };
        match self.store.chunk(&hash) {
            Some(bytes) => ChunkAnswer::Chunk(bytes),
            None => ChunkAnswer::NotHere,
        }
    }

    fn manifest(&self, digest: &str) -> ChunkAnswer {
        let Ok(digest) = digest.parse() else {
            return ChunkAnswer::NotHere;
        };
        let Some(manifest) = self.store.manifest(&digest) else {
            return ChunkAnswer::NotHere;
        };
        match serde_json::to_vec(&*manifest) {
            Ok(json) => ChunkAnswer::Manifest(json.into()),
            Err(_) => ChunkAnswer::NotHere,
        }
    }
}
