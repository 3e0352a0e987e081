//! Client for a model engine: lists, loads and unloads model versions.

use actix_http::body::SizedStream;
use anyhow::{Context, Result, bail};
use awc::Client;
use awc::http::StatusCode;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use serde::Deserialize;
use std::convert::Infallible;
use std::net::SocketAddr;

const READ_TIMEOUT: Duration = Duration::from_secs(2);
const FENCE_HEADER: &str = "x-fence";
const CHUNK_BYTES_HEADER: &str = "x-chunk-bytes";

/// An engine's response to a load or unload order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order took effect.
    Done,
    /// The order's fencing token is older than one that the engine has seen.
    FencedOff,
    /// The received weights do not match the version's digest.
    WrongWeights,
    /// The engine has no room for another version.
    Full,
}

/// A version's weights, to be streamed into an engine.
pub struct LoadBody {
    /// Digest of the version.
    pub digest: VersionDigest,
    /// Total size of all chunks, in bytes.
    pub total_bytes: u64,
    /// Size of each chunk except the last, in bytes.
    pub chunk_bytes: u64,
    /// The verified chunks, in order.
    pub chunks: Vec<Bytes>,
}

/// Lists the versions that an engine has loaded and sends it load and unload orders.
#[derive(Clone)]
pub struct EngineClient {
    address: SocketAddr,
    client: Client,
}

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ModelEntry>,
}

#[derive(Deserialize)]
struct ModelEntry {
    id: VersionDigest,
}

impl EngineClient {
    /// Creates a client for the engine at `address`.
    pub fn new(address: SocketAddr, client: Client) -> Self {
        Self { address, client }
    }

    /// Returns the versions that the engine reports as loaded.
    ///
    /// # Errors
    ///
    /// The engine does not respond in time, responds with an error status, or sends a malformed list.
    pub async fn models(&self) -> Result<Vec<VersionDigest>> {
        let url = format!("http://{}/v1/models", self.address);
        let mut response = match self.client.get(&url).timeout(READ_TIMEOUT).send().await {
            Ok(response) => response,
            Err(error) => bail!("no response from the engine to GET /v1/models: {error}"),
        };
        if !response.status().is_success() {
            bail!("engine responded to GET /v1/models with status {}", response.status());
        }
        let list: ModelList =
            response.json().await.context("malformed model list from the engine")?;
        Ok(list.data.into_iter().map(|model| model.id).collect())
    }

    /// Orders the engine to load a version. The chunks are streamed without being copied.
    ///
    /// # Errors
    ///
    /// There was no response, so the order may or may not have taken effect, or the response has an
    /// unexpected status.
    pub async fn load(&self, body: LoadBody, fence: u64, timeout: Duration) -> Result<OrderAnswer> {
        let url = format!("http://{}/v1/models/{}", self.address, body.digest);
        let chunks = body.chunks.into_iter().map(Ok::<Bytes, Infallible>);
        let stream = SizedStream::new(body.total_bytes, futures_util::stream::iter(chunks));
        let request = self
            .client
            .put(url)
            .timeout(timeout)
            .insert_header((FENCE_HEADER, fence))
            .insert_header((CHUNK_BYTES_HEADER, body.chunk_bytes));
        match request.send_body(stream).await {
            Ok(response) => order_answer(response.status()),
            Err(error) => bail!("no response from the engine to the load order: {error}"),
        }
    }

    /// Orders the engine to unload a version.
    ///
    /// # Errors
    ///
    /// There was no response, so the order may or may not have taken effect, or the response has an
    /// unexpected status.
    pub async fn unload(
        &self,
        digest: &VersionDigest,
        fence: u64,
        timeout: Duration,
    ) -> Result<OrderAnswer> {
        let url = format!("http://{}/v1/models/{digest}", self.address);
        let request = self.client.delete(url).timeout(timeout).insert_header((FENCE_HEADER, fence));
        match request.send().await {
            Ok(response) => order_answer(response.status()),
            Err(error) => bail!("no response from the engine to the unload order: {error}"),
        }
    }
}

fn order_answer(status: StatusCode) -> Result<OrderAnswer> {
    match status.as_u16() {
        200..300 | 404 => Ok(OrderAnswer::Done),
        409 => Ok(OrderAnswer::FencedOff),
        422 => Ok(OrderAnswer::WrongWeights),
        507 => Ok(OrderAnswer::Full),
        _ => bail!("engine responded to an order with unexpected status {status}"),
    }
}
