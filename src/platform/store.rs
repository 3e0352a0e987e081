//! Client of the platform's weight store, the origin of weights.

use actix_http::Payload;
use actix_http::encoding::Decoder;
use anyhow::{Context, Result, bail};
use awc::http::StatusCode;
use awc::{Client, ClientResponse};
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use std::net::SocketAddr;

/// Most bytes of a manifest's JSON.
pub const MAX_MANIFEST_BYTES: usize = 32 * 1024 * 1024;

/// An answer whose body is still to be read.
pub type StoreResponse = ClientResponse<Decoder<Payload>>;

/// Why the store brought no chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum StoreFailure {
    /// the weight store does not answer
    Unreachable,
    /// the weight store does not know the chunk
    NotFound,
    /// the weight store has no room for another reader
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
    /// A client of the store at `address`.
    pub fn new(address: SocketAddr, client: Client) -> Self {
        Self { address, client }
    }

    /// The JSON of the manifest that `digest` names; not verified.
    ///
    /// # Errors
    ///
    /// The store does not know the version or does not answer.
    pub async fn manifest(&self, digest: &VersionDigest, timeout: Duration) -> Result<Bytes> {
        let path = format!("/v1/manifests/{digest}");
        self.get(&path, MAX_MANIFEST_BYTES, timeout).await
    }

    /// The answer that carries the bytes of the chunk with `hash`; to be read by the caller.
    ///
    /// # Errors
    ///
    /// [`StoreFailure`] tells whether the store answered at all.
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
            Err(error) => bail!("the store does not answer for {path}: {error}"),
        };
        if !response.status().is_success() {
            bail!("the store answers {} for {path}", response.status());
        }
        let body = response.timeout(timeout).body().limit(limit).await;
        body.with_context(|| format!("the store's answer for {path} is cut"))
    }
}
