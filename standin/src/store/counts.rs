//! Counters of the weight store.

use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Counts of reads since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Requests for manifests.
    pub manifest_requests: u64,
    /// Requests for chunks.
    pub chunk_requests: u64,
    /// Bytes of chunks sent.
    pub chunk_bytes: u64,
    /// Counts by chunk.
    pub chunks: SortedTable<ChunkHash, ChunkCounts>,
}

/// Counts of reads of one chunk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkCounts {
    /// Requests.
    pub requests: u64,
    /// Bytes sent.
    pub bytes: u64,
}

impl StoreCounts {
    /// Counts a request for `chunk`.
    pub fn add_request(&mut self, chunk: ChunkHash) {
        self.chunk_requests += 1;
        self.chunks.get_or_insert_with(chunk, ChunkCounts::default).requests += 1;
    }

    /// Counts `bytes` of `chunk` as sent.
    pub fn add_bytes(&mut self, chunk: ChunkHash, bytes: u64) {
        self.chunk_bytes += bytes;
        self.chunks.get_or_insert_with(chunk, ChunkCounts::default).bytes += bytes;
    }
}
