//! The weight store and origin: serves manifests and rate-limited chunks.

mod counts;
mod pacer;

pub use counts::{ChunkCounts, StoreCounts};
pub use pacer::RatePacer;

use crate::call::{StandinError, StandinRequest, StandinResponse, json_ok, unknown_route};
use crate::outage::OutageMode;
use crate::server::StandinRole;
use crate::switches::patch_switches;
use actix_http::body::SizedStream;
use actix_http::{Response, StatusCode};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::VersionManifest;
use buckthornwharf_core::weights::manifest::{MAX_CHUNK_BYTES, hash_chunk};
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use futures_util::stream::try_unfold;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::future::pending;
use std::io;
use std::rc::Rc;

/// Upper limit on the total size of all published chunks.
const MAX_STORE_BYTES: usize = 1024 * 1024 * 1024;
/// Bytes that are sent at once; the rate limit applies to each segment.
const SEGMENT_BYTES: usize = 16 * 1024;
/// Size of a chunk if the publisher sends no `chunk_bytes`.
const DEFAULT_CHUNK_BYTES: u64 = 4 * 1024 * 1024;

/// Fault switches of the weight store.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSwitches {
    /// Outage that affects all reads.
    pub down: OutageMode,
    /// Rate limit shared by all reads of chunks, in bytes per second; zero is no limit.
    pub bytes_per_second: u64,
    /// Number of upcoming chunks that are sent with one corrupted byte.
    pub corrupt: u32,
    /// Number of upcoming chunks whose connection is closed half-way.
    pub truncate: u32,
    /// Whether all chunks stall half-way.
    pub stall: bool,
}

/// How one chunk is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendMode {
    Whole,
    Corrupt,
    Truncate,
    Stall,
}

/// The weight store.
#[derive(Debug, Default)]
pub struct StoreService {
    manifests: RefCell<SortedTable<VersionDigest, VersionManifest>>,
    chunks: RefCell<SortedTable<ChunkHash, Bytes>>,
    switches: RefCell<StoreSwitches>,
    counts: RefCell<StoreCounts>,
    pacer: RatePacer,
}

impl StoreService {
    /// Creates a store without versions.
    pub fn new() -> Rc<Self> {
        Rc::new(Self::default())
    }

    fn publish(&self, request: &StandinRequest) -> Result<StandinResponse, StandinError> {
        let chunk_bytes = request.parsed_query("chunk_bytes")?.unwrap_or(DEFAULT_CHUNK_BYTES);
        if chunk_bytes == 0 || chunk_bytes > MAX_CHUNK_BYTES {
            return Err(StandinError::bad_request(format!(
                "chunk_bytes is {chunk_bytes}, but must be in 1..={MAX_CHUNK_BYTES}"
            )));
        }
        if self.stored_bytes() + request.body.len() > MAX_STORE_BYTES {
            return Err(StandinError::new(
                StatusCode::INSUFFICIENT_STORAGE,
                "the total size of stored chunks would exceed its limit",
            ));
        }
        let manifest = VersionManifest::of_content(&request.body, chunk_bytes);
        let digest = manifest.digest();
        self.store_chunks(&request.body, chunk_bytes as usize);
        self.manifests.borrow_mut().insert(digest, manifest);
        json_ok(&json!({ "digest": digest }))
    }

    fn stored_bytes(&self) -> usize {
        self.chunks.borrow().values().map(Bytes::len).sum()
    }

    fn store_chunks(&self, content: &Bytes, chunk_bytes: usize) {
        let mut chunks = self.chunks.borrow_mut();
        for start in (0..content.len()).step_by(chunk_bytes) {
            let chunk = content.slice(start..content.len().min(start + chunk_bytes));
            chunks.insert(hash_chunk(&chunk), chunk);
        }
    }

    async fn manifest(&self, digest: &str) -> Result<StandinResponse, StandinError> {
        self.counts.borrow_mut().manifest_requests += 1;
        let down = self.switches.borrow().down;
        down.apply().await?;
        let digest: VersionDigest =
            digest.parse().map_err(|_| StandinError::bad_request("invalid digest in the path"))?;
        let manifests = self.manifests.borrow();
        let manifest = manifests
            .get(&digest)
            .ok_or_else(|| StandinError::not_found("no manifest with this digest"))?;
        json_ok(manifest)
    }

    async fn chunk(self: Rc<Self>, hash: &str) -> Result<StandinResponse, StandinError> {
        let hash: ChunkHash = hash
            .parse()
            .map_err(|_| StandinError::bad_request("invalid chunk hash in the path"))?;
        let chunk = self.chunks.borrow().get(&hash).cloned();
        let chunk = chunk.ok_or_else(|| StandinError::not_found("no chunk with this hash"))?;
        self.counts.borrow_mut().add_request(hash);
        let down = self.switches.borrow().down;
        down.apply().await?;
        let mode = self.take_send_mode();
        Ok(self.send_chunk(hash, chunk, mode))
    }

    fn take_send_mode(&self) -> SendMode {
        let mut switches = self.switches.borrow_mut();
        if switches.stall {
            return SendMode::Stall;
        }
        if let Some(remaining) = switches.corrupt.checked_sub(1) {
            switches.corrupt = remaining;
            return SendMode::Corrupt;
        }
        if let Some(remaining) = switches.truncate.checked_sub(1) {
            switches.truncate = remaining;
            return SendMode::Truncate;
        }
        SendMode::Whole
    }

    fn send_chunk(
        self: Rc<Self>,
        hash: ChunkHash,
        chunk: Bytes,
        mode: SendMode,
    ) -> StandinResponse {
        let len = chunk.len() as u64;
        let chunk = if mode == SendMode::Corrupt { corrupt(&chunk) } else { chunk };
        let body = SizedStream::new(len, self.stream_segments(hash, chunk, mode));
        Response::with_body(StatusCode::OK, body).map_into_boxed_body()
    }

    fn stream_segments(
        self: Rc<Self>,
        hash: ChunkHash,
        chunk: Bytes,
        mode: SendMode,
    ) -> impl Stream<Item = io::Result<Bytes>> {
        let midpoint = chunk.len() / 2;
        try_unfold((self, chunk, 0), move |(store, chunk, sent)| async move {
            if sent >= chunk.len() {
                return Ok(None);
            }
            if sent >= midpoint {
                inject_fault(mode).await?;
            }
            let segment = chunk.slice(sent..chunk.len().min(sent + SEGMENT_BYTES));
            store.throttle_segment(hash, segment.len()).await;
            let sent = sent + segment.len();
            Ok(Some((segment, (store, chunk, sent))))
        })
    }

    async fn throttle_segment(&self, hash: ChunkHash, bytes: usize) {
        let rate = self.switches.borrow().bytes_per_second;
        self.pacer.throttle(bytes, rate).await;
        self.counts.borrow_mut().add_bytes(hash, bytes as u64);
    }
}

impl StandinRole for StoreService {
    const NAME: &'static str = "store";
    const MAX_BODY_BYTES: usize = MAX_STORE_BYTES;

    async fn answer(
        self: Rc<Self>,
        request: StandinRequest,
    ) -> Result<StandinResponse, StandinError> {
        match (request.method.as_str(), request.path.as_str()) {
            ("PUT", "/v1/publish") => self.publish(&request),
            ("GET", path) => {
                if let Some(digest) = path.strip_prefix("/v1/manifests/") {
                    return self.manifest(digest).await;
                }
                if let Some(hash) = path.strip_prefix("/v1/chunks/") {
                    return self.clone().chunk(hash).await;
                }
                Err(unknown_route(&request))
            }
            _ => Err(unknown_route(&request)),
        }
    }

    fn patch_switches(&self, patch: &[u8]) -> Result<(), StandinError> {
        patch_switches(&mut *self.switches.borrow_mut(), patch)
    }

    fn counts(&self) -> Value {
        json!(*self.counts.borrow())
    }
}

async fn inject_fault(mode: SendMode) -> io::Result<()> {
    match mode {
        SendMode::Whole | SendMode::Corrupt => Ok(()),
        SendMode::Truncate => Err(io::ErrorKind::ConnectionAborted.into()),
        SendMode::Stall => pending().await,
    }
}

fn corrupt(chunk: &Bytes) -> Bytes {
    let mut bytes = BytesMut::from(chunk.as_ref());
    if let Some(byte) = bytes.last_mut() {
        *byte ^= 1;
    }
    bytes.freeze()
}
