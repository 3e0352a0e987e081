//! Requests to other agents for manifests and chunks.

use super::body::PacedBody;
use crate::platform::store::StoreResponse;
use awc::Client;
use awc::http::StatusCode;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::FetchFailure;
use bytes::Bytes;
use std::net::SocketAddr;

/// Header with the proof that the asking process knows the shared secret.
pub const PROOF_HEADER: &str = "x-weights-proof";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const BODY_TIMEOUT: Duration = Duration::from_secs(3600);
const MAX_MANIFEST_BYTES: usize = 32 * 1024 * 1024;
const MAX_HELD_BYTES: usize = 64 * 1024;

/// The proof for a request of `path`: a keyed hash under the shared secret.
pub fn proof_of(key: &[u8; 32], path: &str) -> String {
    blake3::keyed_hash(key, path.as_bytes()).to_hex().to_string()
}

/// Asks other agents.
#[derive(Clone)]
pub struct PeerClient {
    client: Client,
    key: [u8; 32],
}

impl PeerClient {
    /// A client that proves itself by `key`.
    pub fn new(client: Client, key: [u8; 32]) -> Self {
        Self { client, key }
    }

    /// The JSON of a manifest; not verified.
    ///
    /// # Errors
    ///
    /// Why the host brought nothing.
    pub async fn manifest(
        &self,
        address: SocketAddr,
        digest: &VersionDigest,
    ) -> Result<Bytes, FetchFailure> {
        self.get(address, &format!("/weights/manifests/{digest}"), MAX_MANIFEST_BYTES).await
    }

    /// Which chunks of a version the host holds, as the bytes of a chunk set.
    ///
    /// # Errors
    ///
    /// Why the host brought nothing.
    pub async fn held(
        &self,
        address: SocketAddr,
        digest: &VersionDigest,
    ) -> Result<Bytes, FetchFailure> {
        self.get(address, &format!("/weights/held/{digest}"), MAX_HELD_BYTES).await
    }

    /// The bytes of a chunk; not verified. `crossing` tells that the host is in another region.
    ///
    /// # Errors
    ///
    /// Why the host brought nothing.
    pub async fn chunk(
        &self,
        address: SocketAddr,
        hash: &ChunkHash,
        crossing: bool,
        body: PacedBody,
    ) -> Result<Bytes, FetchFailure> {
        let kind = if crossing { "crossing" } else { "chunks" };
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
            .insert_header((PROOF_HEADER, proof_of(&self.key, path)));
        let response = request.send().await.map_err(|_| FetchFailure::Unreachable)?;
        match response.status() {
            StatusCode::OK => Ok(response),
            StatusCode::SERVICE_UNAVAILABLE => Err(FetchFailure::Busy),
            StatusCode::NOT_FOUND => Err(FetchFailure::NotHere),
            _ => Err(FetchFailure::Unreachable),
        }
    }
}
