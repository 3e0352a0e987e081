//! The caller side of the tests: sends requests concurrently with the test and checks the replies.

use super::relayed_fleet::RelayedFleet;
use anyhow::{Context, Result};
use awc::http::Method;
use buckthornwharf_standin::engine::expected_answer;
use buckthornwharf_standin::fleet::{
    CHAT_PATH, ENGINE_SERVICE, FleetClient, HttpReply, ORGANISATION_KEY,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use tokio::task::JoinHandle;

/// A request whose reply is awaited by a spawned task.
pub struct PendingRequest(JoinHandle<Result<HttpReply>>);

impl PendingRequest {
    /// Closes the caller's connection without waiting for the reply.
    pub fn abandon(self) {
        self.0.abort();
    }

    /// Waits for the reply.
    ///
    /// Fails if the request could not be sent or its connection broke.
    pub async fn reply(self) -> Result<HttpReply> {
        self.0.await.context("caller task panicked or was cancelled")?
    }
}

/// Sends a request on a new connection, with the organisation's key and `headers`.
pub async fn send(
    entry: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Result<HttpReply> {
    let key = format!("Bearer {ORGANISATION_KEY}");
    let default_headers = [("Authorization", key.as_str()), ("Content-Type", "application/json")];
    FleetClient::default()
        .send(method, entry, path, &[&default_headers, headers].concat(), body)
        .await
}

/// JSON body of a chat completion request of at most `tokens` tokens.
pub fn chat_body(prompt: &str, tokens: u32, stream: bool) -> String {
    let body = json!({
        "model": ENGINE_SERVICE,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    });
    body.to_string()
}

impl RelayedFleet {
    /// Starts a chat completion of at most `tokens` tokens at an entry.
    pub fn start_chat(
        &self,
        entry: usize,
        prompt: &str,
        tokens: u32,
        stream: bool,
    ) -> PendingRequest {
        let (entry, body) = (self.entry(entry), chat_body(prompt, tokens, stream));
        PendingRequest(actix_rt::spawn(async move {
            send(entry, Method::POST, CHAT_PATH, &[], body).await
        }))
    }

    /// Posts a booking, which is not idempotent, and waits for the reply.
    pub async fn book(
        &self,
        entry: usize,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Result<HttpReply> {
        send(self.entry(entry), Method::POST, "/portal/book", headers, body.to_owned()).await
    }

    /// Starts posting a booking, with an idempotency key unless `key` is empty.
    pub fn start_booking(&self, entry: usize, body: &str, key: &str) -> PendingRequest {
        let (entry, body, key) = (self.entry(entry), body.to_owned(), key.to_owned());
        PendingRequest(actix_rt::spawn(async move {
            let key_header = [("Idempotency-Key", key.as_str())];
            let headers = if key.is_empty() { &[][..] } else { &key_header[..] };
            send(entry, Method::POST, "/portal/book", headers, body).await
        }))
    }

    /// Panics unless the reply is the complete answer to `prompt` from the fleet's version.
    ///
    /// Fails if the body can't be parsed.
    pub fn check_complete(&self, reply: &HttpReply, prompt: &str, tokens: u32) -> Result<()> {
        let expected = expected_answer(prompt, tokens);
        assert_eq!(result_code(reply), "0 ok", "{prompt}: {}", reply.text());
        let digest = self.digest.to_string();
        assert_eq!(reply.header("x-model-digest"), Some(digest.as_str()));
        if reply.header("content-type") == Some("text/event-stream") {
            let stream = reply.stream()?;
            assert!(stream.is_done, "{prompt}: stream ended without its end marker");
            assert_eq!((stream.content, stream.fingerprints), (expected, vec![digest]));
            return Ok(());
        }
        let answer: Value = reply.json()?;
        assert_eq!(answer["choices"][0]["message"]["content"], expected.as_str());
        assert_eq!(answer["system_fingerprint"], digest.as_str());
        Ok(())
    }

    /// Panics if the reply could be taken for a complete answer, or holds text of another answer.
    ///
    /// A failed connection and any status other than 200 pass.
    pub fn check_incomplete(
        &self,
        reply: Result<HttpReply>,
        prompt: &str,
        tokens: u32,
    ) -> Result<()> {
        let Ok(reply) = reply else { return Ok(()) };
        if reply.status != 200 {
            return Ok(());
        }
        let stream = reply.stream()?;
        assert!(!stream.is_done, "{prompt}: the answer is complete");
        assert!(expected_answer(prompt, tokens).starts_with(&stream.content));
        Ok(())
    }
}

/// Result code of a reply, `none` if it has no such header.
pub fn result_code(reply: &HttpReply) -> &str {
    reply.header("x-result-code").unwrap_or("none")
}

/// Error class in the body of a refusal.
pub fn refusal_class(reply: &HttpReply) -> Result<String> {
    let body: Value = reply.json()?;
    Ok(body["error"]["class"].as_str().context("refusal has no error class")?.to_owned())
}

/// Whether the reply is a refusal of class `not_run`, which promises that the request never ran.
pub fn is_refused_not_run(reply: &Result<HttpReply>) -> bool {
    let refused = reply.as_ref().ok().filter(|reply| reply.status != 200);
    refused.is_some_and(|reply| refusal_class(reply).is_ok_and(|class| class == "not_run"))
}
