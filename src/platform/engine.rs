//! Client of a model engine's orders.

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

/// What an engine said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order took effect.
    Done,
    /// The fencing number is older than one that the engine has seen.
    FencedOff,
    /// The weights do not have the digest.
    WrongWeights,
    /// The engine holds as many versions as it can.
    Full,
}

/// A version's weights as they are streamed into an engine.
pub struct LoadBody {
    /// The version.
    pub digest: VersionDigest,
    /// Bytes of all chunks.
    pub total_bytes: u64,
    /// Bytes of each chunk but the last.
    pub chunk_bytes: u64,
    /// The verified chunks in order.
    pub chunks: Vec<Bytes>,
}

/// Reads the state of an engine and gives it orders.
#[derive(Clone)]
pub struct EngineClient {
    address: SocketAddr,
    client: Client,
}

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ModelRow>,
}

#[derive(Deserialize)]
struct ModelRow {
    id: VersionDigest,
}

impl EngineClient {
    /// A client of the engine at `address`.
    pub fn new(address: SocketAddr, client: Client) -> Self {
        Self { address, client }
    }

    /// The versions that the engine says it has loaded.
    ///
    /// # Errors
    ///
    /// The engine does not answer in time, or not in the agreed shape.
    pub async fn models(&self) -> Result<Vec<VersionDigest>> {
        let url = format!("http://{}/v1/models", self.address);
        let mut response = match self.client.get(&url).timeout(READ_TIMEOUT).send().await {
            Ok(response) => response,
            Err(error) => bail!("the engine does not answer: {error}"),
        };
        if !response.status().is_success() {
            bail!("the engine answers {} for its models", response.status());
        }
        let list: ModelList = response.json().await.context("the engine's list is malformed")?;
        Ok(list.data.into_iter().map(|row| row.id).collect())
    }

    /// Orders the engine to load a version; the chunks are streamed without being copied.
    ///
    /// # Errors
    ///
    /// What became of the order is unknown, or the engine refused it in an unexpected way.
    pub async fn load(&self, body: LoadBody, fence: u64, timeout: Duration) -> Result<OrderAnswer> {
        let url = format!("http://{}/v1/models/{}", self.address, body.digest);
        let parts = body.chunks.into_iter().map(Ok::<Bytes, Infallible>);
        let stream = SizedStream::new(body.total_bytes, futures_util::stream::iter(parts));
        let request = self
            .client
            .put(url)
            .timeout(timeout)
            .insert_header((FENCE_HEADER, fence))
            .insert_header((CHUNK_BYTES_HEADER, body.chunk_bytes));
        match request.send_body(stream).await {
            Ok(response) => order_answer(response.status()),
            Err(error) => bail!("the engine does not answer the load order: {error}"),
        }
    }

    /// Orders the engine to unload a version.
    ///
    /// # Errors
    ///
    /// What became of the order is unknown, or the engine refused it in an unexpected way.
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
            Err(error) => bail!("the engine does not answer the unload order: {error}"),
        }
    }
}

fn order_answer(status: StatusCode) -> Result<OrderAnswer> {
    match status.as_u16() {
        200..300 | 404 => Ok(OrderAnswer::Done),
        409 => Ok(OrderAnswer::FencedOff),
        422 => Ok(OrderAnswer::WrongWeights),
        507 => Ok(OrderAnswer::Full),
        _ => bail!("the engine answers {status} to an order"),
    }
}
