//! Answers to other agents that ask for manifests and chunks.

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

/// The answer to another agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkAnswer {
    /// A manifest as JSON.
    Manifest(Bytes),
    /// The bytes of a chunk, or of the set of held chunks.
    Chunk(Bytes),
    /// The host does not hold what was asked for, or the request is not proven.
    NotFound,
    /// The host holds it, but its link is taken; ask another host, or later.
    Busy,
}

/// Serves held chunks to other agents; cheap to clone.
#[derive(Clone)]
pub struct ChunkService {
    store: ChunkStore,
    key: [u8; 32],
    uploads: Arc<Mutex<UploadState>>,
}

/// The limiter of the version that is passed on.
#[derive(Default)]
struct UploadState {
    digest: Option<VersionDigest>,
    limiter: UploadLimiter,
}

/// Bytes on their way to another host; their place is given back when the answer has been sent.
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
    /// A service of the chunks in `store` to processes that know `key`.
    pub fn new(store: ChunkStore, key: [u8; 32]) -> Self {
        Self { store, key, uploads: Arc::default() }
    }

    /// Starts to count uploads anew if `digest`, of `version_bytes`, is another version than before.
    pub fn reset_uploads(&self, digest: VersionDigest, version_bytes: u64) {
        let mut uploads = lock(&self.uploads);
        if uploads.digest != Some(digest) {
            uploads.digest = Some(digest);
            uploads.limiter.reset(version_bytes);
        }
    }

    /// Sets how many percent of the host live requests take.
    pub fn set_live_load(&self, percent: u8) {
        lock(&self.uploads).limiter.set_live_load(percent);
    }

    /// Answers a `GET` of `path` with `proof` in its [`super::PROOF_HEADER`].
    pub async fn answer_authenticated(&self, path: &str, proof: Option<&str>) -> ChunkAnswer {
        let expected = blake3::Hash::from_hex(request_proof(&self.key, path));
        let given = proof.and_then(|proof| blake3::Hash::from_hex(proof).ok());
        // The comparison of hashes takes the same time wherever they differ.
        if given.is_none() || given != expected.ok() {
            return ChunkAnswer::NotFound;
        }
        self.answer(path).await
    }

    /// Answers a `GET` of `path`, which must have been proven before.
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
