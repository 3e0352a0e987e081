//! Content-addressed manifest of one version of the weights.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Maximum number of chunks in a manifest.
pub const MAX_CHUNKS: usize = 1 << 18;
/// Maximum size of a chunk in bytes.
pub const MAX_CHUNK_BYTES: u64 = 16 * 1024 * 1024;
/// Prefix of the data that a digest covers (domain separation); a change would change every digest.
const DIGEST_DOMAIN: &[u8] = b"buckthornwharf manifest 1";
/// Follows [`DIGEST_DOMAIN`] if the chunks are hashed with SHA-256.
const SHA256_DOMAIN: &[u8] = b" sha-256";

/// The hash function of the chunks of a manifest.
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

/// The chunks of a version in order. The digest of the manifest identifies the version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionManifest {
    /// Size of the version in bytes.
    pub total_bytes: u64,
    /// Size of each chunk in bytes, except the last, which may be shorter.
    pub chunk_bytes: u64,
    /// The hash of each chunk, in order.
    pub chunks: Vec<ChunkHash>,
    /// The hash function of `chunks`.
    #[serde(default, skip_serializing_if = "HashKind::is_default")]
    pub hash_kind: HashKind,
}

/// Why a manifest is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum ManifestError {
    /// the digest of the manifest is not that of the requested version
    WrongDigest,
    /// the sizes in the manifest are inconsistent or exceed the limits
    BadSizes,
}

impl std::error::Error for ManifestError {}

impl VersionManifest {
    /// The manifest of `content` in chunks of `chunk_bytes` bytes.
    ///
    /// # Panics
    ///
    /// If `chunk_bytes` is zero.
    pub fn of_content(content: &[u8], chunk_bytes: u64) -> Self {
        let chunk_len = usize::try_from(chunk_bytes).unwrap_or(usize::MAX);
        let chunks = content.chunks(chunk_len).map(hash_chunk).collect();
        let hash_kind = HashKind::Blake3;
        Self { total_bytes: content.len() as u64, chunk_bytes, chunks, hash_kind }
    }

    /// The manifest of chunks of `chunk_bytes` bytes each, with the given SHA-256 hashes.
    pub fn of_sha256(chunks: Vec<ChunkHash>, chunk_bytes: u64) -> Self {
        let total_bytes = chunk_bytes.saturating_mul(chunks.len() as u64);
        Self { total_bytes, chunk_bytes, chunks, hash_kind: HashKind::Sha256 }
    }

    /// Whether `bytes` have the hash of the chunk at `index`.
    pub fn chunk_matches(&self, index: usize, bytes: &[u8]) -> bool {
        self.chunks.get(index).is_some_and(|hash| self.hash_kind.hash(bytes) == *hash)
    }

    /// The digest that identifies the version. It does not depend on the encoding of the manifest.
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

    /// Checks that the sizes are valid and the manifest has the digest `digest`.
    ///
    /// # Errors
    ///
    /// [`ManifestError`] if one of the two does not hold.
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

    /// Size of the chunk at `index` in bytes; zero past the end.
    pub fn chunk_len(&self, index: usize) -> u64 {
        let start = self.chunk_bytes.saturating_mul(index as u64);
        self.total_bytes.saturating_sub(start).min(self.chunk_bytes)
    }
}

/// The BLAKE3 hash of a chunk's bytes.
pub fn hash_chunk(bytes: &[u8]) -> ChunkHash {
    ChunkHash::from_bytes(*blake3::hash(bytes).as_bytes())
}
