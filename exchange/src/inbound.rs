//! The answering side of an exchange.

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::HeaderMap;
use actix_http::{ConnectionType, Method, Response, StatusCode, Uri, Version};
use bytes::{Bytes, BytesMut};
use std::time::Duration;
use std::{fmt, io};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Capacity of a connection's buffer for what it reads, in bytes.
const READ_BYTES: usize = 4096;
/// Bytes of further requests that are read while one is being answered.
const MAX_AHEAD_BYTES: usize = 64 * 1024;

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InboundLimits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Time from the first byte of a request to its last.
    pub read_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A request that was read whole.
#[derive(Debug, Clone)]
pub struct InboundRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Why no request was read.
#[derive(Debug, displaydoc::Display)]
pub enum InboundError {
    /// the connection ended between requests
    Closed,
    /// no request came in the time that a connection may stay idle
    IdleTimeout,
    /// the request took too long to arrive
    ReadTimeout,
    /// the request's head is too large
    HeadTooLarge,
    /// the request's body is too large
    BodyTooLarge,
    /// what was read is not a request
    Malformed,
    /// the connection failed: {0}
    Broken(io::Error),
}

impl std::error::Error for InboundError {}

impl From<io::Error> for InboundError {
    fn from(error: io::Error) -> Self {
        InboundError::Broken(error)
    }
}

/// A connection from a caller.
pub struct InboundConnection {
    stream: TcpStream,
    codec: Codec,
    buffer: BytesMut,
    output: BytesMut,
    ended: bool,
}

impl fmt::Debug for InboundConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("InboundConnection").field("ended", &self.ended).finish()
    }
}

impl InboundConnection {
    /// Takes over an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            codec: Codec::default(),
            buffer: BytesMut::new(),
            output: BytesMut::new(),
            ended: false,
        }
    }

    /// Waits for the first byte of the next request.
    ///
    /// # Errors
    ///
    /// [`InboundError::Closed`], [`InboundError::IdleTimeout`] or [`InboundError::Broken`].
    pub async fn wait_request(&mut self, idle_timeout: Duration) -> Result<(), InboundError> {
        if !self.buffer.is_empty() {
            return Ok(());
        }
        if self.ended {
            return Err(InboundError::Closed);
        }
        self.buffer = BytesMut::new();
        let readable = tokio::time::timeout(idle_timeout, self.stream.readable()).await;
        readable.map_err(|_| InboundError::IdleTimeout)??;
        match self.read_some().await? {
            0 => Err(InboundError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads a request whole.
    ///
    /// # Errors
    ///
    /// [`InboundError`]; the connection must then be closed.
    pub async fn read_request(
        &mut self,
        limits: &InboundLimits,
    ) -> Result<InboundRequest, InboundError> {
        let deadline = Instant::now() + limits.read_timeout;
        let read = self.read_whole(limits);
        timeout_at(deadline, read).await.map_err(|_| InboundError::ReadTimeout)?
    }

    async fn read_whole(&mut self, limits: &InboundLimits) -> Result<InboundRequest, InboundError> {
        let mut call = self.read_head(limits.head_bytes).await?;
        if matches!(self.codec.message_type(), MessageType::None) {
            return Ok(call);
        }
        let mut body = BytesMut::new();
        loop {
            match self.codec.decode(&mut self.buffer).map_err(|_| InboundError::Malformed)? {
                Some(Message::Chunk(Some(bytes))) => {
                    if body.len() + bytes.len() > limits.body_bytes {
                        return Err(InboundError::BodyTooLarge);
                    }
                    body.extend_from_slice(&bytes);
                }
                Some(Message::Chunk(None)) => break,
                Some(Message::Item(_)) => return Err(InboundError::Malformed),
                None => {
                    if self.read_some().await? == 0 {
                        return Err(InboundError::Closed);
                    }
                }
            }
        }
        call.body = body.freeze();
        Ok(call)
    }

    async fn read_head(&mut self, head_bytes: usize) -> Result<InboundRequest, InboundError> {
        loop {
            let before = self.buffer.len();
            let decoded = self.codec.decode(&mut self.buffer);
            if let Some(Message::Item(request)) = decoded.map_err(|_| InboundError::Malformed)? {
                if before - self.buffer.len() > head_bytes {
                    return Err(InboundError::HeadTooLarge);
                }
                let expects = request.head().headers().contains_key("expect");
                let (mut message, _) = request.into_parts();
                let head = &mut *message;
                let call = InboundRequest {
                    method: head.method.clone(),
                    uri: head.uri.clone(),
                    headers: std::mem::take(&mut head.headers),
                    body: Bytes::new(),
                };
                if expects && head.version == Version::HTTP_11 {
                    self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                }
                return Ok(call);
            }
            if self.buffer.len() > head_bytes {
                return Err(InboundError::HeadTooLarge);
            }
            if self.read_some().await? == 0 {
                return Err(InboundError::Closed);
            }
        }
    }

    async fn read_some(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        let count = self.stream.read_buf(&mut self.buffer).await?;
        self.ended |= count == 0;
        Ok(count)
    }

    /// Waits until the caller has closed the connection. Further requests that arrive meanwhile are
    /// kept; past a bound of them the wait never ends. Safe to be dropped before it is ready.
    pub async fn closed(&mut self) {
        while !self.ended && self.buffer.len() < MAX_AHEAD_BYTES {
            if self.read_some().await.is_err() {
                self.ended = true;
            }
        }
        if !self.ended {
            std::future::pending::<()>().await;
        }
    }

    /// Puts the head of an answer into the output. `close` tells the caller that the connection
    /// ends with the answer.
    ///
    /// # Errors
    ///
    /// Fails only if the head cannot be encoded.
    pub fn put_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        size: BodySize,
        close: bool,
    ) -> io::Result<()> {
        let mut response = Response::with_body(status, ());
        response.head_mut().headers = headers;
        if close {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        self.codec.encode(Message::Item((response, size)), &mut self.output)
    }

    /// Puts a part of the body into the output.
    ///
    /// # Errors
    ///
    /// Fails only if the part cannot be encoded.
    pub fn put_body(&mut self, bytes: Bytes) -> io::Result<()> {
        self.codec.encode(Message::Chunk(Some(bytes)), &mut self.output)
    }

    /// Puts the end of the body into the output.
    ///
    /// # Errors
    ///
    /// Fails if the body was shorter than its head said.
    pub fn put_end(&mut self) -> io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.output)
    }

    /// Sends what was put into the output.
    ///
    /// # Errors
    ///
    /// What the system reports; the caller is then gone.
    pub async fn flush(&mut self) -> io::Result<()> {
        if !self.output.is_empty() {
            self.stream.write_all_buf(&mut self.output).await?;
        }
        Ok(())
    }

    /// Whether the caller wants to send more requests on the connection.
    pub fn keeps_alive(&self) -> bool {
        self.codec.keep_alive() && !self.ended
    }

    /// Ends the sending side and waits until the caller has ended its own, so that no byte of an
    /// answer is lost to a reset.
    pub async fn finish(mut self, patience: Duration) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            while !self.ended {
                self.buffer.clear();
                if self.read_some().await.is_err() {
                    return;
                }
            }
        };
        // A caller that stays past the patience is cut off.
        let _ = tokio::time::timeout(patience, drain).await;
    }
}
