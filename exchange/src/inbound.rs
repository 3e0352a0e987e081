//! The server side of an exchange.

use crate::memory::{ConnectionMemory, Evicted};
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap};
use actix_http::{ConnectionType, Method, Response, StatusCode, Uri, Version};
use buckthornwharf_core::direct::memory::{FIELD_BYTES, HolderPhase};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::cell::Cell;
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
/// Header fields that a request may have; the limit of the codec.
const MAX_FIELDS: usize = 96;
/// Capacity that an empty buffer may keep for the next request or answer, in bytes.
const MAX_SPARE_BYTES: usize = 16 * 1024;
/// Capacity that is allocated for a body of known length before any of it has arrived, in bytes.
const MAX_FIRST_BODY_BYTES: usize = 64 * 1024;
/// Time in which a caller has to read [`MIN_WRITE_BYTES`], or the rest of what is sent to it. Engines cut off
/// answers that stay unread for some seconds, so a caller is given up before.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Least progress within the time above, in bytes: a rate of 32 KiB/s.
const MIN_WRITE_BYTES: usize = 48 * 1024;

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
    /// memory or connections of the process are spent
    NoMemory,
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

impl From<Evicted> for InboundError {
    fn from(_: Evicted) -> Self {
        InboundError::NoMemory
    }
}

/// A connection from a caller.
pub struct InboundConnection {
    stream: TcpStream,
    codec: Codec,
    buffer: BytesMut,
    output: BytesMut,
    eof: bool,
    memory: ConnectionMemory,
    /// Bytes that the request holds which is read or handled, apart from `buffer`.
    request_bytes: usize,
    write_timeout: Duration,
}

impl fmt::Debug for InboundConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("InboundConnection").field("ended", &self.eof).finish()
    }
}

impl InboundConnection {
    /// Wraps an accepted connection that is not bounded by a budget.
    pub fn new(stream: TcpStream) -> Self {
        Self::with_memory(stream, ConnectionMemory::default())
    }

    /// Wraps an accepted connection with its part of the budget.
    pub fn with_memory(stream: TcpStream, memory: ConnectionMemory) -> Self {
        Self {
            memory,
            request_bytes: 0,
            write_timeout: WRITE_TIMEOUT,
            stream,
            codec: Codec::default(),
            buffer: BytesMut::new(),
            output: BytesMut::new(),
            eof: false,
        }
    }

    /// Sets the time in which the peer has to read a part of what is sent to it.
    pub fn set_write_timeout(&mut self, write_timeout: Duration) {
        self.write_timeout = write_timeout;
    }

    /// Waits for the first byte of the next request.
    ///
    /// # Errors
    ///
    /// [`InboundError::Closed`], [`InboundError::IdleTimeout`], [`InboundError::NoMemory`] or
    /// [`InboundError::Broken`].
    pub async fn wait_request(&mut self, idle_timeout: Duration) -> Result<(), InboundError> {
        self.request_bytes = 0;
        if !self.buffer.is_empty() {
            self.memory.count(self.buffer.capacity());
            self.memory.set_phase(HolderPhase::Reading);
            return Ok(());
        }
        if self.eof {
            return Err(InboundError::Closed);
        }
        self.buffer = BytesMut::new();
        self.memory.try_hold(0);
        self.memory.set_phase(HolderPhase::Idle);
        let readable = tokio::time::timeout(idle_timeout, self.stream.readable());
        let readable = tokio::select! {
            biased;
            readable = readable => readable,
            () = self.memory.evicted() => return Err(InboundError::NoMemory),
        };
        readable.map_err(|_| InboundError::IdleTimeout)??;
        self.memory.set_phase(HolderPhase::Reading);
        match self.read_within_budget().await? {
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
        let read = timeout_at(deadline, read).await;
        let request = read.map_err(|_| InboundError::ReadTimeout).flatten();
        match request {
            Ok(_) => self.memory.set_phase(HolderPhase::Running),
            Err(_) => self.discard_request(),
        }
        request
    }

    async fn read_complete(
        &mut self,
        limits: &InboundLimits,
    ) -> Result<InboundRequest, InboundError> {
        let (mut request, expects_continue) = self.read_head(limits.head_bytes).await?;
        if matches!(self.codec.message_type(), MessageType::None) {
            return Ok(request);
        }
        let length = declared_length(&request.headers);
        if length.is_some_and(|length| length > limits.body_bytes as u64) {
            return Err(InboundError::BodyTooLarge);
        }
        self.memory.set_key(&request.headers);
        let head_bytes = self.request_bytes;
        let max_bytes = length.map_or(limits.body_bytes, |length| length as usize);
        let mut body = Vec::new();
        if let Some(length) = length {
            let capacity = (length as usize).min(MAX_FIRST_BODY_BYTES);
            self.grow_body(&mut body, head_bytes, capacity).await?;
        }
        if expects_continue {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        loop {
            match self.codec.decode(&mut self.buffer).map_err(|_| InboundError::Malformed)? {
                Some(Message::Chunk(Some(bytes))) => {
                    let len = body.len() + bytes.len();
                    if len > limits.body_bytes {
                        return Err(InboundError::BodyTooLarge);
                    }
                    if len > body.capacity() {
                        let capacity = (2 * body.capacity()).max(READ_RESERVE_BYTES);
                        let capacity = capacity.min(max_bytes).max(len);
                        self.grow_body(&mut body, head_bytes, capacity).await?;
                    }
                    body.extend_from_slice(&bytes);
                }
                Some(Message::Chunk(None)) => break,
                Some(Message::Item(_)) => return Err(InboundError::Malformed),
                None => {
                    if self.read_within_budget().await? == 0 {
                        return Err(InboundError::Closed);
                    }
                }
            }
        }
        request.body = Bytes::from(body);
        Ok(request)
    }

    /// Grows the capacity of a body once the budget has room for it.
    async fn grow_body(
        &mut self,
        body: &mut Vec<u8>,
        head_bytes: usize,
        capacity: usize,
    ) -> Result<(), InboundError> {
        let request_bytes = head_bytes + capacity;
        self.memory.hold(self.buffer.capacity() + request_bytes).await?;
        self.request_bytes = request_bytes;
        body.reserve_exact(capacity - body.len());
        Ok(())
    }

    /// Reads a head. Returns the request without its body, and whether the caller waits for a `100 Continue`.
    async fn read_head(
        &mut self,
        head_bytes: usize,
    ) -> Result<(InboundRequest, bool), InboundError> {
        // Bytes that contain no end of a head. A head is not parsed again before its end has arrived: with callers
        // that send a byte at a time, this would take time in proportion to the square of its length.
        let mut searched_bytes = 0;
        loop {
            let len_before = self.buffer.len();
            let may_be_complete = searched_bytes == 0 || has_head_end(&self.buffer, searched_bytes);
            searched_bytes = len_before;
            if may_be_complete {
                let decoded = self.codec.decode(&mut self.buffer);
                if let Some(Message::Item(request)) = decoded.map_err(|_| self.head_error())? {
                    let read_bytes = len_before - self.buffer.len();
                    if read_bytes > head_bytes {
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
                    self.request_bytes =
                        read_bytes.max(READ_RESERVE_BYTES) + request.headers.len() * FIELD_BYTES;
                    self.memory.count(self.buffer.capacity() + self.request_bytes);
                    return Ok((request, expects_continue && head.version == Version::HTTP_11));
                }
            }
            if self.buffer.len() > head_bytes {
                return Err(InboundError::HeadTooLarge);
            }
            if self.read_within_budget().await? == 0 {
                return Err(InboundError::Closed);
            }
        }
    }

    /// Why the head in the buffer could not be parsed: the codec does not tell too many fields from other errors.
    fn head_error(&self) -> InboundError {
        // The request line and the empty line are no fields.
        let lines = self.buffer.iter().filter(|byte| **byte == b'\n').count();
        match lines > MAX_FIELDS {
            true => InboundError::HeadTooLarge,
            false => InboundError::Malformed,
        }
    }

    /// Reads once the budget has room for it.
    async fn read_within_budget(&mut self) -> Result<usize, InboundError> {
        let capacity = self.buffer.capacity().max(self.buffer.len() + READ_RESERVE_BYTES);
        self.memory.hold(capacity + self.request_bytes).await?;
        self.buffer.reserve(READ_RESERVE_BYTES);
        let count = tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.buffer) => read?,
            () = self.memory.evicted() => return Err(InboundError::NoMemory),
        };
        self.eof |= count == 0;
        Ok(count)
    }

    async fn read_some(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_RESERVE_BYTES);
        let count = self.stream.read_buf(&mut self.buffer).await?;
        self.eof |= count == 0;
        Ok(count)
    }

    /// Waits until the caller has closed the connection. Pipelined requests that arrive meanwhile
    /// are buffered; once `MAX_PIPELINED_BYTES` are buffered or the budget is spent, the future never completes.
    /// Cancel-safe.
    pub async fn closed(&mut self) {
        while !self.eof && self.may_read_ahead() {
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
        while !self.eof && self.may_read_ahead() {
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

    /// Returns whether bytes of the next request have been read.
    pub fn has_read_ahead(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn may_read_ahead(&self) -> bool {
        let capacity = self.buffer.capacity().max(self.buffer.len() + READ_RESERVE_BYTES);
        self.buffer.len() < MAX_PIPELINED_BYTES
            && self.memory.try_hold(capacity + self.request_bytes)
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

    /// Sends the output buffer. A caller that does not read in time, or whose memory is needed for others
    /// meanwhile, is given up.
    ///
    /// # Errors
    ///
    /// The error of the operating system, [`io::ErrorKind::TimedOut`] or [`io::ErrorKind::OutOfMemory`]; the
    /// connection can then no longer be used.
    pub async fn flush(&mut self) -> io::Result<()> {
        if self.output.is_empty() {
            return Ok(());
        }
        let unsent_bytes = self.buffer.capacity() + self.request_bytes + self.output.capacity();
        let (stream, output, memory) = (&mut self.stream, &mut self.output, &self.memory);
        let is_blocked = Cell::new(false);
        while !output.is_empty() {
            let goal = output.len().saturating_sub(MIN_WRITE_BYTES);
            let write = async {
                while output.len() > goal {
                    if stream.write_buf(output).await? == 0 {
                        return Err(io::ErrorKind::WriteZero.into());
                    }
                }
                io::Result::Ok(())
            };
            let evicted = async {
                is_blocked.set(true);
                memory.count(unsent_bytes);
                memory.set_phase(HolderPhase::Sending);
                memory.evicted().await;
            };
            let step = async {
                tokio::select! {
                    biased;
                    written = write => written,
                    () = evicted => Err(io::ErrorKind::OutOfMemory.into()),
                }
            };
            let step = tokio::time::timeout(self.write_timeout, step).await;
            step.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        }
        if self.output.capacity() > MAX_SPARE_BYTES {
            self.output = BytesMut::new();
        }
        if is_blocked.get() {
            self.memory.count(self.buffer.capacity() + self.request_bytes);
            self.memory.set_phase(HolderPhase::Running);
        }
        Ok(())
    }

    /// Releases what was read of a request that was not read completely.
    fn discard_request(&mut self) {
        self.buffer = BytesMut::new();
        self.request_bytes = 0;
        self.memory.try_hold(0);
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
        self.discard_request();
        self.memory.set_phase(HolderPhase::Idle);
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

/// Returns the length of the body that the head declares.
fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// Returns whether an empty line, which ends a head, ends in `buffer` after the first `searched_bytes`.
fn has_head_end(buffer: &[u8], searched_bytes: usize) -> bool {
    // An empty line has up to two more bytes before its last one, which may have been searched before.
    let rest = &buffer[searched_bytes.saturating_sub(2)..];
    let ends = rest.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    ends.into_iter().any(|(end, _)| matches!(&rest[end + 1..], [b'\n', ..] | [b'\r', b'\n', ..]))
}
