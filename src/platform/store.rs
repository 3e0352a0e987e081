//! Client of the platform's weight store, the origin of weights.

use anyhow::{Context, Result, bail};
use awc::Client;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use std::net::SocketAddr;

/// Most bytes of a manifest's JSON.
pub const MAX_MANIFEST_BYTES: usize = 32 * 1024 * 1024;

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

    /// The bytes of the chunk with `hash`, at most `limit` of them; not verified.
    ///
    /// # Errors
    ///
    /// The store does not know the chunk, does not answer in time or sends more than `limit`.
    pub async fn chunk(&self, hash: &ChunkHash, limit: usize, timeout: Duration) -> Result<Bytes> {
        self.get(&format!("/v1/chunks/{hash}"), limit, timeout).await
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
