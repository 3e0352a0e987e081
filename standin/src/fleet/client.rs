//! HTTP client of tests, benches and the demo.

use anyhow::{Context, Result, anyhow, bail};
use awc::Client;
use awc::http::Method;
use awc::http::header::HeaderMap;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;

/// Longest time from sending a request to the response headers.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// HTTP client that works without TLS and returns complete responses.
#[derive(Clone)]
pub struct FleetClient {
    client: Client,
}

/// A complete HTTP response.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The combined events of a streamed chat completion.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StreamedCompletion {
    /// The text of all tokens.
    pub content: String,
    /// The `system_fingerprint` of the events, a version's digest, without consecutive duplicates.
    pub fingerprints: Vec<String>,
    /// The `finish_reason` of the last JSON event.
    pub finish_reason: Option<String>,
    /// Whether the stream ended with the `[DONE]` event.
    pub is_done: bool,
}

impl Default for FleetClient {
    fn default() -> Self {
        Self { client: Client::builder().timeout(RESPONSE_TIMEOUT).finish() }
    }
}

impl FleetClient {
    /// Sends a request and reads the complete response; any status counts as success.
    ///
    /// # Errors
    ///
    /// Fails if the request can't be sent, or if the response times out, is truncated or exceeds
    /// 64 MiB.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<HttpReply> {
        let request_line = format!("{method} http://{address}{path}");
        let mut request = self.client.request(method, format!("http://{address}{path}"));
        for header in headers {
            request = request.append_header(*header);
        }
        let result = request.send_body(body.into()).await;
        let mut response = result.map_err(|error| anyhow!("{request_line}: {error}"))?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body =
            body.map_err(|error| anyhow!("{request_line}: can't read the response body: {error}"))?;
        let headers = response.headers().clone();
        let reply = HttpReply { status: response.status().as_u16(), headers, body };
        reply.check_length().with_context(|| request_line)?;
        Ok(reply)
    }

    /// Sends a GET.
    ///
    /// # Errors
    ///
    /// As [`FleetClient::send`].
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<HttpReply> {
        self.send(Method::GET, address, path, &[], Bytes::new()).await
    }

    /// Sends a PUT.
    ///
    /// # Errors
    ///
    /// As [`FleetClient::send`].
    pub async fn put(
        &self,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<HttpReply> {
        self.send(Method::PUT, address, path, &[], body).await
    }

    /// Sets fault switches of the stand-in at `address`; those that `switches` does not name keep
    /// their value.
    ///
    /// # Errors
    ///
    /// Fails if the request fails or the stand-in rejects a switch.
    pub async fn set_faults(&self, address: SocketAddr, switches: &Value) -> Result<()> {
        self.put_json(address, "/fault", switches).await.map(drop)
    }

    /// Reads the counters of the stand-in at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the request fails or the counters can't be parsed as `T`.
    pub async fn counts<T: DeserializeOwned>(&self, address: SocketAddr) -> Result<T> {
        self.get(address, "/counts").await?.ok()?.json()
    }

    /// Sends `value` as JSON by PUT.
    ///
    /// # Errors
    ///
    /// Fails if the request fails or the status is not 200.
    pub async fn put_json(
        &self,
        address: SocketAddr,
        path: &str,
        value: &impl Serialize,
    ) -> Result<HttpReply> {
        self.put(address, path, serde_json::to_vec(value)?).await?.ok()
    }

    /// Publishes `content` in the weight store at `address`, in chunks of `chunk_bytes`, and
    /// returns the version's digest.
    ///
    /// # Errors
    ///
    /// Fails if the request fails or the store rejects the content.
    pub async fn publish(
        &self,
        address: SocketAddr,
        content: impl Into<Bytes>,
        chunk_bytes: u64,
    ) -> Result<VersionDigest> {
        let path = format!("/v1/publish?chunk_bytes={chunk_bytes}");
        let published: Value = self.put(address, &path, content).await?.ok()?.json()?;
        let digest =
            published["digest"].as_str().context("no digest in the response of the store")?;
        digest.parse().context("invalid digest in the response of the store")
    }
}

impl HttpReply {
    /// Returns the response itself if its status is 200.
    ///
    /// # Errors
    ///
    /// Any other status is an error that contains the status and the body.
    pub fn ok(self) -> Result<Self> {
        if self.status != 200 {
            bail!("expected status 200, got {}: {}", self.status, self.text());
        }
        Ok(self)
    }

    /// Compares the body with `Content-Length`: the client library treats a closed connection as
    /// the end of the body, even if bytes are missing.
    fn check_length(&self) -> Result<()> {
        let Some(length) = self.header("content-length") else { return Ok(()) };
        if length != self.body.len().to_string() {
            bail!("response truncated: got {} of {length} bytes", self.body.len());
        }
        Ok(())
    }

    /// The first header `name`, if it is ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body can't be parsed as `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body)
            .with_context(|| format!("invalid JSON body {:?}", self.text()))
    }

    /// Parses the body as the server-sent events of a streamed chat completion.
    ///
    /// # Errors
    ///
    /// Fails if an event is not valid JSON.
    pub fn stream(&self) -> Result<StreamedCompletion> {
        let mut completion = StreamedCompletion::default();
        for event in self.text().split("\n\n").filter_map(|event| event.strip_prefix("data: ")) {
            completion.add_event(event)?;
        }
        Ok(completion)
    }
}

impl StreamedCompletion {
    fn add_event(&mut self, event: &str) -> Result<()> {
        if event == "[DONE]" {
            self.is_done = true;
            return Ok(());
        }
        let object: Value =
            serde_json::from_str(event).with_context(|| format!("invalid JSON event {event:?}"))?;
        let choice = &object["choices"][0];
        self.content.push_str(choice["delta"]["content"].as_str().unwrap_or_default());
        self.finish_reason = choice["finish_reason"].as_str().map(str::to_owned);
        self.fingerprints.push(object["system_fingerprint"].as_str().unwrap_or("").to_owned());
        self.fingerprints.dedup();
        Ok(())
    }
}
