//! Client for the platform's weight store, the origin of all weights.

use actix_http::Payload;
use actix_http::encoding::Decoder;
use anyhow::{Context, Result, bail};
use awc::http::StatusCode;
use awc::{Client, ClientResponse};
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use std::net::SocketAddr;

/// Size limit of a manifest's JSON, in bytes.
pub const MAX_MANIFEST_BYTES: usize = 32 * 1024 * 1024;

/// A response whose body is still to be read.
pub type StoreResponse = ClientResponse<Decoder<Payload>>;

/// Why the store returned no chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum StoreFailure {
    /// weight store does not respond, or responds with an unexpected status
    Unreachable,
    /// chunk not found in the weight store
    NotFound,
    /// weight store is at its limit of concurrent readers
    Busy,
}

impl std::error::Error for StoreFailure {}

/// Reads manifests and chunks from the weight store.
#[derive(Clone)]
pub struct StoreClient {
    address: SocketAddr,
    client: Client,
}

impl StoreClient {
    /// Creates a client for the store at `address`.
    pub fn new(address: SocketAddr, client: Client) -> Self {
        Self { address, client }
    }

    /// Reads the JSON of the manifest with `digest`, without verifying it.
    ///
    /// # Errors
    ///
    /// The store does not have the manifest, does not respond in time, or sends more than
    /// [`MAX_MANIFEST_BYTES`].
    pub async fn manifest(&self, digest: &VersionDigest, timeout: Duration) -> Result<Bytes> {
        let path = format!("/v1/manifests/{digest}");
        self.get(&path, MAX_MANIFEST_BYTES, timeout).await
    }

    /// Requests the chunk with `hash`. The caller reads the body and verifies it.
    ///
    /// # Errors
    ///
    /// [`StoreFailure`] tells whether the chunk is missing, the store is busy, or it did not respond.
    pub async fn open_chunk(
        &self,
        hash: &ChunkHash,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreFailure> {
        let url = format!("http://{}/v1/chunks/{hash}", self.address);
        let request = self.client.get(&url).no_decompress().timeout(timeout);
        let response = request.send().await.map_err(|_| StoreFailure::Unreachable)?;
        match response.status() {
            StatusCode::OK => Ok(response),
            StatusCode::NOT_FOUND => Err(StoreFailure::NotFound),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreFailure::Busy),
            _ => Err(StoreFailure::Unreachable),
        }
    }

    async fn get(&self, path: &str, limit: usize, timeout: Duration) -> Result<Bytes> {
        let url = format!("http://{}{path}", self.address);
        let response = match self.client.get(&url).timeout(timeout).send().await {
            Ok(response) => response,
            Err(error) => bail!("no response from the weight store for {path}: {error}"),
        };
        if !response.status().is_success() {
            bail!("weight store responded with status {} for {path}", response.status());
        }
        let body = response.timeout(timeout).body().limit(limit).await;
        body.with_context(|| format!("can't read the weight store's response for {path}"))
    }
}
