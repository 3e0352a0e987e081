//! The calling side of an exchange.

use crate::socket;
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{self, HeaderMap};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Uri, Version};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use std::{fmt, io, mem};
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::TcpStream;

/// Capacity of a connection's buffer for what it reads, in bytes.
const READ_BYTES: usize = 4096;
/// Most bytes of an answer's head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A request to be sent.
#[derive(Debug, Clone)]
pub struct OutboundRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers, `Host` included; length and connection are set by the exchange.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// The head of an answer.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// Bytes of the body, if the answer names them.
    pub length: Option<u64>,
}

/// What comes next of an answer's body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyPart {
    /// Bytes, never empty.
    Data(Bytes),
    /// The whole body has been read.
    End,
}

/// Why an exchange ended without a whole answer.
#[derive(Debug, displaydoc::Display)]
pub enum ExchangeError {
    /// the connection failed: {0}
    Broken(io::Error),
    /// the connection ended before the answer did
    ClosedEarly,
    /// what was read is not an answer in the protocol
    Malformed,
}

impl std::error::Error for ExchangeError {}

impl From<io::Error> for ExchangeError {
    fn from(error: io::Error) -> Self {
        ExchangeError::Broken(error)
    }
}

/// How the end of the body that is being read is told.
#[allow(clippy::large_enum_variant)]
enum BodyFraming {
    /// No body is due.
    Idle(ClientCodec),
    /// The codec tells.
    Framed(ClientPayloadCodec),
    /// The body ends with the connection.
    UntilClose,
    /// The state is lost; the connection is of no more use.
    Lost,
}

/// A connection to a server, for one exchange at a time.
pub struct OutboundConnection {
    stream: TcpStream,
    framing: BodyFraming,
    buffer: BytesMut,
    unsent: BytesMut,
    reusable: bool,
}

impl fmt::Debug for OutboundConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OutboundConnection").field("reusable", &self.reusable).finish()
    }
}

impl OutboundConnection {
    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    ///
    /// What the system reports, or [`io::ErrorKind::TimedOut`].
    pub async fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = socket::connect(address, timeout).await?;
        Ok(Self {
            stream,
            framing: BodyFraming::Idle(ClientCodec::default()),
            buffer: BytesMut::new(),
            unsent: BytesMut::new(),
            reusable: true,
        })
    }

    /// Whether the connection may carry another exchange: the last one ended cleanly, no byte is
    /// left over, and the other side has not closed it.
    pub fn is_reusable(&mut self) -> bool {
        if !self.reusable || !self.buffer.is_empty() || !self.unsent.is_empty() {
            return false;
        }
        if !matches!(self.framing, BodyFraming::Idle(_)) {
            return false;
        }
        // Asks the system: the runtime may not have heard yet that the other side closed.
        let mut probe = [MaybeUninit::<u8>::uninit(); 1];
        let read = SockRef::from(&self.stream).peek(&mut probe);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the head of the answer. An answer may come before the request is
    /// sent whole; the connection is then not used again.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`]; the request may have been read all the same.
    pub async fn exchange(
        &mut self,
        request: OutboundRequest,
    ) -> Result<AnswerHead, ExchangeError> {
        self.encode(request)?;
        while !self.unsent.is_empty() {
            let ready = self.stream.ready(Interest::READABLE | Interest::WRITABLE).await?;
            if ready.is_writable() {
                self.write_some()?;
            }
            if ready.is_readable() && !self.unsent.is_empty() {
                let ended = self.read_some()?;
                if let Some(head) = self.decode_head()? {
                    self.reusable = false;
                    return Ok(head);
                }
                if ended {
                    return Err(ExchangeError::ClosedEarly);
                }
            }
        }
        self.read_head().await
    }

    /// Reads the head of an answer.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] if none comes.
    pub async fn read_head(&mut self) -> Result<AnswerHead, ExchangeError> {
        loop {
            if let Some(head) = self.decode_head()? {
                return Ok(head);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ExchangeError::Malformed);
            }
            self.buffer.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(ExchangeError::ClosedEarly);
            }
        }
    }

    /// Reads on in the body of the answer. Safe to be dropped before it is ready.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] if the body ends before its time.
    pub async fn read_body(&mut self) -> Result<BodyPart, ExchangeError> {
        loop {
            if let Some(part) = self.decode_body()? {
                return Ok(part);
            }
            self.buffer.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return self.end_of_connection();
            }
        }
    }

    /// The part of the body that has been read already, if there is one.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::Malformed`] if the framing is wrong.
    pub fn decode_body(&mut self) -> Result<Option<BodyPart>, ExchangeError> {
        match mem::replace(&mut self.framing, BodyFraming::Lost) {
            BodyFraming::Idle(codec) => {
                self.framing = BodyFraming::Idle(codec);
                Ok(Some(BodyPart::End))
            }
            BodyFraming::Framed(mut codec) => {
                let decoded =
                    codec.decode(&mut self.buffer).map_err(|_| ExchangeError::Malformed)?;
                match decoded {
                    Some(None) => {
                        self.framing = BodyFraming::Idle(codec.into_message_codec());
                        Ok(Some(BodyPart::End))
                    }
                    Some(Some(bytes)) => {
                        self.framing = BodyFraming::Framed(codec);
                        Ok(Some(BodyPart::Data(bytes)))
                    }
                    None => {
                        self.framing = BodyFraming::Framed(codec);
                        Ok(None)
                    }
                }
            }
            BodyFraming::UntilClose => {
                self.framing = BodyFraming::UntilClose;
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                Ok(Some(BodyPart::Data(self.buffer.split().freeze())))
            }
            BodyFraming::Lost => Err(ExchangeError::ClosedEarly),
        }
    }

    fn end_of_connection(&mut self) -> Result<BodyPart, ExchangeError> {
        self.reusable = false;
        match self.framing {
            BodyFraming::UntilClose => {
                self.framing = BodyFraming::Idle(ClientCodec::default());
                Ok(BodyPart::End)
            }
            _ => Err(ExchangeError::ClosedEarly),
        }
    }

    fn encode(&mut self, request: OutboundRequest) -> Result<(), ExchangeError> {
        let BodyFraming::Idle(codec) = &mut self.framing else {
            return Err(ExchangeError::ClosedEarly);
        };
        let has_body = !request.body.is_empty() || request.method != Method::GET;
        let size = match has_body {
            true => BodySize::Sized(request.body.len() as u64),
            false => BodySize::None,
        };
        let mut head = RequestHead::default();
        head.method = request.method;
        head.uri = request.uri;
        head.headers = request.headers;
        head.version = Version::HTTP_11;
        codec.encode(Message::Item((RequestHeadType::from(head), size)), &mut self.unsent)?;
        if !request.body.is_empty() {
            codec.encode(Message::Chunk(Some(request.body)), &mut self.unsent)?;
        }
        self.write_some()?;
        Ok(())
    }

    fn write_some(&mut self) -> io::Result<()> {
        while !self.unsent.is_empty() {
            match self.stream.try_write(&self.unsent) {
                Ok(sent) => drop(self.unsent.split_to(sent)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Reads what is there; whether the connection has ended.
    fn read_some(&mut self) -> io::Result<bool> {
        self.buffer.reserve(READ_BYTES);
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(count) => Ok(count == 0),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(error) => Err(error),
        }
    }

    fn decode_head(&mut self) -> Result<Option<AnswerHead>, ExchangeError> {
        loop {
            let BodyFraming::Idle(codec) = &mut self.framing else {
                return Err(ExchangeError::ClosedEarly);
            };
            let decoded = codec.decode(&mut self.buffer).map_err(|_| ExchangeError::Malformed)?;
            let Some(head) = decoded else {
                return Ok(None);
            };
            if head.status.is_informational() {
                continue;
            }
            return Ok(Some(self.begin_body(head)));
        }
    }

    fn begin_body(&mut self, head: ResponseHead) -> AnswerHead {
        let named = head.headers.get(header::CONTENT_LENGTH);
        let length = named.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let bodiless = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let unframed =
            named.is_none() && !head.headers.contains_key(header::TRANSFER_ENCODING) && !bodiless;
        let framing = mem::replace(&mut self.framing, BodyFraming::Lost);
        self.framing = match framing {
            // The codec takes an answer of HTTP/1.1 without a length for one without a body.
            _ if unframed => BodyFraming::UntilClose,
            BodyFraming::Idle(codec) => {
                self.reusable &= codec.keep_alive();
                match codec.message_type() {
                    MessageType::None => BodyFraming::Idle(codec),
                    _ => BodyFraming::Framed(codec.into_payload_codec()),
                }
            }
            other => other,
        };
        self.reusable &= !unframed;
        AnswerHead { status: head.status, headers: head.headers, length }
    }
}
