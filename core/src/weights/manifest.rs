//! Content-addressed description of one version of the weights.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Most chunks that a manifest may list.
pub const MAX_CHUNKS: usize = 1 << 18;
/// Most bytes of one chunk.
pub const MAX_CHUNK_BYTES: u64 = 16 * 1024 * 1024;
const DIGEST_DOMAIN: &[u8] = b"buckthornwharf manifest 1";
const SHA256_DOMAIN: &[u8] = b" sha-256";

/// The function that the hashes of a manifest's chunks are made by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HashKind {
    /// BLAKE3.
    #[default]
    Blake3,
    /// SHA-256.
    Sha256,
}

impl HashKind {
    /// The hash of a chunk's bytes.
    pub fn hash(self, bytes: &[u8]) -> ChunkHash {
        match self {
            HashKind::Blake3 => hash_chunk(bytes),
            HashKind::Sha256 => ChunkHash::from_bytes(Sha256::digest(bytes).into()),
        }
    }

    fn is_default(&self) -> bool {
        *self == HashKind::default()
    }
}

/// The ordered chunks of a version; its digest names the version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionManifest {
    /// Bytes of the whole version.
    pub total_bytes: u64,
    /// Bytes of each chunk but the last, which may be shorter.
    pub chunk_bytes: u64,
    /// The hash of each chunk, in order.
    pub chunks: Vec<ChunkHash>,
    /// What made the hashes.
    #[serde(default, skip_serializing_if = "HashKind::is_default")]
    pub hash_kind: HashKind,
}

/// Why a manifest is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum ManifestError {
    /// the manifest does not have the digest that it was asked for by
    WrongDigest,
    /// the manifest's sizes contradict each other or exceed the limits
    BadSizes,
}

impl std::error::Error for ManifestError {}

impl VersionManifest {
    /// The manifest of `content` in chunks of `chunk_bytes`, which must not be zero.
    pub fn of_content(content: &[u8], chunk_bytes: u64) -> Self {
        let chunk_len = usize::try_from(chunk_bytes).unwrap_or(usize::MAX);
        let chunks = content.chunks(chunk_len).map(hash_chunk).collect();
        let hash_kind = HashKind::Blake3;
        Self { total_bytes: content.len() as u64, chunk_bytes, chunks, hash_kind }
    }

    /// The manifest of chunks of equal length that are named by their SHA-256.
    pub fn of_sha256(chunks: Vec<ChunkHash>, chunk_bytes: u64) -> Self {
        let total_bytes = chunk_bytes * chunks.len() as u64;
        Self { total_bytes, chunk_bytes, chunks, hash_kind: HashKind::Sha256 }
    }

    /// Whether `bytes` are those of the chunk at `index`.
    pub fn chunk_matches(&self, index: usize, bytes: &[u8]) -> bool {
        self.chunks.get(index).is_some_and(|hash| self.hash_kind.hash(bytes) == *hash)
    }

    /// The digest that names the version. It does not depend on how the manifest is encoded.
    pub fn digest(&self) -> VersionDigest {
        let mut hasher = blake3::Hasher::new();
        hasher.update(DIGEST_DOMAIN);
        if self.hash_kind == HashKind::Sha256 {
            hasher.update(SHA256_DOMAIN);
        }
        hasher.update(&self.total_bytes.to_le_bytes());
        hasher.update(&self.chunk_bytes.to_le_bytes());
        for chunk in &self.chunks {
            hasher.update(chunk.as_bytes());
        }
        VersionDigest::from_bytes(*hasher.finalize().as_bytes())
    }

    /// Checks that the manifest is sound and is the one that `digest` names.
    ///
    /// # Errors
    ///
    /// [`ManifestError`] tells which of the two does not hold.
    pub fn verify(&self, digest: &VersionDigest) -> Result<(), ManifestError> {
        if self.chunk_bytes == 0 || self.chunk_bytes > MAX_CHUNK_BYTES {
            return Err(ManifestError::BadSizes);
        }
        if self.chunks.len() > MAX_CHUNKS {
            return Err(ManifestError::BadSizes);
        }
        if self.total_bytes.div_ceil(self.chunk_bytes) != self.chunks.len() as u64 {
            return Err(ManifestError::BadSizes);
        }
        if self.digest() != *digest {
            return Err(ManifestError::WrongDigest);
        }
        Ok(())
    }

    /// Bytes of the chunk at `index`; zero past the end.
    pub fn chunk_len(&self, index: usize) -> u64 {
        let start = index as u64 * self.chunk_bytes;
        self.total_bytes.saturating_sub(start).min(self.chunk_bytes)
    }
}

/// The BLAKE3 hash of a chunk's bytes.
pub fn hash_chunk(bytes: &[u8]) -> ChunkHash {
    ChunkHash::from_bytes(*blake3::hash(bytes).as_bytes())
}
