//! A small HTTP client for tests and the demo.

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

/// How long a call may take until its answer begins.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Most bytes of an answer.
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

/// An HTTP client.
#[derive(Clone)]
pub struct FleetClient {
    client: Client,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// What a streamed chat completion said.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StreamedCompletion {
    /// The text of all tokens.
    pub content: String,
    /// The digests that the objects carry, without repeats in a row.
    pub fingerprints: Vec<String>,
    /// Why the answer ended.
    pub finish_reason: Option<String>,
    /// Whether the end mark came.
    pub is_done: bool,
}

impl Default for FleetClient {
    fn default() -> Self {
        Self { client: Client::builder().timeout(CALL_TIMEOUT).finish() }
    }
}

impl FleetClient {
    /// Sends a call and reads its whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Fails where no whole answer comes.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<HttpReply> {
        let place = format!("{method} http://{address}{path}");
        let mut request = self.client.request(method, format!("http://{address}{path}"));
        for header in headers {
            request = request.append_header(*header);
        }
        let sent = request.send_body(body.into()).await;
        let mut response = sent.map_err(|error| anyhow!("{place}: {error}"))?;
        let body = response.body().limit(MAX_REPLY_BYTES).await;
        let body = body.map_err(|error| anyhow!("{place}: the answer breaks off: {error}"))?;
        let headers = response.headers().clone();
        let reply = HttpReply { status: response.status().as_u16(), headers, body };
        reply.check_length().with_context(|| place)?;
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

    /// Sets switches of the stand-in at `address`.
    ///
    /// # Errors
    ///
    /// Fails where the stand-in does not take them.
    pub async fn set_faults(&self, address: SocketAddr, switches: &Value) -> Result<()> {
        self.put_json(address, "/fault", switches).await.map(drop)
    }

    /// The counters of the stand-in at `address`.
    ///
    /// # Errors
    ///
    /// Fails where they do not come or have another shape.
    pub async fn counts<T: DeserializeOwned>(&self, address: SocketAddr) -> Result<T> {
        self.get(address, "/counts").await?.ok()?.json()
    }

    /// Puts `value` as JSON.
    ///
    /// # Errors
    ///
    /// Fails on any status but 200.
    pub async fn put_json(
        &self,
        address: SocketAddr,
        path: &str,
        value: &impl Serialize,
    ) -> Result<HttpReply> {
        self.put(address, path, serde_json::to_vec(value)?).await?.ok()
    }

    /// Publishes `content` in the weight store at `address` and returns its digest.
    ///
    /// # Errors
    ///
    /// Fails where the store does not take it.
    pub async fn publish(
        &self,
        address: SocketAddr,
        content: impl Into<Bytes>,
        chunk_bytes: u64,
    ) -> Result<VersionDigest> {
        let path = format!("/v1/publish?chunk_bytes={chunk_bytes}");
        let answer: Value = self.put(address, &path, content).await?.ok()?.json()?;
        let digest = answer["digest"].as_str().context("no digest in the answer")?;
        digest.parse().context("bad digest in the answer")
    }
}

impl HttpReply {
    /// The reply itself, if its status is 200.
    ///
    /// # Errors
    ///
    /// Tells the status and the body otherwise.
    pub fn ok(self) -> Result<Self> {
        if self.status != 200 {
            bail!("status {}: {}", self.status, self.text());
        }
        Ok(self)
    }

    /// The client takes the end of a connection for the end of a body, also where bytes are missing.
    fn check_length(&self) -> Result<()> {
        let Some(length) = self.header("content-length") else { return Ok(()) };
        if length != self.body.len().to_string() {
            bail!("the answer breaks off after {} of {length} bytes", self.body.len());
        }
        Ok(())
    }

    /// The header `name`.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    ///
    /// # Errors
    ///
    /// Fails where it has another shape.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).with_context(|| format!("in {:?}", self.text()))
    }

    /// The body as a streamed chat completion.
    ///
    /// # Errors
    ///
    /// Fails where an event is no JSON.
    pub fn stream(&self) -> Result<StreamedCompletion> {
        let mut reply = StreamedCompletion::default();
        for event in self.text().split("\n\n").filter_map(|event| event.strip_prefix("data: ")) {
            reply.add_event(event)?;
        }
        Ok(reply)
    }
}

impl StreamedCompletion {
    fn add_event(&mut self, event: &str) -> Result<()> {
        if event == "[DONE]" {
            self.is_done = true;
            return Ok(());
        }
        let object: Value = serde_json::from_str(event).with_context(|| format!("in {event:?}"))?;
        let choice = &object["choices"][0];
        self.content.push_str(choice["delta"]["content"].as_str().unwrap_or_default());
        self.finish_reason = choice["finish_reason"].as_str().map(str::to_owned);
        self.fingerprints.push(object["system_fingerprint"].as_str().unwrap_or("").to_owned());
        self.fingerprints.dedup();
        Ok(())
    }
}
