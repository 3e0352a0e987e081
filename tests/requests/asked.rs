//! Requests that run beside the test, and what their callers see.

use super::proof_fleet::ProofFleet;
use anyhow::{Context, Result};
use awc::http::Method;
use buckthornwharf_standin::engine::expected_answer;
use buckthornwharf_standin::fleet::{
    CHAT_PATH, ENGINE_SERVICE, FleetClient, HttpReply, ORGANISATION_KEY,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use tokio::task::JoinHandle;

/// A request whose answer is awaited by a task; it is given up when this is dropped.
pub struct AskedRequest(JoinHandle<Result<HttpReply>>);

impl AskedRequest {
    /// The caller goes away.
    pub fn abandon(self) {
        self.0.abort();
    }

    /// Waits for the answer.
    pub async fn reply(self) -> Result<HttpReply> {
        self.0.await.context("the caller's task ended")?
    }
}

/// Sends a call on a connection of its own, with the organisation's key and more headers.
pub async fn send(
    entry: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Result<HttpReply> {
    let key = format!("Bearer {ORGANISATION_KEY}");
    let own = [("Authorization", key.as_str()), ("Content-Type", "application/json")];
    FleetClient::default().send(method, entry, path, &[&own, headers].concat(), body).await
}

/// The body of a request for a chat completion.
pub fn chat_body(prompt: &str, tokens: u32, stream: bool) -> String {
    let body = json!({
        "model": ENGINE_SERVICE,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    });
    body.to_string()
}

impl ProofFleet {
    /// Asks an entry for a chat completion.
    pub fn ask(&self, entry: usize, prompt: &str, tokens: u32, stream: bool) -> AskedRequest {
        let (entry, body) = (self.entry(entry), chat_body(prompt, tokens, stream));
        AskedRequest(actix_rt::spawn(async move {
            send(entry, Method::POST, CHAT_PATH, &[], body).await
        }))
    }

    /// Posts a booking, which must not be repeated, and waits for the answer.
    pub async fn book(
        &self,
        entry: usize,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Result<HttpReply> {
        send(self.entry(entry), Method::POST, "/portal/book", headers, body.to_owned()).await
    }

    /// Posts a booking beside the test, with an idempotency key unless that is empty.
    pub fn ask_booking(&self, entry: usize, body: &str, key: &str) -> AskedRequest {
        let (entry, body, key) = (self.entry(entry), body.to_owned(), key.to_owned());
        AskedRequest(actix_rt::spawn(async move {
            let keyed = [("Idempotency-Key", key.as_str())];
            let headers = if key.is_empty() { &[][..] } else { &keyed[..] };
            send(entry, Method::POST, "/portal/book", headers, body).await
        }))
    }

    /// Fails unless the reply is the whole answer to `prompt` from the fleet's version.
    pub fn check_whole(&self, reply: &HttpReply, prompt: &str, tokens: u32) -> Result<()> {
        let expected = expected_answer(prompt, tokens);
        assert_eq!(code_of(reply), "0 ok", "{prompt}: {}", reply.text());
        let digest = self.digest.to_string();
        assert_eq!(reply.header("x-model-digest"), Some(digest.as_str()));
        if reply.header("content-type") == Some("text/event-stream") {
            let stream = reply.stream()?;
            assert!(stream.is_done, "{prompt}: a stream without its end was taken for whole");
            assert_eq!((stream.content, stream.fingerprints), (expected, vec![digest]));
            return Ok(());
        }
        let answer: Value = reply.json()?;
        assert_eq!(answer["choices"][0]["message"]["content"], expected.as_str());
        assert_eq!(answer["system_fingerprint"], digest.as_str());
        Ok(())
    }

    /// Fails if the reply could be taken for a whole answer, or holds another one's text.
    pub fn check_broken(&self, reply: Result<HttpReply>, prompt: &str, tokens: u32) -> Result<()> {
        let Ok(reply) = reply else { return Ok(()) };
        if reply.status != 200 {
            return Ok(());
        }
        let stream = reply.stream()?;
        assert!(!stream.is_done, "{prompt}: the answer is not broken");
        assert!(expected_answer(prompt, tokens).starts_with(&stream.content));
        Ok(())
    }
}

/// The result code of a reply.
pub fn code_of(reply: &HttpReply) -> &str {
    reply.header("x-result-code").unwrap_or("none")
}

/// The class of a refusal.
pub fn class_of(reply: &HttpReply) -> Result<String> {
    let body: Value = reply.json()?;
    Ok(body["error"]["class"].as_str().context("no class")?.to_owned())
}

/// Whether the refusal says that the work did not run.
pub fn says_not_run(reply: &Result<HttpReply>) -> bool {
    let refused = reply.as_ref().ok().filter(|reply| reply.status != 200);
    refused.is_some_and(|reply| class_of(reply).is_ok_and(|class| class == "not_run"))
}
