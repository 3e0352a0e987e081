//! Client that fetches manifests and chunks from other agents.

use super::body::PacedBody;
use crate::platform::store::StoreResponse;
use awc::Client;
use awc::http::StatusCode;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::FetchFailure;
use bytes::Bytes;
use std::net::SocketAddr;

/// Header with the proof that the requesting process knows the shared secret.
pub const PROOF_HEADER: &str = "x-weights-proof";
/// Timeout of the response head, and of the whole body where it is not a chunk.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a chunk's body; a stalled fetch is cancelled earlier by the fetch machine.
const BODY_TIMEOUT: Duration = Duration::from_secs(3600);
/// Maximum bytes of a manifest's JSON.
const MAX_MANIFEST_BYTES: usize = 32 * 1024 * 1024;
/// Maximum bytes of the set of held chunks.
const MAX_CHUNK_SET_BYTES: usize = 64 * 1024;

/// The proof for a request of `path`: its BLAKE3 hash keyed with the shared secret, in hexadecimal.
pub fn request_proof(key: &[u8; 32], path: &str) -> String {
    blake3::keyed_hash(key, path.as_bytes()).to_hex().to_string()
}

/// Client of other agents; cheap to clone.
#[derive(Clone)]
pub struct PeerClient {
    client: Client,
    key: [u8; 32],
}

impl PeerClient {
    /// A client that authenticates with the shared secret `key`.
    pub fn new(client: Client, key: [u8; 32]) -> Self {
        Self { client, key }
    }

    /// Fetches the JSON of a manifest, not verified.
    ///
    /// # Errors
    ///
    /// [`FetchFailure`] if the host is unreachable, busy or does not hold it, or the response is
    /// truncated or too long.
    pub async fn manifest(
        &self,
        address: SocketAddr,
        digest: &VersionDigest,
    ) -> Result<Bytes, FetchFailure> {
        self.get(address, &format!("/weights/manifests/{digest}"), MAX_MANIFEST_BYTES).await
    }

    /// Fetches the set of a version's chunks that the host holds, in the encoding of a chunk set.
    ///
    /// # Errors
    ///
    /// [`FetchFailure`] if the host is unreachable, busy or does not hold it, or the response is
    /// truncated or too long.
    pub async fn held(
        &self,
        address: SocketAddr,
        digest: &VersionDigest,
    ) -> Result<Bytes, FetchFailure> {
        self.get(address, &format!("/weights/held/{digest}"), MAX_CHUNK_SET_BYTES).await
    }

    /// Fetches the bytes of a chunk, not verified. `cross_region`: the host is in another region.
    ///
    /// # Errors
    ///
    /// [`FetchFailure`] if the host is unreachable, busy or does not hold it, or the response is
    /// truncated or too long.
    pub async fn chunk(
        &self,
        address: SocketAddr,
        hash: &ChunkHash,
        cross_region: bool,
        body: PacedBody,
    ) -> Result<Bytes, FetchFailure> {
        let kind = if cross_region { "crossing" } else { "chunks" };
        let path = format!("/weights/{kind}/{hash}");
        let response = self.send(address, &path).await?;
        body.read(response.timeout(BODY_TIMEOUT)).await
    }

    async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        limit: usize,
    ) -> Result<Bytes, FetchFailure> {
        let response = self.send(address, path).await?;
        let body = response.timeout(ANSWER_TIMEOUT).body().limit(limit).await;
        body.map_err(|_| FetchFailure::Cut)
    }

    async fn send(&self, address: SocketAddr, path: &str) -> Result<StoreResponse, FetchFailure> {
        let request = self
            .client
            .get(format!("http://{address}{path}"))
            .no_decompress()
            .timeout(ANSWER_TIMEOUT)
            .insert_header((PROOF_HEADER, request_proof(&self.key, path)));
        let response = request.send().await.map_err(|_| FetchFailure::Unreachable)?;
        match response.status() {
            StatusCode::OK => Ok(response),
            StatusCode::SERVICE_UNAVAILABLE => Err(FetchFailure::Busy),
            StatusCode::NOT_FOUND => Err(FetchFailure::NotHere),
            _ => Err(FetchFailure::Unreachable),
        }
    }
}
