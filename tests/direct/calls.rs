//! Requests of callers to the entries of a fleet, and their answers.

use super::super::standin::caller::CallerRequest;
use super::super::standin::operator::HOST;
use super::{CONDITION_TIMEOUT, DirectFleet, POLL_INTERVAL, eventually};
use actix_http::Method;
use buckthornwharf_exchange::{AnswerHead, BodyPart, OutboundConnection, OutboundRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time for which a caller waits for an answer, in milliseconds.
const DEADLINE_MS: &str = "5000";
/// Input and output tokens of a request.
const TOKENS: &str = "10,10";

/// The answer that a caller got.
#[derive(Debug)]
pub struct EntryReply {
    pub status: u16,
    pub body: String,
    /// Whether the body was received up to its proper end.
    pub complete: bool,
    head: AnswerHead,
}

impl EntryReply {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

impl DirectFleet {
    pub async fn get(&self, path: &str, id: &str) -> EntryReply {
        self.get_with_key(path, id, "secret").await
    }

    pub async fn get_with_key(&self, path: &str, id: &str, key: &str) -> EntryReply {
        self.send(Method::GET, path, id, key, "").await
    }

    pub async fn post(&self, path: &str, id: &str) -> EntryReply {
        self.send(Method::POST, path, id, "secret", "an order").await
    }

    /// Sends a request whose prompt consists of `parts` to an entry.
    pub async fn prompt(&self, entry: usize, path: &str, id: &str, parts: &str) -> EntryReply {
        let request = CallerRequest {
            method: Method::POST,
            path,
            id,
            key: "secret",
            deadline_ms: DEADLINE_MS,
            tokens: TOKENS,
            prompt_parts: parts,
            body: format!("body of {id}"),
        };
        self.exchange(entry, request.outbound()).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        id: &str,
        key: &str,
        body: &str,
    ) -> EntryReply {
        self.exchange(0, caller_request(method, path, id, key, body)).await
    }

    /// Sends a request without a prompt to an entry.
    pub async fn request(&self, entry: usize, method: Method, path: &str, id: &str) -> EntryReply {
        self.exchange(entry, caller_request(method, path, id, "secret", "")).await
    }

    /// Opens a connection, and sends a request on it after a pause.
    pub async fn get_on_idle_connection(&self, path: &str, id: &str) -> EntryReply {
        let connection = self.connect(0).await;
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let request = caller_request(Method::GET, path, id, "secret", "");
        Self::exchange_on(connection, request).await
    }

    async fn exchange(&self, entry: usize, request: OutboundRequest) -> EntryReply {
        let connection = self.connect(entry).await;
        Self::exchange_on(connection, request).await
    }

    async fn exchange_on(
        mut connection: OutboundConnection,
        request: OutboundRequest,
    ) -> EntryReply {
        let head = connection.exchange(request).await.expect("an answer");
        let mut bytes = Vec::new();
        let complete = loop {
            match connection.read_body().await {
                Ok(BodyPart::Data(part)) => bytes.extend_from_slice(&part),
                Ok(BodyPart::End) => break true,
                Ok(BodyPart::Closed) | Err(_) => break false,
            }
        };
        let body = String::from_utf8(bytes).expect("text");
        EntryReply { status: head.status.as_u16(), body, complete, head }
    }

    async fn connect(&self, entry: usize) -> OutboundConnection {
        OutboundConnection::open(self.entries[entry].callers, CONDITION_TIMEOUT)
            .await
            .expect("the entry takes connections")
    }

    /// Sends a request and closes the connection once a target has it.
    pub async fn disconnect_early(&self, path: &str, id: &str) {
        let mut connection = self.connect(0).await;
        let exchange = connection.exchange(caller_request(Method::GET, path, id, "secret", ""));
        let arrived = eventually("the request arrives", || self.runs() > 0);
        tokio::select! {
            _ = exchange => panic!("a hanging target answered"),
            () = arrived => {}
        }
    }

    /// Sends a request and closes the connection at once, in an orderly way.
    pub async fn send_and_leave(&self, path: &str, id: &str) {
        let head = format!(
            "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer secret\r\n\
             attempt-id: {id}\r\ndeadline-ms: {DEADLINE_MS}\r\n\r\n"
        );
        let mut stream = TcpStream::connect(self.entries[0].callers).await.expect("it connects");
        stream.write_all(head.as_bytes()).await.expect("the connection is open");
    }

    /// Sends a request, and returns its connection, from which nothing is read.
    pub async fn post_unread(&self, path: &str, id: String) -> TcpStream {
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer secret\r\n\
             attempt-id: {id}\r\ndeadline-ms: {DEADLINE_MS}\r\ncontent-length: 0\r\n\r\n"
        );
        let mut stream = TcpStream::connect(self.entries[0].callers).await.expect("it connects");
        stream.write_all(head.as_bytes()).await.expect("the connection is open");
        stream
    }

    /// Sends a request, and returns the bytes that arrive until the connection ends.
    pub async fn post_raw(&self, path: &str, id: &str) -> String {
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer secret\r\n\
             attempt-id: {id}\r\ndeadline-ms: {DEADLINE_MS}\r\nconnection: close\r\n\
             content-length: 0\r\n\r\n"
        );
        let mut stream = TcpStream::connect(self.entries[0].callers).await.expect("it connects");
        stream.write_all(head.as_bytes()).await.expect("the connection is open");
        let mut bytes = Vec::new();
        // A reset ends the connection like a close: what arrived before it counts.
        let end = tokio::time::timeout(CONDITION_TIMEOUT, stream.read_to_end(&mut bytes)).await;
        assert!(end.is_ok(), "the connection of {id} does not end");
        String::from_utf8(bytes).expect("text")
    }

    /// Sends a request and terminates the entry (SIGTERM) once a target has it.
    pub async fn get_during_shutdown(&mut self, path: &str, id: &str) -> EntryReply {
        let mut connection = self.connect(0).await;
        let exchange = connection.exchange(caller_request(Method::GET, path, id, "secret", ""));
        let engines = self.engines.clone();
        let entry = &self.entries[0].process;
        let shutdown = async move {
            let arrived = || engines.iter().any(|engine| engine.runs() > 0);
            eventually("the request arrives", arrived).await;
            entry.borrow_mut().terminate().expect("the entry runs");
        };
        let (head, ()) = tokio::join!(exchange, shutdown);
        let head = head.expect("an answer");
        let mut body = String::new();
        loop {
            match connection.read_body().await.expect("the complete answer") {
                BodyPart::Data(part) => body += std::str::from_utf8(&part).expect("text"),
                BodyPart::End => break,
                BodyPart::Closed => panic!("the answer has no framing"),
            }
        }
        EntryReply { status: head.status.as_u16(), body, complete: true, head }
    }

    /// Repeats a request until the entry answers with `status`.
    pub async fn wait_status(&self, path: &str, key: &str, status: u16) {
        let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
        let mut number = 0;
        while self.get_with_key(path, &format!("until-{path}-{number}"), key).await.status != status
        {
            assert!(tokio::time::Instant::now() < deadline, "{path} does not answer {status}");
            number += 1;
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn caller_request(method: Method, path: &str, id: &str, key: &str, body: &str) -> OutboundRequest {
    let body = body.to_owned();
    let (deadline_ms, tokens, prompt_parts) = (DEADLINE_MS, TOKENS, "");
    CallerRequest { method, path, id, key, deadline_ms, tokens, prompt_parts, body }.outbound()
}
