//! The server side of an exchange.

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::HeaderMap;
use actix_http::{ConnectionType, Method, Response, StatusCode, Uri, Version};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::io::Read;
use std::time::Duration;
use std::{fmt, io};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Free space reserved in the read buffer before each read, in bytes.
const READ_RESERVE_BYTES: usize = 4096;
/// Maximum bytes of pipelined requests that are buffered while one is being answered.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Size and time limits on a caller's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InboundLimits {
    /// Maximum size of a request's head.
    pub head_bytes: usize,
    /// Maximum size of a request's body.
    pub body_bytes: usize,
    /// Timeout for reading a request, from its first byte to its last.
    pub read_timeout: Duration,
    /// How long a connection may stay idle between requests.
    pub idle_timeout: Duration,
}

/// A request that has been read completely.
#[derive(Debug, Clone)]
pub struct InboundRequest {
    /// The method.
    pub method: Method,
    /// The URI of the request line.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// Why no request was read.
#[derive(Debug, displaydoc::Display)]
pub enum InboundError {
    /// connection closed by the caller
    Closed,
    /// no request within the idle timeout
    IdleTimeout,
    /// request not complete within the read timeout
    ReadTimeout,
    /// request head exceeds the size limit
    HeadTooLarge,
    /// request body exceeds the size limit
    BodyTooLarge,
    /// malformed request
    Malformed,
    /// connection failed: {0}
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
    eof: bool,
}

impl fmt::Debug for InboundConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("InboundConnection").field("ended", &self.eof).finish()
    }
}

impl InboundConnection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            codec: Codec::default(),
            buffer: BytesMut::new(),
            output: BytesMut::new(),
            eof: false,
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
        if self.eof {
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

    /// Reads a complete request.
    ///
    /// # Errors
    ///
    /// [`InboundError`]; the connection must then be closed.
    pub async fn read_request(
        &mut self,
        limits: &InboundLimits,
    ) -> Result<InboundRequest, InboundError> {
        let deadline = Instant::now() + limits.read_timeout;
        let read = self.read_complete(limits);
        timeout_at(deadline, read).await.map_err(|_| InboundError::ReadTimeout)?
    }

    async fn read_complete(
        &mut self,
        limits: &InboundLimits,
    ) -> Result<InboundRequest, InboundError> {
        let mut request = self.read_head(limits.head_bytes).await?;
        if matches!(self.codec.message_type(), MessageType::None) {
            return Ok(request);
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
        request.body = body.freeze();
        Ok(request)
    }

    async fn read_head(&mut self, head_bytes: usize) -> Result<InboundRequest, InboundError> {
        loop {
            let len_before = self.buffer.len();
            let decoded = self.codec.decode(&mut self.buffer);
            if let Some(Message::Item(request)) = decoded.map_err(|_| InboundError::Malformed)? {
                if len_before - self.buffer.len() > head_bytes {
                    return Err(InboundError::HeadTooLarge);
                }
                let expects_continue = request.head().headers().contains_key("expect");
                let (mut message, _) = request.into_parts();
                let head = &mut *message;
                let request = InboundRequest {
                    method: head.method.clone(),
                    uri: head.uri.clone(),
                    headers: std::mem::take(&mut head.headers),
                    body: Bytes::new(),
                };
                if expects_continue && head.version == Version::HTTP_11 {
                    self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                }
                return Ok(request);
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
        self.buffer.reserve(READ_RESERVE_BYTES);
        let count = self.stream.read_buf(&mut self.buffer).await?;
        self.eof |= count == 0;
        Ok(count)
    }

    /// Waits until the caller has closed the connection. Pipelined requests that arrive meanwhile
    /// are buffered; once `MAX_PIPELINED_BYTES` are buffered, the future never completes.
    /// Cancel-safe.
    pub async fn closed(&mut self) {
        while !self.eof && self.buffer.len() < MAX_PIPELINED_BYTES {
            if self.read_some().await.is_err() {
                self.eof = true;
            }
        }
        if !self.eof {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether the caller has closed the connection, also if the runtime has not noticed it yet.
    /// Pipelined requests are buffered as by [`InboundConnection::closed`].
    pub fn has_closed(&mut self) -> bool {
        let mut part = [0; READ_RESERVE_BYTES];
        while !self.eof && self.buffer.len() < MAX_PIPELINED_BYTES {
            match (&*SockRef::from(&self.stream)).read(&mut part) {
                Ok(count) => {
                    self.buffer.extend_from_slice(&part[..count]);
                    self.eof = count == 0;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.eof = true,
            }
        }
        self.eof
    }

    /// Appends the head of an answer to the output buffer. `close` announces to the caller that the
    /// connection ends with this answer.
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

    /// Appends the head of an answer that has neither a length nor chunks: its body ends with the
    /// connection, which the caller of this method has to close.
    ///
    /// # Errors
    ///
    /// Fails only if the head cannot be encoded.
    pub fn put_undelimited_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
    ) -> io::Result<()> {
        let mut response = Response::with_body(status, ());
        response.head_mut().headers = headers;
        response.head_mut().no_chunking(true);
        self.codec.encode(Message::Item((response, BodySize::Stream)), &mut self.output)
    }

    /// Makes the connection end with a reset instead of an orderly close when it is dropped.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn reset_on_drop(&self) -> io::Result<()> {
        self.stream.set_zero_linger()
    }

    /// Appends a part of the body to the output buffer.
    ///
    /// # Errors
    ///
    /// Fails only if the part cannot be encoded.
    pub fn put_body(&mut self, bytes: Bytes) -> io::Result<()> {
        self.codec.encode(Message::Chunk(Some(bytes)), &mut self.output)
    }

    /// Appends the end of the body to the output buffer.
    ///
    /// # Errors
    ///
    /// Fails if the body is shorter than the announced size.
    pub fn put_end(&mut self) -> io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.output)
    }

    /// Sends the output buffer.
    ///
    /// # Errors
    ///
    /// The error of the operating system; the connection can then no longer be used.
    pub async fn flush(&mut self) -> io::Result<()> {
        if !self.output.is_empty() {
            self.stream.write_all_buf(&mut self.output).await?;
        }
        Ok(())
    }

    /// Whether the connection stays open for further requests of the caller.
    pub fn keeps_alive(&self) -> bool {
        self.codec.keep_alive() && !self.eof
    }

    /// Shuts down the sending side and reads until the caller has closed its own, at most for
    /// `drain_timeout`. Closing at once could reset the connection and lose the end of an answer.
    pub async fn finish(mut self, drain_timeout: Duration) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            while !self.eof {
                self.buffer.clear();
                if self.read_some().await.is_err() {
                    return;
                }
            }
        };
        // If the caller has not closed by then, the connection is dropped.
        let _ = tokio::time::timeout(drain_timeout, drain).await;
    }
}
