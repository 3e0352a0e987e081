//! Serves manifests and chunks to other agents.

use super::chunk_store::ChunkStore;
use super::peer::request_proof;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::{UploadClass, UploadLimiter};
use bytes::Bytes;
use std::sync::{Mutex, MutexGuard, PoisonError};

const MANIFEST_PREFIX: &str = "/weights/manifests/";
const HELD_PREFIX: &str = "/weights/held/";
const CHUNK_PREFIX: &str = "/weights/chunks/";
const CROSS_REGION_PREFIX: &str = "/weights/crossing/";

/// The response to another agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkAnswer {
    /// A manifest as JSON.
    Manifest(Bytes),
    /// The bytes of a chunk, or the encoded set of held chunks.
    Chunk(Bytes),
    /// The host does not hold it, or the request is not authenticated.
    NotFound,
    /// The host holds the chunk, but has no free upload slot; try another host, or later.
    Busy,
}

/// Serves held chunks to other agents. Cheap to clone; all clones share the content.
#[derive(Clone)]
pub struct ChunkService {
    store: ChunkStore,
    key: [u8; 32],
    uploads: Arc<Mutex<UploadState>>,
}

/// The upload limiter, and the version that it counts the sent bytes of.
#[derive(Default)]
struct UploadState {
    digest: Option<VersionDigest>,
    limiter: UploadLimiter,
}

/// The bytes of an upload; dropped when the response has been sent, which releases the upload slot.
struct UploadBytes {
    bytes: Bytes,
    uploads: Arc<Mutex<UploadState>>,
}

impl AsRef<[u8]> for UploadBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for UploadBytes {
    fn drop(&mut self) {
        lock(&self.uploads).limiter.end(self.bytes.len() as u64);
    }
}

fn lock(uploads: &Mutex<UploadState>) -> MutexGuard<'_, UploadState> {
    uploads.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ChunkService {
    /// A service of the chunks in `store`, for processes that know the shared secret `key`.
    pub fn new(store: ChunkStore, key: [u8; 32]) -> Self {
        Self { store, key, uploads: Arc::default() }
    }

    /// Resets the count of sent bytes if `digest`, of `version_bytes` bytes, is another version
    /// than before.
    pub fn reset_uploads(&self, digest: VersionDigest, version_bytes: u64) {
        let mut uploads = lock(&self.uploads);
        if uploads.digest != Some(digest) {
            uploads.digest = Some(digest);
            uploads.limiter.reset(version_bytes);
        }
    }

    /// Sets the percentage of the target's slots that live requests take.
    pub fn set_live_load(&self, percent: u8) {
        lock(&self.uploads).limiter.set_live_load(percent);
    }

    /// Answers a `GET` of `path` whose [`super::PROOF_HEADER`] has the value `proof`. An invalid
    /// proof is answered with [`ChunkAnswer::NotFound`].
    pub async fn answer_authenticated(&self, path: &str, proof: Option<&str>) -> ChunkAnswer {
        let expected = blake3::Hash::from_hex(request_proof(&self.key, path));
        let given = proof.and_then(|proof| blake3::Hash::from_hex(proof).ok());
        // `blake3::Hash` compares in constant time.
        if given.is_none() || given != expected.ok() {
            return ChunkAnswer::NotFound;
        }
        self.answer(path).await
    }

    /// Answers a `GET` of `path` that has been authenticated.
    async fn answer(&self, path: &str) -> ChunkAnswer {
        if let Some(digest) = path.strip_prefix(MANIFEST_PREFIX) {
            return self.manifest(digest);
        }
        if let Some(digest) = path.strip_prefix(HELD_PREFIX) {
            return self.held(digest);
        }
        if let Some(hash) = path.strip_prefix(CROSS_REGION_PREFIX) {
            return self.chunk(hash, UploadClass::CrossRegion);
        }
        match path.strip_prefix(CHUNK_PREFIX) {
            Some(hash) => self.chunk(hash, UploadClass::IntraRegion),
            None => ChunkAnswer::NotFound,
        }
    }

    fn chunk(&self, hash: &str, class: UploadClass) -> ChunkAnswer {
        let hash = hash.parse().ok();
        let Some(bytes) = hash.and_then(|hash| self.store.chunk(&hash)) else {
            return ChunkAnswer::NotFound;
        };
        if !lock(&self.uploads).limiter.start(class) {
            return ChunkAnswer::Busy;
        }
        let upload = UploadBytes { bytes, uploads: self.uploads.clone() };
        ChunkAnswer::Chunk(Bytes::from_owner(upload))
    }

    fn held(&self, digest: &str) -> ChunkAnswer {
        let digest = digest.parse().ok();
        match digest.and_then(|digest| self.store.held(&digest)) {
            Some(held) => ChunkAnswer::Chunk(held.to_bytes().into()),
            None => ChunkAnswer::NotFound,
        }
    }

    fn manifest(&self, digest: &str) -> ChunkAnswer {
        let digest = digest.parse().ok();
        let Some(manifest) = digest.and_then(|digest| self.store.manifest(&digest)) else {
            return ChunkAnswer::NotFound;
        };
        match serde_json::to_vec(&*manifest) {
            Ok(json) => ChunkAnswer::Manifest(json.into()),
            Err(_) => ChunkAnswer::NotFound,
        }
    }
}
